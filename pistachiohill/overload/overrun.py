"""Decides which placed tasks of a job to stop and place elsewhere.

A run at a target that has turned slow is stopped if that changes what its caller gets: an answer in
time in place of a late one, or a late one in place of none. Otherwise its work would be thrown away
for nothing, and its second run would delay other callers. The job's other tasks count, since the
last one to end decides.

    goal in 1.0 s, useless in 3.0 s
    task a ends here in 4.0 s, elsewhere in 0.9 s; task b ends in 0.2 s -> move a
    task a ends here in 4.0 s, elsewhere in 0.9 s; task b ends in 2.0 s -> move a: late, not useless
    task a ends here in 2.5 s, elsewhere in 0.9 s; task b ends in 2.0 s -> none: late either way

The time that a run still takes is extrapolated from the slowdown of its target. A long task at a
sound target is therefore never moved: its target shows no slowdown.
"""

import math
from collections.abc import Sequence
from enum import StrEnum

from attrs import frozen

from ..scheduling.models import PlacedTask, TargetLoad
from ..scheduling.plan import OVERDUE_FRACTION


class MoveCause(StrEnum):
    """Why a task is to run elsewhere."""

    SLOW = "slow"
    LEAVING = "leaving"


@frozen
class Outlook:
    """When a placed task is expected to end, where it is and elsewhere, as boot times.

    `cause` is None if nothing speaks against the present target; `move_end_s` is infinite then.
    """

    index: int
    target: str
    stay_end_s: float
    move_end_s: float = math.inf
    cause: MoveCause | None = None

    @property
    def best_end_s(self) -> float:
        """Return the earlier of the two ends."""
        return min(self.stay_end_s, self.move_end_s)


def move_cause(task: PlacedTask, target: TargetLoad, now_s: float) -> MoveCause | None:
    """Return why a task might end sooner elsewhere, None if its target gives no cause."""
    if expected_end_s(task, target, now_s) > target.leaves_at_s:
        return MoveCause.LEAVING
    return MoveCause.SLOW if target.is_slow else None


def expected_end_s(task: PlacedTask, target: TargetLoad, now_s: float) -> float:
    """Return when a task is expected to end at its target, if the target stays as it is.

    Until the target turned slow, the run progressed as expected.
    """
    run_s = task.end_s - task.start_s
    if not target.is_slow:
        return max(task.end_s, now_s + OVERDUE_FRACTION * run_s)
    slow_from_s = max(task.start_s, target.slow_since_s)
    work_left_s = max(0.0, task.end_s - slow_from_s)
    end_s = slow_from_s + target.slowdown * work_left_s
    return max(end_s, now_s + OVERDUE_FRACTION * target.slowdown * run_s)


def choose_moves(
    outlooks: Sequence[Outlook], goal_at_s: float, useless_at_s: float
) -> list[Outlook]:
    """Return the tasks of a job to move, none if that would not change what its caller gets.

    The job is late after `goal_at_s`; its answer is of no use after `useless_at_s`.
    """
    stay_end_s = max((item.stay_end_s for item in outlooks), default=-math.inf)
    best_end_s = max((item.best_end_s for item in outlooks), default=-math.inf)
    for limit_s in (goal_at_s, useless_at_s):
        if stay_end_s <= limit_s:
            return []
        if best_end_s <= limit_s:
            return [item for item in outlooks if item.stay_end_s > limit_s]
    return []
