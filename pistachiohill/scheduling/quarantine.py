"""Quarantine failing targets, and distinguish faults of a target from faults of a job.

A rule evaluates the recent outcomes of a target. There are three rules, and `is_failing` dispatches
on the class of the rule. A quarantined target gets no tasks for a period that doubles with each
relapse. Afterwards it is on probation and gets a single task at a time until one succeeds.
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
JOB_SUCCESS_TTL_S = 30.0
MAX_JOBS = 2000


@define
class Outcome:
    """Whether a task succeeded at a target, and the boot time at which it ended."""

    ok: bool
    at_s: float


@define
class TargetHealth:
    """Recent outcomes of a target and its quarantine state.

    `failed_windows` counts consecutive time windows in which every outcome was a failure. The
    fields `window_index`, `window_ok` and `window_failed` describe the current window.
    """

    outcomes: deque[Outcome] = field(factory=lambda: deque(maxlen=RATIO_OUTCOMES))
    consecutive_failures: int = 0
    failed_windows: int = 0
    window_index: int = -1
    window_ok: bool = False
    window_failed: bool = False
    next_quarantine_s: float = FIRST_QUARANTINE_S
    on_probation: bool = False


@define
class ConsecutiveFailures:
    """Quarantine a target after a number of consecutive failures."""


@define
class FailureRatio:
    """Quarantine a target if the failure ratio of its recent outcomes is too high."""


@define
class FailedWindows:
    """Quarantine a target after consecutive time windows with failures only."""


@define
class NoQuarantine:
    """Never quarantine a target."""


FailureRule = ConsecutiveFailures | FailureRatio | FailedWindows | NoQuarantine


def make_rule(name: str) -> FailureRule:
    """Create the rule for a value of the `quarantine` setting."""
    classes: dict[QuarantineRule, type[FailureRule]] = {
        QuarantineRule.CONSECUTIVE: ConsecutiveFailures,
        QuarantineRule.RATIO: FailureRatio,
        QuarantineRule.WINDOWS: FailedWindows,
        QuarantineRule.OFF: NoQuarantine,
    }
    return classes[QuarantineRule(name)]()


@singledispatch
def is_failing(rule: FailureRule, health: TargetHealth) -> bool:
    """Return whether the outcomes of a target meet the rule for quarantine."""
    raise NotImplementedError(type(rule).__name__)


@is_failing.register
def _(rule: NoQuarantine, health: TargetHealth) -> bool:
    return False


@is_failing.register
def _(rule: ConsecutiveFailures, health: TargetHealth) -> bool:
    return health.consecutive_failures >= CONSECUTIVE_FAILURES


@is_failing.register
def _(rule: FailureRatio, health: TargetHealth) -> bool:
    if len(health.outcomes) < RATIO_MIN_OUTCOMES:
        return False
    failures = sum(not outcome.ok for outcome in health.outcomes)
    return failures >= RATIO_LIMIT * len(health.outcomes)


@is_failing.register
def _(rule: FailedWindows, health: TargetHealth) -> bool:
    return health.failed_windows >= FAILED_WINDOWS


class Quarantine:
    """Tracks the health of all targets and quarantines failing ones."""

    def __init__(self) -> None:
        """Initialize without any outcomes."""
        self._health: dict[str, TargetHealth] = {}
        self._job_succeeded_at_s: dict[str, float] = {}
        self._job_failed_targets: dict[str, set[str]] = {}

    def remove_target(self, target: str) -> None:
        """Remove the state of a target that has ended."""
        self._health.pop(target, None)

    def probation_limit(self, target: TargetLoad) -> int | None:
        """Return the maximum number of tasks of a target on probation, None if it is not."""
        health = self._health.get(target.name)
        return 1 if health is not None and health.on_probation else None

    def record_success(self, target: TargetLoad, job_path: str, now_s: float) -> None:
        """Record a success, which ends the probation of the target."""
        health = self._health.setdefault(target.name, TargetHealth())
        _record_outcome(health, Outcome(True, now_s))
        if health.on_probation:
            health.on_probation = False
            health.next_quarantine_s = FIRST_QUARANTINE_S
        self._evict_oldest_jobs()
        self._job_succeeded_at_s[job_path] = now_s
        self._job_failed_targets.pop(job_path, None)

    def record_failure(
        self,
        rule: FailureRule,
        target: TargetLoad,
        pool: list[TargetLoad],
        job_path: str,
        now_s: float,
    ) -> bool:
        """Record a failure and return whether it caused the target to be quarantined.

        `pool` contains all targets of the service. At most half of them are quarantined at a time.
        """
        health = self._health.setdefault(target.name, TargetHealth())
        if self._is_job_fault(target.name, job_path, now_s):
            return False
        _record_outcome(health, Outcome(False, now_s))
        failing = is_failing(rule, health) or health.on_probation
        if not failing or now_s < target.quarantined_until_s:
            return False
        others = sum(now_s < other.quarantined_until_s for other in pool)
        if others + 1 > MAX_QUARANTINED_FRACTION * len(pool):
            return False
        target.quarantined_until_s = now_s + health.next_quarantine_s
        quarantine_s = min(2 * health.next_quarantine_s, MAX_QUARANTINE_S)
        self._health[target.name] = TargetHealth(next_quarantine_s=quarantine_s, on_probation=True)
        return True

    def _is_job_fault(self, target: str, job_path: str, now_s: float) -> bool:
        """Return whether a failure is attributed to the job.

        This is so if the job has failed at several targets without a recent success.
        """
        failed_targets = self._job_failed_targets.setdefault(job_path, set())
        failed_targets.add(target)
        recently_succeeded = (
            now_s - self._job_succeeded_at_s.get(job_path, -JOB_SUCCESS_TTL_S) < JOB_SUCCESS_TTL_S
        )
        return len(failed_targets) > 1 and not recently_succeeded

    def _evict_oldest_jobs(self) -> None:
        while len(self._job_succeeded_at_s) >= MAX_JOBS:
            oldest = next(iter(self._job_succeeded_at_s))
            del self._job_succeeded_at_s[oldest]
            self._job_failed_targets.pop(oldest, None)


def _record_outcome(health: TargetHealth, outcome: Outcome) -> None:
    health.outcomes.append(outcome)
    health.consecutive_failures = 0 if outcome.ok else health.consecutive_failures + 1
    index = int(outcome.at_s / WINDOW_S)
    if index != health.window_index:
        _close_window(health, index)
    health.window_ok = health.window_ok or outcome.ok
    health.window_failed = health.window_failed or not outcome.ok
    if outcome.ok:
        health.failed_windows = 0


def _close_window(health: TargetHealth, index: int) -> None:
    """Evaluate the current window and start a new one; windows without outcomes are ignored."""
    if health.window_failed and not health.window_ok:
        health.failed_windows += 1
    health.window_index = index
    health.window_ok = False
    health.window_failed = False
