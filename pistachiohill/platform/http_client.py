"""HTTP client with persistent connections that reports whether a failed request was sent.

An agent sends thousands of small requests a minute to its runner. Responses are read by a compiled
parser, because a general-purpose client takes up most of the CPU time of such a request.
"""

import select
from dataclasses import dataclass
from typing import Final

import httptools
import trio

from .const import CONNECT_TIMEOUT_S, MAX_IDLE_S, SUSPECT_IDLE_S

RECEIVE_BUFFER_BYTES: Final = 65536
MAX_RESPONSE_BODY_BYTES: Final = 8 * 1024 * 1024
MAX_RESPONSE_HEADER_BYTES: Final = 32 * 1024
MAX_RESPONSE_BYTES: Final = 2 * MAX_RESPONSE_BODY_BYTES  # with what frames the chunks of a body


@dataclass(frozen=True)
class HttpResponse:
    """A complete response."""

    status: int
    body: bytes


@dataclass(frozen=True)
class NoResponse:
    """A request without a complete response.

    `sent` is False only if the request has certainly not reached the server. `timed_out` is True if
    it was sent and no complete response arrived in time.
    """

    sent: bool
    detail: str
    timed_out: bool = False


class InvalidRequestError(ValueError):
    """Raised for a request line or headers that can't be encoded; nothing was sent."""


@dataclass
class _Connection:
    """An open connection and the time of its last use by trio's clock."""

    stream: trio.SocketStream
    last_used_s: float = 0.0


class _ResponseParser:
    """Parses one response; httptools calls the `on_` methods."""

    def __init__(self) -> None:
        self.status = 0
        self.body = bytearray()
        self.headers_complete = False
        self.complete = False
        self.keep_alive = False
        self._received_bytes = 0
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)

    @property
    def too_large(self) -> bool:
        """Return whether the response is larger than any that is expected."""
        limit = MAX_RESPONSE_BYTES if self.headers_complete else MAX_RESPONSE_HEADER_BYTES
        return len(self.body) > MAX_RESPONSE_BODY_BYTES or self._received_bytes > limit

    def feed(self, data: bytes) -> None:
        """Parse received bytes; raise HttpParserError if they are not a valid response."""
        assert self._parser is not None
        self._received_bytes += len(data)
        self._parser.feed_data(data)

    def close(self) -> None:
        """Free the parser, which refers to this object."""
        self._parser = None

    def on_headers_complete(self) -> None:
        assert self._parser is not None
        self.headers_complete = True
        self.status = self._parser.get_status_code()

    def on_body(self, chunk: bytes) -> None:
        self.body += chunk

    def on_message_complete(self) -> None:
        assert self._parser is not None
        # The parser resets this flag when it prepares for the next response.
        self.keep_alive = bool(self._parser.should_keep_alive())
        self.complete = True


class HttpClient:
    """Client of one server; a connection is not reused after a request on it has failed."""

    def __init__(self, base_url: str, max_connections: int) -> None:
        """Initialize a client of a server such as `http://10.0.0.1:80` without connecting."""
        host, _, port = base_url.removeprefix("http://").rstrip("/").rpartition(":")
        self._host = host
        self._port = int(port)
        self._idle: list[_Connection] = []
        self._connection_limiter = trio.CapacityLimiter(max_connections)

    async def async_request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout_s: float = 1.0,
        *,
        new_connection: bool = False,
    ) -> HttpResponse | NoResponse:
        """Send a request and return its response, within `timeout_s` seconds.

        With `new_connection`, idle connections are not used, and those that may have fallen silent
        are closed.
        """
        request = self._encode_request(method, path, body, headers or {})
        sent = False
        with trio.move_on_after(timeout_s):
            async with self._connection_limiter:
                try:
                    if new_connection:
                        await self._async_close_idle(SUSPECT_IDLE_S)
                        connection = await self._async_connect()
                    else:
                        connection = await self._async_acquire_connection()
                except (OSError, ValueError) as err:  # ValueError: no host can have this name
                    return NoResponse(False, repr(err))
                if connection is None:
                    return NoResponse(False, "timed out while connecting")
                sent = True
                return await self._async_exchange(connection, request)
        if sent:
            await self._async_close_idle(SUSPECT_IDLE_S)
        return NoResponse(sent, f"no response within {timeout_s:g} s", timed_out=sent)

    async def async_close(self) -> None:
        """Close all idle connections."""
        await self._async_close_idle(0.0)

    async def _async_close_idle(self, min_idle_s: float) -> None:
        """Close the connections that have been idle for at least `min_idle_s` seconds.

        When one connection has fallen silent without a reset, the others may have as well, unless
        a response arrived on them just now.
        """
        used_before_s = trio.current_time() - min_idle_s
        closing = [item for item in self._idle if item.last_used_s <= used_before_s]
        self._idle = [item for item in self._idle if item.last_used_s > used_before_s]
        for connection in closing:
            await trio.aclose_forcefully(connection.stream)

    def _encode_request(
        self, method: str, path: str, body: bytes, headers: dict[str, str]
    ) -> bytes:
        """Encode a request; raise InvalidRequestError if its head can't be sent as it is."""
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self._host}:{self._port}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        if any("\r" in line or "\n" in line for line in lines):
            raise InvalidRequestError("line break in the request line or a header")
        try:
            return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
        except UnicodeEncodeError as err:
            raise InvalidRequestError(f"request line or header: {err}") from err

    async def _async_acquire_connection(self) -> _Connection | None:
        """Return an idle connection that is still open, or a new one; None if that times out."""
        now_s = trio.current_time()
        while self._idle:
            connection = self._idle.pop()
            if now_s - connection.last_used_s < MAX_IDLE_S and not _is_readable(connection.stream):
                return connection
            await trio.aclose_forcefully(connection.stream)
        return await self._async_connect()

    async def _async_connect(self) -> _Connection | None:
        """Return a new connection; None if connecting times out."""
        with trio.move_on_after(CONNECT_TIMEOUT_S):
            return _Connection(await trio.open_tcp_stream(self._host, self._port))
        return None

    async def _async_exchange(
        self, connection: _Connection, request: bytes
    ) -> HttpResponse | NoResponse:
        """Send a request and read its response; keep the connection only if both were complete."""
        reusable = False
        try:
            await connection.stream.send_all(request)
            response, reusable = await _async_read_response(connection.stream)
            return response
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as err:
            return NoResponse(True, repr(err))
        except httptools.HttpParserError as err:
            return NoResponse(True, f"invalid response: {err}")
        finally:
            await self._async_release_connection(connection, reusable)

    async def _async_release_connection(self, connection: _Connection, reusable: bool) -> None:
        if not reusable:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(connection.stream)
            return
        connection.last_used_s = trio.current_time()
        self._idle.append(connection)


async def _async_read_response(stream: trio.SocketStream) -> tuple[HttpResponse | NoResponse, bool]:
    """Read a complete response; return it and whether the connection can be reused."""
    parser = _ResponseParser()
    try:
        while not parser.complete:
            # The response is never available right after the request, so wait first to avoid a
            # read that fails.
            await trio.lowlevel.wait_readable(stream.socket)
            data = await stream.receive_some(RECEIVE_BUFFER_BYTES)
            if not data:
                return NoResponse(True, "connection closed before the response was complete"), False
            parser.feed(data)
            if parser.too_large:
                return NoResponse(True, "response is too large"), False
        return HttpResponse(parser.status, bytes(parser.body)), parser.keep_alive
    finally:
        parser.close()


def _is_readable(stream: trio.SocketStream) -> bool:
    """Return whether an idle connection was closed by the server or has unexpected data."""
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))
