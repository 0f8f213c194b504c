"""Stand-in of a runner: leases, fencing tokens, run numbers and a list of ended runs.

A job's spec is a JSON object; `run_s` is how long each of its tasks works.
"""

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .http import NO_ANSWER, Request, Response, Server, call, json_response

MAX_HOLD_S = 1.0
STOP_S = 0.03
TICK_S = 0.002
HEARTBEAT_S = 1.5


@dataclass
class Run:
    """A run of a task; the end is None while it works."""

    task: str
    number: int
    runner: str
    started_s: float
    due_s: float
    how: str = "done"
    ended_s: float | None = None


@dataclass
class Runner:
    """One runner beside one agent.

    Fields:
        lose_start: Returns whether a start gets no answer; such a start is carried out
            `late_s` later.
        late_grants: Whether the lease of a late start counts from the time it is carried out.
    """

    name: str
    zone: str
    service: str
    host: str
    port: int
    control: str
    log: Callable[..., None]
    cpu: int = 16000
    memory_mb: int = 65536
    lose_start: Callable[[str], bool] = lambda _task: False
    late_s: float = 2.5
    late_grants: bool = False
    history: list[Run] = field(default_factory=list)
    running: dict[str, Run] = field(default_factory=dict)
    ended: list[tuple[int, str, int, str]] = field(default_factory=list)
    highest: dict[str, int] = field(default_factory=dict)
    token: int = 0
    sequence: int = 0
    last_end: int = 0
    lease_s: float = 0.0
    state: str = "ready"
    born_s: float = field(default_factory=time.time)
    _boot_s: float = field(default_factory=time.monotonic)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Listen, send heartbeats and end runs that are due."""
        self.server = Server(self.handle, self.host, self.port)
        await self.server.start()
        self._spawn(self._tick())
        self._beating = self._spawn(self._beat())

    def clock_ms(self) -> int:
        """Return the runner's steady clock."""
        return 1000 + int((time.monotonic() - self._boot_s) * 1000)

    async def handle(self, request: Request) -> Response:
        """Handle a call of the agent."""
        if request.headers.get("x-target-instance", self.name) != self.name:
            return self._answer({}, 421)
        value = request.json()
        if request.path == "/api/run-start":
            if self.lose_start(value["task"]):
                self.log("start_not_answered", runner=self.name, task=value["task"])
                self._spawn(self._start_late(value))
                return NO_ANSWER
            return self._refusal_or_answer(self._start(value))
        if request.path == "/api/run-stop":
            return self._refusal_or_answer(self._stop(value))
        if request.path == "/api/hold":
            return await self._hold(value)
        return self._answer({}, 400)

    def _answer(self, value: dict[str, Any], status: int = 200) -> Response:
        fields = {"clockMs": self.clock_ms(), "born": int(self.born_s * 1000), **value}
        return json_response(fields, status)

    def _refusal_or_answer(self, reason: str) -> Response:
        return self._answer({"reason": reason}, 409) if reason else self._answer({})

    def _take_token(self, value: dict[str, Any]) -> bool:
        token = value.get("fencingToken", 0)
        if token < self.token:
            return False
        self.token = token
        return True

    def _extend(self, value: dict[str, Any]) -> None:
        if "deadlineMs" in value:
            left_s = min(MAX_HOLD_S, (value["deadlineMs"] - self.clock_ms()) / 1000)
            self.lease_s = max(self.lease_s, time.monotonic() + left_s)

    def _start(self, value: dict[str, Any]) -> str:
        self._end_due()
        task, number = value["task"], value["run"]
        if not self._take_token(value):
            return "fence"
        self._extend(value)
        current = self.running.get(task)
        if current is not None and current.number == number:
            return ""
        if current is not None or number <= self.highest.get(task, 0):
            return "old"
        if self.lease_s <= time.monotonic():
            return "late"
        run_s = float(json.loads(value["spec"])["run_s"])
        now_s = time.monotonic()
        run = Run(task, number, self.name, now_s, now_s + run_s)
        self.running[task] = run
        self.history.append(run)
        self.log("run_begins", runner=self.name, task=task, run=number)
        return ""

    async def _start_late(self, value: dict[str, Any]) -> None:
        await asyncio.sleep(self.late_s)
        if self.late_grants:
            value["deadlineMs"] += int(self.late_s * 1000)
        reason = self._start(value)
        self.log("late_start", runner=self.name, task=value["task"], outcome=reason or "started")

    def _stop(self, value: dict[str, Any]) -> str:
        self._end_due()
        if not self._take_token(value):
            return "fence"
        task, number = value["task"], value["run"]
        self.highest[task] = max(number, self.highest.get(task, 0))
        run = self.running.get(task)
        if run is not None and run.number <= number and run.how != "stopped":
            run.due_s = min(run.due_s, time.monotonic() + STOP_S)
            run.how = "stopped"
        return ""

    async def _hold(self, value: dict[str, Any]) -> Response:
        self._end_due()
        if not self._take_token(value):
            return self._refusal_or_answer("fence")
        self._extend(value)
        cursor = value.get("ackCursor", 0)
        self.ended = [row for row in self.ended if row[0] > cursor]
        try:
            async with asyncio.timeout(value.get("waitMs", 0) / 1000):
                while not self.ended:
                    await self._changed.wait()
        except TimeoutError:
            pass
        running = [[run.task, run.number, "", 50] for run in self.running.values()]
        finished = [[*row, ""] for row in self.ended[:500]]
        return self._answer({"running": running, "finished": finished})

    def _end_due(self) -> None:
        now_s = time.monotonic()
        for run in list(self.running.values()):
            if run.due_s <= min(now_s, self.lease_s):
                self._end(run, run.how, run.due_s)
            elif self.lease_s <= now_s:
                self._end(run, "lapsed", self.lease_s)

    def _end(self, run: Run, how: str, at_s: float) -> None:
        del self.running[run.task]
        run.how, run.ended_s = how, at_s
        self.highest[run.task] = max(run.number, self.highest.get(run.task, 0))
        self.last_end += 1
        self.ended.append((self.last_end, run.task, run.number, how))
        self.log("run_ends", runner=self.name, task=run.task, run=run.number, how=how)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _tick(self) -> None:
        while True:
            self._end_due()
            await asyncio.sleep(TICK_S)

    async def crash(self, down_s: float, first_beat_s: float) -> None:
        """End at once, and start again under the same id without anything of before.

        The first heartbeat of the next process is sent `first_beat_s` after its start. Orders that
        were left unanswered may still be carried out.
        """
        self.log("runner_crashes", runner=self.name)
        self.server.stop()
        self._beating.cancel()
        for run in list(self.running.values()):
            del self.running[run.task]
            run.how, run.ended_s = "crashed", time.monotonic()
        await asyncio.sleep(down_s)
        self.born_s, self._boot_s = time.time(), time.monotonic()
        self.token = self.sequence = self.last_end = 0
        self.lease_s = 0.0
        self.ended, self.highest = [], {}
        await self.server.start()
        self.log("runner_starts_again", runner=self.name)
        self._beating = self._spawn(self._beat(first_beat_s))

    async def _beat(self, first_s: float = 0.0) -> None:
        await asyncio.sleep(first_s)
        while True:
            status = await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.3)

    async def send_heartbeat(self) -> int:
        """Send the runner's next heartbeat and return the status of the answer."""
        self.sequence += 1
        return await self.put_heartbeat(self.heartbeat())

    async def put_heartbeat(self, body: dict[str, Any]) -> int:
        """Send a heartbeat to the agent and return the status of the answer."""
        path = f"/api/instances/{self.name}"
        status, _ = await call("PUT", self.control, path, body, timeout_s=1.0)
        return status

    def heartbeat(self) -> dict[str, Any]:
        """Return what the runner says of itself."""
        return {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": self.memory_mb, "gpu": 0},
            "labels": ["a", "r1"],
            "clockMs": self.clock_ms(),
            "born": int(self.born_s * 1000),
            "seq": self.sequence,
        }

    def _spawn(self, work: Any) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
