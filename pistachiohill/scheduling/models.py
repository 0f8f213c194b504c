"""What the scheduler knows of a target, as seen from one entry."""

from attrs import define, field

from .estimates import Mean


@define(eq=False)
class TargetLoad:
    """Capacity, load and learned speed of one target.

    Fields:
        slots: Tasks that the target runs side by side.
        outstanding: Tasks that this entry has placed there and that are not settled.
        others: Tasks of other entries there, as of the latest report.
        speed: Learned run time relative to the mean of all targets.
        ramp_from_s: Boot time since which a returning target is brought up again.
        quarantined_until_s: Boot time until which it gets no task.
        learned_at_s: Boot time of the latest run that the factor was learned from.
        ends: Expected end of each task that this entry has placed there, by task key.
        probation_limit: Tasks that it may have until one succeeds, None when it is trusted.
        queue_limit: Tasks that the target's agent queues beyond the slots.
    """

    name: str
    domain: str
    slots: int = 0
    outstanding: int = 0
    others: int = 0
    speed: Mean = field(factory=lambda: Mean(1.0))
    ramp_from_s: float = -1e9
    quarantined_until_s: float = -1e9
    learned_at_s: float = 0.0
    ends: dict[tuple[str, int], float] = field(factory=dict)
    probation_limit: int | None = None
    queue_limit: int = 8

    @property
    def factor(self) -> float:
        """Return the run time relative to the mean of all targets."""
        return self.speed.value

    @property
    def load(self) -> int:
        """Return the tasks there, as far as they are known here."""
        return self.outstanding + self.others

    def allowed(self, now_s: float, ramp_s: float, depth: int) -> int:
        """Return how many tasks may be there at once, growing from 1 while it ramps up."""
        if self.probation_limit is not None:
            return self.probation_limit
        limit = self.slots + depth
        elapsed_s = now_s - self.ramp_from_s
        if elapsed_s >= ramp_s or ramp_s <= 0:
            return limit
        return max(1, int(self.slots * elapsed_s / ramp_s))
