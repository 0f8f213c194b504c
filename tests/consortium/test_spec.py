"""Check the freshness and publishing specifications, and that each of their guards is needed."""

from pistachiohill.consortium import spec

from ..base import TestCase
from ..specs import explore

ALL_GUARDS = frozenset(spec.Guard)
MAX_MUTANT_STATES = 200_000
VIEW_INVARIANT_OF_GUARD = {
    spec.Guard.CONFIRM_AS_OF_REQUEST: "no_late_start",
    spec.Guard.ECHOED_CLOCK: "no_late_start",
    spec.Guard.OFFSET_ORDER: "offset_never_decreases",
    spec.Guard.FRESH_VIEW: "no_late_start",
}
LOG_INVARIANT_OF_GUARD = {
    spec.Guard.APPEND_AT_END: "change_takes_effect_once",
    spec.Guard.CHANGE_ID: "change_takes_effect_once",
    spec.Guard.EXPECTED_VERSION: "later_change_stays",
}


class SpecTest(TestCase):
    def test_freshness_holds(self) -> None:
        found = explore(spec.ViewState(), spec.view_steps, spec.VIEW_INVARIANTS, ALL_GUARDS)
        self.assertEqual((True, frozenset()), (found.exhaustive, found.broken))
        self.assertEqual(375931, found.states)

    def test_every_freshness_guard_is_needed(self) -> None:
        for guard, broken in VIEW_INVARIANT_OF_GUARD.items():
            found = explore(
                spec.ViewState(),
                spec.view_steps,
                spec.VIEW_INVARIANTS,
                ALL_GUARDS - {guard},
                MAX_MUTANT_STATES,
            )
            self.assertIn(broken, found.broken, guard.name)

    def test_publishing_holds(self) -> None:
        found = explore(spec.LogState(), spec.log_steps, spec.LOG_INVARIANTS, ALL_GUARDS)
        self.assertEqual((True, frozenset()), (found.exhaustive, found.broken))
        self.assertEqual(70, found.states)

    def test_every_publishing_guard_is_needed(self) -> None:
        self.assertEqual(
            set(spec.Guard), set(VIEW_INVARIANT_OF_GUARD) | set(LOG_INVARIANT_OF_GUARD)
        )
        for guard, broken in LOG_INVARIANT_OF_GUARD.items():
            found = explore(
                spec.LogState(), spec.log_steps, spec.LOG_INVARIANTS, ALL_GUARDS - {guard}
            )
            self.assertIn(broken, found.broken, guard.name)
