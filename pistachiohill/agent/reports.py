"""Task reports of an agent: grouped by submission and sent to the entries that asked for them."""

from collections.abc import Callable

import trio
from attrs import define

from .. import clock
from ..const import TaskState
from ..protocol.link import Link
from ..protocol.models import AgentLoad, TaskReport, TaskReports
from .metrics import AgentMetrics


@define(slots=True)
class Subscription:
    """Links that receive the reports of a submission, and the reports not sent yet.

    `unsettled` is the number of the submission's tasks here that are queued or running.
    """

    links: set[Link]
    pending: list[TaskReport]
    report_immediately: bool = False
    flush_scheduled: bool = False
    unsettled: int = 0


class ReportSender:
    """Sends the reports of a submission together when its last task here is settled.

    While tasks are left, reports wait for at most `interval_s`, so that a message carries several.
    """

    def __init__(
        self,
        interval_s: float,
        nursery: trio.Nursery,
        metrics: AgentMetrics,
        load_to_send: Callable[[Link, float], AgentLoad],
    ) -> None:
        """Initialize without subscriptions.

        `load_to_send` returns the load that goes with a message on a link at a boot time.
        """
        self._interval_s = interval_s
        self._nursery = nursery
        self._metrics = metrics
        self._load_to_send = load_to_send
        self._subscriptions: dict[str, Subscription] = {}

    def subscribe(self, submission_id: str, link: Link, *, immediately: bool = False) -> None:
        """Send the reports of a submission to a link too; from now on at once if `immediately`."""
        subscription = self._subscriptions.get(submission_id)
        if subscription is None:
            subscription = self._subscriptions[submission_id] = Subscription(set(), [])
        subscription.links.add(link)
        subscription.report_immediately |= immediately

    def remove_link(self, link: Link) -> None:
        """Send nothing more to a closed link."""
        for subscription in self._subscriptions.values():
            subscription.links.discard(link)

    def expire(self, is_known: Callable[[str], bool]) -> None:
        """Remove the subscriptions of submissions that are no longer known."""
        for submission_id in [key for key in self._subscriptions if not is_known(key)]:
            del self._subscriptions[submission_id]

    def task_admitted(self, submission_id: str) -> None:
        """Count a task whose report will follow."""
        self._subscriptions[submission_id].unsettled += 1

    def task_settled(self, submission_id: str) -> None:
        """Count a task that is no longer queued or running."""
        self._subscriptions[submission_id].unsettled -= 1

    def report(self, submission_id: str, report: TaskReport) -> None:
        """Send a report, now or with later ones; tasks in progress have nothing to report."""
        if report.state in (TaskState.QUEUED, TaskState.RUNNING):
            return
        self._metrics.reports.labels(report.verdict, report.reason or "none").inc()
        subscription = self._subscriptions.get(submission_id)
        if subscription is None:
            return
        subscription.pending.append(report)
        self.flush_or_schedule(submission_id)

    def flush_or_schedule(self, submission_id: str) -> None:
        """Send the pending reports of a submission, or schedule that."""
        subscription = self._subscriptions[submission_id]
        if not subscription.pending:
            return
        if subscription.unsettled <= 0 or subscription.report_immediately:
            self._flush(submission_id, subscription)
        elif not subscription.flush_scheduled:
            subscription.flush_scheduled = True
            self._nursery.start_soon(self._async_flush_later, submission_id, subscription)

    async def _async_flush_later(self, submission_id: str, subscription: Subscription) -> None:
        await trio.sleep(self._interval_s)
        subscription.flush_scheduled = False
        self._flush(submission_id, subscription)

    def _flush(self, submission_id: str, subscription: Subscription) -> None:
        if not subscription.pending:
            return
        now_s = clock.boot_s()
        reports, subscription.pending = subscription.pending, []
        for link in subscription.links:
            load = self._load_to_send(link, now_s)
            link.send(TaskReports(submission_id, now_s, load, reports))
