"""Data models and interfaces between an agent and its target, independent of the transport."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from attrs import define, frozen

from ..errors import RefusalReason, Verdict
from ..scheduling.models import Demand
from ..submissions.identifiers import job_of_task, task_name


@frozen
class TargetCall:
    """Request to run one task at the target.

    Fields:
        task_id: Id of the task, the same for every caller of it.
        run: Number of this run of the task, from 1.
        member, job: Names of the task's member and job in the settings tree.
        payload: Request body for the target.
        timeout_s: Time limit of the call, for targets that cannot stop a running task.
        refusal_is_not_run: Whether a refusal by the target guarantees that the task did not run.
        demand: Resources that the task needs.
        late_start_until_s: Boot time until which the target may execute a start of the same run
            that this agent's predecessor may have sent, -inf if there is none.
    """

    task_id: str
    run: int
    member: str
    job: str
    payload: bytes
    timeout_s: float
    refusal_is_not_run: bool
    demand: Demand = Demand()
    late_start_until_s: float = -math.inf

    @property
    def name(self) -> str:
        """Return the name of the task in logs."""
        _, _, index = self.task_id.rpartition("/")
        return task_name(job_of_task(self.task_id), index)


@frozen(eq=False)
class RunPermission:
    """Whether a run may start, and until when it may go on; asked for at each use.

    Fields:
        start_refusal: Takes the present time; returns why the run must not start, or None.
        ends_at_s: Returns the boot time from which the run must not go on, as known now.
    """

    start_refusal: Callable[[float], RefusalReason | None]
    ends_at_s: Callable[[], float]


UNRESTRICTED = RunPermission(lambda _now_s: None, lambda: math.inf)


@frozen
class TargetResult:
    """Result of a call; `reason` is None on success."""

    verdict: Verdict
    reason: RefusalReason | None
    status_code: int = 0
    body: bytes = b""


class TaskTarget(Protocol):
    """Interface through which an agent runs tasks at its target."""

    @property
    def ready(self) -> bool:
        """Return whether the target can be given tasks now."""

    async def async_call(
        self, url: str, call: TargetCall, permission: RunPermission = UNRESTRICTED
    ) -> TargetResult:
        """Run one task and return its result, once the task is known to have ended.

        The permission is checked when the task is sent to the target.
        """

    def is_start_answered(self, call: TargetCall) -> bool:
        """Return whether the target has answered the start of a task that was called."""

    async def async_start_answered(self) -> None:
        """Wait until the target answers the start of another task."""

    def watch(self) -> None:
        """Notice when this process was stalled; called every LEASE_CHECK_INTERVAL_S."""

    def stop(self, call: TargetCall, *, must_end: bool = True) -> None:
        """Request that a task be stopped, if the target supports it; its call returns as usual.

        `must_end` tells whether the task must not go on if the request is not carried out.
        """


@define
class TargetState:
    """State from the latest announcement of the target.

    Fields:
        service: Service whose tasks the target runs.
        url: Base URL or address of the target.
        target_id: Name of the target, empty if it has none.
        cpu_m, mem_mb: Capacity in millicores and megabytes.
        leaving: Whether the target is shutting down and accepts no more work.
        expires_at_s: Boot time at which the announcement expires; a target that stops announcing
            itself gets no more work.
        leaves_at_s: Boot time until which a leaving target is certain to go on, infinite if unknown.
    """

    service: str = ""
    url: str = ""
    cpu_m: int = 0
    mem_mb: int = 0
    leaving: bool = False
    expires_at_s: float = float("-inf")
    leaves_at_s: float = math.inf
    target_id: str = ""

    def leaves_in_s(self, now_s: float) -> float:
        """Return for how long a leaving target is certain to go on, -1 if that is unknown."""
        if not self.leaving or self.leaves_at_s == math.inf:
            return -1.0
        return max(0.0, self.leaves_at_s - now_s)

    def is_available(self, now_s: float) -> bool:
        """Return whether the target accepts new work."""
        return not self.leaving and self.cpu_m > 0 and now_s <= self.expires_at_s


@frozen
class RunnerIdentity:
    """One incarnation of a runner: id, address and start time in ms since the epoch."""

    runner_id: str
    address: str
    born_ms: int


class RunEnd(StrEnum):
    """How a run ended, as reported by its runner; LAPSED means that its lease ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"


@frozen
class RunName:
    """Identifies one run of a task; later runs of the same task have higher numbers."""

    task_id: str
    run: int


@frozen
class EndedRun:
    """A run that has ended; `number` is its position among a runner's ended runs, to acknowledge."""

    number: int
    name: RunName
    outcome: RunEnd


@frozen
class RunList:
    """Snapshot of the runs of a runner; `clock_s` is the runner's monotonic clock at that time."""

    born_ms: int
    clock_s: float
    running: frozenset[RunName]
    ended: tuple[EndedRun, ...]


@frozen
class Lease:
    """Fencing token of a request to a runner, and the time until which its runs are leased.

    `until_clock_s` is a time on the runner's clock; None leaves the lease unchanged.
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
    """The run has started, now or by an earlier request."""

    clock_s: float


@dataclass(frozen=True)
class NotStarted:
    """The run was not started and nothing has run."""

    refusal: StartRefusal


@dataclass(frozen=True)
class NoAnswer:
    """No usable response arrived; the request may still be executed, now or later."""

    detail: str


@dataclass(frozen=True)
class Fenced:
    """The runner has seen a higher fencing token and rejected the request."""


@dataclass(frozen=True)
class OtherIncarnation:
    """Another incarnation of the runner responded, which has none of the runs of this one."""


@dataclass(frozen=True)
class Stopping:
    """The runner has accepted the stop request; it lists the run as ended once it has stopped."""


StartOutcome = Started | NotStarted | NoAnswer
HoldOutcome = RunList | Fenced | OtherIncarnation | NoAnswer
StopOutcome = Stopping | Fenced | OtherIncarnation | NoAnswer


class RunnerInterface(Protocol):
    """Interface for requests to a runner."""

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
        """Renew the lease, acknowledge ended runs and list all runs.

        The runner delays its response by up to `wait_s` until a run has ended.
        """
