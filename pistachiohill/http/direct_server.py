"""Serve an ASGI application to many callers with few steps a request.

A compiled parser reads requests, one task reads a connection and one answers its request, and an
answer leaves in one write. The general server (see `server`) needs about five times the processor
time, which at an entry bounds how many callers it can serve.
"""

from collections import deque
from collections.abc import Sequence
from http import HTTPStatus
from typing import Any, Final

import httptools
import trio
from attrs import define, field

from .. import logs
from ..errors import RefusalReason, Verdict
from .models import Problem, problem_response
from .server import (
    BODY_TIMEOUT_S,
    KEEP_ALIVE_TIMEOUT_S,
    MAX_HEADER_BYTES,
    AsgiApp,
    Scope,
    async_send_response,
)

MAX_RECEIVE_BYTES: Final = 65536
MAX_WAITING_REQUESTS: Final = 16  # that a caller may send before the first is answered
SEND_TIMEOUT_S: Final = 10.0  # a caller that does not read for so long has gone
CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
BACKLOG: Final = 1024


@define(eq=False)
class ReceivedRequest:
    """A request as it is read."""

    method: str = ""
    target: bytes = b""
    headers: list[tuple[bytes, bytes]] = field(factory=list)
    body: bytearray = field(factory=bytearray)
    keep_alive: bool = True

    def scope(self) -> Scope:
        """Return the request's ASGI scope; raise HttpParserError for a bad target."""
        url = httptools.parse_url(self.target)
        return {
            "type": "http",
            "http_version": "1.1",
            "method": self.method,
            "path": (url.path or b"/").decode("latin-1"),
            "query_string": url.query or b"",
            "headers": self.headers,
        }


class RequestReader:
    """Reads requests from bytes; the parser calls the `on_` methods."""

    def __init__(self, max_body_bytes: int) -> None:
        """Start between two requests."""
        self.complete: deque[ReceivedRequest] = deque()
        self.in_request = False
        self.expects_continue = False
        self.too_large = False
        self._head_bytes = 0
        self._in_body = False
        self._max_body_bytes = max_body_bytes
        self._request = ReceivedRequest()
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """Take in bytes; raise HttpParserError when they are no request."""
        if not self._in_body:
            self._head_bytes += len(data)
        self._parser.feed_data(data)
        if self._head_bytes > MAX_HEADER_BYTES and not self._in_body and self.in_request:
            self.too_large = True

    def on_message_begin(self) -> None:
        """Start a request."""
        self._request = ReceivedRequest()
        self.in_request = True
        self._in_body = False

    def on_url(self, part: bytes) -> None:
        """Add a part of the target."""
        self._request.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        name = name.lower()
        self._request.headers.append((name, value))
        if name == b"expect" and value.lower() == b"100-continue":
            self.expects_continue = True

    def on_headers_complete(self) -> None:
        """Note that the head has ended."""
        self._request.method = self._parser.get_method().decode("latin-1")
        self._in_body = True
        self._head_bytes = 0

    def on_body(self, part: bytes) -> None:
        """Add a part of the body."""
        self._request.body += part
        if len(self._request.body) > self._max_body_bytes:
            self.too_large = True

    def on_message_complete(self) -> None:
        """Hand on a whole request."""
        self._request.keep_alive = bool(self._parser.should_keep_alive())
        self.in_request = False
        self._in_body = False
        self.expects_continue = False
        if not self.too_large:
            self.complete.append(self._request)


class Exchange:
    """One request and its answer, as an ASGI application sees them."""

    def __init__(self, request: ReceivedRequest, left: trio.Event) -> None:
        """Wrap a request; `left` is set when the caller has gone."""
        self.request = request
        self.answer = b""
        self.close = not request.keep_alive
        self._left = left
        self._body_given = False
        self._head = b""
        self._body = bytearray()

    async def async_receive(self) -> Scope:
        """Return the body, and after that wait until the caller has gone."""
        if not self._body_given:
            self._body_given = True
            return {"type": "http.request", "body": bytes(self.request.body), "more_body": False}
        await self._left.wait()
        return {"type": "http.disconnect"}

    async def async_send(self, event: Scope) -> None:
        """Take a part of the answer."""
        if event["type"] == "http.response.start":
            self._take_head(event)
            return
        self._body += event.get("body", b"")
        if not event.get("more_body", False):
            shown = b"" if self.request.method == "HEAD" else bytes(self._body)
            self.answer = self._head + shown

    def _take_head(self, event: Scope) -> None:
        lines = [f"HTTP/1.1 {event['status']} {_phrase(event['status'])}".encode()]
        for name, value in event["headers"]:
            lines.append(name + b": " + value)
            if name.lower() == b"connection" and value.lower() == b"close":
                self.close = True
        if self.close and not any(line.lower() == b"connection: close" for line in lines):
            lines.append(b"connection: close")
        self._head = b"\r\n".join([*lines, b"", b""])


class CallerConnection:
    """One caller's connection."""

    def __init__(self, app: AsgiApp, stream: trio.SocketStream, max_body_bytes: int) -> None:
        """Serve one stream."""
        self._app = app
        self._stream = stream
        self._reader = RequestReader(max_body_bytes)
        self._left = trio.Event()
        self._more = trio.Event()
        self._busy = False
        self._stopping = False
        self._scope = trio.CancelScope()

    def stop(self) -> None:
        """End the connection after the request in progress, or now where there is none."""
        self._stopping = True
        if not self._busy and not self._reader.complete:
            self._scope.cancel()

    async def async_run(self) -> None:
        """Answer requests until either side ends the connection."""
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._async_read)
                    await self._async_answer_all()
                    nursery.cancel_scope.cancel()
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self._stream)

    async def _async_read(self) -> None:
        """Read requests until the caller has gone, is too slow or sends what is no request."""
        try:
            while len(self._reader.complete) <= MAX_WAITING_REQUESTS:
                data = await self._async_receive()
                if not data:
                    break
                self._reader.feed(data)
                if self._reader.too_large:
                    await self._async_refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
                    break
                if self._reader.expects_continue:
                    self._reader.expects_continue = False
                    await self._stream.send_all(CONTINUE)
                if self._reader.complete:
                    self._more.set()
        except (trio.BrokenResourceError, trio.ClosedResourceError, trio.BusyResourceError):
            pass
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            logs.event("request_unreadable", detail=err)
            await self._async_refuse(HTTPStatus.BAD_REQUEST)
        self._left.set()
        self._more.set()

    async def _async_receive(self) -> bytes:
        """Return more bytes, none when the caller has gone or is too slow."""
        while True:
            limit_s = BODY_TIMEOUT_S if self._reader.in_request else KEEP_ALIVE_TIMEOUT_S
            with trio.move_on_after(limit_s):
                return bytes(await self._stream.receive_some(MAX_RECEIVE_BYTES))
            if self._reader.in_request:
                await self._async_refuse(HTTPStatus.REQUEST_TIMEOUT)
                return b""
            if not self._busy:
                return b""

    async def _async_refuse(self, status: HTTPStatus) -> None:
        """Answer bytes that are no request, unless a request before them is being answered."""
        if self._busy or self._reader.complete:
            return
        title = _phrase(status)
        problem = Problem(status, RefusalReason.INVALID, Verdict.NOT_RUN, title)
        exchange = Exchange(ReceivedRequest(keep_alive=False), self._left)
        await async_send_response(exchange.async_send, problem_response(problem))
        with trio.move_on_after(SEND_TIMEOUT_S):
            try:
                await self._stream.send_all(exchange.answer)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return

    async def _async_answer_all(self) -> None:
        while True:
            while not self._reader.complete:
                if self._left.is_set() or self._stopping:
                    return
                self._more = trio.Event()
                await self._more.wait()
            request = self._reader.complete.popleft()
            self._busy = True
            keep = await self._async_answer(request)
            self._busy = False
            if not keep or self._stopping:
                return

    async def _async_answer(self, request: ReceivedRequest) -> bool:
        """Answer one request; return whether the connection may be used again."""
        exchange = Exchange(request, self._left)
        try:
            scope = request.scope()
        except httptools.HttpParserError as err:
            logs.event("request_unreadable", detail=err)
            self._busy = False
            await self._async_refuse(HTTPStatus.BAD_REQUEST)
            return False
        try:
            await self._app(scope, exchange.async_receive, exchange.async_send)
        except Exception as err:
            logs.exception("handler_failed", err, path=scope["path"])
        if not exchange.answer:
            # The application gave no answer: the caller has left, or its handler failed.
            return False
        with trio.move_on_after(SEND_TIMEOUT_S) as sending:
            try:
                await self._stream.send_all(exchange.answer)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return False
        return not exchange.close and not sending.cancelled_caught


async def async_serve_directly(
    app: AsgiApp,
    address: str,
    max_body_bytes: int,
    stopping: trio.Event,
    grace_s: float,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application at an address, as host:port, until `stopping` is set.

    Requests in progress may then finish for up to `grace_s` seconds. Larger bodies than
    `max_body_bytes` are refused with 413.
    """
    host, _, port = address.rpartition(":")
    listeners = await trio.open_tcp_listeners(int(port), host=host, backlog=BACKLOG)
    connections: set[CallerConnection] = set()

    async def async_handle(stream: trio.SocketStream) -> None:
        connection = CallerConnection(app, stream, max_body_bytes)
        connections.add(connection)
        try:
            await connection.async_run()
        finally:
            connections.discard(connection)

    async with trio.open_nursery() as handlers, trio.open_nursery() as accepting:
        await accepting.start(_async_accept, async_handle, listeners, handlers)
        task_status.started()
        await stopping.wait()
        accepting.cancel_scope.cancel()
        handlers.cancel_scope.deadline = trio.current_time() + grace_s
        for connection in list(connections):
            connection.stop()


async def _async_accept(
    handler: Any,
    listeners: Sequence[trio.SocketListener],
    handlers: trio.Nursery,
    task_status: trio.TaskStatus[Any],
) -> None:
    await trio.serve_listeners(
        handler, list(listeners), handler_nursery=handlers, task_status=task_status
    )


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Status"
