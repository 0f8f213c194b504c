"""Submissions as stored by their owner, and the answers to callers."""

import math
from collections import deque
from collections.abc import Callable

import trio
from attrs import define, field, frozen

from ..const import JobState
from ..errors import RefusalReason, Verdict
from ..http.origin import UNKNOWN_ORIGIN, RequestOrigin
from ..protocol.models import ForwardReply, TaskReport
from ..scheduling.models import Demand
from ..scheduling.urgency import Urgency
from ..settings.models import JobSettings
from .identifiers import job_path, make_task_id, parse_submission_id, task_name


@frozen
class TaskSpec:
    """Specification of one task; `declared_s` is its declared run time, 0 if not declared."""

    payload: bytes
    demand: Demand = Demand()
    declared_s: float = 0.0


@frozen
class JobRequest:
    """Validated request to run the tasks of a job.

    Fields:
        member, job: Names of the member and the job in the settings tree.
        tasks: The tasks.
        deadline_s: Time that the caller allows, in seconds; 0 for the deadline in the job settings.
        key: Name that the caller gave the job, empty if the submission id is the only name.
        origin: Age of the request, and whether its caller has left.
    """

    member: str
    job: str
    tasks: tuple[TaskSpec, ...]
    deadline_s: float = 0.0
    key: str = ""
    origin: RequestOrigin = UNKNOWN_ORIGIN

    @property
    def path(self) -> str:
        """Return the path of the job in the settings tree."""
        return job_path(self.member, self.job)


@frozen
class JobAnswer:
    """Answer to a caller: complete with all bodies, failed with a verdict, or still running."""

    state: JobState
    verdict: Verdict
    task_count: int
    settled_tasks: int
    bodies: tuple[bytes, ...] = ()
    reason: RefusalReason | None = None
    detail: str = ""
    retry_after_s: float = 0.0

    def to_reply(self, request_id: int) -> ForwardReply:
        """Return the message that forwards this answer to another entry."""
        return ForwardReply(
            request_id=request_id,
            state=self.state,
            verdict=self.verdict,
            reason=self.reason or "",
            detail=self.detail,
            retry_after_s=self.retry_after_s,
            task_count=self.task_count,
            settled_tasks=self.settled_tasks,
            bodies=list(self.bodies),
        )

    @classmethod
    def from_reply(cls, reply: ForwardReply) -> "JobAnswer":
        """Create the answer from the message by which another entry forwarded it."""
        return cls(
            state=JobState(reply.state),
            verdict=Verdict(reply.verdict),
            task_count=reply.task_count,
            settled_tasks=reply.settled_tasks,
            bodies=tuple(reply.bodies),
            reason=RefusalReason(reply.reason) if reply.reason else None,
            detail=reply.detail,
            retry_after_s=reply.retry_after_s,
        )


def refused_answer(
    reason: RefusalReason, detail: str, retry_after_s: float = 0.0, task_count: int = 0
) -> JobAnswer:
    """Return the answer for a job of which no task has run or will run."""
    return JobAnswer(
        JobState.FAILED, Verdict.NOT_RUN, task_count, 0, (), reason, detail, retry_after_s
    )


def failed_answer(
    reason: RefusalReason, verdict: Verdict, detail: str, task_count: int, settled_tasks: int
) -> JobAnswer:
    """Return the answer for a job that failed after it was accepted."""
    return JobAnswer(JobState.FAILED, verdict, task_count, settled_tasks, (), reason, detail)


@define(eq=False, slots=True)
class Task:
    """One task, its current placement, and its report once settled.

    Fields:
        attempt: Number of the current placement.
        restarts: Number of placements that followed a refusal by a target.
        failed_runs: Number of failed runs.
        agent: Incarnation of the agent at which the task is placed.
        target_id: Name of that agent's target then, empty if it had none.
        is_start_answered: Whether the agent has reported that its target answered the start.
        late_start_until_s: Boot time until which the target may execute a start of this placement
            that an earlier agent may have sent, -inf if there is none.
        refused_by: Incarnations of agents at which the task was refused or failed; they are
            avoided until this includes all agents of the service.
    """

    index: int
    spec: TaskSpec
    attempt: int = 0
    restarts: int = 0
    failed_runs: int = 0
    agent: str = ""
    target_id: str = ""
    is_start_answered: bool = False
    late_start_until_s: float = -math.inf
    refused_by: set[str] = field(factory=set)
    report: TaskReport | None = None


@define(eq=False, slots=True)
class Submission:
    """A job in progress or answered; `deadline_s` and `submitted_at_s` are boot times.

    Fields:
        issued_offset: Log offset that the owner had applied when it issued the submission id.
        waiting: Tasks that are waiting to be placed.
        unsettled_count: Number of tasks without a final report.
        repeated_verdict: Verdict on ended runs whose tasks were started again.
        outstanding: Number of tasks that are placed at agents.
        urgency: Whether the waiting tasks can still end in time.
        has_caller_left: Returns whether all callers who wait for the answer have left.
    """

    submission_id: str
    request: JobRequest
    settings: JobSettings
    tasks: list[Task]
    submitted_at_s: float
    deadline_s: float
    issued_offset: int
    waiting: deque[Task]
    unsettled_count: int
    repeated_verdict: Verdict = Verdict.NOT_RUN
    outstanding: int = 0
    urgency: Urgency = Urgency.ON_TIME
    has_caller_left: Callable[[], bool] = UNKNOWN_ORIGIN.has_left
    failure: RefusalReason | None = None
    failure_detail: str = ""
    answer: JobAnswer | None = None
    done: trio.Event = field(factory=trio.Event)

    def task_name(self, index: int) -> str:
        """Return the name of one of its tasks in logs."""
        return task_name(self.request.key or self.submission_id, index)

    def task_id(self, index: int) -> str:
        """Return the id of one of its tasks, which is the same when its caller sends it again."""
        return make_task_id(self.request.key or self.submission_id, index)

    @property
    def has_certainly_not_run(self) -> bool:
        """Return whether all tasks wait, and no start of any of them is unaccounted for."""
        waiting = len(self.waiting) == len(self.tasks)
        return waiting and self.verdict() == Verdict.NOT_RUN

    @property
    def settled_count(self) -> int:
        """Return the number of settled tasks."""
        return len(self.tasks) - self.unsettled_count

    def progress(self) -> JobAnswer:
        """Return the final answer, or the current progress of the job."""
        if self.answer is not None:
            return self.answer
        return JobAnswer(
            JobState.RUNNING, Verdict.MAY_HAVE_RUN, len(self.tasks), self.settled_count
        )

    def verdict(self) -> Verdict:
        """Return whether any task has run or may have run, as currently known."""
        verdicts = {task.report.verdict for task in self.tasks if task.report is not None}
        verdicts.add(self.repeated_verdict)
        if Verdict.RAN in verdicts:
            return Verdict.RAN
        if self.outstanding or Verdict.MAY_HAVE_RUN in verdicts:
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN


def new_submission(
    submission_id: str, request: JobRequest, settings: JobSettings, now_s: float
) -> Submission:
    """Create the record of an accepted job; `now_s` is the boot time."""
    tasks = [Task(index, spec) for index, spec in enumerate(request.tasks)]
    parsed = parse_submission_id(submission_id)
    assert parsed is not None
    return Submission(
        submission_id=submission_id,
        request=request,
        settings=settings,
        tasks=tasks,
        submitted_at_s=now_s,
        deadline_s=now_s + _time_limit_s(request, settings),
        issued_offset=parsed.offset,
        waiting=deque(tasks),
        unsettled_count=len(tasks),
    )


def _time_limit_s(request: JobRequest, settings: JobSettings) -> float:
    """Return the time until a job has to be answered.

    Callers of best-effort jobs say how long they wait; the settings limit that of other jobs.
    """
    if settings.best_effort and request.deadline_s > 0.0:
        return request.deadline_s
    return min(request.deadline_s or settings.deadline_s, settings.deadline_s)
