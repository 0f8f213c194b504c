"""The entry's knowledge of agents: one task for each agent keeps a link to it."""

import random
from collections.abc import Callable
from functools import singledispatchmethod

import trio
from attrs import define, field
from websockets.trio.client import connect

from .. import clock, logs
from ..consortium.const import NO_OFFSET
from ..consortium.state import ConsortiumState
from ..consortium.view import ConsortiumView
from ..const import PROTOCOL_VERSION
from ..protocol.errors import HandshakeError
from ..protocol.link import (
    CONNECT_ERRORS,
    WEBSOCKET_OPTIONS,
    Link,
    LinkCounters,
    async_send_hello,
    first_error,
    was_refused,
)
from ..protocol.models import (
    AgentState,
    Freshness,
    FreshnessRequest,
    Hello,
    Message,
    ProcessRecord,
    SealReply,
    TaskReports,
    ViewStamp,
)
from ..scheduling.models import TargetLoad
from ..settings.const import ROOT_PATH
from ..submissions.models import Submission, Task
from .const import (
    IDLE_SILENCE_S,
    IDLE_WATCH_S,
    RECONNECT_MAX_S,
    RECONNECT_MIN_S,
    REFUSED_CONNECTS_UNTIL_LOST,
)


@define(eq=False)
class Agent:
    """One agent incarnation as this entry knows it.

    `echo_s` is the agent's latest boot time heard of, `echoed_at_s` when it was heard here.
    `asked` is set from a question, at `asked_at_s`, until anything is heard.
    """

    process: ProcessRecord
    load: TargetLoad
    link: Link | None = None
    service: str = ""
    accepting: bool = False
    announce_offset: int = NO_OFFSET
    applied_offset: int = NO_OFFSET
    view_age_s: float = 0.0
    echo_s: float = -1.0
    echoed_at_s: float = 0.0
    lost: bool = False
    asked: bool = False
    asked_at_s: float = 0.0
    outstanding: dict[tuple[str, int], tuple[Submission, Task]] = field(factory=dict)

    @property
    def incarnation(self) -> str:
        """Return the agent's incarnation."""
        return self.process.incarnation

    def heard(self, stamp_s: float, now_s: float) -> None:
        """Note the agent's clock, to be echoed in view stamps."""
        self.echo_s = stamp_s
        self.echoed_at_s = now_s


class AgentEvents:
    """What the rest of the entry wants to hear of agents; the dispatcher implements it."""

    def agent_attached(self, agent: Agent, now_s: float) -> None:
        """React to a link that has just opened."""
        raise NotImplementedError

    def agent_changed(self, agent: Agent, now_s: float) -> None:
        """React to a change of an agent's capacity."""
        raise NotImplementedError

    def agent_lost(self, agent: Agent, now_s: float) -> None:
        """React to an incarnation that is known to have ended."""
        raise NotImplementedError

    def tasks_reported(self, agent: Agent, message: TaskReports, now_s: float) -> None:
        """React to settled tasks."""
        raise NotImplementedError

    def seal_replied(self, agent: Agent, message: SealReply, now_s: float) -> None:
        """React to an agent's answer to a seal."""
        raise NotImplementedError


class AgentDirectory:
    """All agents of the consortium and the links to them."""

    def __init__(
        self,
        incarnation: str,
        secret: str,
        silence_s: float,
        view: ConsortiumView,
        view_confirmed_at: Callable[[float], float],
    ) -> None:
        """Start with no agent.

        `view_confirmed_at` returns, for a boot time, the boot time as of which the view holds.
        """
        self.agents: dict[str, Agent] = {}
        self.counters = LinkCounters()
        self._incarnation = incarnation
        self._secret = secret
        self._silence_s = silence_s
        self._view = view
        self._view_confirmed_at = view_confirmed_at

    def stamp(self, agent: Agent, now_s: float) -> ViewStamp:
        """Return the view stamp for an agent."""
        state = self._view.state
        age_s = agent.echoed_at_s - self._view_confirmed_at(now_s)
        return ViewStamp(
            offset=state.offset,
            echo_s=agent.echo_s,
            age_s=min(max(0.0, age_s), 1e9),
            domain_out=state.domain_is_out(agent.process.domain),
            max_age_s=state.settings(ROOT_PATH).view_max_age_s,
        )

    async def async_run(self, events: AgentEvents) -> None:
        """Keep a link to every announced agent for as long as the process runs."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._async_watch)
            domains: dict[str, bool] = {}
            while True:
                state = self._view.state
                for process in _live_agents(state):
                    if process.incarnation not in self.agents:
                        agent = Agent(process, TargetLoad(process.incarnation, process.domain))
                        agent.announce_offset = process.announce_offset
                        self.agents[process.incarnation] = agent
                        nursery.start_soon(self._async_keep_link, agent, events)
                self._end_agents(state, events)
                domains = self._tell_domains(state, domains, events)
                await self._view.async_changed()

    def _end_agents(self, state: ConsortiumState, events: AgentEvents) -> None:
        for agent in list(self.agents.values()):
            process = state.processes.get(agent.incarnation)
            if process is None or process.ended_offset != NO_OFFSET:
                self._lose(agent, events, "ended")

    def _tell_domains(
        self, state: ConsortiumState, before: dict[str, bool], events: AgentEvents
    ) -> dict[str, bool]:
        """Send a stamp at once to the agents whose domain went out or came back."""
        after = {name: record.out for name, record in state.domains.items()}
        now_s = clock.boot_s()
        for agent in self.agents.values():
            domain = agent.process.domain
            if before.get(domain, False) == after.get(domain, False):
                continue
            if not after.get(domain, False):
                agent.load.ramp_from_s = now_s
            if agent.link is not None:
                agent.link.send(Freshness(self.stamp(agent, now_s)))
            events.agent_changed(agent, now_s)
        return after

    def _lose(self, agent: Agent, events: AgentEvents, why: str) -> None:
        if agent.lost:
            return
        agent.lost = True
        self.agents.pop(agent.incarnation, None)
        if agent.link is not None:
            agent.link.close()
        logs.event("agent_lost", agent=agent.incarnation, why=why, tasks=len(agent.outstanding))
        events.agent_lost(agent, clock.boot_s())

    async def _async_keep_link(self, agent: Agent, events: AgentEvents) -> None:
        pause_s = RECONNECT_MIN_S
        refused = 0
        while not agent.lost:
            opened_s = clock.boot_s()
            try:
                await self._async_link(agent, events)
                refused = 0
            except HandshakeError as err:
                logs.warning("agent_refused_link", agent=agent.incarnation, detail=err)
                if "wrong incarnation" in str(err):
                    self._lose(agent, events, "replaced")
                    return
            except CONNECT_ERRORS as err:
                refused = refused + 1 if was_refused(err) else 0
                logs.event("agent_unreachable", agent=agent.incarnation, detail=repr(err))
            agent.link = None
            agent.accepting = False
            if refused == REFUSED_CONNECTS_UNTIL_LOST and agent.outstanding:
                events.agent_lost(agent, clock.boot_s())
            if clock.boot_s() - opened_s > RECONNECT_MAX_S:
                pause_s = RECONNECT_MIN_S
            await trio.sleep(pause_s * random.uniform(0.7, 1.0))
            pause_s = min(pause_s * 2, RECONNECT_MAX_S)

    async def _async_link(self, agent: Agent, events: AgentEvents) -> None:
        uri = f"ws://{agent.process.host}:{agent.process.port}/"
        try:
            async with connect(uri, **WEBSOCKET_OPTIONS) as connection:  # type: ignore[arg-type]
                now_s = clock.boot_s()
                hello = Hello(
                    PROTOCOL_VERSION, self._incarnation, agent.incarnation, self._secret, now_s
                )
                reply = await async_send_hello(connection, hello)
                if reply.incarnation != agent.incarnation:
                    raise HandshakeError("wrong incarnation")
                now_s = clock.boot_s()
                link = Link(connection, agent.incarnation, now_s, self.counters)
                agent.announce_offset = max(agent.announce_offset, reply.announce_offset)
                agent.heard(reply.stamp_s, now_s)
                agent.link = link
                link.send(Freshness(self.stamp(agent, now_s)))
                events.agent_attached(agent, now_s)
                agent.asked = False
                await link.async_run(
                    lambda message, now_s: self._handle(message, agent, events, now_s),
                    clock.boot_s,
                )
        except BaseExceptionGroup as group:
            raise first_error(group) from group

    async def _async_watch(self) -> None:
        """Look for silent links: often where tasks are outstanding, rarely elsewhere.

        One task watches all links, since a timer for each would cost an idle entry most of its
        processor time.
        """
        idle_due_s = 0.0
        while True:
            await trio.sleep(self._silence_s / 4)
            now_s = clock.boot_s()
            idle_due = now_s >= idle_due_s
            if idle_due:
                idle_due_s = now_s + IDLE_WATCH_S
            for agent in list(self.agents.values()):
                if agent.link is not None and (agent.outstanding or idle_due or agent.asked):
                    self._check_silence(agent, agent.link, now_s)

    def _check_silence(self, agent: Agent, link: Link, now_s: float) -> None:
        """Close a link that does not answer, so that a new one is opened and asked.

        A link that was merely idle is asked first; only silence after a question counts.
        """
        if agent.asked and link.heard_at_s >= agent.asked_at_s:
            agent.asked = False
        if agent.asked and now_s - agent.asked_at_s >= self._silence_s:
            silent_s = now_s - link.heard_at_s
            logs.warning("link_silent", agent=agent.incarnation, silent_s=silent_s)
            link.close()
            return
        limit_s = self._silence_s if agent.outstanding else IDLE_SILENCE_S
        if now_s - link.heard_at_s >= limit_s and not agent.asked:
            agent.asked = True
            agent.asked_at_s = now_s
            link.send(FreshnessRequest(now_s))

    @singledispatchmethod
    def _handle(self, message: Message, agent: Agent, events: AgentEvents, now_s: float) -> None:
        logs.warning("message_unexpected", type=type(message).__name__, peer=agent.incarnation)

    @_handle.register
    def _(self, message: AgentState, agent: Agent, events: AgentEvents, now_s: float) -> None:
        agent.heard(message.stamp_s, now_s)
        agent.service = message.service
        agent.load.slots = message.slots
        agent.load.others = max(0, message.occupied - len(agent.outstanding))
        if message.accepting and not agent.accepting:
            logs.event("agent_accepting", agent=agent.incarnation, service=agent.service)
        agent.accepting = message.accepting
        agent.announce_offset = max(agent.announce_offset, message.announce_offset)
        agent.applied_offset = message.applied_offset
        agent.view_age_s = message.view_age_s
        events.agent_changed(agent, now_s)

    @_handle.register
    def _(self, message: TaskReports, agent: Agent, events: AgentEvents, now_s: float) -> None:
        agent.heard(message.stamp_s, now_s)
        events.tasks_reported(agent, message, now_s)

    @_handle.register
    def _(self, message: FreshnessRequest, agent: Agent, events: AgentEvents, now_s: float) -> None:
        agent.heard(message.stamp_s, now_s)
        if agent.link is not None:
            agent.link.send(Freshness(self.stamp(agent, now_s)))

    @_handle.register
    def _(self, message: SealReply, agent: Agent, events: AgentEvents, now_s: float) -> None:
        events.seal_replied(agent, message, now_s)


def _live_agents(state: ConsortiumState) -> list[ProcessRecord]:
    return [
        process
        for process in state.processes.values()
        if process.role == "agent" and process.ended_offset == NO_OFFSET
    ]
