"""Admit, start and report tasks: the agent's side of every submission."""

from bisect import insort
from collections.abc import Callable

import trio
from attrs import define

from .. import clock, logs
from ..const import TaskState
from ..errors import RefusalReason, Verdict
from ..protocol.link import Link
from ..protocol.models import (
    AgentLoad,
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
    TaskStart,
    ViewStamp,
)
from ..scheduling.models import Demand
from ..settings.models import AgentSettings
from .admission import refuse_start, refuse_submission
from .const import (
    ENTRY_LEASE_S,
    EXPIRY_INTERVAL_S,
    LEASE_CHECK_S,
    LOAD_STEP_FRACTION,
    PRESSED_FRACTION,
    PRESSED_STEP_FRACTION,
)
from .leases import EntryLeases
from .metrics import AgentMetrics
from .models import TargetCall, TargetResult, TargetState, TaskTarget
from .resources import HeldTask, Room, ToldLoad
from .start_table import StartTable, SubmissionStarts
from .view import AgentView


@define(eq=False, slots=True)
class QueuedTask:
    """A task that waits for room or runs; `deadline_s` is a boot time."""

    entry: SubmissionStarts
    ref: TaskRef
    deadline_s: float
    call: TargetCall
    held: HeldTask
    best_effort: bool
    order: int
    admitted_at_s: float
    stop_reason: RefusalReason | None = None

    @property
    def rank(self) -> tuple[int, int]:
        """Return the task's place in the queue."""
        return self.held.priority, self.order


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
        target: TaskTarget,
        metrics: AgentMetrics,
    ) -> None:
        """Start idle; tasks run in `nursery`."""
        self.view = AgentView()
        self.target = TargetState()
        self.table = StartTable(settings.retention_s)
        self.leases = EntryLeases(ENTRY_LEASE_S)
        self.links: set[Link] = set()
        self._told: dict[Link, ToldLoad] = {}
        self.announce_offset = -1
        self.stopping = False
        self._settings = settings
        self._nursery = nursery
        self._client = target
        self._metrics = metrics
        self._room = Room()
        self._queue: list[QueuedTask] = []
        self._running: set[QueuedTask] = set()
        self._listeners: dict[str, Listener] = {}
        self._refresh_pending = False
        self._idle = trio.Event()
        self._order = 0
        self._load_changed = trio.Event()

    @property
    def occupied(self) -> int:
        """Return the number of tasks queued or running."""
        return self._room.all.tasks

    @property
    def free_cpu_m(self) -> int:
        """Return the processor room that no task takes, negative while tasks are queued."""
        return self.target.cpu_m - self._room.all.cpu_m

    def is_accepting(self, now_s: float) -> bool:
        """Return whether entries may place tasks here."""
        refusal = refuse_start(self.view, self.target, self.stopping, now_s)
        known = self.announce_offset >= 0 or not self._settings.announce_first
        return refusal is None and known and self._client.ready

    @property
    def load_changed(self) -> trio.Event:
        """Return an event that is set when tasks come or go."""
        return self._load_changed

    def load_for(self, link: Link, now_s: float) -> AgentLoad:
        """Return what the entry at a link may be told of the others' load and of waits."""
        queue = (task.held for task in self._queue)
        return self._room.load_for(link.peer_incarnation, queue, self.target.cpu_m, now_s)

    def tell_load(self, link: Link, now_s: float) -> AgentLoad:
        """Return the load for a message to an entry, and keep it as what the entry was told."""
        load = self.load_for(link, now_s)
        self._told[link] = ToldLoad(load, now_s)
        return load

    def needs_telling(self, link: Link, now_s: float) -> bool:
        """Return whether the load has moved away from what an entry was last told."""
        told = self._told.get(link)
        if told is None:
            return True
        pressed = self.free_cpu_m < PRESSED_FRACTION * self.target.cpu_m
        fraction = PRESSED_STEP_FRACTION if pressed else LOAD_STEP_FRACTION
        return told.differs(self.load_for(link, now_s), fraction * self.target.cpu_m, now_s)

    def state_for(self, link: Link, now_s: float) -> AgentState:
        """Return what the entry at a link is told of this agent."""
        return AgentState(
            stamp_s=now_s,
            announce_offset=self.announce_offset,
            service=self.target.service,
            cpu_m=self.target.cpu_m,
            mem_mb=self.target.mem_mb,
            accepting=self.is_accepting(now_s),
            load=self.tell_load(link, now_s),
            applied_offset=self.view.offset,
            view_age_s=min(self.view.age_s(now_s), 1e9),
        )

    def tell_entries(self, now_s: float) -> None:
        """Send the agent's state to all entries."""
        for link in self.links:
            self.tell(link, now_s)

    def tell(self, link: Link, now_s: float) -> None:
        """Send the agent's state to one entry."""
        link.send(self.state_for(link, now_s))

    def detach(self, link: Link) -> None:
        """Forget a link that has ended."""
        self.links.discard(link)
        self._told.pop(link, None)
        for listener in self._listeners.values():
            listener.links.discard(link)

    def merge_stamp(self, link: Link, stamp: ViewStamp, now_s: float) -> None:
        """Merge what an entry says of the view, and extend its lease by the echo in it."""
        self.view.merge(stamp, now_s)
        self.leases.extend(link.peer_incarnation, stamp.echo_s, now_s)

    def start_tasks(self, link: Link, message: StartTasks, now_s: float) -> None:
        """Admit the tasks of a message and start as many as there is room for."""
        self.merge_stamp(link, message.view, now_s)
        entry = self.table.get_or_create(message.submission_id, now_s)
        entry.member = message.member
        entry.task_count = message.task_count
        entry.best_effort = message.best_effort
        listener = self._listen(message.submission_id, link)
        refusal = self._refuse_batch(message, now_s)
        for task in message.tasks:
            self._admit(entry, link, refusal, message, task, now_s)
        if message.best_effort and self.leases.is_aging(link.peer_incarnation, now_s):
            # The link was idle: ask for an echo, without which the tasks would not start or last.
            link.send(FreshnessRequest(now_s))
        self._fill(now_s)
        self._flush_if_done(entry.submission_id, listener)

    def query(self, link: Link, message: QueryTasks, now_s: float) -> None:
        """Answer with the state of placements; those unknown are fenced."""
        entry = self.table.get_or_create(message.submission_id, now_s)
        listener = self._listen(message.submission_id, link)
        reports = self.table.query(entry, message.tasks)
        settled = [report for report in reports if report.state != TaskState.QUEUED]
        settled = [report for report in settled if report.state != TaskState.RUNNING]
        listener.report_each = True
        load = self.tell_load(link, now_s)
        link.send(TaskReports(message.submission_id, now_s, load, settled))

    def cancel(self, message: CancelTasks, now_s: float) -> None:
        """Settle all queued tasks of a submission as not run and refuse later ones.

        Running tasks of best-effort jobs are stopped; others go on, as their caller was told.
        """
        entry = self.table.get_or_create(message.submission_id, now_s)
        entry.sealed = True
        self._withdraw_entry(entry, RefusalReason.CANCELLED)
        self._stop_running(lambda task: task.entry is entry, RefusalReason.CANCELLED)
        self._fill(now_s)

    def seal(self, link: Link, message: SealSubmissions, now_s: float) -> None:
        """Forbid further starts of submissions and answer with all that is known of them."""
        sealed = []
        for submission_id in message.submission_ids:
            entry = self.table.get_or_create(submission_id, now_s)
            self._withdraw_entry(entry, RefusalReason.SEALED)
            sealed.append(self.table.seal(submission_id, now_s))
            self._listen(submission_id, link).report_each = True
        link.send(SealReply(message.request_id, self.announce_offset, sealed))

    def shed(self, reason: RefusalReason, now_s: float) -> int:
        """Settle every queued task as not run; running ones go on. Return how many were shed."""
        count = self._withdraw_queued(lambda _task: True, reason)
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
            now_s = clock.boot_s()
            self.table.expire(now_s)
            self.leases.expire(now_s)
            gone = [key for key in self._listeners if self.table.find(key) is None]
            for submission_id in gone:
                del self._listeners[submission_id]

    async def async_watch_leases(self) -> None:
        """End the best-effort tasks of entries whose lease has ended, for as long as it runs."""
        while True:
            await trio.sleep(LEASE_CHECK_S)
            if self.occupied:
                self.end_lapsed(clock.boot_s())

    def end_lapsed(self, now_s: float) -> None:
        """End the best-effort tasks of every entry whose lease has ended."""
        for owner in list(self._room.by_owner):
            if self.leases.holds(owner, now_s):
                continue

            def is_owners(task: QueuedTask, owner: str = owner) -> bool:
                admitted_before_s = now_s - ENTRY_LEASE_S
                is_late = task in self._running or task.admitted_at_s < admitted_before_s
                return task.best_effort and task.held.owner == owner and is_late

            count = self._withdraw_queued(is_owners, RefusalReason.LEASE_ENDED)
            count += self._stop_running(is_owners, RefusalReason.LEASE_ENDED)
            if count:
                age_s = self.leases.age_s(owner, now_s)
                logs.warning("entry_lease_ended", entry=owner, tasks=count, age_s=age_s)

    def _listen(self, submission_id: str, link: Link) -> Listener:
        listener = self._listeners.get(submission_id)
        if listener is None:
            listener = self._listeners[submission_id] = Listener(set(), [])
        listener.links.add(link)
        return listener

    def _refuse_batch(self, message: StartTasks, now_s: float) -> RefusalReason | None:
        """Return why none of a message's tasks may be admitted, if so."""
        if not message.best_effort:
            refusal = refuse_submission(
                message.submission_id,
                self.announce_offset,
                self._settings.retention_s,
                clock.wall_s(),
            )
            if refusal is not None:
                return refusal
        if not self._client.ready:
            return RefusalReason.TARGET_LOST
        return refuse_start(self.view, self.target, self.stopping, now_s)

    def _admit(
        self,
        entry: SubmissionStarts,
        link: Link,
        refusal: RefusalReason | None,
        message: StartTasks,
        task: TaskStart,
        now_s: float,
    ) -> None:
        ref = TaskRef(task.index, task.attempt)
        demand = Demand(task.cpu_m, task.mem_mb)
        if refusal is None and len(self._queue) >= self._settings.queue_tasks:
            fits = self._room.fits(demand, self.target.cpu_m, self.target.mem_mb)
            refusal = None if fits else RefusalReason.BUSY
        if refusal is not None:
            logs.event(
                "task_refused",
                submission=entry.submission_id,
                task=ref.index,
                attempt=ref.attempt,
                reason=refusal,
                view_age_s=self.view.age_s(now_s),
                queued=len(self._queue),
            )
            self._report(entry, self.table.refuse(entry, ref, refusal))
            return
        known = self.table.admit(entry, ref)
        if known is not None:
            self._report(entry, known)
            return
        self._order += 1
        held = HeldTask(link.peer_incarnation, demand, message.priority, task.run_s)
        queued = QueuedTask(
            entry,
            ref,
            now_s + message.deadline_in_s,
            _target_call(message, task, demand),
            held,
            message.best_effort,
            self._order,
            now_s,
        )
        self._listeners[entry.submission_id].unsettled += 1
        self._room.admit(held)
        insort(self._queue, queued, key=lambda item: item.rank)
        self._note_load()

    def _fill(self, now_s: float) -> None:
        """Start queued tasks while there is room and the view allows it."""
        while (task := self._next_startable(now_s)) is not None:
            if not self.view.is_fresh(now_s):
                self._request_refresh(now_s)
                return
            self._queue.remove(task)
            refusal = refuse_start(self.view, self.target, self.stopping, now_s)
            if not self._client.ready:
                refusal = RefusalReason.TARGET_LOST
            if now_s >= task.deadline_s:
                refusal = RefusalReason.DEADLINE
            if refusal is not None:
                self._withdraw(task, refusal)
            elif self.table.start(task.entry, task.ref):
                self._room.start(task.held, now_s)
                self._running.add(task)
                self._nursery.start_soon(self._async_run, task)
            else:
                self._withdraw(task, RefusalReason.SEALED)
        self._metrics.occupied.set(self.occupied)

    def _next_startable(self, now_s: float) -> QueuedTask | None:
        """Return the first task in the queue whose entry has surely been heard lately."""
        for task in self._queue:
            if not self._fits(task):
                return None
            if not task.best_effort or self.leases.holds(task.held.owner, now_s):
                return task
        return None

    def _fits(self, task: QueuedTask) -> bool:
        return self._room.fits(task.held.demand, self.target.cpu_m, self.target.mem_mb)

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
        if task.stop_reason is not None:
            # Stopped before it was handed over: the target has nothing to stop and must not start.
            answer = TargetResult(Verdict.NOT_RUN, task.stop_reason)
        else:
            answer = await self._client.async_call(self.target.url, task.call)
        now_s = clock.boot_s()
        self._running.discard(task)
        self._room.release(task.held)
        reason = answer.reason
        if reason == RefusalReason.CANCELLED and task.stop_reason is not None:
            reason = task.stop_reason
        report = TaskReport(
            index=task.ref.index,
            attempt=task.ref.attempt,
            state=TaskState.SETTLED,
            verdict=answer.verdict,
            status_code=answer.status_code,
            body=answer.body,
            reason=reason or "",
            run_s=now_s - started_s,
        )
        self.table.settle(task.entry, report)
        self._observe(task, report, started_s - task.admitted_at_s)
        self._listeners[task.entry.submission_id].unsettled -= 1
        self._fill(now_s)
        self._report(task.entry, report)
        self._note_load()
        if not self.occupied:
            self._idle.set()

    def _observe(self, task: QueuedTask, report: TaskReport, waited_s: float) -> None:
        member, job = self._metrics.labels.pair(task.call.member, task.call.job)
        self._metrics.run_s.labels(member, job).observe(report.run_s)
        self._metrics.wait_s.observe(waited_s)
        self._metrics.occupied.set(self.occupied)
        if report.reason:
            logs.event(
                "task_failed",
                submission=task.entry.submission_id,
                task=report.index,
                attempt=report.attempt,
                verdict=report.verdict,
                reason=report.reason,
                status=report.status_code,
                waited_s=waited_s,
                run_s=report.run_s,
            )
        else:
            logs.event(
                "task_ran",
                submission=task.entry.submission_id,
                task=report.index,
                attempt=report.attempt,
                waited_s=waited_s,
                run_s=report.run_s,
            )

    def _stop_running(self, wanted: Callable[[QueuedTask], bool], reason: RefusalReason) -> int:
        """Stop the running best-effort tasks that are wanted, and return their number."""
        found = [task for task in self._running if task.best_effort and wanted(task)]
        for task in found:
            task.stop_reason = task.stop_reason or reason
            self._client.stop(task.call)
        return len(found)

    def _withdraw_entry(self, entry: SubmissionStarts, reason: RefusalReason) -> None:
        self._withdraw_queued(lambda task: task.entry is entry, reason)

    def _withdraw_queued(self, wanted: Callable[[QueuedTask], bool], reason: RefusalReason) -> int:
        """Settle the queued tasks that are wanted as not run, and return their number."""
        queued = [task for task in self._queue if wanted(task)]
        if not queued:
            return 0
        self._queue = [task for task in self._queue if not wanted(task)]
        return sum(self._withdraw(task, reason) for task in queued)

    def _withdraw(self, task: QueuedTask, reason: RefusalReason) -> bool:
        """Settle a task that was taken off the queue as not run."""
        self._room.release(task.held)
        self._note_load()
        logs.event(
            "task_withdrawn",
            submission=task.entry.submission_id,
            task=task.ref.index,
            attempt=task.ref.attempt,
            reason=reason,
        )
        report = self.table.withdraw(task.entry, task.ref, reason)
        self._listeners[task.entry.submission_id].unsettled -= 1
        if report is None:
            return False
        self._report(task.entry, report)
        if not self.occupied:
            self._idle.set()
        return True

    def _note_load(self) -> None:
        self._load_changed.set()

    def reset_load_changed(self) -> None:
        """Make a new event for the next change of load."""
        self._load_changed = trio.Event()

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
        now_s = clock.boot_s()
        reports, listener.pending = listener.pending, []
        for link in listener.links:
            load = self.tell_load(link, now_s)
            link.send(TaskReports(submission_id, now_s, load, reports))


def _target_call(message: StartTasks, task: TaskStart, demand: Demand) -> TargetCall:
    name = message.job_key or message.submission_id
    return TargetCall(
        task_id=f"{name}/{task.index}",
        run=task.attempt,
        member=message.member,
        job=message.job,
        payload=task.payload or message.shared_payload,
        timeout_s=message.task_timeout_s,
        refusal_is_not_run=message.refusal_is_not_run,
        demand=demand,
    )
