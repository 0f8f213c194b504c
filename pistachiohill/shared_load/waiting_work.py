"""Work that waits at the entries of an agent, as they last told it."""

from attrs import define, field, frozen

from ..protocol.models import SharedWork

WORK_TTL_S = 0.5  # an entry repeats its work several times within this
SHARED_PRIORITIES = 3  # work is told for this many priorities; lower ones share the last
MAX_CORE_MS = 10**9


@frozen
class ToldWork:
    """What one entry told, and when it arrived."""

    core_ms: tuple[int, ...]
    at_s: float


@define
class WaitingWork:
    """Latest work that each entry told; it expires unless it is repeated."""

    _told: dict[str, ToldWork] = field(factory=dict)

    def record(self, entry: str, work: SharedWork, now_s: float) -> None:
        """Replace what an entry told before."""
        values = work.waiting_core_ms[:SHARED_PRIORITIES]
        self._told[entry] = ToldWork(
            tuple(min(MAX_CORE_MS, max(0, item)) for item in values), now_s
        )

    def others_core_ms(self, entry: str, now_s: float) -> list[int]:
        """Return the work that waits at all other entries, by priority; empty if none."""
        totals = [0] * SHARED_PRIORITIES
        for name, told in list(self._told.items()):
            if now_s - told.at_s > WORK_TTL_S:
                del self._told[name]
            elif name != entry:
                for priority, core_ms in enumerate(told.core_ms):
                    totals[priority] += core_ms
        return totals if any(totals) else []
