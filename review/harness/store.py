"""Stand-in of the platform's store: keyed topics with one partition, in memory."""

import asyncio
import base64
import contextlib
import struct
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from .http import Request, Response, async_serve

LENGTH = struct.Struct(">I")
READ_HEADER = struct.Struct(">QQ")


@dataclass
class Topic:
    """All records of a topic, and the newest record of each key with its offset."""

    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    appended: asyncio.Event = field(default_factory=asyncio.Event)

    def append(self, record: bytes) -> int:
        """Append a record and return its offset."""
        offset = len(self.records)
        self.records.append(record)
        key, value = record[1 : 1 + record[0]].decode(), record[1 + record[0] :]
        if value:
            self.newest[key] = (offset, value)
        else:
            self.newest.pop(key, None)
        self.appended.set()
        self.appended = asyncio.Event()
        return offset


class Store:
    """Serves the calls of the store that the project's programs make."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.topics: dict[str, Topic] = {}

    async def async_start(self, host: str, port: int) -> None:
        """Serve until the process ends."""
        await async_serve(host, port, self._async_handle)

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Set a key as an operator; an empty value deletes it."""
        self._topic(topic).append(bytes([len(key)]) + key.encode() + value)

    def _topic(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic())

    async def _async_handle(self, request: Request) -> Response:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = self._topic(query.get("topic", ""))
        if url.path == "/api/log-append":
            return self._append(topic, query, request.body)
        if url.path == "/api/log-read":
            return await self._async_read(topic, query)
        if url.path == "/api/log-newest":
            return self._newest(topic, query)
        return Response(404)

    def _append(self, topic: Topic, query: dict[str, str], body: bytes) -> Response:
        if "at" in query and int(query["at"]) != len(topic.records):
            return Response.of_json({"end": len(topic.records)}, 412)
        first = len(topic.records)
        position = 0
        while position < len(body):
            (length,) = LENGTH.unpack_from(body, position)
            position += LENGTH.size
            topic.append(body[position : position + length])
            position += length
        return Response.of_json({"offset": first, "end": len(topic.records)})

    async def _async_read(self, topic: Topic, query: dict[str, str]) -> Response:
        start, wait_s = int(query["from"]), int(query.get("waitMs", "0")) / 1000
        if start >= len(topic.records) and wait_s:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(topic.appended.wait(), wait_s)
        rows = topic.records[start:]
        body = READ_HEADER.pack(len(topic.records), 0)
        return Response(200, body + b"".join(LENGTH.pack(len(row)) + row for row in rows))

    def _newest(self, topic: Topic, query: dict[str, str]) -> Response:
        keys = sorted(key for key in topic.newest if key > query.get("dependsOn", ""))
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys
        ]
        return Response.of_json({"items": items, "hasMore": False, "end": len(topic.records)})
