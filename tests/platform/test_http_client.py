"""HTTP client: reuse of connections, failed requests and invalid responses."""

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from pistachiohill.platform.const import SUSPECT_IDLE_S
from pistachiohill.platform.http_client import (
    MAX_RESPONSE_HEADER_BYTES,
    HttpClient,
    HttpResponse,
    NoResponse,
)

from ..base import TestCase

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
CLOSING = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}"
CHUNKED = b"HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"


class Server:
    """Sends the same response to every request, split into parts, and counts connections."""

    def __init__(self, response: bytes, parts: int = 1, closes: bool = False) -> None:
        self.connections = 0
        self.silent = False
        self.requests: list[bytes] = []
        self._response = response
        self._parts = parts
        self._closes = closes

    async def async_handle(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        size = max(1, -(-len(self._response) // self._parts))
        async for data in stream:
            self.requests.append(data)
            if self.silent:
                continue
            for start in range(0, len(self._response), size):
                await stream.send_all(self._response[start : start + size])
                await trio.sleep(0.001)
            if self._closes:
                break


class FreezeAfterStep(trio.abc.Instrument):
    """Stops the whole process for a while once the present step of a Trio task is over."""

    def __init__(self, task: trio.lowlevel.Task, pause_s: float) -> None:
        self.done = False
        self._task = task
        self._pause_s = pause_s

    def after_task_step(self, task: trio.lowlevel.Task) -> None:
        if task is self._task and not self.done:
            self.done = True
            time.sleep(self._pause_s)


@asynccontextmanager
async def http_client_of(server: Server) -> AsyncIterator[HttpClient]:
    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, server.async_handle, [listener])
        port = listener.socket.getsockname()[1]
        client = HttpClient(f"http://127.0.0.1:{port}", 4)
        yield client
        await client.async_close()
        nursery.cancel_scope.cancel()


class HttpClientTest(TestCase):
    async def test_connection_is_reused(self) -> None:
        server = Server(OK, parts=7)
        async with http_client_of(server) as client:
            for _ in range(5):
                self.assertEqual(
                    HttpResponse(200, b"{}"), await client.async_request("POST", "/a", b"x")
                )
        self.assertEqual(1, server.connections)

    async def test_request_is_complete(self) -> None:
        server = Server(OK)
        async with http_client_of(server) as client:
            await client.async_request("POST", "/a?b=1", b"body", {"X-Name": "value"})
        lines = server.requests[0].split(b"\r\n")
        self.assertEqual(b"POST /a?b=1 HTTP/1.1", lines[0])
        self.assertIn(b"X-Name: value", lines)
        self.assertIn(b"Content-Length: 4", lines)
        self.assertEqual([b"", b"body"], lines[-2:])

    async def test_line_break_in_request_line_is_refused(self) -> None:
        async with http_client_of(Server(OK)) as client:
            with self.assertRaises(ValueError):
                await client.async_request("POST", "/a\r\nX: y")

    async def test_connection_is_closed_if_the_response_says_so(self) -> None:
        server = Server(CLOSING)
        async with http_client_of(server) as client:
            for _ in range(2):
                self.assertEqual(HttpResponse(200, b"{}"), await client.async_request("GET", "/"))
        self.assertEqual(2, server.connections)

    async def test_chunked_body_is_joined(self) -> None:
        async with http_client_of(Server(CHUNKED, parts=9)) as client:
            self.assertEqual(HttpResponse(503, b"abcde"), await client.async_request("GET", "/"))

    async def test_connection_closed_by_the_server_is_not_reused(self) -> None:
        server = Server(OK, closes=True)
        async with http_client_of(server) as client:
            for _ in range(3):
                self.assertEqual(HttpResponse(200, b"{}"), await client.async_request("GET", "/"))
                await trio.sleep(0.02)
        self.assertEqual(3, server.connections)

    async def test_request_with_invalid_response_counts_as_sent(self) -> None:
        oversized_headers = b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * MAX_RESPONSE_HEADER_BYTES
        for response in (b"garbage\r\n\r\n", OK[:-1], b"HTTP/1.1 200 OK\r\n", oversized_headers):
            async with http_client_of(Server(response, closes=True)) as client:
                outcome = await client.async_request("GET", "/")
                assert isinstance(outcome, NoResponse)
                self.assertTrue(outcome.sent)

    async def test_unresponsive_server_times_out(self) -> None:
        async with http_client_of(Server(b"", parts=1)) as client:
            with trio.fail_after(1.0):
                outcome = await client.async_request("GET", "/", timeout_s=0.05)
        assert isinstance(outcome, NoResponse)
        self.assertTrue(outcome.sent)

    async def test_request_prepared_before_a_pause_is_not_sent_after_its_timeout(self) -> None:
        for uses_idle_connection in (False, True):
            server = Server(OK)
            async with http_client_of(server) as client:
                if uses_idle_connection:
                    await client.async_request("POST", "/first")
                freeze = FreezeAfterStep(trio.lowlevel.current_task(), 0.2)
                trio.lowlevel.add_instrument(freeze)
                response = await client.async_request("POST", "/late", timeout_s=0.08)
                await trio.sleep(0.1)
            self.assertTrue(freeze.done)
            self.assertIsInstance(response, NoResponse)
            self.assertNotIn(b"/late", b"".join(server.requests))

    async def test_refused_connection_counts_as_not_sent(self) -> None:
        outcome = await HttpClient("http://127.0.0.1:1", 1).async_request("GET", "/")
        assert isinstance(outcome, NoResponse)
        self.assertFalse(outcome.sent)

    async def test_silent_request_closes_connections_that_were_idle_meanwhile(self) -> None:
        server = Server(OK)
        async with http_client_of(server) as client:
            async with trio.open_nursery() as nursery:
                for _ in range(2):
                    nursery.start_soon(client.async_request, "GET", "/")
            self.assertEqual(2, server.connections)
            server.silent = True
            outcome = await client.async_request("GET", "/", timeout_s=SUSPECT_IDLE_S + 0.1)
            self.assertEqual(NoResponse(True, "no response within 1.1 s", timed_out=True), outcome)
            server.silent = False
            await client.async_request("GET", "/")
            self.assertEqual(3, server.connections)

    async def test_request_on_a_new_connection_uses_none_that_may_have_fallen_silent(self) -> None:
        server = Server(OK)
        async with http_client_of(server) as client:
            await client.async_request("GET", "/")
            await trio.sleep(SUSPECT_IDLE_S + 0.1)
            await client.async_request("GET", "/", new_connection=True)
            self.assertEqual(2, server.connections)
            async with trio.open_nursery() as nursery:
                for _ in range(2):
                    nursery.start_soon(client.async_request, "GET", "/")
            self.assertEqual(3, server.connections)
