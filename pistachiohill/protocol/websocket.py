"""WebSocket connections on plain sockets, with a single Trio task switch for each read.

The protocol itself is the websockets library's implementation without I/O. The library's connection
class for Trio has a receiving task and a queue of its own, which takes more task switches.
"""

import socket
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from typing import Final

import trio
from websockets.client import ClientProtocol
from websockets.exceptions import (
    ConnectionClosed,
    ConnectionClosedError,
    InvalidHandshake,
    InvalidMessage,
    InvalidURI,
)
from websockets.frames import Frame, Opcode
from websockets.http11 import Request
from websockets.protocol import Protocol, State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from .. import clock, early_listeners, logs
from ..clients.budget import ClientAccount, ClientBudget
from ..const import MAX_FRAME_BYTES

RECEIVE_BYTES: Final = 65536
HANDSHAKE_TIMEOUT_S: Final = 3.0
LISTEN_BACKLOG: Final = 1024
FRAGMENT_BYTES: Final = 64  # of a fragment of a message as an object, beside its content
DATA_OPCODES: Final = (Opcode.BINARY, Opcode.CONT)
CLOSE_NORMAL: Final = 1000  # close codes of RFC 6455, section 7.4.1
CLOSE_TOO_BIG: Final = 1009
UNKNOWN_PEER_RECEIVE_BYTES: Final = 4096
MAX_HELLO_BYTES: Final = 65536  # of a message before the peer is known
MAX_UNREAD_PONG_BYTES: Final = 65536
SEND_STALL_S: Final = 20.0  # a peer that reads nothing for longer is disconnected


class WebSocket:
    """An open connection that carries binary messages.

    Only one task may receive and only one may send at a time. Both raise ConnectionClosed once the
    connection has ended.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        protocol: Protocol,
        budget: ClientBudget | None = None,
    ) -> None:
        """Take over the socket of a connected stream, before the WebSocket handshake.

        A connection that a peer has opened belongs to a budget.
        """
        self._socket = socket.socket(fileno=stream.socket.detach())
        self._socket.setblocking(False)
        self._protocol = protocol
        self._unsent = bytearray()
        self._received: deque[bytes] = deque()
        self._fragments: list[bytes] = []
        self._fragment_bytes = 0
        self._pong_bytes = 0
        self._closed = False
        self._budget = budget
        self._account: ClientAccount | None = None
        self._charged = budget is not None
        self._receive_bytes = RECEIVE_BYTES if budget is None else UNKNOWN_PEER_RECEIVE_BYTES

    def open_account(self, now_s: float) -> bool:
        """Return whether the budget has room for the connection."""
        if self._budget is None:
            return True
        try:
            address = str(self._socket.getpeername()[0])
        except OSError:  # the peer has left
            return False
        self._account = self._budget.open(address, self.close, now_s)
        return self._account is not None

    def admit(self, trusted: bool) -> None:
        """Allow large messages from a peer that is known; a trusted one is not limited further."""
        if self._budget is None or self._account is None:
            return
        self._account.busy = True
        self._receive_bytes = RECEIVE_BYTES
        self._charged = not trusted
        limit_bytes = MAX_FRAME_BYTES if trusted else self._budget.limits.max_bytes
        self._protocol.max_message_size = min(MAX_FRAME_BYTES, limit_bytes)

    async def async_receive(self) -> bytes:
        """Return the next message, at once if it has already arrived with an earlier one."""
        while not self._received:
            self._raise_if_ended()
            await self._async_read()
            self._handle_events()
            self._flush_replies()
            self._charge()
        return self._received.popleft()

    async def async_send(self, data: bytes) -> None:
        """Send one message."""
        self._raise_if_ended()
        self._protocol.send_binary(data)
        await self._async_flush()

    def close(self, code: int = CLOSE_NORMAL, reason: str = "") -> None:
        """Close the connection without waiting for the peer, which is told why if it reads on."""
        if self._closed:
            return
        if self._protocol.state is State.OPEN:
            self._protocol.send_close(code, reason)
        self._try_flush()
        self._closed = True
        trio.lowlevel.notify_closing(self._socket)
        self._socket.close()
        self._free()

    def _free(self) -> None:
        """Free what the connection holds; the protocol's parser refers to the protocol."""
        self._fragments.clear()
        self._unsent.clear()
        self._protocol.reader.discard()
        self._protocol.parser.close()
        if self._account is not None and self._budget is not None:
            self._budget.close(self._account)

    def _charge(self) -> None:
        """Charge the part of a message that has arrived, and close the connection if it is much."""
        if not self._charged or self._closed or self._account is None or self._budget is None:
            return
        held_bytes = len(self._protocol.reader.buffer) + self._fragment_bytes
        held_bytes += FRAGMENT_BYTES * len(self._fragments)
        if held_bytes == self._account.used_bytes:
            return
        if not self._budget.hold(self._account, held_bytes):
            self.close(CLOSE_TOO_BIG, "too much memory is held")

    def _flush_replies(self) -> None:
        """Send pongs and closing frames; a peer that doesn't read many of them is disconnected."""
        unsent_bytes = len(self._unsent)
        self._try_flush()
        self._pong_bytes += max(0, len(self._unsent) - unsent_bytes)
        if not self._unsent:
            self._pong_bytes = 0
        if self._pong_bytes > MAX_UNREAD_PONG_BYTES:
            self.close()

    async def async_handshake_as_client(self) -> None:
        """Open the connection; raise InvalidHandshake if the peer refuses or is no WebSocket."""
        protocol = self._protocol
        assert isinstance(protocol, ClientProtocol)
        protocol.send_request(protocol.connect())
        await self._async_flush()
        while self._is_connecting():
            await self._async_read()
        self._handle_events()
        self._check_handshake(self._protocol.handshake_exc)

    async def async_handshake_as_server(self) -> None:
        """Accept the peer's request; raise InvalidHandshake if it is not a valid one."""
        while self._is_connecting():
            await self._async_read()
            self._handle_events()
            self._charge()
        self._try_flush()
        self._check_handshake(self._protocol.handshake_exc)

    def _is_connecting(self) -> bool:
        protocol = self._protocol
        connecting = protocol.state is State.CONNECTING and protocol.handshake_exc is None
        return connecting and not self._closed

    def _check_handshake(self, error: Exception | None) -> None:
        if isinstance(error, InvalidHandshake):
            raise error
        if error is not None or self._protocol.state is State.CONNECTING:
            raise InvalidMessage("the connection ended during the handshake") from error

    def _raise_if_ended(self) -> None:
        protocol = self._protocol
        if self._closed or protocol.state is not State.OPEN:
            raise ConnectionClosedError(
                protocol.close_rcvd, protocol.close_sent, protocol.close_rcvd_then_sent
            )

    async def _async_read(self) -> None:
        """Pass the next bytes, or the end of the stream, to the protocol."""
        data = None
        while data is None:
            try:
                await trio.lowlevel.wait_readable(self._socket)
                data = self._socket.recv(self._receive_bytes)
            except BlockingIOError:
                continue
            except (OSError, trio.ClosedResourceError):
                data = b""
        if self._closed:
            return
        if data:
            self._protocol.receive_data(data)
            return
        self._protocol.receive_eof()
        self.close()

    def _handle_events(self) -> None:
        """Accept the request for a connection, and collect complete binary messages."""
        for event in self._protocol.events_received():
            if isinstance(event, Request) and isinstance(self._protocol, ServerProtocol):
                self._protocol.send_response(self._protocol.accept(event))
            if not isinstance(event, Frame) or event.opcode not in DATA_OPCODES:
                continue
            self._fragments.append(bytes(event.data))
            self._fragment_bytes += len(event.data)
            if event.fin:
                self._received.append(b"".join(self._fragments))
                self._fragments.clear()
                self._fragment_bytes = 0

    async def _async_flush(self) -> None:
        """Send all that the protocol has written."""
        self._try_flush()
        while self._unsent:
            with trio.move_on_after(SEND_STALL_S) as stall, suppress(trio.ClosedResourceError):
                await trio.lowlevel.wait_writable(self._socket)
            if stall.cancelled_caught:
                self.close()
            self._raise_if_ended()
            self._try_flush()

    def _try_flush(self) -> None:
        """Send as much as the socket accepts at once; an error shows at the next read."""
        self._unsent += b"".join(self._protocol.data_to_send())
        if not self._unsent or self._closed:
            return
        try:
            del self._unsent[: self._socket.send(self._unsent)]
        except BlockingIOError:
            return
        except OSError:
            self._unsent.clear()


@asynccontextmanager
async def async_connect(host: str, port: int, timeout_s: float) -> AsyncIterator[WebSocket]:
    """Open a connection, and close it at the end of the context.

    Raises OSError or InvalidHandshake, and TimeoutError after `timeout_s`.
    """
    websocket = None
    with trio.move_on_after(timeout_s):
        websocket = await _async_open(host, port)
    if websocket is None:
        raise TimeoutError(f"no connection within {timeout_s:g} s")
    try:
        yield websocket
    finally:
        websocket.close()


async def _async_open(host: str, port: int) -> WebSocket:
    try:
        uri = parse_uri(f"ws://{host}:{port}/")
        stream = await trio.open_tcp_stream(host, port)
    except (ValueError, InvalidURI) as err:
        raise OSError(f"invalid address: {err}") from err
    websocket = WebSocket(stream, ClientProtocol(uri, max_size=MAX_FRAME_BYTES))
    try:
        await websocket.async_handshake_as_client()
    except BaseException:
        websocket.close()
        raise
    return websocket


async def async_serve(
    handler: Callable[[WebSocket], Awaitable[None]],
    host: str,
    port: int,
    budget: ClientBudget | None = None,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Accept connections until cancelled; each is closed when its handler returns.

    An unexpected error of a handler is logged and ends only its own connection. All connections
    together hold no more than `budget` allows; without one they are not limited.
    """
    max_bytes = MAX_FRAME_BYTES if budget is None else MAX_HELLO_BYTES

    async def async_handle(stream: trio.SocketStream) -> None:
        websocket = WebSocket(stream, ServerProtocol(max_size=max_bytes), budget)
        try:
            if not websocket.open_account(clock.boot_s()):
                return
            with trio.move_on_after(HANDSHAKE_TIMEOUT_S) as handshake:
                await websocket.async_handshake_as_server()
            if not handshake.cancelled_caught:
                await handler(websocket)
        except (InvalidHandshake, ConnectionClosed):
            return
        except Exception as err:
            logs.exception("connection_failed", err)
        finally:
            websocket.close()

    early = early_listeners.take(f"{host}:{port}")
    if early is not None:
        listeners = [trio.SocketListener(trio.socket.from_stdlib_socket(early.socket))]
    else:
        listeners = await trio.open_tcp_listeners(port, host=host, backlog=LISTEN_BACKLOG)
    task_status.started()
    await trio.serve_listeners(async_handle, listeners)
