"""Work that waits at the entries of an agent, as they last told it."""

from attrs import define, field

from ..protocol.models import SharedWork

WORK_TTL_S = 0.5  # an entry repeats its work several times within this
SHARED_PRIORITIES = 3  # work is told for this many priorities; lower ones share the last
MAX_CORE_MS = 10**9


@define
class ToldWork:
    """What one entry told, less what it has placed since, and when it arrived."""

    core_ms: list[float]
    at_s: float


@define
class WaitingWork:
    """Latest work that each entry told; it expires unless it is repeated."""

    _told: dict[str, ToldWork] = field(factory=dict)

    def record(self, entry: str, work: SharedWork, now_s: float) -> None:
        """Replace what an entry told before."""
        values = work.waiting_core_ms[:SHARED_PRIORITIES]
        core_ms = [float(min(MAX_CORE_MS, max(0, item))) for item in values]
        self._told[entry] = ToldWork(core_ms, now_s)

    def record_start(self, entry: str, priority: int, core_ms: float) -> None:
        """Subtract work that an entry has placed here since it told what waits."""
        told = self._told.get(entry)
        if told is not None and told.core_ms:
            index = min(priority, len(told.core_ms) - 1)
            told.core_ms[index] = max(0.0, told.core_ms[index] - max(0.0, core_ms))

    def others_core_ms(self, entry: str, now_s: float) -> tuple[list[int], int]:
        """Return the work that waits at all other entries, by priority, and their number."""
        totals, count = [0.0] * SHARED_PRIORITIES, 0
        for name, told in list(self._told.items()):
            if now_s - told.at_s > WORK_TTL_S:
                del self._told[name]
            elif name != entry and any(told.core_ms):
                count += 1
                for priority, core_ms in enumerate(told.core_ms):
                    totals[priority] += core_ms
        return [round(total) for total in totals] if count else [], count
