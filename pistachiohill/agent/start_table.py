"""The start table: which tasks of which submissions this incarnation has started.

The table is what makes a start at-most-once. Every transition is one synchronous step, so no other
task of the process can come between a check and its effect.
"""

from collections.abc import Iterable

from attrs import define, evolve, field

from ..const import TaskState
from ..errors import RefusalReason, Verdict
from ..protocol.models import SealedSubmission, TaskRef, TaskReport


@define
class SubmissionStarts:
    """All that this incarnation knows of one submission.

    `best_effort` allows a task to start again under a later attempt once a run has ended.
    """

    submission_id: str
    expires_at_s: float
    member: str = ""
    task_count: int = 0
    sealed: bool = False
    best_effort: bool = False
    tasks: dict[int, TaskReport] = field(factory=dict)


class StartTable:
    """Remembers starts and their outcomes for a retention time."""

    def __init__(self, retention_s: float) -> None:
        """Keep entries for `retention_s` seconds after they were last touched."""
        self._retention_s = retention_s
        self._submissions: dict[str, SubmissionStarts] = {}

    def __len__(self) -> int:
        """Return the number of submissions remembered."""
        return len(self._submissions)

    def get_or_create(self, submission_id: str, now_s: float) -> SubmissionStarts:
        """Return the entry of a submission, made when it is unknown."""
        entry = self._submissions.get(submission_id)
        if entry is None:
            entry = SubmissionStarts(submission_id, now_s + self._retention_s)
            self._submissions[submission_id] = entry
        entry.expires_at_s = max(entry.expires_at_s, now_s + self._retention_s)
        return entry

    def find(self, submission_id: str) -> SubmissionStarts | None:
        """Return the entry of a submission, or None when it is unknown."""
        return self._submissions.get(submission_id)

    def refuse(self, entry: SubmissionStarts, ref: TaskRef, reason: RefusalReason) -> TaskReport:
        """Fence a placement unless the task is already known, and return its state."""
        known = entry.tasks.get(ref.index)
        if known is not None and not _superseded(entry, known, ref.attempt):
            return known
        report = _not_run(ref, TaskState.FENCED, reason)
        entry.tasks[ref.index] = report
        return report

    def admit(self, entry: SubmissionStarts, ref: TaskRef) -> TaskReport | None:
        """Queue a placement; return the state that forbids it, or None when it was queued."""
        if entry.sealed:
            return self.refuse(entry, ref, RefusalReason.SEALED)
        known = entry.tasks.get(ref.index)
        if known is not None and not _superseded(entry, known, ref.attempt):
            return known
        entry.tasks[ref.index] = TaskReport(
            ref.index, ref.attempt, TaskState.QUEUED, Verdict.NOT_RUN
        )
        return None

    def start(self, entry: SubmissionStarts, ref: TaskRef) -> bool:
        """Mark a queued placement as running; return whether it may be started."""
        known = entry.tasks.get(ref.index)
        if entry.sealed or known is None:
            return False
        if known.state != TaskState.QUEUED or known.attempt != ref.attempt:
            return False
        entry.tasks[ref.index] = evolve(
            known, state=TaskState.RUNNING, verdict=Verdict.MAY_HAVE_RUN
        )
        return True

    def settle(self, entry: SubmissionStarts, report: TaskReport) -> None:
        """Keep the outcome of a started task."""
        entry.tasks[report.index] = report

    def withdraw(
        self, entry: SubmissionStarts, ref: TaskRef, reason: RefusalReason
    ) -> TaskReport | None:
        """Settle a queued placement as not run; return None when it is not queued any more."""
        known = entry.tasks.get(ref.index)
        if known is None or known.state != TaskState.QUEUED or known.attempt != ref.attempt:
            return None
        report = _not_run(ref, TaskState.FENCED, reason)
        entry.tasks[ref.index] = report
        return report

    def query(self, entry: SubmissionStarts, refs: Iterable[TaskRef]) -> list[TaskReport]:
        """Return the state of placements, fencing in the same step those not known here."""
        return [self.refuse(entry, ref, RefusalReason.FENCED) for ref in refs]

    def seal(self, submission_id: str, now_s: float) -> SealedSubmission:
        """Forbid further starts of a submission and return all that is known of it.

        Queued tasks cannot start any more, and so they are settled as not run.
        """
        entry = self.get_or_create(submission_id, now_s)
        entry.sealed = True
        for task in list(entry.tasks.values()):
            self.withdraw(entry, TaskRef(task.index, task.attempt), RefusalReason.SEALED)
        return SealedSubmission(
            submission_id, entry.member, entry.task_count, list(entry.tasks.values())
        )

    def expire(self, now_s: float) -> int:
        """Forget entries past their retention that run nothing; return how many."""
        expired = [
            entry.submission_id
            for entry in self._submissions.values()
            if entry.expires_at_s < now_s and not _is_active(entry)
        ]
        for submission_id in expired:
            del self._submissions[submission_id]
        return len(expired)


def _superseded(entry: SubmissionStarts, known: TaskReport, attempt: int) -> bool:
    """Return whether a later placement may replace what is known of a task.

    A best-effort task whose run has ended may run again.
    """
    settled = known.state in (TaskState.FENCED, TaskState.SETTLED)
    repeatable = entry.best_effort or known.verdict == Verdict.NOT_RUN
    return settled and repeatable and known.attempt < attempt


def _is_active(entry: SubmissionStarts) -> bool:
    active = (TaskState.QUEUED, TaskState.RUNNING)
    return any(task.state in active for task in entry.tasks.values())


def _not_run(ref: TaskRef, state: TaskState, reason: RefusalReason) -> TaskReport:
    return TaskReport(ref.index, ref.attempt, state, Verdict.NOT_RUN, reason=reason)
