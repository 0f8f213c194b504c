"""Stand-in for a runner as the platform's pages describe it; it doesn't guard its capacity."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from .http11 import Request, Response, async_call, async_serve

HEARTBEAT_S = 1.5  # the platform's heartbeatMs
MAX_LEASE_S = 1.0  # maxHoldMs
STOP_S = 0.02  # at most stopMs
TICK_S = 0.005
MAX_WAIT_S = 2.0
LISTED = 500

Log = Callable[[str], None]


@dataclass
class Run:
    """A run of a task, with the times of the day at which it began and ended."""

    task: str
    run: int
    runner: str
    started_s: float
    ends_s: float
    cpu: int
    outcome: str = "running"
    ended_s: float = 0.0
    stop_at_s: float = float("inf")


@dataclass
class Runner:
    """One runner beside an agent; `boot` begins a new life under the same id."""

    name: str
    service: str
    zone: str
    host: str
    port: int
    control: tuple[str, int]
    capacity: int
    log: Log
    history: list[Run] = field(default_factory=list)
    on_start: Callable[["Runner", Run], None] = lambda _runner, _run: None
    filter: Callable[[Request], Awaitable[Response]] | None = None
    dark: bool = False
    state: str = "ready"

    def __post_init__(self) -> None:
        """Begin the first life."""
        self._reset(self.capacity)

    def _reset(self, capacity: int) -> None:
        self.capacity = capacity
        self.born_s = time.time()
        self.token = 0
        self.lease_ms = -1
        self.sequence = 0
        self.live: dict[str, Run] = {}
        self.ended: list[list[Any]] = []
        self.ended_count = 0
        self.acked = 0
        self.highest: dict[str, int] = {}

    @property
    def identity(self) -> str:
        """Return the id under which the runner registers, in all of its lives."""
        return f"i-{self.name}"

    def clock_ms(self) -> int:
        """Return the runner's own clock, which begins anew with each life."""
        return int((time.time() - self.born_s) * 1000)

    async def async_serve(self) -> None:
        """Serve, tick and send heartbeats."""
        await async_serve(self.host, self.port, self._async_entry)
        self._tasks = [
            asyncio.create_task(self._async_tick()),
            asyncio.create_task(self._async_beat(0.0)),
        ]

    def crash(self) -> None:
        """End all that runs; nothing is answered until `boot`."""
        self._finish_due()
        for run in list(self.live.values()):
            self._finish(run, "crashed", listed=False)
        self.dark = True
        self._tasks[1].cancel()
        self.log(f"runner {self.name} crashes")

    def boot(self, capacity: int, first_beat_s: float) -> None:
        """Begin another life under the same id, whose first heartbeat comes after a while."""
        self._reset(capacity)
        self.dark = False
        self._tasks[1] = asyncio.create_task(self._async_beat(first_beat_s))
        self.log(f"runner {self.name} starts again, cpu {capacity}")

    async def _async_tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._finish_due()

    def _finish_due(self) -> None:
        now_s, clock_ms = time.time(), self.clock_ms()
        for run in list(self.live.values()):
            if now_s >= run.stop_at_s:
                self._finish(run, "stopped")
            elif clock_ms >= self.lease_ms:
                self._finish(run, "lapsed")
            elif now_s >= run.ends_s:
                self._finish(run, "done")

    def _finish(self, run: Run, outcome: str, *, listed: bool = True) -> None:
        del self.live[run.task]
        run.outcome, run.ended_s = outcome, time.time()
        self.highest[run.task] = max(run.run, self.highest.get(run.task, 0))
        if listed:
            self.ended_count += 1
            self.ended.append([self.ended_count, run.task, run.run, outcome, ""])
        self.log(f"end {run.task} run {run.run} at {self.name}: {outcome}")

    async def _async_beat(self, first_s: float) -> None:
        await asyncio.sleep(first_s)
        while True:
            self.sequence += 1
            status, _ = await async_call(
                *self.control,
                "PUT",
                f"/api/instances/{self.identity}",
                {"Content-Type": "application/json"},
                json.dumps(self._announcement()).encode(),
                1.0,
            )
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.1)

    def _announcement(self) -> dict[str, Any]:
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "capacity": {"cpu": self.capacity, "memMb": 131072, "gpu": 0},
            "labels": ["a", "r1-1"],
            "clockMs": self.clock_ms(),
            "born": int(self.born_s * 1000),
            "seq": self.sequence,
        }

    async def _async_entry(self, request: Request) -> Response:
        return await (self.filter or self.async_handle)(request)

    async def async_handle(self, request: Request) -> Response:
        """Carry out a request and answer it."""
        if self.dark:
            await asyncio.sleep(3600)
        if request.headers.get("x-target-instance", self.identity) != self.identity:
            return self._answer(421)
        value = request.json()
        if request.path == "/api/run-start":
            return self.start(value)
        if request.path == "/api/run-stop":
            return self._stop(value)
        if request.path == "/api/hold":
            return await self._async_hold(value)
        return self._answer(404)

    def _answer(self, status: int, **fields: Any) -> Response:
        born_ms = int(self.born_s * 1000)
        return Response(status, {"clockMs": self.clock_ms(), "born": born_ms, **fields})

    def _is_fenced(self, value: dict[str, Any]) -> bool:
        token = value.get("fencingToken", 0)
        if token < self.token:
            return True
        self.token = token
        return False

    def _extend(self, value: dict[str, Any]) -> None:
        longest_ms = self.clock_ms() + int(MAX_LEASE_S * 1000)
        self.lease_ms = max(self.lease_ms, min(value.get("deadlineMs", -1), longest_ms))

    def start(self, value: dict[str, Any]) -> Response:
        """Carry out the order to start a run."""
        self._finish_due()
        if self._is_fenced(value):
            return self._answer(409, reason="fence")
        if "deadlineMs" not in value:
            return self._answer(400)
        task, number = value["task"], value["run"]
        live = self.live.get(task)
        if live is not None and live.run == number:
            return self._answer(200)
        self._extend(value)
        if number <= self.highest.get(task, 0) or live is not None:
            return self._answer(409, reason="old")
        if value["deadlineMs"] <= self.clock_ms():
            return self._answer(409, reason="late")
        now_s, spec = time.time(), json.loads(value["spec"])
        run = Run(task, number, self.name, now_s, now_s + spec["work_s"], spec["cpu"])
        self.live[task] = run
        self.history.append(run)
        self.log(f"start {task} run {number} at {self.name}")
        self.on_start(self, run)
        return self._answer(200)

    def _stop(self, value: dict[str, Any]) -> Response:
        if self._is_fenced(value):
            return self._answer(409, reason="fence")
        task, number = value["task"], value["run"]
        run = self.live.get(task)
        if run is not None and run.run == number:
            run.stop_at_s = min(run.stop_at_s, time.time() + STOP_S)
        elif run is None:
            self.highest[task] = max(number, self.highest.get(task, 0))
        return self._answer(200)

    async def _async_hold(self, value: dict[str, Any]) -> Response:
        if self._is_fenced(value):
            return self._answer(409, reason="fence")
        self._extend(value)
        self.acked = max(self.acked, value.get("ackCursor", 0))
        self.ended = [row for row in self.ended if row[0] > self.acked]
        born_s = self.born_s
        until_s = time.time() + min(MAX_WAIT_S, value.get("waitMs", 0) / 1000)
        while not self.ended and time.time() < until_s:
            await asyncio.sleep(TICK_S)
        if self.dark or self.born_s != born_s:
            await asyncio.sleep(3600)
        self._finish_due()
        running = [[run.task, run.run, "", 10, run.cpu] for run in self.live.values()]
        return self._answer(200, running=running, finished=self.ended[:LISTED])
