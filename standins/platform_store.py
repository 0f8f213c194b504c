"""Stand-in for the platform's store, with outages, delays and lost responses.

It serves topics with one partition: appends, long-polling reads, and the newest record of each key
of keyed topics. `POST /v1/faults` takes `{"down": bool, "delay_s": n, "lose_answers": n, "late_s":
n}`; `POST /v1/expire` drops the history of all topics, as if its retention time had passed.
"""

import base64
import json
import struct
from typing import Any

import trio
from attrs import define, field

from pistachiohill.errors import RefusalReason, Verdict
from pistachiohill.http.app import HttpApp, route
from pistachiohill.http.models import HttpError, Problem, Request, Response, json_response
from pistachiohill.http.server import async_serve_http
from pistachiohill.platform.const import PATH_LOG_APPEND, PATH_LOG_NEWEST, PATH_LOG_READ

MAX_REQUEST_BYTES = 2 * 1024 * 1024
NEWEST_PAGE_SIZE = 50
READ_PAGE_KB = 1024
RECORD_LENGTH = struct.Struct(">I")


@define
class Faults:
    """Injected faults.

    Fields:
        down: Refuse every call.
        delay_s: Delay of every response.
        lose_answers: How many of the next appends are applied but not answered.
        late_s: Delay after which such an append is applied.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    late_s: float = 0.0


@define
class Topic:
    """A topic: the retained records, the first at offset `first`, and the newest of each key."""

    first: int = 0
    records: list[bytes] = field(factory=list)
    newest: dict[str, tuple[int, bytes]] = field(factory=dict)
    appended: trio.Event = field(factory=trio.Event)

    @property
    def end(self) -> int:
        """Return the offset of the next record."""
        return self.first + len(self.records)

    def append(self, records: list[bytes]) -> int:
        """Append records, wake waiting readers and return the offset of the first record."""
        offset = self.end
        for record in records:
            self._update_newest(record, self.end)
            self.records.append(record)
        appended, self.appended = self.appended, trio.Event()
        appended.set()
        return offset

    def expire(self) -> None:
        """Drop the retained records, but keep the newest of each key."""
        self.first = self.end
        self.records.clear()

    def _update_newest(self, record: bytes, offset: int) -> None:
        if not record or len(record) < 1 + record[0]:
            return
        key = record[1 : 1 + record[0]].decode(errors="replace")
        value = record[1 + record[0] :]
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)


@define
class PlatformStore:
    """All topics, in memory."""

    topics: dict[str, Topic] = field(factory=dict)
    faults: Faults = field(factory=Faults)
    appends: int = 0

    def topic(self, name: str) -> Topic:
        """Return a topic, creating it on first use."""
        return self.topics.setdefault(name, Topic())


class StoreServer:
    """HTTP interface of the store."""

    def __init__(self, store: PlatformStore, nursery: trio.Nursery) -> None:
        """Serve a store; delayed appends run in `nursery`."""
        self._store = store
        self._nursery = nursery

    def app(self) -> HttpApp:
        """Return the HTTP application."""
        return HttpApp(
            [
                route("POST", PATH_LOG_APPEND, self._async_append),
                route("GET", PATH_LOG_READ, self._async_read),
                route("GET", PATH_LOG_NEWEST, self._async_newest),
                route("POST", "/v1/faults", self._async_set_faults),
                route("POST", "/v1/expire", self._async_expire),
                route("GET", "/live", self._async_live),
            ],
            MAX_REQUEST_BYTES,
        )

    async def _async_append(self, request: Request) -> Response:
        await self._async_apply_faults()
        topic = self._store.topic(request.query["topic"])
        records = _split_records(request.body)
        at = request.query.get("at")
        if self._store.faults.lose_answers > 0:
            self._store.faults.lose_answers -= 1
            self._nursery.start_soon(self._async_append_delayed, topic, records, at)
            await trio.sleep_forever()
        offset = self._append(topic, records, at)
        if offset is None:
            return json_response({"end": topic.end}, 412)
        return json_response({"offset": offset, "end": topic.end})

    def _append(self, topic: Topic, records: list[bytes], at: str | None) -> int | None:
        if at is not None and int(at) != topic.end:
            return None
        self._store.appends += 1
        return topic.append(records)

    async def _async_append_delayed(
        self, topic: Topic, records: list[bytes], at: str | None
    ) -> None:
        await trio.sleep(self._store.faults.late_s)
        self._append(topic, records, at)

    async def _async_read(self, request: Request) -> Response:
        await self._async_apply_faults()
        topic = self._store.topic(request.query["topic"])
        start = int(request.query["from"])
        if start < topic.first:
            return json_response({"first": topic.first}, 410)
        with trio.move_on_after(int(request.query.get("waitMs", 0)) / 1000):
            while start >= topic.end:
                await topic.appended.wait()
        await self._async_apply_faults()
        limit_bytes = 1024 * int(request.query.get("maxKb", READ_PAGE_KB))
        records = _first_records(topic.records[max(0, start - topic.first) :], limit_bytes)
        body = struct.pack(">QQ", topic.end, topic.first)
        body += b"".join(RECORD_LENGTH.pack(len(record)) + record for record in records)
        return Response(200, body, "application/octet-stream")

    async def _async_newest(self, request: Request) -> Response:
        await self._async_apply_faults()
        topic = self._store.topic(request.query["topic"])
        after = request.query.get("dependsOn", "")
        keys = [key for key in sorted(topic.newest) if key > after]
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:NEWEST_PAGE_SIZE]
        ]
        more = len(keys) > NEWEST_PAGE_SIZE
        return json_response({"items": items, "hasMore": more, "end": topic.end})

    async def _async_set_faults(self, request: Request) -> Response:
        value: dict[str, Any] = json.loads(request.body)
        for name, setting in value.items():
            setattr(self._store.faults, name, setting)
        return json_response({})

    async def _async_expire(self, request: Request) -> Response:
        for topic in self._store.topics.values():
            topic.expire()
        return json_response({})

    async def _async_live(self, request: Request) -> Response:
        ends = {name: topic.end for name, topic in self._store.topics.items()}
        return json_response({"appends": self._store.appends, "ends": ends})

    async def _async_apply_faults(self) -> None:
        await trio.sleep(self._store.faults.delay_s)
        if self._store.faults.down:
            detail = "the store is down"
            raise HttpError(Problem(503, RefusalReason.OVERLOAD, Verdict.NOT_RUN, detail))


def _first_records(records: list[bytes], limit_bytes: int) -> list[bytes]:
    """Return the records that fit into a page, at least one if there are any."""
    page: list[bytes] = []
    size = 0
    for record in records:
        size += RECORD_LENGTH.size + len(record)
        if page and size > limit_bytes:
            break
        page.append(record)
    return page


def _split_records(body: bytes) -> list[bytes]:
    """Split the body of an append into records."""
    records = []
    position = 0
    while position < len(body):
        (length,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        records.append(body[position : position + length])
        position += length
    return records


async def async_run(host: str, port: int) -> None:
    """Serve until cancelled."""
    async with trio.open_nursery() as nursery:
        server = StoreServer(PlatformStore(), nursery)
        await async_serve_http(server.app(), [f"{host}:{port}"], trio.Event(), 0.1)
