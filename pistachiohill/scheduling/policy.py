"""Policies that choose the target for a task.

The default policy plans task placement (see `plan`). The others are simple baselines: they bind a
task at once to a target that has free slots or space in its agent's queue. `choose_target`
dispatches on the class of the policy.
"""

import random
from collections.abc import Sequence
from functools import singledispatch

from attrs import define

from ..settings.const import Policy
from .models import TargetLoad


@define
class ExpectedCompletion:
    """Plan slots by learned run times; stands for the planner and chooses nothing itself."""


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


@singledispatch
def choose_target(policy: PolicyObject, candidates: Sequence[TargetLoad]) -> TargetLoad | None:
    """Return one of the candidates, each of which has room, or None when there is none."""
    raise NotImplementedError(type(policy).__name__)


@choose_target.register
def _(policy: LeastOutstanding, candidates: Sequence[TargetLoad]) -> TargetLoad | None:
    return min(candidates, key=lambda target: target.load, default=None)


@choose_target.register
def _(policy: RoundRobin, candidates: Sequence[TargetLoad]) -> TargetLoad | None:
    if not candidates:
        return None
    policy.turn += 1
    return candidates[policy.turn % len(candidates)]


@choose_target.register
def _(policy: RandomChoice, candidates: Sequence[TargetLoad]) -> TargetLoad | None:
    return random.choice(candidates) if candidates else None
