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
from .models import SLOT_CPU_M, TargetLoad

SIMPLE_POLICY_QUEUE_TASKS = 8  # queued at an agent beyond its target's capacity


@define
class ExpectedCompletion:
    """Choose the target with the earliest expected completion.

    `plan` implements this policy; `choose_target` does not support it.
    """


@define
class LeastOutstanding:
    """Choose the target with the fewest tasks."""


@define
class RoundRobin:
    """Choose the targets in rotation."""

    position: int = 0


@define
class RandomChoice:
    """Choose a target at random."""


SelectionPolicy = ExpectedCompletion | LeastOutstanding | RoundRobin | RandomChoice


def make_policy(name: str) -> SelectionPolicy:
    """Create the policy for a value of the `policy` setting."""
    classes: dict[Policy, type[SelectionPolicy]] = {
        Policy.EXPECTED_COMPLETION: ExpectedCompletion,
        Policy.LEAST_OUTSTANDING: LeastOutstanding,
        Policy.ROUND_ROBIN: RoundRobin,
        Policy.RANDOM: RandomChoice,
    }
    return classes[Policy(name)]()


@singledispatch
def choose_target(policy: SelectionPolicy, candidates: Sequence[TargetLoad]) -> TargetLoad | None:
    """Return one of the candidates, or None if there are none; each must have free capacity."""
    raise NotImplementedError(type(policy).__name__)


@choose_target.register
def _(policy: LeastOutstanding, candidates: Sequence[TargetLoad]) -> TargetLoad | None:
    return min(candidates, key=lambda target: target.task_count, default=None)


@choose_target.register
def _(policy: RoundRobin, candidates: Sequence[TargetLoad]) -> TargetLoad | None:
    if not candidates:
        return None
    policy.position += 1
    return candidates[policy.position % len(candidates)]


@choose_target.register
def _(policy: RandomChoice, candidates: Sequence[TargetLoad]) -> TargetLoad | None:
    return random.choice(candidates) if candidates else None


def simple_policy_capacity(target: TargetLoad) -> int:
    """Return how many more single-slot tasks a simple policy may place at a target."""
    limit = target.cpu_m // SLOT_CPU_M + SIMPLE_POLICY_QUEUE_TASKS
    if target.probation_limit is not None:
        limit = target.probation_limit
    return limit - target.task_count
