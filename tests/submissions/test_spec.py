"""Model checks of at-most-once starts: invariants hold, and fail if any guard is omitted."""

from pistachiohill.submissions import spec

from ..base import TestCase
from ..specs import CheckResult, explore

ALL_GUARDS = frozenset(spec.Guard)
MAX_MUTANT_STATES = 60_000
VIOLATIONS = {
    spec.Guard.ANNOUNCE_OFFSET: {"not_run_implies_no_start"},
    spec.Guard.START_TABLE: {
        "starts_at_most_once",
        "complete_implies_all_finished",
        "not_run_implies_no_start",
    },
    spec.Guard.FENCE: {
        "starts_at_most_once",
        "complete_implies_all_finished",
        "not_run_implies_no_start",
    },
    spec.Guard.SEAL: {"not_run_implies_no_start"},
    spec.Guard.LOST_IS_UNKNOWN: {
        "starts_at_most_once",
        "complete_implies_all_finished",
        "not_run_implies_no_start",
    },
    spec.Guard.ALL_SEALED: {"not_run_implies_no_start"},
    spec.Guard.INCARNATION: {"not_run_implies_no_start"},
    spec.Guard.LINK: {
        "starts_at_most_once",
        "complete_implies_all_finished",
        "not_run_implies_no_start",
    },
    spec.Guard.ATTEMPT: {"not_run_implies_no_start"},
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
