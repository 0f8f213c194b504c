"""Specification of at-most-once starts, small enough for an explicit-state model checker.

It models one submission, its owner, a successor and two agents. The network keeps all start
messages and reports: each may be delivered late, out of order, repeatedly or never. Agents may
restart with an empty start table. The owner may stop at any step, or be suspected while it is
alive. Queries and seals take effect on arrival, which may be at any time or never, so the model
does not store their messages.

| action of the specification | implementation |
| --- | --- |
| place | `entry.dispatcher.Dispatcher._assign`, `_send` |
| start | `agent.runner.TaskRunner.start_tasks`, `agent.start_table.StartTable.admit`, `start` |
| finish | `agent.runner.TaskRunner._async_run`, `StartTable.settle` |
| query | `Dispatcher.link_opened`, `StartTable.query` |
| refused, done | `Dispatcher.tasks_reported` |
| restart | a new `AgentService`, refused by `agent.admission.submission_refusal` |
| notice restart | `Dispatcher.agent_lost` |
| seal | `entry.recovery.Recovery`, `StartTable.seal` |
| successor decides | `submissions.recovery.decide_answer` |
"""

from collections.abc import Iterator
from enum import StrEnum

from attrs import evolve, frozen

AGENTS = 2
ISSUED_OFFSET = 1
ANNOUNCE_OFFSETS = (0, 2)


class Guard(StrEnum):
    """Guard of the protocol; each mutant of the specification omits one of them."""

    ANNOUNCE_OFFSET = "an agent refuses submissions issued before its announcement"
    START_TABLE = "an agent starts a task at most once"
    FENCE = "a query answered `not started` fences the placement"
    SEAL = "an agent starts no task of a submission that it has sealed"
    LOST_IS_UNKNOWN = "a task at a restarted agent may have run"
    ALL_SEALED = "the answer `not run` requires that every agent has sealed"
    INCARNATION = "a seal by a later incarnation does not cover an earlier one"
    LINK = "a link and its messages belong to one incarnation of an agent"
    ATTEMPT = "a report settles only the placement with the same attempt number"


class State(StrEnum):
    """State of a task at an agent or at its owner."""

    UNKNOWN = "unknown"
    FENCED = "fenced"
    RUNNING = "running"
    DONE = "done"
    WAITING = "waiting"
    PLACED = "placed"
    LOST = "lost"


class Answer(StrEnum):
    """Answer that a caller has received."""

    NONE = "none"
    COMPLETE = "complete"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


@frozen
class Bounds:
    """Bounds of the model: tasks, placements per task, and agent restarts."""

    tasks: int
    attempts: int
    restarts: int


@frozen
class TableEntry:
    """Entry of a task in the start table of an agent."""

    state: State = State.UNKNOWN
    attempt: int = 0


@frozen
class AgentState:
    """Incarnation number and start table of an agent, and whether it has sealed the submission."""

    incarnation: int
    table: tuple[TableEntry, ...]
    sealed: bool = False


@frozen
class OwnedTask:
    """Task at its owner, with the agent and the agent incarnation at which it was placed."""

    state: State = State.WAITING
    attempt: int = 0
    agent: int = 0
    incarnation: int = 0


@frozen
class Message:
    """Start message or report, sent on a link to one incarnation of an agent."""

    kind: str
    agent: int
    incarnation: int
    task: int
    attempt: int


@frozen
class SealReply:
    """Start table of an agent at the time at which it sealed the submission."""

    agent: int
    incarnation: int
    table: tuple[TableEntry, ...]


@frozen
class SystemState:
    """State of the whole system; `started` and `finished` are counts per task at the targets."""

    agents: tuple[AgentState, ...]
    tasks: tuple[OwnedTask, ...]
    started: tuple[int, ...]
    finished: tuple[int, ...]
    attempts: int
    restarts_left: int
    network: frozenset[Message] = frozenset()
    owner_alive: bool = True
    owner_answer: Answer = Answer.NONE
    replies: frozenset[SealReply] = frozenset()
    successor_answer: Answer = Answer.NONE


Step = tuple[str, SystemState]


def initial(bounds: Bounds) -> SystemState:
    """Return the initial state, in which the submission identifier has just been issued."""
    agent = AgentState(0, (TableEntry(),) * bounds.tasks)
    return SystemState(
        agents=(agent,) * AGENTS,
        tasks=(OwnedTask(),) * bounds.tasks,
        started=(0,) * bounds.tasks,
        finished=(0,) * bounds.tasks,
        attempts=bounds.attempts,
        restarts_left=bounds.restarts,
    )


def steps(system: SystemState, guards: frozenset[Guard]) -> Iterator[Step]:
    """Yield all successor states, each with a label, under a set of guards."""
    if system.owner_alive and system.owner_answer == Answer.NONE:
        yield from _owner_steps(system, guards)
        yield "owner stops", evolve(system, owner_alive=False)
    if system.successor_answer == Answer.NONE:
        yield from _successor_steps(system, guards)
    for message in system.network:
        label = f"{message.kind} {message.task} #{message.attempt} at {message.agent}"
        if message.kind == "start":
            yield label, _deliver_start(system, message, guards)
        else:
            yield label, _deliver_report(system, message, guards)
    for number, agent in enumerate(system.agents):
        yield from _agent_steps(system, number, agent)


def _owner_steps(system: SystemState, guards: frozenset[Guard]) -> Iterator[Step]:
    for index, task in enumerate(system.tasks):
        if task.state == State.WAITING and task.attempt < system.attempts:
            for agent in range(AGENTS):
                yield f"place {index} at {agent}", _place(system, index, task, agent)
        if task.state == State.PLACED:
            yield f"query {index}", _query(system, index, task, guards)
            if system.agents[task.agent].incarnation > task.incarnation:
                lost = State.LOST if Guard.LOST_IS_UNKNOWN in guards else State.WAITING
                yield f"notice restart {index}", _set_task(system, index, evolve(task, state=lost))
    yield from _owner_answers(system)


def _owner_answers(system: SystemState) -> Iterator[Step]:
    states = {task.state for task in system.tasks}
    if states == {State.DONE}:
        yield "owner: complete", evolve(system, owner_answer=Answer.COMPLETE)
    elif states == {State.WAITING}:
        yield "owner: not run", evolve(system, owner_answer=Answer.NOT_RUN)


def _successor_steps(system: SystemState, guards: frozenset[Guard]) -> Iterator[Step]:
    for number, agent in enumerate(system.agents):
        sealed = _set_agent(system, number, evolve(agent, sealed=True))
        if not agent.sealed:
            yield f"seal {number}, reply lost", sealed
        reply = SealReply(number, agent.incarnation, agent.table)
        yield f"seal {number}", evolve(sealed, replies=system.replies | {reply})
    answer = _decide(system, guards)
    if answer != Answer.MAY_HAVE_RUN:
        yield "successor decides", evolve(system, successor_answer=answer)


def _decide(system: SystemState, guards: frozenset[Guard]) -> Answer:
    states: list[set[State]] = [set() for _ in system.tasks]
    for reply in system.replies:
        for index, entry in enumerate(reply.table):
            states[index].add(entry.state)
    if all(State.DONE in found for found in states):
        return Answer.COMPLETE
    strict = Guard.INCARNATION in guards
    sealed_agents = {
        reply.agent for reply in system.replies if reply.incarnation == 0 or not strict
    }
    all_sealed = len(sealed_agents) == AGENTS or Guard.ALL_SEALED not in guards
    if not all_sealed or any(found & {State.RUNNING, State.DONE} for found in states):
        return Answer.MAY_HAVE_RUN
    return Answer.NOT_RUN


def _agent_steps(system: SystemState, number: int, agent: AgentState) -> Iterator[Step]:
    if agent.incarnation == 0 and system.restarts_left > 0:
        fresh = AgentState(1, (TableEntry(),) * len(agent.table))
        restarted = _set_agent(system, number, fresh)
        yield f"restart {number}", evolve(restarted, restarts_left=system.restarts_left - 1)
    for index, entry in enumerate(agent.table):
        if entry.state == State.RUNNING:
            done = _set_entry(system, number, index, evolve(entry, state=State.DONE))
            done = evolve(done, finished=_increment(done.finished, index))
            yield f"finish {index} at {number}", _report(done, number, index, "done")


def _deliver_start(system: SystemState, message: Message, guards: frozenset[Guard]) -> SystemState:
    agent = system.agents[message.agent]
    if agent.incarnation != message.incarnation and Guard.LINK in guards:
        return system
    entry = agent.table[message.task]
    if entry.state in (State.RUNNING, State.DONE) and Guard.START_TABLE in guards:
        return system
    if entry.state == State.FENCED and entry.attempt >= message.attempt:
        return _report(system, message.agent, message.task, "refused")
    announced = ANNOUNCE_OFFSETS[agent.incarnation] <= ISSUED_OFFSET
    sealed = agent.sealed and Guard.SEAL in guards
    if sealed or (not announced and Guard.ANNOUNCE_OFFSET in guards):
        return _fence(system, message.agent, message.task, message.attempt)
    running = TableEntry(State.RUNNING, message.attempt)
    system = _set_entry(system, message.agent, message.task, running)
    return evolve(system, started=_increment(system.started, message.task))


def _query(
    system: SystemState, index: int, task: OwnedTask, guards: frozenset[Guard]
) -> SystemState:
    agent = system.agents[task.agent]
    if agent.incarnation != task.incarnation:
        return system
    entry = agent.table[index]
    if entry.state == State.DONE:
        return _report(system, task.agent, index, "done")
    if entry.state == State.RUNNING:
        return system
    if entry.state == State.FENCED and entry.attempt >= task.attempt:
        return _report(system, task.agent, index, "refused")
    if Guard.FENCE in guards:
        return _fence(system, task.agent, index, task.attempt)
    refused = Message("refused", task.agent, task.incarnation, index, task.attempt)
    return evolve(system, network=system.network | {refused})


def _deliver_report(system: SystemState, message: Message, guards: frozenset[Guard]) -> SystemState:
    task = system.tasks[message.task]
    placed = task.state == State.PLACED and task.agent == message.agent
    same_link = task.incarnation == message.incarnation or Guard.LINK not in guards
    same_attempt = task.attempt == message.attempt or Guard.ATTEMPT not in guards
    if not (system.owner_alive and placed and same_link and same_attempt):
        return system
    state = State.DONE if message.kind == "done" else State.WAITING
    return _set_task(system, message.task, evolve(task, state=state))


def _place(system: SystemState, index: int, task: OwnedTask, agent: int) -> SystemState:
    incarnation = system.agents[agent].incarnation
    placed = OwnedTask(State.PLACED, task.attempt + 1, agent, incarnation)
    start = Message("start", agent, incarnation, index, placed.attempt)
    system = _set_task(system, index, placed)
    return evolve(system, network=system.network | {start})


def _fence(system: SystemState, number: int, index: int, attempt: int) -> SystemState:
    system = _set_entry(system, number, index, TableEntry(State.FENCED, attempt))
    return _report(system, number, index, "refused")


def _report(system: SystemState, number: int, index: int, kind: str) -> SystemState:
    """Send a report with the attempt of a task in the start table of an agent."""
    agent = system.agents[number]
    message = Message(kind, number, agent.incarnation, index, agent.table[index].attempt)
    return evolve(system, network=system.network | {message})


def _set_task(system: SystemState, index: int, task: OwnedTask) -> SystemState:
    tasks = system.tasks[:index] + (task,) + system.tasks[index + 1 :]
    return evolve(system, tasks=tasks)


def _set_agent(system: SystemState, number: int, agent: AgentState) -> SystemState:
    agents = system.agents[:number] + (agent,) + system.agents[number + 1 :]
    return evolve(system, agents=agents)


def _set_entry(system: SystemState, number: int, index: int, entry: TableEntry) -> SystemState:
    agent = system.agents[number]
    table = agent.table[:index] + (entry,) + agent.table[index + 1 :]
    return _set_agent(system, number, evolve(agent, table=table))


def _increment(counts: tuple[int, ...], index: int) -> tuple[int, ...]:
    return counts[:index] + (counts[index] + 1,) + counts[index + 1 :]


def starts_at_most_once(system: SystemState) -> bool:
    """Return whether no task of the submission has started more than once."""
    return max(system.started) <= 1


def complete_implies_all_finished(system: SystemState) -> bool:
    """Return whether the answer `complete` implies that every task finished exactly once."""
    answers = (system.owner_answer, system.successor_answer)
    return Answer.COMPLETE not in answers or all(count == 1 for count in system.finished)


def not_run_implies_no_start(system: SystemState) -> bool:
    """Return whether the answer `not run` implies that no task starts, before or after it."""
    answers = (system.owner_answer, system.successor_answer)
    return Answer.NOT_RUN not in answers or not any(system.started)


INVARIANTS = {
    "starts_at_most_once": starts_at_most_once,
    "complete_implies_all_finished": complete_implies_all_finished,
    "not_run_implies_no_start": not_run_implies_no_start,
}
