"""Ideal response times: those of a single queue whose scheduler knows all run times.

The ideal scheduler knows the run time of every task and the speed of every target at any time, and
spends no time on messages or processing. It takes the jobs in order of arrival and, within a job,
the longest tasks first, and places each task in the slot in which it ends first. One network round
trip is added to each response time.
"""

import heapq
from collections.abc import Sequence

from attrs import define, frozen

from .workload import Arrival


@frozen
class Speed:
    """Slowness of one target from a time on; infinity takes the target out of service."""

    from_s: float
    slowness: float


@define
class IdealTarget:
    """A target's speeds, and its slots as a heap of the times at which they become free."""

    free_s: list[float]
    speeds: list[Speed]

    def slowness_at(self, at_s: float) -> float:
        """Return the slowness of a task that starts at the given time."""
        return [speed.slowness for speed in self.speeds if speed.from_s <= at_s][-1]


def ideal_response_s(
    arrivals: Sequence[Arrival], targets: list[IdealTarget], round_trip_s: float
) -> list[float]:
    """Return the ideal response time of each job."""
    responses_s = []
    for job in arrivals:
        end_s = job.at_s
        for run_s in sorted(job.run_s, reverse=True):
            end_s = max(end_s, _place_task(targets, job.at_s, run_s))
        responses_s.append(end_s - job.at_s + round_trip_s)
    return responses_s


def _place_task(targets: list[IdealTarget], now_s: float, run_s: float) -> float:
    best: IdealTarget | None = None
    best_end_s = float("inf")
    for target in targets:
        start_s = max(now_s, target.free_s[0])
        end_s = start_s + run_s * target.slowness_at(start_s)
        if end_s < best_end_s:
            best, best_end_s = target, end_s
    assert best is not None
    heapq.heapreplace(best.free_s, best_end_s)
    return best_end_s
