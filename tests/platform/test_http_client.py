"""Calls over kept connections: reuse, verdicts, and answers that can't be used."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from pistachiohill.platform.http_client import MAX_HEAD_BYTES, HttpClient, NoReply, Reply

from ..base import TestCase

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
CLOSING = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}"
CHUNKED = b"HTTP/1.1 503 X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"


class Server:
    """Answers every request with the same bytes, in pieces, and counts connections."""

    def __init__(self, answer: bytes, pieces: int = 1, ends: bool = False) -> None:
        self.connections = 0
        self.requests: list[bytes] = []
        self._answer = answer
        self._pieces = pieces
        self._ends = ends

    async def async_handle(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        size = max(1, -(-len(self._answer) // self._pieces))
        async for data in stream:
            self.requests.append(data)
            for start in range(0, len(self._answer), size):
                await stream.send_all(self._answer[start : start + size])
                await trio.sleep(0.001)
            if self._ends:
                break


@asynccontextmanager
async def served(server: Server) -> AsyncIterator[HttpClient]:
    async with trio.open_nursery() as nursery:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, server.async_handle, [listener])
        port = listener.socket.getsockname()[1]
        client = HttpClient(f"http://127.0.0.1:{port}", 4)
        yield client
        await client.async_close()
        nursery.cancel_scope.cancel()


class HttpClientTest(TestCase):
    async def test_a_connection_is_used_again(self) -> None:
        server = Server(OK, pieces=7)
        async with served(server) as client:
            for _ in range(5):
                self.assertEqual(Reply(200, b"{}"), await client.async_call("POST", "/a", b"x"))
        self.assertEqual(1, server.connections)

    async def test_a_request_is_whole(self) -> None:
        server = Server(OK)
        async with served(server) as client:
            await client.async_call("POST", "/a?b=1", b"body", {"X-Name": "value"})
        lines = server.requests[0].split(b"\r\n")
        self.assertEqual(b"POST /a?b=1 HTTP/1.1", lines[0])
        self.assertIn(b"X-Name: value", lines)
        self.assertIn(b"Content-Length: 4", lines)
        self.assertEqual([b"", b"body"], lines[-2:])

    async def test_a_line_break_in_the_head_is_refused(self) -> None:
        async with served(Server(OK)) as client:
            with self.assertRaises(ValueError):
                await client.async_call("POST", "/a\r\nX: y")

    async def test_a_closing_answer_ends_its_connection(self) -> None:
        server = Server(CLOSING)
        async with served(server) as client:
            for _ in range(2):
                self.assertEqual(Reply(200, b"{}"), await client.async_call("GET", "/"))
        self.assertEqual(2, server.connections)

    async def test_chunks_are_joined(self) -> None:
        async with served(Server(CHUNKED, pieces=9)) as client:
            self.assertEqual(Reply(503, b"abcde"), await client.async_call("GET", "/"))

    async def test_a_connection_that_the_server_closed_is_not_used(self) -> None:
        server = Server(OK, ends=True)
        async with served(server) as client:
            for _ in range(3):
                self.assertEqual(Reply(200, b"{}"), await client.async_call("GET", "/"))
                await trio.sleep(0.02)
        self.assertEqual(3, server.connections)

    async def test_answers_that_cannot_be_used_may_have_run(self) -> None:
        endless = b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * MAX_HEAD_BYTES
        for answer in (b"garbage\r\n\r\n", OK[:-1], b"HTTP/1.1 200 OK\r\n", endless):
            async with served(Server(answer, ends=True)) as client:
                outcome = await client.async_call("GET", "/")
                assert isinstance(outcome, NoReply)
                self.assertTrue(outcome.sent)

    async def test_a_silent_server_is_given_up_in_time(self) -> None:
        async with served(Server(b"", pieces=1)) as client:
            with trio.fail_after(1.0):
                outcome = await client.async_call("GET", "/", timeout_s=0.05)
        assert isinstance(outcome, NoReply)
        self.assertTrue(outcome.sent)

    async def test_a_refused_connection_was_not_sent(self) -> None:
        outcome = await HttpClient("http://127.0.0.1:1", 1).async_call("GET", "/")
        assert isinstance(outcome, NoReply)
        self.assertFalse(outcome.sent)
