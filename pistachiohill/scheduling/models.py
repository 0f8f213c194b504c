"""Resource demand of tasks and load of targets, as known to one entry."""

import math
from typing import Final

from attrs import define, field, frozen

from .estimates import RunningMean

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
        waits_s: Reported expected wait of one more task, by priority; empty if capacity is free.
        reported_at_s: Boot time of the latest report.
        mean_factor: Running mean of the run time factor, relative to the mean of all targets.
        ramp_start_s: Boot time at which a returning target started to ramp up.
        quarantined_until_s: Boot time until which the target gets no task.
        factor_updated_at_s: Boot time of the latest update of the factor.
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
    waits_s: tuple[float, ...] = ()
    reported_at_s: float = 0.0
    mean_factor: RunningMean = field(factory=lambda: RunningMean(1.0))
    ramp_start_s: float = -1e9
    quarantined_until_s: float = -1e9
    factor_updated_at_s: float = 0.0
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

    def ramp_fraction(self, now_s: float, ramp_s: float) -> float:
        """Return the fraction of the capacity that may be used; it grows to 1 during the ramp."""
        elapsed_s = now_s - self.ramp_start_s
        if elapsed_s >= ramp_s or ramp_s <= 0:
            return 1.0
        return max(0.0, elapsed_s / ramp_s)
