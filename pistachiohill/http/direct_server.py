"""HTTP/1.1 server for ASGI applications with a low CPU cost per request.

It uses the compiled parser httptools and two Trio tasks per connection, one to read and one to
respond, and sends each response in one write. The server based on hypercorn (see `server`) needs
about five times the CPU time per request, which limits the number of clients that an entry can
serve.
"""

import errno
import socket
from collections.abc import Awaitable, Callable
from functools import partial
from http import HTTPStatus
from typing import Final

import httptools
import trio

from .. import clock, early_listeners, logs
from ..clients.budget import ClientAccount, ClientBudget, ClientLimits, Limit
from ..errors import RefusalReason, Verdict
from .app import (
    BODY_TIMEOUT_S,
    KEEP_ALIVE_TIMEOUT_S,
    AsgiApp,
    Scope,
    async_send_response,
)
from .models import Problem, problem_response
from .origin import EmptySince, RequestOrigin, has_peer_closed, is_readable, poll_times
from .request_reader import ReceivedRequest, RequestReader

MAX_RECEIVE_BYTES: Final = 8192
PARSING_TURNS: Final = 4  # connections that go on with long requests in a round of the event loop
HEADER_TIMEOUT_S: Final = 10.0  # for a whole header
REQUEST_TIMEOUT_S: Final = 40.0  # for a whole request
LARGE_RESPONSE_BYTES: Final = 16384  # those that are counted while they are sent
LIMIT_RETRY_AFTER_S: Final = 1.0
DEFAULT_LIMITS: Final = ClientLimits(max_connections=700, max_bytes=12_000_000)
SEND_TIMEOUT_S: Final = 10.0  # a client that takes longer to read a response is disconnected
DISCARD_TIMEOUT_S: Final = 1.0
CONTINUE_RESPONSE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
LISTEN_BACKLOG: Final = 1024
# Errors of accepting a connection that pass once other connections or files are closed.
CAPACITY_ERRORS: Final = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS})
CAPACITY_RETRY_S: Final = 0.1


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
            body = self.request.take_body()
            return {"type": "http.request", "body": body, "more_body": False}
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
        budget: ClientBudget,
        parsing_turns: trio.CapacityLimiter,
    ) -> None:
        """Initialize the connection for a socket, to which nothing was sent before a boot time.

        `parsing_turns` keeps many long requests from occupying the event loop together.
        """
        self._parsing_turns = parsing_turns
        self._app = app
        self._socket = client_socket
        self._budget = budget
        self._answering_bytes = 0
        self._stream = trio.SocketStream(trio.socket.from_stdlib_socket(client_socket))
        self._empty = EmptySince(connected_after_s)
        self._received_at_s = connected_after_s
        self._reader = RequestReader(max_body_bytes)
        self._disconnected = trio.Event()
        self._request_ready = trio.Event()
        self._send_lock = trio.Lock()
        self._has_waited = False
        self._answer_charged = False
        self._busy = False
        self._stopping = False
        self._scope = trio.CancelScope()
        address = _peer_address(client_socket)
        self._account = budget.open(address, self._evict, clock.boot_s())

    def _evict(self) -> None:
        """Free what the connection holds, and close it."""
        self._reader.close()
        self._scope.cancel()

    def stop(self) -> None:
        """Close the connection after the request in progress, or at once if there is none."""
        self._stopping = True
        if not self._busy and not self._reader.complete:
            self._scope.cancel()

    async def async_run(self) -> None:
        """Handle requests until either side closes the connection.

        If there is no room for the connection, it is closed at once.
        """
        try:
            if self._account is None:
                return
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._async_read, self._account)
                    await self._async_respond_all(self._account)
                    nursery.cancel_scope.cancel()
        finally:
            self._reader.close()
            if self._account is not None:
                self._budget.close(self._account)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self._stream)

    def _charge(self, account: ClientAccount) -> bool:
        """Charge what the connection's requests hold; return whether there is room for it."""
        held_bytes = self._reader.held_bytes + self._answering_bytes
        if held_bytes == account.used_bytes:
            return True
        return self._budget.hold(account, held_bytes)

    async def _async_read(self, account: ClientAccount) -> None:
        """Read requests until the client disconnects, times out or sends an invalid request."""
        try:
            while not self._reader.is_far_ahead and await self._async_read_some(account):
                await self._async_yield()
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

    async def _async_read_some(self, account: ClientAccount) -> bool:
        """Read and parse what has arrived; return whether to read on."""
        reader = self._reader
        data = await self._async_receive()
        if not data:
            return False
        if reader.in_request or reader.complete:
            async with self._parsing_turns:
                self._feed(data)
                await trio.lowlevel.cancel_shielded_checkpoint()
        else:
            self._feed(data)
        del data  # not held while the following waits
        if reader.in_request:
            account.since_s = reader.began_at_s
        account.busy = not self._answer_charged and (self._busy or bool(reader.complete))
        if reader.too_large:
            self._budget.on_limit(Limit.SIZE)
            reader.drop_incomplete()
            self._charge(account)
            await self._async_refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return False
        if not self._charge(account):
            await self._async_refuse_for_memory(account)
            return False
        if reader.expects_continue:
            reader.expects_continue = False
            await self._async_send(CONTINUE_RESPONSE)
        if reader.complete:
            self._request_ready.set()
        return True

    def _feed(self, data: bytes) -> None:
        self._reader.feed(data, self._empty.seen_at_s, self._received_at_s)

    async def _async_refuse_for_memory(self, account: ClientAccount) -> None:
        """Drop the requests that are not being answered; none of them has run."""
        self._reader.close()
        self._charge(account)
        await self._async_refuse(HTTPStatus.SERVICE_UNAVAILABLE)

    async def _async_receive(self) -> bytes:
        """Return received bytes; empty if the client has disconnected or timed out."""
        while True:
            with trio.move_on_after(self._receive_timeout_s()):
                return await self._async_receive_some()
            if self._reader.in_request:
                self._budget.on_limit(Limit.TIME)
                await self._async_refuse(HTTPStatus.REQUEST_TIMEOUT)
                return b""
            if not self._busy:
                return b""

    def _receive_timeout_s(self) -> float:
        """Return how long to wait for bytes; a request also has a time limit as a whole."""
        if not self._reader.in_request:
            return KEEP_ALIVE_TIMEOUT_S
        limit_s = REQUEST_TIMEOUT_S if self._reader.in_body else HEADER_TIMEOUT_S
        left_s = self._reader.began_at_s + limit_s - self._received_at_s
        return max(0.0, min(BODY_TIMEOUT_S, left_s))

    async def _async_receive_some(self) -> bytes:
        """Return received bytes, empty at the end; raise OSError if the connection is broken."""
        self._has_waited = False
        while True:
            now_s = clock.boot_s()
            try:
                data = self._socket.recv(MAX_RECEIVE_BYTES)
                break
            except BlockingIOError:
                await self._empty.async_wait_readable(self._socket, now_s)
                self._has_waited = True
        self._received_at_s = now_s
        return data

    async def _async_yield(self) -> None:
        """Let other connections run if bytes were there without waiting.

        This follows the parsing, so that no received bytes are held meanwhile.
        """
        if not self._has_waited:
            await trio.lowlevel.checkpoint()

    async def _async_refuse(self, status: HTTPStatus) -> None:
        """Send an error for bytes that are no request, unless an earlier request is pending."""
        if self._busy or self._reader.complete:
            return
        if self._account is not None:
            self._account.busy = False  # it gives way to others while it is discarded
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
                    await self._async_yield()
            except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
                return

    async def _async_send_error(self, status: HTTPStatus) -> None:
        problem = Problem(status, RefusalReason.INVALID, Verdict.NOT_RUN, _reason_phrase(status))
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            detail = "clients hold too much memory"
            problem = Problem(
                status,
                RefusalReason.OVERLOAD,
                Verdict.NOT_RUN,
                detail,
                retry_after_s=LIMIT_RETRY_AFTER_S,
            )
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

    async def _async_respond_all(self, account: ClientAccount) -> None:
        """Respond to requests in the order received, until the connection is to be closed."""
        while True:
            while not self._reader.complete:
                if self._disconnected.is_set() or self._stopping:
                    return
                self._request_ready = trio.Event()
                await self._request_ready.wait()
            keep_alive = await self._async_respond_next(account)
            if not keep_alive or self._stopping:
                return

    async def _async_respond_next(self, account: ClientAccount) -> bool:
        """Respond to the oldest request; return whether the connection can be reused."""
        request = self._reader.take()
        self._busy = True
        self._answering_bytes = request.held_bytes
        keep_alive = await self._async_respond(request, account)
        self._busy = False
        self._answering_bytes = 0
        self._answer_charged = False
        account.busy = bool(self._reader.complete)
        account.served = True
        account.since_s = clock.boot_s()
        self._charge(account)
        return keep_alive

    async def _async_respond(self, request: ReceivedRequest, account: ClientAccount) -> bool:
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
        if len(exchange.response) > LARGE_RESPONSE_BYTES and not self._charge_response(
            len(exchange.response), account
        ):
            return False
        return await self._async_send(exchange.response) and not exchange.close

    def _charge_response(self, size_bytes: int, account: ClientAccount) -> bool:
        """Charge a response; a client that is slow to read it gives way to others."""
        self._answering_bytes += size_bytes
        self._answer_charged = True
        account.busy = False
        account.since_s = clock.boot_s()
        return self._charge(account)


async def async_serve_directly(
    app: AsgiApp,
    address: str,
    max_body_bytes: int,
    stopping: trio.Event,
    grace_s: float,
    budget: ClientBudget | None = None,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an ASGI application at `address` (host:port) until `stopping` is set.

    Requests in progress then have up to `grace_s` seconds to finish. Bodies over `max_body_bytes`
    are refused with status 413. An unexpected error is logged and ends only its own connection.
    All connections together hold no more than `budget` allows.
    """
    if budget is None:
        budget = ClientBudget(DEFAULT_LIMITS)
    listeners, opened_at_s = await _async_listen(address)
    connections: set[HttpConnection] = set()
    parsing_turns = trio.CapacityLimiter(PARSING_TURNS)

    async def async_handle(client_socket: socket.socket, connected_after_s: float) -> None:
        connection = HttpConnection(
            app, client_socket, max_body_bytes, connected_after_s, budget, parsing_turns
        )
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


def _peer_address(client_socket: socket.socket) -> str:
    """Return a client's address without its port, empty if it has left already."""
    try:
        return str(client_socket.getpeername()[0])
    except OSError:
        return ""


def _reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Status"
