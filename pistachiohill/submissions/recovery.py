"""Determine the answer for a submission whose owner is lost.

Every agent that may have accepted the submission is asked to seal it and to report the state of its
tasks. A sealed submission can't start any more tasks at that agent. The verdict is NOT_RUN only if
all of these agents have answered, and the job is complete only if every task is known to have
succeeded.
"""

from collections.abc import Mapping

from attrs import define, field

from ..const import JobState, TaskState
from ..errors import RefusalReason, Verdict
from ..protocol.models import SealedSubmission, TaskReport
from .models import JobAnswer, failed_answer, refused_answer

NEW_ID_DETAIL = "the submission's owner is lost; nothing ran: submit again under a new id"
LOST_DETAIL = "the submission's owner is lost; some tasks may have run"


@define
class SealReports:
    """Reports of the agents on one sealed submission.

    `expected` contains the incarnations that may have accepted the submission, `sealed` those that
    have sealed it. `wrong_member` is set if the submission belongs to another member.
    """

    submission_id: str
    member: str
    expected: frozenset[str]
    sealed: set[str] = field(factory=set)
    task_count: int = 0
    tasks: dict[int, TaskReport] = field(factory=dict)
    wrong_member: bool = False

    def add(self, incarnation: str, sealed: SealedSubmission) -> None:
        """Add the report of an agent incarnation that has sealed the submission."""
        self.sealed.add(incarnation)
        if sealed.member and sealed.member != self.member:
            self.wrong_member = True
        self.task_count = max(self.task_count, sealed.task_count)
        for report in sealed.reports:
            self.add_report(report)

    def add_report(self, report: TaskReport) -> None:
        """Add the state of one task; RAN overrides MAY_HAVE_RUN, which overrides NOT_RUN."""
        known = self.tasks.get(report.index)
        if known is None or _precedence(report) > _precedence(known):
            self.tasks[report.index] = report

    @property
    def has_running_tasks(self) -> bool:
        """Return whether any task is still running."""
        return any(task.state == TaskState.RUNNING for task in self.tasks.values())

    @property
    def all_sealed(self) -> bool:
        """Return whether every agent that may have started a task has sealed the submission."""
        return self.expected <= self.sealed


def decide_answer(reports: SealReports) -> JobAnswer:
    """Derive the answer to the caller from the reports."""
    if reports.wrong_member:
        return refused_answer(RefusalReason.UNKNOWN_ID, "no such submission of this member")
    count = reports.task_count
    done = {index: task for index, task in reports.tasks.items() if _succeeded(task)}
    if count > 0 and len(done) == count and set(done) == set(range(count)):
        bodies = tuple(done[index].body for index in range(count))
        return JobAnswer(JobState.COMPLETE, Verdict.RAN, count, count, bodies)
    verdict = _verdict(reports.tasks, reports.all_sealed)
    if verdict == Verdict.NOT_RUN:
        return refused_answer(RefusalReason.OWNER_LOST, NEW_ID_DETAIL, task_count=count)
    return failed_answer(RefusalReason.OWNER_LOST, verdict, LOST_DETAIL, count, len(done))


def _verdict(tasks: Mapping[int, TaskReport], all_sealed: bool) -> Verdict:
    verdicts = {task.verdict for task in tasks.values()}
    if Verdict.RAN in verdicts:
        return Verdict.RAN
    if not all_sealed or Verdict.MAY_HAVE_RUN in verdicts:
        return Verdict.MAY_HAVE_RUN
    return Verdict.NOT_RUN


def _succeeded(task: TaskReport) -> bool:
    return task.state == TaskState.SETTLED and task.verdict == Verdict.RAN and not task.reason


def _precedence(task: TaskReport) -> tuple[int, int]:
    order = {Verdict.NOT_RUN: 0, Verdict.MAY_HAVE_RUN: 1, Verdict.RAN: 2}
    return order[Verdict(task.verdict)], int(task.state == TaskState.SETTLED)
