"""The waiting tasks of this entry's submissions, and where each is to be placed."""

from collections.abc import Iterable

from attrs import define, field

from ..consortium.const import NO_OFFSET
from ..consortium.view import ConsortiumView
from ..scheduling.estimates import RunEstimates
from ..scheduling.fair_queue import FairQueue, MemberQueue
from ..scheduling.models import TargetLoad
from ..scheduling.plan import SlotPlan
from ..scheduling.policy import ExpectedCompletion, PolicyObject, choose, make_policy
from ..settings.const import ROOT_PATH, Policy
from ..settings.models import JobSettings
from ..submissions.models import JobRequest, Submission, Task
from .accounting import Accounting
from .agents import Agent, AgentDirectory

MAX_PLANNED_TASKS = 2000


@define(slots=True)
class Placement:
    """A task that is to be placed at an agent; `end_s` is the boot time of its expected end."""

    agent: Agent
    submission: Submission
    task: Task
    end_s: float


@define
class ServiceQueue:
    """The waiting submissions of one service and the number of their waiting tasks."""

    fair: FairQueue[Submission] = field(factory=FairQueue)
    waiting_tasks: int = 0


class WaitingTasks:
    """A fair queue for each service, and the policy that places from it."""

    def __init__(
        self, view: ConsortiumView, directory: AgentDirectory, accounting: Accounting
    ) -> None:
        """Start with no task."""
        self.estimates = RunEstimates()
        self._view = view
        self._directory = directory
        self._accounting = accounting
        self._queues: dict[str, ServiceQueue] = {}
        self._policy: PolicyObject = make_policy(Policy.EXPECTED_COMPLETION)
        self._policy_name: str = Policy.EXPECTED_COMPLETION

    def add(self, submission: Submission) -> None:
        """Queue all waiting tasks of a new submission."""
        queue = self._queues.setdefault(submission.settings.service, ServiceQueue())
        queue.waiting_tasks += len(submission.waiting)
        queue.fair.push(submission.request.member, submission.settings.weight, submission)

    def add_back(self, submission: Submission, task: Task) -> None:
        """Queue a task again, before its submission's others."""
        queue = self._queues.setdefault(submission.settings.service, ServiceQueue())
        queue.waiting_tasks += 1
        submission.waiting.appendleft(task)
        if len(submission.waiting) > 1:
            return
        member = submission.request.member
        queue.fair.push(member, submission.settings.weight, submission, front=True)

    def drop(self, submission: Submission) -> None:
        """Take all waiting tasks of a submission out; they count as settled."""
        queue = self._queues.get(submission.settings.service)
        if queue is None or not submission.waiting:
            return
        queue.waiting_tasks -= len(submission.waiting)
        submission.unsettled -= len(submission.waiting)
        submission.waiting.clear()
        queue.fair.remove(submission.request.member, submission)

    def count(self, member: str) -> int:
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
        slots = sum(agent.load.slots for agent in self.agents_of(settings.service))
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
        return bool(self.agents_of(service))

    def place(self, now_s: float) -> list[Placement]:
        """Take out the tasks that are to be placed now, in fair order as far as there is room."""
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
        """Return the linked agents of a service that accept tasks."""
        return [
            agent
            for agent in self._directory.agents.values()
            if agent.link is not None and agent.accepting and agent.service == service
        ]

    def _place_service(self, service: str, queue: ServiceQueue, now_s: float) -> list[Placement]:
        targets = [
            agent.load
            for agent in self.agents_of(service)
            if now_s >= agent.load.quarantined_until_s
            and not self._view.state.domain_is_out(agent.load.domain)
        ]
        if isinstance(self._policy, ExpectedCompletion):
            placements = self._plan(queue, targets, now_s)
        else:
            placements = self._bind_at_once(queue, targets, now_s)
        queue.waiting_tasks -= len(placements)
        return placements

    def _plan(
        self, queue: ServiceQueue, targets: list[TargetLoad], now_s: float
    ) -> list[Placement]:
        """Bind the tasks whose planned slot frees up within the horizon."""
        root = self._view.state.settings(ROOT_PATH)
        order = queue.fair.in_order()
        first = order.first()
        if first is None:
            return []
        mean_s = self.estimates.job_s(first.items[0].request.path)
        plan = SlotPlan(targets, now_s, root.horizon_s, root.ramp_s, mean_s)
        newest_offset = self._newest_offset(targets)
        planned: dict[str, int] = {}
        placements: list[Placement] = []
        for _ in range(MAX_PLANNED_TASKS):
            member = order.first()
            if member is None or not plan.has_room():
                break
            submission = self._next_submission(member, planned)
            if submission is None or self._at_quota(submission):
                order.leave()
                continue
            run_s = self.estimates.job_s(submission.request.path)
            slot = plan.take(run_s, self._usable(submission, targets, newest_offset))
            if slot is None:
                order.leave()
            elif plan.bind(slot):
                placements.append(self._bind(member, submission, slot.plan.target, slot.end_s))
                order.served(run_s)
            else:
                held = planned.get(submission.submission_id, 0)
                planned[submission.submission_id] = held + 1
                order.planned(run_s)
        return placements

    def _bind_at_once(
        self, queue: ServiceQueue, targets: list[TargetLoad], now_s: float
    ) -> list[Placement]:
        """Bind tasks by a simple policy as long as any target has room."""
        ramp_s = self._view.state.settings(ROOT_PATH).ramp_s
        rooms = {
            target.name: target.allowed(now_s, ramp_s, target.queue_limit) - target.load
            for target in targets
        }
        newest_offset = self._newest_offset(targets)
        order = queue.fair.in_order()
        placements: list[Placement] = []
        while (member := order.first()) is not None:
            submission = self._next_submission(member, {})
            if submission is None or self._at_quota(submission):
                order.leave()
                continue
            usable = self._usable(submission, targets, newest_offset)
            having_room = [item for item in targets if rooms[item.name] > 0]
            if usable is not None:
                having_room = [item for item in having_room if item in usable]
            target = choose(self._policy, having_room)
            if target is None:
                order.leave()
                continue
            rooms[target.name] -= 1
            run_s = self.estimates.job_s(submission.request.path)
            end_s = now_s + run_s * target.factor
            placements.append(self._bind(member, submission, target, end_s))
            order.served(run_s)
        return placements

    def _next_submission(
        self, member: MemberQueue[Submission], planned: dict[str, int]
    ) -> Submission | None:
        """Return the member's first submission with a task that is neither placed nor planned."""
        while member.items and not member.items[0].waiting:
            member.items.popleft()
        for submission in member.items:
            held = planned.get(submission.submission_id, 0) if planned else 0
            if len(submission.waiting) > held and submission.answer is None:
                return submission
        return None

    def _at_quota(self, submission: Submission) -> bool:
        running = self._accounting.running(submission.request.member)
        return running >= submission.settings.max_running_tasks

    def _usable(
        self, submission: Submission, targets: list[TargetLoad], newest_offset: int
    ) -> list[TargetLoad] | None:
        """Return the targets that may take a submission's next task, None for all of them."""
        task = submission.waiting[0]
        if task.refused_by and self._refused_by_all(task, submission.settings.service):
            task.refused_by.clear()
        allowed = submission.settings.domains_allowed
        if not task.refused_by and not allowed and newest_offset <= submission.issued_offset:
            return None
        return [
            target
            for target in targets
            if target.name not in task.refused_by
            and (not allowed or target.domain in allowed)
            and self._directory.agents[target.name].announce_offset <= submission.issued_offset
        ]

    def _newest_offset(self, targets: list[TargetLoad]) -> int:
        """Return the highest offset at which any of the targets' agents was announced."""
        agents = self._directory.agents
        return max((agents[target.name].announce_offset for target in targets), default=NO_OFFSET)

    def _refused_by_all(self, task: Task, service: str) -> bool:
        return task.refused_by.issuperset(agent.incarnation for agent in self.agents_of(service))

    def _bind(
        self,
        member: MemberQueue[Submission],
        submission: Submission,
        target: TargetLoad,
        end_s: float,
    ) -> Placement:
        """Take the submission's next task out of its queue."""
        task = submission.waiting.popleft()
        if not submission.waiting:
            member.items.remove(submission)
        self._accounting.started(submission.request.member)
        agent = self._directory.agents[target.name]
        return Placement(agent, submission, task, end_s)
