"""Stand-in for the platform's store: keyed topics with one partition."""

import asyncio
import base64
import struct
from dataclasses import dataclass, field

from .http11 import Request, Response, async_serve

LENGTH = struct.Struct(">I")
PAGE_HEADER = struct.Struct(">QQ")
APPEND_S = 0.004


@dataclass
class Topic:
    """The records of a topic and the newest record of each key."""

    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def append(self, record: bytes) -> int:
        """Append a record, wake the readers and return its offset."""
        offset = len(self.records)
        self.records.append(record)
        key, value = record[1 : 1 + record[0]].decode(), record[1 + record[0] :]
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return offset


class Store:
    """The store; the operator writes with `put`."""

    def __init__(self) -> None:
        """Create an empty store."""
        self._topics: dict[str, Topic] = {}

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Set a key as the operator does, or delete it with an empty value."""
        self._topic(topic).append(bytes([len(key)]) + key.encode() + value)

    def _topic(self, name: str) -> Topic:
        return self._topics.setdefault(name, Topic())

    async def async_serve(self, host: str, port: int) -> None:
        """Start to serve."""
        await async_serve(host, port, self._async_handle)

    async def _async_handle(self, request: Request) -> Response:
        topic = self._topic(request.query.get("topic", ""))
        if request.path == "/api/log-append":
            return await self._async_append(topic, request)
        if request.path == "/api/log-read":
            return await self._async_read(topic, request)
        if request.path == "/api/log-newest":
            return _newest(topic, request)
        return Response(404)

    async def _async_append(self, topic: Topic, request: Request) -> Response:
        await asyncio.sleep(APPEND_S)
        at = request.query.get("at")
        if at is not None and int(at) != len(topic.records):
            return Response(412, {"end": len(topic.records)})
        first, body, position = len(topic.records), request.body, 0
        while position < len(body):
            (length,) = LENGTH.unpack_from(body, position)
            position += LENGTH.size
            topic.append(body[position : position + length])
            position += length
        return Response(200, {"offset": first, "end": len(topic.records)})

    async def _async_read(self, topic: Topic, request: Request) -> Response:
        start = int(request.query["from"])
        until = asyncio.get_running_loop().time() + int(request.query.get("waitMs", "0")) / 1000
        while start >= len(topic.records):
            left_s = until - asyncio.get_running_loop().time()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(topic.changed.wait(), left_s)
            except TimeoutError:
                break
        records = topic.records[start:]
        body = PAGE_HEADER.pack(len(topic.records), 0)
        return Response(200, body + b"".join(LENGTH.pack(len(item)) + item for item in records))


def _newest(topic: Topic, request: Request) -> Response:
    after = request.query.get("dependsOn", "")
    items = [
        {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
        for key, (offset, value) in sorted(topic.newest.items())
        if key > after
    ]
    return Response(200, {"items": items, "hasMore": False, "end": len(topic.records)})
