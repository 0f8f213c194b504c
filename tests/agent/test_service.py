"""Links to an agent that end at odd moments."""

import trio

from pistachiohill import clock
from pistachiohill.agent.metrics import AgentMetrics
from pistachiohill.agent.runner import TaskRunner
from pistachiohill.agent.service import AgentService
from pistachiohill.const import PROTOCOL_VERSION
from pistachiohill.protocol.codec import encode_frame
from pistachiohill.protocol.link import async_send_hello
from pistachiohill.protocol.models import Hello
from pistachiohill.protocol.websocket import async_connect
from pistachiohill.settings.models import AgentSettings
from standins.processes import HOST, free_ports

from ..base import TestCase
from .test_runner import FakeTarget

TIMEOUT_S = 1.0


class AgentServiceTest(TestCase):
    async def test_entry_that_leaves_right_after_its_hello_does_not_end_the_agent(self) -> None:
        (port,) = free_ports(1)
        settings = AgentSettings(peer_port=port)
        async with trio.open_nursery() as nursery:
            runner = TaskRunner(settings, nursery, FakeTarget(), AgentMetrics())
            service = AgentService(settings, runner)
            await nursery.start(service.async_serve_links)
            hello = Hello(PROTOCOL_VERSION, "entry-1", "", "", clock.boot_s())
            async with async_connect(HOST, port, TIMEOUT_S) as connection:
                connection._protocol.send_binary(encode_frame([hello]))
                connection.close()
            await trio.sleep(0.1)
            async with async_connect(HOST, port, TIMEOUT_S) as connection:
                reply = await async_send_hello(connection, hello, TIMEOUT_S)
            self.assertEqual(service.incarnation, reply.incarnation)
            nursery.cancel_scope.cancel()
