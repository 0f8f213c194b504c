"""Moves placed tasks away from targets that have turned slow or are about to leave.

The agent of such a target is asked to stop a task; the task is placed again once the agent has
reported the end of that run, never before. Nothing depends on the request: if it or its answer is
lost, the task goes on, ends or is lost like any other, and is asked for again a little later.
"""

import math
from collections.abc import Iterator
from typing import Final

import trio
from attrs import define, frozen

from .. import clock, logs
from ..entry.agent import Agent, AgentListener
from ..entry.agents import AgentDirectory
from ..entry.metrics import EntryMetrics
from ..entry.waiting import WaitingTasks
from ..errors import RefusalReason, Verdict
from ..protocol.models import SealReply, StopTask, TaskReports
from ..scheduling.models import Demand, PlacedTask, TargetLoad
from ..scheduling.plan import PlacementPlan
from ..scheduling.urgency import MAX_LATENCY_FACTOR, Urgency
from ..submissions.models import Submission, Task
from .budget import StopBudget
from .overrun import MoveCause, Outlook, choose_moves, expected_end_s, move_cause

CHECK_INTERVAL_S: Final = 0.05
MAX_WAITING_TASKS: Final = 400  # at this entry
MOVE_DELAY_S: Final = 0.1  # for the request, the runner's stop, which takes 0.05 s, and the report
MOVE_MARGIN: Final = 1.25  # of the time to the end elsewhere; tasks that arrive later may go first
REPEAT_S: Final = 0.5  # a request that has had no answer for so long is forgotten
LATE_RESERVE: Final = 0.25  # of a target's CPU, which tasks that will be late leave free
MOVED_OUTCOME: Final = "moved"
ENDED_OUTCOME: Final = "ended"  # before it was stopped; its outcome counts
OVER_BUDGET_OUTCOME: Final = "over_budget"

PlacementKey = tuple[str, int, int]  # submission id, index and attempt


@frozen
class Request:
    """A request to stop a placement; `move_end_s` is when its task should end elsewhere."""

    agent: Agent
    cause: MoveCause
    sent_at_s: float
    move_end_s: float


@define
class Round:
    """Plans of one round of decisions, by job path and urgency; tasks to be moved take slots."""

    now_s: float
    plans: dict[tuple[str, Urgency], PlacementPlan]


class TaskMover(AgentListener):
    """Decides about the best-effort tasks that one entry has placed."""

    def __init__(
        self,
        directory: AgentDirectory,
        waiting: WaitingTasks,
        budget: StopBudget,
        metrics: EntryMetrics,
    ) -> None:
        """Initialize without requests."""
        self._directory = directory
        self._waiting = waiting
        self._budget = budget
        self._metrics = metrics
        self._requests: dict[PlacementKey, Request] = {}

    async def async_run(self) -> None:
        """Decide periodically until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self.move_tasks(clock.boot_s())

    def move_tasks(self, now_s: float) -> None:
        """Request the stop of tasks that had better run elsewhere.

        Behind very many waiting tasks none would, and planning all of them takes milliseconds.
        """
        self._forget_requests(now_s)
        if self._waiting.task_count() > MAX_WAITING_TASKS:
            return
        agents = [agent for agent in self._directory.agents.values() if _is_suspect(agent)]
        this_round = Round(now_s, {})
        for submission in _jobs_at(agents):
            moves = self._choose_moves(submission, this_round)
            if moves and self._is_affordable(moves, now_s):
                for move in moves:
                    self._request_stop(submission, move, now_s)

    def tasks_reported(self, agent: Agent, message: TaskReports, now_s: float) -> None:
        """Count the runs that have ended, and note what came of requests."""
        for report in message.reports:
            moved = report.reason == RefusalReason.MOVED
            if report.verdict == Verdict.RAN and not moved:
                self._budget.record_run(agent.incarnation, now_s)
            key = (message.submission_id, report.index, report.attempt)
            request = self._requests.pop(key, None)
            if request is None:
                continue
            outcome = MOVED_OUTCOME if moved else ENDED_OUTCOME
            self._metrics.task_moves.labels(request.cause, outcome).inc()
            if moved:
                self._metrics.moved_run_s.inc(report.run_s)
            logs.event(
                "task_move_ended",
                submission=message.submission_id,
                task=report.index,
                attempt=report.attempt,
                agent=agent.incarnation,
                outcome=outcome,
                took_s=now_s - request.sent_at_s,
                run_s=report.run_s,
            )

    def seal_replied(self, agent: Agent, message: SealReply, now_s: float) -> None:
        """Ignore a seal reply."""

    def _forget_requests(self, now_s: float) -> None:
        """Forget the requests that had no answer in time, and those of tasks that were lost."""
        self._requests = {
            key: request
            for key, request in self._requests.items()
            if now_s - request.sent_at_s < REPEAT_S and key[:2] in request.agent.outstanding
        }
        self._budget.forget(set(self._directory.agents))

    def _choose_moves(self, submission: Submission, this_round: Round) -> list[Outlook]:
        goal_s = self._waiting.goal_s(submission)
        goal_at_s = min(submission.deadline_s, submission.submitted_at_s + goal_s)
        useless_s = MAX_LATENCY_FACTOR * goal_s
        useless_at_s = min(submission.deadline_s, submission.submitted_at_s + useless_s)
        outlooks = [
            self._outlook(submission, task, goal_at_s, this_round)
            for task in submission.tasks
            if task.report is None and task.agent
        ]
        moves = choose_moves(outlooks, goal_at_s, useless_at_s)
        return [move for move in moves if move.cause is not None]

    def _outlook(
        self, submission: Submission, task: Task, goal_at_s: float, this_round: Round
    ) -> Outlook:
        """Return when a placed task would end; an end in time is not compared with another."""
        agent = self._directory.agents.get(task.agent)
        request = self._requests.get((submission.submission_id, task.index, task.attempt))
        if request is not None:
            return Outlook(task.index, task.agent, request.move_end_s)
        placed = None
        if agent is not None:
            placed = agent.load.placed.get((submission.submission_id, task.index))
        if agent is None or placed is None:
            return Outlook(task.index, task.agent, math.inf)
        return self._compare(submission, task, agent, placed, goal_at_s, this_round)

    def _compare(
        self,
        submission: Submission,
        task: Task,
        agent: Agent,
        placed: PlacedTask,
        goal_at_s: float,
        this_round: Round,
    ) -> Outlook:
        now_s = this_round.now_s
        stay_end_s = expected_end_s(placed, agent.load, now_s)
        may_move = agent.link is not None and now_s >= task.late_start_until_s
        cause = move_cause(placed, agent.load, now_s) if may_move else None
        if cause is None or (cause == MoveCause.SLOW and stay_end_s <= goal_at_s):
            return Outlook(task.index, task.agent, stay_end_s)
        move_end_s = self._move_end_s(submission, task, goal_at_s, this_round)
        if cause == MoveCause.LEAVING:
            stay_end_s = max(stay_end_s, move_end_s + agent.load.leaves_at_s - now_s)
        return Outlook(task.index, task.agent, stay_end_s, move_end_s, cause)

    def _move_end_s(
        self, submission: Submission, task: Task, goal_at_s: float, this_round: Round
    ) -> float:
        """Return when a task would end at a sound target, behind all tasks that go before it.

        Once it can't end in time any more, all tasks that can go before it.
        """
        settings, path = submission.settings, submission.request.path
        needs = self._waiting.task_needs(submission, task)
        earliest_end_s = this_round.now_s + MOVE_DELAY_S + needs.run_s
        urgency = Urgency.ON_TIME if earliest_end_s <= goal_at_s else Urgency.LATE
        plan = this_round.plans.get((path, urgency))
        if plan is None:
            plan = self._waiting.plan_behind_waiting(path, settings, this_round.now_s, urgency)
            this_round.plans[path, urgency] = plan
        sound = [
            agent.load
            for agent in self._waiting.agents_of(settings.service)
            if agent.incarnation not in task.refused_by
            and agent.incarnation != task.agent
            and (not settings.domains_allowed or agent.domain in settings.domains_allowed)
            and _has_room(agent.load, needs.demand, urgency)
        ]
        slot = plan.assign_slot(needs, sound)
        if slot is None:
            return math.inf
        now_s = this_round.now_s
        return now_s + MOVE_DELAY_S + MOVE_MARGIN * (slot.end_s - now_s)

    def _is_affordable(self, moves: list[Outlook], now_s: float) -> bool:
        """Return whether the budget allows moves; at a leaving target the work is lost anyway."""
        targets = [move.target for move in moves if move.cause == MoveCause.SLOW]
        if not targets or self._budget.allows(targets, now_s):
            return True
        self._metrics.task_moves.labels(MoveCause.SLOW, OVER_BUDGET_OUTCOME).inc(len(targets))
        return False

    def _request_stop(self, submission: Submission, move: Outlook, now_s: float) -> None:
        agent, task = self._directory.agents[move.target], submission.tasks[move.index]
        assert agent.link is not None and move.cause is not None
        agent.link.send(StopTask(submission.submission_id, task.index, task.attempt))
        key = (submission.submission_id, task.index, task.attempt)
        self._requests[key] = Request(agent, move.cause, now_s, move.move_end_s)
        if move.cause == MoveCause.SLOW:
            self._budget.record_stop(agent.incarnation, now_s)
        logs.event(
            "task_move_requested",
            submission=submission.submission_id,
            name=submission.task_name(task.index),
            task=task.index,
            attempt=task.attempt,
            agent=agent.incarnation,
            cause=move.cause,
            slowdown=agent.load.slowdown,
            load_age_s=now_s - agent.load.reported_at_s,
            stay_s=move.stay_end_s - now_s,
            move_s=move.move_end_s - now_s,
            left_s=submission.deadline_s - now_s,
        )


def _is_suspect(agent: Agent) -> bool:
    """Return whether tasks at an agent may have to be moved."""
    leaving = agent.load.leaves_at_s < math.inf
    return agent.link is not None and bool(agent.outstanding) and (agent.load.is_slow or leaving)


def _has_room(target: TargetLoad, demand: Demand, urgency: Urgency) -> bool:
    """Return whether a task may be moved to a target.

    A task that will be late anyway only gets room that those in time are unlikely to need.
    """
    if target.is_slow:
        return False
    free_cpu_m = target.cpu_m - target.own_cpu_m - target.others_cpu_m - demand.cpu_m
    return urgency == Urgency.ON_TIME or free_cpu_m >= LATE_RESERVE * target.cpu_m


def _jobs_at(agents: list[Agent]) -> Iterator[Submission]:
    """Yield the unfinished best-effort jobs that have tasks at any of the agents."""
    found: dict[str, Submission] = {}
    for agent in agents:
        for submission, _ in agent.outstanding.values():
            found[submission.submission_id] = submission
    for submission in found.values():
        ended = submission.answer is not None or submission.failure is not None
        if submission.settings.best_effort and not ended:
            yield submission
