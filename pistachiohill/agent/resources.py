"""Resource accounting for an agent's target, and estimates of how long a new task would wait."""

from collections.abc import Iterable

from attrs import define, field, frozen

from ..overload.slowdown import NOT_SLOW, Slowdown, SlowdownDetector
from ..protocol.models import AgentLoad
from ..scheduling.models import Demand
from ..shared_load.target_speed import RunningTask

OVERDUE_FRACTION = 0.2  # expected remaining time of an overdue task, as a fraction of its run time
MIN_WAIT_CHANGE_S = 0.02  # smaller changes of an expected wait are not sent
MIN_SLOWDOWN_CHANGE = 1.25  # ratio; smaller changes of a slowdown are not sent
REPORTED_PRIORITIES = 3  # waits are sent for this many priorities; lower ones share the last


@define(eq=False, slots=True)
class Reservation:
    """Resources of one admitted task.

    `end_s` is its expected end (boot time) once it runs; `base_run_s` is its expected run time at a
    target with factor 1, 0 if unknown.
    """

    owner: str
    demand: Demand
    priority: int
    run_s: float
    job: str = ""
    end_s: float = 0.0
    base_run_s: float = 0.0


@define
class ResourceTotals:
    """Number of tasks and the sum of their resources."""

    tasks: int = 0
    cpu_m: int = 0
    mem_mb: int = 0

    def add(self, demand: Demand, sign: int) -> None:
        """Add a task with `sign` 1, or remove it with -1."""
        self.tasks += sign
        self.cpu_m += sign * demand.cpu_m
        self.mem_mb += sign * demand.mem_mb


@frozen
class SentLoad:
    """Load that was last sent to an entry, and the boot time at which it was sent."""

    load: AgentLoad
    at_s: float

    def differs(self, load: AgentLoad, step_cpu_m: float, now_s: float) -> bool:
        """Return whether a load differs enough from the one that was sent to send it again.

        This is so if the CPU load changed by more than a step, or an expected wait or the slowdown
        changed. Waits are compared after subtracting the elapsed time, as the entry does so itself.
        """
        if abs(load.others_cpu_m - self.load.others_cpu_m) > step_cpu_m:
            return True
        if bool(load.waits_s) != bool(self.load.waits_s):
            return True
        slowdowns = (load.slowdown, self.load.slowdown)
        if max(slowdowns) > MIN_SLOWDOWN_CHANGE * min(slowdowns):
            return True
        age_s = now_s - self.at_s
        pairs = zip(load.waits_s, self.load.waits_s, strict=False)
        return any(
            abs(new_s - max(0.0, old_s - age_s)) > MIN_WAIT_CHANGE_S for new_s, old_s in pairs
        )


@define(eq=False)
class ResourceTracker:
    """Tracks the resources of admitted tasks, in total, by owner and for running tasks.

    A task that is being stopped, or whose start request is unanswered, counts as running. With a
    detector, the load for entries tells whether the target has turned slow.
    """

    total: ResourceTotals = field(factory=ResourceTotals)
    running: ResourceTotals = field(factory=ResourceTotals)
    by_owner: dict[str, ResourceTotals] = field(factory=dict)
    _started: dict[int, Reservation] = field(factory=dict)
    detector: SlowdownDetector | None = None

    def admit(self, task: Reservation) -> None:
        """Add a task that has been queued."""
        self.total.add(task.demand, 1)
        self.by_owner.setdefault(task.owner, ResourceTotals()).add(task.demand, 1)

    def release(self, task: Reservation) -> None:
        """Remove a task that has ended or was withdrawn."""
        if self._started.pop(id(task), None) is not None:
            self.running.add(task.demand, -1)
        self.total.add(task.demand, -1)
        owner_totals = self.by_owner[task.owner]
        owner_totals.add(task.demand, -1)
        if owner_totals.tasks == 0:
            del self.by_owner[task.owner]

    def start(self, task: Reservation, now_s: float) -> None:
        """Mark a queued task as running."""
        task.end_s = now_s + task.run_s
        if self.detector is not None:
            self.detector.run_started(id(task), task.job, task.run_s, now_s)
        self._started[id(task)] = task
        self.running.add(task.demand, 1)

    def running_tasks(self) -> list[RunningTask]:
        """Return what is expected of each running task."""
        return [
            RunningTask(task.base_run_s, task.end_s - task.run_s) for task in self._started.values()
        ]

    def record_end(self, task: Reservation, succeeded: bool, now_s: float) -> None:
        """Let the detector learn from the end of a run."""
        if self.detector is not None:
            self.detector.run_ended(id(task), succeeded, now_s)

    def slowdown(self, now_s: float) -> Slowdown:
        """Return whether the target has turned slow; without a detector it has not."""
        return NOT_SLOW if self.detector is None else self.detector.slowdown(now_s)

    def fits(self, demand: Demand, cpu_m: int, mem_mb: int) -> bool:
        """Return whether a task fits on a target of this capacity besides the running tasks."""
        fits_cpu = self.running.cpu_m + demand.cpu_m <= cpu_m
        return fits_cpu and self.running.mem_mb + demand.mem_mb <= mem_mb

    def load_for(
        self, owner: str, queue: Iterable[Reservation], cpu_m: int, now_s: float
    ) -> AgentLoad:
        """Return the load to send to an entry: other owners' tasks and the expected waits."""
        own = self.by_owner.get(owner, ResourceTotals())
        slowdown = self.slowdown(now_s)
        return AgentLoad(
            self.total.tasks - own.tasks,
            self.total.cpu_m - own.cpu_m,
            self.total.mem_mb - own.mem_mb,
            self.expected_waits_s(queue, cpu_m, now_s),
            slowdown.factor,
            slowdown.for_s,
        )

    def expected_wait_s(
        self, priority: int, queue: Iterable[Reservation], cpu_m: int, now_s: float
    ) -> float:
        """Return how long a new task of a priority would wait, 0 if it would start at once."""
        waits_s = self.expected_waits_s(queue, cpu_m, now_s)
        return waits_s[min(priority, len(waits_s) - 1)] if waits_s else 0.0

    def expected_waits_s(
        self, queue: Iterable[Reservation], cpu_m: int, now_s: float
    ) -> list[float]:
        """Return how long a new task of each priority would wait; empty if it would start at once.

        Running tasks release their CPU at their expected ends, and queued tasks of the same or a
        higher priority start first. The new task is assumed to be of mean size.
        """
        if not self.running.tasks:
            return []
        mean_cpu_m = self.running.cpu_m / self.running.tasks
        free_cpu_m = cpu_m - self.running.cpu_m
        queued = list(queue)
        if not queued and free_cpu_m >= mean_cpu_m:
            return []
        releases = sorted(
            (max(task.end_s - now_s, OVERDUE_FRACTION * task.run_s), task.demand.cpu_m)
            for task in self._started.values()
        )
        waits = []
        for priority in range(REPORTED_PRIORITIES):
            ahead = [
                task
                for task in queued
                if task.priority <= priority or priority == REPORTED_PRIORITIES - 1
            ]
            needed_cpu_m = sum(task.demand.cpu_m for task in ahead) + mean_cpu_m - free_cpu_m
            waits.append(_expected_wait_s(releases, needed_cpu_m, ahead, cpu_m))
        return waits


def _expected_wait_s(
    releases: list[tuple[float, int]], needed_cpu_m: float, ahead: list[Reservation], cpu_m: int
) -> float:
    """Return the expected time until `needed_cpu_m`, which includes the tasks ahead, is released.

    If the running tasks don't release enough, the tasks ahead must run too: the rest is released at
    the rate at which a target of `cpu_m` runs tasks of their mean duration.
    """
    wait_s = 0.0
    for wait_s, freed_cpu_m in releases:
        needed_cpu_m -= freed_cpu_m
        if needed_cpu_m <= 0:
            return wait_s
    mean_run_s = sum(task.run_s for task in ahead) / len(ahead) if ahead else wait_s
    return wait_s + mean_run_s * needed_cpu_m / max(1, cpu_m)
