"""Admit, start and report tasks: the agent's side of every submission."""

from collections import deque

import trio
from attrs import define

from .. import clock, logs
from ..const import TaskState
from ..errors import RefusalReason, Verdict
from ..protocol.link import Link
from ..protocol.models import (
    AgentState,
    CancelTasks,
    FreshnessRequest,
    QueryTasks,
    SealReply,
    SealSubmissions,
    StartTasks,
    TaskRef,
    TaskReport,
    TaskReports,
)
from ..settings.models import AgentSettings
from .admission import TargetState, refuse_start, refuse_submission
from .const import EXPIRY_INTERVAL_S
from .metrics import AgentMetrics
from .start_table import StartTable, SubmissionStarts
from .target_client import TargetAnswer, TargetCall, TargetClient
from .view import AgentView


@define(slots=True)
class QueuedTask:
    """A task that waits for a slot; `deadline_s` is a boot time."""

    entry: SubmissionStarts
    ref: TaskRef
    deadline_s: float
    call: TargetCall


@define(slots=True)
class Listener:
    """Who hears of a submission's tasks, and the reports that have not been sent yet."""

    links: set[Link]
    pending: list[TaskReport]
    report_each: bool = False
    flush_due: bool = False
    unsettled: int = 0


class TaskRunner:
    """Owns the start table, the queue and the running tasks of one agent."""

    def __init__(
        self,
        settings: AgentSettings,
        nursery: trio.Nursery,
        client: TargetClient,
        metrics: AgentMetrics,
    ) -> None:
        """Start idle; tasks run in `nursery`."""
        self.view = AgentView()
        self.target = TargetState()
        self.table = StartTable(settings.retention_s)
        self.links: set[Link] = set()
        self.announce_offset = -1
        self.stopping = False
        self.running = 0
        self._settings = settings
        self._nursery = nursery
        self._client = client
        self._metrics = metrics
        self._queue: deque[QueuedTask] = deque()
        self._listeners: dict[str, Listener] = {}
        self._refresh_pending = False
        self._idle = trio.Event()

    @property
    def occupied(self) -> int:
        """Return the number of tasks queued or running."""
        return self.running + len(self._queue)

    def state(self, now_s: float) -> AgentState:
        """Return what entries are told of this agent."""
        refusal = refuse_start(self.view, self.target, self.stopping, now_s)
        return AgentState(
            stamp_s=now_s,
            announce_offset=self.announce_offset,
            service=self.target.service,
            slots=self.target.slots,
            accepting=refusal is None and self.announce_offset >= 0,
            occupied=self.occupied,
            applied_offset=self.view.offset,
            view_age_s=min(self.view.age_s(now_s), 1e9),
        )

    def tell_entries(self, now_s: float) -> None:
        """Send the agent's state to all entries."""
        state = self.state(now_s)
        for link in self.links:
            link.send(state)

    def detach(self, link: Link) -> None:
        """Forget a link that has ended."""
        self.links.discard(link)
        for listener in self._listeners.values():
            listener.links.discard(link)

    def start_tasks(self, link: Link, message: StartTasks, now_s: float) -> None:
        """Admit the tasks of a message and start as many as there are slots."""
        self.view.merge(message.view, now_s)
        entry = self.table.open(message.submission_id, now_s)
        entry.member = message.member
        entry.task_count = message.task_count
        listener = self._listen(message.submission_id, link)
        refusal = self._refuse_batch(message, now_s)
        for task in message.tasks:
            ref = TaskRef(task.index, task.attempt)
            self._admit(entry, ref, refusal, message, task.payload, now_s)
        self._fill(now_s)
        self._flush_if_done(entry.submission_id, listener)

    def query(self, link: Link, message: QueryTasks, now_s: float) -> None:
        """Answer with the state of placements; those unknown are fenced."""
        entry = self.table.open(message.submission_id, now_s)
        listener = self._listen(message.submission_id, link)
        reports = self.table.query(entry, message.tasks)
        settled = [report for report in reports if report.state != TaskState.QUEUED]
        settled = [report for report in settled if report.state != TaskState.RUNNING]
        listener.report_each = True
        link.send(TaskReports(message.submission_id, now_s, self.occupied, settled))

    def cancel(self, message: CancelTasks, now_s: float) -> None:
        """Settle all queued tasks of a submission as not run and refuse later ones."""
        entry = self.table.open(message.submission_id, now_s)
        entry.sealed = True
        self._withdraw_queued(entry, RefusalReason.CANCELLED)
        self._fill(now_s)

    def seal(self, link: Link, message: SealSubmissions, now_s: float) -> None:
        """Forbid further starts of submissions and answer with all that is known of them."""
        sealed = []
        for submission_id in message.submission_ids:
            entry = self.table.open(submission_id, now_s)
            self._withdraw_queued(entry, RefusalReason.SEALED)
            sealed.append(self.table.seal(submission_id, now_s))
            self._listen(submission_id, link).report_each = True
        link.send(SealReply(message.request_id, self.announce_offset, sealed))

    def shed(self, reason: RefusalReason, now_s: float) -> int:
        """Settle every queued task as not run; running ones go on. Return how many were shed."""
        count = 0
        while self._queue:
            task = self._queue.popleft()
            count += self._withdraw(task, reason)
        if count:
            logs.event("tasks_shed", reason=reason, tasks=count)
        self.tell_entries(now_s)
        return count

    def refreshed(self, now_s: float) -> None:
        """React to a newer stamp: start what waited, or shed when the domain has gone out."""
        if self.view.is_fresh(now_s):
            self._refresh_pending = False
        if self.view.domain_out and self._queue:
            self.shed(RefusalReason.DOMAIN_OUT, now_s)
        self._fill(now_s)

    async def async_wait_idle(self) -> None:
        """Wait until nothing is queued or running."""
        while self.occupied:
            self._idle = trio.Event()
            await self._idle.wait()

    async def async_expire(self) -> None:
        """Forget old submissions for as long as the process runs."""
        while True:
            await trio.sleep(EXPIRY_INTERVAL_S)
            self.table.expire(clock.boot_s())
            gone = [key for key in self._listeners if self.table.find(key) is None]
            for submission_id in gone:
                del self._listeners[submission_id]

    def _listen(self, submission_id: str, link: Link) -> Listener:
        listener = self._listeners.get(submission_id)
        if listener is None:
            listener = self._listeners[submission_id] = Listener(set(), [])
        listener.links.add(link)
        return listener

    def _refuse_batch(self, message: StartTasks, now_s: float) -> RefusalReason | None:
        refusal = refuse_submission(
            message.submission_id,
            self.announce_offset,
            self._settings.retention_s,
            clock.wall_s(),
        )
        return refusal or refuse_start(self.view, self.target, self.stopping, now_s)

    def _admit(
        self,
        entry: SubmissionStarts,
        ref: TaskRef,
        refusal: RefusalReason | None,
        message: StartTasks,
        payload: bytes,
        now_s: float,
    ) -> None:
        limit = self.target.slots + self._settings.queue_tasks
        if refusal is None and self.occupied >= limit:
            refusal = RefusalReason.BUSY
        if refusal is not None:
            self._report(entry, self.table.refuse(entry, ref, refusal))
            return
        known = self.table.admit(entry, ref)
        if known is not None:
            self._report(entry, known)
            return
        call = TargetCall(
            task_id=f"{message.submission_id}/{ref.index}",
            member=message.member,
            job=message.job,
            payload=payload,
            timeout_s=message.task_timeout_s,
            refusal_is_not_run=message.refusal_is_not_run,
        )
        self._listeners[entry.submission_id].unsettled += 1
        self._queue.append(QueuedTask(entry, ref, now_s + message.deadline_in_s, call))

    def _fill(self, now_s: float) -> None:
        """Start queued tasks while there are free slots and the view allows it."""
        while self._queue and self.running < max(1, self.target.slots):
            if not self.view.is_fresh(now_s):
                self._request_refresh(now_s)
                return
            task = self._queue.popleft()
            refusal = refuse_start(self.view, self.target, self.stopping, now_s)
            if now_s >= task.deadline_s:
                refusal = RefusalReason.DEADLINE
            if refusal is not None:
                self._withdraw(task, refusal)
            elif self.table.start(task.entry, task.ref):
                self.running += 1
                self._nursery.start_soon(self._async_run, task)
            else:
                self._withdraw(task, RefusalReason.SEALED)
        self._metrics.occupied.set(self.occupied)

    def _request_refresh(self, now_s: float) -> None:
        if self._refresh_pending:
            return
        self._refresh_pending = True
        for link in self.links:
            link.send(FreshnessRequest(now_s))
        self._nursery.start_soon(self._async_refresh_deadline)

    async def _async_refresh_deadline(self) -> None:
        await trio.sleep(max(0.2, min(1.0, self.view.max_age_s)))
        now_s = clock.boot_s()
        if self._queue and not self.view.is_fresh(now_s):
            logs.warning("view_stale", age_s=self.view.age_s(now_s), offset=self.view.offset)
            self.shed(RefusalReason.STALE_VIEW, now_s)
        self._refresh_pending = False
        self._fill(now_s)

    async def _async_run(self, task: QueuedTask) -> None:
        started_s = clock.boot_s()
        answer = TargetAnswer(Verdict.MAY_HAVE_RUN, RefusalReason.TARGET_TIMEOUT)
        with trio.move_on_after(task.call.timeout_s):
            answer = await self._client.async_call(self.target.url, task.call)
        now_s = clock.boot_s()
        self.running -= 1
        report = TaskReport(
            index=task.ref.index,
            attempt=task.ref.attempt,
            state=TaskState.SETTLED,
            verdict=answer.verdict,
            status_code=answer.status_code,
            body=answer.body,
            reason=answer.reason or "",
            run_s=now_s - started_s,
        )
        self.table.settle(task.entry, report)
        self._observe(task, report)
        self._listeners[task.entry.submission_id].unsettled -= 1
        self._fill(now_s)
        self._report(task.entry, report)
        if not self.occupied:
            self._idle.set()

    def _observe(self, task: QueuedTask, report: TaskReport) -> None:
        member, job = self._metrics.labels.pair(task.call.member, task.call.job)
        self._metrics.run_s.labels(member, job).observe(report.run_s)
        self._metrics.occupied.set(self.occupied)
        if report.reason:
            logs.event(
                "task_failed",
                task=task.call.task_id,
                verdict=report.verdict,
                reason=report.reason,
                status=report.status_code,
                run_s=report.run_s,
            )
            return
        logs.debug("task_ran", task=task.call.task_id, run_s=report.run_s)

    def _withdraw(self, task: QueuedTask, reason: RefusalReason) -> int:
        """Settle a task taken from the queue as not run; return 1 when it had not been settled."""
        self._listeners[task.entry.submission_id].unsettled -= 1
        report = self.table.withdraw(task.entry, task.ref, reason)
        if report is None:
            return 0
        self._report(task.entry, report)
        return 1

    def _withdraw_queued(self, entry: SubmissionStarts, reason: RefusalReason) -> None:
        """Settle all queued tasks of one submission as not run."""
        mine = [task for task in self._queue if task.entry is entry]
        if not mine:
            return
        self._queue = deque(task for task in self._queue if task.entry is not entry)
        for task in mine:
            self._withdraw(task, reason)

    def _report(self, entry: SubmissionStarts, report: TaskReport) -> None:
        if report.state in (TaskState.QUEUED, TaskState.RUNNING):
            return
        self._metrics.reports.labels(report.verdict, report.reason or "none").inc()
        listener = self._listeners.get(entry.submission_id)
        if listener is None:
            return
        listener.pending.append(report)
        self._flush_if_done(entry.submission_id, listener)

    def _flush_if_done(self, submission_id: str, listener: Listener) -> None:
        if not listener.pending:
            return
        if listener.unsettled <= 0 or listener.report_each:
            self._flush(submission_id, listener)
        elif not listener.flush_due:
            listener.flush_due = True
            self._nursery.start_soon(self._async_flush_later, submission_id, listener)

    async def _async_flush_later(self, submission_id: str, listener: Listener) -> None:
        await trio.sleep(self._settings.report_interval_s)
        listener.flush_due = False
        self._flush(submission_id, listener)

    def _flush(self, submission_id: str, listener: Listener) -> None:
        if not listener.pending:
            return
        message = TaskReports(submission_id, clock.boot_s(), self.occupied, listener.pending)
        listener.pending = []
        for link in listener.links:
            link.send(message)
