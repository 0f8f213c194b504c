"""A small HTTP/1.1 server and client for stand-ins, with JSON bodies."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit


@dataclass
class Request:
    """A received request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the body as an object."""
        return json.loads(self.body) if self.body else {}


@dataclass
class Response:
    """A response; without a status the connection stays silent for good."""

    status: int | None
    body: bytes = b""
    content_type: str = "application/json"


def json_response(value: dict[str, Any], status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(status, json.dumps(value).encode())


NO_ANSWER = Response(None)
Handler = Callable[[Request], Awaitable[Response]]


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    line = await reader.readline()
    if not line:
        return None
    headers: dict[str, str] = {}
    while (header := await reader.readline()) not in (b"\r\n", b"\n", b""):
        name, _, value = header.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.decode("latin-1").strip(), headers


@dataclass
class Server:
    """Serves one handler on one address."""

    handler: Handler
    host: str
    port: int
    _server: asyncio.Server | None = field(default=None, init=False)
    _writers: set[asyncio.StreamWriter] = field(default_factory=set, init=False)

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (head := await _read_head(reader)) is not None:
                line, headers = head
                method, target, _ = line.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                url = urlsplit(target)
                request = Request(method, url.path, dict(parse_qsl(url.query)), headers, body)
                response = await self.handler(request)
                if response.status is None:
                    await asyncio.sleep(3600)
                head_lines = [
                    f"HTTP/1.1 {response.status} Status",
                    f"Content-Type: {response.content_type}",
                    f"Content-Length: {len(response.body)}",
                ]
                writer.write("\r\n".join([*head_lines, "", ""]).encode() + response.body)
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the client has left, or the case ends
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(
    method: str,
    address: str,
    path: str,
    value: dict[str, Any] | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 5.0,
) -> tuple[int, dict[str, Any]]:
    """Send a request on a new connection; return status and body, status 0 without a response."""
    host, _, port = address.rpartition(":")
    body = b"" if value is None else json.dumps(value).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(body)}"]
    fields = {"Host": address, "Content-Type": "application/json", **(headers or {})}
    lines += [f"{name}: {text}" for name, text in fields.items()]
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await writer.drain()
            head = await _read_head(reader)
            if head is None:
                return 0, {}
            status = int(head[0].split(" ")[1])
            answer = await reader.readexactly(int(head[1].get("content-length", "0")))
    except (OSError, TimeoutError, asyncio.IncompleteReadError, IndexError, ValueError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()
    try:
        decoded = json.loads(answer) if answer else {}
    except ValueError:
        decoded = {}
    return status, decoded if isinstance(decoded, dict) else {}
