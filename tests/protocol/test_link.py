"""Tests for the handshake of links."""

import trio

from pistachiohill.const import PROTOCOL_VERSION
from pistachiohill.protocol.codec import encode_frame
from pistachiohill.protocol.link import async_accept, async_send_hello
from pistachiohill.protocol.models import Hello, HelloReply
from pistachiohill.protocol.websocket import WebSocket, async_connect, async_serve
from standins.processes import HOST, free_ports

from ..base import TestCase

CONNECT_TIMEOUT_S = 2.0
REPLY = HelloReply(PROTOCOL_VERSION, "agent", 0, 0.0, "bern-a")
HELLO = Hello(PROTOCOL_VERSION, "entry", "", "secret", 0.0)


class HandshakeTest(TestCase):
    async def test_process_survives_a_peer_that_closes_right_after_its_hello(self) -> None:
        accepted: list[Hello | None] = []

        async def async_handle(connection: WebSocket) -> None:
            accepted.append(await async_accept(connection, "secret", REPLY))

        async with trio.open_nursery() as nursery:
            (port,) = free_ports(1)
            await nursery.start(async_serve, async_handle, HOST, port)
            async with async_connect(HOST, port, CONNECT_TIMEOUT_S) as leaving:
                await leaving.async_send(encode_frame([HELLO]))
            async with async_connect(HOST, port, CONNECT_TIMEOUT_S) as staying:
                self.assertEqual(REPLY, await async_send_hello(staying, HELLO, CONNECT_TIMEOUT_S))
            self.assertEqual([None, HELLO], accepted)
            nursery.cancel_scope.cancel()
