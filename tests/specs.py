"""Model checking of specifications with minicheck."""

from collections.abc import Callable, Iterator, Mapping
from typing import Any

from attrs import frozen
from minicheck import Protocol, check_safety

MAX_STATES = 1_000_000


@frozen
class CheckResult:
    """Number of reachable states, whether all were explored, and the violated invariants."""

    states: int
    exhaustive: bool
    broken: frozenset[str]


def explore(
    initial: Any,
    steps: Callable[[Any, frozenset[Any]], Iterator[tuple[str, Any]]],
    invariants: Mapping[str, Callable[[Any], bool]],
    guards: frozenset[Any],
    max_states: int = MAX_STATES,
) -> CheckResult:
    """Explore the reachable states under a set of guards and check the invariants."""
    protocol = Protocol(
        name="spec",
        candidate=False,
        fields=("world",),
        initial=(initial,),
        transitions=lambda state: [(label, (after,)) for label, after in steps(state[0], guards)],
        invariants={
            name: (lambda values, check=check: check(values["world"]))
            for name, check in invariants.items()
        },
    )
    result = check_safety(protocol, max_states=max_states)
    broken = [name for name, found in result["properties"].items() if found["holds"] is False]
    return CheckResult(result["reachable_states"], result["exhaustive"], frozenset(broken))
