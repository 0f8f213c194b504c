"""Specification of a view's freshness, and of changes published through the log.

The freshness specification has one topic, one entry, one agent and a clock of a few ticks. Reads of
the topic and stamps sent to the agent may take any time and arrive in any order, which also models
paused processes. In the publishing specification, two operators change the same node, each through
its own entry; an append may be executed late, and its reply may be lost.

| action of the specification | function of the product |
| --- | --- |
| read, receive reply | `consortium.follow.async_follow_topic`, `ConsortiumView.confirm` |
| stamp | `entry.agents.AgentDirectory.view_stamp` |
| deliver stamp | `agent.view.AgentView.merge` |
| start | `agent.runner.TaskRunner._fill`, `AgentView.is_fresh` |
| send, report, refuse | `consortium.publisher.async_publish` |
| execute | the store |
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
    """A guard of the protocol; each mutant of the specification omits one."""

    CONFIRM_AS_OF_REQUEST = "a view is confirmed as of the time its read was sent"
    ECHOED_CLOCK = "a stamp's age is counted from the agent's own echoed clock"
    OFFSET_ORDER = "a stamp with a lower offset changes nothing"
    FRESH_VIEW = "an agent starts no task on a view older than the maximum age"
    APPEND_AT_END = "a change is appended only at the end offset that its publisher has applied"
    CHANGE_ID = "a change that was already applied is not appended again"
    EXPECTED_VERSION = "a change is appended only if the node has its expected version"


class ReportedResult(StrEnum):
    """The result reported to an operator about its change."""

    NONE = "none"
    ACCEPTED = "accepted"
    REFUSED = "refused"


@frozen
class Stamp:
    """A view stamp in flight: offset, echoed clock, and age of the view at that echo."""

    offset: int
    echo: int
    age: int


@frozen
class ViewState:
    """State of the clock, the log, the entry and the agent.

    At offset 0 the failure domain is in service, at offset 1 it is out of service.
    """

    now: int = 0
    domain_out_at: int = -1
    read_sent_at: int = -1
    read_reply: int = -1
    entry_offset: int = 0
    entry_confirmed_at: int = -99
    echo: int = -1
    agent_offset: int = 0
    agent_confirmed_at: int = -99
    stamps: frozenset[Stamp] = frozenset()
    started_late: bool = False
    offset_decreased: bool = False


def view_steps(state: ViewState, guards: frozenset[Guard]) -> Iterator[tuple[str, ViewState]]:
    """Yield every labelled next state of the freshness specification."""
    if state.now < LAST_TICK:
        yield "tick", evolve(state, now=state.now + 1)
    if state.domain_out_at < 0 and state.now < LAST_TICK - MAX_AGE_TICKS:
        yield "domain out", evolve(state, domain_out_at=state.now)
    yield from _read_steps(state, guards)
    if state.echo < state.now:
        yield "receive agent clock", evolve(state, echo=state.now)
    if state.echo >= 0 and state.entry_confirmed_at >= 0 and len(state.stamps) < MAX_STAMPS:
        age = max(0, state.echo - state.entry_confirmed_at)
        stamp = Stamp(state.entry_offset, state.echo, age)
        yield "stamp", evolve(state, stamps=state.stamps | {stamp})
    for stamp in state.stamps:
        yield f"deliver {stamp}", _merge(state, stamp, guards)
    yield from _start_steps(state, guards)


def _read_steps(state: ViewState, guards: frozenset[Guard]) -> Iterator[tuple[str, ViewState]]:
    offset = 1 if state.domain_out_at >= 0 else 0
    if state.read_sent_at < 0:
        yield "read", evolve(state, read_sent_at=state.now)
    elif state.read_reply < 0:
        yield "log replies", evolve(state, read_reply=offset)
    else:
        confirmed_at = state.read_sent_at if Guard.CONFIRM_AS_OF_REQUEST in guards else state.now
        yield (
            "receive reply",
            evolve(
                state,
                entry_offset=max(state.entry_offset, state.read_reply),
                entry_confirmed_at=max(state.entry_confirmed_at, confirmed_at),
                read_sent_at=-1,
                read_reply=-1,
            ),
        )


def _merge(state: ViewState, stamp: Stamp, guards: frozenset[Guard]) -> ViewState:
    if stamp.offset < state.agent_offset and Guard.OFFSET_ORDER in guards:
        return state
    confirmed_at = stamp.echo - stamp.age if Guard.ECHOED_CLOCK in guards else state.now - stamp.age
    return evolve(
        state,
        agent_offset=stamp.offset,
        agent_confirmed_at=max(state.agent_confirmed_at, confirmed_at),
        offset_decreased=state.offset_decreased or stamp.offset < state.agent_offset,
    )


def _start_steps(state: ViewState, guards: frozenset[Guard]) -> Iterator[tuple[str, ViewState]]:
    fresh = state.now - state.agent_confirmed_at <= MAX_AGE_TICKS or Guard.FRESH_VIEW not in guards
    if not fresh or state.agent_offset > 0:
        return
    late = 0 <= state.domain_out_at < state.now - MAX_AGE_TICKS
    yield "start", evolve(state, started_late=state.started_late or late)


def no_late_start(state: ViewState) -> bool:
    """Return whether no task started after its domain was out for longer than the maximum age."""
    return not state.started_late


def offset_never_decreases(state: ViewState) -> bool:
    """Return whether the agent's applied offset has never decreased."""
    return not state.offset_decreased


VIEW_INVARIANTS = {"no_late_start": no_late_start, "offset_never_decreases": offset_never_decreases}


@frozen
class Append:
    """An append in flight: the operator's number and the end offset that the append requires."""

    operator: int
    at: int


@frozen
class LogState:
    """A topic of changes by two operators; a record is the operator's number.

    Operator 0 expects the first version, operator 1 any version. Each publishes through its own
    entry, which has applied the topic up to `applied`. An append may execute at any time after it
    was sent, many times or never, and its reply may be lost. `reported` is the result that each
    operator received: none, that its change was accepted, or that it was refused because another
    change came first.
    """

    log: tuple[int, ...] = ()
    applied: tuple[int, int] = (0, 0)
    sent: frozenset[Append] = frozenset()
    reported: tuple[ReportedResult, ReportedResult] = (ReportedResult.NONE, ReportedResult.NONE)


def log_steps(state: LogState, guards: frozenset[Guard]) -> Iterator[tuple[str, LogState]]:
    """Yield every labelled next state of the publishing specification."""
    for operator in (0, 1):
        if state.applied[operator] < len(state.log):
            yield f"apply at {operator}", _set_applied(state, operator)
        if state.reported[operator] == ReportedResult.NONE:
            yield from _publish_steps(state, operator, guards)
    for append in state.sent:
        appendable = append.at == len(state.log) or Guard.APPEND_AT_END not in guards
        if appendable and len(state.log) < MAX_APPENDS:
            yield f"execute {append}", evolve(state, log=(*state.log, append.operator))


def _publish_steps(
    state: LogState, operator: int, guards: frozenset[Guard]
) -> Iterator[tuple[str, LogState]]:
    """Yield the next steps that an operator's entry may take for its change."""
    seen = state.log[: state.applied[operator]]
    if operator in seen and Guard.CHANGE_ID in guards:
        yield f"report {operator}", _report(state, operator, ReportedResult.ACCEPTED)
    elif operator == 0 and seen and Guard.EXPECTED_VERSION in guards:
        yield "refuse 0", _report(state, 0, ReportedResult.REFUSED)
    else:
        append = Append(operator, state.applied[operator])
        yield f"send {append}", evolve(state, sent=state.sent | {append})


def _set_applied(state: LogState, operator: int) -> LogState:
    applied = list(state.applied)
    applied[operator] += 1
    return evolve(state, applied=(applied[0], applied[1]))


def _report(state: LogState, operator: int, reported: ReportedResult) -> LogState:
    results = list(state.reported)
    results[operator] = reported
    return evolve(state, reported=(results[0], results[1]))


def change_takes_effect_once(state: LogState) -> bool:
    """Return whether no change was appended twice."""
    return max(state.log.count(operator) for operator in (0, 1)) <= 1


def later_change_stays(state: LogState) -> bool:
    """Return whether no change that expects the first version has replaced a later one."""
    return 0 not in state.log[1:]


def reported_results_are_true(state: LogState) -> bool:
    """Return whether changes reported as accepted are in the log, and refused ones are not."""
    return all(
        (operator in state.log) == (reported == ReportedResult.ACCEPTED)
        for operator, reported in enumerate(state.reported)
        if reported != ReportedResult.NONE
    )


LOG_INVARIANTS = {
    "change_takes_effect_once": change_takes_effect_once,
    "later_change_stays": later_change_stays,
    "reported_results_are_true": reported_results_are_true,
}
