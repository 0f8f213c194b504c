"""Response times that an all-knowing single queue would give.

The ideal knows every task's run time and every target's speed at any time, spends no time on
messages or processing, and takes the tasks of all jobs in order of arrival; each task gets the slot
in which it ends first. Longer tasks of a job go first. The network's round trip is added.
"""

import heapq
from collections.abc import Sequence

from attrs import define, frozen

from .workload import Arrival


@frozen
class Speed:
    """From a time on, one target's slowness; an infinite one takes it out."""

    from_s: float
    slowness: float


@define
class IdealTarget:
    """A target's slots, as a heap of the times at which they become free, and its speeds."""

    free_s: list[float]
    speeds: list[Speed]

    def slowness_at(self, at_s: float) -> float:
        """Return the slowness of a task that starts at a time."""
        return [speed.slowness for speed in self.speeds if speed.from_s <= at_s][-1]


def ideal_response_s(
    jobs: Sequence[Arrival], targets: list[IdealTarget], round_trip_s: float
) -> list[float]:
    """Return each job's ideal response time, in seconds."""
    found = []
    for job in jobs:
        end_s = job.at_s
        for run_s in sorted(job.run_s, reverse=True):
            end_s = max(end_s, _place(targets, job.at_s, run_s))
        found.append(end_s - job.at_s + round_trip_s)
    return found


def _place(targets: list[IdealTarget], now_s: float, run_s: float) -> float:
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
