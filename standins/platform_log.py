"""Stand-in for the platform's log service, with outages, slowness and lost answers.

`POST /v1/faults` takes `{"down": bool, "delay_s": n, "lose_answers": n, "refuse": n}`; `POST
/v1/expire` drops all records before the end, as a retention time that has run out does.
"""

import json
import time
from typing import Any

import cbor2
import trio
from attrs import define, field

from pistachiohill.errors import RefusalReason, Verdict
from pistachiohill.http.models import HttpError, Problem, Request, Response, json_response
from pistachiohill.http.server import HttpApp, async_serve_http, route

MAX_RECORD_BYTES = 8 * 1024 * 1024


@define
class Faults:
    """Faults in force; `lose_answers` counts appends whose answer is still to be lost."""

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0


@define
class PlatformLog:
    """An append-only log in memory."""

    retention_s: float = 3600.0
    first: int = 0
    records: list[tuple[int, float, bytes]] = field(factory=list)
    faults: Faults = field(factory=Faults)
    appended: trio.Event = field(factory=trio.Event)
    appends: int = 0

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)

    def append(self, data: bytes, now_s: float) -> int:
        """Append a record and wake readers."""
        self.records.append((self.end, now_s, data))
        self.appends += 1
        appended, self.appended = self.appended, trio.Event()
        appended.set()
        return self.end - 1

    def expire(self, before_s: float) -> None:
        """Drop records older than a time."""
        while self.records and self.records[0][1] < before_s:
            self.records.pop(0)
            self.first += 1


class LogServer:
    """HTTP interface of the stand-in."""

    def __init__(self, log: PlatformLog) -> None:
        """Serve one log."""
        self._log = log

    def app(self) -> HttpApp:
        """Return the application."""
        return HttpApp(
            [
                route("POST", "/v1/records", self._async_append),
                route("GET", "/v1/records", self._async_read),
                route("POST", "/v1/faults", self._async_faults),
                route("POST", "/v1/expire", self._async_expire),
                route("GET", "/live", self._async_live),
            ],
            MAX_RECORD_BYTES,
        )

    async def _async_append(self, request: Request) -> Response:
        await self._async_fault()
        expected = request.headers.get("expected-end")
        if expected is not None and int(expected) != self._log.end:
            return json_response({"end": self._log.end}, 409)
        offset = self._log.append(request.body, time.time())
        if self._log.faults.lose_answers > 0:
            self._log.faults.lose_answers -= 1
            await trio.sleep_forever()
        return json_response({"offset": offset})

    async def _async_read(self, request: Request) -> Response:
        await self._async_fault()
        log = self._log
        log.expire(time.time() - log.retention_s)
        start = int(request.query["from"])
        with trio.move_on_after(float(request.query.get("wait_s", 0.0))):
            while start >= log.end:
                await log.appended.wait()
        await self._async_fault()
        limit = int(request.query.get("limit", 1000))
        begin = max(0, start - log.first)
        value = {
            "first": log.first,
            "end": log.end,
            "retention_s": log.retention_s,
            "now_s": time.time(),
            "records": log.records[begin : begin + limit],
        }
        return Response(200, cbor2.dumps(value), "application/cbor")

    async def _async_faults(self, request: Request) -> Response:
        value: dict[str, Any] = json.loads(request.body)
        for name, setting in value.items():
            setattr(self._log.faults, name, setting)
        return json_response({"first": self._log.first, "end": self._log.end})

    async def _async_expire(self, request: Request) -> Response:
        self._log.expire(time.time() + 1.0)
        return json_response({"first": self._log.first, "end": self._log.end})

    async def _async_live(self, request: Request) -> Response:
        return json_response({"end": self._log.end, "appends": self._log.appends})

    async def _async_fault(self) -> None:
        await trio.sleep(self._log.faults.delay_s)
        if self._log.faults.down:
            detail = "the log is down"
            raise HttpError(Problem(503, RefusalReason.OVERLOAD, Verdict.NOT_RUN, detail))


async def async_run(host: str, port: int, retention_s: float) -> None:
    """Serve until cancelled."""
    server = LogServer(PlatformLog(retention_s=retention_s))
    await async_serve_http(server.app(), [f"{host}:{port}"], trio.Event(), 0.1)
