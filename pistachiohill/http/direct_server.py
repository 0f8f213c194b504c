"""HTTP/1.1 server for ASGI applications with a low CPU cost per request.

It uses the compiled parser httptools and two Trio tasks per connection, one to read and one to
respond, and sends each response in one write. The server based on hypercorn (see `server`) needs
about five times the CPU time per request, which limits the number of clients that an entry can
serve.
"""

import errno
import math
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from functools import partial
from http import HTTPStatus
from typing import Final

import httptools
import trio
from attrs import define, field

from .. import clock, early_listeners, logs
from ..errors import RefusalReason, Verdict
from .app import (
    BODY_TIMEOUT_S,
    KEEP_ALIVE_TIMEOUT_S,
    MAX_HEADER_BYTES,
    AsgiApp,
    Scope,
    async_send_response,
)
from .models import Problem, problem_response
from .origin import EmptySince, RequestOrigin, has_peer_closed, is_readable, poll_times

MAX_RECEIVE_BYTES: Final = 65536
MAX_PIPELINED_REQUESTS: Final = 16  # further unanswered requests end reading from the client
SEND_TIMEOUT_S: Final = 10.0  # a client that takes longer to read a response is disconnected
DISCARD_TIMEOUT_S: Final = 1.0
CONTINUE_RESPONSE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
LISTEN_BACKLOG: Final = 1024
# Errors of accepting a connection that pass once other connections or files are closed.
CAPACITY_ERRORS: Final = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS})
CAPACITY_RETRY_S: Final = 0.1


@define(eq=False)
class ReceivedRequest:
    """An HTTP request, filled in by RequestReader while it is received.

    `arrived_after_s` is a boot time after which its first byte arrived.
    """

    method: str = ""
    target: bytes = b""
    headers: list[tuple[bytes, bytes]] = field(factory=list)
    body: bytearray = field(factory=bytearray)
    keep_alive: bool = True
    arrived_after_s: float = math.inf

    def scope(self) -> Scope:
        """Return the request's ASGI scope; raise HttpParserError for an invalid target."""
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
    """Parses a byte stream into requests; the `on_` methods are called by httptools."""

    def __init__(self, max_body_bytes: int) -> None:
        """Initialize a reader that expects the start of a request."""
        self.complete: deque[ReceivedRequest] = deque()
        self.in_request = False
        self.expects_continue = False
        self.too_large = False
        self._header_bytes = 0
        self._in_body = False
        self._max_body_bytes = max_body_bytes
        self._arrived_after_s = math.inf
        self._request = ReceivedRequest()
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes, arrived_after_s: float = math.inf) -> None:
        """Parse received bytes; raise HttpParserError if they are not valid HTTP."""
        self._arrived_after_s = arrived_after_s
        if not self._in_body:
            self._header_bytes += len(data)
        self._parser.feed_data(data)
        if self._header_bytes > MAX_HEADER_BYTES and not self._in_body and self.in_request:
            self.too_large = True

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._request = ReceivedRequest(arrived_after_s=self._arrived_after_s)
        self.in_request = True
        self._in_body = False

    def on_url(self, part: bytes) -> None:
        """Append a part of the request target."""
        self._request.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header, with its name in lower case."""
        name = name.lower()
        self._request.headers.append((name, value))
        if name == b"expect" and value.lower() == b"100-continue":
            self.expects_continue = True

    def on_headers_complete(self) -> None:
        """Set the method; the bytes that follow belong to the body."""
        self._request.method = self._parser.get_method().decode("latin-1")
        self._in_body = True
        self._header_bytes = 0

    def on_body(self, part: bytes) -> None:
        """Append a part of the body."""
        self._request.body += part
        if len(self._request.body) > self._max_body_bytes:
            self.too_large = True

    def on_message_complete(self) -> None:
        """Queue the complete request, unless it is too large."""
        self._request.keep_alive = bool(self._parser.should_keep_alive())
        self.in_request = False
        self._in_body = False
        self.expects_continue = False
        if not self.too_large:
            self.complete.append(self._request)


class Exchange:
    """One request and its response, with the ASGI `receive` and `send` callables."""

    def __init__(self, request: ReceivedRequest, disconnected: trio.Event) -> None:
        """Wrap a request; `disconnected` is set when the client has disconnected."""
        self.request = request
        self.response = b""
        self.close = not request.keep_alive
        self._disconnected = disconnected
        self._body_delivered = False
        self._head = b""
        self._body = bytearray()

    async def async_receive(self) -> Scope:
        """Return the body on the first call; later calls wait until the client disconnects."""
        if not self._body_delivered:
            self._body_delivered = True
            return {"type": "http.request", "body": bytes(self.request.body), "more_body": False}
        await self._disconnected.wait()
        return {"type": "http.disconnect"}

    async def async_send(self, event: Scope) -> None:
        """Handle a response event; `response` is set once the body is complete."""
        if event["type"] == "http.response.start":
            self._start_response(event)
            return
        self._body += event.get("body", b"")
        if not event.get("more_body", False):
            body = b"" if self.request.method == "HEAD" else bytes(self._body)
            self.response = self._head + body

    def _start_response(self, event: Scope) -> None:
        lines = [f"HTTP/1.1 {event['status']} {_reason_phrase(event['status'])}".encode()]
        for name, value in event["headers"]:
            lines.append(name + b": " + value)
            if name.lower() == b"connection" and value.lower() == b"close":
                self.close = True
        if self.close and not any(line.lower() == b"connection: close" for line in lines):
            lines.append(b"connection: close")
        self._head = b"\r\n".join([*lines, b"", b""])


class HttpConnection:
    """A client's connection, on which requests are handled one after the other."""

    def __init__(
        self,
        app: AsgiApp,
        client_socket: socket.socket,
        max_body_bytes: int,
        connected_after_s: float,
    ) -> None:
        """Initialize the connection for a socket, to which nothing was sent before a boot time."""
        self._app = app
        self._socket = client_socket
        self._stream = trio.SocketStream(trio.socket.from_stdlib_socket(client_socket))
        self._empty = EmptySince(connected_after_s)
        self._reader = RequestReader(max_body_bytes)
        self._disconnected = trio.Event()
        self._request_ready = trio.Event()
        self._send_lock = trio.Lock()
        self._busy = False
        self._stopping = False
        self._scope = trio.CancelScope()

    def stop(self) -> None:
        """Close the connection after the request in progress, or at once if there is none."""
        self._stopping = True
        if not self._busy and not self._reader.complete:
            self._scope.cancel()

    async def async_run(self) -> None:
        """Handle requests until either side closes the connection."""
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._async_read)
                    await self._async_respond_all()
                    nursery.cancel_scope.cancel()
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self._stream)

    async def _async_read(self) -> None:
        """Read requests until the client disconnects, times out or sends an invalid request."""
        try:
            while len(self._reader.complete) <= MAX_PIPELINED_REQUESTS:
                data = await self._async_receive()
                if not data:
                    break
                self._reader.feed(data, self._empty.seen_at_s)
                if self._reader.too_large:
                    await self._async_refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
                    break
                if self._reader.expects_continue:
                    self._reader.expects_continue = False
                    await self._async_send(CONTINUE_RESPONSE)
                if self._reader.complete:
                    self._request_ready.set()
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            trio.BusyResourceError,
            OSError,
        ):
            pass
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as err:
            logs.event("request_unreadable", detail=err)
            await self._async_refuse(HTTPStatus.BAD_REQUEST)
        self._disconnected.set()
        self._request_ready.set()

    async def _async_receive(self) -> bytes:
        """Return received bytes; empty if the client has disconnected or timed out."""
        while True:
            timeout_s = BODY_TIMEOUT_S if self._reader.in_request else KEEP_ALIVE_TIMEOUT_S
            with trio.move_on_after(timeout_s):
                return await self._async_receive_some()
            if self._reader.in_request:
                await self._async_refuse(HTTPStatus.REQUEST_TIMEOUT)
                return b""
            if not self._busy:
                return b""

    async def _async_receive_some(self) -> bytes:
        """Return received bytes, empty at the end; raise OSError if the connection is broken."""
        waited = False
        while True:
            now_s = clock.boot_s()
            try:
                data = self._socket.recv(MAX_RECEIVE_BYTES)
                break
            except BlockingIOError:
                await self._empty.async_wait_readable(self._socket, now_s)
                waited = True
        if not waited:
            await trio.lowlevel.cancel_shielded_checkpoint()
        return data

    async def _async_refuse(self, status: HTTPStatus) -> None:
        """Send an error for bytes that are no request, unless an earlier request is pending."""
        if self._busy or self._reader.complete:
            return
        await self._async_send_error(status)
        await self._async_discard()

    async def _async_discard(self) -> None:
        """Read what the client still sends, until it has seen the response.

        Closing a connection with unread bytes resets it, and the response can be lost.
        """
        with trio.move_on_after(DISCARD_TIMEOUT_S):
            try:
                await self._stream.send_eof()
                while await self._async_receive_some():
                    pass
            except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
                return

    async def _async_send_error(self, status: HTTPStatus) -> None:
        title = _reason_phrase(status)
        problem = Problem(status, RefusalReason.INVALID, Verdict.NOT_RUN, title)
        exchange = Exchange(ReceivedRequest(keep_alive=False), self._disconnected)
        await async_send_response(exchange.async_send, problem_response(problem))
        await self._async_send(exchange.response)

    async def _async_send(self, data: bytes) -> bool:
        """Send bytes, and return whether the client took them in time.

        Both tasks of the connection send, and a stream can be used by one at a time.
        """
        with trio.move_on_after(SEND_TIMEOUT_S):
            async with self._send_lock:
                try:
                    await self._stream.send_all(data)
                except (trio.BrokenResourceError, trio.ClosedResourceError):
                    return False
                return True
        return False

    async def _async_respond_all(self) -> None:
        """Respond to requests in the order received, until the connection is to be closed."""
        while True:
            while not self._reader.complete:
                if self._disconnected.is_set() or self._stopping:
                    return
                self._request_ready = trio.Event()
                await self._request_ready.wait()
            request = self._reader.complete.popleft()
            self._busy = True
            keep_alive = await self._async_respond(request)
            self._busy = False
            if not keep_alive or self._stopping:
                return

    async def _async_respond(self, request: ReceivedRequest) -> bool:
        """Respond to one request; return whether the connection can be reused."""
        exchange = Exchange(request, self._disconnected)
        try:
            scope = request.scope()
        except httptools.HttpParserError as err:
            logs.event("request_unreadable", detail=err)
            await self._async_send_error(HTTPStatus.BAD_REQUEST)
            return False
        has_left = partial(has_peer_closed, self._socket)
        scope["origin"] = RequestOrigin(request.arrived_after_s, has_left)
        try:
            await self._app(scope, exchange.async_receive, exchange.async_send)
        except Exception as err:
            logs.exception("handler_failed", err, path=scope["path"])
        if not exchange.response:
            # No response from the application: the client disconnected or the handler failed.
            return False
        return await self._async_send(exchange.response) and not exchange.close


async def async_serve_directly(
    app: AsgiApp,
    address: str,
    max_body_bytes: int,
    stopping: trio.Event,
    grace_s: float,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an ASGI application at `address` (host:port) until `stopping` is set.

    Requests in progress then have up to `grace_s` seconds to finish. Bodies over `max_body_bytes`
    are refused with status 413. An unexpected error is logged and ends only its own connection.
    """
    listeners, opened_at_s = await _async_listen(address)
    connections: set[HttpConnection] = set()

    async def async_handle(client_socket: socket.socket, connected_after_s: float) -> None:
        connection = HttpConnection(app, client_socket, max_body_bytes, connected_after_s)
        connections.add(connection)
        try:
            await connection.async_run()
        except Exception as err:
            logs.exception("connection_failed", err)
        finally:
            connections.discard(connection)

    async with trio.open_nursery() as handler_nursery, trio.open_nursery() as accept_nursery:
        for listener in listeners:
            accept_nursery.start_soon(
                _async_accept_all, listener, opened_at_s, async_handle, handler_nursery
            )
        task_status.started()
        await stopping.wait()
        accept_nursery.cancel_scope.cancel()
        handler_nursery.cancel_scope.deadline = trio.current_time() + grace_s
        for connection in list(connections):
            connection.stop()


async def _async_listen(address: str) -> tuple[list[trio.SocketListener], float]:
    """Return the listeners of an address, and since when connections may wait in their queues."""
    early = early_listeners.take(address)
    if early is not None:
        return [
            trio.SocketListener(trio.socket.from_stdlib_socket(early.socket))
        ], early.opened_at_s
    host, _, port = address.rpartition(":")
    opened_at_s = clock.boot_s()
    return await trio.open_tcp_listeners(int(port), host=host, backlog=LISTEN_BACKLOG), opened_at_s


async def _async_accept_all(
    listener: trio.SocketListener,
    opened_at_s: float,
    async_handle: Callable[[socket.socket, float], Awaitable[None]],
    handler_nursery: trio.Nursery,
) -> None:
    """Accept connections until cancelled, and handle each one in a task."""
    poll_times()  # recorded from now on
    queue_empty = EmptySince(opened_at_s)
    async with listener:
        while True:
            now_s = clock.boot_s()
            if not is_readable(listener.socket):
                await queue_empty.async_wait_readable(listener.socket, now_s)
            try:
                stream = await listener.accept()
            except OSError as err:
                if err.errno not in CAPACITY_ERRORS:
                    raise
                logs.warning("accept_failed", detail=err)
                await trio.sleep(CAPACITY_RETRY_S)
                continue
            client_socket = socket.socket(fileno=stream.socket.detach())
            handler_nursery.start_soon(async_handle, client_socket, queue_empty.seen_at_s)


def _reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Status"
