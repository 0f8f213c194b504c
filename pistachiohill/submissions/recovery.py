"""Decide a submission whose owner is lost.

Every agent that may have accepted the submission is asked to seal it, after which no task of it
can start there, and to report what it knows. Only when all of them have answered is a verdict of
NOT_RUN possible, and only when every task is known to have succeeded is the job complete.
"""

from collections.abc import Mapping

from attrs import define, field

from ..const import JobState, TaskState
from ..errors import RefusalReason, Verdict
from ..protocol.models import SealedSubmission, TaskReport
from .models import JobAnswer, failed, refused

NEW_ID_DETAIL = "the submission's owner is lost; nothing ran: submit again under a new id"
LOST_DETAIL = "the submission's owner is lost; some tasks may have run"


@define
class SealReports:
    """What agents have reported of one sealed submission.

    `expected` holds the incarnations that may have accepted the submission, `sealed` those that
    have sealed it.
    """

    submission_id: str
    member: str
    expected: frozenset[str]
    sealed: set[str] = field(factory=set)
    task_count: int = 0
    tasks: dict[int, TaskReport] = field(factory=dict)
    foreign: bool = False

    def add(self, incarnation: str, sealed: SealedSubmission) -> None:
        """Add an agent's report."""
        self.sealed.add(incarnation)
        if sealed.member and sealed.member != self.member:
            self.foreign = True
        self.task_count = max(self.task_count, sealed.task_count)
        for report in sealed.reports:
            self.add_report(report)

    def add_report(self, report: TaskReport) -> None:
        """Add the state of one task; what ran outweighs what may have, and that what did not."""
        known = self.tasks.get(report.index)
        if known is None or _weight(report) > _weight(known):
            self.tasks[report.index] = report

    @property
    def running(self) -> bool:
        """Return whether any task is still running."""
        return any(task.state == TaskState.RUNNING for task in self.tasks.values())

    @property
    def all_sealed(self) -> bool:
        """Return whether every agent that may have started a task has sealed."""
        return self.expected <= self.sealed


def decide(evidence: SealReports) -> JobAnswer:
    """Return the answer that the evidence supports."""
    if evidence.foreign:
        return refused(RefusalReason.UNKNOWN_ID, "no such submission of this member")
    count = evidence.task_count
    done = {index: task for index, task in evidence.tasks.items() if _succeeded(task)}
    if count > 0 and len(done) == count and set(done) == set(range(count)):
        bodies = tuple(done[index].body for index in range(count))
        return JobAnswer(JobState.COMPLETE, Verdict.RAN, count, count, bodies)
    verdict = _verdict(evidence.tasks, evidence.all_sealed)
    if verdict == Verdict.NOT_RUN:
        return refused(RefusalReason.OWNER_LOST, NEW_ID_DETAIL, task_count=count)
    return failed(RefusalReason.OWNER_LOST, verdict, LOST_DETAIL, count, len(done))


def _verdict(tasks: Mapping[int, TaskReport], accounted: bool) -> Verdict:
    verdicts = {task.verdict for task in tasks.values()}
    if Verdict.RAN in verdicts:
        return Verdict.RAN
    if not accounted or Verdict.MAY_HAVE_RUN in verdicts:
        return Verdict.MAY_HAVE_RUN
    return Verdict.NOT_RUN


def _succeeded(task: TaskReport) -> bool:
    return task.state == TaskState.SETTLED and task.verdict == Verdict.RAN and not task.reason


def _weight(task: TaskReport) -> tuple[int, int]:
    order = {Verdict.NOT_RUN: 0, Verdict.MAY_HAVE_RUN: 1, Verdict.RAN: 2}
    return order[Verdict(task.verdict)], int(task.state == TaskState.SETTLED)
