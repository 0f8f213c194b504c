"""Order of service, and the end of waiting, while more arrives than can be served.

Served in order of arrival, each job of an overload waits for those before it, until all of them
miss their latency goals. Jobs that can still meet their goals therefore go first within a priority.
A job that can't is served with the capacity that is left, and refused once its answer would be
useless.

Among the jobs that can, the oldest goes first while waits are short. Once they have used up a good
part of what the goals allow, the oldest would end just before its goal at best, and after it if a
run takes a little longer than expected. The newest then goes first, so that most jobs end well
before their goals, and the jobs that become late are those that would have been late anyway.

    goal 0.25 s, useless after 0.75 s, run time 0.1 s, submitted at 0.0 s
    until 0.15 s: ON_TIME    until 0.65 s: LATE    from then on: USELESS
"""

import math
from enum import IntEnum
from typing import Final

from ..settings.models import JobSettings

MAX_LATENCY_FACTOR: Final = 3.0  # later than three times the latency goal, an answer is useless


class Urgency(IntEnum):
    """Whether a waiting job can still be of use; lower values are served first."""

    ON_TIME = 0
    LATE = 1
    USELESS = 2


# Fraction of the wait that a goal allows, from which the newest job goes first. The rest is left
# for runs that take longer than expected.
LONG_WAIT_FRACTION: Final = 0.4


def is_long_wait(goal_s: float, waited_s: float, run_s: float) -> bool:
    """Return whether a waiting job has used up so much time that newer ones should go first."""
    return waited_s > LONG_WAIT_FRACTION * (goal_s - run_s)


def latency_goal_s(settings: JobSettings, run_s: float) -> float:
    """Return the time from arrival within which a job should end; infinite if it has no goal.

    `run_s` is the expected run time of its longest task.
    """
    if settings.slack_factor <= 0.0:
        return math.inf
    return settings.slack_factor * run_s + settings.target_latency_s


def urgency(goal_s: float, waited_s: float, run_s: float) -> Urgency:
    """Return the urgency of a job whose next task would run for `run_s` if it started now."""
    if waited_s + run_s <= goal_s:
        return Urgency.ON_TIME
    if waited_s + run_s <= MAX_LATENCY_FACTOR * goal_s:
        return Urgency.LATE
    return Urgency.USELESS
