"""Resource demand of tasks and load of targets, as known to one entry."""

import math
from typing import Final

from attrs import define, field, frozen

from .estimates import RunningMean

REPORT_TTL_S: Final = 0.5  # agents repeat what other entries wait for within this
SLOT_CPU_M: Final = 1000  # a task without a declared size takes one slot, which is one core


@frozen
class Demand:
    """Resources that a task requires: CPU in thousandths of a core, memory in MB."""

    cpu_m: int = SLOT_CPU_M
    mem_mb: int = 0


@frozen
class PlacedTask:
    """A task that this entry has placed at a target.

    `start_s` and `end_s` are the boot times at which it is expected to start and to end, as planned.
    """

    demand: Demand
    start_s: float
    end_s: float


@frozen
class WaitingAhead:
    """An entry's own work up to the end of a new job of a priority, as the share of one target."""

    priority: int
    core_s: float


@frozen
class OthersWaiting:
    """Work that waits for a target at other entries: core-seconds by priority, and their number."""

    core_s: tuple[float, ...] = ()
    entries: int = 0

    def ahead_core_s(self, own: WaitingAhead) -> float:
        """Return how much of it is served before an entry's own work is.

        Entries place tasks as capacity becomes free, each about as often as the others, so each of
        them gets no more than this entry in the same time.
        """
        return min(sum(self.core_s[: own.priority + 1]), self.entries * own.core_s)


NONE_WAITING: Final = OthersWaiting()
TaskKey = tuple[str, int]


@define(eq=False)
class TargetLoad:
    """Capacity, load and run time factor of one target.

    Fields:
        cpu_m, mem_mb: Capacity of the target.
        placed: Unsettled tasks that this entry has placed at the target.
        own_cpu_m, own_mem_mb: Resources that the tasks in `placed` take.
        others: Number of tasks of other entries, as of the latest report.
        others_cpu_m, others_mem_mb: Resources that the tasks of other entries take.
        others_waiting: Work that waits for the target at other entries.
        waits_s: Reported expected wait of one more task, by priority; empty if capacity is free.
        reported_at_s: Boot time of the latest report.
        mean_factor: Running mean of the run time factor, relative to the mean of all targets.
        ramp_start_s: Boot time at which a returning target started to ramp up.
        quarantined_until_s: Boot time until which the target gets no task.
        factor_updated_at_s: Boot time of the latest update of the factor.
        reported_overdue: Reported excess of most running tasks over the factor; None if the
            agent knows none of them.
        work_told_at_s: When the waiting work that its agent was told last had been summed up.
        listed_run_s: Run times of jobs to which the factor that the agent reports relates.
        probation_limit: Maximum number of tasks until one succeeds, None if not on probation.
        slowdown: How many times longer than expected its latest runs took, 1 if it isn't slow.
        slow_since_s: Boot time since which it has been slow.
        leaves_at_s: Boot time from which the target may end, infinite if it isn't leaving.
    """

    name: str
    domain: str
    cpu_m: int = 0
    mem_mb: int = 0
    placed: dict[TaskKey, PlacedTask] = field(factory=dict)
    own_cpu_m: int = 0
    own_mem_mb: int = 0
    others: int = 0
    others_cpu_m: int = 0
    others_mem_mb: int = 0
    others_waiting: OthersWaiting = NONE_WAITING
    waits_s: tuple[float, ...] = ()
    reported_at_s: float = 0.0
    mean_factor: RunningMean = field(factory=lambda: RunningMean(1.0))
    ramp_start_s: float = -1e9
    quarantined_until_s: float = -1e9
    factor_updated_at_s: float = 0.0
    reported_overdue: float | None = None
    work_told_at_s: float = -1e9
    listed_run_s: dict[str, float] = field(factory=dict)
    probation_limit: int | None = None
    slowdown: float = 1.0
    slow_since_s: float = math.inf
    leaves_at_s: float = math.inf

    @property
    def is_slow(self) -> bool:
        """Return whether most of its latest runs took far longer than expected."""
        return self.slowdown > 1.0

    @property
    def factor(self) -> float:
        """Return the run time factor, relative to the mean of all targets."""
        return self.mean_factor.value

    @property
    def task_count(self) -> int:
        """Return the number of tasks at the target that this entry knows of."""
        return len(self.placed) + self.others

    def place(self, key: TaskKey, demand: Demand, start_s: float, end_s: float) -> None:
        """Add a task that is placed at the target."""
        self.placed[key] = PlacedTask(demand, start_s, end_s)
        self.own_cpu_m += demand.cpu_m
        self.own_mem_mb += demand.mem_mb

    def settle(self, key: TaskKey) -> None:
        """Remove a placed task and release its resources."""
        demand = self.placed.pop(key).demand
        self.own_cpu_m -= demand.cpu_m
        self.own_mem_mb -= demand.mem_mb

    def others_ahead_core_s(self, own: WaitingAhead, now_s: float) -> float:
        """Return the core-seconds of other entries that are served before a new task ends."""
        return self.others_waiting.ahead_core_s(own) if self._is_recent(now_s) else 0.0

    def overdue(self, now_s: float) -> float | None:
        """Return the reported excess of the running tasks over the factor, None if it is old."""
        return self.reported_overdue if self._is_recent(now_s) else None

    def _is_recent(self, now_s: float) -> bool:
        return now_s - self.reported_at_s <= REPORT_TTL_S

    def ramp_fraction(self, now_s: float, ramp_s: float) -> float:
        """Return the fraction of the capacity that may be used; it grows to 1 during the ramp."""
        elapsed_s = now_s - self.ramp_start_s
        if elapsed_s >= ramp_s or ramp_s <= 0:
            return 1.0
        return max(0.0, elapsed_s / ramp_s)
