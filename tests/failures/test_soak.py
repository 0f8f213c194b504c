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

    async def test_seed_701_late_deregistration_of_a_runner_does_not_end_its_runs(self) -> None:
        await self._async_assert_no_violation(701)

    async def test_seed_702_refused_connection_does_not_end_the_runs_of_an_agent(self) -> None:
        await self._async_assert_no_violation(702)

    async def test_seed_705_agent_survives_an_odd_birth_beside_a_new_incarnation(self) -> None:
        await self._async_assert_no_violation(705)

    async def test_seed_706_heartbeat_with_an_empty_address_does_not_end_runs_or_the_agent(
        self,
    ) -> None:
        await self._async_assert_no_violation(706)

    async def test_seed_709_heartbeat_with_a_label_too_long_does_not_end_runs_at_work(self) -> None:
        await self._async_assert_no_violation(709)

    async def test_seed_711_heartbeat_under_another_id_does_not_end_runs(self) -> None:
        await self._async_assert_no_violation(711)

    async def test_seed_714_heartbeat_with_an_empty_address_does_not_end_the_agent(self) -> None:
        await self._async_assert_no_violation(714)

    async def test_seed_716_late_deregistration_beside_cuts_does_not_end_runs(self) -> None:
        await self._async_assert_no_violation(716)

    async def test_seed_719_agent_follows_its_runner_after_a_heartbeat_with_a_birth_out_of_range(
        self,
    ) -> None:
        await self._async_assert_no_violation(719)

    async def test_seed_720_heartbeat_with_a_capacity_out_of_range_does_not_end_the_entries(
        self,
    ) -> None:
        await self._async_assert_no_violation(720)

    async def test_seed_723_heartbeat_with_a_label_too_long_does_not_end_the_agent(self) -> None:
        await self._async_assert_no_violation(723)

    async def test_seed_726_heartbeat_with_an_empty_address_does_not_end_runs_at_work(self) -> None:
        await self._async_assert_no_violation(726)

    async def test_seed_730_odd_birth_and_late_deregistration_do_not_end_runs(
        self,
    ) -> None:
        await self._async_assert_no_violation(730)

    def test_plan_is_deterministic(self) -> None:
        self.assertEqual(make_plan(7), make_plan(7))
        self.assertNotEqual(make_plan(7), make_plan(8))
