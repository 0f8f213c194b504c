"""The consortium's state in one process together with how fresh it is.

`confirmed_at_s` is a boot time at which everything published before it was included in the state.
It is always taken from before the question was sent, so a slow answer never looks fresh.
"""

import math

import trio

from ..protocol.models import SnapshotRecord
from .const import NO_OFFSET
from .state import ConsortiumState, LoggedRecord


class ConsortiumView:
    """State, freshness and a way to wait for changes."""

    def __init__(self) -> None:
        """Start with nothing known."""
        self.state = ConsortiumState()
        self.confirmed_at_s = -math.inf
        self._changed = trio.Event()

    @property
    def loaded(self) -> bool:
        """Return whether the view has ever been confirmed or adopted."""
        return self.confirmed_at_s > -math.inf or self.state.offset > NO_OFFSET

    def age_s(self, now_s: float) -> float:
        """Return the age of the view at a boot time."""
        return max(0.0, now_s - self.confirmed_at_s)

    def apply(self, logged: LoggedRecord) -> None:
        """Apply a record and wake those who wait."""
        self.state.apply(logged)
        self.notify()

    def adopt(self, snapshot: SnapshotRecord, at_s: float) -> bool:
        """Adopt a newer snapshot and wake those who wait; return whether it was newer."""
        adopted = self.state.adopt(snapshot, at_s)
        if adopted:
            self.notify()
        return adopted

    def confirm(self, offset: int, asked_at_s: float) -> None:
        """Note that `offset` was the log's latest record at some time after `asked_at_s`."""
        if offset <= self.state.offset and asked_at_s > self.confirmed_at_s:
            first = not self.loaded or self.confirmed_at_s == -math.inf
            self.confirmed_at_s = asked_at_s
            if first:
                self.notify()

    def notify(self) -> None:
        """Wake all tasks that wait for a change."""
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    async def async_changed(self) -> None:
        """Wait for the next change."""
        await self._changed.wait()

    async def async_wait_offset(self, offset: int) -> None:
        """Wait until a log offset has been applied."""
        while self.state.offset < offset:
            await self.async_changed()
