"""Specification of a view's freshness, and of changes published through the log.

Freshness: a topic, one entry and one agent on a small clock. Reads of the topic and stamps to the
agent may take any time and arrive in any order, which also stands for paused processes. Publishing:
two operators change one node through entries of their own; an append may be carried out late, and
its answer may be lost.

| action of the specification | function of the product |
| --- | --- |
| ask, answer | `consortium.follow.async_follow_topic`, `ConsortiumView.confirm` |
| stamp | `entry.agents.AgentDirectory.view_stamp` |
| deliver stamp | `agent.view.AgentView.merge` |
| start | `agent.runner.TaskRunner._fill`, `AgentView.is_fresh` |
| send, tell, refuse | `consortium.publisher.async_publish` |
| carry out | the store |
| apply | `consortium.state.ConsortiumState.apply` |
"""

from collections.abc import Iterator
from enum import StrEnum

from attrs import evolve, frozen

LAST_TICK = 5
MAX_AGE_TICKS = 1
MAX_APPENDS = 4
MAX_STAMPS = 2


class Guard(StrEnum):
    """A guard of the protocol; a mutant of the specification lacks one."""

    CONFIRM_WHEN_ASKED = "a view is confirmed as of the time its read was sent"
    ECHO = "a stamp's age is counted from the agent's own echoed clock"
    OFFSET_ORDER = "a stamp with a lower offset changes nothing"
    FRESH = "an agent starts nothing on a view past its age"
    AT_END = "a change is appended only at the end that its publisher has applied"
    CHANGE_ID = "a change that stands is not appended again"
    VERSION = "a change is appended only on the version it expects"


class Told(StrEnum):
    """What an operator has heard of its change."""

    NOTHING = "nothing"
    ACCEPTED = "accepted"
    REFUSED = "refused"


@frozen
class Stamp:
    """A view stamp in flight: offset, echoed clock, and age of the view at that echo."""

    offset: int
    echo: int
    age: int


@frozen
class ViewWorld:
    """Clock, log, entry and agent; offset 0 says that the domain is in, offset 1 that it is out."""

    now: int = 0
    out_at: int = -1
    asked_at: int = -1
    answer: int = -1
    entry_offset: int = 0
    entry_confirmed: int = -99
    echo: int = -1
    agent_offset: int = 0
    agent_confirmed: int = -99
    stamps: frozenset[Stamp] = frozenset()
    started_late: bool = False
    fell: bool = False


def view_steps(world: ViewWorld, guards: frozenset[Guard]) -> Iterator[tuple[str, ViewWorld]]:
    """Yield every labelled next state of the freshness specification."""
    if world.now < LAST_TICK:
        yield "tick", evolve(world, now=world.now + 1)
    if world.out_at < 0 and world.now < LAST_TICK - MAX_AGE_TICKS:
        yield "domain out", evolve(world, out_at=world.now)
    yield from _read_steps(world, guards)
    if world.echo < world.now:
        yield "agent clock heard", evolve(world, echo=world.now)
    if world.echo >= 0 and world.entry_confirmed >= 0 and len(world.stamps) < MAX_STAMPS:
        age = max(0, world.echo - world.entry_confirmed)
        stamp = Stamp(world.entry_offset, world.echo, age)
        yield "stamp", evolve(world, stamps=world.stamps | {stamp})
    for stamp in world.stamps:
        yield f"deliver {stamp}", _merge(world, stamp, guards)
    yield from _start_steps(world, guards)


def _read_steps(world: ViewWorld, guards: frozenset[Guard]) -> Iterator[tuple[str, ViewWorld]]:
    offset = 1 if world.out_at >= 0 else 0
    if world.asked_at < 0:
        yield "ask", evolve(world, asked_at=world.now)
    elif world.answer < 0:
        yield "log answers", evolve(world, answer=offset)
    else:
        confirmed = world.asked_at if Guard.CONFIRM_WHEN_ASKED in guards else world.now
        yield (
            "answer arrives",
            evolve(
                world,
                entry_offset=max(world.entry_offset, world.answer),
                entry_confirmed=max(world.entry_confirmed, confirmed),
                asked_at=-1,
                answer=-1,
            ),
        )


def _merge(world: ViewWorld, stamp: Stamp, guards: frozenset[Guard]) -> ViewWorld:
    if stamp.offset < world.agent_offset and Guard.OFFSET_ORDER in guards:
        return world
    fresh = stamp.echo - stamp.age if Guard.ECHO in guards else world.now - stamp.age
    return evolve(
        world,
        agent_offset=stamp.offset,
        agent_confirmed=max(world.agent_confirmed, fresh),
        fell=world.fell or stamp.offset < world.agent_offset,
    )


def _start_steps(world: ViewWorld, guards: frozenset[Guard]) -> Iterator[tuple[str, ViewWorld]]:
    fresh = world.now - world.agent_confirmed <= MAX_AGE_TICKS or Guard.FRESH not in guards
    if not fresh or world.agent_offset > 0:
        return
    late = 0 <= world.out_at < world.now - MAX_AGE_TICKS
    yield "start", evolve(world, started_late=world.started_late or late)


def no_late_start(world: ViewWorld) -> bool:
    """Return whether no task starts later than the allowed age after its domain was taken out."""
    return not world.started_late


def offset_never_falls(world: ViewWorld) -> bool:
    """Return whether the agent's applied offset has never fallen."""
    return not world.fell


VIEW_INVARIANTS = {"no_late_start": no_late_start, "offset_never_falls": offset_never_falls}


@frozen
class Append:
    """An append under way: the operator's number and the end at which it may take place."""

    operator: int
    at: int


@frozen
class LogWorld:
    """A topic of changes by two operators; a record is the operator's number.

    Operator 0 expects the first version, operator 1 any version. Each publishes through an entry of
    its own, which has applied the topic up to `applied`. An append may be carried out at any time
    after it was sent, many times or never, and its answer may be lost. `told` is what an operator
    heard: nothing, that its change stands, or that another one won.
    """

    log: tuple[int, ...] = ()
    applied: tuple[int, int] = (0, 0)
    sent: frozenset[Append] = frozenset()
    told: tuple[Told, Told] = (Told.NOTHING, Told.NOTHING)


def log_steps(world: LogWorld, guards: frozenset[Guard]) -> Iterator[tuple[str, LogWorld]]:
    """Yield every labelled next state of the publishing specification."""
    for operator in (0, 1):
        if world.applied[operator] < len(world.log):
            yield f"apply at {operator}", _set_applied(world, operator)
        if world.told[operator] == Told.NOTHING:
            yield from _publish_steps(world, operator, guards)
    for append in world.sent:
        in_place = append.at == len(world.log) or Guard.AT_END not in guards
        if in_place and len(world.log) < MAX_APPENDS:
            yield f"carry out {append}", evolve(world, log=(*world.log, append.operator))


def _publish_steps(
    world: LogWorld, operator: int, guards: frozenset[Guard]
) -> Iterator[tuple[str, LogWorld]]:
    """Yield what an operator's entry may do next about its change."""
    seen = world.log[: world.applied[operator]]
    if operator in seen and Guard.CHANGE_ID in guards:
        yield f"tell {operator}", _tell(world, operator, Told.ACCEPTED)
    elif operator == 0 and seen and Guard.VERSION in guards:
        yield "refuse 0", _tell(world, 0, Told.REFUSED)
    else:
        append = Append(operator, world.applied[operator])
        yield f"send {append}", evolve(world, sent=world.sent | {append})


def _set_applied(world: LogWorld, operator: int) -> LogWorld:
    applied = list(world.applied)
    applied[operator] += 1
    return evolve(world, applied=(applied[0], applied[1]))


def _tell(world: LogWorld, operator: int, told: Told) -> LogWorld:
    heard = list(world.told)
    heard[operator] = told
    return evolve(world, told=(heard[0], heard[1]))


def change_takes_effect_once(world: LogWorld) -> bool:
    """Return whether no change stands twice."""
    return max(world.log.count(operator) for operator in (0, 1)) <= 1


def later_change_stays(world: LogWorld) -> bool:
    """Return whether no change made on the first version has replaced a later one."""
    return 0 not in world.log[1:]


def operators_hear_the_truth(world: LogWorld) -> bool:
    """Return whether an accepted change stands and a refused one does not."""
    return all(
        (operator in world.log) == (told == Told.ACCEPTED)
        for operator, told in enumerate(world.told)
        if told != Told.NOTHING
    )


LOG_INVARIANTS = {
    "change_takes_effect_once": change_takes_effect_once,
    "later_change_stays": later_change_stays,
    "operators_hear_the_truth": operators_hear_the_truth,
}
