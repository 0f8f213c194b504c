"""Tests of the run time estimates of jobs and targets."""

import random

from pistachiohill.scheduling.estimates import DEFAULT_RUN_S, MAX_JOBS, RunEstimates, RunningMean

from ..base import TestCase


class EstimatesTest(TestCase):
    def test_factors_converge_to_target_run_times(self) -> None:
        rng = random.Random(20261204)
        estimates = RunEstimates()
        factors = {name: RunningMean(1.0) for name in ("fast", "slow")}
        for _ in range(400):
            for name, true_factor in (("fast", 0.5), ("slow", 2.5)):
                run_s = 0.2 * true_factor * rng.uniform(0.9, 1.1)
                estimates.record_run("consortium/m/j", factors[name], run_s)
        ratio = factors["slow"].value / factors["fast"].value
        self.assertTrue(4.5 < ratio < 5.5, ratio)
        expected_s = estimates.expected_run_s("consortium/m/j") * factors["slow"].value
        self.assertTrue(0.45 < expected_s < 0.55, expected_s)

    def test_default_for_unknown_job_and_bounded_memory(self) -> None:
        estimates = RunEstimates()
        self.assertEqual(DEFAULT_RUN_S, estimates.expected_run_s("consortium/m/new"))
        for number in range(MAX_JOBS + 10):
            estimates.record_run(f"consortium/m/{number}", RunningMean(1.0), 0.1)
        self.assertEqual(DEFAULT_RUN_S, estimates.expected_run_s("consortium/m/0"))
