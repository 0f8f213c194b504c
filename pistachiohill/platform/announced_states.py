"""What runners may be given, as their announcements say, once that has been confirmed.

A runner cannot be asked for its state, only for its runs, and an announcement may come from another
writer. What allows less (draining, less capacity) therefore applies at once, also if it arrives out
of order: a process that drains does so until it ends, and its capacity does not change. What allows
more applies only once the announcements have said so for longer than two heartbeats, with none of
the process in between that says otherwise.
"""

from typing import Self

from attrs import define, evolve, frozen

from .. import logs
from ..scheduling.models import Demand
from .const import CONFIRMATION_S
from .models import RunnerAnnouncement

MAX_PROCESSES = 8  # of which one is in use, and one or two may follow


@frozen
class RunnerProcess:
    """One process of a runner; it keeps its state when it moves to another address."""

    runner_id: str
    born_ms: int


@frozen
class Allowance:
    """What a runner may be given: nothing new while it drains, and no more than its capacity."""

    capacity: Demand
    leaving: bool

    @classmethod
    def of(cls, announcement: RunnerAnnouncement) -> Self:
        """Return what an announcement allows."""
        return cls(announcement.capacity, announcement.leaving)

    def least(self, other: Self) -> Self:
        """Return what both allow."""
        cpu_m = min(self.capacity.cpu_m, other.capacity.cpu_m)
        mem_mb = min(self.capacity.mem_mb, other.capacity.mem_mb)
        leaving = self.leaving or other.leaving
        return evolve(self, capacity=Demand(cpu_m, mem_mb), leaving=leaving)


@define
class ProcessState:
    """What a process is allowed now, and the claim to more in its latest announcements."""

    allowed: Allowance
    claimed: Allowance | None = None
    claimed_since_s: float = 0.0
    claimed_at_s: float = 0.0

    def record(self, announced: Allowance, in_order: bool, now_s: float) -> bool:
        """Apply an announcement; return whether it confirms a claim to more."""
        self.allowed = self.allowed.least(announced)
        if announced == self.allowed:
            self.claimed = None
        elif in_order:
            return self._record_claim(announced, now_s)
        return False

    def _record_claim(self, announced: Allowance, now_s: float) -> bool:
        if self.claimed is None or now_s - self.claimed_at_s > CONFIRMATION_S:
            self.claimed, self.claimed_since_s = announced, now_s
        self.claimed = self.claimed.least(announced)
        self.claimed_at_s = now_s
        if now_s - self.claimed_since_s <= CONFIRMATION_S:
            return False
        self.allowed, self.claimed = self.claimed, None
        return True


class AnnouncedStates:
    """The states of the processes that were announced last."""

    def __init__(self) -> None:
        """Initialize without processes."""
        self._states: dict[RunnerProcess, ProcessState] = {}

    def allowance(self, process: RunnerProcess) -> Allowance | None:
        """Return what a process may be given, None if its announcements were dropped."""
        state = self._states.get(process)
        return None if state is None else state.allowed

    def record(
        self,
        announcement: RunnerAnnouncement,
        in_order: bool,
        in_use: RunnerProcess | None,
        now_s: float,
    ) -> None:
        """Apply an announcement; the state of the process in use is not dropped for new ones."""
        process = RunnerProcess(announcement.runner_id, announcement.born_ms)
        announced = Allowance.of(announcement)
        state = self._states.get(process)
        if state is None:
            self._states[process] = ProcessState(announced)
            self._drop_oldest(in_use)
            return
        claimed_before = state.claimed
        confirmed = state.record(announced, in_order, now_s)
        if confirmed or (state.claimed is not None and claimed_before is None):
            logs.warning(
                "runner_allows_more",
                runner=process.runner_id,
                confirmed=confirmed,
                cpu_m=announced.capacity.cpu_m,
                mem_mb=announced.capacity.mem_mb,
                leaving=announced.leaving,
            )

    def _drop_oldest(self, in_use: RunnerProcess | None) -> None:
        if len(self._states) > MAX_PROCESSES:
            oldest = next(process for process in self._states if process != in_use)
            del self._states[oldest]
