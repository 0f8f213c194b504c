"""Learned run times: a mean for each job and a speed factor for each target.

A task's expected run time at a target is its job's mean times the target's factor. What a target
teaches with one job serves all others, and declared sizes are not used.
"""

from attrs import define, field

DEFAULT_RUN_S = 0.3
JOB_GAIN = 0.05
FACTOR_GAIN = 0.1
MIN_FACTOR = 0.05
MAX_FACTOR = 20.0
MAX_JOBS = 2000


@define
class RunEstimates:
    """Run time estimates of all jobs."""

    _jobs_s: dict[str, float] = field(factory=dict)

    def job_s(self, job_path: str) -> float:
        """Return the expected run time of a job's task at a target of factor 1, in seconds."""
        return self._jobs_s.get(job_path, DEFAULT_RUN_S)

    def learn(self, job_path: str, factor: float, run_s: float) -> float:
        """Learn from one run at a target of a given factor; return the target's new factor."""
        before_s = self._jobs_s.get(job_path)
        if before_s is None:
            self._make_room()
            self._jobs_s[job_path] = run_s / factor
            return factor
        self._jobs_s[job_path] = before_s + JOB_GAIN * (run_s / factor - before_s)
        if before_s <= 0.0:
            return factor
        moved = factor + FACTOR_GAIN * (run_s / before_s - factor)
        return min(MAX_FACTOR, max(MIN_FACTOR, moved))

    def _make_room(self) -> None:
        while len(self._jobs_s) >= MAX_JOBS:
            del self._jobs_s[next(iter(self._jobs_s))]
