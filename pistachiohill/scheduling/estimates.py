"""Run time estimates: a mean for each job and a run time factor for each target.

The expected run time of a task at a target is the mean of its job times the factor of the target. A
target's factor is shared by all jobs. Declared run times are only rough: a task that is declared
longer than the other tasks of its job is expected to take longer, but by less than declared.

Runs determine only the products of means and factors. With run times that spread and declarations
that are wrong, the factors of all targets would grow, and the means of all jobs shrink, without
bound. The median factor of a service's targets is therefore kept at 1: a job's mean is its run time
at a target of median speed.
"""

import math
from collections.abc import Sequence
from statistics import median

from attrs import define, field

DEFAULT_RUN_S = 0.3
# Minimum weight of a new sample in the mean of a job and in the factor of a target.
JOB_MIN_WEIGHT = 0.05
FACTOR_MIN_WEIGHT = 0.15
MIN_RUN_S = 0.001
MIN_FACTOR = 0.05
MAX_FACTOR = 20.0
MAX_JOBS = 2000
# Exponent applied to declared run times, relative to their mean. The spread of actual run times is
# about as large as that of the errors of declared run times, so declared differences are damped.
DECLARED_EXPONENT = 0.5


@define
class RunningMean:
    """Arithmetic mean of the first samples, then an exponential moving average."""

    value: float
    samples: int = 0

    def update(self, sample: float, min_weight: float) -> None:
        """Update the mean with a sample; `min_weight` is the minimum weight of the sample."""
        self.samples += 1
        self.value += max(min_weight, 1.0 / (self.samples + 1)) * (sample - self.value)


@define
class JobRunTimes:
    """Mean actual and mean declared run time of a job's tasks in seconds, and its service."""

    actual: RunningMean
    declared: RunningMean
    service: str = ""


@define
class RunEstimates:
    """Run time estimates of all jobs, limited to the most recently added MAX_JOBS jobs."""

    _jobs: dict[str, JobRunTimes] = field(factory=dict)

    def expected_run_s(self, job_path: str, declared_s: float = 0.0) -> float:
        """Return the expected run time of a task at a target with factor 1, in seconds.

        `declared_s` is the run time that the caller declared, 0 if none.
        """
        run_times = self._jobs.get(job_path)
        if run_times is None:
            return declared_s or DEFAULT_RUN_S
        if declared_s <= 0.0 or run_times.declared.value <= 0.0:
            return run_times.actual.value
        return run_times.actual.value * math.pow(
            declared_s / run_times.declared.value, DECLARED_EXPONENT
        )

    def job(self, job_path: str) -> JobRunTimes | None:
        """Return what is known of a job, None if none of its tasks has run."""
        return self._jobs.get(job_path)

    def adopt(self, job_path: str, run_s: float, declared_s: float, service: str) -> None:
        """Take over the run time of a job that is still unknown here."""
        if job_path not in self._jobs:
            self._evict_oldest()
            actual, declared = RunningMean(run_s, samples=1), RunningMean(declared_s, samples=1)
            self._jobs[job_path] = JobRunTimes(actual, declared, service)

    def anchor(self, service: str, factors: Sequence[RunningMean]) -> None:
        """Scale the estimates of a service so that the median factor of its targets is 1."""
        if not factors:
            return
        scale = median(factor.value for factor in factors)
        for factor in factors:
            factor.value /= scale
        for job in self._jobs.values():
            if job.service == service:
                job.actual.value *= scale

    def record_run(
        self,
        job_path: str,
        factor: RunningMean,
        run_s: float,
        declared_s: float = 0.0,
        service: str = "",
    ) -> None:
        """Update the mean of a job and the factor of a target with the run time of one task."""
        job = self._jobs.get(job_path)
        if job is None:
            self._evict_oldest()
            run = RunningMean(run_s / factor.value, samples=1)
            self._jobs[job_path] = JobRunTimes(run, RunningMean(declared_s, samples=1), service)
            return
        expected_s = max(self.expected_run_s(job_path, declared_s), MIN_RUN_S)
        factor.update(min(MAX_FACTOR, max(MIN_FACTOR, run_s / expected_s)), FACTOR_MIN_WEIGHT)
        job.actual.update(run_s / factor.value, JOB_MIN_WEIGHT)
        job.declared.update(declared_s, JOB_MIN_WEIGHT)

    def _evict_oldest(self) -> None:
        while len(self._jobs) >= MAX_JOBS:
            del self._jobs[next(iter(self._jobs))]
