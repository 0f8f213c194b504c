"""What one process knows of the consortium, and how fresh that is.

`confirmed_at_s` is a boot time at which everything published before it was included in the state.
It is always taken from before the question was sent, so a slow answer never looks fresh.
"""

import math

import trio

from ..protocol.models import ChangeRecord, Message, SnapshotRecord
from .const import NO_OFFSET
from .processes import Processes
from .state import ConsortiumState


class ConsortiumView:
    """Settings and failure domains, announced processes, freshness, and a way to wait for changes.

    Settings and processes stand in topics of their own, each with its own offsets.
    """

    def __init__(self) -> None:
        """Start with nothing known."""
        self.state = ConsortiumState()
        self.processes = Processes()
        self.confirmed_at_s = -math.inf
        self._changed = trio.Event()

    @property
    def loaded(self) -> bool:
        """Return whether the view has ever been confirmed or adopted."""
        return self.confirmed_at_s > -math.inf or self.state.offset > NO_OFFSET

    def age_s(self, now_s: float) -> float:
        """Return the age of the view at a boot time."""
        return max(0.0, now_s - self.confirmed_at_s)

    def apply(self, record: Message, offset: int) -> ChangeRecord | None:
        """Apply a change of the settings or of a failure domain."""
        return self.state.apply(record, offset)

    def snapshot(self) -> SnapshotRecord:
        """Return all that is known, for a process that can't read the store."""
        return SnapshotRecord(
            offset=self.state.offset,
            scopes=self.state.scopes(),
            domains=list(self.state.domains.values()),
            processes=list(self.processes.records.values()),
            changes=list(self.state.changes.values()),
            process_offset=self.processes.offset,
        )

    def adopt(self, snapshot: SnapshotRecord) -> bool:
        """Adopt what is newer in a snapshot and wake those who wait; return whether any was."""
        settings = self.state.adopt(snapshot)
        processes = self.processes.adopt(snapshot.processes, snapshot.process_offset)
        if settings or processes:
            self.notify()
        return settings or processes

    def confirm(self, offset: int, asked_at_s: float) -> None:
        """Note that `offset` was the latest of the settings at some time after `asked_at_s`."""
        if offset <= self.state.offset and asked_at_s > self.confirmed_at_s:
            first = self.confirmed_at_s == -math.inf
            self.confirmed_at_s = asked_at_s
            if first:
                self.notify()

    def notify(self) -> None:
        """Wake all tasks that wait for a change."""
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def async_wait_changed(self) -> None:
        """Wait for the next change."""
        await self._changed.wait()

    async def async_wait_offset(self, offset: int) -> None:
        """Wait until an offset of the settings has been applied."""
        while self.state.offset < offset:
            await self.async_wait_changed()

    async def async_wait_processes(self, offset: int) -> None:
        """Wait until an offset of the processes has been applied."""
        while self.processes.offset < offset:
            await self.async_wait_changed()
