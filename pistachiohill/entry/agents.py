"""Directory of agents and of the links to them; one Trio task maintains the link to an address."""

import math
import random
from collections.abc import Callable
from functools import singledispatchmethod

import trio

from .. import clock, logs
from ..consortium.state import ConsortiumState
from ..consortium.view import ConsortiumView
from ..const import PROTOCOL_VERSION, Role
from ..peer_clock import StallDetector
from ..protocol.errors import HandshakeError
from ..protocol.link import (
    CONNECT_ERRORS,
    Link,
    LinkCounters,
    async_send_hello,
    first_error,
    is_connection_refused,
)
from ..protocol.models import (
    AgentLoad,
    AgentState,
    Freshness,
    FreshnessRequest,
    Hello,
    HelloReply,
    LateStarts,
    Message,
    SealReply,
    StartsAnswered,
    StartTasks,
    TaskReports,
    ViewStamp,
)
from ..protocol.websocket import async_connect
from ..scheduling.models import TargetLoad
from ..settings.const import ROOT_PATH
from ..shared_load.entry import EntrySharedLoad
from .agent import Agent, AgentListener
from .agent_assignment import Address, format_address, is_served, parse_address
from .const import (
    AGENT_CONNECT_TIMEOUT_S,
    CHANGE_DELAY_S,
    ECHO_INTERVAL_S,
    IDLE_CHECK_INTERVAL_S,
    IDLE_SILENCE_TIMEOUT_S,
    MAX_TICK_S,
    RECONNECT_MAX_S,
    RECONNECT_MIN_S,
    REFUSED_CONNECTS_UNTIL_LOST,
)
from .late_starts import LateStartTable


class AgentDirectory:
    """Agents known to this entry, with the links to them."""

    def __init__(
        self,
        incarnation: str,
        secret: str,
        silence_s: float,
        static_addresses: tuple[str, ...],
        view: ConsortiumView,
        own_address: Address,
        entries_per_agent: int,
        view_confirmed_at: Callable[[float], float],
    ) -> None:
        """Initialize without agents.

        `static_addresses` are "host:port" addresses that are tried in addition to the announced
        ones. `own_address` is the address at which this entry is announced; each agent is served by
        `entries_per_agent` of the announced entries. `view_confirmed_at` maps a boot time to the
        boot time as of which the view is known to be current.
        """
        self.agents: dict[str, Agent] = {}
        self.counters = LinkCounters()
        self._incarnation = incarnation
        self._secret = secret
        self._silence_s = silence_s
        self._static_addresses = {parse_address(text) for text in static_addresses}
        self._view = view
        self._own_address = own_address
        self._entries_per_agent = entries_per_agent
        self._view_confirmed_at = view_confirmed_at
        self._managed_addresses: set[Address] = set()
        self._served: set[Address] = set()
        self._served_among: tuple[set[Address], set[Address]] = (set(), set())
        self._lost_agents: list[Agent] = []
        self._stalls = StallDetector(clock.boot_s())
        self._check_renewal: Callable[[float], None] = lambda _now_s: None
        self.shared_load = EntrySharedLoad()
        self.late_starts = LateStartTable()

    @property
    def lost_agents(self) -> tuple[Agent, ...]:
        """Return the agents that have ended and at which tasks are outstanding."""
        return tuple(self._lost_agents)

    def set_renewal_check(self, check: Callable[[float], None]) -> None:
        """Set what is called with the boot time before this entry's lease at an agent is renewed.

        It cancels the tasks that are no longer wanted, so that the renewal doesn't prolong them.
        """
        self._check_renewal = check

    def view_stamp(self, agent: Agent, now_s: float) -> ViewStamp:
        """Return the view stamp to send to an agent, which renews this entry's lease there."""
        self._check_renewal(now_s)
        state = self._view.state
        age_s = now_s - self._view_confirmed_at(now_s)
        running_since_s = self._stalls.running_since_s(now_s)
        return ViewStamp(
            offset=state.offset,
            echo_s=agent.clock.lower_bound_s(now_s, running_since_s),
            age_s=min(max(0.0, age_s), 1e9),
            domain_out=state.domain_is_out(agent.domain),
            max_age_s=state.settings(ROOT_PATH).view_max_age_s,
        )

    async def async_run(self, listener: AgentListener) -> None:
        """Keep links to all agents that this entry serves until the process ends."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._async_monitor_links, listener)
            domains: dict[str, bool] = {}
            while True:
                state = self._view.state
                self._served = self.served_addresses()
                for address in self._served:
                    if address not in self._managed_addresses:
                        self._managed_addresses.add(address)
                        nursery.start_soon(self._async_maintain_link, address, listener)
                domains = self._push_domain_changes(state, domains, listener)
                await self._view.async_wait_changed()
                # While a deployment starts, announcements arrive one after the other.
                await trio.sleep(CHANGE_DELAY_S)

    def served_addresses(self) -> set[Address]:
        """Return the addresses of the agents that this entry serves."""
        processes, now_wall_s = self._view.processes, clock.wall_s()
        agents = processes.addresses(Role.AGENT, now_wall_s) | self._static_addresses
        entries = processes.addresses(Role.ENTRY, now_wall_s)
        if self._served_among == (agents, entries):
            return self._served
        self._served_among = agents, entries
        own_name = format_address(self._own_address)
        names = [format_address(item) for item in entries]
        count = self._entries_per_agent
        self.shared_load.agents_are_shared = len(names) > count
        return {item for item in agents if is_served(format_address(item), own_name, names, count)}

    def is_linking(self) -> bool:
        """Return whether some of the agents that this entry serves are not linked."""
        linked = {agent.address for agent in self.agents.values() if agent.link is not None}
        return not self._served <= linked

    def _release_agent(self, agent: Agent) -> None:
        """Stop using an agent that this entry no longer serves; close its link once it is idle."""
        agent.accepting = False
        if agent.link is not None and not agent.outstanding:
            logs.event("agent_released", agent=agent.incarnation)
            agent.link.close()
            self.agents.pop(agent.incarnation, None)

    def _remove_ended_agent(self, agent: Agent, listener: AgentListener) -> None:
        """Mark an agent as lost that is recorded as ended, unless its link shows that it lives."""
        if agent.link is None and self._view.processes.has_ended(agent.incarnation):
            self._mark_lost(agent, listener, "ended")

    def _push_domain_changes(
        self, state: ConsortiumState, previous: dict[str, bool], listener: AgentListener
    ) -> dict[str, bool]:
        """Send a view stamp at once to agents whose failure domain left or returned to service."""
        after = {name: record.out for name, record in state.domains.items()}
        now_s = clock.boot_s()
        for agent in self.agents.values():
            if previous.get(agent.domain, False) == after.get(agent.domain, False):
                continue
            if not after.get(agent.domain, False):
                agent.load.ramp_start_s = now_s
            self._send_view(agent, now_s)
            listener.agent_changed(agent, now_s)
        return after

    def _mark_lost(self, agent: Agent, listener: AgentListener, reason: str) -> None:
        """Mark an incarnation as ended, close its link and notify the listener."""
        if agent.lost:
            return
        now_s = clock.boot_s()
        agent.lost = True
        self.agents.pop(agent.incarnation, None)
        if agent.link is not None:
            agent.link.close()
        logs.event("agent_lost", agent=agent.incarnation, why=reason, tasks=len(agent.outstanding))
        listener.agent_lost(agent, now_s)
        if agent.outstanding:
            self._lost_agents.append(agent)

    async def _async_maintain_link(self, address: Address, listener: AgentListener) -> None:
        """Keep a link to an address, reconnecting with backoff, while this entry serves it."""
        backoff_s = RECONNECT_MIN_S
        refused_connects = 0
        logged = False
        while address in self._served:
            started_at_s = clock.boot_s()
            try:
                await self._async_connect(address, listener)
                refused_connects = 0
                logged = False
            except HandshakeError as err:
                logs.warning("agent_refused_link", address=format_address(address), detail=err)
            except CONNECT_ERRORS as err:
                refused_connects = refused_connects + 1 if is_connection_refused(err) else 0
                if not logged:
                    logs.event(
                        "agent_unreachable", address=format_address(address), detail=repr(err)
                    )
                logged = True
            agent = self._agent_at(address)
            if (
                agent is not None
                and refused_connects >= REFUSED_CONNECTS_UNTIL_LOST
                and agent.outstanding
            ):
                logs.event(
                    "agent_connect_refused",
                    agent=agent.incarnation,
                    connects=refused_connects,
                    tasks=len(agent.outstanding),
                )
                listener.agent_lost(agent, clock.boot_s())
            if clock.boot_s() - started_at_s > RECONNECT_MAX_S:
                backoff_s = RECONNECT_MIN_S
            await trio.sleep(backoff_s * random.uniform(0.7, 1.0))
            backoff_s = min(backoff_s * 2, RECONNECT_MAX_S)
        self._managed_addresses.discard(address)

    def _agent_at(self, address: Address) -> Agent | None:
        """Return the agent known at an address, None if there is none."""
        return next((item for item in self.agents.values() if item.address == address), None)

    async def _async_connect(self, address: Address, listener: AgentListener) -> None:
        try:
            async with async_connect(*address, AGENT_CONNECT_TIMEOUT_S) as connection:
                now_s = clock.boot_s()
                hello = Hello(PROTOCOL_VERSION, self._incarnation, "", self._secret, now_s)
                reply = await async_send_hello(connection, hello, AGENT_CONNECT_TIMEOUT_S)
                now_s = clock.boot_s()
                agent = self._register_agent(address, reply, listener)
                link = Link(connection, agent.incarnation, now_s, self.counters)
                await self._async_run_link(agent, link, reply, listener, now_s)
        except BaseExceptionGroup as group:
            raise first_error(group) from group

    def _register_agent(
        self, address: Address, reply: HelloReply, listener: AgentListener
    ) -> Agent:
        """Return the agent that replied, and mark a different one known at its address as lost."""
        agent = self.agents.get(reply.incarnation) or self._restore_lost_agent(reply.incarnation)
        if agent is not None:
            return agent
        previous = self._agent_at(address)
        if previous is not None:
            self._mark_lost(previous, listener, "replaced")
        load = TargetLoad(reply.incarnation, reply.domain)
        if previous is not None and self.shared_load.run_times:
            load.mean_factor = previous.load.mean_factor
        agent = Agent(reply.incarnation, address, reply.domain, load)
        self.agents[agent.incarnation] = agent
        return agent

    def _restore_lost_agent(self, incarnation: str) -> Agent | None:
        """Return an agent that answers although it was recorded as ended; it keeps its tasks."""
        for agent in self._lost_agents:
            if agent.incarnation == incarnation:
                logs.event("agent_answers_again", agent=incarnation, tasks=len(agent.outstanding))
                self._lost_agents.remove(agent)
                agent.lost = False
                self.agents[incarnation] = agent
                return agent
        return None

    async def _async_run_link(
        self, agent: Agent, link: Link, reply: HelloReply, listener: AgentListener, now_s: float
    ) -> None:
        """Handle the messages of a link until it ends."""
        agent.announce_offset = max(agent.announce_offset, reply.announce_offset)
        self._record_clock(agent, reply.stamp_s, now_s)
        agent.link = link
        agent.runs_presumed_ended = False
        agent.load.work_told_at_s = -math.inf
        agent.awaited_since_s = None
        self._send_view(agent, now_s)
        listener.link_opened(agent, now_s)
        try:
            await link.async_run(
                lambda message, at_s: self._handle_answer(message, agent, listener, at_s)
            )
        finally:
            agent.last_sent_at_s = link.sent_at_s
            if agent.link is link:
                agent.link = None
                agent.accepting = False
            listener.link_closed(agent)

    async def _async_monitor_links(self, listener: AgentListener) -> None:
        """Renew this entry's leases at the agents, and detect silent links and expired leases.

        One Trio task monitors all agents: a timer per agent would account for most of the CPU time
        of an idle entry.
        """
        idle_due_s = 0.0
        while True:
            await trio.sleep(min(self._silence_s / 4, MAX_TICK_S))
            now_s = clock.boot_s()
            self._stalls.tick(now_s)
            idle_due = now_s >= idle_due_s
            if idle_due:
                idle_due_s = now_s + IDLE_CHECK_INTERVAL_S
                self._served = self.served_addresses()
            for agent in list(self.agents.values()):
                if agent.address not in self._served:
                    self._release_agent(agent)
                if agent.link is not None:
                    self._check_link(agent, agent.link, now_s)
                if agent.link is None and agent.outstanding and now_s > agent.runs_end_s():
                    self._report_runs_ended(agent, listener, now_s)
                self._remove_ended_agent(agent, listener)
            self._report_expired_leases(listener, now_s)

    def _report_expired_leases(self, listener: AgentListener, now_s: float) -> None:
        for agent in [item for item in self._lost_agents if now_s > item.runs_end_s()]:
            self._report_runs_ended(agent, listener, now_s)
            if not agent.outstanding:
                self._lost_agents.remove(agent)

    def _report_runs_ended(self, agent: Agent, listener: AgentListener, now_s: float) -> None:
        """Tell the listener that an agent's best-effort runs have ended without a report.

        It is told again while tasks are left, whose starts may still be executed.
        """
        if agent.runs_presumed_ended:
            listener.runs_ended(agent, now_s)
            return
        agent.runs_presumed_ended = True
        logs.warning(
            "runs_presumed_ended",
            agent=agent.incarnation,
            why="lease ended",
            tasks=len(agent.outstanding),
            last_sent_age_s=now_s - agent.last_sent_at_s,
        )
        listener.runs_ended(agent, now_s)

    def _check_link(self, agent: Agent, link: Link, now_s: float) -> None:
        """Renew this entry's lease at the agent; close a silent link, so that a new one is opened.

        A link without outstanding tasks carries nothing but the agent's heartbeats, and a request
        for an answer if even those are missing.
        """
        if self.silence_s(agent, now_s) >= self._silence_s + ECHO_INTERVAL_S:
            silent_s = now_s - link.received_at_s
            logs.warning("link_silent", agent=agent.incarnation, silent_s=silent_s)
            link.close()
        elif self._needs_view(agent, now_s) and now_s - link.sent_at_s >= ECHO_INTERVAL_S:
            self._send_view(agent, now_s)
        elif now_s - link.received_at_s >= IDLE_SILENCE_TIMEOUT_S:
            self._request_answer(agent, now_s)

    def _needs_view(self, agent: Agent, now_s: float) -> bool:
        """Return whether to renew the lease, or to repeat a view stamp that is unanswered.

        An agent doesn't answer a stamp that arrives shortly after it has sent something. A stamp
        also tells the agent what waits here.
        """
        if agent.outstanding or agent.awaited_since_s is not None:
            return True
        return self.shared_load.has_work(agent.service, now_s)

    def silence_s(self, agent: Agent, now_s: float) -> float:
        """Return for how long the agent has owed an answer; 0 if it owes none.

        Time in which this process didn't run does not count, as answers may be waiting to be read.
        """
        if agent.awaited_since_s is None:
            return 0.0
        return now_s - max(agent.awaited_since_s, self._stalls.running_since_s(now_s))

    def send_tasks(self, agent: Agent, message: StartTasks, now_s: float) -> None:
        """Send tasks to an agent; request an answer if it has been silent for a while."""
        assert agent.link is not None
        agent.link.send(message)
        if now_s - agent.link.received_at_s >= self._silence_s:
            self._request_answer(agent, now_s)

    def _send_view(self, agent: Agent, now_s: float) -> None:
        """Send a view stamp, which renews this entry's lease, and which the agent answers."""
        if agent.link is not None:
            work = self.shared_load.work(agent.load, agent.service, now_s)
            agent.link.send(Freshness(self.view_stamp(agent, now_s), work))
            agent.awaited_since_s = agent.awaited_since_s or now_s

    def _request_answer(self, agent: Agent, now_s: float) -> None:
        if agent.link is not None and agent.awaited_since_s is None:
            agent.link.send(FreshnessRequest(now_s))
            agent.awaited_since_s = now_s

    def _record_clock(self, agent: Agent, reading_s: float, now_s: float) -> None:
        agent.clock.record(reading_s, now_s, self._stalls.running_since_s(now_s))

    def _record_load(self, agent: Agent, load: AgentLoad, now_s: float) -> None:
        agent.record_load(load, now_s)
        self.shared_load.record(agent.load, agent.service, load.shared, now_s)

    def _handle_answer(
        self, message: Message, agent: Agent, listener: AgentListener, now_s: float
    ) -> None:
        agent.awaited_since_s = None
        self._handle(message, agent, listener, now_s)

    @singledispatchmethod
    def _handle(
        self, message: Message, agent: Agent, listener: AgentListener, now_s: float
    ) -> None:
        logs.warning("message_unexpected", type=type(message).__name__, peer=agent.incarnation)

    @_handle.register
    def _(self, message: AgentState, agent: Agent, listener: AgentListener, now_s: float) -> None:
        self._record_clock(agent, message.stamp_s, now_s)
        agent.record_notice(message.leaves_in_s, now_s)
        agent.service = message.service
        agent.target_id = message.target_id
        self._record_load(agent, message.load, now_s)
        agent.load.cpu_m = message.cpu_m
        agent.load.mem_mb = message.mem_mb
        if message.accepting and not agent.accepting:
            logs.event("agent_accepting", agent=agent.incarnation, service=agent.service)
        agent.accepting = message.accepting and agent.address in self._served
        agent.announce_offset = max(agent.announce_offset, message.announce_offset)
        agent.applied_offset = message.applied_offset
        agent.view_age_s = message.view_age_s
        listener.agent_changed(agent, now_s)

    @_handle.register
    def _(self, message: TaskReports, agent: Agent, listener: AgentListener, now_s: float) -> None:
        self._record_clock(agent, message.stamp_s, now_s)
        self._record_load(agent, message.load, now_s)
        listener.tasks_reported(agent, message, now_s)

    @_handle.register
    def _(
        self, message: FreshnessRequest, agent: Agent, listener: AgentListener, now_s: float
    ) -> None:
        self._record_clock(agent, message.stamp_s, now_s)
        self._send_view(agent, now_s)

    @_handle.register
    def _(self, message: LateStarts, agent: Agent, listener: AgentListener, now_s: float) -> None:
        self.late_starts.record(agent.incarnation, message, now_s)

    @_handle.register
    def _(
        self, message: StartsAnswered, agent: Agent, listener: AgentListener, now_s: float
    ) -> None:
        for start in message.starts:
            placed = agent.outstanding.get((start.submission_id, start.index))
            if placed is not None and placed[1].attempt == start.attempt:
                placed[1].is_start_answered = True

    @_handle.register
    def _(self, message: SealReply, agent: Agent, listener: AgentListener, now_s: float) -> None:
        listener.seal_replied(agent, message, now_s)
