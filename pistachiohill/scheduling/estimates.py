"""Learned run times: a mean for each job and a speed factor for each target.

A task's expected run time at a target is its job's mean times the target's factor. What a target
teaches with one job serves all others. Where callers declare run times, which are rough, a task
declared longer than its job's other tasks is expected to take longer, though by less than declared.
"""

import math

from attrs import define, field

DEFAULT_RUN_S = 0.3
JOB_GAIN = 0.05
FACTOR_GAIN = 0.15
MIN_RUN_S = 0.001
MIN_FACTOR = 0.05
MAX_FACTOR = 20.0
MAX_JOBS = 2000
DECLARED_WEIGHT = 0.5  # run times and the errors of declared ones spread about equally


@define
class Mean:
    """A mean that follows its samples: plain over the first ones, then with a fixed gain."""

    value: float
    samples: int = 0

    def learn(self, sample: float, gain: float) -> None:
        """Move towards a sample."""
        self.samples += 1
        self.value += max(gain, 1.0 / (self.samples + 1)) * (sample - self.value)


@define
class JobRuns:
    """What is known of a job's tasks: mean run time and mean declared run time, in seconds."""

    run: Mean
    declared: Mean


@define
class RunEstimates:
    """Run time estimates of all jobs."""

    _jobs: dict[str, JobRuns] = field(factory=dict)

    def expected_run_s(self, job_path: str, declared_s: float = 0.0) -> float:
        """Return the expected run time of a job's task at a target of factor 1, in seconds.

        `declared_s` is what the caller declared, 0 where it declared nothing.
        """
        found = self._jobs.get(job_path)
        if found is None:
            return declared_s or DEFAULT_RUN_S
        if declared_s <= 0.0 or found.declared.value <= 0.0:
            return found.run.value
        return found.run.value * math.pow(declared_s / found.declared.value, DECLARED_WEIGHT)

    def record_run(
        self, job_path: str, factor: Mean, run_s: float, declared_s: float = 0.0
    ) -> None:
        """Learn a job's run time and a target's factor from one run there."""
        job = self._jobs.get(job_path)
        if job is None:
            self._make_room()
            run = Mean(run_s / factor.value, samples=1)
            self._jobs[job_path] = JobRuns(run, Mean(declared_s, samples=1))
            return
        expected_s = max(self.expected_run_s(job_path, declared_s), MIN_RUN_S)
        factor.learn(min(MAX_FACTOR, max(MIN_FACTOR, run_s / expected_s)), FACTOR_GAIN)
        job.run.learn(run_s / factor.value, JOB_GAIN)
        job.declared.learn(declared_s, JOB_GAIN)

    def _make_room(self) -> None:
        while len(self._jobs) >= MAX_JOBS:
            del self._jobs[next(iter(self._jobs))]
