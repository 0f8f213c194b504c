"""Start table: the state of all tasks that this agent incarnation has admitted or refused.

The table guarantees that a task starts at most once. Every transition is synchronous, so no other
coroutine can run between a check and its effect.
"""

from collections.abc import Iterable

from attrs import define, evolve, field

from ..const import TaskState
from ..errors import RefusalReason, Verdict
from ..protocol.models import SealedSubmission, TaskRef, TaskReport


@define
class SubmissionRecord:
    """State of one submission at this incarnation.

    With `best_effort`, a task may start again under a later attempt once its run has ended. A later
    placement that arrived before is kept in `superseding`, by the task's index.
    """

    submission_id: str
    expires_at_s: float
    member: str = ""
    task_count: int = 0
    sealed: bool = False
    best_effort: bool = False
    tasks: dict[int, TaskReport] = field(factory=dict)
    superseding: dict[int, TaskRef] = field(factory=dict)


class StartTable:
    """Stores the state and outcome of tasks for a retention time."""

    def __init__(self, retention_s: float) -> None:
        """Create a table that keeps records for `retention_s` seconds after their last access."""
        self._retention_s = retention_s
        self._submissions: dict[str, SubmissionRecord] = {}

    def __len__(self) -> int:
        """Return the number of submission records."""
        return len(self._submissions)

    def get_or_create(self, submission_id: str, now_s: float) -> SubmissionRecord:
        """Return the record of a submission, creating it if needed, and extend its retention."""
        record = self._submissions.get(submission_id)
        if record is None:
            record = SubmissionRecord(submission_id, now_s + self._retention_s)
            self._submissions[submission_id] = record
        record.expires_at_s = max(record.expires_at_s, now_s + self._retention_s)
        return record

    def find(self, submission_id: str) -> SubmissionRecord | None:
        """Return the record of a submission, or None if there is none."""
        return self._submissions.get(submission_id)

    def refuse(self, record: SubmissionRecord, ref: TaskRef, reason: RefusalReason) -> TaskReport:
        """Fence a placement, so that it can never start, and return the state of its task.

        A task that is already known keeps its state unless this placement may replace it.
        """
        known = record.tasks.get(ref.index)
        if known is not None and not _is_replaceable(record, known, ref.attempt):
            return known
        report = _not_run(ref, TaskState.FENCED, reason)
        record.tasks[ref.index] = report
        return report

    def admit(self, record: SubmissionRecord, ref: TaskRef) -> TaskReport | None:
        """Queue a placement and return None, or return the task state that prevents it."""
        if record.sealed:
            return self.refuse(record, ref, RefusalReason.SEALED)
        known = record.tasks.get(ref.index)
        if known is not None and not _is_replaceable(record, known, ref.attempt):
            if known.attempt < ref.attempt:
                record.superseding[ref.index] = ref
            return known
        record.tasks[ref.index] = TaskReport(
            ref.index, ref.attempt, TaskState.QUEUED, Verdict.NOT_RUN
        )
        return None

    def start(self, record: SubmissionRecord, ref: TaskRef) -> bool:
        """Mark a queued placement as running, and return whether it may be started."""
        known = record.tasks.get(ref.index)
        if record.sealed or known is None:
            return False
        if known.state != TaskState.QUEUED or known.attempt != ref.attempt:
            return False
        record.tasks[ref.index] = evolve(
            known, state=TaskState.RUNNING, verdict=Verdict.MAY_HAVE_RUN
        )
        return True

    def settle(self, record: SubmissionRecord, report: TaskReport) -> None:
        """Store the outcome of a started task."""
        record.tasks[report.index] = report

    def refuse_superseding(self, record: SubmissionRecord, index: int) -> TaskReport | None:
        """Fence the placement that arrived while an earlier one of its task was in progress.

        Return its report, or None if there is no such placement.
        """
        ref = record.superseding.pop(index, None)
        return None if ref is None else self.refuse(record, ref, RefusalReason.FENCED)

    def withdraw(
        self, record: SubmissionRecord, ref: TaskRef, reason: RefusalReason
    ) -> TaskReport | None:
        """Settle a queued placement as not run; return None if it is no longer queued."""
        known = record.tasks.get(ref.index)
        if known is None or known.state != TaskState.QUEUED or known.attempt != ref.attempt:
            return None
        report = _not_run(ref, TaskState.FENCED, reason)
        record.tasks[ref.index] = report
        return report

    def query(self, record: SubmissionRecord, refs: Iterable[TaskRef]) -> list[TaskReport]:
        """Return the state of placements, and atomically fence those that are unknown."""
        return [self.refuse(record, ref, RefusalReason.FENCED) for ref in refs]

    def seal(self, submission_id: str, now_s: float) -> SealedSubmission:
        """Prevent further starts of a submission and return its recorded state.

        Queued tasks are settled as not run.
        """
        record = self.get_or_create(submission_id, now_s)
        record.sealed = True
        for task in list(record.tasks.values()):
            self.withdraw(record, TaskRef(task.index, task.attempt), RefusalReason.SEALED)
        return SealedSubmission(
            submission_id, record.member, record.task_count, list(record.tasks.values())
        )

    def expire(self, now_s: float) -> int:
        """Remove expired records without queued or running tasks, and return their number."""
        expired = [
            record.submission_id
            for record in self._submissions.values()
            if record.expires_at_s < now_s and not _is_active(record)
        ]
        for submission_id in expired:
            del self._submissions[submission_id]
        return len(expired)


def _is_replaceable(record: SubmissionRecord, known: TaskReport, attempt: int) -> bool:
    """Return whether a placement with this attempt number may replace the state of a task.

    The recorded attempt must be lower and settled as not run. A best-effort task may run again
    after any run that has ended.
    """
    settled = known.state in (TaskState.FENCED, TaskState.SETTLED)
    repeatable = record.best_effort or known.verdict == Verdict.NOT_RUN
    return settled and repeatable and known.attempt < attempt


def _is_active(record: SubmissionRecord) -> bool:
    active = (TaskState.QUEUED, TaskState.RUNNING)
    return any(task.state in active for task in record.tasks.values())


def _not_run(ref: TaskRef, state: TaskState, reason: RefusalReason) -> TaskReport:
    return TaskReport(ref.index, ref.attempt, state, Verdict.NOT_RUN, reason=reason)
