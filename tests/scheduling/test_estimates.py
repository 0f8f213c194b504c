"""Tests of the run time estimates of jobs and targets."""

import random

from pistachiohill.scheduling.estimates import DEFAULT_RUN_S, MAX_JOBS, RunEstimates, RunningMean

from ..base import TestCase

LONG_DAY_RUNS = 20_000


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

    def test_estimates_of_a_long_day_do_not_drift(self) -> None:
        """Run times spread and declarations are wrong, as in the users' deployments."""
        rng = random.Random(20261204)
        estimates = RunEstimates()
        speeds = [0.6, 1.0, 1.6] * 4
        factors = [RunningMean(1.0) for _ in speeds]
        jobs = {"consortium/m/stamp": 0.12, "consortium/m/rank": 1.8, "consortium/m/confirm": 0.4}
        for number in range(LONG_DAY_RUNS):
            path = rng.choice(list(jobs))
            target = rng.randrange(len(speeds))
            work_s = jobs[path] * rng.lognormvariate(0.0, 0.4)
            declared_s = work_s * rng.lognormvariate(0.0, 0.6)
            run_s = work_s / speeds[target]
            estimates.record_run(path, factors[target], run_s, declared_s, "clocking")
            if number % 32 == 0:
                estimates.anchor("clocking", factors)
        for path, mean_s in jobs.items():
            ratio = estimates.expected_run_s(path) / mean_s
            self.assertTrue(0.6 < ratio < 1.6, (path, ratio))
        ratio = factors[0].value / factors[2].value
        self.assertTrue(1.7 < ratio < 4.0, ratio)

    def test_services_are_anchored_on_their_own(self) -> None:
        estimates = RunEstimates()
        factor = RunningMean(1.0)
        estimates.record_run("consortium/m/a", factor, 0.1, 0.0, "one")
        estimates.record_run("consortium/m/b", factor, 0.1, 0.0, "two")
        estimates.anchor("one", [RunningMean(4.0), RunningMean(2.0), RunningMean(1.0)])
        self.assertAlmostEqual(0.2, estimates.expected_run_s("consortium/m/a"))
        self.assertAlmostEqual(0.1, estimates.expected_run_s("consortium/m/b"))

    def test_default_for_unknown_job_and_bounded_memory(self) -> None:
        estimates = RunEstimates()
        self.assertEqual(DEFAULT_RUN_S, estimates.expected_run_s("consortium/m/new"))
        for number in range(MAX_JOBS + 10):
            estimates.record_run(f"consortium/m/{number}", RunningMean(1.0), 0.1)
        self.assertEqual(DEFAULT_RUN_S, estimates.expected_run_s("consortium/m/0"))
