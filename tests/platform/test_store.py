"""The store's client: records as they are on the wire, and every way in which a call can end."""

import trio
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pistachiohill.http.server import async_serve_http
from pistachiohill.platform.errors import WireError
from pistachiohill.platform.models import (
    AppendConflict,
    Appended,
    AppendRefused,
    AppendUnknown,
    HistoryGone,
    KeyedPage,
    KeyedRecord,
    StoreFailed,
)
from pistachiohill.platform.store import PAGE_HEAD, StoreClient, decode_page, encode_record
from standins.platform_store import NEWEST_PAGE_SIZE, PlatformStore, StoreServer
from standins.processes import free_ports

from ..base import TestCase

RECORDS = st.lists(
    st.tuples(st.text(min_size=1, max_size=20), st.one_of(st.none(), st.binary(min_size=1))),
    max_size=8,
)
TOPIC = "keyed.test"


class PageTest(TestCase):
    @seed(20261204)
    @settings(max_examples=200, deadline=None, database=None)
    @given(RECORDS, st.integers(0, 1000))
    def test_records_are_read_back(
        self, records: list[tuple[str, bytes | None]], first: int
    ) -> None:
        body = b"".join(encode_record(key, value) for key, value in records)
        page = decode_page(PAGE_HEAD.pack(first + len(records), 0) + body, first)
        expected = [
            KeyedRecord(first + place, key, value) for place, (key, value) in enumerate(records)
        ]
        self.assertEqual(KeyedPage(tuple(expected), first + len(records)), page)

    @seed(20261204)
    @settings(max_examples=500, deadline=None, database=None)
    @given(st.binary(max_size=80))
    def test_garbage_is_refused_or_passed_over(self, data: bytes) -> None:
        try:
            decode_page(data, 5)
        except WireError:
            return

    def test_records_without_a_key_are_passed_over_and_counted(self) -> None:
        body = b"\0\0\0\0" + b"\0\0\0\x02\x09x" + encode_record("k", b"v")
        page = decode_page(PAGE_HEAD.pack(3, 0) + body, 0)
        self.assertEqual(KeyedPage((KeyedRecord(2, "k", b"v"),), 3), page)


class StoreClientTest(TestCase):
    async def _async_serve(self, nursery: trio.Nursery) -> tuple[StoreClient, PlatformStore]:
        """Serve a stand-in on a port of its own."""
        address = f"127.0.0.1:{free_ports(1)[0]}"
        model = PlatformStore()
        app = StoreServer(model, nursery).app()
        await nursery.start(async_serve_http, app, [address], trio.Event(), 0.1)
        return StoreClient(f"http://{address}"), model

    async def test_append_read_and_newest(self) -> None:
        async with trio.open_nursery() as nursery:
            store, model = await self._async_serve(nursery)
            for number in range(3):
                outcome = await store.async_append(TOPIC, "k", b"v%d" % number)
                self.assertEqual(Appended(number), outcome)
            self.assertEqual(AppendConflict(3), await store.async_append(TOPIC, "k", b"x", 1))
            self.assertEqual(Appended(3), await store.async_append(TOPIC, "j", b"w", 3))
            self.assertEqual(Appended(4), await store.async_append(TOPIC, "gone", b"w"))
            self.assertEqual(Appended(5), await store.async_append(TOPIC, "gone", None))
            newest = await store.async_newest(TOPIC)
            kept = (KeyedRecord(2, "k", b"v2"), KeyedRecord(3, "j", b"w"))
            self.assertEqual(KeyedPage(kept, 6), newest)
            page = await store.async_read(TOPIC, 4, 0.0)
            dropped = (KeyedRecord(4, "gone", b"w"), KeyedRecord(5, "gone", None))
            self.assertEqual(KeyedPage(dropped, 6), page)
            model.topic(TOPIC).expire()
            self.assertEqual(HistoryGone(6), await store.async_read(TOPIC, 4, 0.0))
            self.assertEqual(newest, await store.async_newest(TOPIC))
            nursery.cancel_scope.cancel()

    async def test_newest_records_of_several_pages(self) -> None:
        async with trio.open_nursery() as nursery:
            store, _ = await self._async_serve(nursery)
            many = NEWEST_PAGE_SIZE + 5
            for number in range(many):
                await store.async_append(TOPIC, f"key{number:03d}", b"v")
            pages = await store.async_newest(TOPIC)
            assert isinstance(pages, KeyedPage)
            self.assertEqual(list(range(many)), [record.offset for record in pages.records])
            nursery.cancel_scope.cancel()

    async def test_a_read_waits_for_news(self) -> None:
        async with trio.open_nursery() as nursery:
            store, _ = await self._async_serve(nursery)
            pages: list[object] = []

            async def async_read() -> None:
                pages.append(await store.async_read(TOPIC, 0, 5.0))

            async with trio.open_nursery() as reading:
                reading.start_soon(async_read)
                await trio.sleep(0.1)
                await store.async_append(TOPIC, "k", b"v")
            self.assertEqual([KeyedPage((KeyedRecord(0, "k", b"v"),), 1)], pages)
            nursery.cancel_scope.cancel()

    async def test_outcomes_say_whether_the_record_may_stand(self) -> None:
        async with trio.open_nursery() as nursery:
            store, model = await self._async_serve(nursery)
            model.faults.lose_answers = 1
            self.assertIsInstance(await store.async_append(TOPIC, "k", b"v"), AppendUnknown)
            model.faults.down = True
            refused = AppendRefused("status 503")
            self.assertEqual(refused, await store.async_append(TOPIC, "k", b"v"))
            self.assertEqual(StoreFailed("status 503"), await store.async_read(TOPIC, 0, 0.0))
            self.assertEqual(StoreFailed("status 503"), await store.async_newest(TOPIC))
            nursery.cancel_scope.cancel()
        gone = StoreClient("http://127.0.0.1:1")
        self.assertIsInstance(await gone.async_append(TOPIC, "k", b"v"), AppendRefused)
        self.assertIsInstance(await gone.async_newest(TOPIC), StoreFailed)
