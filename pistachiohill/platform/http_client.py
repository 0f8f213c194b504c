"""HTTP calls over kept connections, with a verdict for calls that brought no answer.

Thousands of small calls a minute go from an agent to the runner beside it, so answers are read by a
compiled parser; a general client takes most of a call's processor time.
"""

import select
from dataclasses import dataclass
from typing import Final

import httptools
import trio

from .const import CONNECT_TIMEOUT_S, KEEPALIVE_S

MAX_RECEIVE_BYTES: Final = 65536
MAX_ANSWER_BYTES: Final = 8 * 1024 * 1024
MAX_HEAD_BYTES: Final = 32 * 1024


@dataclass(frozen=True)
class Reply:
    """An answer that came whole."""

    status: int
    body: bytes


@dataclass(frozen=True)
class NoReply:
    """No whole answer came; `sent` tells whether the request may have reached the server."""

    sent: bool
    detail: str


@dataclass
class _Connection:
    """One open connection, and when it was last used, by trio's clock."""

    stream: trio.SocketStream
    used_at_s: float = 0.0


class _Answer:
    """Reads one answer; the parser calls the `on_` methods."""

    def __init__(self) -> None:
        self.status = 0
        self.chunks: list[bytes] = []
        self.size_bytes = 0
        self.head_complete = False
        self.complete = False
        self.keep_alive = False
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Take in received bytes; raise HttpParserError when they are no answer."""
        self._parser.feed_data(data)

    def on_headers_complete(self) -> None:
        self.head_complete = True
        self.status = self._parser.get_status_code()

    def on_body(self, chunk: bytes) -> None:
        self.chunks.append(chunk)
        self.size_bytes += len(chunk)

    def on_message_complete(self) -> None:
        # The parser forgets this when it makes ready for the next answer.
        self.keep_alive = bool(self._parser.should_keep_alive())
        self.complete = True


class HttpClient:
    """Calls to one server. A connection on which an answer failed to come is not used again."""

    def __init__(self, base_url: str, max_connections: int) -> None:
        """Prepare for a server such as `http://10.0.0.1:80`; nothing is opened yet."""
        host, _, port = base_url.removeprefix("http://").rstrip("/").rpartition(":")
        self._host = host
        self._port = int(port)
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
                return await self._async_exchange(connection, request)
        return NoReply(sent, f"no answer within {timeout_s:g} s")

    async def async_close(self) -> None:
        """Close all idle connections."""
        idle, self._idle = self._idle, []
        for connection in idle:
            await trio.aclose_forcefully(connection.stream)

    def _request(self, method: str, path: str, body: bytes, headers: dict[str, str]) -> bytes:
        """Return the bytes of a request; raise ValueError for a header with a line break."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self._host}:{self._port}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        if any("\r" in line or "\n" in line for line in lines):
            raise ValueError("line break in the head of a request")
        return "\r\n".join([*lines, "", ""]).encode("latin-1") + body

    async def _async_connection(self) -> _Connection | None:
        """Return an idle connection that is still open, or a new one; None when that takes long."""
        now_s = trio.current_time()
        while self._idle:
            connection = self._idle.pop()
            if now_s - connection.used_at_s < KEEPALIVE_S and not _is_readable(connection.stream):
                return connection
            await trio.aclose_forcefully(connection.stream)
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            return _Connection(await trio.open_tcp_stream(self._host, self._port))
        return None

    async def _async_exchange(self, connection: _Connection, request: bytes) -> Reply | NoReply:
        """Send a request and read its answer; keep the connection only when both were whole."""
        keep = False
        try:
            await connection.stream.send_all(request)
            reply, keep = await _async_answer(connection.stream)
            return reply
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as err:
            return NoReply(True, repr(err))
        except httptools.HttpParserError as err:
            return NoReply(True, f"unreadable answer: {err}")
        finally:
            await self._async_put_back(connection, keep)

    async def _async_put_back(self, connection: _Connection, keep: bool) -> None:
        if not keep:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(connection.stream)
            return
        connection.used_at_s = trio.current_time()
        self._idle.append(connection)


async def _async_answer(stream: trio.SocketStream) -> tuple[Reply | NoReply, bool]:
    """Read one whole answer; return it, and whether the connection may be used again."""
    answer = _Answer()
    head_bytes = 0
    while not answer.complete:
        # An answer never lies ready right after the request, so wait before trying to read.
        await trio.lowlevel.wait_readable(stream.socket)
        data = await stream.receive_some(MAX_RECEIVE_BYTES)
        if not data:
            return NoReply(True, "the connection ended before the answer"), False
        answer.feed(data)
        head_bytes += 0 if answer.head_complete else len(data)
        if answer.size_bytes > MAX_ANSWER_BYTES or head_bytes > MAX_HEAD_BYTES:
            return NoReply(True, "the answer is too large"), False
    return Reply(answer.status, b"".join(answer.chunks)), answer.keep_alive


def _is_readable(stream: trio.SocketStream) -> bool:
    """Return whether an idle connection has ended or holds bytes that nobody asked for."""
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))
