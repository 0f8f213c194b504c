"""Connections between the processes of a deployment.

A link is one WebSocket that carries frames in both directions. Messages that are queued in the same
step of the event loop are sent in one frame.
"""

import hmac
from collections.abc import Callable

import trio
from attrs import define
from websockets.exceptions import ConnectionClosed, InvalidHandshake

from .. import clock, logs
from ..const import PROTOCOL_VERSION
from .codec import decode_frame, encode_frame
from .errors import DecodeError, HandshakeError
from .models import Hello, HelloReply, Message
from .websocket import HANDSHAKE_TIMEOUT_S, WebSocket

MAX_OUTBOX_MESSAGES = 100_000
# WebSocket close codes of RFC 6455, section 7.4.1
CLOSE_PROTOCOL_ERROR = 1002
CLOSE_POLICY = 1008
MAX_CLOSE_REASON_CHARS = 100
CONNECT_ERRORS = (OSError, InvalidHandshake, ConnectionClosed, TimeoutError, EOFError)


@define
class LinkCounters:
    """Traffic counters of one link or of several links together."""

    messages_sent: int = 0
    frames_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    frames_received: int = 0
    bytes_received: int = 0


class Link:
    """An open connection to a peer, after the handshake."""

    def __init__(
        self,
        connection: WebSocket,
        peer_incarnation: str,
        now_s: float,
        counters: LinkCounters | None = None,
    ) -> None:
        """Initialize the link; `now_s` is the boot-clock time of the handshake.

        Traffic is added to `counters`, which several links may share.
        """
        self.peer_incarnation = peer_incarnation
        self.counters = counters or LinkCounters()
        self.received_at_s = now_s
        self.sent_at_s = now_s
        self.closed = False
        self._connection = connection
        self._outbox: list[Message] = []
        self._outbox_filled = trio.Event()
        self._scope = trio.CancelScope()

    def send(self, message: Message) -> None:
        """Queue a message; it is dropped if the link is closed.

        A full outbox closes the link.
        """
        if self.closed:
            return
        if len(self._outbox) >= MAX_OUTBOX_MESSAGES:
            logs.warning("link_overrun", peer=self.peer_incarnation)
            self.close()
            return
        self._outbox.append(message)
        self._outbox_filled.set()

    def close(self) -> None:
        """Close the link, which makes `async_run` return."""
        self.closed = True
        self._scope.cancel()

    async def async_run(self, handler: Callable[[Message, float], None]) -> None:
        """Send queued messages and pass received ones to `handler` until the link closes.

        The second argument of `handler` is the boot-clock time of the receipt.
        """
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._async_write)
                    await self._async_read(handler)
                    nursery.cancel_scope.cancel()
        finally:
            self.closed = True

    async def _async_write(self) -> None:
        try:
            while True:
                await self._outbox_filled.wait()
                await trio.lowlevel.checkpoint()
                messages, self._outbox, self._outbox_filled = self._outbox, [], trio.Event()
                data = encode_frame(messages)
                self.sent_at_s = clock.boot_s()
                self.counters.messages_sent += len(messages)
                self.counters.frames_sent += 1
                self.counters.bytes_sent += len(data)
                await self._connection.async_send(data)
        except ConnectionClosed:
            self.close()

    async def _async_read(self, handler: Callable[[Message, float], None]) -> None:
        try:
            while True:
                data = await self._connection.async_receive()
                self.received_at_s = clock.boot_s()
                messages = decode_frame(data)
                self.counters.messages_received += len(messages)
                self.counters.frames_received += 1
                self.counters.bytes_received += len(data)
                for message in messages:
                    handler(message, self.received_at_s)
        except ConnectionClosed:
            return
        except DecodeError as err:
            logs.warning("frame_refused", peer=self.peer_incarnation, detail=err)
            self._connection.close(CLOSE_PROTOCOL_ERROR, "frame refused")


async def async_send_hello(connection: WebSocket, hello: Hello, timeout_s: float) -> HelloReply:
    """Send Hello and return the peer's reply.

    Raises HandshakeError if there is no valid reply within `timeout_s` seconds.
    """
    with trio.move_on_after(timeout_s):
        await connection.async_send(encode_frame([hello]))
        reply = await _async_receive_one(connection)
        if not isinstance(reply, HelloReply):
            raise HandshakeError(f"expected HelloReply, got {type(reply).__name__}")
        return reply
    raise HandshakeError("timed out waiting for HelloReply")


async def async_accept(connection: WebSocket, secret: str, reply: HelloReply) -> Hello | None:
    """Reply to a peer's Hello; return None if the Hello is refused or the peer has closed."""
    try:
        hello = await async_receive_hello(connection, secret, reply.incarnation)
    except HandshakeError as err:
        logs.warning("hello_refused", detail=err)
        connection.close(CLOSE_POLICY, str(err)[:MAX_CLOSE_REASON_CHARS])
        return None
    try:
        await connection.async_send(encode_frame([reply]))
    except ConnectionClosed as err:
        logs.warning("hello_refused", detail=err)
        return None
    connection.admit(trusted=bool(secret))
    return hello


async def async_receive_hello(connection: WebSocket, secret: str, incarnation: str) -> Hello:
    """Receive and validate a peer's Hello; raise HandshakeError if that fails."""
    with trio.move_on_after(HANDSHAKE_TIMEOUT_S):
        hello = await _async_receive_one(connection)
        if not isinstance(hello, Hello):
            raise HandshakeError(f"expected Hello, got {type(hello).__name__}")
        if not hmac.compare_digest(hello.secret.encode(), secret.encode()):
            raise HandshakeError("wrong secret")
        if hello.version != PROTOCOL_VERSION:
            raise HandshakeError(f"unknown protocol version {hello.version}")
        if hello.expected_incarnation not in ("", incarnation):
            raise HandshakeError("wrong incarnation")
        return hello
    raise HandshakeError("no Hello in time")


async def _async_receive_one(connection: WebSocket) -> Message:
    try:
        messages = decode_frame(await connection.async_receive())
    except (ConnectionClosed, DecodeError) as err:
        raise HandshakeError(str(err)) from err
    if len(messages) != 1:
        raise HandshakeError(f"expected one message, got {len(messages)}")
    return messages[0]


def first_error(group: BaseExceptionGroup) -> BaseException:
    """Return the first error in a group that is not a cancellation, or else the group itself."""
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            return first_error(error)
        if not isinstance(error, trio.Cancelled):
            return error
    return group


def is_connection_refused(error: BaseException | None) -> bool:
    """Return whether an error means that no process listens at the address.

    Causes are followed, and every error of a group has to be a refused connection.
    """
    if error is None or isinstance(error, ConnectionRefusedError):
        return error is not None
    if isinstance(error, BaseExceptionGroup):
        return all(map(is_connection_refused, error.exceptions))
    return is_connection_refused(error.__cause__)
