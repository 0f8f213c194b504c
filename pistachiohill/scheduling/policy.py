"""Choose a target for a task.

Each policy is a class; `choose` dispatches on it. Every candidate has room, so a policy only ranks.
"""

import random
from collections.abc import Sequence
from functools import singledispatch

from attrs import define

from ..settings.const import Policy
from .models import Placement, TargetLoad

MAX_CANDIDATES = 32


@define
class ExpectedCompletion:
    """The target that is expected to finish the task first, by learned speed and load."""


@define
class LeastOutstanding:
    """The target with the fewest tasks."""


@define
class RoundRobin:
    """The targets in turn."""

    turn: int = 0


@define
class RandomChoice:
    """Any target."""


PolicyObject = ExpectedCompletion | LeastOutstanding | RoundRobin | RandomChoice


def make_policy(name: str) -> PolicyObject:
    """Return the policy of a settings value."""
    classes: dict[Policy, type[PolicyObject]] = {
        Policy.EXPECTED_COMPLETION: ExpectedCompletion,
        Policy.LEAST_OUTSTANDING: LeastOutstanding,
        Policy.ROUND_ROBIN: RoundRobin,
        Policy.RANDOM: RandomChoice,
    }
    return classes[Policy(name)]()


def expected_s(target: TargetLoad, placement: Placement) -> float:
    """Return the expected time until the task ends at a target, waiting included."""
    run_s = placement.run_s * target.factor
    ahead = target.load + 1 - target.slots
    if ahead <= 0:
        return run_s
    return run_s * (1 + ahead / max(1, target.slots))


@singledispatch
def choose(
    policy: PolicyObject, candidates: Sequence[TargetLoad], placement: Placement
) -> TargetLoad | None:
    """Return the target for a task, or None to let the task wait."""
    raise NotImplementedError(type(policy).__name__)


@choose.register
def _(
    policy: ExpectedCompletion, candidates: Sequence[TargetLoad], placement: Placement
) -> TargetLoad | None:
    if not candidates:
        return None
    few = candidates
    if len(candidates) > MAX_CANDIDATES:
        few = random.sample(candidates, MAX_CANDIDATES)
    return min(few, key=lambda target: (expected_s(target, placement), target.load))


@choose.register
def _(
    policy: LeastOutstanding, candidates: Sequence[TargetLoad], placement: Placement
) -> TargetLoad | None:
    return min(candidates, key=lambda target: target.load, default=None)


@choose.register
def _(
    policy: RoundRobin, candidates: Sequence[TargetLoad], placement: Placement
) -> TargetLoad | None:
    if not candidates:
        return None
    policy.turn += 1
    return candidates[policy.turn % len(candidates)]


@choose.register
def _(
    policy: RandomChoice, candidates: Sequence[TargetLoad], placement: Placement
) -> TargetLoad | None:
    return random.choice(candidates) if candidates else None
