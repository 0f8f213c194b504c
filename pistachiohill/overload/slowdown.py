"""Detects that a target has turned slow, from the times that its runs take.

One run that takes long may be a long task: that says nothing about its target. A target is slow if
almost all of its latest runs take far longer than expected. Each run counts once: when it has ended
in time, or when it becomes late, which may be long before it ends. Tasks of one job are often long
together, so each job counts by its latest run only; and a target is sound if the latest run of all
was in time.

    expected 0.2 s: in time if it ends within 0.45 s, late from then on
    latest runs, each of another job: late, in time, late, late -> slow
    latest runs: late, in time, in time, late -> not slow
"""

import math
from collections import deque
from statistics import median
from typing import Final

from attrs import define, field, frozen

LATE_FACTOR: Final = 2.0  # a run is late after this many times its expected run time
LATE_MARGIN_S: Final = 0.05  # for requests to the target, which weigh on short runs
JUDGED_RUNS: Final = 4  # latest runs that count, of as many jobs
MIN_LATE_RUNS: Final = 3  # among them; with 3 % long tasks, chance alone rarely brings so many
OUTSTANDING_FRACTION: Final = 1.0  # of its time so far that a late run is expected to go on
MAX_AGE_S: Final = 3.0  # older runs don't count, so that a target without work is tried again


@frozen
class Slowdown:
    """How much slower than expected a target is, and for how long it has been so."""

    factor: float = 1.0
    for_s: float = 0.0

    @property
    def is_slow(self) -> bool:
        """Return whether the target is slow."""
        return self.factor > 1.0


NOT_SLOW: Final = Slowdown()


@define(eq=False)
class WatchedRun:
    """A run; `ended_s` is infinite while it goes on, and all times are boot times."""

    job: str
    started_s: float
    expected_s: float
    ended_s: float = math.inf
    is_late: bool = False

    @property
    def late_at_s(self) -> float:
        """Return the time from which the run is late."""
        return self.started_s + LATE_FACTOR * self.expected_s + LATE_MARGIN_S

    def judged_at_s(self) -> float:
        """Return when the run was found to be in time or late."""
        return min(self.late_at_s, self.ended_s)

    def ratio(self, now_s: float) -> float:
        """Return its run time relative to the expected one.

        A run that goes on is taken to last as long again as it has lasted so far.
        """
        if now_s < self.ended_s:
            return (1.0 + OUTSTANDING_FRACTION) * (now_s - self.started_s) / self.expected_s
        return (self.ended_s - self.started_s) / self.expected_s


@define(eq=False)
class SlowdownDetector:
    """Watches the runs of one target."""

    _running: dict[int, WatchedRun] = field(factory=dict)
    _judged: deque[WatchedRun] = field(factory=lambda: deque(maxlen=JUDGED_RUNS))
    _last_in_time_s: float = -math.inf

    def run_started(self, key: int, job: str, expected_s: float, now_s: float) -> None:
        """Watch a run; a run of unknown length tells nothing."""
        if expected_s > 0.0:
            self._running[key] = WatchedRun(job, now_s, expected_s)

    def run_ended(self, key: int, succeeded: bool, now_s: float) -> None:
        """Judge a run by its end; one that failed or was stopped in time tells nothing."""
        self._judge_late(now_s)
        run = self._running.pop(key, None)
        if run is None:
            return
        run.ended_s = now_s
        if succeeded and not run.is_late:
            self._last_in_time_s = now_s
            self._judge(run)

    def slowdown(self, now_s: float) -> Slowdown:
        """Return whether the target is slow now, and how slow."""
        self._judge_late(now_s)
        recent = [run for run in self._judged if now_s - run.judged_at_s() <= MAX_AGE_S]
        late = [run for run in recent if run.is_late]
        if len(late) < MIN_LATE_RUNS or not recent[-1].is_late:
            return NOT_SLOW
        since_s = max(self._last_in_time_s, min(run.started_s for run in late))
        return Slowdown(median(run.ratio(now_s) for run in late), now_s - since_s)

    def _judge_late(self, now_s: float) -> None:
        """Judge the running ones that have become late, in the order in which they did."""
        found = [run for run in self._running.values() if not run.is_late and now_s > run.late_at_s]
        for run in sorted(found, key=lambda run: run.late_at_s):
            run.is_late = True
            self._judge(run)

    def _judge(self, run: WatchedRun) -> None:
        """Count a run in place of earlier ones of its job."""
        others = [item for item in self._judged if item.job != run.job]
        self._judged = deque([*others, run], maxlen=JUDGED_RUNS)
