"""The server for callers: whole requests, bad ones, callers that leave, and planned stops."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import trio

from pistachiohill.http.direct_server import async_serve_directly
from pistachiohill.http.models import json_response
from pistachiohill.http.server import async_send_response

from ..base import TestCase

SEED = 20261204
MAX_BODY_BYTES = 2000
POST = b"POST /a?b=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
GET = b"GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"


class App:
    """Answers with what it was sent; `/slow` waits for `go` or for the caller to leave."""

    def __init__(self) -> None:
        self.seen: list[tuple[str, str, bytes]] = []
        self.left = 0
        self.go = trio.Event()
        self.extra: dict[str, str] = {}

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        body = (await receive())["body"]
        self.seen.append((scope["method"], scope["path"], body))
        if scope["path"] == "/fail":
            raise RuntimeError("failed on purpose")
        if scope["path"] == "/slow" and not await self.async_wait(receive):
            self.left += 1
            return
        await async_send_response(send, json_response({"n": len(body)}, headers=self.extra))

    async def async_wait(self, receive: Any) -> bool:
        """Return whether `go` came before the caller left."""
        async with trio.open_nursery() as nursery:

            async def async_watch() -> None:
                await receive()
                nursery.cancel_scope.cancel()

            nursery.start_soon(async_watch)
            await self.go.wait()
            nursery.cancel_scope.cancel()
        return self.go.is_set()


class Served:
    """A server on loopback and how to reach it."""

    def __init__(self, app: App, port: int, stopping: trio.Event) -> None:
        self.app = app
        self.port = port
        self.stopping = stopping

    async def async_open(self) -> trio.SocketStream:
        return await trio.open_tcp_stream("127.0.0.1", self.port)

    async def async_talk(self, data: bytes) -> bytes:
        """Send bytes and read until the server closes or nothing comes for a moment."""
        stream = await self.async_open()
        async with stream:
            await stream.send_all(data)
            return await async_read(stream)


async def async_read(stream: trio.SocketStream, quiet_s: float = 0.1) -> bytes:
    found = b""
    with trio.move_on_after(quiet_s) as scope:
        while data := await stream.receive_some(65536):
            found += data
            scope.deadline = trio.current_time() + quiet_s
        return found + b"<end>"
    return found


@asynccontextmanager
async def served(grace_s: float = 2.0) -> AsyncIterator[Served]:
    app, stopping = App(), trio.Event()
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listener.socket.getsockname()[1]
    await listener.aclose()
    async with trio.open_nursery() as nursery:

        async def async_start(task_status: trio.TaskStatus[None]) -> None:
            await async_serve_directly(
                app,
                f"127.0.0.1:{port}",
                MAX_BODY_BYTES,
                stopping,
                grace_s,
                task_status=task_status,
            )

        await nursery.start(async_start)
        yield Served(app, port, stopping)
        nursery.cancel_scope.cancel()


class DirectServerTest(TestCase):
    async def test_requests_on_one_connection(self) -> None:
        async with served() as server, await server.async_open() as stream:
            for _ in range(3):
                await stream.send_all(POST)
                answer = await async_read(stream)
                self.assertTrue(answer.startswith(b"HTTP/1.1 200 OK\r\n"), answer)
                self.assertTrue(answer.endswith(b'{"n": 4}'), answer)
            self.assertEqual([("POST", "/a", b"body")] * 3, server.app.seen)

    async def test_requests_sent_together_are_answered_in_order(self) -> None:
        async with served() as server:
            answer = await server.async_talk(POST * 5)
        self.assertEqual(5, answer.count(b"HTTP/1.1 200 OK"))

    async def test_a_request_in_pieces(self) -> None:
        async with served() as server, await server.async_open() as stream:
            for number in range(len(POST)):
                await stream.send_all(POST[number : number + 1])
                await trio.sleep(0)
            self.assertIn(b"200 OK", await async_read(stream))
            self.assertEqual([("POST", "/a", b"body")], server.app.seen)

    async def test_chunks_and_expected_continue(self) -> None:
        head = (
            b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n"
            b"Host: h\r\n\r\n"
        )
        async with served() as server, await server.async_open() as stream:
            await stream.send_all(head)
            self.assertIn(b"100 Continue", await async_read(stream))
            await stream.send_all(b"3\r\nabc\r\n0\r\n\r\n")
            self.assertIn(b'{"n": 3}', await async_read(stream))

    async def test_a_caller_that_asks_to_close(self) -> None:
        async with served() as server:
            answer = await server.async_talk(POST.replace(b"Host", b"Connection: close\r\nHost"))
        self.assertIn(b"connection: close", answer)
        self.assertTrue(answer.endswith(b"<end>"))

    async def test_an_application_that_asks_to_close(self) -> None:
        async with served() as server:
            server.app.extra = {"connection": "close"}
            self.assertTrue((await server.async_talk(POST)).endswith(b"<end>"))

    async def test_large_bodies_and_heads_are_refused(self) -> None:
        body = POST.replace(b"4", b"3000").replace(b"body", b"x" * 3000)
        head = b"GET /a HTTP/1.1\r\n" + b"X: y\r\n" * 10_000
        async with served() as server:
            for data in (body, head):
                answer = await server.async_talk(data)
                self.assertIn(b"413", answer)
                self.assertIn(b"not_run", answer)
            self.assertEqual([], server.app.seen)

    async def test_garbage_gets_an_error_and_harms_nothing(self) -> None:
        draw = random.Random(SEED)
        async with served() as server:
            for _ in range(30):
                await server.async_talk(draw.randbytes(draw.randint(1, 300)))
            self.assertIn(b"400 Bad Request", await server.async_talk(b"\x00garbage\r\n\r\n"))
            self.assertIn(b"200 OK", await server.async_talk(POST))

    async def test_a_mutated_request_never_stops_the_server(self) -> None:
        draw = random.Random(SEED)
        async with served() as server:
            for _ in range(60):
                data = bytearray(POST)
                for _ in range(draw.randint(1, 4)):
                    data[draw.randrange(len(data))] = draw.randrange(256)
                stream = await server.async_open()
                async with stream:
                    await stream.send_all(data)
                    await async_read(stream, 0.01)
            self.assertIn(b"200 OK", await server.async_talk(POST))

    async def test_the_application_hears_that_the_caller_left(self) -> None:
        async with served() as server:
            stream = await server.async_open()
            await stream.send_all(GET)
            await trio.sleep(0.05)
            await stream.aclose()
            with trio.fail_after(1.0):
                while not server.app.left:
                    await trio.sleep(0.01)

    async def test_a_failed_handler_ends_the_connection_without_an_answer(self) -> None:
        async with served() as server:
            self.assertEqual(b"<end>", await server.async_talk(POST.replace(b"/a", b"/fail")))
            self.assertIn(b"200 OK", await server.async_talk(POST))

    async def test_a_planned_stop_cuts_no_request(self) -> None:
        async with served() as server:
            idle, busy = await server.async_open(), await server.async_open()
            await idle.send_all(POST)
            self.assertIn(b"200 OK", await async_read(idle))
            await busy.send_all(GET)
            await trio.sleep(0.05)
            server.stopping.set()
            self.assertEqual(b"<end>", await async_read(idle))
            with self.assertRaises(OSError):
                await server.async_open()
            server.app.go.set()
            answer = await async_read(busy)
            self.assertIn(b"200 OK", answer)
            self.assertTrue(answer.endswith(b"<end>"))

    async def test_a_stop_ends_after_its_grace(self) -> None:
        async with served(grace_s=0.2) as server, await server.async_open() as stream:
            await stream.send_all(GET)
            await trio.sleep(0.05)
            server.stopping.set()
            self.assertEqual(b"<end>", await async_read(stream, 1.0))
