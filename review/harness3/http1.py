"""A small HTTP/1.1 server and client on asyncio, for stand-ins on loopback."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit


@dataclass
class Request:
    """A received request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclass
class Reply:
    """A response; status 0 means that the channel is kept open without an answer."""

    status: int
    body: bytes = b"{}"
    headers: dict[str, str] = field(default_factory=dict)


Handler = Callable[[Request], Awaitable[Reply]]


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve requests at an address; each connection handles one request at a time."""

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers, body = await _read_message(reader)
                method, target, _ = first.split(" ", 2)
                parts = urlsplit(target)
                query = dict(parse_qsl(parts.query, keep_blank_values=True))
                reply = await handler(Request(method, parts.path, query, headers, body))
                if reply.status == 0:
                    await reader.read()
                    return
                lines = [f"HTTP/1.1 {reply.status} x", f"Content-Length: {len(reply.body)}"]
                lines += [f"{name}: {value}" for name, value in reply.headers.items()]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + reply.body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            with contextlib.suppress(Exception):
                writer.close()

    return await asyncio.start_server(handle, host, port, backlog=512, limit=2**20)


class Channel:
    """A client's channel to a server."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Wrap an open connection."""
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str) -> "Channel":
        """Connect to host:port."""
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port), limit=2**22))

    async def send(
        self, method: str, path: str, headers: dict[str, str] | None = None, body: bytes = b""
    ) -> None:
        """Send a request without waiting for its answer."""
        lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in (headers or {"Host": "x"}).items()]
        self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await self._writer.drain()

    async def answer(self) -> tuple[int, bytes]:
        """Return status and body of the next answer; 0 if the channel broke."""
        try:
            first, _, body = await _read_message(self._reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0, b""
        return int(first.split(" ")[1]), body

    def close(self) -> None:
        """Close the channel."""
        self._writer.close()


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 2.0,
) -> tuple[int, bytes]:
    """Send one request on a channel of its own; status 0 without an answer in time."""
    channel = None
    try:
        async with asyncio.timeout(timeout_s):
            channel = await Channel.open(address)
            await channel.send(method, path, headers, body)
            return await channel.answer()
    except (TimeoutError, OSError):
        return 0, b""
    finally:
        if channel is not None:
            channel.close()
