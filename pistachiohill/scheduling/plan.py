"""Plan at which target each waiting task is expected to end first, and bind those that start soon.

The plan gives every task, in order of service, the target where it should end first, by the room
that is free now, the wait that the target's agent reports, and learned run times. A task that
should start within the horizon is bound now: the agent queues it for the moment until its room is
free, so the target goes on without a round trip. Any other task stays at the entry and is planned
anew at the next event.
"""

import math
from collections.abc import Iterable, Sequence
from heapq import heapify, heapreplace

from attrs import define, frozen

from .models import Demand, TargetLoad

OVERDUE_FRACTION = 0.2  # an overdue task is expected to take a fifth of its run time more
FADE_S = 30.0  # after which a third of an unconfirmed slowness is left
MAX_QUEUED = 8  # tasks of one size that may queue at a target; late binding pays
SPREAD = 0.05  # prefers the less used of equally fast targets, as a part of the run time


@frozen
class TaskNeeds:
    """What the plan must know of a task; `run_s` is its run time at a target of factor 1."""

    demand: Demand
    run_s: float
    priority: int = 0


@define(eq=False)
class TargetPlan:
    """One target's room and expected waits in this round of planning."""

    target: TargetLoad
    factor: float
    free_cpu_m: float
    free_mem_mb: float
    capacity_cpu_m: float
    release_s: float
    waits_s: tuple[float, ...]
    backlog_s: float = 0.0
    tasks_left: float = math.inf

    def wait_s(self, needs: TaskNeeds) -> float:
        """Return how long a task would wait here."""
        if not self.waits_s and self.has_room(needs.demand):
            return 0.0
        reported_s = 0.0
        if self.waits_s:
            reported_s = self.waits_s[min(needs.priority, len(self.waits_s) - 1)]
        return max(self.release_s, reported_s) + self.backlog_s

    def has_room(self, demand: Demand) -> bool:
        """Return whether a task fits beside those that are there."""
        return self.free_cpu_m >= demand.cpu_m and self.free_mem_mb >= demand.mem_mb

    def cost_s(self, needs: TaskNeeds) -> float:
        """Return when a task would end here, counted from now, with a small term for spreading."""
        run_s = needs.run_s * self.factor
        used = 1.0 - self.free_cpu_m / self.capacity_cpu_m
        return self.wait_s(needs) + run_s * (1.0 + SPREAD * max(0.0, used))

    def occupy(self, needs: TaskNeeds) -> None:
        """Count a task as running or queued here."""
        demand = needs.demand
        if self.waits_s or not self.has_room(demand):
            self.backlog_s += needs.run_s * self.factor * demand.cpu_m / self.capacity_cpu_m
        self.free_cpu_m -= demand.cpu_m
        self.free_mem_mb -= demand.mem_mb
        self.tasks_left -= 1


@frozen
class Slot:
    """Where a task is expected to run; times are boot times."""

    plan: TargetPlan
    needs: TaskNeeds
    start_s: float
    end_s: float


class PlacementPlan:
    """All usable targets of a service for one round of placement."""

    def __init__(
        self,
        targets: Iterable[TargetLoad],
        now_s: float,
        horizon_s: float,
        ramp_s: float,
        mean_run_s: float,
        max_queued: float = MAX_QUEUED,
    ) -> None:
        """Read the targets' loads.

        `mean_run_s` stands for tasks of which no end is known, `max_queued` bounds how many tasks
        of one size may queue at a target.
        """
        self._max_queued = max_queued
        self._now_s = now_s
        self._limit_s = now_s + horizon_s
        plans = (_target_plan(target, now_s, ramp_s, mean_run_s) for target in targets)
        self._plans = [plan for plan in plans if plan is not None]
        self._costs: list[tuple[float, int]] = []
        self._costs_of: TaskNeeds | None = None

    def assign_slot(
        self, needs: TaskNeeds, usable: Sequence[TargetLoad] | None = None
    ) -> Slot | None:
        """Give the next task its slot; None when no target can ever hold it.

        `usable` limits the choice of targets.
        """
        if usable is not None:
            self._costs_of = None
            return self._take_among([p for p in self._plans if p.target in usable], needs)
        if self._costs_of != needs:
            self._order_by_cost(needs)
        if not self._costs:
            return None
        _, number = self._costs[0]
        plan = self._plans[number]
        slot = self._occupy(plan, needs)
        heapreplace(self._costs, (self._cost_or_never(plan, needs), number))
        return slot

    def should_bind(self, slot: Slot) -> bool:
        """Return whether a slot's task is to be bound now."""
        return slot.start_s <= self._limit_s

    def _order_by_cost(self, needs: TaskNeeds) -> None:
        self._costs_of = needs
        self._costs = [
            (self._cost_or_never(plan, needs), number)
            for number, plan in enumerate(self._plans)
            if _can_hold(plan, needs.demand)
        ]
        heapify(self._costs)

    def _take_among(self, plans: list[TargetPlan], needs: TaskNeeds) -> Slot | None:
        able = [plan for plan in plans if _can_hold(plan, needs.demand)]
        best = min(able, key=lambda plan: self._cost_or_never(plan, needs), default=None)
        return None if best is None else self._occupy(best, needs)

    def _occupy(self, plan: TargetPlan, needs: TaskNeeds) -> Slot:
        if not self._takes_more(plan, needs.demand):
            return Slot(plan, needs, math.inf, math.inf)
        start_s = self._now_s + plan.wait_s(needs)
        plan.occupy(needs)
        return Slot(plan, needs, start_s, start_s + needs.run_s * plan.factor)

    def _cost_or_never(self, plan: TargetPlan, needs: TaskNeeds) -> float:
        """Return a task's cost at a target, infinite when the target takes no more for now."""
        return plan.cost_s(needs) if self._takes_more(plan, needs.demand) else math.inf

    def _takes_more(self, plan: TargetPlan, demand: Demand) -> bool:
        return plan.tasks_left > 0 and plan.free_cpu_m > -self._max_queued * demand.cpu_m


def _can_hold(plan: TargetPlan, demand: Demand) -> bool:
    return plan.target.cpu_m >= demand.cpu_m and plan.target.mem_mb >= demand.mem_mb


def _target_plan(
    target: TargetLoad, now_s: float, ramp_s: float, mean_run_s: float
) -> TargetPlan | None:
    if target.cpu_m <= 0:
        return None
    part = target.ramp_fraction(now_s, ramp_s)
    factor = current_factor(target, mean_run_s, now_s)
    age_s = now_s - target.reported_at_s
    run_s = mean_run_s * factor
    free_cpu_m = target.cpu_m * part - target.own_cpu_m - target.others_cpu_m
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
        plan.tasks_left = target.probation_limit - len(target.placed)
    return plan


def _next_release_s(target: TargetLoad, run_s: float, now_s: float) -> float:
    """Return how long it should take until any task ends at a target."""
    overdue_s = OVERDUE_FRACTION * run_s
    own_s = min((task.end_s - now_s for task in target.placed.values()), default=run_s)
    return min(max(own_s, overdue_s), run_s / (target.others + 1))


def current_factor(target: TargetLoad, mean_run_s: float, now_s: float) -> float:
    """Return a target's run time factor as it looks now.

    Tasks that are overdue raise it before they end, so that a straggler is noticed while it is
    slow. A high factor that nothing has confirmed for a time fades, so that a target which has
    recovered is tried again.
    """
    factor = target.factor
    if factor > 1.0:
        idle_s = max(0.0, now_s - target.factor_updated_at_s)
        factor = 1.0 + (factor - 1.0) * math.exp(-idle_s / FADE_S)
    if not target.placed or mean_run_s <= 0.0:
        return factor
    ends = [task.end_s for task in target.placed.values()]
    overdue_s = sum(max(0.0, now_s - end_s) for end_s in ends) / len(ends)
    return factor + overdue_s / mean_run_s
