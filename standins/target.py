"""Stand-in for a target: runs tasks in slots, counts starts by task id, and simulates failures.

A task's payload may be JSON such as `{"run_s": 0.2}`; its run time is multiplied by the target's
`slowness`. `POST /v1/mode` sets fields of the target, such as `mode`: `ok`, `fail` (500 at once),
`refuse` (503, not run) or `hang` (starts and never answers). `GET /counts` returns the starts by
task id, and `GET /waited/{n}` responds once `n` tasks have started. With `record` each start is
also printed, so that it can be counted after the target was killed.
"""

import json
import time
from collections import Counter
from typing import Any

import httpcore
import trio
from attrs import define, field

from pistachiohill.http.app import HttpApp, route
from pistachiohill.http.models import Request, Response, json_response

from .http import async_serve

MAX_TASK_BYTES = 2 * 1024 * 1024
ANNOUNCE_INTERVAL_S = 1.0


@define
class TargetModel:
    """State of a stand-in target."""

    service: str
    slots: int
    slowness: float = 1.0
    default_run_s: float = 0.0
    delay_s: float = 0.0
    mode: str = "ok"
    leaving: bool = False
    record: bool = False
    busy_s: float = 0.0
    starts: Counter[str] = field(factory=Counter)
    started_at: dict[str, float] = field(factory=dict)
    finished: int = 0
    changed: trio.Event = field(factory=trio.Event)
    limiter: trio.CapacityLimiter = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the limiter that represents the slots."""
        self.limiter = trio.CapacityLimiter(self.slots)

    def notify(self) -> None:
        """Wake requests that wait for a number of starts."""
        changed, self.changed = self.changed, trio.Event()
        changed.set()


class TargetServer:
    """HTTP interface of the stand-in target."""

    def __init__(self, model: TargetModel) -> None:
        """Serve a target."""
        self._model = model

    def app(self) -> HttpApp:
        """Return the HTTP application."""
        return HttpApp(
            [
                route("POST", "/tasks", self._async_run_task),
                route("GET", "/counts", self._async_counts),
                route("GET", "/waited/{}", self._async_wait_for_starts),
                route("POST", "/v1/mode", self._async_set_mode),
                route("GET", "/live", self._async_live),
            ],
            MAX_TASK_BYTES,
        )

    async def _async_run_task(self, request: Request) -> Response:
        model = self._model
        task_id = request.headers["task-id"]
        if model.mode == "refuse":
            return Response(503, b"refused")
        model.starts[task_id] += 1
        model.started_at[task_id] = time.time()
        if model.record:
            print(f"start {task_id} {time.time():.6f}", flush=True)
        model.notify()
        if model.mode == "fail":
            return Response(500, b"failed")
        if model.mode == "hang":
            await trio.sleep_forever()
        async with model.limiter:
            run_s = self._parse_run_s(request.body) * model.slowness
            await trio.sleep(run_s)
            model.busy_s += run_s
        if model.delay_s:
            await trio.sleep(model.delay_s)
        model.finished += 1
        model.notify()
        return Response(200, b"done " + request.body[:64], "application/octet-stream")

    def _parse_run_s(self, body: bytes) -> float:
        try:
            value = json.loads(body)
            return float(value["run_s"])
        except (ValueError, KeyError, TypeError):
            return self._model.default_run_s

    async def _async_counts(self, request: Request) -> Response:
        value = {
            "starts": dict(self._model.starts),
            "started_at": self._model.started_at,
            "finished": self._model.finished,
            "busy_s": self._model.busy_s,
        }
        return json_response(value)

    async def _async_wait_for_starts(self, request: Request) -> Response:
        """Respond once a number of tasks have started here."""
        while len(self._model.starts) < int(request.path_values[0]):
            await self._model.changed.wait()
        return json_response({"started": len(self._model.starts)})

    async def _async_set_mode(self, request: Request) -> Response:
        value: dict[str, Any] = json.loads(request.body)
        for name, setting in value.items():
            setattr(self._model, name, setting)
        return json_response({})

    async def _async_live(self, request: Request) -> Response:
        return json_response({"starts": sum(self._model.starts.values())})


async def async_announce(model: TargetModel, url: str, agent_url: str) -> None:
    """Announce the target to its agent periodically, and at once when `leaving` changes."""
    async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
        while True:
            value = {
                "service": model.service,
                "url": url,
                "slots": model.slots,
                "state": "leaving" if model.leaving else "ready",
            }
            announced_leaving = model.leaving
            try:
                await pool.request(
                    "PUT",
                    f"{agent_url}/v1/target",
                    content=json.dumps(value).encode(),
                    extensions={
                        "timeout": {"connect": 1.0, "read": 2.0, "write": 2.0, "pool": 2.0}
                    },
                )
                pause_s = ANNOUNCE_INTERVAL_S
            except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
                pause_s = 0.1
            with trio.move_on_after(pause_s):
                while model.leaving == announced_leaving:
                    await trio.sleep(0.02)


async def async_run(model: TargetModel, host: str, port: int, agent_url: str) -> None:
    """Serve and announce until cancelled."""
    async with trio.open_nursery() as nursery:
        await nursery.start(async_serve, TargetServer(model).app(), host, port)
        nursery.start_soon(async_announce, model, f"http://{host}:{port}", agent_url)
