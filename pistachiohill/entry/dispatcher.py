"""Place the waiting tasks of this entry's submissions at agents, and settle what they report."""

import random
from collections.abc import Callable, Iterable

import trio
from attrs import define, field

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
from ..scheduling.estimates import RunEstimates
from ..scheduling.fair_queue import FairQueue, MemberQueue
from ..scheduling.models import Placement, TargetLoad
from ..scheduling.policy import PolicyObject, choose, make_policy
from ..settings.const import ROOT_PATH
from ..settings.models import JobSettings
from ..submissions.identifiers import parse_submission_id
from ..submissions.models import JobAnswer, JobRequest, Submission, Task, failed
from .accounting import Accounting
from .agents import Agent, AgentDirectory, AgentEvents

FATAL_REASONS = frozenset({RefusalReason.SEALED, RefusalReason.EXPIRED_ID, RefusalReason.INVALID})
AWAY_REASONS = frozenset({RefusalReason.LEAVING, RefusalReason.DOMAIN_OUT, RefusalReason.STOPPING})
AVOID_REASONS = frozenset(
    {
        RefusalReason.WRONG_INCARNATION,
        RefusalReason.TARGET_LOST,
        RefusalReason.TARGET_REFUSED,
    }
)
TICK_S = 0.25


@define
class ServiceQueue:
    """The waiting submissions of one service and the number of their waiting tasks."""

    fair: FairQueue[Submission] = field(factory=FairQueue)
    waiting_tasks: int = 0


class Dispatcher(AgentEvents):
    """Owns the submissions of this entry incarnation."""

    def __init__(
        self,
        view: ConsortiumView,
        view_confirmed_at: Callable[[float], float],
        directory: AgentDirectory,
        accounting: Accounting,
    ) -> None:
        """Start with no submission."""
        self._view_confirmed_at = view_confirmed_at
        self.submissions: dict[str, Submission] = {}
        self.estimates = RunEstimates()
        self._view = view
        self._directory = directory
        self._accounting = accounting
        self._queues: dict[str, ServiceQueue] = {}
        self._policy: PolicyObject = make_policy("expected_completion")
        self._policy_name = "expected_completion"
        self._work = trio.Event()
        self._seal_listeners: list[AgentEvents] = []

    def add_listener(self, listener: AgentEvents) -> None:
        """Pass seal replies and foreign task reports on to a recovery."""
        self._seal_listeners.append(listener)

    async def async_run(self) -> None:
        """Place tasks whenever something has changed, and expire what is overdue."""
        while True:
            with trio.move_on_after(TICK_S):
                await self._work.wait()
            self._work = trio.Event()
            now_s = clock.boot_s()
            self._expire(now_s)
            self.place(now_s)

    def submit(self, submission: Submission, now_s: float) -> None:
        """Take on a submission and place what can be placed at once."""
        self.submissions[submission.submission_id] = submission
        self._enqueue(submission)
        logs.event(
            "job_accepted",
            submission=submission.submission_id,
            member=submission.request.member,
            job=submission.request.job,
            tasks=len(submission.tasks),
        )
        self._work.set()

    def cancel(self, submission: Submission, now_s: float) -> None:
        """Cancel a submission: nothing more of it starts, what runs goes on unheard."""
        if submission.answer is None:
            self._fail(submission, RefusalReason.CANCELLED, "cancelled by its caller", now_s)

    async def async_wait_answered(self) -> None:
        """Wait until every submission taken on so far is answered."""
        for submission in list(self.submissions.values()):
            await submission.done.wait()

    def waiting_tasks(self, member: str) -> int:
        """Return how many tasks of a member wait here."""
        return sum(
            len(item.waiting)
            for queue in self._queues.values()
            for item in queue.fair.items_of(member)
        )

    def backlog_s(self, request: JobRequest, settings: JobSettings) -> float:
        """Return the expected time until a new job's first task would start.

        Only the tasks that fair queueing serves first count: the member's own, and as many of the
        other members' as their weights allow in the meantime.
        """
        slots = sum(agent.load.slots for agent in self._agents_of(settings.service))
        queue = self._queues.get(settings.service)
        if not slots or queue is None:
            return 0.0
        own_s = self._waiting_run_s(queue.fair.items_of(request.member))
        rest_s = self._waiting_run_s(queue.fair.all_items()) - own_s
        weights = queue.fair.total_weight(request.member, settings.weight)
        others_s = min(rest_s, own_s * (weights - settings.weight) / settings.weight)
        return (own_s + others_s) / slots

    def _waiting_run_s(self, submissions: Iterable[Submission]) -> float:
        return sum(
            len(item.waiting) * self.estimates.job_s(item.request.path) for item in submissions
        )

    def has_target(self, service: str) -> bool:
        """Return whether any agent of a service accepts tasks."""
        return any(True for _ in self._agents_of(service))

    def place(self, now_s: float) -> None:
        """Place waiting tasks in fair order as far as there is room."""
        self._refresh_policy()
        max_age_s = self._view.state.settings(ROOT_PATH).view_max_age_s
        if now_s - self._view_confirmed_at(now_s) > max_age_s:
            return
        for service, queue in self._queues.items():
            if queue.waiting_tasks > 0:
                self._place_service(service, queue, now_s)

    # Events from agents

    def agent_attached(self, agent: Agent, now_s: float) -> None:
        """Ask a newly linked agent for the tasks that were placed there before."""
        by_submission: dict[str, list[TaskRef]] = {}
        for (submission_id, index), (_, task) in agent.outstanding.items():
            by_submission.setdefault(submission_id, []).append(TaskRef(index, task.attempt))
        for submission_id, refs in by_submission.items():
            logs.event("tasks_queried", submission=submission_id, tasks=len(refs))
            if agent.link is not None:
                agent.link.send(QueryTasks(submission_id, refs))

    def agent_changed(self, agent: Agent, now_s: float) -> None:
        """Place tasks anew."""
        self._work.set()

    def agent_lost(self, agent: Agent, now_s: float) -> None:
        """Settle all tasks at a dead incarnation: they may have run."""
        for submission, task in list(agent.outstanding.values()):
            report = TaskReport(
                task.index,
                task.attempt,
                TaskState.SETTLED,
                Verdict.MAY_HAVE_RUN,
                reason=RefusalReason.LOST_AGENT,
            )
            self._settle(agent, submission, task, report, now_s)

    def tasks_reported(self, agent: Agent, message: TaskReports, now_s: float) -> None:
        """Settle reported tasks; reports of other submissions go to the recovery."""
        for report in message.reports:
            found = agent.outstanding.get((message.submission_id, report.index))
            if found is None or found[1].attempt != report.attempt:
                continue
            self._settle(agent, found[0], found[1], report, now_s)
        agent.load.others = max(0, message.occupied - len(agent.outstanding))
        for listener in self._seal_listeners:
            listener.tasks_reported(agent, message, now_s)
        self._work.set()

    def seal_replied(self, agent: Agent, message: SealReply, now_s: float) -> None:
        """Pass an agent's answer on to the recovery."""
        for listener in self._seal_listeners:
            listener.seal_replied(agent, message, now_s)

    # Placing

    def _refresh_policy(self) -> None:
        name = self._view.state.settings(ROOT_PATH).policy
        if name != self._policy_name:
            self._policy_name = name
            self._policy = make_policy(name)

    def _agents_of(self, service: str) -> list[Agent]:
        return [
            agent
            for agent in self._directory.agents.values()
            if agent.link is not None and agent.accepting and agent.service == service
        ]

    def _place_service(self, service: str, queue: ServiceQueue, now_s: float) -> None:
        root = self._view.state.settings(ROOT_PATH)
        rooms = {
            agent.incarnation: agent.load.allowed(now_s, root.ramp_s, 0) - agent.load.load
            for agent in self._agents_of(service)
            if now_s >= agent.load.quarantined_until_s
        }
        rooms = {name: room for name, room in rooms.items() if room > 0}
        order = queue.fair.in_order()
        batches: dict[tuple[str, str], list[Task]] = {}
        while rooms and (member := order.first()) is not None:
            submission = self._next_submission(member)
            if submission is None or self._at_quota(submission):
                order.block(member)
                continue
            agent = self._choose_agent(submission, rooms, service)
            if agent is None:
                order.block(member)
                continue
            task = submission.waiting.popleft()
            queue.waiting_tasks -= 1
            if not submission.waiting:
                member.items.remove(submission)
            rooms[agent.incarnation] -= 1
            if rooms[agent.incarnation] == 0:
                del rooms[agent.incarnation]
            self._assign(agent, submission, task)
            queue.fair.charge(member, self.estimates.job_s(submission.request.path))
            batches.setdefault((agent.incarnation, submission.submission_id), []).append(task)
        for (incarnation, submission_id), tasks in batches.items():
            agent = self._directory.agents[incarnation]
            more = queue.waiting_tasks > 0
            self._send(agent, self.submissions[submission_id], tasks, more, now_s)

    def _next_submission(self, member: MemberQueue[Submission]) -> Submission | None:
        while member.items:
            submission = member.items[0]
            if submission.waiting and submission.answer is None:
                return submission
            member.items.popleft()
        return None

    def _at_quota(self, submission: Submission) -> bool:
        running = self._accounting.running(submission.request.member)
        share = self._accounting.share(submission.settings.max_running_tasks)
        return running >= share

    def _choose_agent(
        self, submission: Submission, rooms: dict[str, int], service: str
    ) -> Agent | None:
        parsed = parse_submission_id(submission.submission_id)
        assert parsed is not None
        task = submission.waiting[0]
        if task.refused_by and self._refused_by_all(task, service):
            task.refused_by.clear()
        allowed = submission.settings.domains_allowed
        candidates: list[TargetLoad] = []
        for incarnation in rooms:
            agent = self._directory.agents[incarnation]
            if incarnation in task.refused_by or not agent.takes(service, parsed.offset):
                continue
            if allowed and agent.load.domain not in allowed:
                continue
            if self._view.state.domain_is_out(agent.load.domain):
                continue
            candidates.append(agent.load)
        placement = Placement(
            submission.request.path, self.estimates.job_s(submission.request.path), allowed
        )
        chosen = choose(self._policy, candidates, placement)
        return None if chosen is None else self._directory.agents[chosen.name]

    def _refused_by_all(self, task: Task, service: str) -> bool:
        return task.refused_by.issuperset(agent.incarnation for agent in self._agents_of(service))

    def _assign(self, agent: Agent, submission: Submission, task: Task) -> None:
        task.attempt += 1
        task.agent = agent.incarnation
        submission.outstanding += 1
        agent.load.outstanding += 1
        agent.outstanding[(submission.submission_id, task.index)] = (submission, task)
        self._accounting.started(submission.request.member)

    def _send(
        self, agent: Agent, submission: Submission, tasks: list[Task], more: bool, now_s: float
    ) -> None:
        assert agent.link is not None
        settings = submission.settings
        message = StartTasks(
            submission_id=submission.submission_id,
            member=submission.request.member,
            job=submission.request.job,
            task_count=len(submission.tasks),
            deadline_in_s=max(0.0, submission.deadline_s - now_s),
            task_timeout_s=min(settings.task_timeout_s, max(0.01, submission.deadline_s - now_s)),
            refusal_is_not_run=settings.refusal_is_not_run,
            report_each=more,
            view=self._directory.stamp(agent, now_s),
            tasks=[TaskStart(task.index, task.attempt, task.payload) for task in tasks],
        )
        agent.link.send(message)
        logs.debug(
            "tasks_placed",
            submission=submission.submission_id,
            agent=agent.incarnation,
            tasks=len(tasks),
        )

    # Settling

    def _settle(
        self, agent: Agent, submission: Submission, task: Task, report: TaskReport, now_s: float
    ) -> None:
        """Take a placement off an agent and settle the task or let it wait again."""
        if report.state not in (TaskState.SETTLED, TaskState.FENCED):
            return
        del agent.outstanding[(submission.submission_id, task.index)]
        agent.load.outstanding -= 1
        submission.outstanding -= 1
        self._accounting.ended(submission.request.member, report.run_s)
        if submission.answer is not None:
            return
        if report.verdict == Verdict.NOT_RUN:
            self._place_again(agent, submission, task, report, now_s)
            return
        if report.verdict == Verdict.RAN and not report.reason:
            agent.load.factor = self.estimates.learn(
                submission.request.path, agent.load.factor, report.run_s
            )
        self._keep(submission, task, report, now_s)

    def _place_again(
        self, agent: Agent, submission: Submission, task: Task, report: TaskReport, now_s: float
    ) -> None:
        reason = RefusalReason(report.reason)
        self._accounting.task_refused(reason)
        if reason in AWAY_REASONS:
            agent.accepting = False
        if reason in AVOID_REASONS:
            task.refused_by.add(agent.incarnation)
        if submission.failure is not None or reason in FATAL_REASONS:
            self._keep(submission, task, report, now_s)
            return
        if task.attempt > submission.settings.max_restarts:
            report.reason = RefusalReason.TOO_MANY_RESTARTS
            self._keep(submission, task, report, now_s)
            return
        task.agent = ""
        submission.waiting.appendleft(task)
        self._enqueue(submission, count=1, front=True)
        self._work.set()

    def _keep(self, submission: Submission, task: Task, report: TaskReport, now_s: float) -> None:
        task.report = report
        submission.unsettled -= 1
        if report.reason and submission.failure is None:
            detail = f"task {task.index}: {report.reason}"
            if report.status_code:
                detail += f" (status {report.status_code})"
            self._fail(submission, RefusalReason(report.reason), detail, now_s)
        elif submission.failure is not None:
            self._answer_failed(submission, now_s, force=False)
        elif submission.unsettled == 0:
            self._answer_complete(submission, now_s)

    def _fail(
        self, submission: Submission, reason: RefusalReason, detail: str, now_s: float
    ) -> None:
        """Stop a submission: drop what waits, cancel what is queued at agents, then answer."""
        submission.failure = reason
        submission.failure_detail = detail
        self._drop_waiting(submission)
        for agent in self._directory.agents.values():
            if agent.link is None or not agent.outstanding:
                continue
            if any(key[0] == submission.submission_id for key in agent.outstanding):
                agent.link.send(CancelTasks(submission.submission_id))
        self._answer_failed(submission, now_s, force=reason == RefusalReason.DEADLINE)

    def _answer_failed(self, submission: Submission, now_s: float, *, force: bool) -> None:
        """Answer once it is known whether anything ran, or at once when forced."""
        verdict = submission.verdict()
        unknown = submission.outstanding > 0 and verdict != Verdict.RAN
        if submission.answer is not None or (unknown and not force):
            return
        assert submission.failure is not None
        answer = failed(
            submission.failure,
            verdict,
            submission.failure_detail,
            len(submission.tasks),
            submission.settled,
        )
        self._finish(submission, answer, now_s)

    def _answer_complete(self, submission: Submission, now_s: float) -> None:
        bodies = tuple(task.report.body for task in submission.tasks if task.report is not None)
        count = len(submission.tasks)
        answer = JobAnswer(JobState.COMPLETE, Verdict.RAN, count, count, bodies)
        self._finish(submission, answer, now_s)

    def _finish(self, submission: Submission, answer: JobAnswer, now_s: float) -> None:
        submission.answer = answer
        submission.done.set()
        for task in submission.tasks:
            task.payload = b""
        self._accounting.answered(submission, answer, now_s)
        logs.event(
            "job_answered",
            submission=submission.submission_id,
            member=submission.request.member,
            job=submission.request.job,
            state=answer.state,
            verdict=answer.verdict,
            reason=answer.reason or "none",
            tasks=answer.task_count,
            elapsed_s=now_s - submission.submitted_at_s,
        )

    def _enqueue(
        self, submission: Submission, count: int | None = None, *, front: bool = False
    ) -> None:
        service = submission.settings.service
        queue = self._queues.setdefault(service, ServiceQueue())
        queue.waiting_tasks += len(submission.waiting) if count is None else count
        if count is not None and len(submission.waiting) > count:
            return
        member = submission.request.member
        queue.fair.push(member, submission.settings.weight, submission, front=front)

    def _drop_waiting(self, submission: Submission) -> None:
        queue = self._queues.get(submission.settings.service)
        if queue is None or not submission.waiting:
            return
        queue.waiting_tasks -= len(submission.waiting)
        submission.unsettled -= len(submission.waiting)
        submission.waiting.clear()
        queue.fair.remove(submission.request.member, submission)

    def _expire(self, now_s: float) -> None:
        for submission in list(self.submissions.values()):
            if submission.answer is None and now_s >= submission.deadline_s:
                detail = "not answered in time"
                self._fail(submission, RefusalReason.DEADLINE, detail, now_s)

    def forget(self, before_s: float) -> int:
        """Forget submissions answered and submitted before a boot time; return how many."""
        old = [
            item.submission_id
            for item in self.submissions.values()
            if item.answer is not None and item.submitted_at_s < before_s and not item.outstanding
        ]
        for submission_id in old:
            del self.submissions[submission_id]
        return len(old)


def jitter(value_s: float) -> float:
    """Return a time spread by a tenth, so that callers do not come back together."""
    return value_s * random.uniform(0.9, 1.1)
