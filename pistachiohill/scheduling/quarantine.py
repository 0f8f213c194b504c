"""Set failing targets aside, and tell a target's faults from a job's.

A rule looks at a target's outcomes; three are offered, and `is_failing` dispatches on the rule's
class. A quarantined target gets no task for a time that doubles with each relapse; then a single
task at a time until one succeeds.
"""

from collections import deque
from functools import singledispatch

from attrs import define, field

from ..settings.const import QuarantineRule
from .models import TargetLoad

FIRST_QUARANTINE_S = 4.0
MAX_QUARANTINE_S = 60.0
MAX_QUARANTINED_FRACTION = 0.5
CONSECUTIVE_FAILURES = 3
RATIO_OUTCOMES = 20
RATIO_MIN_OUTCOMES = 6
RATIO_LIMIT = 0.5
WINDOW_S = 0.25
FAILED_WINDOWS = 2
JOB_MEMORY_S = 30.0
MAX_JOBS = 2000


@define
class Outcome:
    """How one task ended at a target, at a boot time."""

    ok: bool
    at_s: float


@define
class Health:
    """A target's recent outcomes and its standing."""

    outcomes: deque[Outcome] = field(factory=lambda: deque(maxlen=RATIO_OUTCOMES))
    failures_in_row: int = 0
    failed_windows: int = 0
    window_index: int = -1
    window_ok: bool = False
    window_failed: bool = False
    next_quarantine_s: float = FIRST_QUARANTINE_S
    on_probation: bool = False


@define
class ConsecutiveFailures:
    """A target fails when its latest outcomes are all failures."""


@define
class FailureRatio:
    """A target fails when too large a part of its latest outcomes are failures."""


@define
class FailedWindows:
    """A target fails when consecutive windows of time hold only failures."""


@define
class NoQuarantine:
    """No target is ever set aside."""


RuleObject = ConsecutiveFailures | FailureRatio | FailedWindows | NoQuarantine


def make_rule(name: str) -> RuleObject:
    """Return the rule of a settings value."""
    classes: dict[QuarantineRule, type[RuleObject]] = {
        QuarantineRule.CONSECUTIVE: ConsecutiveFailures,
        QuarantineRule.RATIO: FailureRatio,
        QuarantineRule.WINDOWS: FailedWindows,
        QuarantineRule.OFF: NoQuarantine,
    }
    return classes[QuarantineRule(name)]()


@singledispatch
def is_failing(rule: RuleObject, health: Health) -> bool:
    """Return whether a target's outcomes call for quarantine."""
    raise NotImplementedError(type(rule).__name__)


@is_failing.register
def _(rule: NoQuarantine, health: Health) -> bool:
    return False


@is_failing.register
def _(rule: ConsecutiveFailures, health: Health) -> bool:
    return health.failures_in_row >= CONSECUTIVE_FAILURES


@is_failing.register
def _(rule: FailureRatio, health: Health) -> bool:
    if len(health.outcomes) < RATIO_MIN_OUTCOMES:
        return False
    failures = sum(not outcome.ok for outcome in health.outcomes)
    return failures >= RATIO_LIMIT * len(health.outcomes)


@is_failing.register
def _(rule: FailedWindows, health: Health) -> bool:
    return health.failed_windows >= FAILED_WINDOWS


class Quarantine:
    """Keeps every target's health and sets failing ones aside."""

    def __init__(self) -> None:
        """Start with no outcome."""
        self._health: dict[str, Health] = {}
        self._job_success_s: dict[str, float] = {}
        self._job_failed_at: dict[str, set[str]] = {}

    def forget(self, target: str) -> None:
        """Forget a target that has ended."""
        self._health.pop(target, None)

    def probation_limit(self, target: TargetLoad) -> int | None:
        """Return how many tasks a target on probation may have, None when it is not."""
        health = self._health.get(target.name)
        return 1 if health is not None and health.on_probation else None

    def succeeded(self, target: TargetLoad, job_path: str, now_s: float) -> None:
        """Note a success, which ends a target's probation."""
        health = self._health.setdefault(target.name, Health())
        _note(health, Outcome(True, now_s))
        if health.on_probation:
            health.on_probation = False
            health.next_quarantine_s = FIRST_QUARANTINE_S
        self._make_room()
        self._job_success_s[job_path] = now_s
        self._job_failed_at.pop(job_path, None)

    def failed(
        self,
        rule: RuleObject,
        target: TargetLoad,
        pool: list[TargetLoad],
        job_path: str,
        now_s: float,
    ) -> bool:
        """Note a failure; return whether the target has just been quarantined."""
        health = self._health.setdefault(target.name, Health())
        if self._is_jobs_fault(target.name, job_path, now_s):
            return False
        _note(health, Outcome(False, now_s))
        failing = is_failing(rule, health) or health.on_probation
        if not failing or now_s < target.quarantined_until_s:
            return False
        others = sum(now_s < other.quarantined_until_s for other in pool)
        if others + 1 > MAX_QUARANTINED_FRACTION * len(pool):
            return False
        target.quarantined_until_s = now_s + health.next_quarantine_s
        quarantine_s = min(2 * health.next_quarantine_s, MAX_QUARANTINE_S)
        self._health[target.name] = Health(next_quarantine_s=quarantine_s, on_probation=True)
        return True

    def _is_jobs_fault(self, target: str, job_path: str, now_s: float) -> bool:
        """Return whether a job fails at several targets and has not succeeded lately."""
        failed_at = self._job_failed_at.setdefault(job_path, set())
        failed_at.add(target)
        recent = now_s - self._job_success_s.get(job_path, -JOB_MEMORY_S) < JOB_MEMORY_S
        return len(failed_at) > 1 and not recent

    def _make_room(self) -> None:
        while len(self._job_success_s) >= MAX_JOBS:
            oldest = next(iter(self._job_success_s))
            del self._job_success_s[oldest]
            self._job_failed_at.pop(oldest, None)


def _note(health: Health, outcome: Outcome) -> None:
    health.outcomes.append(outcome)
    health.failures_in_row = 0 if outcome.ok else health.failures_in_row + 1
    index = int(outcome.at_s / WINDOW_S)
    if index != health.window_index:
        _close_window(health, index)
    health.window_ok = health.window_ok or outcome.ok
    health.window_failed = health.window_failed or not outcome.ok
    if outcome.ok:
        health.failed_windows = 0


def _close_window(health: Health, index: int) -> None:
    """Count the window that has ended; windows without outcomes count for nothing."""
    if health.window_failed and not health.window_ok:
        health.failed_windows += 1
    health.window_index = index
    health.window_ok = False
    health.window_failed = False
