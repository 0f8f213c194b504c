"""Run time factor of a target, learned at its agent from the runs of all entries.

Each entry scales its run time estimates so that the median factor of its own targets is 1, so the
same job has different means at entries with different targets. The agent therefore relates each run
to the job's mean at the entry that started it, and keeps means of its own that average what its
entries tell. It lists these means, by which an entry converts the factor to its own scale.

All entries place by the factor, so a few long runs must not turn all of them away from a target
that is as fast as before: it is a geometric mean, and of the tasks at work their median counts.
"""

import math
from collections.abc import Iterable
from statistics import median_low

from attrs import define, field, frozen

from ..protocol.models import JobRunTime, RunEstimate
from ..scheduling.estimates import (
    FACTOR_MIN_WEIGHT,
    JOB_MIN_WEIGHT,
    MAX_FACTOR,
    MIN_FACTOR,
    MIN_RUN_S,
    RunningMean,
)

MAX_LISTED_JOBS = 16
LIST_STEP_FRACTION = 0.05  # jobs are listed again after a larger change of one's mean
MAX_RUN_S = 3600.0
UNKNOWN = -1.0


@frozen
class RunningTask:
    """A task at work: its expected run time at factor 1, 0 if unknown, and its start."""

    base_run_s: float
    started_at_s: float


@define
class ToldRunTime:
    """Average of the run times that entries have told for a job, and the mean last listed."""

    actual: RunningMean
    declared: RunningMean
    listed_s: float

    def differs(self) -> bool:
        """Return whether the mean has moved away from the one last listed."""
        return abs(self.actual.value - self.listed_s) > LIST_STEP_FRACTION * self.listed_s


@define
class TargetSpeed:
    """Run time factor of one target, and the run times of its latest jobs.

    Fields:
        runs: Number of ended runs that the factor is based on.
        updated_at_s: Boot time of the latest of them.
        list_version: Number of the latest list of jobs, 0 before the first.
    """

    runs: int = 0
    updated_at_s: float = -math.inf
    list_version: int = 0
    _log_factor: RunningMean = field(factory=lambda: RunningMean(0.0))
    _jobs: dict[str, ToldRunTime] = field(factory=dict)

    @property
    def factor(self) -> float:
        """Return the factor by all ended runs."""
        return math.exp(self._log_factor.value)

    def record_estimate(self, path: str, estimate: RunEstimate) -> None:
        """Follow the estimates of an entry; before the first run they also give the factor."""
        if not _is_valid(estimate):
            return
        job = self._jobs.pop(path, None)
        if job is None:
            job = ToldRunTime(
                RunningMean(estimate.job_run_s, samples=1),
                RunningMean(estimate.job_declared_s, samples=1),
                listed_s=math.nan,
            )
        else:
            job.actual.update(estimate.job_run_s, JOB_MIN_WEIGHT)
            job.declared.update(estimate.job_declared_s, JOB_MIN_WEIGHT)
        self._jobs[path] = job
        if len(self._jobs) > MAX_LISTED_JOBS:
            del self._jobs[next(iter(self._jobs))]
        if self.runs == 0:
            factor = estimate.factor * estimate.job_run_s / job.actual.value
            self._log_factor.value = math.log(factor)
        if math.isnan(job.listed_s) or job.differs():
            self._list_jobs()

    def _list_jobs(self) -> None:
        self.list_version += 1
        for job in self._jobs.values():
            job.listed_s = job.actual.value

    def listed_jobs(self) -> list[JobRunTime]:
        """Return the run times of the latest jobs."""
        return [
            JobRunTime(path, job.listed_s, job.declared.value) for path, job in self._jobs.items()
        ]

    def base_run_s(self, path: str, estimate: RunEstimate | None, run_s: float) -> float:
        """Return the expected run time of a task at factor 1 by the agent's means, 0 if unknown.

        `run_s` is what its entry expects here by its own estimates.
        """
        job = self._jobs.get(path)
        if job is None or estimate is None or not _is_valid(estimate):
            return 0.0
        return run_s / estimate.factor * job.actual.value / estimate.job_run_s

    def record_run(self, base_run_s: float, run_s: float, now_s: float) -> None:
        """Learn from a run that has ended."""
        if base_run_s < MIN_RUN_S:
            return
        sample = min(MAX_FACTOR, max(MIN_FACTOR, run_s / base_run_s))
        self._log_factor.update(math.log(sample), FACTOR_MIN_WEIGHT)
        self.runs += 1
        self.updated_at_s = now_s

    def overdue(self, running: Iterable[RunningTask], now_s: float) -> float:
        """Return by how much most of the running tasks exceed the factor so far.

        UNKNOWN if nothing is known of any running task.
        """
        excesses = [
            max(0.0, (now_s - task.started_at_s) / task.base_run_s - self.factor)
            for task in running
            if task.base_run_s >= MIN_RUN_S
        ]
        return min(MAX_FACTOR, median_low([*excesses, 0.0])) if excesses else UNKNOWN


def _is_valid(estimate: RunEstimate) -> bool:
    return (
        MIN_FACTOR <= estimate.factor <= MAX_FACTOR
        and MIN_RUN_S <= estimate.job_run_s <= MAX_RUN_S
        and 0.0 <= estimate.job_declared_s <= MAX_RUN_S
    )
