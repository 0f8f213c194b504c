"""Room of the target beside an agent: who takes how much, and how long one more task would wait."""

from collections.abc import Iterable

from attrs import define, field, frozen

from ..protocol.models import AgentLoad
from ..scheduling.models import Demand

OVERDUE_FRACTION = 0.2  # an overdue task is expected to take a fifth of its run time more
WAIT_STEP_S = 0.02  # a change of an expected wait that is worth a message
REPORTED_PRIORITIES = 3  # waits are told for so many priorities; lower ones share the last


@define(eq=False, slots=True)
class HeldTask:
    """A task that an agent holds; `end_s` is its expected end, a boot time, once it runs."""

    owner: str
    demand: Demand
    priority: int
    run_s: float
    end_s: float = 0.0


@define
class Held:
    """Number and size of some tasks."""

    tasks: int = 0
    cpu_m: int = 0
    mem_mb: int = 0

    def add(self, demand: Demand, sign: int) -> None:
        """Add a task, or take it off with `sign` -1."""
        self.tasks += sign
        self.cpu_m += sign * demand.cpu_m
        self.mem_mb += sign * demand.mem_mb


@frozen
class ToldLoad:
    """What an entry was told of the load, and at which boot time."""

    load: AgentLoad
    at_s: float

    def differs(self, load: AgentLoad, step_m: float, now_s: float) -> bool:
        """Return whether the present load is news: room by more than a step, or an expected wait.

        The entry knows by itself that a wait it was told of grows shorter.
        """
        if abs(load.others_cpu_m - self.load.others_cpu_m) > step_m:
            return True
        if bool(load.waits_s) != bool(self.load.waits_s):
            return True
        age_s = now_s - self.at_s
        pairs = zip(load.waits_s, self.load.waits_s, strict=False)
        return any(abs(now - max(0.0, told - age_s)) > WAIT_STEP_S for now, told in pairs)


@define(eq=False)
class Room:
    """Tasks held by an agent, by owner, and the room that running ones take.

    What is being stopped, or whose start is unanswered, runs as far as room is concerned.
    """

    all: Held = field(factory=Held)
    running: Held = field(factory=Held)
    by_owner: dict[str, Held] = field(factory=dict)
    _started: dict[int, HeldTask] = field(factory=dict)

    def admit(self, task: HeldTask) -> None:
        """Count a task that is queued."""
        self.all.add(task.demand, 1)
        self.by_owner.setdefault(task.owner, Held()).add(task.demand, 1)

    def release(self, task: HeldTask) -> None:
        """Forget a task that is held no more."""
        if self._started.pop(id(task), None) is not None:
            self.running.add(task.demand, -1)
        self.all.add(task.demand, -1)
        held = self.by_owner[task.owner]
        held.add(task.demand, -1)
        if held.tasks == 0:
            del self.by_owner[task.owner]

    def start(self, task: HeldTask, now_s: float) -> None:
        """Count a queued task as running."""
        task.end_s = now_s + task.run_s
        self._started[id(task)] = task
        self.running.add(task.demand, 1)

    def fits(self, demand: Demand, cpu_m: int, mem_mb: int) -> bool:
        """Return whether a task fits beside the running ones into a target of some size."""
        fits_cpu = self.running.cpu_m + demand.cpu_m <= cpu_m
        return fits_cpu and self.running.mem_mb + demand.mem_mb <= mem_mb

    def load_for(
        self, owner: str, queue: Iterable[HeldTask], cpu_m: int, now_s: float
    ) -> AgentLoad:
        """Return what an entry is told: the load of the others, and expected waits."""
        own = self.by_owner.get(owner, Held())
        return AgentLoad(
            self.all.tasks - own.tasks,
            self.all.cpu_m - own.cpu_m,
            self.all.mem_mb - own.mem_mb,
            self.waits_s(queue, cpu_m, now_s),
        )

    def waits_s(self, queue: Iterable[HeldTask], cpu_m: int, now_s: float) -> list[float]:
        """Return how long one more task of each priority would wait; empty where there is room.

        The running tasks free their room at their expected ends, in which the queued ones of the
        same or a higher priority go first. One more task is taken to be of mean size.
        """
        if not self.running.tasks:
            return []
        mean_cpu_m = self.running.cpu_m / self.running.tasks
        free_m = cpu_m - self.running.cpu_m
        queued = list(queue)
        if not queued and free_m >= mean_cpu_m:
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
            needed_m = sum(task.demand.cpu_m for task in ahead) + mean_cpu_m - free_m
            waits.append(_wait_s(releases, needed_m, ahead, cpu_m))
        return waits


def _wait_s(
    releases: list[tuple[float, int]], needed_m: float, ahead: list[HeldTask], cpu_m: int
) -> float:
    """Return when enough room has been freed, the tasks ahead taking theirs as they come."""
    wait_s = 0.0
    for wait_s, freed_m in releases:
        needed_m -= freed_m
        if needed_m <= 0:
            return wait_s
    mean_run_s = sum(task.run_s for task in ahead) / len(ahead) if ahead else wait_s
    return wait_s + mean_run_s * needed_m / max(1, cpu_m)
