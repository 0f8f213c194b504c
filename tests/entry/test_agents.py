"""Links of an entry to agents."""

import trio

from pistachiohill import clock
from pistachiohill.agent.const import RUNS_END_S
from pistachiohill.agent.metrics import AgentMetrics
from pistachiohill.agent.models import TargetState
from pistachiohill.agent.runner import TaskRunner
from pistachiohill.agent.service import AgentService
from pistachiohill.consortium.const import NO_OFFSET
from pistachiohill.consortium.view import ConsortiumView
from pistachiohill.const import PROTOCOL_VERSION, Role
from pistachiohill.entry.agent import Agent, AgentListener
from pistachiohill.entry.agent_assignment import ALL_ENTRIES
from pistachiohill.entry.agents import AgentDirectory
from pistachiohill.protocol.link import async_accept
from pistachiohill.protocol.models import AnnounceRecord, EndRecord, HelloReply
from pistachiohill.protocol.websocket import WebSocket, async_serve
from pistachiohill.settings.models import AgentSettings
from standins.processes import HOST, free_ports

from ..agent.test_runner import FakeTarget
from ..base import TestCase

SILENCE_S = 0.3
RUNS_END_LIMIT_S = 5.0
REFUSED_S = 0.5  # long enough for several connects in a row
ANSWERING_S = 1.0  # longer than a lease at a runner
RUN_KEY = ("sub-1", 0)
RELINK_LIMIT_S = 2.0  # time after the path's return in which the agent has to be linked


class LinkListener(AgentListener):
    """Waits for the first open link; ignores all other events."""

    def __init__(self) -> None:
        self.linked = trio.Event()

    def link_opened(self, agent: Agent, now_s: float) -> None:
        self.linked.set()

    def agent_changed(self, agent: Agent, now_s: float) -> None:
        return

    def link_closed(self, agent: Agent) -> None:
        return


class SilentAtFirst:
    """An agent that never replies to the Hello on its first connection."""

    def __init__(self) -> None:
        self.connections = 0

    async def async_handle(self, connection: WebSocket) -> None:
        self.connections += 1
        if self.connections == 1:
            await trio.sleep_forever()
        reply = HelloReply(PROTOCOL_VERSION, "agent-1", NO_OFFSET, clock.boot_s(), "bern-a")
        await async_accept(connection, "", reply)
        await trio.sleep_forever()


class RunsListener(AgentListener):
    """Records when an agent was linked, and when its runs were taken for ended."""

    def __init__(self) -> None:
        self.links = 0
        self.agent: Agent | None = None
        self.runs_ended_at_s: float | None = None

    def link_opened(self, agent: Agent, now_s: float) -> None:
        self.links += 1
        if self.agent is None:
            self.agent = agent
            agent.outstanding[RUN_KEY] = None  # type: ignore[assignment]

    def agent_changed(self, agent: Agent, now_s: float) -> None:
        return

    def agent_lost(self, agent: Agent, now_s: float) -> None:
        return

    def link_closed(self, agent: Agent) -> None:
        return

    def runs_ended(self, agent: Agent, now_s: float) -> None:
        self.runs_ended_at_s = self.runs_ended_at_s or now_s
        agent.outstanding.clear()


class ReachableAgent:
    """A living agent to which a path can be cut, so that connections to it are refused."""

    def __init__(self, nursery: trio.Nursery, port: int = 0) -> None:
        self.port = port or free_ports(1)[0]
        settings = AgentSettings(peer_port=self.port)
        runner = TaskRunner(settings, nursery, FakeTarget(), AgentMetrics())
        runner.target = TargetState("clocking", "", 4000, 4096, False, clock.boot_s() + 60)
        self.service = AgentService(settings, runner)
        self._nursery = nursery
        self._path = trio.CancelScope()

    async def async_open_path(self) -> None:
        self._path = trio.CancelScope()

        async def async_listen(task_status: trio.TaskStatus[None]) -> None:
            with self._path:
                await self.service.async_serve_links(task_status=task_status)

        await self._nursery.start(async_listen)

    def cut_path(self) -> None:
        self._path.cancel()


class RunsEndTest(TestCase):
    """An agent that can't be reached may live on, and its runs go on until its leases end."""

    async def _async_open(self, nursery: trio.Nursery) -> None:
        self.agent = ReachableAgent(nursery)
        await self.agent.async_open_path()
        self.listener = RunsListener()
        self.view = ConsortiumView()
        address = f"{HOST}:{self.agent.port}"
        self.directory = AgentDirectory(
            "e", "", SILENCE_S, [address], self.view, (HOST, 1), ALL_ENTRIES, lambda now_s: now_s
        )
        nursery.start_soon(self.directory.async_run, self.listener)
        await self._async_wait_linked(1)

    async def _async_wait_linked(self, links: int) -> None:
        with trio.fail_after(RELINK_LIMIT_S):
            while self.listener.links < links:
                await trio.sleep(0.01)

    async def _async_check_waits_for_leases(self) -> None:
        """The runs must not be taken for ended before their leases at agent and runner are."""
        with trio.move_on_after(RUNS_END_LIMIT_S):
            while self.listener.runs_ended_at_s is None:
                await trio.sleep(0.01)
        assert self.listener.agent is not None and self.listener.runs_ended_at_s is not None
        waited_s = self.listener.runs_ended_at_s - self.listener.agent.last_sent_at_s
        self.assertGreaterEqual(waited_s, RUNS_END_S)

    async def test_runs_of_an_agent_that_refuses_connections_are_not_taken_for_ended(self) -> None:
        async with trio.open_nursery() as nursery:
            await self._async_open(nursery)
            self.agent.cut_path()
            await self._async_check_waits_for_leases()
            nursery.cancel_scope.cancel()

    async def test_agent_that_answers_again_is_no_longer_taken_for_dead(self) -> None:
        async with trio.open_nursery() as nursery:
            await self._async_open(nursery)
            self.agent.cut_path()
            await trio.sleep(REFUSED_S)
            await self.agent.async_open_path()
            await self._async_wait_linked(2)
            await trio.sleep(ANSWERING_S)
            self.assertIsNone(self.listener.runs_ended_at_s)
            self.agent.cut_path()
            await self._async_check_waits_for_leases()
            nursery.cancel_scope.cancel()

    def _record_end(self) -> None:
        incarnation = self.agent.service.incarnation
        record = AnnounceRecord(Role.AGENT, incarnation, "bern-a", HOST, self.agent.port)
        self.view.processes.end(EndRecord(record, 1), 2, clock.wall_s())
        self.view.notify()

    async def test_runs_of_an_agent_that_is_recorded_as_ended_are_not_taken_for_ended(self) -> None:
        """It may wait for the store's response, and renew its runs' lease meanwhile."""
        async with trio.open_nursery() as nursery:
            await self._async_open(nursery)
            await trio.sleep(ANSWERING_S)
            self.agent.cut_path()
            self._record_end()
            await self._async_check_waits_for_leases()
            nursery.cancel_scope.cancel()

    async def test_runs_of_an_agent_are_not_taken_for_ended_as_its_successor_accepts_tasks(
        self,
    ) -> None:
        """The successor may have been told of another runner, at which no run was listed."""
        async with trio.open_nursery() as nursery:
            await self._async_open(nursery)
            self.agent.cut_path()
            await trio.sleep(0.05)
            successor = ReachableAgent(nursery, self.agent.port)
            successor.service.start_accepting(3)
            await successor.async_open_path()
            await self._async_wait_linked(2)
            await self._async_check_waits_for_leases()
            nursery.cancel_scope.cancel()

    async def test_agent_that_answers_keeps_its_tasks_although_it_is_recorded_as_ended(
        self,
    ) -> None:
        async with trio.open_nursery() as nursery:
            await self._async_open(nursery)
            self._record_end()
            await trio.sleep(2 * RUNS_END_S)
            self.assertIsNone(self.listener.runs_ended_at_s)
            self.assertEqual(1, self.listener.links)
            nursery.cancel_scope.cancel()

    async def test_agent_that_answers_again_after_its_recorded_end_keeps_its_tasks(self) -> None:
        """Its new link renews the lease of the tasks that were placed there before."""
        async with trio.open_nursery() as nursery:
            await self._async_open(nursery)
            self.agent.cut_path()
            self._record_end()
            await trio.sleep(REFUSED_S)
            await self.agent.async_open_path()
            await self._async_wait_linked(2)
            await trio.sleep(2 * RUNS_END_S)
            self.assertIsNone(self.listener.runs_ended_at_s)
            assert self.listener.agent is not None
            self.assertIsNotNone(self.listener.agent.link)
            nursery.cancel_scope.cancel()

    async def test_agent_is_linked_again_after_a_late_announcement_of_its_predecessor(self) -> None:
        """The store may carry out an unanswered announcement after that of the next process."""
        async with trio.open_nursery() as nursery:
            await self._async_open(nursery)
            for offset, name in enumerate([self.agent.service.incarnation, "predecessor"], 1):
                record = AnnounceRecord(Role.AGENT, name, "bern-a", HOST, self.agent.port)
                self.view.processes.announce(record, offset, clock.wall_s())
            self.view.notify()
            await trio.sleep(ANSWERING_S)
            self.agent.cut_path()
            await trio.sleep(REFUSED_S)
            await self.agent.async_open_path()
            await self._async_wait_linked(2)
            nursery.cancel_scope.cancel()


class AgentsTest(TestCase):
    async def test_agent_is_linked_soon_after_its_link_fell_silent_before_the_reply(self) -> None:
        (port,) = free_ports(1)
        listener, agent = LinkListener(), SilentAtFirst()
        directory = AgentDirectory(
            "entry-1",
            "",
            SILENCE_S,
            [f"{HOST}:{port}"],
            ConsortiumView(),
            (HOST, 1),
            ALL_ENTRIES,
            lambda now_s: now_s,
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(async_serve, agent.async_handle, HOST, port)
            nursery.start_soon(directory.async_run, listener)
            with trio.move_on_after(RELINK_LIMIT_S):
                await listener.linked.wait()
            self.assertEqual(2, agent.connections)
            self.assertTrue(listener.linked.is_set())
            nursery.cancel_scope.cancel()
