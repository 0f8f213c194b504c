"""A submission as its owner keeps it, and the answer its caller gets."""

from collections import deque

import trio
from attrs import define, field, frozen

from ..const import JobState
from ..errors import RefusalReason, Verdict
from ..protocol.models import ForwardReply, TaskReport
from ..scheduling.models import Demand
from ..settings.models import JobSettings
from .identifiers import parse_submission_id


@frozen
class TaskSpec:
    """What a caller says of one task; `declared_s` is its declared run time, 0 for none."""

    payload: bytes
    demand: Demand = Demand()
    declared_s: float = 0.0


@frozen
class JobRequest:
    """A checked request to run a job's tasks.

    Fields:
        member, job: Whose job it is, by the names of the settings tree.
        tasks: The tasks.
        deadline_s: How long the caller waits, in seconds; 0 for the job's own deadline.
        key: The caller's name of the job, empty where the submission id is the only name.
    """

    member: str
    job: str
    tasks: tuple[TaskSpec, ...]
    deadline_s: float = 0.0
    key: str = ""

    @property
    def path(self) -> str:
        """Return the job's path in the settings tree."""
        return f"consortium/{self.member}/{self.job}"


@frozen
class JobAnswer:
    """What a caller is told: complete with all bodies, failed with a verdict, or still running."""

    state: JobState
    verdict: Verdict
    task_count: int
    settled_tasks: int
    bodies: tuple[bytes, ...] = ()
    reason: RefusalReason | None = None
    detail: str = ""
    retry_after_s: float = 0.0

    def to_reply(self, request_id: int) -> ForwardReply:
        """Return the message that carries this answer between entries."""
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
        """Return the answer that a message carries."""
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


def refused(
    reason: RefusalReason, detail: str, retry_after_s: float = 0.0, task_count: int = 0
) -> JobAnswer:
    """Return the answer for a job of which nothing has run and nothing will."""
    return JobAnswer(
        JobState.FAILED, Verdict.NOT_RUN, task_count, 0, (), reason, detail, retry_after_s
    )


def failed(
    reason: RefusalReason, verdict: Verdict, detail: str, task_count: int, settled_tasks: int
) -> JobAnswer:
    """Return the answer for a job that failed after it was accepted."""
    return JobAnswer(JobState.FAILED, verdict, task_count, settled_tasks, (), reason, detail)


@define(eq=False, slots=True)
class Task:
    """One task, where it is, and its outcome once settled.

    `attempt` numbers its placements; `restarts` counts those after a refusal that was not merely
    for want of room; `runs` counts the runs that have failed.
    """

    index: int
    spec: TaskSpec
    attempt: int = 0
    restarts: int = 0
    runs: int = 0
    agent: str = ""
    refused_by: set[str] = field(factory=set)
    report: TaskReport | None = None


@define(eq=False, slots=True)
class Submission:
    """A job in progress or answered; `deadline_s` and `submitted_at_s` are boot times.

    `repeated_verdict` is the verdict on runs that have ended and were started once more.
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
    failure: RefusalReason | None = None
    failure_detail: str = ""
    answer: JobAnswer | None = None
    done: trio.Event = field(factory=trio.Event)

    @property
    def settled(self) -> int:
        """Return the number of settled tasks."""
        return len(self.tasks) - self.unsettled_count

    def progress(self) -> JobAnswer:
        """Return the final answer, or how far the job has come."""
        if self.answer is not None:
            return self.answer
        return JobAnswer(JobState.RUNNING, Verdict.MAY_HAVE_RUN, len(self.tasks), self.settled)

    def verdict(self) -> Verdict:
        """Return whether any task may have run, as far as it is known now."""
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
    """Return the record of a job accepted at a boot time."""
    tasks = [Task(index, spec) for index, spec in enumerate(request.tasks)]
    parsed = parse_submission_id(submission_id)
    assert parsed is not None
    limit_s = min(request.deadline_s or settings.deadline_s, settings.deadline_s)
    return Submission(
        submission_id=submission_id,
        request=request,
        settings=settings,
        tasks=tasks,
        submitted_at_s=now_s,
        deadline_s=now_s + limit_s,
        issued_offset=parsed.offset,
        waiting=deque(tasks),
        unsettled_count=len(tasks),
    )
