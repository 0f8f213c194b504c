"""The entry's part: tells agents its estimates and waiting work, and uses what they report.

It is active only where agents are not served by all entries: an entry that serves every agent sees
as many runs of each target as the others, and learns soon what they know.
"""

import math
from collections.abc import Callable
from statistics import median

from attrs import define, field

from ..protocol.models import JobRunTime, RunEstimate, SharedLoad, SharedWork
from ..scheduling.estimates import MAX_FACTOR, MIN_FACTOR, MIN_RUN_S, RunEstimates
from ..scheduling.models import OthersWaiting, TargetLoad

# Number of runs at a target after which the entry goes by what it has learned there itself. If all
# entries went by the agent's factor for good, all would choose the same targets at once.
FACTOR_RUNS = 7


@define
class CachedWork:
    """Work that waits for one service, as told to each of its agents, and when it was summed up."""

    work: SharedWork
    at_s: float


def _no_work(_service: str) -> list[int]:
    return []


@define(eq=False)
class EntrySharedLoad:
    """Exchange of load between one entry and its agents.

    Fields:
        run_times: Whether run times are shared.
        work_interval_s: How often waiting work is summed up anew; 0 if none is told.
        estimates: The entry's own run time estimates.
        waiting_core_ms: Returns the share of one agent of a service in the waiting work, by
            priority.
        agents_are_shared: Whether there are more entries than serve an agent.
    """

    run_times: bool = False
    work_interval_s: float = 0.0
    estimates: RunEstimates = field(factory=RunEstimates)
    waiting_core_ms: Callable[[str], list[int]] = _no_work
    agents_are_shared: bool = False
    _work: dict[str, CachedWork] = field(factory=dict)

    @property
    def is_active(self) -> bool:
        """Return whether the entry tells agents its load and uses what they report."""
        return self.agents_are_shared and (self.run_times or self.work_interval_s > 0.0)

    def work(self, target: TargetLoad, service: str, now_s: float) -> SharedWork | None:
        """Return the waiting work to tell the agent of a target now.

        None if nothing is shared, or if the agent has been told since the work was summed up: it
        subtracts itself what is placed there. Without work to tell, the first message on a link
        says that this entry uses reports.
        """
        if not self.is_active:
            return None
        cached = self._cached_work(service, now_s)
        if target.work_told_at_s == cached.at_s:
            return None
        target.work_told_at_s = cached.at_s
        return cached.work

    def has_work(self, service: str, now_s: float) -> bool:
        """Return whether work waits that the agents of a service must be told of repeatedly."""
        return self.is_active and bool(self._cached_work(service, now_s).work.waiting_core_ms)

    def _cached_work(self, service: str, now_s: float) -> CachedWork:
        cached = self._work.get(service)
        if cached is None or self._is_due(cached, now_s):
            work = SharedWork(self.waiting_core_ms(service) if self.work_interval_s else [])
            cached = self._work[service] = CachedWork(work, now_s)
        return cached

    def _is_due(self, cached: CachedWork, now_s: float) -> bool:
        return 0.0 < self.work_interval_s <= now_s - cached.at_s

    def estimate(self, path: str, factor: float) -> RunEstimate | None:
        """Return the estimates for tasks of a job at a target with a factor, None if unknown."""
        job = self.estimates.job(path) if self.is_active and self.run_times else None
        if job is None:
            return None
        return RunEstimate(factor, job.actual.value, job.declared.value)

    def record(
        self, target: TargetLoad, service: str, shared: SharedLoad | None, now_s: float
    ) -> None:
        """Use an agent's report: waiting work of other entries, run times and the factor."""
        if shared is None or not self.is_active:
            return
        if self.work_interval_s:
            core_s = tuple(max(0, core_ms) / 1000 for core_ms in shared.waiting_core_ms)
            target.others_waiting = OthersWaiting(core_s, max(0, shared.waiting_entries))
        if self.run_times:
            self._record_speed(target, service, shared, now_s)

    def _record_speed(
        self, target: TargetLoad, service: str, shared: SharedLoad, now_s: float
    ) -> None:
        if shared.jobs:
            self._adopt_jobs(target, service, shared.jobs)
        scale, own = self._scale(target), target.mean_factor
        if scale is None or own.samples >= FACTOR_RUNS:
            target.reported_overdue = None
            return
        is_known = 0.0 <= shared.overdue <= MAX_FACTOR
        target.reported_overdue = shared.overdue / scale if is_known else None
        if shared.runs > 0 and math.isfinite(shared.factor):
            factor = min(MAX_FACTOR, max(MIN_FACTOR, shared.factor / scale))
            own.value += min(1.0, shared.runs / FACTOR_RUNS) * (factor - own.value)
            run_at_s = now_s - max(0.0, shared.age_s)
            target.factor_updated_at_s = max(target.factor_updated_at_s, run_at_s)

    def _adopt_jobs(self, target: TargetLoad, service: str, jobs: list[JobRunTime]) -> None:
        """Keep the run times that an agent's factor relates to, and take over unknown ones."""
        valid = [job for job in jobs if MIN_RUN_S <= job.run_s < math.inf and job.declared_s >= 0.0]
        target.listed_run_s = {job.path: job.run_s for job in valid}
        scale = self._scale(target) or 1.0
        for job in valid:
            self.estimates.adopt(job.path, job.run_s * scale, job.declared_s, service)

    def _scale(self, target: TargetLoad) -> float | None:
        """Return this entry's run times in proportion to those of an agent, None if unknown."""
        ratios = [
            job.actual.value / run_s
            for path, run_s in target.listed_run_s.items()
            if (job := self.estimates.job(path)) is not None
        ]
        return median(ratios) if ratios else None
