"""A caller's own channel to an entry, which it can use, leave open, close or reset as it likes."""

import json
import re
import socket
import struct

import trio
from attrs import define, field, frozen

from .platform_deployment import CALLER_HOST

RESPONSE_BYTES = 65536
NO_RESPONSE = 0  # status of a job whose channel ended, or that got no response in time
LENGTH_PATTERN = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)


@frozen
class JobReply:
    """The response to a job: its HTTP status and the job's state."""

    status: int
    state: str = ""


LOST = JobReply(NO_RESPONSE)


@define(eq=False)
class CallerChannel:
    """An open connection to an entry."""

    stream: trio.SocketStream
    _received: bytearray = field(factory=bytearray)

    @classmethod
    async def async_open(cls, url: str) -> "CallerChannel":
        """Connect to the entry at a URL such as `http://127.0.0.1:8080`."""
        host, _, port = url.removeprefix("http://").rpartition(":")
        return cls(await trio.open_tcp_stream(host, int(port)))

    async def async_send_job(self, key: str, tasks: int, run_s: float, deadline_s: float) -> None:
        """Send a job without waiting for its response; earlier ones may be unanswered."""
        step = {"count": tasks, "cpu": 1000, "memMb": 16, "estDurationMs": int(run_s * 1000)}
        job = {"spec": json.dumps({"run_s": run_s}), "bestEffort": True, "steps": [step]}
        body = json.dumps(job)
        head = (
            f"POST /stamp/{key} HTTP/1.1\r\nHost: {CALLER_HOST}\r\n"
            f"X-Deadline-Ms: {int(deadline_s * 1000)}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        await self.stream.send_all((head + body).encode())

    async def async_read_reply(self, timeout_s: float) -> JobReply:
        """Return the next response, LOST if there is none in time."""
        with trio.move_on_after(timeout_s):
            try:
                return await self._async_read()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return LOST
        return LOST

    async def _async_read(self) -> JobReply:
        while (end := self._received.find(b"\r\n\r\n")) < 0:
            if not await self._async_receive():
                return LOST
        head = bytes(self._received[: end + 2])
        length = LENGTH_PATTERN.search(head)
        body_end = end + 4 + (int(length[1]) if length else 0)
        while len(self._received) < body_end:
            if not await self._async_receive():
                return LOST
        body = bytes(self._received[end + 4 : body_end])
        del self._received[:body_end]
        value = json.loads(body) if body else {}
        return JobReply(int(head.split(b" ", 2)[1]), str(value.get("state", "")))

    async def _async_receive(self) -> bool:
        data = await self.stream.receive_some(RESPONSE_BYTES)
        self._received += data
        return bool(data)

    async def async_read_status(self, timeout_s: float) -> int:
        """Return the status of the next response, NO_RESPONSE if there is none in time."""
        return (await self.async_read_reply(timeout_s)).status

    async def async_close(self) -> None:
        """Close the connection in order."""
        await trio.aclose_forcefully(self.stream)

    def reset(self) -> None:
        """Close the connection with a reset."""
        linger = struct.pack("ii", 1, 0)
        self.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.stream.socket.close()
