"""Limit on the runs that an entry stops, so that a slow fleet does not throw all its work away."""

import math
from collections import Counter
from collections.abc import Sequence
from typing import Final

from attrs import define, field

MEMORY_S: Final = 10.0  # time constant with which runs and stops are forgotten
TARGET_FRACTION: Final = 0.5  # of the runs at one target; one that turns slow slows all of them


@define
class FadingCount:
    """A count of events that fades with the time constant MEMORY_S."""

    _value: float = 0.0
    _updated_s: float = 0.0

    def value(self, now_s: float) -> float:
        """Return the count as of now."""
        return self._value * math.exp(-max(0.0, now_s - self._updated_s) / MEMORY_S)

    def add(self, now_s: float) -> None:
        """Count one event."""
        self._value = self.value(now_s) + 1.0
        self._updated_s = now_s


@define
class RunCounts:
    """Runs that have ended, and runs that were stopped."""

    ended: FadingCount = field(factory=FadingCount)
    stopped: FadingCount = field(factory=FadingCount)

    def allow(self, stops: int, fraction: float, now_s: float) -> bool:
        """Return whether some more stops are within a fraction of the runs."""
        return self.stopped.value(now_s) + stops <= fraction * self.ended.value(now_s)


@define(eq=False)
class StopBudget:
    """Counts one entry's runs and stops, in total and at each target."""

    fraction: float
    _total: RunCounts = field(factory=RunCounts)
    _targets: dict[str, RunCounts] = field(factory=dict)

    def record_run(self, target: str, now_s: float) -> None:
        """Count a run that has ended at a target."""
        self._total.ended.add(now_s)
        self._targets.setdefault(target, RunCounts()).ended.add(now_s)

    def allows(self, targets: Sequence[str], now_s: float) -> bool:
        """Return whether one run may be stopped for each item of a list of targets."""
        if not self._total.allow(len(targets), self.fraction, now_s):
            return False
        at_target = max(self.fraction, TARGET_FRACTION)
        return all(
            self._targets.get(name, RunCounts()).allow(stops, at_target, now_s)
            for name, stops in Counter(targets).items()
        )

    def record_stop(self, target: str, now_s: float) -> None:
        """Count a run that is stopped at a target."""
        self._total.stopped.add(now_s)
        self._targets.setdefault(target, RunCounts()).stopped.add(now_s)

    def forget(self, known: set[str]) -> None:
        """Forget the targets that aren't known any more."""
        self._targets = {name: item for name, item in self._targets.items() if name in known}
