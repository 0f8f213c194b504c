"""Model checks of leased runs: no two runs at a time, unless a guard or a time bound is omitted."""

from unittest import mock

from pistachiohill.agent import spec

from ..base import TestCase
from ..specs import CheckResult, explore

ALL_GUARDS = frozenset(spec.Guard)
FAULTS = 2


def check(guards: frozenset[spec.Guard], faults: int) -> CheckResult:
    return explore(spec.initial(spec.Bounds(faults)), spec.steps, spec.INVARIANTS, guards)


class SpecTest(TestCase):
    def test_runs_do_not_overlap_with_two_faults(self) -> None:
        result = check(ALL_GUARDS, FAULTS)
        self.assertEqual((True, frozenset()), (result.exhaustive, result.broken))
        self.assertEqual(81901, result.states)

    def test_every_guard_is_necessary_with_a_single_fault(self) -> None:
        for guard in spec.Guard:
            result = check(ALL_GUARDS - {guard}, 1)
            self.assertEqual({"runs_do_not_overlap"}, result.broken, guard.name)

    def test_time_bounds_are_necessary_with_a_single_fault(self) -> None:
        for name in ("RUNS_END_TICKS", "RESEND_TICKS"):
            with mock.patch.object(spec, name, getattr(spec, name) - 1):
                result = check(ALL_GUARDS, 1)
            self.assertEqual({"runs_do_not_overlap"}, result.broken, name)
