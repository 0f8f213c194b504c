"""Per-member usage counters: offered and run tasks, answered jobs, refusals by reason."""

from attrs import define, field

from ..const import JobState
from ..errors import RefusalReason
from ..protocol.models import MemberCounters, RuleCount
from ..submissions.models import JobAnswer, Submission
from .metrics import EntryMetrics


@define
class MemberAccount:
    """Cumulative counters of one member at this entry; `running_tasks` is a current count."""

    offered_tasks: int = 0
    started_tasks: int = 0
    running_tasks: int = 0
    completed_jobs: int = 0
    failed_jobs: int = 0
    run_s: float = 0.0
    refusals: dict[RefusalReason, int] = field(factory=dict)


class Accounting:
    """Usage counters of all members, and the metrics derived from the same events."""

    def __init__(self, metrics: EntryMetrics) -> None:
        """Initialize without any member."""
        self._metrics = metrics
        self._accounts: dict[str, MemberAccount] = {}

    def running_tasks(self, member: str) -> int:
        """Return how many tasks of a member are placed and not yet settled."""
        account = self._accounts.get(member)
        return account.running_tasks if account else 0

    def record_offered(self, member: str, tasks: int) -> None:
        """Count the tasks of an incoming submission, whether it is refused or not."""
        self._get_account(member).offered_tasks += tasks

    def record_placement(self, member: str) -> None:
        """Count a task that was placed at an agent."""
        account = self._get_account(member)
        account.running_tasks += 1

    def record_settled(self, member: str, run_s: float) -> None:
        """Count a settled task; `run_s` is 0 if it did not run."""
        account = self._get_account(member)
        account.running_tasks -= 1
        account.run_s += run_s
        if run_s > 0:
            account.started_tasks += 1

    def observe_placement_delay(self, waited_s: float) -> None:
        """Observe the time from the acceptance of a job to the placement of one of its tasks."""
        self._metrics.placement_s.observe(waited_s)

    def record_link_loss(self) -> None:
        """Count a closed link to an agent."""
        self._metrics.link_losses.inc()

    def set_waiting_tasks(self, tasks: int) -> None:
        """Set the gauge of tasks waiting to be placed."""
        self._metrics.waiting_tasks.set(tasks)

    def record_task_refusal(self, reason: RefusalReason) -> None:
        """Count a placement that an agent refused, or a run after which the task is run again."""
        self._metrics.task_refusals.labels(reason).inc()

    def record_wasted(self, kind: str) -> None:
        """Count a placement or report that did not contribute to an answer."""
        self._metrics.wasted.labels(kind).inc()

    def record_others_ahead(self) -> None:
        """Count a refused job for which waiting work of other entries was counted."""
        self._metrics.others_ahead.inc()

    def record_refusal(self, member: str, reason: RefusalReason) -> None:
        """Count a refused submission."""
        refusals = self._get_account(member).refusals
        refusals[reason] = refusals.get(reason, 0) + 1
        self._metrics.jobs.labels(member, "refused").inc()
        self._metrics.job_refusals.labels(reason).inc()

    def record_answer(self, submission: Submission, answer: JobAnswer, now_s: float) -> None:
        """Count an answered job."""
        request = submission.request
        account = self._get_account(request.member)
        if answer.state == JobState.COMPLETE:
            account.completed_jobs += 1
        else:
            account.failed_jobs += 1
        elapsed_s = now_s - submission.submitted_at_s
        labels = self._metrics.labels.labels_for(request.member, request.job)
        self._metrics.response_s.labels(*labels).observe(elapsed_s)
        self._metrics.jobs.labels(labels[0], answer.state).inc()

    def counters(self) -> list[MemberCounters]:
        """Return the counters of every member."""
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

    def _get_account(self, member: str) -> MemberAccount:
        return self._accounts.setdefault(member, MemberAccount())
