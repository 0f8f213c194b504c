"""Plan which slot each waiting task will take, and bind only those that start soon.

The plan gives every task, in fair order, the slot in which it is expected to finish first, a slot
that is still busy included. A task whose slot frees up within the horizon is bound to its target
now, so the target goes on without a round trip and messages carry several tasks; any other task
stays at the entry and is planned anew at the next event.
"""

import math
from collections.abc import Iterable, Sequence
from heapq import heapify, heapreplace

from attrs import define, frozen

from .models import TargetLoad

OVERDUE_FRACTION = 0.2
OTHERS_FRACTION = 0.5
FADE_S = 30.0


@define
class TargetPlan:
    """Expected times at which a target's slots become free, as a heap."""

    target: TargetLoad
    factor: float
    free_s: list[float]
    room: int

    def end_s(self, run_s: float) -> float:
        """Return when a task would end in the slot that frees up first."""
        return self.free_s[0] + run_s * self.factor


@frozen
class Slot:
    """Where a task is expected to run; times are boot times."""

    plan: TargetPlan
    start_s: float
    end_s: float


class SlotPlan:
    """The slots of all usable targets for one round of placement."""

    def __init__(
        self,
        targets: Iterable[TargetLoad],
        now_s: float,
        horizon_s: float,
        ramp_s: float,
        mean_run_s: float,
    ) -> None:
        """Read the targets' loads; `mean_run_s` stands for the tasks of other entries."""
        self._limit_s = now_s + horizon_s
        self._now_s = now_s
        plans = (self._plan(target, ramp_s, mean_run_s) for target in targets)
        self._plans = [plan for plan in plans if plan is not None]
        usable = (plan for plan in self._plans if plan.free_s[0] <= self._limit_s)
        self._room = sum(max(0, plan.room) for plan in usable)
        self._ends: list[tuple[float, int]] = []
        self._ends_run_s = 0.0

    def has_room(self) -> bool:
        """Return whether any target may still be given a task."""
        return self._room > 0

    def take(self, run_s: float, usable: Sequence[TargetLoad] | None) -> Slot | None:
        """Give the next task its slot; `run_s` is its run time at a target of factor 1.

        `usable` limits the choice of targets. None is returned when there is no target.
        """
        if usable is not None:
            self._ends = []
            return self._take_among([p for p in self._plans if p.target in usable], run_s)
        if not self._plans:
            return None
        if not self._ends or run_s != self._ends_run_s:
            self._order_by_end(run_s)
        _, number = self._ends[0]
        plan = self._plans[number]
        slot = self._occupy(plan, run_s)
        heapreplace(self._ends, (plan.end_s(run_s), number))
        return slot

    def bind(self, slot: Slot) -> bool:
        """Return whether a slot's task is to be bound now, and count it against the room."""
        if slot.start_s > self._limit_s or slot.plan.room <= 0:
            return False
        slot.plan.room -= 1
        self._room -= 1
        return True

    def _order_by_end(self, run_s: float) -> None:
        """Order all targets by when a task of a run time would end there."""
        self._ends_run_s = run_s
        self._ends = [(plan.end_s(run_s), number) for number, plan in enumerate(self._plans)]
        heapify(self._ends)

    def _take_among(self, plans: list[TargetPlan], run_s: float) -> Slot | None:
        best = min(plans, key=lambda plan: plan.end_s(run_s), default=None)
        return None if best is None else self._occupy(best, run_s)

    def _occupy(self, plan: TargetPlan, run_s: float) -> Slot:
        slot = Slot(plan, plan.free_s[0], plan.end_s(run_s))
        heapreplace(plan.free_s, slot.end_s)
        return slot

    def _plan(self, target: TargetLoad, ramp_s: float, mean_run_s: float) -> TargetPlan | None:
        slots = target.allowed(self._now_s, ramp_s, 0)
        if slots <= 0:
            return None
        factor = current_factor(target, mean_run_s, self._now_s)
        run_s = mean_run_s * factor
        overdue_s = self._now_s + OVERDUE_FRACTION * run_s
        ends = [max(end_s, overdue_s) for end_s in target.ends.values()]
        ends += [self._now_s + OTHERS_FRACTION * run_s] * target.others
        ends.sort()
        free = ends[-slots:] if len(ends) >= slots else ends + [self._now_s] * (slots - len(ends))
        heapify(free)
        return TargetPlan(target, factor, free, _queue_room(target, slots) - len(ends))


def current_factor(target: TargetLoad, mean_run_s: float, now_s: float) -> float:
    """Return a target's run time factor as it looks now.

    Tasks that are overdue raise it before they end, so that a straggler is noticed while it is
    slow. A high factor that nothing has confirmed for a time fades, so that a target which has
    recovered is tried again.
    """
    factor = target.factor
    if factor > 1.0:
        idle_s = max(0.0, now_s - target.learned_at_s)
        factor = 1.0 + (factor - 1.0) * math.exp(-idle_s / FADE_S)
    if not target.ends or mean_run_s <= 0.0:
        return factor
    overdue_s = sum(max(0.0, now_s - end_s) for end_s in target.ends.values()) / len(target.ends)
    return factor + overdue_s / mean_run_s


def _queue_room(target: TargetLoad, slots: int) -> int:
    """Return how many tasks a target may have, its agent's queue included."""
    return slots if target.probation_limit is not None else slots + target.queue_limit
