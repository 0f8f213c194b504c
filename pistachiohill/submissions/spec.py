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
| restart | a new `AgentService`, refused by `agent.admission.refuse_submission` |
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
class World:
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


Step = tuple[str, World]


def initial(bounds: Bounds) -> World:
    """Return the initial state, in which the submission identifier has just been issued."""
    agent = AgentState(0, (TableEntry(),) * bounds.tasks)
    return World(
        agents=(agent,) * AGENTS,
        tasks=(OwnedTask(),) * bounds.tasks,
        started=(0,) * bounds.tasks,
        finished=(0,) * bounds.tasks,
        attempts=bounds.attempts,
        restarts_left=bounds.restarts,
    )


def steps(world: World, guards: frozenset[Guard]) -> Iterator[Step]:
    """Yield all successor states, each with a label, under a set of guards."""
    if world.owner_alive and world.owner_answer == Answer.NONE:
        yield from _owner_steps(world, guards)
        yield "owner stops", evolve(world, owner_alive=False)
    if world.successor_answer == Answer.NONE:
        yield from _successor_steps(world, guards)
    for message in world.network:
        label = f"{message.kind} {message.task} #{message.attempt} at {message.agent}"
        if message.kind == "start":
            yield label, _deliver_start(world, message, guards)
        else:
            yield label, _deliver_report(world, message, guards)
    for number, agent in enumerate(world.agents):
        yield from _agent_steps(world, number, agent)


def _owner_steps(world: World, guards: frozenset[Guard]) -> Iterator[Step]:
    for index, task in enumerate(world.tasks):
        if task.state == State.WAITING and task.attempt < world.attempts:
            for agent in range(AGENTS):
                yield f"place {index} at {agent}", _place(world, index, task, agent)
        if task.state == State.PLACED:
            yield f"query {index}", _query(world, index, task, guards)
            if world.agents[task.agent].incarnation > task.incarnation:
                lost = State.LOST if Guard.LOST_IS_UNKNOWN in guards else State.WAITING
                yield f"notice restart {index}", _set_task(world, index, evolve(task, state=lost))
    yield from _owner_answers(world)


def _owner_answers(world: World) -> Iterator[Step]:
    states = {task.state for task in world.tasks}
    if states == {State.DONE}:
        yield "owner: complete", evolve(world, owner_answer=Answer.COMPLETE)
    elif states == {State.WAITING}:
        yield "owner: not run", evolve(world, owner_answer=Answer.NOT_RUN)


def _successor_steps(world: World, guards: frozenset[Guard]) -> Iterator[Step]:
    for number, agent in enumerate(world.agents):
        sealed = _set_agent(world, number, evolve(agent, sealed=True))
        if not agent.sealed:
            yield f"seal {number}, reply lost", sealed
        reply = SealReply(number, agent.incarnation, agent.table)
        yield f"seal {number}", evolve(sealed, replies=world.replies | {reply})
    answer = _decide(world, guards)
    if answer != Answer.MAY_HAVE_RUN:
        yield "successor decides", evolve(world, successor_answer=answer)


def _decide(world: World, guards: frozenset[Guard]) -> Answer:
    states: list[set[State]] = [set() for _ in world.tasks]
    for reply in world.replies:
        for index, entry in enumerate(reply.table):
            states[index].add(entry.state)
    if all(State.DONE in found for found in states):
        return Answer.COMPLETE
    strict = Guard.INCARNATION in guards
    first = {reply.agent for reply in world.replies if reply.incarnation == 0 or not strict}
    all_sealed = len(first) == AGENTS or Guard.ALL_SEALED not in guards
    if not all_sealed or any(found & {State.RUNNING, State.DONE} for found in states):
        return Answer.MAY_HAVE_RUN
    return Answer.NOT_RUN


def _agent_steps(world: World, number: int, agent: AgentState) -> Iterator[Step]:
    if agent.incarnation == 0 and world.restarts_left > 0:
        fresh = AgentState(1, (TableEntry(),) * len(agent.table))
        restarted = _set_agent(world, number, fresh)
        yield f"restart {number}", evolve(restarted, restarts_left=world.restarts_left - 1)
    for index, entry in enumerate(agent.table):
        if entry.state == State.RUNNING:
            done = _set_entry(world, number, index, evolve(entry, state=State.DONE))
            done = evolve(done, finished=_add(done.finished, index))
            yield f"finish {index} at {number}", _report(done, number, index, "done")


def _deliver_start(world: World, message: Message, guards: frozenset[Guard]) -> World:
    agent = world.agents[message.agent]
    if agent.incarnation != message.incarnation and Guard.LINK in guards:
        return world
    entry = agent.table[message.task]
    if entry.state in (State.RUNNING, State.DONE) and Guard.START_TABLE in guards:
        return world
    if entry.state == State.FENCED and entry.attempt >= message.attempt:
        return _report(world, message.agent, message.task, "refused")
    announced = ANNOUNCE_OFFSETS[agent.incarnation] <= ISSUED_OFFSET
    sealed = agent.sealed and Guard.SEAL in guards
    if sealed or (not announced and Guard.ANNOUNCE_OFFSET in guards):
        return _fence(world, message.agent, message.task, message.attempt)
    running = TableEntry(State.RUNNING, message.attempt)
    world = _set_entry(world, message.agent, message.task, running)
    return evolve(world, started=_add(world.started, message.task))


def _query(world: World, index: int, task: OwnedTask, guards: frozenset[Guard]) -> World:
    agent = world.agents[task.agent]
    if agent.incarnation != task.incarnation:
        return world
    entry = agent.table[index]
    if entry.state == State.DONE:
        return _report(world, task.agent, index, "done")
    if entry.state == State.RUNNING:
        return world
    if entry.state == State.FENCED and entry.attempt >= task.attempt:
        return _report(world, task.agent, index, "refused")
    if Guard.FENCE in guards:
        return _fence(world, task.agent, index, task.attempt)
    refused = Message("refused", task.agent, task.incarnation, index, task.attempt)
    return evolve(world, network=world.network | {refused})


def _deliver_report(world: World, message: Message, guards: frozenset[Guard]) -> World:
    task = world.tasks[message.task]
    placed = task.state == State.PLACED and task.agent == message.agent
    same_link = task.incarnation == message.incarnation or Guard.LINK not in guards
    same_attempt = task.attempt == message.attempt or Guard.ATTEMPT not in guards
    if not (world.owner_alive and placed and same_link and same_attempt):
        return world
    state = State.DONE if message.kind == "done" else State.WAITING
    return _set_task(world, message.task, evolve(task, state=state))


def _place(world: World, index: int, task: OwnedTask, agent: int) -> World:
    incarnation = world.agents[agent].incarnation
    placed = OwnedTask(State.PLACED, task.attempt + 1, agent, incarnation)
    start = Message("start", agent, incarnation, index, placed.attempt)
    world = _set_task(world, index, placed)
    return evolve(world, network=world.network | {start})


def _fence(world: World, number: int, index: int, attempt: int) -> World:
    world = _set_entry(world, number, index, TableEntry(State.FENCED, attempt))
    return _report(world, number, index, "refused")


def _report(world: World, number: int, index: int, kind: str) -> World:
    """Send a report with the attempt of a task in the start table of an agent."""
    agent = world.agents[number]
    message = Message(kind, number, agent.incarnation, index, agent.table[index].attempt)
    return evolve(world, network=world.network | {message})


def _set_task(world: World, index: int, task: OwnedTask) -> World:
    tasks = world.tasks[:index] + (task,) + world.tasks[index + 1 :]
    return evolve(world, tasks=tasks)


def _set_agent(world: World, number: int, agent: AgentState) -> World:
    agents = world.agents[:number] + (agent,) + world.agents[number + 1 :]
    return evolve(world, agents=agents)


def _set_entry(world: World, number: int, index: int, entry: TableEntry) -> World:
    agent = world.agents[number]
    table = agent.table[:index] + (entry,) + agent.table[index + 1 :]
    return _set_agent(world, number, evolve(agent, table=table))


def _add(counts: tuple[int, ...], index: int) -> tuple[int, ...]:
    return counts[:index] + (counts[index] + 1,) + counts[index + 1 :]


def no_second_start(world: World) -> bool:
    """Return whether no task of the submission has started more than once."""
    return max(world.started) <= 1


def complete_is_whole(world: World) -> bool:
    """Return whether the answer `complete` implies that every task finished exactly once."""
    answers = (world.owner_answer, world.successor_answer)
    return Answer.COMPLETE not in answers or all(count == 1 for count in world.finished)


def not_run_is_true(world: World) -> bool:
    """Return whether the answer `not run` implies that no task starts, before or after it."""
    answers = (world.owner_answer, world.successor_answer)
    return Answer.NOT_RUN not in answers or not any(world.started)


INVARIANTS = {
    "no_second_start": no_second_start,
    "complete_is_whole": complete_is_whole,
    "not_run_is_true": not_run_is_true,
}
