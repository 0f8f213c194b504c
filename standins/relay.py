"""Stand-in for a network path: a TCP proxy that can delay, drop, hold back, refuse and reset.

`POST /v1/mode` with `{"forward": "pass"|"swallow"|"hold", "backward": ..., "delay_s": n,
"refuse": bool}` applies to the open connections and, with `"new": true`, also to later ones; with
`"default_only": true` it applies to later ones only. `swallow` drops the bytes of a direction while
the connection stays open; `hold` delivers them when the direction passes again, as TCP does after a
partition. `refuse` accepts new connections and closes them at once, and `"reset": true` resets the
open ones. `"refuse_connect_s": n` resets the open ones and stops listening for n seconds, so that
connecting fails with ECONNREFUSED; then the relay listens again at the same port.
"""

import json
import socket
import struct
from typing import Any

import trio
from attrs import define, field

from pistachiohill.http.app import HttpApp, route
from pistachiohill.http.models import Request, Response, json_response
from pistachiohill.http.server import async_serve_http

CHUNK_BYTES = 65536
HOLD_POLL_INTERVAL_S = 0.01


@define(eq=False)
class ConnectionMode:
    """Faults of a connection; `forward` is the direction from the side that opened it."""

    forward: str = "pass"
    backward: str = "pass"
    delay_s: float = 0.0
    streams: tuple[trio.SocketStream, ...] = ()

    def reset(self) -> None:
        """Reset both sides with RST, so that neither end sees an orderly close."""
        for stream in self.streams:
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            stream.socket.close()


@define
class RelayModel:
    """State of a relay; `default` is the mode of new connections."""

    to_host: str
    to_port: int
    default: ConnectionMode = field(factory=ConnectionMode)
    refuse: bool = False
    open_modes: list[ConnectionMode] = field(factory=list)
    listen_again_at_s: float = 0.0
    _listening: trio.CancelScope = field(factory=trio.CancelScope)
    _listening_ended: trio.Event = field(factory=trio.Event)

    async def async_listen(self, host: str, port: int) -> None:
        """Accept connections until cancelled, except while connecting is to be refused."""
        async with trio.open_nursery() as connections:
            while True:
                await trio.sleep_until(self.listen_again_at_s)
                listeners = await trio.open_tcp_listeners(port, host=host)
                self._listening_ended = trio.Event()
                with trio.CancelScope() as self._listening:
                    await trio.serve_listeners(
                        self.async_serve, listeners, handler_nursery=connections
                    )
                self._listening_ended.set()

    async def async_refuse_connect(self, duration_s: float) -> None:
        """Stop listening for a while and reset the open connections."""
        self.listen_again_at_s = max(self.listen_again_at_s, trio.current_time() + duration_s)
        self._listening.cancel()
        await self._listening_ended.wait()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for mode in list(self.open_modes):
            mode.reset()

    async def async_serve(self, stream: trio.SocketStream) -> None:
        """Relay one connection."""
        if self.refuse:
            await stream.aclose()
            return
        mode = ConnectionMode(self.default.forward, self.default.backward, self.default.delay_s)
        mode.streams = (stream,)
        self.open_modes.append(mode)
        try:
            upstream = await trio.open_tcp_stream(self.to_host, self.to_port)
            if stream.socket.fileno() == -1:  # reset while connecting
                await upstream.aclose()
                return
            mode.streams = (stream, upstream)
            async with stream, upstream, trio.open_nursery() as nursery:
                nursery.start_soon(self._async_copy, stream, upstream, mode, "forward", nursery)
                nursery.start_soon(self._async_copy, upstream, stream, mode, "backward", nursery)
        except* OSError:
            pass
        finally:
            self.open_modes.remove(mode)

    async def _async_copy(
        self,
        source: trio.SocketStream,
        destination: trio.SocketStream,
        mode: ConnectionMode,
        direction: str,
        nursery: trio.Nursery,
    ) -> None:
        send, receive = trio.open_memory_channel[tuple[float, bytes]](10000)

        async def async_write() -> None:
            async for due_s, data in receive:
                await trio.sleep_until(due_s)
                while getattr(mode, direction) == "hold":
                    await trio.sleep(HOLD_POLL_INTERVAL_S)
                await destination.send_all(data)

        try:
            async with trio.open_nursery() as inner:
                inner.start_soon(async_write)
                while data := await source.receive_some(CHUNK_BYTES):
                    if getattr(mode, direction) != "swallow":
                        await send.send((trio.current_time() + mode.delay_s, bytes(data)))
                await send.aclose()
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        if mode.forward == "pass" and mode.backward == "pass":
            nursery.cancel_scope.cancel()

    async def async_set_mode(self, request: Request) -> Response:
        """Change the mode of open connections and, if requested, of new ones."""
        value: dict[str, Any] = json.loads(request.body)
        self.refuse = bool(value.pop("refuse", self.refuse))
        if value.pop("reset", False):
            self.reset_connections()
        if duration_s := value.pop("refuse_connect_s", 0.0):
            await self.async_refuse_connect(duration_s)
        modes = list(self.open_modes)
        if value.pop("new", False):
            modes.append(self.default)
        if value.pop("default_only", False):
            modes = [self.default]
        for mode in modes:
            for name, setting in value.items():
                setattr(mode, name, setting)
        return json_response({"open": len(self.open_modes)})


async def async_run(model: RelayModel, host: str, port: int, control_port: int) -> None:
    """Relay until cancelled."""
    app = HttpApp([route("POST", "/v1/mode", model.async_set_mode)], 65536)
    async with trio.open_nursery() as nursery:
        await nursery.start(
            lambda task_status: async_serve_http(
                app, [f"{host}:{control_port}"], trio.Event(), 0.1, task_status=task_status
            )
        )
        await model.async_listen(host, port)
