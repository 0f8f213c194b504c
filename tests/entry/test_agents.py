"""Links of an entry to agents."""

import trio

from pistachiohill import clock
from pistachiohill.consortium.const import NO_OFFSET
from pistachiohill.consortium.view import ConsortiumView
from pistachiohill.const import PROTOCOL_VERSION
from pistachiohill.entry.agent import Agent, AgentListener
from pistachiohill.entry.agent_assignment import ALL_ENTRIES
from pistachiohill.entry.agents import AgentDirectory
from pistachiohill.protocol.link import async_accept
from pistachiohill.protocol.models import HelloReply
from pistachiohill.protocol.websocket import WebSocket, async_serve
from standins.processes import HOST, free_ports

from ..base import TestCase

SILENCE_S = 0.3
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
