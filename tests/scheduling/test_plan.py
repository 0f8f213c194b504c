"""Tests of the placement plan, compared with a naive search over all targets."""

import math

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pistachiohill.scheduling.estimates import RunningMean
from pistachiohill.scheduling.models import Demand, TargetLoad
from pistachiohill.scheduling.plan import PlacementPlan, TaskNeeds, current_factor
from pistachiohill.scheduling.policy import choose_target, make_policy
from pistachiohill.settings.const import Policy

from ..base import TestCase

NOW_S = 1000.0
UTILIZATION_PENALTY = 0.05
HORIZON_S = 0.2
MEAN_RUN_S = 0.1
# Cores, factor, expected ends of own tasks, tasks of other entries (one core each), reported waits.
TARGETS = st.lists(
    st.tuples(
        st.integers(1, 6),
        st.floats(0.5, 3.0),
        st.lists(st.floats(0.3, 2.0), max_size=3),
        st.integers(0, 3),
        st.lists(st.floats(0.0, 0.5), max_size=2),
    ),
    min_size=1,
    max_size=4,
)
TASKS = st.lists(
    st.tuples(st.sampled_from([500, 1000, 3000]), st.sampled_from([0.1, 0.4]), st.integers(0, 2)),
    min_size=1,
    max_size=12,
)


def load(number: int, cores: int, factor: float, ends: list[float]) -> TargetLoad:
    target = TargetLoad(
        str(number),
        "d",
        cpu_m=cores * 1000,
        mean_factor=RunningMean(factor),
        factor_updated_at_s=NOW_S,
    )
    target.reported_at_s = NOW_S
    for index, end_s in enumerate(ends[:cores]):
        target.place(("s", index), Demand(), NOW_S, NOW_S + end_s)
    return target


class NaiveTarget:
    """Recomputes each cost from the full list of tasks placed at the target."""

    def __init__(self, target: TargetLoad) -> None:
        self.target = target
        self.assigned: list[tuple[TaskNeeds, bool]] = []

    def occupied_cpu_m(self) -> int:
        own = sum(task.demand.cpu_m for task in self.target.placed.values())
        return own + self.target.others_cpu_m

    def used_cpu_m(self) -> int:
        return self.occupied_cpu_m() + sum(needs.demand.cpu_m for needs, _ in self.assigned)

    def is_full(self, needs: TaskNeeds) -> bool:
        return self.used_cpu_m() - self.target.cpu_m >= 8 * needs.demand.cpu_m

    def has_capacity(self, needs: TaskNeeds) -> bool:
        return (
            not self.target.waits_s and self.used_cpu_m() + needs.demand.cpu_m <= self.target.cpu_m
        )

    def wait_s(self, needs: TaskNeeds) -> float:
        if self.has_capacity(needs):
            return 0.0
        run_s = MEAN_RUN_S * self.target.factor
        ends = [task.end_s - NOW_S for task in self.target.placed.values()]
        own_s = max(min(ends), 0.2 * run_s) if ends else run_s
        excess_cpu_m = max(0, self.occupied_cpu_m() - self.target.cpu_m)
        release_s = min(own_s, run_s / (self.target.others + 1))
        release_s += run_s * excess_cpu_m / self.target.cpu_m
        waits = self.target.waits_s
        reported_s = waits[min(needs.priority, len(waits) - 1)] if waits else 0.0
        queued = [item for item, fits in self.assigned if not fits]
        work = sum(n.run_s * self.target.factor * n.demand.cpu_m for n in queued)
        return max(release_s, reported_s) + work / self.target.cpu_m

    def cost_s(self, needs: TaskNeeds) -> float:
        if needs.demand.cpu_m > self.target.cpu_m or self.is_full(needs):
            return math.inf
        used = max(0.0, self.used_cpu_m() / self.target.cpu_m)
        return self.wait_s(needs) + needs.run_s * self.target.factor * (
            1 + UTILIZATION_PENALTY * used
        )


class PlanTest(TestCase):
    @seed(20261204)
    @settings(max_examples=300, deadline=None, database=None)
    @given(TARGETS, TASKS, st.booleans())
    def test_matches_naive_search(
        self,
        target_params: list[tuple[int, float, list[float], int, list[float]]],
        tasks: list[tuple[int, float, int]],
        restrict: bool,
    ) -> None:
        targets = []
        for number, (cores, factor, ends, others, waits) in enumerate(target_params):
            target = load(number, cores, factor, ends)
            target.others, target.others_cpu_m = others, others * 1000
            target.waits_s = tuple(waits)
            targets.append(target)
        usable = targets[:1] if restrict else None
        plan = PlacementPlan(targets, NOW_S, HORIZON_S, ramp_s=0.0, mean_run_s=MEAN_RUN_S)
        naive = {target.name: NaiveTarget(target) for target in targets}
        for cpu_m, run_s, priority in tasks:
            needs = TaskNeeds(Demand(cpu_m), run_s, priority)
            options = [naive[t.name].cost_s(needs) for t in (usable or targets)]
            slot = plan.assign_slot(needs, usable)
            if min(options) == math.inf:
                self.assertFalse(slot is not None and plan.should_bind(slot))
                continue
            assert slot is not None
            chosen = naive[slot.plan.target.name]
            self.assertAlmostEqual(min(options), chosen.cost_s(needs))
            self.assertAlmostEqual(NOW_S + chosen.wait_s(needs), slot.start_s)
            self.assertEqual(slot.start_s <= NOW_S + HORIZON_S, plan.should_bind(slot))
            chosen.assigned.append((needs, chosen.has_capacity(needs)))

    def test_target_on_probation_gets_one_task(self) -> None:
        target = load(0, 4, 1.0, [])
        target.probation_limit = 1
        plan = PlacementPlan([target], NOW_S, HORIZON_S, 0.0, MEAN_RUN_S)
        needs = TaskNeeds(Demand(), 0.1)
        first, second = plan.assign_slot(needs), plan.assign_slot(needs)
        assert first is not None and second is not None
        self.assertTrue(plan.should_bind(first))
        self.assertFalse(plan.should_bind(second))

    def test_returning_target_ramps_up(self) -> None:
        target = load(0, 4, 1.0, [])
        target.ramp_start_s = NOW_S - 0.25
        plan = PlacementPlan([target], NOW_S, 0.0, ramp_s=0.5, mean_run_s=MEAN_RUN_S)
        slots = [plan.assign_slot(TaskNeeds(Demand(), 0.1)) for _ in range(4)]
        bound = [slot for slot in slots if slot is not None and plan.should_bind(slot)]
        self.assertEqual(2, len(bound))

    def test_factor_rises_with_overdue_tasks_and_decays(self) -> None:
        slow = load(0, 2, 1.0, [0.0])
        self.assertAlmostEqual(6.0, current_factor(slow, 0.2, NOW_S + 1.0))
        idle = load(1, 2, 3.0, [])
        self.assertEqual(3.0, current_factor(idle, 0.2, NOW_S))
        self.assertLess(current_factor(idle, 0.2, NOW_S + 60.0), 1.5)

    def test_task_without_cpu_is_placed_and_forecast(self) -> None:
        """Callers may leave out the CPU that a task needs."""
        for cores, max_queued in ((1, math.inf), (1, 8.0), (2, math.inf), (2, 8.0)):
            target = load(0, cores, 1.0, [0.5])
            plan = PlacementPlan([target], NOW_S, HORIZON_S, 0.0, MEAN_RUN_S, max_queued)
            slot = plan.assign_slot(TaskNeeds(Demand(0, 0), 0.1))
            self.assertTrue(slot and math.isfinite(slot.end_s), (cores, max_queued))

    def test_baseline_policies(self) -> None:
        targets = [load(number, 2, 1.0, []) for number in range(3)]
        for index in range(2):
            targets[0].place(("s", index), Demand(), NOW_S, NOW_S)
        targets[2].others = 1
        self.assertIs(targets[1], choose_target(make_policy(Policy.LEAST_OUTSTANDING), targets))
        round_robin = make_policy(Policy.ROUND_ROBIN)
        self.assertEqual(3, len({str(choose_target(round_robin, targets)) for _ in range(3)}))
        self.assertIn(choose_target(make_policy(Policy.RANDOM), targets), targets)
        self.assertIsNone(choose_target(round_robin, []))
