"""Tests of the direct server: valid and malformed requests, disconnects and graceful stops."""

import random
import socket
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import Any
from unittest.mock import patch

import trio

from pistachiohill import clock
from pistachiohill.http.app import async_send_response
from pistachiohill.http.direct_server import MAX_RECEIVE_BYTES, async_serve_directly
from pistachiohill.http.models import json_response
from pistachiohill.http.origin import RequestOrigin
from pistachiohill.http.request_reader import RequestReader

from ..base import TestCase

SEED = 20261204
MAX_BODY_BYTES = 2000
PAUSE_S = 0.4
QUEUED_CONNECTIONS = 20
TICK_S = 0.1  # an entry's event loop polls at least as often
MAX_IMPRECISION_S = 0.3  # two polls, and the time of a slow machine
POST = b"POST /a?b=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
GET = b"GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"


class App:
    """Responds with the body's length; `/slow` first waits for `release` or a disconnect."""

    def __init__(self) -> None:
        self.requests: list[tuple[str, str, bytes]] = []
        self.origins: list[RequestOrigin] = []
        self.disconnects = 0
        self.release = trio.Event()
        self.extra_headers: dict[str, str] = {}

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        body = (await receive())["body"]
        self.origins.append(scope["origin"])
        self.requests.append((scope["method"], scope["path"], body))
        if scope["path"] == "/fail":
            raise RuntimeError("failed on purpose")
        if scope["path"] == "/slow" and not await self.async_wait_released(receive):
            self.disconnects += 1
            return
        await async_send_response(send, json_response({"n": len(body)}, headers=self.extra_headers))

    async def async_wait_released(self, receive: Any) -> bool:
        """Return whether `release` was set before the client disconnected."""
        async with trio.open_nursery() as nursery:

            async def async_watch_disconnect() -> None:
                await receive()
                nursery.cancel_scope.cancel()

            nursery.start_soon(async_watch_disconnect)
            await self.release.wait()
            nursery.cancel_scope.cancel()
        return self.release.is_set()


class ServerHandle:
    """A server running on the loopback interface, with its application and port."""

    def __init__(self, app: App, port: int, stopping: trio.Event) -> None:
        self.app = app
        self.port = port
        self.stopping = stopping

    async def async_open(self) -> trio.SocketStream:
        return await trio.open_tcp_stream("127.0.0.1", self.port)

    async def async_exchange(self, data: bytes) -> bytes:
        """Send bytes and read until the server closes the connection or sends nothing for 0.1 s."""
        stream = await self.async_open()
        async with stream:
            await stream.send_all(data)
            return await async_read(stream)


async def async_read(stream: trio.SocketStream, idle_s: float = 0.1) -> bytes:
    received = b""
    with trio.move_on_after(idle_s) as scope:
        while data := await stream.receive_some(65536):
            received += data
            scope.deadline = trio.current_time() + idle_s
        return received + b"<end>"
    return received


@asynccontextmanager
async def running_server(
    grace_s: float = 2.0, max_body_bytes: int = MAX_BODY_BYTES
) -> AsyncIterator[ServerHandle]:
    app, stopping = App(), trio.Event()
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listener.socket.getsockname()[1]
    await listener.aclose()
    async with trio.open_nursery() as nursery:

        async def async_start(task_status: trio.TaskStatus[None]) -> None:
            await async_serve_directly(
                app,
                f"127.0.0.1:{port}",
                max_body_bytes,
                stopping,
                grace_s,
                task_status=task_status,
            )

        await nursery.start(async_start)
        yield ServerHandle(app, port, stopping)
        nursery.cancel_scope.cancel()


class DirectServerTest(TestCase):
    async def test_requests_on_one_connection(self) -> None:
        async with running_server() as server, await server.async_open() as stream:
            for _ in range(3):
                await stream.send_all(POST)
                response = await async_read(stream)
                self.assertTrue(response.startswith(b"HTTP/1.1 200 OK\r\n"), response)
                self.assertTrue(response.endswith(b'{"n": 4}'), response)
            self.assertEqual([("POST", "/a", b"body")] * 3, server.app.requests)

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        async with running_server() as server:
            response = await server.async_exchange(POST * 5)
        self.assertEqual(5, response.count(b"HTTP/1.1 200 OK"))

    async def test_request_sent_byte_by_byte(self) -> None:
        async with running_server() as server, await server.async_open() as stream:
            for number in range(len(POST)):
                await stream.send_all(POST[number : number + 1])
                await trio.sleep(0)
            self.assertIn(b"200 OK", await async_read(stream))
            self.assertEqual([("POST", "/a", b"body")], server.app.requests)

    async def test_chunked_body_and_expect_continue(self) -> None:
        head = (
            b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n"
            b"Host: h\r\n\r\n"
        )
        async with running_server() as server, await server.async_open() as stream:
            await stream.send_all(head)
            self.assertIn(b"100 Continue", await async_read(stream))
            await stream.send_all(b"3\r\nabc\r\n0\r\n\r\n")
            self.assertIn(b'{"n": 3}', await async_read(stream))

    async def test_client_requests_connection_close(self) -> None:
        async with running_server() as server:
            response = await server.async_exchange(
                POST.replace(b"Host", b"Connection: close\r\nHost")
            )
        self.assertIn(b"connection: close", response)
        self.assertTrue(response.endswith(b"<end>"))

    async def test_application_requests_connection_close(self) -> None:
        async with running_server() as server:
            server.app.extra_headers = {"connection": "close"}
            self.assertTrue((await server.async_exchange(POST)).endswith(b"<end>"))

    async def test_oversized_bodies_and_headers_are_refused(self) -> None:
        body = POST.replace(b"4", b"3000").replace(b"body", b"x" * 3000)
        head = b"GET /a HTTP/1.1\r\n" + b"X: y\r\n" * 10_000
        async with running_server() as server:
            for data in (body, head):
                response = await server.async_exchange(data)
                self.assertIn(b"413", response)
                self.assertIn(b"not_run", response)
            self.assertEqual([], server.app.requests)

    async def test_refusal_is_not_lost_if_the_client_goes_on_sending(self) -> None:
        """Closing a connection with unread bytes resets it, and the client loses the response."""
        async with running_server() as server:
            for _ in range(5):
                async with await server.async_open() as stream:
                    await stream.send_all(b"GET /a HTTP/1.1\r\n" + b"X: y\r\n" * 6_000)
                    await trio.sleep(0.05)
                    for _ in range(3):
                        await stream.send_all(b"X: y\r\n" * 3_000)
                        await trio.sleep(0.02)
                    response = await async_read(stream)
                    self.assertIn(b"413", response)
                    self.assertTrue(response.endswith(b"<end>"))

    async def test_malformed_input_gets_an_error_and_server_keeps_serving(self) -> None:
        rng = random.Random(SEED)
        async with running_server() as server:
            for _ in range(30):
                await server.async_exchange(rng.randbytes(rng.randint(1, 300)))
            self.assertIn(b"400 Bad Request", await server.async_exchange(b"\x00garbage\r\n\r\n"))
            self.assertIn(b"200 OK", await server.async_exchange(POST))

    async def test_mutated_requests_do_not_stop_the_server(self) -> None:
        rng = random.Random(SEED)
        async with running_server() as server:
            for _ in range(60):
                data = bytearray(POST)
                for _ in range(rng.randint(1, 4)):
                    data[rng.randrange(len(data))] = rng.randrange(256)
                stream = await server.async_open()
                async with stream:
                    await stream.send_all(data)
                    await async_read(stream, 0.01)
            self.assertIn(b"200 OK", await server.async_exchange(POST))

    async def test_request_with_an_odd_target_and_more_bytes_does_not_stop_the_server(self) -> None:
        """Reader and responder both have an error to send, in the same round of the event loop."""
        max_body_bytes = 8 * MAX_RECEIVE_BYTES
        head = b"PUT http:///a HTTP/1.1\r\nHost: h\r\nContent-Length: "
        for size in (max_body_bytes, 20000):  # the bytes that follow are read separately, or not
            length = size - len(head) - len(b"00000\r\n\r\n")
            data = head + b"%d\r\n\r\n" % length + b"\xff" * length + b"\x00\xff\xfe\x01\r\n\r\n"
            async with running_server(max_body_bytes=max_body_bytes) as server:
                for _ in range(20):
                    async with await server.async_open() as stream:
                        await stream.send_all(data)
                        await async_read(stream, 0.01)
                self.assertIn(b"200 OK", await server.async_exchange(POST))

    async def test_response_beside_an_interim_response_does_not_stop_the_server(self) -> None:
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n"
        async with running_server() as server:
            for rounds in range(20):
                async with await server.async_open() as stream:
                    await stream.send_all(GET)
                    await trio.sleep(0.01)
                    await stream.send_all(head)
                    for _ in range(rounds):
                        await trio.lowlevel.checkpoint()
                    server.app.release.set()
                    server.app.release = trio.Event()
                    await async_read(stream, 0.02)
            self.assertIn(b"200 OK", await server.async_exchange(POST))

    async def test_unexpected_error_of_a_connection_does_not_stop_the_server(self) -> None:
        async with running_server() as server:
            with patch.object(RequestReader, "feed", side_effect=RuntimeError("on purpose")):
                self.assertEqual(b"<end>", await server.async_exchange(POST))
            self.assertIn(b"200 OK", await server.async_exchange(POST))

    async def test_application_is_notified_of_disconnect(self) -> None:
        async with running_server() as server:
            stream = await server.async_open()
            await stream.send_all(GET)
            await trio.sleep(0.05)
            await stream.aclose()
            with trio.fail_after(1.0):
                while not server.app.disconnects:
                    await trio.sleep(0.01)

    async def test_failed_handler_closes_connection_without_response(self) -> None:
        async with running_server() as server:
            self.assertEqual(b"<end>", await server.async_exchange(POST.replace(b"/a", b"/fail")))
            self.assertIn(b"200 OK", await server.async_exchange(POST))

    async def test_graceful_stop_completes_requests_in_progress(self) -> None:
        async with running_server() as server:
            idle, busy = await server.async_open(), await server.async_open()
            await idle.send_all(POST)
            self.assertIn(b"200 OK", await async_read(idle))
            await busy.send_all(GET)
            await trio.sleep(0.05)
            server.stopping.set()
            self.assertEqual(b"<end>", await async_read(idle))
            with self.assertRaises(OSError):
                await server.async_open()
            server.app.release.set()
            response = await async_read(busy)
            self.assertIn(b"200 OK", response)
            self.assertTrue(response.endswith(b"<end>"))

    async def test_stop_ends_although_a_client_never_stops_sending(self) -> None:
        async with running_server(grace_s=0.2) as server:
            stream = await server.async_open()
            async with stream, trio.open_nursery() as nursery:

                async def async_flood() -> None:
                    with suppress(trio.BrokenResourceError):
                        await stream.send_all(b"POST /a HTTP/1.1\r\nContent-Length: 1900\r\n\r\n")
                        while True:
                            await stream.send_all(b"x" * 65536)

                nursery.start_soon(async_flood)
                await trio.sleep(TICK_S)
                server.stopping.set()
                # Closing the listener's connections ends the flood.
                with trio.fail_after(5.0):
                    while nursery.child_tasks:
                        await trio.sleep(0.01)

    async def test_stop_ends_after_grace_time(self) -> None:
        async with running_server(grace_s=0.2) as server, await server.async_open() as stream:
            await stream.send_all(GET)
            await trio.sleep(0.05)
            server.stopping.set()
            self.assertEqual(b"<end>", await async_read(stream, 1.0))


class RequestOriginTest(TestCase):
    """What the server tells of a request that was read late."""

    def connect(self, server: ServerHandle) -> socket.socket:
        client = socket.create_connection(("127.0.0.1", server.port))
        self.addCleanup(client.close)
        return client

    async def _async_origins(self, server: ServerHandle, count: int) -> list[RequestOrigin]:
        with trio.fail_after(5.0):
            while len(server.app.origins) < count:
                await trio.sleep(0.005)
        return server.app.origins

    async def test_age_includes_a_pause_on_an_open_connection(self) -> None:
        async with running_server() as server:
            client = self.connect(server)
            await trio.sleep(0.2)
            before_s = clock.boot_s()
            client.sendall(POST)
            time.sleep(PAUSE_S)  # noqa: ASYNC251
            (origin,) = await self._async_origins(server, 1)
            self.assertLessEqual(origin.arrived_after_s, before_s)
            self.assertGreater(origin.arrived_after_s, before_s - MAX_IMPRECISION_S)

    async def test_age_includes_the_wait_in_the_queue_of_the_listener(self) -> None:
        async with running_server() as server:
            await trio.sleep(0.2)
            before_s = clock.boot_s()
            for _ in range(QUEUED_CONNECTIONS):
                self.connect(server).sendall(POST)
            time.sleep(PAUSE_S)  # noqa: ASYNC251
            for origin in await self._async_origins(server, QUEUED_CONNECTIONS):
                self.assertLessEqual(origin.arrived_after_s, before_s)

    async def test_age_includes_pauses_in_series_while_requests_are_unread(self) -> None:
        """Each pause is shorter than those that are noticed, and the request waits for its turn."""
        async with running_server() as server:
            client = self.connect(server)
            await trio.sleep(0.2)
            before_s = clock.boot_s()
            client.sendall(POST[:20])
            for _ in range(5):
                time.sleep(0.1)  # noqa: ASYNC251
                await trio.sleep(0.005)
            client.sendall(POST[20:])
            (origin,) = await self._async_origins(server, 1)
            self.assertLessEqual(origin.arrived_after_s, before_s)

    async def test_age_is_small_without_a_pause(self) -> None:
        async with running_server() as server, await server.async_open() as stream:
            for _ in range(3):
                for _ in range(5):
                    await trio.sleep(TICK_S)
                sent_at_s = clock.boot_s()
                await stream.send_all(POST)
                await async_read(stream)
                arrived_after_s = server.app.origins[-1].arrived_after_s
                self.assertGreater(arrived_after_s, sent_at_s - MAX_IMPRECISION_S)

    async def test_client_that_has_left_is_noticed_behind_unread_bytes(self) -> None:
        async with running_server() as server:
            client = self.connect(server)
            client.sendall(GET)
            (origin,) = await self._async_origins(server, 1)
            self.assertFalse(origin.has_left())
            client.sendall(POST * 3)
            client.close()
            self.assertTrue(origin.has_left())
