"""Assign each waiting task to the target with the earliest expected completion.

Tasks are planned in order of service, from the free capacity of each target, the wait that its
agent reports, and the estimated run times. A task that is expected to start within the horizon is
bound immediately: the agent queues it until capacity is free, so that the target does not idle for
a round trip. All other tasks stay at the entry and are planned again at the next event.
"""

import math
from collections.abc import Iterable, Sequence
from heapq import heapify, heapreplace

from attrs import define, frozen

from .models import Demand, TargetLoad, WaitingAhead

# Expected remaining time of an overdue task, as a fraction of its run time.
OVERDUE_FRACTION = 0.2
# Time constant of the decay of a factor above 1 that no recent run has confirmed: about a third of
# the excess is left after this time.
FACTOR_DECAY_S = 30.0
# Maximum number of tasks of one size that may be queued at a target. It is low because late binding
# gives better placements.
MAX_QUEUED = 8
# Cost of full utilization as a fraction of the run time. Among equally fast targets, the less
# utilized one is preferred.
UTILIZATION_PENALTY = 0.05


@frozen
class TaskNeeds:
    """Requirements of a task; `run_s` is its expected run time at a target with factor 1."""

    demand: Demand
    run_s: float
    priority: int = 0

    @property
    def core_s(self) -> float:
        """Return the processor time that the task takes at a target with factor 1."""
        return self.run_s * self.demand.cpu_m / 1000


@define(eq=False)
class TargetPlan:
    """Free capacity and expected waits of one target in one planning round.

    Fields:
        factor: Current run time factor of the target.
        free_cpu_m, free_mem_mb: Capacity not taken by tasks; negative if tasks are queued. A target
            that ramps up has only a fraction of its CPU.
        capacity_cpu_m: Total CPU of the target.
        release_s: Expected time until the next task ends and the tasks queued before this round
            have started.
        waits_s: Waits reported by the agent, by priority, reduced by the age of the report.
        backlog_s: Time that the target needs for the tasks queued in this round.
        remaining_tasks: Number of tasks that the target may still get; limited on probation.
    """

    target: TargetLoad
    factor: float
    free_cpu_m: float
    free_mem_mb: float
    capacity_cpu_m: float
    release_s: float
    waits_s: tuple[float, ...]
    backlog_s: float = 0.0
    remaining_tasks: float = math.inf

    def wait_s(self, needs: TaskNeeds) -> float:
        """Return the expected wait of a task before it starts."""
        if not self.waits_s and self.has_capacity(needs.demand):
            return 0.0
        reported_s = 0.0
        if self.waits_s:
            reported_s = self.waits_s[min(needs.priority, len(self.waits_s) - 1)]
        return max(self.release_s, reported_s) + self.backlog_s

    def has_capacity(self, demand: Demand) -> bool:
        """Return whether the free capacity is sufficient for a task."""
        return self.free_cpu_m >= demand.cpu_m and self.free_mem_mb >= demand.mem_mb

    def cost_s(self, needs: TaskNeeds) -> float:
        """Return the expected time until a task would end, plus a small utilization penalty."""
        run_s = needs.run_s * self.factor
        utilization = 1.0 - self.free_cpu_m / self.capacity_cpu_m
        return self.wait_s(needs) + run_s * (1.0 + UTILIZATION_PENALTY * max(0.0, utilization))

    def add_task(self, needs: TaskNeeds) -> None:
        """Add a task as running or queued."""
        demand = needs.demand
        if self.waits_s or not self.has_capacity(demand):
            self.backlog_s += needs.run_s * self.factor * demand.cpu_m / self.capacity_cpu_m
        self.free_cpu_m -= demand.cpu_m
        self.free_mem_mb -= demand.mem_mb
        self.remaining_tasks -= 1


@frozen
class Slot:
    """Target and expected start and end of a task, in boot time."""

    plan: TargetPlan
    needs: TaskNeeds
    start_s: float
    end_s: float


class PlacementPlan:
    """All usable targets of a service in one placement round."""

    def __init__(
        self,
        targets: Iterable[TargetLoad],
        now_s: float,
        horizon_s: float,
        ramp_s: float,
        mean_run_s: float,
        max_queued: float = MAX_QUEUED,
        ahead: WaitingAhead | None = None,
    ) -> None:
        """Initialize the plan from the loads of the targets.

        `mean_run_s` is the run time assumed for tasks without a known end. `max_queued` limits how
        many tasks of one size may be queued at a target. With `ahead`, the own work that is
        planned, the share of other entries' waiting work that is served meanwhile takes room too.
        """
        self._max_queued = max_queued
        self._now_s = now_s
        self._horizon_end_s = now_s + horizon_s
        plans = (
            _create_target_plan(target, now_s, ramp_s, mean_run_s, ahead) for target in targets
        )
        self._plans = [plan for plan in plans if plan is not None]
        self._costs: list[tuple[float, int]] = []
        self._costs_for: TaskNeeds | None = None

    def assign_slot(
        self, needs: TaskNeeds, usable: Sequence[TargetLoad] | None = None
    ) -> Slot | None:
        """Assign a slot to the next task; return None if it exceeds the capacity of every target.

        `usable` restricts the choice of targets.
        """
        if usable is not None:
            self._costs_for = None
            return self._assign_among([p for p in self._plans if p.target in usable], needs)
        if self._costs_for != needs:
            self._order_by_cost(needs)
        if not self._costs:
            return None
        _, index = self._costs[0]
        plan = self._plans[index]
        slot = self._reserve_slot(plan, needs)
        heapreplace(self._costs, (self._cost_or_inf(plan, needs), index))
        return slot

    def should_bind(self, slot: Slot) -> bool:
        """Return whether the task of a slot starts within the horizon and should be bound now."""
        return slot.start_s <= self._horizon_end_s

    def _order_by_cost(self, needs: TaskNeeds) -> None:
        self._costs_for = needs
        self._costs = [
            (self._cost_or_inf(plan, needs), index)
            for index, plan in enumerate(self._plans)
            if _can_fit(plan, needs.demand)
        ]
        heapify(self._costs)

    def _assign_among(self, plans: list[TargetPlan], needs: TaskNeeds) -> Slot | None:
        feasible = [plan for plan in plans if _can_fit(plan, needs.demand)]
        best = min(feasible, key=lambda plan: self._cost_or_inf(plan, needs), default=None)
        return None if best is None else self._reserve_slot(best, needs)

    def _reserve_slot(self, plan: TargetPlan, needs: TaskNeeds) -> Slot:
        if not self._accepts_more(plan, needs.demand):
            return Slot(plan, needs, math.inf, math.inf)
        start_s = self._now_s + plan.wait_s(needs)
        plan.add_task(needs)
        return Slot(plan, needs, start_s, start_s + needs.run_s * plan.factor)

    def _cost_or_inf(self, plan: TargetPlan, needs: TaskNeeds) -> float:
        """Return the cost of a task at a target, infinite if it accepts no more tasks for now."""
        return plan.cost_s(needs) if self._accepts_more(plan, needs.demand) else math.inf

    def _accepts_more(self, plan: TargetPlan, demand: Demand) -> bool:
        if plan.remaining_tasks <= 0:
            return False
        if plan.has_capacity(demand) or math.isinf(self._max_queued):
            return True
        return plan.free_cpu_m > -self._max_queued * demand.cpu_m


def _can_fit(plan: TargetPlan, demand: Demand) -> bool:
    return plan.target.cpu_m >= demand.cpu_m and plan.target.mem_mb >= demand.mem_mb


def _create_target_plan(
    target: TargetLoad,
    now_s: float,
    ramp_s: float,
    mean_run_s: float,
    ahead: WaitingAhead | None,
) -> TargetPlan | None:
    if target.cpu_m <= 0:
        return None
    ramp_fraction = target.ramp_fraction(now_s, ramp_s)
    factor = current_factor(target, mean_run_s, now_s)
    age_s = now_s - target.reported_at_s
    run_s = mean_run_s * factor
    free_cpu_m = target.cpu_m * ramp_fraction - target.own_cpu_m - target.others_cpu_m
    if ahead is not None and run_s > 0.0:
        free_cpu_m -= 1000 * target.others_ahead_core_s(ahead, now_s) / run_s
    queued_s = run_s * max(0.0, -free_cpu_m) / target.cpu_m
    plan = TargetPlan(
        target,
        factor,
        free_cpu_m=free_cpu_m,
        free_mem_mb=target.mem_mb - target.own_mem_mb - target.others_mem_mb,
        capacity_cpu_m=target.cpu_m,
        release_s=_next_release_s(target, run_s, now_s) + queued_s,
        waits_s=tuple(max(0.0, wait_s - age_s) for wait_s in target.waits_s),
    )
    if target.probation_limit is not None:
        plan.remaining_tasks = target.probation_limit - len(target.placed)
    return plan


def _next_release_s(target: TargetLoad, run_s: float, now_s: float) -> float:
    """Return the expected time until the next task ends at a target."""
    overdue_s = OVERDUE_FRACTION * run_s
    own_s = min((task.end_s - now_s for task in target.placed.values()), default=run_s)
    return min(max(own_s, overdue_s), run_s / (target.others + 1))


def current_factor(target: TargetLoad, mean_run_s: float, now_s: float) -> float:
    """Return the current run time factor of a target.

    Overdue tasks raise the factor before they end, so that a straggler is detected while it is
    still slow; an agent that reports on all running tasks knows more than this entry, which sees
    only its own. A factor above 1 decays unless recent runs confirm it, so that a target that has
    recovered is used again. A slow target's factor is at least the slowdown that its agent reports.
    """
    learned = _learned_factor(target, mean_run_s, now_s)
    return max(target.slowdown, learned) if target.is_slow else learned


def _learned_factor(target: TargetLoad, mean_run_s: float, now_s: float) -> float:
    """Return the run time factor as far as this entry knows it from its own tasks."""
    factor = target.factor
    if factor > 1.0:
        idle_s = max(0.0, now_s - target.factor_updated_at_s)
        factor = 1.0 + (factor - 1.0) * math.exp(-idle_s / FACTOR_DECAY_S)
    reported = target.overdue(now_s)
    if reported is not None:
        return factor + reported
    if not target.placed or mean_run_s <= 0.0:
        return factor
    ends = [task.end_s for task in target.placed.values()]
    overdue_s = sum(max(0.0, now_s - end_s) for end_s in ends) / len(ends)
    return factor + overdue_s / mean_run_s
