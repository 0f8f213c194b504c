"""Counts for each member: what it offered, what it got, what was refused and by which rule."""

from attrs import define, field

from ..const import JobState
from ..errors import RefusalReason
from ..protocol.models import MemberCounters, RuleCount
from ..submissions.models import JobAnswer, Submission
from .metrics import EntryMetrics


@define
class MemberAccount:
    """Running totals of one member at this entry."""

    offered_tasks: int = 0
    started_tasks: int = 0
    running_tasks: int = 0
    completed_jobs: int = 0
    failed_jobs: int = 0
    run_s: float = 0.0
    refusals: dict[RefusalReason, int] = field(factory=dict)


class Accounting:
    """Accounts of all members."""

    def __init__(self, metrics: EntryMetrics) -> None:
        """Start empty."""
        self._metrics = metrics
        self._accounts: dict[str, MemberAccount] = {}

    def running(self, member: str) -> int:
        """Return the member's tasks placed and not settled."""
        account = self._accounts.get(member)
        return account.running_tasks if account else 0

    def offered(self, member: str, tasks: int) -> None:
        """Count an offered submission, refused or not."""
        self._account(member).offered_tasks += tasks

    def started(self, member: str) -> None:
        """Count a placed task."""
        account = self._account(member)
        account.running_tasks += 1

    def ended(self, member: str, run_s: float) -> None:
        """Count a settled task; `run_s` is 0 when it did not run."""
        account = self._account(member)
        account.running_tasks -= 1
        account.run_s += run_s
        if run_s > 0:
            account.started_tasks += 1

    def placed(self, waited_s: float) -> None:
        """Count a placement, made some time after its job was accepted."""
        self._metrics.placement_s.observe(waited_s)

    def link_lost(self) -> None:
        """Count a link to an agent that has ended."""
        self._metrics.link_losses.inc()

    def waiting(self, tasks: int) -> None:
        """Show how many tasks wait to be placed."""
        self._metrics.waiting_tasks.set(tasks)

    def task_refused(self, reason: RefusalReason) -> None:
        """Count a task that an agent turned away."""
        self._metrics.task_refusals.labels(reason).inc()

    def wasted(self, kind: str) -> None:
        """Count a placement or report that did not serve an answer."""
        self._metrics.wasted.labels(kind).inc()

    def refused(self, member: str, reason: RefusalReason) -> None:
        """Count a refused submission."""
        refusals = self._account(member).refusals
        refusals[reason] = refusals.get(reason, 0) + 1
        self._metrics.jobs.labels(member, "refused").inc()
        self._metrics.job_refusals.labels(reason).inc()

    def answered(self, submission: Submission, answer: JobAnswer, now_s: float) -> None:
        """Count an answered job."""
        request = submission.request
        account = self._account(request.member)
        if answer.state == JobState.COMPLETE:
            account.completed_jobs += 1
        else:
            account.failed_jobs += 1
        elapsed_s = now_s - submission.submitted_at_s
        labels = self._metrics.labels.labels_for(request.member, request.job)
        self._metrics.response_s.labels(*labels).observe(elapsed_s)
        self._metrics.jobs.labels(labels[0], answer.state).inc()

    def counters(self) -> list[MemberCounters]:
        """Return the totals of every member."""
        return [
            MemberCounters(
                member=name,
                offered_tasks=account.offered_tasks,
                started_tasks=account.started_tasks,
                completed_jobs=account.completed_jobs,
                failed_jobs=account.failed_jobs,
                refusals=[RuleCount(rule, count) for rule, count in account.refusals.items()],
                run_s=account.run_s,
            )
            for name, account in self._accounts.items()
        ]

    def _account(self, member: str) -> MemberAccount:
        return self._accounts.setdefault(member, MemberAccount())
