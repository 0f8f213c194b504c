"""What an agent and a target say to each other, in the product's own terms."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from attrs import define, frozen

from ..errors import RefusalReason, Verdict
from ..scheduling.models import Demand


@frozen
class TargetCall:
    """One task as the target sees it.

    Fields:
        task_id: Name of the task, the same for every caller of it.
        run: Number of this run of the task, from 1.
        member, job: Whose task it is, by the names of the settings tree.
        payload: Body handed to the target.
        timeout_s: How long the call may take, where the target can't be told to stop.
        refusal_is_not_run: Whether a refusal by the target means that nothing ran.
        demand: Room that the task takes.
    """

    task_id: str
    run: int
    member: str
    job: str
    payload: bytes
    timeout_s: float
    refusal_is_not_run: bool
    demand: Demand = Demand()


@frozen
class TargetResult:
    """How a call ended; `reason` is None on success."""

    verdict: Verdict
    reason: RefusalReason | None
    status_code: int = 0
    body: bytes = b""


class TaskTarget(Protocol):
    """A target to which an agent hands tasks."""

    @property
    def ready(self) -> bool:
        """Return whether tasks may be handed over now."""

    async def async_call(self, url: str, call: TargetCall) -> TargetResult:
        """Run one task and return how it ended, once it has surely ended."""

    def stop(self, call: TargetCall) -> None:
        """Ask that a task end early, where the target can do that; its call returns as usual."""


@define
class TargetState:
    """What the target last announced of itself.

    Fields:
        service: Service whose tasks it runs.
        url: Where it is called.
        cpu_m, mem_mb: Its room.
        leaving: Whether it takes no more work.
        expires_at_s: Boot time until which the announcement holds; a target that stops announcing
            itself gets no more work.
    """

    service: str = ""
    url: str = ""
    cpu_m: int = 0
    mem_mb: int = 0
    leaving: bool = False
    expires_at_s: float = float("-inf")

    def is_present(self, now_s: float) -> bool:
        """Return whether the target takes new work."""
        return not self.leaving and self.cpu_m > 0 and now_s <= self.expires_at_s


@frozen
class RunnerIdentity:
    """One life of a runner: its id, its address and when it was started (ms since the epoch)."""

    runner_id: str
    address: str
    born_ms: int


class RunEnd(StrEnum):
    """How a run ended at a runner."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@frozen
class RunName:
    """One run of one task; a task's later runs have higher numbers."""

    task_id: str
    run: int


@frozen
class EndedRun:
    """A run that has ended; `number` counts a runner's ends in order, for acknowledgement."""

    number: int
    name: RunName
    how: RunEnd


@frozen
class RunList:
    """What a runner says of its runs; `clock_s` is its own steady clock at that moment."""

    born_ms: int
    clock_s: float
    running: frozenset[RunName]
    ended: tuple[EndedRun, ...]


@frozen
class Lease:
    """With which fencing token an order is given, and until when runs are held.

    `until_clock_s` is a time on the runner's clock, None to leave the lease as it is.
    """

    token: int
    until_clock_s: float | None


class StartRefusal(StrEnum):
    """Why a runner did not start a run."""

    FENCED = "fenced"
    OLD_RUN = "old_run"
    LEASE_ENDED = "lease_ended"
    NO_CAPACITY = "no_room"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"
    UNREACHABLE = "unreachable"
    OTHER_INCARNATION = "other_life"


@dataclass(frozen=True)
class Started:
    """The run has started, or had started before."""

    clock_s: float


@dataclass(frozen=True)
class NotStarted:
    """The runner refused the start; nothing has run."""

    refusal: StartRefusal


@dataclass(frozen=True)
class NoAnswer:
    """No usable answer came; the order may be carried out, now or later."""

    detail: str


@dataclass(frozen=True)
class Fenced:
    """The runner has seen a higher fencing token."""


@dataclass(frozen=True)
class OtherIncarnation:
    """Another life of the runner answered; it knows nothing of this one's runs."""


@dataclass(frozen=True)
class Stopping:
    """The runner has taken the order to stop; the run is listed once it has ended."""


StartOutcome = Started | NotStarted | NoAnswer
HoldOutcome = RunList | Fenced | OtherIncarnation | NoAnswer
StopOutcome = Stopping | Fenced | OtherIncarnation | NoAnswer


class RunnerPort(Protocol):
    """Orders to a runner, one call each."""

    async def async_start(
        self, runner: RunnerIdentity, call: TargetCall, lease: Lease, timeout_s: float
    ) -> StartOutcome:
        """Start a run."""

    async def async_stop(
        self, runner: RunnerIdentity, name: RunName, lease: Lease, timeout_s: float
    ) -> StopOutcome:
        """Stop a run."""

    async def async_hold(
        self, runner: RunnerIdentity, lease: Lease, acked: int, wait_s: float, timeout_s: float
    ) -> HoldOutcome:
        """Extend the lease, acknowledge ends and list the runs, waiting up to `wait_s` for an end."""
