"""Stand-in for a runner on the users' platform, as a process beside an agent.

A task's spec is JSON such as `{"run_s": 0.2}`. `POST /v1/faults` sets the fields of `Faults` and
the model's `fail_runs`, `hang_runs` and `slowness`. `POST /v1/restart` begins a new incarnation
under the same id. `POST /v1/suspend` lets clock, lease and runs stand still for `for_s`, as they do
on a suspended machine; requests that arrive meanwhile are read afterwards. `GET /v1/announcement`
returns the current heartbeat, and `GET /v1/history` every run with its times in seconds since the
epoch. Each run is also printed, so that it is known after the process was killed.
"""

import json
import os
import random
import time
from typing import Any

import httpcore
import trio
from attrs import define, field

from pistachiohill.http.app import HttpApp, route
from pistachiohill.http.models import Request, Response, json_response
from pistachiohill.http.server import async_serve_http
from pistachiohill.platform.const import (
    HEADER_TARGET_INSTANCE,
    PATH_HOLD,
    PATH_INSTANCE,
    PATH_RUN_START,
    PATH_RUN_STOP,
)

from .runner_model import LiveRun, PastRun, RunnerModel

MAX_REQUEST_BYTES = 64 * 1024
ANNOUNCE_INTERVAL_S = 0.5
POLL_INTERVAL_S = 0.005
PRINT_INTERVAL_S = 0.02


@define
class Faults:
    """Injected faults of the runner's responses and announcements.

    Fields:
        lose_orders: How many of the next requests are applied but not answered.
        late_s: Delay after which such a request is applied.
        late_share: The share of starts, stops and holds that get no answer and are applied later.
        late_from_s: The shortest delay after which these are applied.
        late_to_s: The longest delay after which these are applied.
        late_lease_moves: The lease time of late requests counts from their arrival.
        silent: Answer no request and apply none.
        unhealthy: Refuse every request with status 503.
        leaving: Announce that the runner is draining.
    """

    lose_orders: int = 0
    late_s: float = 0.0
    late_share: float = 0.0
    late_from_s: float = 2.0
    late_to_s: float = 6.0
    late_lease_moves: bool = False
    silent: bool = False
    unhealthy: bool = False
    leaving: bool = False


@define(eq=False)
class RunnerServer:
    """HTTP interface of the runner."""

    runner_id: str
    service: str
    address: str
    cpu_m: int
    model: RunnerModel
    nursery: trio.Nursery
    faults: Faults = field(factory=Faults)
    sequence: int = 0
    rng: random.Random = field(factory=random.Random)
    resumed: trio.Event = field(factory=trio.Event)
    _printed_count: int = 0

    def __attrs_post_init__(self) -> None:
        self.resumed.set()

    def app(self) -> HttpApp:
        """Return the HTTP application."""
        return HttpApp(
            [
                route("POST", PATH_RUN_START, self._async_start),
                route("POST", PATH_RUN_STOP, self._async_stop),
                route("POST", PATH_HOLD, self._async_hold),
                route("POST", "/v1/faults", self._async_set_faults),
                route("POST", "/v1/restart", self._async_restart),
                route("POST", "/v1/suspend", self._async_suspend),
                route("GET", "/v1/announcement", self._async_get_announcement),
                route("GET", "/v1/history", self._async_history),
                route("GET", "/live", self._async_live),
            ],
            MAX_REQUEST_BYTES,
        )

    async def _async_start(self, request: Request) -> Response:
        value = await self._async_handle_request(request, self._start)
        return self._response(value)

    def _start(self, value: dict[str, Any]) -> str:
        spec = json.loads(value["spec"])
        return self.model.start(
            value["task"],
            value["run"],
            float(spec.get("run_s", 0.05)),
            value.get("deadlineMs"),
            value.get("fencingToken", 0),
            time.time(),
        )

    async def _async_stop(self, request: Request) -> Response:
        def stop(value: dict[str, Any]) -> str:
            token = value.get("fencingToken", 0)
            return self.model.stop(value["task"], value["run"], token, time.time())

        return self._response(await self._async_handle_request(request, stop))

    async def _async_hold(self, request: Request) -> Response:
        def hold(value: dict[str, Any]) -> str:
            return self.model.hold(
                value.get("deadlineMs"),
                value.get("fencingToken", 0),
                value.get("ackCursor", 0),
                time.time(),
            )

        outcome = await self._async_handle_request(request, hold)
        if outcome != "ok":
            return self._response(outcome)
        born_ms = self.model.born_ms
        wait_until_s = time.time() + json.loads(request.body).get("waitMs", 0) / 1000
        while not self.model.unacked_runs and time.time() < wait_until_s:
            await trio.sleep(POLL_INTERVAL_S)
            self.model.end_due_runs(time.time())
            if self.model.born_ms != born_ms:
                await trio.sleep_forever()
        await self.resumed.wait()
        return json_response(self._run_list())

    def _run_list(self) -> dict[str, Any]:
        now_s = time.time()
        self._print_ended_runs(now_s)
        return {
            "clockMs": self.model.clock_ms(now_s),
            "born": self.model.born_ms,
            "running": [[run.task, run.run, "", 10] for run in self.model.running.values()],
            "finished": [[*row, ""] for row in self.model.unacked_runs],
        }

    async def _async_handle_request(self, request: Request, apply: Any) -> str:
        """Apply a request and return its result, subject to the injected faults."""
        if request.headers.get(HEADER_TARGET_INSTANCE.lower(), "") not in ("", self.runner_id):
            return "boot"
        await self.resumed.wait()
        value = json.loads(request.body)
        if self.faults.silent:
            await trio.sleep_forever()
        if self.faults.lose_orders > 0:
            self.faults.lose_orders -= 1
            self.nursery.start_soon(self._async_apply_delayed, apply, value, self.faults.late_s)
            await trio.sleep_forever()
        if self.rng.random() < self.faults.late_share:
            late_s = self.rng.uniform(self.faults.late_from_s, self.faults.late_to_s)
            if self.faults.late_lease_moves and value.get("deadlineMs") is not None:
                value["deadlineMs"] += int(late_s * 1000)
            self.nursery.start_soon(self._async_apply_delayed, apply, value, late_s)
            await trio.sleep_forever()
        if self.faults.unhealthy:
            return "unhealthy"
        return str(apply(value))

    async def _async_apply_delayed(self, apply: Any, value: dict[str, Any], late_s: float) -> None:
        await trio.sleep(late_s)
        await self.resumed.wait()
        apply(value)

    def _response(self, outcome: str) -> Response:
        clock = {"clockMs": self.model.clock_ms(time.time())}
        if outcome == "ok":
            return json_response(clock)
        if outcome == "boot":
            return json_response(clock, 421)
        if outcome == "unhealthy":
            return json_response(clock, 503)
        return json_response({**clock, "reason": outcome}, 409)

    async def _async_set_faults(self, request: Request) -> Response:
        value: dict[str, Any] = json.loads(request.body)
        for name, setting in value.items():
            setattr(self.faults if hasattr(self.faults, name) else self.model, name, setting)
        return json_response({})

    async def _async_restart(self, request: Request) -> Response:
        self.model.restart(time.time())
        self.sequence = 0
        return json_response({"born": self.model.born_ms})

    async def _async_suspend(self, request: Request) -> Response:
        for_s = float(json.loads(request.body)["for_s"])
        self.nursery.start_soon(self._async_stand_still, for_s)
        return json_response({})

    async def _async_stand_still(self, for_s: float) -> None:
        """Stand still for a while; nothing is received, sent or applied meanwhile."""
        self.model.suspend(time.time())
        self.resumed = trio.Event()
        await trio.sleep(for_s)
        self.model.resume(time.time())
        self.resumed.set()

    async def _async_get_announcement(self, request: Request) -> Response:
        return json_response({"id": self.runner_id, "announcement": self._announcement()})

    async def _async_history(self, request: Request) -> Response:
        self.model.end_due_runs(time.time())
        runs = [*map(_past_row, self.model.history), *map(_live_row, self.model.running.values())]
        return json_response({"runs": runs})

    async def _async_live(self, request: Request) -> Response:
        return json_response({"runner": self.runner_id})

    async def async_print_runs(self) -> None:
        """Print each run that has ended, until cancelled."""
        while True:
            await trio.sleep(PRINT_INTERVAL_S)
            self._print_ended_runs(time.time())

    def _print_ended_runs(self, now_s: float) -> None:
        """Print the runs that have ended; an agent learns of none before it is printed."""
        self.model.end_due_runs(now_s)
        for run in self.model.history[self._printed_count :]:
            print("run", json.dumps(_past_row(run)), flush=True)
        self._printed_count = len(self.model.history)

    async def async_announce(self, agent_url: str) -> None:
        """Announce the runner to its agent periodically."""
        path = PATH_INSTANCE.format(self.runner_id)
        timeouts = {"connect": 0.5, "read": 1.0, "write": 1.0, "pool": 1.0}
        async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
            while True:
                await self.resumed.wait()
                self.sequence += 1
                body = json.dumps(self._announcement()).encode()
                try:
                    extensions = {"timeout": timeouts}
                    await pool.request("PUT", agent_url + path, content=body, extensions=extensions)
                    pause_s = ANNOUNCE_INTERVAL_S
                except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
                    pause_s = ANNOUNCE_INTERVAL_S / 5
                await trio.sleep(pause_s)

    def _announcement(self) -> dict[str, Any]:
        return {
            "service": self.service,
            "address": self.address,
            "zone": "",
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.faults.leaving else "ready",
            "coldLeftMs": 0,
            "capacity": {"cpu": self.cpu_m, "memMb": 4096, "gpu": 0},
            "labels": [],
            "clockMs": self.model.clock_ms(time.time()),
            "born": self.model.born_ms,
            "seq": self.sequence,
        }


def _past_row(run: PastRun) -> list[Any]:
    return [run.task, run.run, run.started_at_s, run.ended_at_s, run.outcome]


def _live_row(run: LiveRun) -> list[Any]:
    return [run.task, run.run, run.started_at_s, None, "running"]


async def async_run(
    host: str, port: int, agent_url: str, service: str, cpu_m: int, rate: float
) -> None:
    """Serve and announce until cancelled."""
    now_s = time.time()
    model = RunnerModel(born_ms=int(now_s * 1000), born_s=now_s, rate=rate)
    async with trio.open_nursery() as nursery:
        name = f"i-{os.getpid():x}"
        address = f"{host}:{port}"
        server = RunnerServer(name, service, address, cpu_m, model, nursery)
        await nursery.start(async_serve_http, server.app(), [address], trio.Event(), 0.1)
        nursery.start_soon(server.async_announce, agent_url)
        nursery.start_soon(server.async_print_runs)
