"""A small HTTP/1.1 server and client on asyncio."""

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

NO_RESPONSE = 0  # status of a call whose channel broke, or that got no response in time
SILENCE_S = 3600.0  # longer than any case


@dataclass(frozen=True)
class Request:
    """A request that a server has received; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True)
class Response:
    """A response; a handler that returns None instead leaves the request unanswered."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)

    @classmethod
    def of_json(cls, value: Any, status: int = 200) -> "Response":
        """Return a response with a JSON body."""
        return cls(status, json.dumps(value).encode())

    def json(self) -> Any:
        """Return the decoded JSON body, an empty object if there is none."""
        with contextlib.suppress(ValueError):
            return json.loads(self.body)
        return {}


Handler = Callable[[Request], Awaitable[Response | None]]


async def async_read_head(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str]]:
    """Read a start line and headers; the line is empty if the channel has ended."""
    line = (await reader.readline()).decode("latin-1").strip()
    headers: dict[str, str] = {}
    while line:
        header = (await reader.readline()).decode("latin-1").strip()
        if not header:
            break
        name, _, value = header.partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.split(" ", 2) if line else [], headers


async def async_serve(
    host: str,
    port: int,
    handler: Handler,
    channels: set[asyncio.StreamWriter] | None = None,
) -> asyncio.Server:
    """Serve on an address until the returned server is closed.

    The open channels are kept in `channels`, so that a stand-in can reset them when it crashes.
    """
    open_channels = set() if channels is None else channels

    async def async_handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        open_channels.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                start, headers = await async_read_head(reader)
                if len(start) < 2:
                    break
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                response = await handler(Request(start[0], start[1], headers, body))
                if response is None:
                    await asyncio.sleep(SILENCE_S)
                    break
                head = f"HTTP/1.1 {response.status} status\r\n"
                head += f"Content-Type: application/json\r\nContent-Length: {len(response.body)}"
                writer.write(head.encode() + b"\r\n\r\n" + response.body)
                await writer.drain()
        open_channels.discard(writer)
        writer.close()

    return await asyncio.start_server(async_handle, host, port)


class Channel:
    """A client's channel to a server, which stays open between calls."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Use an open connection."""
        self._reader = reader
        self._writer = writer

    @classmethod
    async def async_open(cls, address: str) -> "Channel":
        """Open a channel."""
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    async def async_call(
        self, method: str, path: str, headers: dict[str, str], body: bytes = b""
    ) -> Response:
        """Call and return the response, with status NO_RESPONSE if the channel ends before it."""
        lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self._writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        start, received = await async_read_head(self._reader)
        if len(start) < 2:
            return Response(NO_RESPONSE)
        data = await self._reader.readexactly(int(received.get("content-length", "0")))
        return Response(int(start[1]), data, received)

    def close(self) -> None:
        """Close the channel."""
        self._writer.close()


async def async_call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 2.0,
) -> Response:
    """Call on a new channel; the status is NO_RESPONSE if there is no complete response in time."""
    channel = None
    try:
        async with asyncio.timeout(timeout_s):
            channel = await Channel.async_open(address)
            return await channel.async_call(method, path, headers or {"Host": address}, body)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Response(NO_RESPONSE)
    finally:
        if channel is not None:
            channel.close()
