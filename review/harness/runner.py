"""Stand-in of a runner, as the platform's page "Running tasks" describes it.

A task's spec is JSON such as `{"run_s": 0.2}`. The runner doesn't guard its capacity.
"""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .http import Request, Response, async_call, async_serve

MAX_HOLD_S = 1.0
STOP_S = 0.02
TICK_S = 0.004
HEARTBEAT_S = 1.5

Record = Callable[..., None]


def find_overlaps(runners: "list[Runner]") -> "list[tuple[Run, Run, float]]":
    """Return the runs of one task that went on at the same time, and for how long."""
    runs = [run for runner in runners for run in runner.runs]
    runs.sort(key=lambda run: (run.task, run.started_s))
    found = []
    for first, second in zip(runs, runs[1:], strict=False):
        ended_s = min(run.ended_s or run.ends_s for run in (first, second))
        if first.task == second.task and second.started_s < (first.ended_s or first.ends_s):
            found.append((first, second, round(ended_s - second.started_s, 3)))
    return found


@dataclass
class Run:
    """One run of a task on this runner; times are seconds since the epoch."""

    task: str
    run: int
    boot: int
    started_s: float
    ends_s: float
    how: str = "done"
    ended_s: float | None = None


@dataclass
class Boot:
    """What one process of the runner knows; a new process begins with nothing."""

    born_ms: int
    started_s: float
    token: int = 0
    lease_until_s: float = 0.0
    running: dict[str, Run] = field(default_factory=dict)
    finished: list[tuple[int, str, int, str]] = field(default_factory=list)
    highest: dict[str, int] = field(default_factory=dict)
    end_number: int = 0
    sequence: int = 0


class Runner:
    """A runner, its heartbeats and its restarts under the same id."""

    def __init__(
        self,
        runner_id: str,
        service: str,
        zone: str,
        host: str,
        port: int,
        control: str,
        record: Record,
    ) -> None:
        """Create a runner that announces itself at `control`.

        `on_start` may be set to a function that is asked at each start. It returns None, or after
        how many seconds the start, which gets no answer then, is carried out.
        """
        self.runner_id = runner_id
        self.runs: list[Run] = []
        self.boots = 0
        self.up = True
        self.on_start: Callable[[Runner], float | None] | None = None
        self._late_orders: list[tuple[float, dict[str, Any]]] = []
        self._service = service
        self._zone = zone
        self._host = host
        self._port = port
        self._control = control
        self._record = record
        self.boot = self._new_boot()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._channels: set[asyncio.StreamWriter] = set()

    async def async_start(self) -> None:
        """Serve and announce until the process ends."""
        await async_serve(self._host, self._port, self._async_handle, self._channels)
        for job in (self._async_tick(), self._async_heartbeat()):
            self._spawn(job)

    def _spawn(self, job: Any) -> None:
        task = asyncio.ensure_future(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _new_boot(self) -> Boot:
        self.boots += 1
        now_s = time.time()
        return Boot(int(now_s * 1000), now_s)

    def clock_ms(self) -> int:
        """Return this boot's steady clock."""
        return int((time.time() - self.boot.started_s) * 1000) + 1000

    async def async_restart(self, down_s: float) -> None:
        """Crash, stay away, and start again under the same id, knowing nothing of before."""
        self.up = False
        now_s = time.time()
        for run in list(self.boot.running.values()):
            run.ended_s, run.how = now_s, "crashed"
        self.boot.running.clear()
        self._record("runner_crashes", runner=self.runner_id)
        until_s = time.time() + down_s
        while time.time() < until_s:
            for channel in list(self._channels):
                channel.transport.abort()
            await asyncio.sleep(TICK_S)
        self.boot = self._new_boot()
        self.up = True
        self._record("runner_starts_again", runner=self.runner_id, born=self.boot.born_ms)
        self._carry_out_late_orders(time.time())

    async def async_announce(self) -> None:
        """Send one heartbeat."""
        boot = self.boot
        boot.sequence += 1
        body = {
            "service": self._service,
            "address": f"{self._host}:{self._port}",
            "zone": self._zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": {"cpu": 32000, "memMb": 131072, "gpu": 0},
            "labels": ["a", "r1-1"],
            "clockMs": self.clock_ms(),
            "born": boot.born_ms,
            "seq": boot.sequence,
        }
        path = f"/api/instances/{self.runner_id}"
        await async_call(self._control, "PUT", path, body=json.dumps(body).encode(), timeout_s=1.0)

    async def _async_heartbeat(self) -> None:
        boot = None
        next_s = 0.0
        while True:
            if self.up and (boot is not self.boot or time.time() >= next_s):
                boot, next_s = self.boot, time.time() + HEARTBEAT_S
                await self.async_announce()
            await asyncio.sleep(TICK_S)

    async def _async_tick(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._end_due(time.time())
            if self.up:
                self._carry_out_late_orders(time.time())

    def _end_due(self, now_s: float) -> None:
        boot = self.boot
        for run in list(boot.running.values()):
            if run.ends_s <= min(now_s, boot.lease_until_s):
                self._end(run, now_s, run.how)
            elif boot.lease_until_s <= now_s:
                self._end(run, now_s, "lapsed")

    def _end(self, run: Run, now_s: float, how: str) -> None:
        boot = self.boot
        del boot.running[run.task]
        run.ended_s, run.how = now_s, how
        boot.highest[run.task] = max(run.run, boot.highest.get(run.task, 0))
        boot.end_number += 1
        boot.finished.append((boot.end_number, run.task, run.run, how))
        self._record("run_ended", runner=self.runner_id, task=run.task, run=run.run, how=how)

    async def _async_handle(self, request: Request) -> Response | None:
        if not self.up:
            return None
        if request.headers.get("x-target-instance", "") not in ("", self.runner_id):
            return Response.of_json({"clockMs": self.clock_ms()}, 421)
        value = json.loads(request.body)
        if request.target == "/api/run-start":
            late_s = self.on_start(self) if self.on_start is not None else None
            if late_s is None:
                return self._respond(self._start(value))
            task = value["task"]
            self._record("start_unanswered", runner=self.runner_id, task=task, late_s=late_s)
            self._late_orders.append((time.time() + late_s, value))
            return None
        if request.target == "/api/run-stop":
            return self._respond(self._stop(value))
        if request.target == "/api/hold":
            return await self._async_hold(value)
        return Response(404)

    def _respond(self, refusal: str) -> Response:
        clock = {"clockMs": self.clock_ms()}
        return Response.of_json(
            {**clock, "reason": refusal} if refusal else clock, 409 if refusal else 200
        )

    def _carry_out_late_orders(self, now_s: float) -> None:
        """Carry out the starts that got no answer and whose time has come."""
        due = [order for order in self._late_orders if order[0] <= now_s]
        self._late_orders = [order for order in self._late_orders if order[0] > now_s]
        for _, value in due:
            refusal = self._start(value)
            self._record(
                "start_carried_out_late",
                runner=self.runner_id,
                task=value["task"],
                refused=refusal or "no",
            )

    def _accept(self, value: dict[str, Any]) -> bool:
        """Apply the token and lease of a call; return False if the token is too low."""
        token = value.get("fencingToken", 0)
        if token < self.boot.token:
            return False
        self.boot.token = token
        until_ms = value.get("deadlineMs")
        if until_ms is not None:
            left_s = min(MAX_HOLD_S, (until_ms - self.clock_ms()) / 1000)
            self.boot.lease_until_s = max(self.boot.lease_until_s, time.time() + left_s)
        return True

    def _start(self, value: dict[str, Any]) -> str:
        now_s = time.time()
        self._end_due(now_s)
        task, number = value["task"], value["run"]
        if not self._accept(value):
            return "fence"
        if number <= self.boot.highest.get(task, 0):
            return "old"
        current = self.boot.running.get(task)
        if current is not None:
            return "" if current.run == number else "old"
        if self.boot.lease_until_s <= now_s:
            return "late"
        run_s = json.loads(value["spec"])["run_s"]
        run = Run(task, number, self.boots, now_s, now_s + run_s)
        self.boot.running[task] = run
        self.runs.append(run)
        self._record("run_started", runner=self.runner_id, task=task, run=number)
        return ""

    def _stop(self, value: dict[str, Any]) -> str:
        now_s = time.time()
        self._end_due(now_s)
        if not self._accept(value):
            return "fence"
        task, number = value["task"], value["run"]
        self.boot.highest[task] = max(number, self.boot.highest.get(task, 0))
        run = self.boot.running.get(task)
        if run is not None and run.run <= number:
            run.ends_s, run.how = min(run.ends_s, now_s + STOP_S), "stopped"
        return ""

    async def _async_hold(self, value: dict[str, Any]) -> Response | None:
        self._end_due(time.time())
        if not self._accept(value):
            return self._respond("fence")
        boot = self.boot
        cursor = value.get("ackCursor", 0)
        boot.finished = [row for row in boot.finished if row[0] > cursor]
        until_s = time.time() + value.get("waitMs", 0) / 1000
        while not boot.finished and time.time() < until_s:
            await asyncio.sleep(TICK_S)
        if boot is not self.boot or not self.up:
            return None
        rows = [[run.task, run.run, "", 100, 0] for run in boot.running.values()]
        return Response.of_json(
            {
                "clockMs": self.clock_ms(),
                "born": boot.born_ms,
                "running": rows,
                "finished": [[*row, ""] for row in boot.finished[:500]],
            }
        )
