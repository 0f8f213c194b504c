"""Short soak plans, and every seed that has ever found a violation."""

from experiments.soak import Soak
from experiments.soak_plan import make_plan

from ..base import TestCase

SHORT_FAULT_PERIOD_S = 5.0
SHORT_SEEDS = (20261204,)


class SoakTest(TestCase):
    async def test_short_plans(self) -> None:
        for seed in SHORT_SEEDS:
            findings = await Soak(make_plan(seed, fault_period_s=SHORT_FAULT_PERIOD_S)).async_run()
            self.assertEqual([], findings.violations, findings)
            self.assertGreater(findings.completed, 0)

    async def _async_assert_no_violation(self, seed: int) -> None:
        findings = await Soak(make_plan(seed)).async_run()
        self.assertEqual([], findings.violations, findings)

    async def test_seed_527_checker_waits_for_an_entry_that_is_still_starting(self) -> None:
        await self._async_assert_no_violation(527)

    async def test_seed_533_checker_ignores_a_manifest_that_the_store_refused(self) -> None:
        await self._async_assert_no_violation(533)

    async def test_seed_538_killed_runner_has_recorded_the_ends_that_it_reported(self) -> None:
        await self._async_assert_no_violation(538)

    async def test_seed_614_checker_repeats_a_change_whose_response_was_lost(self) -> None:
        await self._async_assert_no_violation(614)

    async def test_seed_625_checker_repeats_a_change_whose_response_was_lost(self) -> None:
        await self._async_assert_no_violation(625)

    async def test_seed_628_checker_repeats_a_change_whose_response_was_lost(self) -> None:
        await self._async_assert_no_violation(628)

    async def test_seed_631_checker_ignores_an_evacuation_that_the_store_refused(self) -> None:
        await self._async_assert_no_violation(631)

    async def test_seed_649_change_is_not_late_after_the_store_was_silent(self) -> None:
        await self._async_assert_no_violation(649)

    def test_plan_is_deterministic(self) -> None:
        self.assertEqual(make_plan(7), make_plan(7))
        self.assertNotEqual(make_plan(7), make_plan(8))
