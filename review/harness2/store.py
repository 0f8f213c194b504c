"""Stand-in of the platform's metadata store: keyed topics with one partition, all in memory."""

import asyncio
import base64
import struct
from dataclasses import dataclass, field

from .http import NO_ANSWER, Request, Response, json_response

RECORD_LENGTH = struct.Struct(">I")
APPEND_S = 0.004
PAGE_ITEMS = 500


@dataclass
class Topic:
    """Records of a topic, and the offset and value of the newest record of each key."""

    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    appended: asyncio.Event = field(default_factory=asyncio.Event)

    def append(self, record: bytes) -> int:
        """Append one record and return its offset."""
        offset = len(self.records)
        self.records.append(record)
        key = record[1 : 1 + record[0]].decode()
        value = record[1 + record[0] :]
        self.newest.pop(key, None)
        if value:
            self.newest[key] = (offset, value)
        appended, self.appended = self.appended, asyncio.Event()
        appended.set()
        return offset


class Store:
    """The store's calls that this product uses, and writes of the operator."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.topics: dict[str, Topic] = {}

    def topic(self, name: str) -> Topic:
        """Return a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record that sets a key, and return its offset."""
        name = key.encode()
        return self.topic(topic).append(bytes([len(name)]) + name + value)

    async def handle(self, request: Request) -> Response:
        """Handle a call."""
        topic = self.topic(request.query.get("topic", ""))
        if request.path == "/api/log-append":
            return await self._append(topic, request)
        if request.path == "/api/log-read":
            return await self._read(topic, request)
        if request.path == "/api/log-newest":
            return self._newest(topic, request)
        return NO_ANSWER

    async def _append(self, topic: Topic, request: Request) -> Response:
        await asyncio.sleep(APPEND_S)
        if "at" in request.query and int(request.query["at"]) != len(topic.records):
            return json_response({"end": len(topic.records)}, 412)
        offset = len(topic.records)
        position = 0
        while position < len(request.body):
            (length,) = RECORD_LENGTH.unpack_from(request.body, position)
            position += RECORD_LENGTH.size
            topic.append(request.body[position : position + length])
            position += length
        return json_response({"offset": offset, "end": len(topic.records)})

    async def _read(self, topic: Topic, request: Request) -> Response:
        start = int(request.query["from"])
        wait_s = int(request.query.get("waitMs", "0")) / 1000
        try:
            async with asyncio.timeout(wait_s):
                while start >= len(topic.records):
                    await topic.appended.wait()
        except TimeoutError:
            pass
        body = struct.pack(">QQ", len(topic.records), 0)
        for record in topic.records[start:]:
            body += RECORD_LENGTH.pack(len(record)) + record
        return Response(200, body, "application/octet-stream")

    def _newest(self, topic: Topic, request: Request) -> Response:
        after = request.query.get("dependsOn", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        more = len(keys) > PAGE_ITEMS
        return json_response({"items": items, "hasMore": more, "end": len(topic.records)})
