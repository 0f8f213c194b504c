"""Model checks of the specification of at-most-once starts, with and without each guard."""

from pistachiohill.submissions import spec

from ..base import TestCase
from ..specs import CheckResult, explore

ALL_GUARDS = frozenset(spec.Guard)
MAX_MUTANT_STATES = 60_000
VIOLATIONS = {
    spec.Guard.ANNOUNCE_OFFSET: {"not_run_is_true"},
    spec.Guard.START_TABLE: {"no_second_start", "complete_is_whole", "not_run_is_true"},
    spec.Guard.FENCE: {"no_second_start", "complete_is_whole", "not_run_is_true"},
    spec.Guard.SEAL: {"not_run_is_true"},
    spec.Guard.LOST_IS_UNKNOWN: {"no_second_start", "complete_is_whole", "not_run_is_true"},
    spec.Guard.ALL_SEALED: {"not_run_is_true"},
    spec.Guard.INCARNATION: {"not_run_is_true"},
    spec.Guard.LINK: {"no_second_start", "complete_is_whole", "not_run_is_true"},
    spec.Guard.ATTEMPT: {"not_run_is_true"},
}


def check(
    bounds: spec.Bounds, guards: frozenset[spec.Guard], states: int = 1_000_000
) -> CheckResult:
    return explore(spec.initial(bounds), spec.steps, spec.INVARIANTS, guards, states)


class SpecTest(TestCase):
    def test_invariants_hold_with_two_placements_and_a_restart(self) -> None:
        result = check(spec.Bounds(tasks=1, attempts=2, restarts=1), ALL_GUARDS)
        self.assertEqual((True, frozenset()), (result.exhaustive, result.broken))
        self.assertEqual(18340, result.states)

    def test_invariants_hold_with_two_tasks_and_a_restart(self) -> None:
        result = check(spec.Bounds(tasks=2, attempts=1, restarts=1), ALL_GUARDS)
        self.assertEqual((True, frozenset()), (result.exhaustive, result.broken))
        self.assertEqual(93394, result.states)

    def test_every_guard_is_necessary(self) -> None:
        self.assertEqual(set(spec.Guard), set(VIOLATIONS))
        for guard, broken in VIOLATIONS.items():
            bounds = spec.Bounds(tasks=1, attempts=2, restarts=1)
            result = check(bounds, ALL_GUARDS - {guard}, MAX_MUTANT_STATES)
            self.assertEqual(broken, result.broken, guard.name)
