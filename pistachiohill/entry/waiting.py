"""Queues of waiting tasks, and the selection of a target for each task."""

import math
from collections.abc import Iterable

from attrs import define

from ..consortium.const import NO_OFFSET
from ..consortium.view import ConsortiumView
from ..scheduling.estimates import RunEstimates
from ..scheduling.fair_queue import FairQueue, MemberQueue
from ..scheduling.models import TargetLoad
from ..scheduling.plan import PlacementPlan, TaskNeeds
from ..scheduling.policy import (
    ExpectedCompletion,
    SelectionPolicy,
    choose_target,
    make_policy,
    simple_policy_capacity,
)
from ..scheduling.urgency import Urgency, is_long_wait, latency_goal_s, urgency
from ..settings.const import ROOT_PATH, Policy
from ..settings.models import JobSettings
from ..shared_load.waiting_work import SHARED_PRIORITIES
from ..submissions.models import JobRequest, Submission, Task, TaskSpec
from .accounting import Accounting
from .agent import Agent
from .agents import AgentDirectory
from .const import SUSPECT_SILENCE_S
from .forecast import Forecast, JobOutlook
from .service_queue import ServiceClass, ServiceQueue

MAX_PLANNED_TASKS = 2000  # bounds the duration of one planning round
ANCHOR_INTERVAL_RUNS = 32


@define(slots=True)
class Placement:
    """A task, the agent selected for it, and its expected start and end as boot times."""

    agent: Agent
    submission: Submission
    task: Task
    start_s: float
    end_s: float


class WaitingTasks:
    """Fair queues for each service, and the placement policy that takes tasks from them."""

    def __init__(
        self, view: ConsortiumView, directory: AgentDirectory, accounting: Accounting
    ) -> None:
        """Initialize without tasks."""
        self.estimates = RunEstimates()
        self._runs_until_anchor = ANCHOR_INTERVAL_RUNS
        self._view = view
        self._directory = directory
        self._accounting = accounting
        self._queues: dict[str, ServiceQueue] = {}
        self._policy: SelectionPolicy = make_policy(Policy.EXPECTED_COMPLETION)
        self._policy_name: str = Policy.EXPECTED_COMPLETION

    def add(self, submission: Submission) -> None:
        """Add all waiting tasks of a new submission."""
        queue = self._service_queue(submission)
        queue.waiting_tasks += len(submission.waiting)
        self._enqueue(queue, submission)

    def requeue(self, submission: Submission, task: Task) -> None:
        """Return a task to the queue, ahead of the other tasks of its submission."""
        queue = self._service_queue(submission)
        queue.waiting_tasks += 1
        submission.waiting.appendleft(task)
        if len(submission.waiting) == 1:
            self._enqueue(queue, submission, front=True)

    def drop(self, submission: Submission) -> None:
        """Remove all waiting tasks of a submission; they count as settled."""
        queue = self._queues.get(submission.settings.service)
        if queue is None or not submission.waiting:
            return
        queue.waiting_tasks -= len(submission.waiting)
        submission.unsettled_count -= len(submission.waiting)
        submission.waiting.clear()
        queue.queue_of(submission).remove(submission.request.member, submission)

    def _service_queue(self, submission: Submission) -> ServiceQueue:
        return self._queues.setdefault(submission.settings.service, ServiceQueue())

    def _enqueue(self, queue: ServiceQueue, submission: Submission, front: bool = False) -> None:
        fair_queue = queue.queue_of(submission)
        weight = submission.settings.weight
        fair_queue.push(submission.request.member, weight, submission, front=front)

    def update_urgency(self, now_s: float) -> list[Submission]:
        """Let submissions that can't meet their goals wait behind the others of their priority.

        Returns those whose answers would be useless although none of their tasks has run.
        """
        useless = []
        for queue in self._queues.values():
            if not queue.waiting_tasks:
                continue
            for submission in queue.all_items():
                found = self._urgency(submission, now_s)
                if found == Urgency.USELESS and submission.has_certainly_not_run:
                    useless.append(submission)
                if submission.urgency == Urgency.ON_TIME and found != Urgency.ON_TIME:
                    queue.queue_of(submission).remove(submission.request.member, submission)
                    submission.urgency = Urgency.LATE
                    self._enqueue(queue, submission)
            for key, fair_queue in queue.by_class.items():
                if key.urgency == Urgency.ON_TIME:
                    self._sort(fair_queue, now_s)
        return useless

    def _urgency(self, submission: Submission, now_s: float) -> Urgency:
        goal_s, waited_s, run_s = self._times(submission, now_s)
        return urgency(goal_s, waited_s, run_s)

    def _times(self, submission: Submission, now_s: float) -> tuple[float, float, float]:
        """Return a submission's latency goal, its wait so far and the run time of its next task."""
        run_s = self._run_s(submission, submission.tasks[0])
        goal_s = latency_goal_s(submission.settings, run_s)
        return goal_s, now_s - submission.submitted_at_s, run_s

    def goal_s(self, submission: Submission) -> float:
        """Return the time from arrival within which a submission should end."""
        return self._times(submission, submission.submitted_at_s)[0]

    def _sort(self, fair_queue: FairQueue[Submission], now_s: float) -> None:
        """Let the newest submissions go first while waits are long, and the oldest otherwise.

        A submission of which a task has been placed stays ahead, so that it ends soon.
        """
        long_wait = any(
            is_long_wait(*self._times(item, now_s))
            for item in fair_queue.all_items()
            if len(item.waiting) == len(item.tasks)
        )
        direction = -1.0 if long_wait else 1.0

        def key(item: Submission) -> tuple[bool, float]:
            untouched = len(item.waiting) == len(item.tasks)
            return untouched, item.submitted_at_s * (direction if untouched else 1.0)

        fair_queue.sort(key)

    def member_task_count(self, member: str) -> int:
        """Return the number of a member's waiting tasks."""
        return sum(
            len(item.waiting) for queue in self._queues.values() for item in queue.items_of(member)
        )

    def backlog_s(self, request: JobRequest, settings: JobSettings) -> float:
        """Return the expected time until the first task of a new job would start.

        Only tasks that would be served earlier count: those of a higher priority, the member's own,
        and the share of the other members' tasks that their weights allow in the meantime.
        """
        cores = sum(agent.load.cpu_m for agent in self.agents_of(settings.service)) / 1000
        queue = self._queues.get(settings.service)
        if not cores or queue is None:
            return 0.0
        fair_queue = queue.queue_for(settings.priority, Urgency.ON_TIME)
        own_s = self._waiting_core_s(fair_queue.items_of(request.member))
        all_others_s = self._waiting_core_s(fair_queue.all_items()) - own_s
        weights = fair_queue.total_weight(request.member, settings.weight)
        others_s = min(all_others_s, own_s * (weights - settings.weight) / settings.weight)
        higher_priority_s = sum(
            self._waiting_core_s(other.all_items())
            for key, other in queue.by_class.items()
            if key.priority < settings.priority
        )
        return (higher_priority_s + own_s + others_s) / cores

    def _waiting_core_s(self, submissions: Iterable[Submission]) -> float:
        """Return the expected work of the submissions' waiting tasks in core-seconds."""
        return sum(
            self._run_s(item, task) * task.spec.demand.cpu_m / 1000
            for item in submissions
            for task in item.waiting
        )

    def record_others_ahead(self) -> None:
        """Count a refused job for which waiting work of other entries was counted."""
        self._accounting.record_others_ahead()

    def share_core_ms(self, service: str) -> list[int]:
        """Return the work of a service that waits here on time, as the share of one of its agents.

        Late submissions are left out, since all others go before them.
        """
        queue = self._queues.get(service)
        if queue is None or not queue.waiting_tasks:
            return []
        agents = max(1, len(self.agents_of(service)))
        on_time = queue.on_time_by_priority(SHARED_PRIORITIES)
        return [round(1000 * self._waiting_core_s(items) / agents) for items in on_time]

    def _run_s(self, submission: Submission, task: Task) -> float:
        return self.estimates.expected_run_s(submission.request.path, task.spec.declared_s)

    def record_run(self, agent: Agent, submission: Submission, task: Task, run_s: float) -> None:
        """Learn from the run time of a task that an agent has run."""
        path, service = submission.request.path, submission.settings.service
        factor = agent.load.mean_factor
        self.estimates.record_run(path, factor, run_s, task.spec.declared_s, service)
        self._runs_until_anchor -= 1
        if self._runs_until_anchor <= 0:
            self._runs_until_anchor = ANCHOR_INTERVAL_RUNS
            targets = [item.load.mean_factor for item in self.agents_of(service)]
            self.estimates.anchor(service, targets)

    def task_needs(self, submission: Submission, task: Task) -> TaskNeeds:
        """Return a task's resource needs for planning."""
        run_s = self._run_s(submission, task)
        return TaskNeeds(task.spec.demand, run_s, submission.settings.priority)

    def has_tasks(self) -> bool:
        """Return whether any task is waiting."""
        return self.task_count() > 0

    def task_count(self) -> int:
        """Return the number of waiting tasks."""
        return sum(queue.waiting_tasks for queue in self._queues.values())

    def forecast(
        self,
        request: JobRequest,
        settings: JobSettings,
        now_s: float,
        waits_as: Urgency = Urgency.ON_TIME,
    ) -> Forecast:
        """Return the expected completion of a job that arrives now and waits with an urgency.

        Waiting tasks that are served before or with its class are planned ahead of it.
        """
        outlook = JobOutlook(
            self._eligible_targets(settings.service, now_s),
            self._needs_ahead(settings, waits_as),
            [
                TaskNeeds(spec.demand, self._spec_run_s(request, spec), settings.priority)
                for spec in request.tasks
            ],
            self.estimates.expected_run_s(request.path),
            self._view.state.settings(ROOT_PATH).ramp_s,
        )
        return outlook.forecast(now_s)

    def _spec_run_s(self, request: JobRequest, spec: TaskSpec) -> float:
        return self.estimates.expected_run_s(request.path, spec.declared_s)

    def plan_behind_waiting(
        self, path: str, settings: JobSettings, now_s: float, waits_as: Urgency = Urgency.ON_TIME
    ) -> PlacementPlan:
        """Return a plan in which all tasks have slots that wait before or with an urgency."""
        root = self._view.state.settings(ROOT_PATH)
        mean_s = self.estimates.expected_run_s(path)
        targets = self._eligible_targets(settings.service, now_s)
        plan = PlacementPlan(targets, now_s, 0.0, root.ramp_s, mean_s, max_queued=math.inf)
        for needs in self._needs_ahead(settings, waits_as):
            plan.assign_slot(needs)
        return plan

    def longest_run_s(self, request: JobRequest) -> float:
        """Return the expected run time of a job's longest task at a target of average speed."""
        return max(self._spec_run_s(request, spec) for spec in request.tasks)

    def _needs_ahead(self, settings: JobSettings, waits_as: Urgency) -> list[TaskNeeds]:
        queue = self._queues.get(settings.service)
        if queue is None:
            return []
        return [
            self.task_needs(submission, task)
            for fair_queue in queue.queues_up_to(ServiceClass(settings.priority, waits_as))
            for submission in fair_queue.all_items()
            for task in submission.waiting
        ]

    def has_target(self, service: str) -> bool:
        """Return whether any connected agent of a service accepts tasks."""
        return bool(self.agents_of(service))

    def expects_more_targets(self) -> bool:
        """Return whether some of the agents of this entry are not connected yet."""
        return self._directory.is_linking()

    def place(self, now_s: float) -> list[Placement]:
        """Remove and return the tasks to place now, in fair-queue order up to capacity."""
        self._refresh_policy()
        placements: list[Placement] = []
        for service, queue in self._queues.items():
            if queue.waiting_tasks > 0:
                placements += self._place_service(service, queue, now_s)
        return placements

    def _refresh_policy(self) -> None:
        name = self._view.state.settings(ROOT_PATH).policy
        if name != self._policy_name:
            self._policy_name = name
            self._policy = make_policy(name)

    def agents_of(self, service: str) -> list[Agent]:
        """Return the connected agents of a service that accept tasks."""
        return [
            agent
            for agent in self._directory.agents.values()
            if agent.link is not None and agent.accepting and agent.service == service
        ]

    def _eligible_targets(self, service: str, now_s: float) -> list[TargetLoad]:
        """Return the targets at which tasks of a service may be placed now."""
        return [
            agent.load
            for agent in self.agents_of(service)
            if now_s >= agent.load.quarantined_until_s
            and not self._view.state.domain_is_out(agent.load.domain)
            and self._directory.silence_s(agent, now_s) <= SUSPECT_SILENCE_S
        ]

    def _place_service(self, service: str, queue: ServiceQueue, now_s: float) -> list[Placement]:
        targets = self._eligible_targets(service, now_s)
        if isinstance(self._policy, ExpectedCompletion):
            placements = self._place_by_plan(queue, targets, now_s)
        else:
            placements = self._place_by_simple_policy(queue, targets, now_s)
        queue.waiting_tasks -= len(placements)
        return placements

    def _place_by_plan(
        self, queue: ServiceQueue, targets: list[TargetLoad], now_s: float
    ) -> list[Placement]:
        """Place the tasks that are expected to start within the planning horizon."""
        root = self._view.state.settings(ROOT_PATH)
        plan = PlacementPlan(targets, now_s, root.horizon_s, root.ramp_s, self._mean_run_s(queue))
        newest_offset = self._newest_offset(targets)
        placements: list[Placement] = []
        for key, fair_queue in queue.nonempty_classes():
            horizon_s = root.horizon_s
            if key.urgency == Urgency.LATE:
                horizon_s = min(horizon_s, root.late_horizon_s)
            placements += self._place_priority(
                fair_queue, plan, now_s + horizon_s, targets, newest_offset
            )
        return placements

    def _mean_run_s(self, queue: ServiceQueue) -> float:
        first = queue.nonempty_queues()[0].all_items()[0]
        return self.estimates.expected_run_s(first.request.path)

    def _place_priority(
        self,
        fair_queue: FairQueue[Submission],
        plan: PlacementPlan,
        bind_until_s: float,
        targets: list[TargetLoad],
        newest_offset: int,
    ) -> list[Placement]:
        """Plan the tasks of one priority in fair-queue order; place those that start soon."""
        order = fair_queue.start_round()
        planned: dict[str, int] = {}
        placements: list[Placement] = []
        for _ in range(MAX_PLANNED_TASKS):
            member = order.first()
            if member is None:
                break
            submission = self._next_submission(member, planned)
            if submission is None or self._quota_reached(submission):
                order.skip_first()
                continue
            task = submission.waiting[planned.get(submission.submission_id, 0)]
            needs = self.task_needs(submission, task)
            slot = plan.assign_slot(
                needs, self._usable_targets(submission, task, targets, newest_offset)
            )
            if slot is None:
                order.skip_first()
            elif slot.start_s <= bind_until_s:
                placements.append(
                    self._dequeue(
                        member, submission, task, slot.plan.target, slot.start_s, slot.end_s
                    )
                )
                order.charge_served(needs.run_s)
            else:
                planned_count = planned.get(submission.submission_id, 0)
                planned[submission.submission_id] = planned_count + 1
                order.charge_planned(needs.run_s)
        return placements

    def _place_by_simple_policy(
        self, queue: ServiceQueue, targets: list[TargetLoad], now_s: float
    ) -> list[Placement]:
        """Place tasks by a simple policy while any target has capacity."""
        capacities = {target.name: simple_policy_capacity(target) for target in targets}
        newest_offset = self._newest_offset(targets)
        placements: list[Placement] = []
        for fair_queue in queue.nonempty_queues():
            order = fair_queue.start_round()
            while (member := order.first()) is not None:
                submission = self._next_submission(member, {})
                if submission is None or self._quota_reached(submission):
                    order.skip_first()
                    continue
                task = submission.waiting[0]
                usable = self._usable_targets(submission, task, targets, newest_offset)
                available = [item for item in targets if capacities[item.name] > 0]
                if usable is not None:
                    available = [item for item in available if item in usable]
                target = choose_target(self._policy, available)
                if target is None:
                    order.skip_first()
                    continue
                capacities[target.name] -= 1
                run_s = self._run_s(submission, task)
                end_s = now_s + run_s * target.factor
                placements.append(self._dequeue(member, submission, task, target, now_s, end_s))
                order.charge_served(run_s)
        return placements

    def _next_submission(
        self, member: MemberQueue[Submission], planned: dict[str, int]
    ) -> Submission | None:
        """Return the member's first submission with a task neither placed nor planned."""
        while member.items and not member.items[0].waiting:
            member.items.popleft()
        for submission in member.items:
            planned_count = planned.get(submission.submission_id, 0) if planned else 0
            if len(submission.waiting) > planned_count and submission.answer is None:
                return submission
        return None

    def _quota_reached(self, submission: Submission) -> bool:
        running = self._accounting.running_tasks(submission.request.member)
        return running >= submission.settings.max_running_tasks

    def _usable_targets(
        self,
        submission: Submission,
        task: Task,
        targets: list[TargetLoad],
        newest_offset: int,
    ) -> list[TargetLoad] | None:
        """Return the targets that may run a task, None for all of them.

        An at-most-once task may only go to agents that were announced before its submission id was
        issued.
        """
        settings = submission.settings
        if task.refused_by and self._refused_by_all(task, settings.service):
            task.refused_by.clear()
        allowed = settings.domains_allowed
        check_offsets = not settings.best_effort and newest_offset > submission.issued_offset
        if not task.refused_by and not allowed and not check_offsets:
            return None
        agents = self._directory.agents
        return [
            target
            for target in targets
            if target.name not in task.refused_by
            and (not allowed or target.domain in allowed)
            and (
                not check_offsets or agents[target.name].announce_offset <= submission.issued_offset
            )
        ]

    def _newest_offset(self, targets: list[TargetLoad]) -> int:
        """Return the highest announcement offset of the targets' agents."""
        agents = self._directory.agents
        return max((agents[target.name].announce_offset for target in targets), default=NO_OFFSET)

    def _refused_by_all(self, task: Task, service: str) -> bool:
        return task.refused_by.issuperset(agent.incarnation for agent in self.agents_of(service))

    def _dequeue(
        self,
        member: MemberQueue[Submission],
        submission: Submission,
        task: Task,
        target: TargetLoad,
        start_s: float,
        end_s: float,
    ) -> Placement:
        """Remove a task from its queue and return its placement."""
        submission.waiting.remove(task)
        if not submission.waiting:
            member.items.remove(submission)
        self._accounting.record_placement(submission.request.member)
        agent = self._directory.agents[target.name]
        return Placement(agent, submission, task, start_s, end_s)
