"""The specification of at-most-once starts holds, and each of its guards is needed."""

from pistachiohill.submissions import spec

from ..base import TestCase
from ..specs import Sweep, explore

ALL = frozenset(spec.Guard)
MUTANT_STATES = 60_000
BREAKS = {
    spec.Guard.ANNOUNCE_OFFSET: {"not_run_is_true"},
    spec.Guard.START_TABLE: {"no_second_start", "complete_is_whole", "not_run_is_true"},
    spec.Guard.FENCE: {"no_second_start", "complete_is_whole", "not_run_is_true"},
    spec.Guard.SEAL: {"not_run_is_true"},
    spec.Guard.LOST_IS_UNKNOWN: {"no_second_start", "complete_is_whole", "not_run_is_true"},
    spec.Guard.ACCOUNTED: {"not_run_is_true"},
    spec.Guard.INCARNATION: {"not_run_is_true"},
    spec.Guard.LINK: {"no_second_start", "complete_is_whole", "not_run_is_true"},
    spec.Guard.ATTEMPT: {"not_run_is_true"},
}


def check(bounds: spec.Bounds, guards: frozenset[spec.Guard], states: int = 1_000_000) -> Sweep:
    return explore(spec.initial(bounds), spec.steps, spec.INVARIANTS, guards, states)


class SpecTest(TestCase):
    def test_holds_with_two_placements_and_a_restart(self) -> None:
        found = check(spec.Bounds(tasks=1, attempts=2, restarts=1), ALL)
        self.assertEqual((True, frozenset()), (found.exhaustive, found.broken))
        self.assertEqual(18340, found.states)

    def test_holds_with_two_tasks_and_a_restart(self) -> None:
        found = check(spec.Bounds(tasks=2, attempts=1, restarts=1), ALL)
        self.assertEqual((True, frozenset()), (found.exhaustive, found.broken))
        self.assertEqual(93394, found.states)

    def test_every_guard_is_needed(self) -> None:
        self.assertEqual(set(spec.Guard), set(BREAKS))
        for guard, broken in BREAKS.items():
            bounds = spec.Bounds(tasks=1, attempts=2, restarts=1)
            found = check(bounds, ALL - {guard}, MUTANT_STATES)
            self.assertEqual(broken, found.broken, guard.name)
