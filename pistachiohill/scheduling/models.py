"""What the scheduler knows of a task's needs and of a target, as seen from one entry."""

from typing import Final

from attrs import define, field, frozen

from .estimates import Mean

SLOT_CPU_M: Final = 1000  # a task without a declared size takes one slot, counted as one core


@frozen
class Demand:
    """Room that a task takes: processor in thousandths of a core, memory in MB."""

    cpu_m: int = SLOT_CPU_M
    mem_mb: int = 0


@frozen
class PlacedTask:
    """A task that this entry has placed at a target; `end_s` is its expected end, a boot time."""

    demand: Demand
    end_s: float


TaskKey = tuple[str, int]


@define(eq=False)
class TargetLoad:
    """Capacity, load and learned speed of one target.

    Fields:
        cpu_m, mem_mb: The target's room.
        placed: Tasks that this entry has placed there and that are not settled.
        own_cpu_m, own_mem_mb: Room that they take.
        others: Tasks of other entries there, as of the latest report.
        others_cpu_m, others_mem_mb: Room that they take.
        waits_s: Expected wait of one more task by priority, as reported; empty where there is room.
        reported_at_s: Boot time of that report.
        mean_factor: Learned run time relative to the mean of all targets.
        ramp_start_s: Boot time since which a returning target is brought up again.
        quarantined_until_s: Boot time until which it gets no task.
        factor_updated_at_s: Boot time of the latest run that the factor was learned from.
        probation_limit: Tasks that it may have until one succeeds, None when it is trusted.
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
    mean_factor: Mean = field(factory=lambda: Mean(1.0))
    ramp_start_s: float = -1e9
    quarantined_until_s: float = -1e9
    factor_updated_at_s: float = 0.0
    probation_limit: int | None = None

    @property
    def factor(self) -> float:
        """Return the run time relative to the mean of all targets."""
        return self.mean_factor.value

    @property
    def load(self) -> int:
        """Return the number of tasks there, as far as they are known here."""
        return len(self.placed) + self.others

    def place(self, key: TaskKey, demand: Demand, end_s: float) -> None:
        """Count a task that is being placed there."""
        self.placed[key] = PlacedTask(demand, end_s)
        self.own_cpu_m += demand.cpu_m
        self.own_mem_mb += demand.mem_mb

    def settle(self, key: TaskKey) -> None:
        """Forget a placed task."""
        demand = self.placed.pop(key).demand
        self.own_cpu_m -= demand.cpu_m
        self.own_mem_mb -= demand.mem_mb

    def ramp_fraction(self, now_s: float, ramp_s: float) -> float:
        """Return which part of a returning target's room may be used, growing to 1."""
        elapsed_s = now_s - self.ramp_start_s
        if elapsed_s >= ramp_s or ramp_s <= 0:
            return 1.0
        return max(0.0, elapsed_s / ramp_s)
