"""Short soak plans, and every seed that has ever found a violation."""

import multiprocessing
import os
import re
from concurrent.futures import Future, ProcessPoolExecutor
from typing import Any

from experiments.soak import Findings, Soak, run_seed
from experiments.soak_callers import answer_due_s
from experiments.soak_plan import make_plan
from standins.processes import use_port_part

from ..base import TestCase

SHORT_FAULT_PERIOD_S = 5.0
SHORT_SEEDS = (20261204,)
RUNS_AT_A_TIME = 3
SEED_TEST_NAME = re.compile(r"test_seed_(\d+)_")


def use_next_port_part(parts: Any) -> None:
    """Let a worker process use ports that the others don't; `parts` is a shared counter."""
    with parts.get_lock():
        parts.value += 1
        use_port_part(parts.value)


class SeedRuns:
    """Plays regression seeds a few at a time, in the order of their tests.

    A run takes half a minute of waiting, so the next ones are begun while a test waits for its own.
    """

    def __init__(self) -> None:
        self._executor: ProcessPoolExecutor | None = None
        self._runs: dict[int, Future[Findings]] = {}

    def findings(self, seed: int, seeds: list[int]) -> Findings:
        """Return the findings of a seed, one of the ordered `seeds`."""
        if self._executor is None:
            context = multiprocessing.get_context("spawn")
            parts = context.Value("i", os.getpid())
            self._executor = ProcessPoolExecutor(
                RUNS_AT_A_TIME, context, initializer=use_next_port_part, initargs=(parts,)
            )
        position = seeds.index(seed)
        for item in seeds[position : position + RUNS_AT_A_TIME]:
            if item not in self._runs:
                self._runs[item] = self._executor.submit(run_seed, item)
        return self._runs[seed].result()


SEED_RUNS = SeedRuns()


class SoakTest(TestCase):
    async def test_short_plans(self) -> None:
        for seed in SHORT_SEEDS:
            findings = await Soak(make_plan(seed, fault_period_s=SHORT_FAULT_PERIOD_S)).async_run()
            self.assertEqual([], findings.violations, findings)
            self.assertGreater(findings.completed, 0)

    def _assert_no_violation(self, seed: int) -> None:
        matches = filter(None, map(SEED_TEST_NAME.match, sorted(dir(self))))
        seeds = [int(match[1]) for match in matches]
        findings = SEED_RUNS.findings(seed, seeds)
        self.assertEqual([], findings.violations, findings)

    def test_seed_527_checker_waits_for_an_entry_that_is_still_starting(self) -> None:
        self._assert_no_violation(527)

    def test_seed_533_checker_ignores_a_manifest_that_the_store_refused(self) -> None:
        self._assert_no_violation(533)

    def test_seed_538_killed_runner_has_recorded_the_ends_that_it_reported(self) -> None:
        self._assert_no_violation(538)

    def test_seed_614_checker_repeats_a_change_whose_response_was_lost(self) -> None:
        self._assert_no_violation(614)

    def test_seed_625_checker_repeats_a_change_whose_response_was_lost(self) -> None:
        self._assert_no_violation(625)

    def test_seed_628_checker_repeats_a_change_whose_response_was_lost(self) -> None:
        self._assert_no_violation(628)

    def test_seed_631_checker_ignores_an_evacuation_that_the_store_refused(self) -> None:
        self._assert_no_violation(631)

    def test_seed_649_change_is_not_late_after_the_store_was_silent(self) -> None:
        self._assert_no_violation(649)

    def test_seed_701_late_deregistration_of_a_runner_does_not_end_its_runs(self) -> None:
        self._assert_no_violation(701)

    def test_seed_702_refused_connection_does_not_end_the_runs_of_an_agent(self) -> None:
        self._assert_no_violation(702)

    def test_seed_705_agent_survives_an_odd_birth_beside_a_new_incarnation(self) -> None:
        self._assert_no_violation(705)

    def test_seed_706_heartbeat_with_an_empty_address_does_not_end_runs_or_the_agent(
        self,
    ) -> None:
        self._assert_no_violation(706)

    def test_seed_709_heartbeat_with_a_label_too_long_does_not_end_runs_at_work(self) -> None:
        self._assert_no_violation(709)

    def test_seed_711_heartbeat_under_another_id_does_not_end_runs(self) -> None:
        self._assert_no_violation(711)

    def test_seed_714_heartbeat_with_an_empty_address_does_not_end_the_agent(self) -> None:
        self._assert_no_violation(714)

    def test_seed_716_late_deregistration_beside_cuts_does_not_end_runs(self) -> None:
        self._assert_no_violation(716)

    def test_seed_719_agent_follows_its_runner_after_a_heartbeat_with_a_birth_out_of_range(
        self,
    ) -> None:
        self._assert_no_violation(719)

    def test_seed_720_heartbeat_with_a_capacity_out_of_range_does_not_end_the_entries(
        self,
    ) -> None:
        self._assert_no_violation(720)

    def test_seed_723_heartbeat_with_a_label_too_long_does_not_end_the_agent(self) -> None:
        self._assert_no_violation(723)

    def test_seed_726_heartbeat_with_an_empty_address_does_not_end_runs_at_work(self) -> None:
        self._assert_no_violation(726)

    def test_seed_730_odd_birth_and_late_deregistration_do_not_end_runs(
        self,
    ) -> None:
        self._assert_no_violation(730)

    def test_answer_of_a_job_behind_another_is_due_soon_after_the_other_ones(self) -> None:
        """Answers on a channel keep the order of the requests, whatever the time of the second."""
        self.assertEqual(4.0, answer_due_s(2.0))
        self.assertEqual(4.0, answer_due_s(2.0, ahead_answered_s=3.4))
        self.assertEqual(4.5, answer_due_s(2.0, ahead_answered_s=4.0))

    def test_plan_is_deterministic(self) -> None:
        self.assertEqual(make_plan(7), make_plan(7))
        self.assertNotEqual(make_plan(7), make_plan(8))
