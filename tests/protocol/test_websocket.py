"""WebSocket connections between this product's processes."""

import trio
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from websockets.exceptions import ConnectionClosed, InvalidHandshake

from pistachiohill.protocol.websocket import WebSocket, async_connect, async_serve
from standins.processes import HOST, free_ports

from ..base import TestCase

CONNECT_TIMEOUT_S = 2.0
LARGE_MESSAGE_BYTES = 4 * 1024 * 1024  # more than the socket buffers hold


async def async_reply_all(websocket: WebSocket) -> None:
    """Send every received message back until the peer closes the connection."""
    try:
        while True:
            await websocket.async_send(await websocket.async_receive())
    except ConnectionClosed:
        return


class WebSocketTest(TestCase):
    async def async_start(self, nursery: trio.Nursery, handler: object = async_reply_all) -> int:
        (port,) = free_ports(1)
        await nursery.start(async_serve, handler, HOST, port)
        return port

    async def test_messages_of_any_size_arrive_whole_and_in_order(self) -> None:
        messages = [b"", b"x", b"y" * 125, b"z" * 126, b"w" * 65536, b"v" * LARGE_MESSAGE_BYTES]
        async with trio.open_nursery() as nursery:
            port = await self.async_start(nursery)
            async with async_connect(HOST, port, CONNECT_TIMEOUT_S) as websocket:
                received: list[bytes] = []

                async def async_send_all() -> None:
                    for data in messages:
                        await websocket.async_send(data)

                nursery.start_soon(async_send_all)
                while len(received) < len(messages):
                    received.append(await websocket.async_receive())
            self.assertEqual(messages, received)
            nursery.cancel_scope.cancel()

    async def test_messages_that_arrive_with_the_handshake_are_received_one_by_one(self) -> None:
        async def async_greet(websocket: WebSocket) -> None:
            await websocket.async_send(b"hello")
            await websocket.async_send(b"state")
            await websocket.async_receive()

        async with trio.open_nursery() as nursery:
            port = await self.async_start(nursery, async_greet)
            async with async_connect(HOST, port, CONNECT_TIMEOUT_S) as websocket:
                await trio.sleep(0.05)
                self.assertEqual(b"hello", await websocket.async_receive())
                self.assertEqual(b"state", await websocket.async_receive())
            nursery.cancel_scope.cancel()

    async def test_receiving_ends_when_the_peer_closes(self) -> None:
        async def async_close_at_once(websocket: WebSocket) -> None:
            websocket.close(1008, "not welcome")

        async with trio.open_nursery() as nursery:
            port = await self.async_start(nursery, async_close_at_once)
            async with async_connect(HOST, port, CONNECT_TIMEOUT_S) as websocket:
                try:
                    await websocket.async_receive()
                except ConnectionClosed as err:
                    self.assertIn("not welcome", str(err))
                else:
                    self.fail("received a message")
            nursery.cancel_scope.cancel()

    async def test_closing_wakes_the_receiving_task(self) -> None:
        async with trio.open_nursery() as nursery:
            port = await self.async_start(nursery)
            async with async_connect(HOST, port, CONNECT_TIMEOUT_S) as websocket:
                ended = trio.Event()

                async def async_wait_for_end() -> None:
                    try:
                        await websocket.async_receive()
                    except ConnectionClosed:
                        ended.set()

                nursery.start_soon(async_wait_for_end)
                await trio.testing.wait_all_tasks_blocked()
                websocket.close()
                with trio.fail_after(1.0):
                    await ended.wait()
            nursery.cancel_scope.cancel()

    async def test_a_peer_that_accepts_but_stays_silent_times_out(self) -> None:
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        port = listeners[0].socket.getsockname()[1]
        try:
            async with async_connect(HOST, port, 0.2):
                self.fail("connected")
        except TimeoutError:
            pass
        await trio.aclose_forcefully(listeners[0])

    async def test_a_peer_that_is_no_websocket_is_refused(self) -> None:
        async def async_answer(stream: trio.SocketStream) -> None:
            await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, async_answer, 0)
            port = listeners[0].socket.getsockname()[1]
            try:
                async with async_connect(HOST, port, CONNECT_TIMEOUT_S):
                    self.fail("connected")
            except InvalidHandshake:
                pass
            nursery.cancel_scope.cancel()

    async def test_connecting_to_an_odd_address_raises_os_error(self) -> None:
        for host, port in (
            ("a" * 64, 80),
            ("a..b", 80),
            ("", 80),
            ("b\0", 80),
            ("x\r\ny", 80),
            ("\ud800", 80),
            (HOST, 0),
            (HOST, -1),
            (HOST, 99999),
            (HOST, 2**62),
        ):
            with self.assertRaises((OSError, TimeoutError)):
                async with async_connect(host, port, 0.5):
                    self.fail("connected")

    async def test_the_server_survives_any_bytes(self) -> None:
        async with trio.open_nursery() as nursery:
            port = await self.async_start(nursery)

            async def async_send_bytes(data: bytes) -> None:
                stream = await trio.open_tcp_stream(HOST, port)
                async with stream:
                    await stream.send_all(data)
                    with trio.move_on_after(0.01):
                        await stream.receive_some(1024)

            @seed(20261204)
            @settings(max_examples=60, deadline=None, database=None)
            @given(st.binary(max_size=300))
            def check(data: bytes) -> None:
                trio.from_thread.run(async_send_bytes, data)

            await trio.to_thread.run_sync(check)
            async with async_connect(HOST, port, CONNECT_TIMEOUT_S) as websocket:
                await websocket.async_send(b"still there")
                self.assertEqual(b"still there", await websocket.async_receive())
            nursery.cancel_scope.cancel()
