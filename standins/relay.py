"""Stand-in for a network path: relays TCP bytes and can swallow either direction.

`POST /v1/mode` with `{"forward": "pass"|"swallow", "backward": ..., "delay_s": n, "refuse": bool}`
applies to the connections open at that time and, with `"new": true`, to later ones as well. With
`"reset": true` open connections are reset.
"""

import json
import socket
import struct
from typing import Any

import trio
from attrs import define, field

from pistachiohill.http.models import Request, Response, json_response
from pistachiohill.http.server import HttpApp, async_serve_http, route

CHUNK_BYTES = 65536


@define(eq=False)
class PathMode:
    """What happens to bytes from the side that opened a connection and back."""

    forward: str = "pass"
    backward: str = "pass"
    delay_s: float = 0.0
    streams: tuple[trio.SocketStream, ...] = ()

    def reset(self) -> None:
        """Reset both connections, so that neither end may take it for a planned end."""
        for stream in self.streams:
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            stream.socket.close()


@define
class RelayModel:
    """State of one relay."""

    to_host: str
    to_port: int
    default: PathMode = field(factory=PathMode)
    refuse: bool = False
    open_paths: list[PathMode] = field(factory=list)

    async def async_serve(self, stream: trio.SocketStream) -> None:
        """Relay one connection."""
        if self.refuse:
            await stream.aclose()
            return
        mode = PathMode(self.default.forward, self.default.backward, self.default.delay_s)
        self.open_paths.append(mode)
        try:
            other = await trio.open_tcp_stream(self.to_host, self.to_port)
            mode.streams = (stream, other)
            async with stream, other, trio.open_nursery() as nursery:
                nursery.start_soon(self._async_pump, stream, other, mode, "forward", nursery)
                nursery.start_soon(self._async_pump, other, stream, mode, "backward", nursery)
        except* OSError:
            pass
        finally:
            self.open_paths.remove(mode)

    async def _async_pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        mode: PathMode,
        direction: str,
        nursery: trio.Nursery,
    ) -> None:
        send, receive = trio.open_memory_channel[tuple[float, bytes]](10000)

        async def async_write() -> None:
            async for due_s, data in receive:
                await trio.sleep_until(due_s)
                await sink.send_all(data)

        try:
            async with trio.open_nursery() as inner:
                inner.start_soon(async_write)
                while data := await source.receive_some(CHUNK_BYTES):
                    if getattr(mode, direction) == "pass":
                        await send.send((trio.current_time() + mode.delay_s, bytes(data)))
                await send.aclose()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        if mode.forward == "pass" and mode.backward == "pass":
            nursery.cancel_scope.cancel()

    async def async_set_mode(self, request: Request) -> Response:
        """Change the mode of open connections, and of new ones when asked to."""
        value: dict[str, Any] = json.loads(request.body)
        self.refuse = bool(value.pop("refuse", self.refuse))
        if value.pop("reset", False):
            for mode in list(self.open_paths):
                mode.reset()
        modes = list(self.open_paths)
        if value.pop("new", False):
            modes.append(self.default)
        for mode in modes:
            for name, setting in value.items():
                setattr(mode, name, setting)
        return json_response({"open": len(self.open_paths)})


async def async_run(model: RelayModel, host: str, port: int, control_port: int) -> None:
    """Relay until cancelled."""
    app = HttpApp([route("POST", "/v1/mode", model.async_set_mode)], 65536)
    async with trio.open_nursery() as nursery:
        await nursery.start(
            lambda task_status: async_serve_http(
                app, [f"{host}:{control_port}"], trio.Event(), 0.1, task_status=task_status
            )
        )
        await trio.serve_tcp(model.async_serve, port, host=host)
