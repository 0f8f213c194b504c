"""The slot plan against a naive search over all slots."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pistachiohill.scheduling.estimates import Mean
from pistachiohill.scheduling.models import TargetLoad
from pistachiohill.scheduling.plan import SlotPlan, current_factor
from pistachiohill.scheduling.policy import choose, make_policy
from pistachiohill.settings.const import Policy

from ..base import TestCase

NOW_S = 1000.0
TARGETS = st.lists(
    st.tuples(st.integers(1, 3), st.floats(0.5, 3.0), st.lists(st.floats(0.3, 2.0), max_size=3)),
    min_size=1,
    max_size=4,
)
RUNS = st.lists(st.sampled_from([0.1, 0.4]), min_size=1, max_size=12)


def load(number: int, slots: int, factor: float, ends: list[float]) -> TargetLoad:
    target = TargetLoad(str(number), "d", slots=slots, speed=Mean(factor), learned_at_s=NOW_S)
    for index, end_s in enumerate(ends[:slots]):
        target.ends[("s", index)] = NOW_S + end_s
    return target


class PlanTest(TestCase):
    @seed(20261204)
    @settings(max_examples=300, deadline=None, database=None)
    @given(TARGETS, RUNS, st.booleans())
    def test_equals_naive_search(
        self, shapes: list[tuple[int, float, list[float]]], runs: list[float], restrict: bool
    ) -> None:
        targets = [load(number, *shape) for number, shape in enumerate(shapes)]
        usable = targets[:1] if restrict else None
        plan = SlotPlan(targets, NOW_S, horizon_s=0.2, ramp_s=0.0, mean_run_s=0.1)
        slots: list[list[float]] = []
        for number, target in enumerate(targets):
            free = list(target.ends.values()) + [NOW_S] * (target.slots - len(target.ends))
            slots += [[end_s, float(number)] for end_s in free]
        for run_s in runs:
            options = [s for s in slots if usable is None or s[1] == 0.0]
            ends = [s[0] + run_s * targets[int(s[1])].factor for s in options]
            slot = plan.take(run_s, usable)
            assert slot is not None
            self.assertAlmostEqual(min(ends), slot.end_s)
            number = int(slot.plan.target.name)
            chosen = min((s for s in slots if int(s[1]) == number), key=lambda s: s[0])
            chosen[0] = slot.end_s
            self.assertEqual(slot.start_s <= NOW_S + 0.2, plan.bind(slot))

    def test_overdue_tasks_raise_a_factor_and_time_fades_it(self) -> None:
        slow = load(0, 2, 1.0, [0.0])
        self.assertAlmostEqual(6.0, current_factor(slow, 0.2, NOW_S + 1.0))
        idle = load(1, 2, 3.0, [])
        self.assertEqual(3.0, current_factor(idle, 0.2, NOW_S))
        self.assertLess(current_factor(idle, 0.2, NOW_S + 60.0), 1.5)

    def test_baselines(self) -> None:
        targets = [load(number, 2, 1.0, []) for number in range(3)]
        targets[0].outstanding, targets[2].outstanding = 2, 1
        self.assertIs(targets[1], choose(make_policy(Policy.LEAST_OUTSTANDING), targets))
        turns = make_policy(Policy.ROUND_ROBIN)
        self.assertEqual(3, len({str(choose(turns, targets)) for _ in range(3)}))
        self.assertIn(choose(make_policy(Policy.RANDOM), targets), targets)
        self.assertIsNone(choose(turns, []))
