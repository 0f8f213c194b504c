"""One process's view of the consortium, and how fresh it is.

The state includes everything published before `confirmed_at_s`, a boot time. That time is always
taken before the request is sent, so a slow reply never makes a view look fresher than it is.
"""

import math

import trio

from ..protocol.models import ChangeRecord, Message, SnapshotRecord
from .const import NO_OFFSET
from .kept_tree import KeptTree
from .processes import Processes
from .state import ConsortiumState


class ConsortiumView:
    """Settings, failure domains and announced processes, with freshness and change notification.

    Settings and processes are read from separate topics, each with its own offsets.
    """

    def __init__(self) -> None:
        """Initialize an empty view."""
        self.state = ConsortiumState()
        self.processes = Processes()
        self.kept_tree = KeptTree()
        self.confirmed_at_s = -math.inf
        self._changed = trio.Event()

    @property
    def loaded(self) -> bool:
        """Return whether the view was ever confirmed or taken over from a snapshot."""
        return self.confirmed_at_s > -math.inf or self.state.offset > NO_OFFSET

    def age_s(self, now_s: float) -> float:
        """Return the age of the view at a boot time."""
        return max(0.0, now_s - self.confirmed_at_s)

    def apply(self, record: Message, offset: int) -> ChangeRecord | None:
        """Apply a change to the settings or to a failure domain."""
        return self.state.apply(record, offset)

    def snapshot(self) -> SnapshotRecord:
        """Return the whole view, for a process that can't read the store."""
        return SnapshotRecord(
            offset=self.state.offset,
            settings_nodes=self.state.node_records(),
            domains=list(self.state.domains.values()),
            processes=list(self.processes.records.values()),
            changes=list(self.state.changes.values()),
            process_offset=self.processes.offset,
            tree_version=self.state.tree_version,
        )

    def adopt(self, snapshot: SnapshotRecord) -> bool:
        """Take over newer parts of a snapshot and notify waiters; return whether any was newer."""
        settings_newer = self.state.adopt(snapshot)
        processes_newer = self.processes.adopt(snapshot.processes, snapshot.process_offset)
        if settings_newer or processes_newer:
            self.notify()
        return settings_newer or processes_newer

    def confirm(self, offset: int, requested_at_s: float) -> None:
        """Record that `offset` was the latest settings offset at some time after the request."""
        if offset <= self.state.offset and requested_at_s > self.confirmed_at_s:
            first = self.confirmed_at_s == -math.inf
            self.confirmed_at_s = requested_at_s
            if first:
                self.notify()

    def notify(self) -> None:
        """Wake all Trio tasks that are waiting for a change."""
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def async_wait_changed(self) -> None:
        """Wait for the next change."""
        await self._changed.wait()

    async def async_wait_offset(self, offset: int) -> None:
        """Wait until the settings topic has been applied up to an offset."""
        while self.state.offset < offset:
            await self.async_wait_changed()

    async def async_wait_processes(self, offset: int) -> None:
        """Wait until the processes topic has been applied up to an offset."""
        while self.processes.offset < offset:
            await self.async_wait_changed()
