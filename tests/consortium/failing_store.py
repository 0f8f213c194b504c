"""Simulated store that fails in several ways, for followers of a topic in virtual time."""

import base64
import json
import struct
from enum import StrEnum
from urllib.parse import parse_qs, urlsplit

import trio
from attrs import define, field, frozen

from pistachiohill.platform.const import CONNECT_TIMEOUT_S, PATH_LOG_NEWEST
from pistachiohill.platform.http_client import HttpResponse, NoResponse
from pistachiohill.platform.store import StoreClient, encode_record
from standins.platform_store import RECORD_LENGTH, Topic

RESPONSE_S = 0.01
SLOW_RESPONSE_S = 3.0


class Failure(StrEnum):
    """How the store or the path to it fails; one that is cut in one direction is silent as well."""

    SILENT = "silent"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    RESET = "reset"
    BUSY = "busy"
    SLOW = "slow"


@frozen
class Outage:
    """A failure from one time to another, by trio's clock."""

    failure: Failure
    start_s: float
    end_s: float


@define
class FailingStore:
    """HTTP client of a simulated store with one topic and with outages.

    An append does not end the wait of reads that arrived in the `unnoticed_s` seconds before it.
    If `expired` is set, the records after any offset have been deleted.
    """

    outages: list[Outage]
    unnoticed_s: float = 0.0
    expired: bool = False
    topic: Topic = field(factory=Topic)
    calls: int = 0

    def client(self) -> StoreClient:
        """Return a client of this store."""
        client = StoreClient("http://127.0.0.1:1")
        client._http = self  # type: ignore[assignment]
        return client

    def append(self) -> None:
        """Append a record."""
        self.topic.append([encode_record("key", b"value")[RECORD_LENGTH.size :]])

    async def async_request(
        self, method: str, path: str, timeout_s: float, **_options: object
    ) -> HttpResponse | NoResponse:
        """Respond like the product's HTTP client."""
        self.calls += 1
        query = {name: values[0] for name, values in parse_qs(urlsplit(path).query).items()}
        with trio.move_on_after(timeout_s):
            return await self._async_respond(urlsplit(path).path, query)
        return NoResponse(True, f"no response within {timeout_s:g} s", timed_out=True)

    async def _async_respond(self, path: str, query: dict[str, str]) -> HttpResponse | NoResponse:
        if self._failure() is Failure.UNREACHABLE:
            await trio.sleep(CONNECT_TIMEOUT_S)
            return NoResponse(False, "timed out while connecting")
        failed = await self._async_fail()
        if failed is not None:
            return failed
        if path == PATH_LOG_NEWEST:
            await trio.sleep(RESPONSE_S)
            failed = await self._async_fail()
            return failed or HttpResponse(200, self._newest())
        start = int(query["from"])
        if self.expired:
            await trio.sleep(RESPONSE_S)
            return HttpResponse(410, b'{"first": %d}' % (start + 1))
        with trio.move_on_after(int(query["waitMs"]) / 1000):
            arrived_at_s = trio.current_time()
            while start >= self.topic.end:
                await self.topic.appended.wait()
            if trio.current_time() - arrived_at_s < self.unnoticed_s:
                await trio.sleep_forever()
        await trio.sleep(RESPONSE_S)
        failed = await self._async_fail()
        return failed or HttpResponse(200, self._page(start))

    def _failure(self) -> Failure | None:
        now_s = trio.current_time()
        for outage in self.outages:
            if outage.start_s <= now_s < outage.end_s:
                return outage.failure
        return None

    async def _async_fail(self) -> HttpResponse | NoResponse | None:
        """Fail as the outage says; None if there is none, or the store is only slow."""
        failure = self._failure()
        if failure in (Failure.SILENT, Failure.UNREACHABLE):
            await trio.sleep_forever()
        if failure is Failure.SLOW:
            await trio.sleep(SLOW_RESPONSE_S)
        if failure is Failure.REFUSED:
            return NoResponse(False, "refused")
        if failure is Failure.RESET:
            return NoResponse(True, "reset")
        if failure is Failure.BUSY:
            return HttpResponse(503, b"")
        return None

    def _newest(self) -> bytes:
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in self.topic.newest.items()
        ]
        return json.dumps({"items": items, "end": self.topic.end}).encode()

    def _page(self, start: int) -> bytes:
        records = self.topic.records[start:]
        body = struct.pack(">QQ", self.topic.end, 0)
        return body + b"".join(RECORD_LENGTH.pack(len(item)) + item for item in records)
