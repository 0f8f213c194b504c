"""Learned run times: a mean for each job and a speed factor for each target.

A task's expected run time at a target is its job's mean times the target's factor. What a target
teaches with one job serves all others, and declared sizes are not used.
"""

from attrs import define, field

DEFAULT_RUN_S = 0.3
JOB_GAIN = 0.05
FACTOR_GAIN = 0.15
MIN_RUN_S = 0.001
MIN_FACTOR = 0.05
MAX_FACTOR = 20.0
MAX_JOBS = 2000


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
class RunEstimates:
    """Run time estimates of all jobs."""

    _jobs: dict[str, Mean] = field(factory=dict)

    def job_s(self, job_path: str) -> float:
        """Return the expected run time of a job's task at a target of factor 1, in seconds."""
        found = self._jobs.get(job_path)
        return DEFAULT_RUN_S if found is None else found.value

    def learn(self, job_path: str, factor: Mean, run_s: float) -> None:
        """Learn a job's run time and a target's factor from one run there."""
        job = self._jobs.get(job_path)
        if job is None:
            self._make_room()
            job = self._jobs[job_path] = Mean(run_s / factor.value, samples=1)
            return
        expected_s = max(job.value, MIN_RUN_S)
        factor.learn(min(MAX_FACTOR, max(MIN_FACTOR, run_s / expected_s)), FACTOR_GAIN)
        job.learn(run_s / factor.value, JOB_GAIN)

    def _make_room(self) -> None:
        while len(self._jobs) >= MAX_JOBS:
            del self._jobs[next(iter(self._jobs))]
