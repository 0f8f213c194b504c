"""Learned run times and speeds."""

import random

from pistachiohill.scheduling.estimates import DEFAULT_RUN_S, MAX_JOBS, Mean, RunEstimates

from ..base import TestCase


class EstimatesTest(TestCase):
    def test_factors_follow_the_targets_speeds(self) -> None:
        rng = random.Random(20261204)
        estimates = RunEstimates()
        speeds = {name: Mean(1.0) for name in ("fast", "slow")}
        for _ in range(400):
            for name, true in (("fast", 0.5), ("slow", 2.5)):
                run_s = 0.2 * true * rng.uniform(0.9, 1.1)
                estimates.record_run("consortium/m/j", speeds[name], run_s)
        ratio = speeds["slow"].value / speeds["fast"].value
        self.assertTrue(4.5 < ratio < 5.5, ratio)
        expected_s = estimates.expected_run_s("consortium/m/j") * speeds["slow"].value
        self.assertTrue(0.45 < expected_s < 0.55, expected_s)

    def test_unknown_jobs_and_bounded_memory(self) -> None:
        estimates = RunEstimates()
        self.assertEqual(DEFAULT_RUN_S, estimates.expected_run_s("consortium/m/new"))
        for number in range(MAX_JOBS + 10):
            estimates.record_run(f"consortium/m/{number}", Mean(1.0), 0.1)
        self.assertEqual(DEFAULT_RUN_S, estimates.expected_run_s("consortium/m/0"))
