"""Dispatcher: sends tasks to agents, processes their reports and answers submissions."""

import math
import random
from collections.abc import Callable

import trio
from attrs import evolve

from .. import clock, logs
from ..consortium.view import ConsortiumView
from ..const import JobState, TaskState
from ..errors import RefusalReason, Verdict
from ..protocol.models import (
    CancelTasks,
    QueryTasks,
    SealReply,
    StartTasks,
    TaskRef,
    TaskReport,
    TaskReports,
    TaskStart,
)
from ..scheduling.quarantine import Quarantine, make_rule
from ..settings.const import ROOT_PATH
from ..submissions.models import JobAnswer, Submission, Task, failed_answer
from .accounting import Accounting
from .agent import Agent, AgentListener
from .agents import AgentDirectory
from .const import RETRY_AFTER_S
from .retry_rules import (
    AVOID_AGENT_REASONS,
    TARGET_FAULT_REASONS,
    UNAVAILABLE_REASONS,
    UNCOUNTED_REASONS,
    fatal_reasons,
    may_run_again,
)
from .successors import find_tasks, may_have_successor
from .waiting import Placement, WaitingTasks

POLL_INTERVAL_S = 0.25
BUSY_POLL_INTERVAL_S = 0.02  # while tasks wait for capacity that is expected to become free
MIN_TIMEOUT_S = 0.01


class Dispatcher(AgentListener):
    """Owner of the submissions that this entry incarnation has accepted."""

    def __init__(
        self,
        view: ConsortiumView,
        view_confirmed_at: Callable[[float], float],
        directory: AgentDirectory,
        accounting: Accounting,
    ) -> None:
        """Initialize without submissions."""
        self._view_confirmed_at = view_confirmed_at
        self.submissions: dict[str, Submission] = {}
        self._unanswered: dict[str, Submission] = {}
        self._next_caller_check_s = 0.0
        self.waiting = WaitingTasks(view, directory, accounting)
        self._view = view
        self._directory = directory
        self._accounting = accounting
        self._quarantine = Quarantine()
        self._wakeup = trio.Event()
        self._listeners: list[AgentListener] = []
        directory.set_renewal_check(self.end_unwanted)

    def add_listener(self, listener: AgentListener) -> None:
        """Add a receiver of seal replies and of all task reports, such as the recovery."""
        self._listeners.append(listener)

    async def async_run(self) -> None:
        """Place tasks after every change, and fail submissions whose deadline has passed."""
        while True:
            with trio.move_on_after(
                BUSY_POLL_INTERVAL_S if self.waiting.has_tasks() else POLL_INTERVAL_S
            ):
                await self._wakeup.wait()
            self._wakeup = trio.Event()
            now_s = clock.boot_s()
            self.refuse_useless(now_s)
            self.place(now_s)

    def submit(self, submission: Submission, now_s: float) -> None:
        """Accept a submission and trigger the placement of its tasks."""
        self.submissions[submission.submission_id] = submission
        self._unanswered[submission.submission_id] = submission
        self.waiting.add(submission)
        logs.event(
            "job_accepted",
            submission=submission.submission_id,
            key=submission.request.key,
            member=submission.request.member,
            job=submission.request.job,
            tasks=len(submission.tasks),
            left_s=submission.deadline_s - now_s,
        )
        self._wakeup.set()

    def cancel(
        self,
        submission: Submission,
        now_s: float,
        reason: RefusalReason = RefusalReason.CANCELLED,
    ) -> None:
        """Cancel a submission, so that no more of its tasks start.

        Running tasks of best-effort jobs are stopped; those of other jobs run to completion, and
        their results are discarded.
        """
        if submission.answer is None:
            self._fail(submission, reason, f"ended before it was complete: {reason}", now_s)

    def answer_cancelled(self, submission: Submission, now_s: float) -> None:
        """Answer a cancelled submission although it is not known whether its tasks have run."""
        if submission.failure is not None:
            self._answer_failed(submission, now_s, force=True)

    async def async_wait_answered(self) -> None:
        """Wait until every submission accepted so far is answered."""
        for submission in list(self._unanswered.values()):
            await submission.done.wait()

    def place(self, now_s: float) -> None:
        """Place waiting tasks in fair-queue order up to capacity, unless the view is stale."""
        self.end_unwanted(now_s)
        root = self._view.state.settings(ROOT_PATH)
        if now_s - self._view_confirmed_at(now_s) > root.view_max_age_s:
            return
        batches: dict[tuple[str, str], list[Placement]] = {}
        for placement in self.waiting.place(now_s):
            self._assign(placement)
            self._accounting.observe_placement_delay(now_s - placement.submission.submitted_at_s)
            key = (placement.agent.incarnation, placement.submission.submission_id)
            batches.setdefault(key, []).append(placement)
        for batch in batches.values():
            self._send(batch, now_s)
        self._accounting.set_waiting_tasks(self.waiting.task_count())

    # Events from agents

    def link_opened(self, agent: Agent, now_s: float) -> None:
        """Query an agent on a new link for the tasks that were placed there earlier.

        Cancellations are repeated, since they may have been lost with the previous link.
        """
        placed: dict[str, list[tuple[Submission, Task]]] = {}
        for (submission_id, _), item in agent.outstanding.items():
            placed.setdefault(submission_id, []).append(item)
        for submission_id, items in placed.items():
            if items[0][0].failure is not None:
                self._send_cancellation(agent, submission_id)
        for submission_id, items in placed.items():
            logs.event(
                "tasks_queried",
                submission=submission_id,
                agent=agent.incarnation,
                names=_names(items),
                attempts=",".join(str(task.attempt) for _, task in items),
            )
            if agent.link is not None:
                refs = [TaskRef(task.index, task.attempt) for _, task in items]
                agent.link.send(QueryTasks(submission_id, refs))

    def agent_changed(self, agent: Agent, now_s: float) -> None:
        """Let an agent take over tasks of its predecessors, and trigger a new placement round."""
        self._take_over(agent, now_s)
        self._wakeup.set()

    def _take_over(self, successor: Agent, now_s: float) -> None:
        """Place tasks of earlier agents at the same target there, under the same run numbers."""
        batches: dict[str, list[Placement]] = {}
        for lost in find_tasks(successor, self._directory.lost_agents):
            submission, task = lost.submission, lost.task
            task_id = submission.task_id(task.index)
            self._directory.late_starts.expect(lost.agent.incarnation, task_id, lost.until_s, now_s)
            key = (submission.submission_id, task.index)
            del lost.agent.outstanding[key]
            lost.agent.load.settle(key)
            submission.outstanding -= 1
            logs.event(
                "task_taken_over",
                name=submission.task_name(task.index),
                attempt=task.attempt,
                agent=successor.incarnation,
                predecessor=lost.agent.incarnation,
                left_s=submission.deadline_s - now_s,
            )
            end_s = now_s + self.waiting.task_needs(submission, task).run_s
            placement = Placement(successor, submission, task, now_s, end_s)
            self._record_placement(placement, lost.until_s)
            batches.setdefault(submission.submission_id, []).append(placement)
        for batch in batches.values():
            self._send(batch, now_s)

    def agent_lost(self, agent: Agent, now_s: float) -> None:
        """Settle the at-most-once tasks of an agent that was lost as MAY_HAVE_RUN.

        Best-effort tasks may be run again, so they are settled only when their runs have certainly
        ended.
        """
        self._quarantine.remove_target(agent.incarnation)
        self._settle_lost(agent, best_effort=False, now_s=now_s)

    def link_closed(self, agent: Agent) -> None:
        """Count a closed link."""
        self._accounting.record_link_loss()

    def runs_ended(self, agent: Agent, now_s: float) -> None:
        """Settle the best-effort tasks at an agent whose leases have expired.

        Those of which a start may still be executed are left until it can't be any more.
        """
        self._settle_lost(agent, best_effort=True, now_s=now_s)

    def _settle_lost(self, agent: Agent, *, best_effort: bool, now_s: float) -> None:
        for submission, task in list(agent.outstanding.values()):
            if submission.settings.best_effort != best_effort:
                continue
            if best_effort and self._awaits_late_start(agent, submission, task, now_s):
                continue
            logs.event(
                "task_presumed_ended",
                submission=submission.submission_id,
                name=submission.task_name(task.index),
                attempt=task.attempt,
                agent=agent.incarnation,
            )
            report = TaskReport(
                task.index,
                task.attempt,
                TaskState.SETTLED,
                Verdict.MAY_HAVE_RUN,
                reason=RefusalReason.LOST_AGENT,
            )
            self._settle(agent, submission, task, report, now_s)
        self._wakeup.set()

    def _awaits_late_start(
        self, agent: Agent, submission: Submission, task: Task, now_s: float
    ) -> bool:
        """Return whether a start of a task at a lost agent may still be executed.

        A job that can't wait for so long is answered, unless the agent's successor may take the
        task over.
        """
        task_id = submission.task_id(task.index)
        until_s = self._directory.late_starts.task_until_s(task_id, agent.incarnation)
        until_s = max(until_s, task.late_start_until_s)
        if not task.is_start_answered:
            until_s = max(until_s, agent.late_starts_end_s())
        if now_s >= until_s:
            return False
        key = (submission.submission_id, task.index)
        if key not in agent.awaited_starts:
            agent.awaited_starts.add(key)
            logs.event(
                "late_start_awaited",
                name=submission.task_name(task.index),
                agent=agent.incarnation,
                answered=task.is_start_answered,
                for_s=until_s - now_s,
                left_s=submission.deadline_s - now_s,
            )
        can_wait = until_s < submission.deadline_s or may_have_successor(agent, task, now_s)
        if can_wait and submission.failure is None:
            return True
        self._directory.late_starts.expect(agent.incarnation, task_id, until_s, now_s)
        if submission.failure is None:
            detail = f"task {task.index}: its agent is lost, and its run may still start"
            self._fail(submission, RefusalReason.LOST_AGENT, detail, now_s, force=True)
        return True

    def tasks_reported(self, agent: Agent, message: TaskReports, now_s: float) -> None:
        """Settle reported tasks and forward the reports to the listeners."""
        settled: list[tuple[Submission, TaskReport]] = []
        for report in message.reports:
            placed = agent.outstanding.get((message.submission_id, report.index))
            if placed is None or placed[1].attempt != report.attempt:
                self._accounting.record_wasted("duplicate")
                continue
            settled.append((placed[0], report))
            self._settle(agent, placed[0], placed[1], report, now_s)
        if settled:
            _log_settled(agent, settled)
        for listener in self._listeners:
            listener.tasks_reported(agent, message, now_s)
        self._wakeup.set()

    def seal_replied(self, agent: Agent, message: SealReply, now_s: float) -> None:
        """Forward a seal reply to the listeners."""
        for listener in self._listeners:
            listener.seal_replied(agent, message, now_s)

    def _assign(self, placement: Placement) -> None:
        placement.task.attempt += 1
        self._record_placement(placement, -math.inf)

    def _record_placement(self, placement: Placement, late_start_until_s: float) -> None:
        agent, submission, task = placement.agent, placement.submission, placement.task
        task.is_start_answered = False
        task.late_start_until_s = late_start_until_s
        task.agent = agent.incarnation
        task.target_id = agent.target_id
        key = (submission.submission_id, task.index)
        submission.outstanding += 1
        agent.outstanding[key] = (submission, task)
        agent.load.place(key, task.spec.demand, placement.start_s, placement.end_s)

    def _send(self, batch: list[Placement], now_s: float) -> None:
        """Send all placements of one submission at one agent in a single message."""
        agent, submission = batch[0].agent, batch[0].submission
        tasks = [placement.task for placement in batch]
        settings = submission.settings
        factor = agent.load.factor
        shared_payload = tasks[0].spec.payload if submission.request.key else b""
        left_s = max(0.0, submission.deadline_s - now_s)
        message = StartTasks(
            submission_id=submission.submission_id,
            member=submission.request.member,
            job=submission.request.job,
            task_count=len(submission.tasks),
            deadline_in_s=left_s,
            task_timeout_s=min(settings.task_timeout_s, max(MIN_TIMEOUT_S, left_s)),
            refusal_is_not_run=settings.refusal_is_not_run,
            view=self._directory.view_stamp(agent, now_s),
            tasks=[
                self._task_start(submission, task, factor, shared_payload, now_s) for task in tasks
            ],
            shared_payload=shared_payload,
            job_key=submission.request.key,
            best_effort=settings.best_effort,
            priority=settings.priority,
            estimate=self._directory.shared_load.estimate(submission.request.path, factor),
            work=self._directory.shared_load.work(agent.load, settings.service, now_s),
        )
        self._directory.send_tasks(agent, message, now_s)
        logs.event(
            "tasks_placed",
            submission=submission.submission_id,
            names=",".join(submission.task_name(task.index) for task in tasks),
            agent=agent.incarnation,
            domain=agent.domain,
            tasks=",".join(f"{task.index}.{task.attempt}" for task in tasks),
            expected_s=max(placement.end_s for placement in batch) - now_s,
            factor=factor,
            load_age_s=now_s - agent.load.reported_at_s,
        )

    def _task_start(
        self,
        submission: Submission,
        task: Task,
        factor: float,
        shared_payload: bytes,
        now_s: float,
    ) -> TaskStart:
        needs = self.waiting.task_needs(submission, task)
        return TaskStart(
            task.index,
            task.attempt,
            b"" if task.spec.payload == shared_payload else task.spec.payload,
            needs.demand.cpu_m,
            needs.demand.mem_mb,
            needs.run_s * factor,
            max(0.0, task.late_start_until_s - now_s),
        )

    # Settling tasks and answering submissions

    def _settle(
        self, agent: Agent, submission: Submission, task: Task, report: TaskReport, now_s: float
    ) -> None:
        """Remove a placement from an agent, then settle the task or queue it again."""
        if report.state not in (TaskState.SETTLED, TaskState.FENCED):
            return
        key = (submission.submission_id, task.index)
        del agent.outstanding[key]
        agent.load.settle(key)
        submission.outstanding -= 1
        self._accounting.record_settled(submission.request.member, report.run_s)
        self._update_quarantine(agent, submission, report, now_s)
        if submission.answer is not None:
            self._accounting.record_wasted(
                "refused" if report.verdict == Verdict.NOT_RUN else "late"
            )
            return
        succeeded = report.verdict == Verdict.RAN and not report.reason
        if not succeeded and now_s < task.late_start_until_s:
            self._record_late_start(submission, task, report, now_s)
            return
        if report.verdict == Verdict.NOT_RUN:
            self._accounting.record_wasted("refused")
            self._retry_task(agent, submission, task, report, now_s)
            return
        if submission.settings.best_effort and may_run_again(submission, task, report):
            self._accounting.record_wasted("run_again")
            submission.repeated_verdict = Verdict(report.verdict)
            self._retry_task(agent, submission, task, report, now_s)
            return
        if submission.failure is not None and report.verdict == Verdict.RAN:
            self._accounting.record_wasted("cancelled_after_start")
        if succeeded:
            self.waiting.record_run(agent, submission, task, report.run_s)
            agent.load.factor_updated_at_s = now_s
        self._record_outcome(submission, task, report, now_s)

    def _record_late_start(
        self, submission: Submission, task: Task, report: TaskReport, now_s: float
    ) -> None:
        """Settle a task that an agent has taken over in vain; its first start may still come."""
        if report.verdict == Verdict.NOT_RUN:
            report.verdict = Verdict.MAY_HAVE_RUN
        report.reason = RefusalReason.LOST_AGENT
        self._record_outcome(submission, task, report, now_s)

    def _update_quarantine(
        self, agent: Agent, submission: Submission, report: TaskReport, now_s: float
    ) -> None:
        """Update the target's quarantine state from the outcome of a run."""
        succeeded = report.verdict == Verdict.RAN and not report.reason
        if not succeeded and report.reason not in TARGET_FAULT_REASONS:
            return
        path = submission.request.path
        if succeeded:
            self._quarantine.record_success(agent.load, path, now_s)
        else:
            rule = make_rule(self._view.state.settings(ROOT_PATH).quarantine)
            pool = [item.load for item in self.waiting.agents_of(agent.service)]
            if self._quarantine.record_failure(rule, agent.load, pool, path, now_s):
                remaining_s = agent.load.quarantined_until_s - now_s
                logs.warning("target_quarantined", agent=agent.incarnation, for_s=remaining_s)
        agent.load.probation_limit = self._quarantine.probation_limit(agent.load)

    def _retry_task(
        self, agent: Agent, submission: Submission, task: Task, report: TaskReport, now_s: float
    ) -> None:
        reason = RefusalReason(report.reason)
        self._accounting.record_task_refusal(reason)
        logs.event(
            "task_again",
            submission=submission.submission_id,
            name=submission.task_name(task.index),
            task=task.index,
            attempt=task.attempt,
            agent=agent.incarnation,
            reason=reason,
            verdict=report.verdict,
        )
        if reason in UNAVAILABLE_REASONS:
            agent.accepting = False
        if reason in AVOID_AGENT_REASONS:
            task.refused_by.add(agent.incarnation)
        if submission.failure is not None or reason in fatal_reasons(submission):
            self._record_outcome(submission, task, report, now_s)
            return
        task.restarts += reason not in UNCOUNTED_REASONS
        if task.restarts > submission.settings.max_restarts:
            report.reason = RefusalReason.TOO_MANY_RESTARTS
            self._record_outcome(submission, task, report, now_s)
            return
        task.agent = ""
        self.waiting.requeue(submission, task)
        self._wakeup.set()

    def _record_outcome(
        self, submission: Submission, task: Task, report: TaskReport, now_s: float
    ) -> None:
        task.report = report
        submission.unsettled_count -= 1
        if report.reason and submission.failure is None:
            detail = f"task {task.index}: {report.reason}"
            if report.status_code:
                detail += f" (status {report.status_code})"
            self._fail(submission, RefusalReason(report.reason), detail, now_s)
        elif submission.failure is not None:
            self._answer_failed(submission, now_s, force=False)
        elif submission.unsettled_count == 0:
            self._answer_complete(submission, now_s)

    def _fail(
        self,
        submission: Submission,
        reason: RefusalReason,
        detail: str,
        now_s: float,
        *,
        force: bool = False,
    ) -> None:
        """Fail a submission: drop its waiting tasks, cancel those at agents, then answer.

        It is answered once it is known whether any task ran; at once if `force` or at its deadline.
        """
        submission.failure = reason
        submission.failure_detail = detail
        self.waiting.drop(submission)
        for agent in self._directory.agents.values():
            if any(key[0] == submission.submission_id for key in agent.outstanding):
                self._send_cancellation(agent, submission.submission_id)
        self._answer_failed(submission, now_s, force=force or reason == RefusalReason.DEADLINE)

    def _send_cancellation(self, agent: Agent, submission_id: str) -> None:
        """Cancel a submission at an agent; without a link, it is cancelled when one is opened."""
        placed = [item for key, item in agent.outstanding.items() if key[0] == submission_id]
        logs.event(
            "tasks_cancelled",
            submission=submission_id,
            agent=agent.incarnation,
            names=_names(placed),
            linked=agent.link is not None,
        )
        if agent.link is not None:
            agent.link.send(CancelTasks(submission_id))

    def _answer_failed(self, submission: Submission, now_s: float, *, force: bool) -> None:
        """Answer a failed submission once it is known whether any task ran; at once if `force`."""
        verdict = submission.verdict()
        unknown = submission.outstanding > 0 and verdict != Verdict.RAN
        if submission.answer is not None or (unknown and not force):
            return
        assert submission.failure is not None
        answer = failed_answer(
            submission.failure,
            verdict,
            submission.failure_detail,
            len(submission.tasks),
            submission.settled_count,
        )
        if submission.failure == RefusalReason.OVERLOAD:
            answer = evolve(answer, retry_after_s=RETRY_AFTER_S * random.uniform(0.9, 1.1))
        self._finish(submission, answer, now_s)

    def _answer_complete(self, submission: Submission, now_s: float) -> None:
        bodies = tuple(task.report.body for task in submission.tasks if task.report is not None)
        count = len(submission.tasks)
        answer = JobAnswer(JobState.COMPLETE, Verdict.RAN, count, count, bodies)
        self._finish(submission, answer, now_s)

    def _finish(self, submission: Submission, answer: JobAnswer, now_s: float) -> None:
        submission.answer = answer
        submission.done.set()
        submission.tasks = []
        self._unanswered.pop(submission.submission_id, None)
        self._accounting.record_answer(submission, answer, now_s)
        logs.event(
            "job_answered",
            submission=submission.submission_id,
            key=submission.request.key,
            member=submission.request.member,
            job=submission.request.job,
            state=answer.state,
            verdict=answer.verdict,
            reason=answer.reason or "none",
            detail=answer.detail,
            tasks=answer.task_count,
            elapsed_s=now_s - submission.submitted_at_s,
        )

    def end_unwanted(self, now_s: float) -> None:
        """Fail submissions whose deadline has passed or whose callers have left.

        The connections of callers are looked at here as well as by their readers: after a pause of
        this process, tasks would else start or go on for callers who have left during the pause.
        Checked at most once per POLL_INTERVAL_S, and before this entry's lease at any agent is
        renewed.
        """
        if now_s < self._next_caller_check_s:
            return
        self._next_caller_check_s = now_s + POLL_INTERVAL_S
        for submission in list(self._unanswered.values()):
            if now_s >= submission.deadline_s:
                detail = "not answered in time"
                self._fail(submission, RefusalReason.DEADLINE, detail, now_s)
            elif submission.has_caller_left():
                key = submission.request.key
                logs.event("caller_left", key=key, submission=submission.submission_id)
                self.cancel(submission, now_s)

    def refuse_useless(self, now_s: float) -> None:
        """Refuse waiting submissions that have not run and whose answers would be useless."""
        for submission in self.waiting.update_urgency(now_s):
            detail = "waited so long that its answer would be useless"
            self._fail(submission, RefusalReason.OVERLOAD, detail, now_s)

    def remove_answered(self, before_s: float) -> int:
        """Remove answered submissions received before a boot time; return their number."""
        expired = [
            item.submission_id
            for item in self.submissions.values()
            if item.answer is not None and item.submitted_at_s < before_s and not item.outstanding
        ]
        for submission_id in expired:
            del self.submissions[submission_id]
        return len(expired)


def _names(placed: list[tuple[Submission, Task]]) -> str:
    return ",".join(submission.task_name(task.index) for submission, task in placed)


def _log_settled(agent: Agent, settled: list[tuple[Submission, TaskReport]]) -> None:
    """Log the reports of one message, which are of one submission."""
    logs.event(
        "tasks_settled",
        submission=settled[0][0].submission_id,
        names=",".join(submission.task_name(report.index) for submission, report in settled),
        agent=agent.incarnation,
        attempts=",".join(str(report.attempt) for _, report in settled),
        outcomes=",".join(report.reason or report.verdict for _, report in settled),
    )
