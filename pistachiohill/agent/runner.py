"""Admission, queueing, execution and reporting of tasks at an agent."""

import math
from bisect import insort
from collections.abc import Callable
from functools import partial

import trio

from .. import clock, logs
from ..const import TaskState
from ..errors import RefusalReason, Verdict
from ..overload.slowdown import SlowdownDetector
from ..protocol.link import Link
from ..protocol.models import (
    AgentLoad,
    AgentState,
    AnsweredStart,
    CancelTasks,
    FreshnessRequest,
    QueryTasks,
    SealReply,
    SealSubmissions,
    StartsAnswered,
    StartTasks,
    StopTask,
    TaskRef,
    TaskReport,
    TaskReports,
    TaskStart,
    ViewStamp,
)
from ..scheduling.models import Demand
from ..settings.models import AgentSettings
from ..shared_load.agent import AgentSharedLoad
from .admission import start_refusal, submission_refusal
from .admitted_task import (
    AdmittedTask,
    log_arrival,
    log_outcome,
    log_stop,
    start_task_name,
    target_call,
)
from .const import (
    ANSWERS_BATCH_S,
    ENTRY_LEASE_S,
    EXPIRY_INTERVAL_S,
    LEASE_CHECK_INTERVAL_S,
    LOAD_STEP_FRACTION,
    LOW_CAPACITY_FRACTION,
    LOW_CAPACITY_STEP_FRACTION,
)
from .leases import EntryLeases
from .metrics import AgentMetrics
from .models import RunPermission, TargetResult, TargetState, TaskTarget
from .reports import ReportSender
from .resources import Reservation, ResourceTracker, SentLoad
from .start_table import StartTable, SubmissionRecord
from .view import AgentView


class TaskRunner:
    """Manages the start table, the queue and the running tasks of one agent."""

    def __init__(
        self,
        settings: AgentSettings,
        nursery: trio.Nursery,
        target: TaskTarget,
        metrics: AgentMetrics,
    ) -> None:
        """Create an idle task runner; tasks run in `nursery`."""
        self.view = AgentView()
        self.target = TargetState()
        self.table = StartTable(settings.retention_s)
        self.leases = EntryLeases(ENTRY_LEASE_S)
        self._echoed_at_s: dict[Link, float] = {}
        self.links: set[Link] = set()
        self._sent_loads: dict[Link, SentLoad] = {}
        self.announce_offset = -1
        self.stopping = False
        self._settings = settings
        self._nursery = nursery
        self._target_client = target
        self._metrics = metrics
        detector = SlowdownDetector() if settings.detect_slowdown else None
        self._resources = ResourceTracker(detector=detector)
        self.shared = AgentSharedLoad(self._resources.running_tasks)
        self._is_slow = False
        self._queue: list[AdmittedTask] = []
        self._running: set[AdmittedTask] = set()
        self._reports = ReportSender(
            settings.report_interval_s, nursery, metrics, self.record_sent_load
        )
        self._refresh_pending = False
        self._idle = trio.Event()
        self._sequence = 0
        self._load_changed = trio.Event()

    @property
    def occupied(self) -> int:
        """Return the number of tasks queued or running."""
        return self._resources.total.tasks

    @property
    def free_cpu_m(self) -> int:
        """Return the CPU not reserved by any task; negative if queued tasks exceed the capacity."""
        return self.target.cpu_m - self._resources.total.cpu_m

    def is_accepting(self, now_s: float) -> bool:
        """Return whether entries may place tasks at this agent."""
        refusal = start_refusal(self.view, self.target, self.stopping, now_s)
        announced = self.announce_offset >= 0 or not self._settings.announce_first
        return refusal is None and announced and self._target_client.ready

    @property
    def load_changed(self) -> trio.Event:
        """Return an event that is set when a task is admitted or released."""
        return self._load_changed

    def load_for(self, link: Link, now_s: float) -> AgentLoad:
        """Return the load for the entry at a link: other entries' tasks and expected waits."""
        queue = (task.reservation for task in self._queue)
        return self._resources.load_for(link.peer_incarnation, queue, self.target.cpu_m, now_s)

    def record_sent_load(self, link: Link, now_s: float) -> AgentLoad:
        """Return the load for a message to an entry, and record it as the last one sent.

        The entry is told in the same frame which starts have been answered since.
        """
        self._tell_answered(link)
        load = self.load_for(link, now_s)
        load.shared = self.shared.load_for(link, now_s)
        self._sent_loads[link] = SentLoad(load, now_s)
        return load

    def _tell_answered(self, link: Link) -> None:
        """Tell an entry which of its starts the target has answered since it was last told."""
        answered = [
            task
            for task in self._running
            if task.best_effort
            and task.reservation.owner == link.peer_incarnation
            and task.answer_told_on is not link
            and self._target_client.is_start_answered(task.call)
        ]
        if not answered:
            return
        for task in answered:
            task.answer_told_on = link
        link.send(
            StartsAnswered(
                [
                    AnsweredStart(task.record.submission_id, task.ref.index, task.ref.attempt)
                    for task in answered
                ]
            )
        )

    def needs_load_update(self, link: Link, now_s: float) -> bool:
        """Return whether the load differs enough from the last one sent to an entry."""
        sent = self._sent_loads.get(link)
        if sent is None:
            return True
        low_capacity = self.free_cpu_m < LOW_CAPACITY_FRACTION * self.target.cpu_m
        fraction = LOW_CAPACITY_STEP_FRACTION if low_capacity else LOAD_STEP_FRACTION
        return sent.differs(self.load_for(link, now_s), fraction * self.target.cpu_m, now_s)

    def state_for(self, link: Link, now_s: float) -> AgentState:
        """Return the agent's state for the entry at a link."""
        return AgentState(
            stamp_s=now_s,
            announce_offset=self.announce_offset,
            service=self.target.service,
            cpu_m=self.target.cpu_m,
            mem_mb=self.target.mem_mb,
            accepting=self.is_accepting(now_s),
            load=self.record_sent_load(link, now_s),
            applied_offset=self.view.offset,
            view_age_s=min(self.view.age_s(now_s), 1e9),
            leaves_in_s=self.target.leaves_in_s(now_s),
            target_id=self.target.target_id,
        )

    def broadcast_state(self, now_s: float) -> None:
        """Send the agent's state to all entries."""
        for link in self.links:
            self.send_state(link, now_s)

    def send_state(self, link: Link, now_s: float) -> None:
        """Send the agent's state to one entry."""
        link.send(self.state_for(link, now_s))

    def remove_link(self, link: Link) -> None:
        """Remove a closed link and its subscriptions."""
        self.links.discard(link)
        self._sent_loads.pop(link, None)
        self._echoed_at_s.pop(link, None)
        self._reports.remove_link(link)

    def merge_stamp(self, link: Link, stamp: ViewStamp, now_s: float) -> None:
        """Merge an entry's view stamp, and renew the entry's lease by the echo in it."""
        self.view.merge(stamp, now_s)
        self.leases.renew(link.peer_incarnation, stamp.echo_s, now_s)
        if 0.0 <= stamp.echo_s <= now_s:
            self._echoed_at_s[link] = stamp.echo_s

    def start_tasks(self, link: Link, message: StartTasks, now_s: float) -> None:
        """Admit the tasks of a message and start as many as fit."""
        self.merge_stamp(link, message.view, now_s)
        record = self.table.get_or_create(message.submission_id, now_s)
        record.member = message.member
        record.task_count = message.task_count
        record.best_effort = message.best_effort
        self._reports.subscribe(message.submission_id, link)
        refusal = self._batch_refusal(message, now_s)
        log_arrival(link, message, refusal, self.leases.age_s(link.peer_incarnation, now_s))
        for task in message.tasks:
            self._admit(record, link, refusal, message, task, now_s)
        due = self.leases.needs_renewal(link.peer_incarnation, now_s)
        if message.best_effort and (due or self._echo_age_s(link, now_s) > ENTRY_LEASE_S):
            # The link was idle. Request an echo, without which the tasks would not be started or
            # would be stopped.
            link.send(FreshnessRequest(now_s))
        self._start_queued(now_s)
        self._reports.flush_or_schedule(record.submission_id)

    def query(self, link: Link, message: QueryTasks, now_s: float) -> None:
        """Reply with the state of placements, and fence those that are unknown."""
        record = self.table.get_or_create(message.submission_id, now_s)
        self._reports.subscribe(message.submission_id, link, immediately=True)
        for task in (*self._queue, *self._running):
            if task.record is record and task.ref in message.tasks:
                task.link = link  # a start that has no answer yet also needs the entry's lease
        reports = self.table.query(record, message.tasks)
        settled = [report for report in reports if report.state != TaskState.QUEUED]
        settled = [report for report in settled if report.state != TaskState.RUNNING]
        load = self.record_sent_load(link, now_s)
        link.send(TaskReports(message.submission_id, now_s, load, settled))

    def cancel(self, message: CancelTasks, now_s: float) -> None:
        """Settle all queued tasks of a submission as not run and refuse later ones.

        Running tasks of best-effort jobs are stopped. Other running tasks continue, as their
        callers are told.
        """
        record = self.table.get_or_create(message.submission_id, now_s)
        record.sealed = True
        self._withdraw_submission(record, RefusalReason.CANCELLED)
        self._stop_running(lambda task: task.record is record, RefusalReason.CANCELLED)
        self._start_queued(now_s)

    def stop_task(self, message: StopTask, now_s: float) -> None:
        """Withdraw or stop one placement of a best-effort task, which its entry places elsewhere.

        If the run ends by itself first, its outcome is reported as usual. A stop that the runner
        leaves unanswered doesn't end the other runs there.
        """
        record = self.table.find(message.submission_id)
        ref = TaskRef(message.index, message.attempt)

        def is_meant(task: AdmittedTask) -> bool:
            return task.best_effort and task.record is record and task.ref == ref

        self._withdraw_queued(is_meant, RefusalReason.MOVED)
        self._stop_running(is_meant, RefusalReason.MOVED, must_end=False)
        self._start_queued(now_s)

    def seal(self, link: Link, message: SealSubmissions, now_s: float) -> None:
        """Prevent further starts of submissions and reply with their recorded state."""
        sealed = []
        for submission_id in message.submission_ids:
            record = self.table.get_or_create(submission_id, now_s)
            self._withdraw_submission(record, RefusalReason.SEALED)
            sealed.append(self.table.seal(submission_id, now_s))
            self._reports.subscribe(submission_id, link, immediately=True)
        link.send(SealReply(message.request_id, self.announce_offset, sealed))

    def shed(self, reason: RefusalReason, now_s: float) -> int:
        """Settle every queued task as not run and return their number; running tasks continue."""
        count = self._withdraw_queued(lambda _task: True, reason)
        if count:
            logs.event("tasks_shed", reason=reason, tasks=count)
        self.broadcast_state(now_s)
        return count

    def handle_view_update(self, now_s: float) -> None:
        """Start waiting tasks after a view update, or shed the queue if the domain is out."""
        if self.view.is_fresh(now_s):
            self._refresh_pending = False
        if self.view.domain_out and self._queue:
            self.shed(RefusalReason.DOMAIN_OUT, now_s)
        self._start_queued(now_s)

    async def async_wait_idle(self) -> None:
        """Wait until no task is queued or running."""
        while self.occupied:
            self._idle = trio.Event()
            await self._idle.wait()

    async def async_expire(self) -> None:
        """Remove expired submissions, leases and subscriptions periodically until cancelled."""
        while True:
            await trio.sleep(EXPIRY_INTERVAL_S)
            now_s = clock.boot_s()
            self.table.expire(now_s)
            self.leases.expire(now_s)
            self._reports.expire(lambda key: self.table.find(key) is not None)

    async def async_tell_answered(self) -> None:
        """Tell entries soon which of their starts have been answered, until cancelled.

        An entry doesn't place a task of a lost agent elsewhere while its start may be under way.
        """
        while True:
            await self._target_client.async_start_answered()
            await trio.sleep(ANSWERS_BATCH_S)
            for link in self.links:
                self._tell_answered(link)

    async def async_watch_leases(self) -> None:
        """Check the leases of entries periodically until cancelled."""
        while True:
            await trio.sleep(LEASE_CHECK_INTERVAL_S)
            self._target_client.watch()
            now_s = clock.boot_s()
            if self.occupied:
                self.end_orphaned_tasks(now_s)
            if self.occupied or self._is_slow:
                self._watch_slowdown(now_s)

    def _watch_slowdown(self, now_s: float) -> None:
        """Let entries know that the target turns slow, and log it and its end."""
        slowdown = self._resources.slowdown(now_s)
        if slowdown.is_slow or self._is_slow:
            self._signal_load_changed()
        if slowdown.is_slow != self._is_slow:
            self._is_slow = slowdown.is_slow
            logs.event("target_slowdown", factor=slowdown.factor, for_s=slowdown.for_s)

    def end_orphaned_tasks(self, now_s: float) -> None:
        """Withdraw or stop the best-effort tasks of entries whose lease has ended.

        A queued task is kept until it has waited for a lease's time, so that its entry can renew.
        """
        for owner in list(self._resources.by_owner):

            def is_orphaned(task: AdmittedTask, owner: str = owner) -> bool:
                admitted_before_s = now_s - ENTRY_LEASE_S
                past_grace = task in self._running or task.admitted_at_s < admitted_before_s
                owned = task.reservation.owner == owner and past_grace
                return owned and not self._has_lease(task, now_s)

            count = self._withdraw_queued(is_orphaned, RefusalReason.LEASE_ENDED)
            count += self._stop_running(is_orphaned, RefusalReason.LEASE_ENDED)
            if count:
                age_s = self.leases.age_s(owner, now_s)
                logs.warning("entry_lease_ended", entry=owner, tasks=count, age_s=age_s)

    def _batch_refusal(self, message: StartTasks, now_s: float) -> RefusalReason | None:
        """Return why all tasks of a message must be refused, or None."""
        if not message.best_effort:
            refusal = submission_refusal(
                message.submission_id,
                self.announce_offset,
                self._settings.retention_s,
                clock.wall_s(),
            )
            if refusal is not None:
                return refusal
        if not self._target_client.ready:
            return RefusalReason.TARGET_LOST
        return start_refusal(self.view, self.target, self.stopping, now_s)

    def _admit(
        self,
        record: SubmissionRecord,
        link: Link,
        refusal: RefusalReason | None,
        message: StartTasks,
        task: TaskStart,
        now_s: float,
    ) -> None:
        ref = TaskRef(task.index, task.attempt)
        demand = Demand(task.cpu_m, task.mem_mb)
        if refusal is None and not task.late_start_s and self._is_queue_full(message, now_s):
            fits = self._resources.fits(demand, self.target.cpu_m, self.target.mem_mb)
            refusal = None if fits else RefusalReason.BUSY
        if refusal is not None:
            logs.event(
                "task_refused",
                submission=record.submission_id,
                name=start_task_name(message, ref.index),
                task=ref.index,
                attempt=ref.attempt,
                reason=refusal,
                view_age_s=self.view.age_s(now_s),
                queued=len(self._queue),
            )
            self._reports.report(record.submission_id, self.table.refuse(record, ref, refusal))
            return
        known = self.table.admit(record, ref)
        if known is not None:
            self._reports.report(record.submission_id, known)
            return
        self._sequence += 1
        reservation = Reservation(
            link.peer_incarnation, demand, message.priority, task.run_s, record.submission_id
        )
        reservation.base_run_s = self.shared.base_run_s(message, task)
        queued = AdmittedTask(
            link,
            record,
            ref,
            now_s + message.deadline_in_s,
            target_call(message, task, demand, now_s),
            reservation,
            message.best_effort,
            self._sequence,
            now_s,
        )
        self._reports.task_admitted(record.submission_id)
        self._resources.admit(reservation)
        insort(self._queue, queued, key=lambda item: item.sort_key)
        self._signal_load_changed()

    def _is_queue_full(self, message: StartTasks, now_s: float) -> bool:
        """Return whether a task that can't start at once must be placed elsewhere.

        Several entries may place tasks for the same free capacity. A task that would wait long here
        is better off at its entry, which may place it at another target.
        """
        if len(self._queue) >= self._settings.queue_tasks:
            return True
        limit_s = self._settings.max_queue_wait_s
        if not limit_s or not message.best_effort:
            return False
        queue = (task.reservation for task in self._queue)
        cpu_m = self.target.cpu_m
        return self._resources.expected_wait_s(message.priority, queue, cpu_m, now_s) > limit_s

    def _start_queued(self, now_s: float) -> None:
        """Start queued tasks while they fit and the view is fresh."""
        while (task := self._next_startable(now_s)) is not None:
            if not self.view.is_fresh(now_s):
                self._request_refresh(now_s)
                return
            self._queue.remove(task)
            refusal = self._start_refusal(task, now_s)
            if refusal is not None:
                self._withdraw(task, refusal)
            elif self.table.start(task.record, task.ref):
                self._resources.start(task.reservation, now_s)
                self._running.add(task)
                self._nursery.start_soon(self._async_run, task)
            else:
                self._withdraw(task, RefusalReason.SEALED)
        self._metrics.occupied.set(self.occupied)

    def _next_startable(self, now_s: float) -> AdmittedTask | None:
        """Return the first queued task whose entry's lease is valid, if the tasks up to it fit."""
        for task in self._queue:
            if not self._fits(task):
                return None
            if self._has_lease_to_start(task, now_s):
                return task
        return None

    def _start_refusal(self, task: AdmittedTask, now_s: float) -> RefusalReason | None:
        """Return why a task must not start now, or None."""
        if task.stop_reason is not None:
            return task.stop_reason
        if now_s >= task.deadline_s:
            return RefusalReason.DEADLINE
        if not self._target_client.ready:
            return RefusalReason.TARGET_LOST
        if not self._has_lease_to_start(task, now_s):
            return RefusalReason.LEASE_ENDED
        if not self.view.is_fresh(now_s):
            return RefusalReason.STALE_VIEW
        return start_refusal(self.view, self.target, self.stopping, now_s)

    def _permission(self, task: AdmittedTask) -> RunPermission:
        return RunPermission(partial(self._start_refusal, task), partial(self._lease_ends_s, task))

    def _lease_ends_s(self, task: AdmittedTask) -> float:
        """Return when a running task must end; tasks that are not best-effort need no lease."""
        return self.leases.ends_at_s(task.reservation.owner) if task.best_effort else math.inf

    def _has_lease(self, task: AdmittedTask, now_s: float) -> bool:
        """Return whether a task may keep running, or may start if it is queued."""
        if task in self._running:
            return not task.best_effort or self.leases.is_valid(task.reservation.owner, now_s)
        return self._has_lease_to_start(task, now_s)

    def _has_lease_to_start(self, task: AdmittedTask, now_s: float) -> bool:
        """Return whether a task may start.

        It needs a recent echo on its own link: after it was held up there, its entry may have
        placed it elsewhere and renewed the lease on another link.
        """
        if not task.best_effort:
            return True
        if not self.leases.is_valid(task.reservation.owner, now_s):
            return False
        return self._echo_age_s(task.link, now_s) <= ENTRY_LEASE_S

    def _echo_age_s(self, link: Link, now_s: float) -> float:
        """Return the age of the latest clock reading that was echoed on a link."""
        return now_s - self._echoed_at_s.get(link, -math.inf)

    def _fits(self, task: AdmittedTask) -> bool:
        return self._resources.fits(task.reservation.demand, self.target.cpu_m, self.target.mem_mb)

    def _request_refresh(self, now_s: float) -> None:
        if self._refresh_pending:
            return
        self._refresh_pending = True
        for link in self.links:
            link.send(FreshnessRequest(now_s))
        self._nursery.start_soon(self._async_await_refresh)

    async def _async_await_refresh(self) -> None:
        await trio.sleep(max(0.2, min(1.0, self.view.max_age_s)))
        now_s = clock.boot_s()
        if self._queue and not self.view.is_fresh(now_s):
            logs.warning("view_stale", age_s=self.view.age_s(now_s), offset=self.view.offset)
            self.shed(RefusalReason.STALE_VIEW, now_s)
        self._refresh_pending = False
        self._start_queued(now_s)

    async def _async_run(self, task: AdmittedTask) -> None:
        started_s = clock.boot_s()
        if task.stop_reason is not None:
            # The task was stopped before it was sent: the target had nothing to stop, and must not
            # start it now.
            result = TargetResult(Verdict.NOT_RUN, task.stop_reason)
        else:
            result = await self._target_client.async_call(
                self.target.url, task.call, self._permission(task)
            )
        now_s = clock.boot_s()
        self._running.discard(task)
        self._resources.release(task.reservation)
        self._resources.record_end(task.reservation, result.reason is None, now_s)
        reason = result.reason
        if reason == RefusalReason.CANCELLED and task.stop_reason is not None:
            reason = task.stop_reason
        report = TaskReport(
            index=task.ref.index,
            attempt=task.ref.attempt,
            state=TaskState.SETTLED,
            verdict=result.verdict,
            status_code=result.status_code,
            body=result.body,
            reason=reason or "",
            run_s=now_s - started_s,
        )
        self.table.settle(task.record, report)
        if result.verdict == Verdict.RAN and not reason:
            self.shared.speed.record_run(task.reservation.base_run_s, report.run_s, now_s)
        self._record_outcome(task, report, started_s - task.admitted_at_s)
        self._reports.task_settled(task.record.submission_id)
        self._start_queued(now_s)
        self._reports.report(task.record.submission_id, report)
        self._refuse_superseding(task)
        self._signal_load_changed()
        if not self.occupied:
            self._idle.set()

    def _record_outcome(self, task: AdmittedTask, report: TaskReport, waited_s: float) -> None:
        member, job = self._metrics.labels.labels_for(task.call.member, task.call.job)
        self._metrics.run_s.labels(member, job).observe(report.run_s)
        self._metrics.wait_s.observe(waited_s)
        self._metrics.occupied.set(self.occupied)
        log_outcome(task, report, waited_s)

    def _stop_running(
        self,
        predicate: Callable[[AdmittedTask], bool],
        reason: RefusalReason,
        *,
        must_end: bool = True,
    ) -> int:
        """Stop the running best-effort tasks that match, and return their number."""
        found = [task for task in self._running if task.best_effort and predicate(task)]
        for task in found:
            if task.stop_reason is None:
                task.stop_reason = reason
                log_stop(task)
            self._target_client.stop(task.call, must_end=must_end)
        return len(found)

    def _withdraw_submission(self, record: SubmissionRecord, reason: RefusalReason) -> None:
        self._withdraw_queued(lambda task: task.record is record, reason)

    def _withdraw_queued(
        self, predicate: Callable[[AdmittedTask], bool], reason: RefusalReason
    ) -> int:
        """Settle the queued tasks that match as not run, and return the number newly settled."""
        queued = [task for task in self._queue if predicate(task)]
        if not queued:
            return 0
        self._queue = [task for task in self._queue if not predicate(task)]
        return sum(self._withdraw(task, reason) for task in queued)

    def _withdraw(self, task: AdmittedTask, reason: RefusalReason) -> bool:
        """Settle a task that was removed from the queue as not run.

        Return False if its placement was no longer queued in the start table.
        """
        self._resources.release(task.reservation)
        self._signal_load_changed()
        logs.event(
            "task_withdrawn",
            submission=task.record.submission_id,
            name=task.call.name,
            task=task.ref.index,
            attempt=task.ref.attempt,
            reason=reason,
        )
        report = self.table.withdraw(task.record, task.ref, reason)
        self._reports.task_settled(task.record.submission_id)
        if report is None:
            return False
        self._reports.report(task.record.submission_id, report)
        self._refuse_superseding(task)
        if not self.occupied:
            self._idle.set()
        return True

    def _refuse_superseding(self, task: AdmittedTask) -> None:
        """Report a later placement of a task, which its entry places again, as not run."""
        report = self.table.refuse_superseding(task.record, task.ref.index)
        if report is not None:
            self._reports.report(task.record.submission_id, report)

    def _signal_load_changed(self) -> None:
        self._load_changed.set()

    def reset_load_changed(self) -> None:
        """Create a new event for the next load change."""
        self._load_changed = trio.Event()
