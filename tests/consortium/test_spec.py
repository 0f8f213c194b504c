"""The specifications of freshness and publishing hold, and each of their guards is needed."""

from pistachiohill.consortium import spec

from ..base import TestCase
from ..specs import explore

ALL = frozenset(spec.Guard)
MUTANT_STATES = 200_000
VIEW_BREAKS = {
    spec.Guard.CONFIRM_WHEN_ASKED: "no_late_start",
    spec.Guard.ECHO: "no_late_start",
    spec.Guard.OFFSET_ORDER: "offset_never_falls",
    spec.Guard.FRESH: "no_late_start",
}
LOG_BREAKS = {
    spec.Guard.AT_END: "change_takes_effect_once",
    spec.Guard.CHANGE_ID: "change_takes_effect_once",
    spec.Guard.VERSION: "later_change_stays",
}


class SpecTest(TestCase):
    def test_freshness_holds(self) -> None:
        found = explore(spec.ViewWorld(), spec.view_steps, spec.VIEW_INVARIANTS, ALL)
        self.assertEqual((True, frozenset()), (found.exhaustive, found.broken))
        self.assertEqual(375931, found.states)

    def test_every_freshness_guard_is_needed(self) -> None:
        for guard, broken in VIEW_BREAKS.items():
            found = explore(
                spec.ViewWorld(),
                spec.view_steps,
                spec.VIEW_INVARIANTS,
                ALL - {guard},
                MUTANT_STATES,
            )
            self.assertIn(broken, found.broken, guard.name)

    def test_publishing_holds(self) -> None:
        found = explore(spec.LogWorld(), spec.log_steps, spec.LOG_INVARIANTS, ALL)
        self.assertEqual((True, frozenset()), (found.exhaustive, found.broken))
        self.assertEqual(70, found.states)

    def test_every_publishing_guard_is_needed(self) -> None:
        self.assertEqual(set(spec.Guard), set(VIEW_BREAKS) | set(LOG_BREAKS))
        for guard, broken in LOG_BREAKS.items():
            found = explore(spec.LogWorld(), spec.log_steps, spec.LOG_INVARIANTS, ALL - {guard})
            self.assertIn(broken, found.broken, guard.name)
