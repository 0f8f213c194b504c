"""Stand-ins of the platform: its store, and runners beside the agents."""

import asyncio
import base64
import json
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .http1 import Reply, Request, call, serve

Log = Callable[..., None]


def _json(value: object, status: int = 200) -> Reply:
    return Reply(status, json.dumps(value).encode(), {"Content-Type": "application/json"})


@dataclass
class _Topic:
    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)


class Store:
    """The platform's metadata store: keyed topics with one partition, kept in memory."""

    def __init__(self, host: str, port: int) -> None:
        """Create an empty store."""
        self.address = f"{host}:{port}"
        self._host, self._port = host, port
        self._topics: dict[str, _Topic] = {}

    async def start(self) -> None:
        """Serve calls."""
        await serve(self._host, self._port, self._handle)

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record as the operator does; without a value the key is dropped."""
        data = bytes([len(key)]) + key.encode() + value
        return self._append(self._topic(topic), [data])

    def _topic(self, name: str) -> _Topic:
        return self._topics.setdefault(name, _Topic())

    def _append(self, topic: _Topic, records: list[bytes]) -> int:
        first = len(topic.records)
        for data in records:
            key = data[1 : 1 + data[0]].decode()
            value = data[1 + data[0] :]
            if value:
                topic.newest[key] = (len(topic.records), value)
            else:
                topic.newest.pop(key, None)
            topic.records.append(data)
        changed, topic.changed = topic.changed, asyncio.Event()
        changed.set()
        return first

    async def _handle(self, request: Request) -> Reply:
        await asyncio.sleep(0.004)
        topic = self._topic(request.query.get("topic", ""))
        if request.path == "/api/log-append":
            at = request.query.get("at")
            if at is not None and int(at) != len(topic.records):
                return _json({"end": len(topic.records)}, 412)
            records, rest = [], request.body
            while rest:
                (length,) = struct.unpack_from(">I", rest)
                records.append(rest[4 : 4 + length])
                rest = rest[4 + length :]
            return _json({"offset": self._append(topic, records), "end": len(topic.records)})
        if request.path == "/api/log-read":
            start = int(request.query["from"])
            until = time.monotonic() + int(request.query.get("waitMs", "0")) / 1000
            while start >= len(topic.records) and time.monotonic() < until:
                try:
                    async with asyncio.timeout(until - time.monotonic()):
                        await topic.changed.wait()
                except TimeoutError:
                    break
            found = b"".join(struct.pack(">I", len(r)) + r for r in topic.records[start:])
            return Reply(200, struct.pack(">QQ", len(topic.records), 0) + found)
        if request.path == "/api/log-newest":
            after = request.query.get("dependsOn", "")
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (offset, value) in sorted(topic.newest.items())
                if key > after
            ]
            return _json({"items": items, "hasMore": False, "end": len(topic.records)})
        return _json({}, 404)


@dataclass
class Run:
    """A run at a runner."""

    task: str
    run: int
    spec: str
    began_s: float
    ends_s: float
    how: str = "done"


class Runner:
    """A runner beside an agent: one lease, fencing tokens, a list of ends to be acknowledged.

    The work of a task is the number of milliseconds in its spec, as in "ms=400".
    """

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        control: str,
        service: str,
        zone: str,
        cpu: int,
        log: Log,
        mem_mb: int = 65536,
    ) -> None:
        """Create a runner that announces itself at `control`."""
        self.name, self.service, self.zone, self.cpu = name, service, zone, cpu
        self.mem_mb = mem_mb
        self.address = f"{host}:{port}"
        self._host, self._port, self._control, self._log = host, port, control, log
        self.state = "ready"
        self.history: list[tuple[str, int, float, float, str]] = []
        self.cut = False
        self._suspended = False
        self._begin()

    def _begin(self) -> None:
        self.born = int(time.time() * 1000)
        self._born_s = time.monotonic()
        self._sequence = 0
        self._token = 0
        self._lease_s = 0.0
        self._acked = 0
        self._count = 0
        self._highest: dict[str, int] = {}
        self.running: dict[str, Run] = {}
        self.finished: list[list[Any]] = []
        self._ended = asyncio.Event()

    async def start(self) -> None:
        """Serve calls and announce the runner."""
        await serve(self._host, self._port, self._handle)
        self._tasks = [asyncio.create_task(self._announce()), asyncio.create_task(self._tick())]

    def _clock_ms(self) -> int:
        return int((time.monotonic() - self._born_s) * 1000) + 1000

    def suspend(self) -> float:
        """Stand still, as the machine does; return the time for `resume`."""
        self._suspended = True
        self._log("suspended", runner=self.name, clock_ms=self._clock_ms())
        return time.monotonic()

    def resume(self, since_s: float) -> None:
        """Go on; the steady clock, the lease and the runs have not moved meanwhile."""
        gone_s = time.monotonic() - since_s
        self._born_s += gone_s
        self._lease_s += gone_s
        for run in self.running.values():
            run.ends_s += gone_s
        self._suspended = False
        self._log("resumed", runner=self.name, clock_ms=self._clock_ms())

    async def _announce(self) -> None:
        while True:
            if self._suspended or self.cut:
                await asyncio.sleep(0.02)
                continue
            self._sequence += 1
            status, _ = await call(
                self._control,
                "PUT",
                f"/api/instances/{self.name}",
                {"Host": "x", "Content-Type": "application/json"},
                json.dumps(self._heartbeat()).encode(),
                1.0,
            )
            await asyncio.sleep(1.5 if status == 200 else 0.2)

    def _heartbeat(self) -> dict[str, Any]:
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldLeftMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": self.mem_mb, "gpu": 0},
            "labels": ["a", "r1-1"],
            "clockMs": self._clock_ms(),
            "seq": self._sequence,
            "born": self.born,
        }

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(0.004)
            if self._suspended:
                continue
            now_s = time.monotonic()
            for run in list(self.running.values()):
                if run.ends_s <= now_s:
                    self._end(run, run.how)
            if self.running and now_s >= self._lease_s:
                for run in list(self.running.values()):
                    self._end(run, "lapsed")

    def _end(self, run: Run, how: str) -> None:
        del self.running[run.task]
        self._highest[run.task] = max(run.run, self._highest.get(run.task, 0))
        self._count += 1
        self.finished.append([self._count, run.task, run.run, how, ""])
        now_s = time.monotonic()
        self.history.append((run.task, run.run, run.began_s, now_s, how))
        self._log("end", runner=self.name, task=run.task, run=run.run, how=how)
        ended, self._ended = self._ended, asyncio.Event()
        ended.set()

    def _extend(self, value: dict[str, Any]) -> None:
        if "deadlineMs" in value:
            left_s = min(1.0, (value["deadlineMs"] - self._clock_ms()) / 1000)
            self._lease_s = max(self._lease_s, time.monotonic() + left_s)

    def _clock(self, status: int = 200, **more: Any) -> Reply:
        return _json({"clockMs": self._clock_ms(), "born": self.born, **more}, status)

    async def _handle(self, request: Request) -> Reply:
        while self._suspended:
            await asyncio.sleep(0.004)
        if self.cut:
            return Reply(0)
        reply = await self._answer(request)
        return Reply(0) if self.cut else reply

    async def _answer(self, request: Request) -> Reply:
        if request.headers.get("x-target-instance", self.name) != self.name:
            return self._clock(421)
        try:
            value = json.loads(request.body)
        except ValueError:
            return self._clock(400)
        token = value.get("fencingToken", 0)
        if token < self._token:
            return self._clock(409, reason="fence")
        self._token = token
        if request.path == "/api/run-start":
            return self._start(value)
        if request.path == "/api/run-stop":
            return self._stop(value)
        if request.path == "/api/hold":
            return await self._hold(value)
        return self._clock(404)

    def _start(self, value: dict[str, Any]) -> Reply:
        task, number = value["task"], value["run"]
        if "deadlineMs" not in value:
            return self._clock(400)
        self._extend(value)
        known = self.running.get(task)
        if known is not None and known.run == number:
            return self._clock()
        if known is not None or number <= self._highest.get(task, 0):
            return self._clock(409, reason="old")
        now_s = time.monotonic()
        if self._lease_s <= now_s:
            return self._clock(409, reason="late")
        work_s = int(value["spec"].partition("=")[2] or "100") / 1000
        self.running[task] = Run(task, number, value["spec"], now_s, now_s + work_s)
        self._log("start", runner=self.name, task=task, run=number)
        return self._clock()

    def _stop(self, value: dict[str, Any]) -> Reply:
        task, number = value["task"], value["run"]
        run = self.running.get(task)
        if run is not None and run.run <= number:
            ends_s = time.monotonic() + 0.03
            if run.ends_s > ends_s:
                run.ends_s, run.how = ends_s, "stopped"
        else:
            self._highest[task] = max(number, self._highest.get(task, 0))
        return self._clock()

    async def _hold(self, value: dict[str, Any]) -> Reply:
        self._extend(value)
        self._acked = max(self._acked, value.get("ackCursor", 0))
        self.finished = [row for row in self.finished if row[0] > self._acked]
        until = time.monotonic() + min(2000, value.get("waitMs", 0)) / 1000
        while not self.finished and time.monotonic() < until:
            try:
                async with asyncio.timeout(until - time.monotonic()):
                    await self._ended.wait()
            except TimeoutError:
                break
        running = [[r.task, r.run, "", 50, 1000] for r in self.running.values()]
        return self._clock(running=running, finished=self.finished[:500])
