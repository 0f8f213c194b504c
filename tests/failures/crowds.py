"""Crowds of clients that misbehave: what each one sends, and connections that stay open."""

import os
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path

import trio
from attrs import frozen

from standins.platform_deployment import CALLER_HOST
from standins.processes import Process

BODY_BYTES = 250_000  # below the limit of a job's body
MAX_BODY_BYTES = 262_144
SETTLE_S = 6.0  # a connection that has not taken its bytes by then is stuck
DRIBBLE_S = 0.2
LINE_END = b"\r\n"
UPGRADE = (
    b"GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n"
)
FRAME_HEAD = b"\x82\xff" + (32 * 1024 * 1024).to_bytes(8, "big") + b"mask"


@frozen
class Door:
    """An address and the request line of what a crowd sends there."""

    url: str
    method: str
    path: str

    def head(self, *lines: bytes) -> bytes:
        """Return the head of a request with further header lines."""
        first = f"{self.method} {self.path} HTTP/1.1".encode()
        host = b"Host: " + CALLER_HOST.encode()
        return LINE_END.join([first, host, *lines, b"", b""])


def stalled_body(door: Door) -> bytes:
    """Return a request that stops just short of its end."""
    return door.head(b"Content-Length: %d" % (BODY_BYTES + 9)) + b"x" * BODY_BYTES


def stalled_chunks(door: Door, body_bytes: int = BODY_BYTES) -> bytes:
    """Return a request in chunks of 1,000 bytes, without its end."""
    chunk = b"3e8\r\n" + b"x" * 1000 + LINE_END
    return door.head(b"Transfer-Encoding: chunked") + chunk * (body_bytes // 1000)


def oversized_body(door: Door) -> bytes:
    """Return a request whose chunks go on far over the limit."""
    return stalled_chunks(door, 8 * MAX_BODY_BYTES)


def tiny_steps(door: Door) -> bytes:
    """Return a whole job of some 20,000 steps."""
    body = b'{"spec":"","bestEffort":true,"steps":[' + b'{"count":1},' * 20_000 + b"{}]}"
    return door.head(b"Content-Length: %d" % len(body)) + body


def many_fields(door: Door) -> bytes:
    """Return 14 requests ahead, each with 1,500 short header fields."""
    return door.head(*(b"h%d:x" % number for number in range(1500))) * 14


def requests_ahead(door: Door) -> bytes:
    """Return 2,000 requests ahead."""
    return door.head() * 2000


def half_a_head(door: Door) -> bytes:
    """Return the beginning of a request."""
    return door.head()[:-4]


def nothing(door: Door) -> bytes:
    """Return no bytes."""
    return b""


def peer_frame(door: Door) -> bytes:
    """Return the beginning of a large frame on a link between processes."""
    return UPGRADE + FRAME_HEAD + b"x" * BODY_BYTES


@asynccontextmanager
async def crowd(
    door: Door, size: int, message: Callable[[Door], bytes], dribble: bool = False
) -> AsyncIterator[None]:
    """Hold a crowd that has sent its bytes, or dribbles them, and doesn't read the responses."""
    host, _, port = door.url.removeprefix("http://").rpartition(":")
    data = message(door)
    sent = 0

    async def async_send() -> None:
        nonlocal sent
        with suppress(OSError, trio.BrokenResourceError):
            stream = await trio.open_tcp_stream(host, int(port))
            step = 1 if dribble else max(1, len(data))
            for start in range(0, len(data), step):
                await stream.send_all(data[start : start + step])
                sent += dribble and start == 0
                await trio.sleep(DRIBBLE_S if dribble else 0)
            sent += not dribble
            await trio.sleep_forever()
        sent += 1  # cut off

    async with trio.open_nursery() as nursery:
        for _ in range(size):
            nursery.start_soon(async_send)
        with trio.move_on_after(SETTLE_S):
            while sent < size:
                await trio.sleep(DRIBBLE_S)
        await trio.sleep(DRIBBLE_S)
        yield
        nursery.cancel_scope.cancel()


def peak_rss_bytes(process: Process) -> int:
    """Return the largest resident set size that a process has had."""
    assert process.popen is not None
    text = Path(f"/proc/{process.popen.pid}/status").read_text()
    return int(text.partition("VmHWM:")[2].split()[0]) * 1024


def open_descriptors(process: Process) -> int:
    """Return how many file descriptors a process has open."""
    assert process.popen is not None
    return len(os.listdir(f"/proc/{process.popen.pid}/fd"))
