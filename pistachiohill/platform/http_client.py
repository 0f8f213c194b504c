"""HTTP calls over kept connections, with a verdict for calls that brought no answer.

Thousands of small calls a minute go from an agent to the runner beside it, so this drives the
protocol library by itself; the general client's pool takes most of a call's processor time.
"""

import select
from dataclasses import dataclass
from typing import Final

import h11
import trio

from .const import CONNECT_TIMEOUT_S, KEEPALIVE_S

MAX_RECEIVE_BYTES: Final = 65536
MAX_ANSWER_BYTES: Final = 8 * 1024 * 1024
Headers = list[tuple[str, str]]


@dataclass(frozen=True)
class Reply:
    """A whole answer."""

    status: int
    body: bytes


@dataclass(frozen=True)
class NoReply:
    """No whole answer came; unless `sent`, the call can't have been carried out."""

    sent: bool
    detail: str


@dataclass
class _Connection:
    """One open connection, its protocol state and when it was last used, by trio's clock."""

    stream: trio.SocketStream
    protocol: h11.Connection
    used_at_s: float = 0.0


class HttpClient:
    """Calls to one server. A connection on which an answer failed to come is not used again."""

    def __init__(self, base_url: str, max_connections: int) -> None:
        """Prepare for a server such as `http://10.0.0.1:80`; nothing is opened yet."""
        host, _, port = base_url.removeprefix("http://").rstrip("/").rpartition(":")
        self._host = host
        self._port = int(port)
        self._host_header = f"{host}:{port}"
        self._idle: list[_Connection] = []
        self._limit = trio.CapacityLimiter(max_connections)

    async def async_call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 1.0,
    ) -> Reply | NoReply:
        """Make one call, which ends at the latest after `timeout_s` seconds."""
        request = self._request(method, path, body, headers or {})
        sent = False
        with trio.move_on_after(timeout_s):
            async with self._limit:
                try:
                    connection = await self._async_connection()
                except OSError as err:
                    return NoReply(False, repr(err))
                if connection is None:
                    return NoReply(False, "not connected in time")
                sent = True
                return await self._async_exchange(connection, request, body)
        return NoReply(sent, f"no answer within {timeout_s:g} s")

    async def async_close(self) -> None:
        """Close all idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            await trio.aclose_forcefully(connection.stream)

    def _request(self, method: str, path: str, body: bytes, headers: dict[str, str]) -> h11.Request:
        given: Headers = [("Host", self._host_header), *headers.items()]
        if body or method != "GET":
            given.append(("Content-Length", str(len(body))))
        return h11.Request(method=method, target=path, headers=given)

    async def _async_connection(self) -> _Connection | None:
        """Return an idle connection that is still open, or a new one; None when that takes long."""
        now_s = trio.current_time()
        while self._idle:
            connection = self._idle.pop()
            if now_s - connection.used_at_s < KEEPALIVE_S and not _is_readable(connection.stream):
                return connection
            await trio.aclose_forcefully(connection.stream)
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            stream = await trio.open_tcp_stream(self._host, self._port)
            return _Connection(stream, h11.Connection(h11.CLIENT))
        return None

    async def _async_exchange(
        self, connection: _Connection, request: h11.Request, body: bytes
    ) -> Reply | NoReply:
        """Send a request and read its answer; keep the connection only when both were whole."""
        protocol, stream = connection.protocol, connection.stream
        keep = False
        try:
            data = protocol.send(request) or b""
            if body:
                data += protocol.send(h11.Data(data=body)) or b""
            data += protocol.send(h11.EndOfMessage()) or b""
            await stream.send_all(data)
            reply = await _async_answer(connection)
            keep = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
            return reply
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as err:
            return NoReply(True, repr(err))
        except h11.RemoteProtocolError as err:
            return NoReply(True, repr(err))
        finally:
            await self._async_put_back(connection, keep)

    async def _async_put_back(self, connection: _Connection, keep: bool) -> None:
        if not keep:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(connection.stream)
            return
        connection.protocol.start_next_cycle()
        connection.used_at_s = trio.current_time()
        self._idle.append(connection)


async def _async_answer(connection: _Connection) -> Reply | NoReply:
    """Read one whole answer."""
    protocol, stream = connection.protocol, connection.stream
    status = 0
    chunks: list[bytes] = []
    size = 0
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            protocol.receive_data(await stream.receive_some(MAX_RECEIVE_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            size += len(event.data)
            if size > MAX_ANSWER_BYTES:
                return NoReply(True, f"answer of more than {MAX_ANSWER_BYTES} bytes")
            chunks.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return Reply(status, b"".join(chunks))
        elif isinstance(event, h11.ConnectionClosed):
            return NoReply(True, "the connection ended before the answer")


def _is_readable(stream: trio.SocketStream) -> bool:
    """Return whether an idle connection has ended or holds bytes that nobody asked for."""
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))
