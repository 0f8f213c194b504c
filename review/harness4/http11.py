"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the platform."""

import asyncio
import json
import urllib.parse
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any


@dataclass
class Request:
    """A request that a stand-in has received."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the body as a JSON object."""
        value: dict[str, Any] = json.loads(self.body or b"{}")
        return value


@dataclass
class Response:
    """A response; its body is JSON unless it is given as bytes."""

    status: int = 200
    body: Any = field(default_factory=dict)

    def encode(self) -> bytes:
        """Return the bytes of the response."""
        raw = isinstance(self.body, bytes)
        body = self.body if raw else json.dumps(self.body).encode()
        kind = "application/octet-stream" if raw else "application/json"
        head = f"HTTP/1.1 {self.status} X\r\nContent-Type: {kind}\r\n"
        return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


Handler = Callable[[Request], Awaitable[Response]]


async def async_serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve requests at an address."""

    async def async_handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await _async_read_request(reader)) is not None:
                writer.write((await handler(request)).encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the channel has ended, or the case has
        finally:
            writer.close()

    return await asyncio.start_server(async_handle, host, port, backlog=512)


async def _async_read_request(reader: asyncio.StreamReader) -> Request | None:
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(" ", 2)
    headers = await _async_read_headers(reader)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    path, _, query = target.partition("?")
    return Request(method, path, dict(urllib.parse.parse_qsl(query)), headers, body)


async def _async_read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    headers = {}
    while (line := (await reader.readline()).decode().strip()) != "":
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers


async def async_call(
    host: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> tuple[int, bytes]:
    """Send a request on a channel of its own; return the status, 0 if there is no answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            if not any(line.lower().startswith("host:") for line in lines):
                lines.append(f"Host: {host}:{port}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await writer.drain()
            status_line = await reader.readline()
            if not status_line:
                return 0, b""
            answer_headers = await _async_read_headers(reader)
            length = int(answer_headers.get("content-length", "0"))
            return int(status_line.split()[1]), await reader.readexactly(length)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()
