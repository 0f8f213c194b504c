"""Store client: encoding of records, and all outcomes of requests."""

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
    KeyedPage,
    KeyedRecord,
    OffsetExpired,
    ReadFailed,
)
from pistachiohill.platform.store import PAGE_HEADER, StoreClient, decode_page, encode_record
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
    def test_records_round_trip(self, records: list[tuple[str, bytes | None]], first: int) -> None:
        body = b"".join(encode_record(key, value) for key, value in records)
        page = decode_page(PAGE_HEADER.pack(first + len(records), 0) + body, first)
        expected = [
            KeyedRecord(first + index, key, value) for index, (key, value) in enumerate(records)
        ]
        self.assertEqual(KeyedPage(tuple(expected), first + len(records)), page)

    @seed(20261204)
    @settings(max_examples=500, deadline=None, database=None)
    @given(st.binary(max_size=80))
    def test_random_bytes_raise_only_wire_error(self, data: bytes) -> None:
        try:
            decode_page(data, 5)
        except WireError:
            return

    def test_records_without_a_key_are_skipped_but_counted(self) -> None:
        body = b"\0\0\0\0" + b"\0\0\0\x02\x09x" + encode_record("k", b"v")
        page = decode_page(PAGE_HEADER.pack(3, 0) + body, 0)
        self.assertEqual(KeyedPage((KeyedRecord(2, "k", b"v"),), 3), page)

    def test_page_of_a_part_of_the_backlog_ends_after_its_last_record(self) -> None:
        page = decode_page(PAGE_HEADER.pack(9, 0) + encode_record("k", b"v"), 4)
        self.assertEqual(KeyedPage((KeyedRecord(4, "k", b"v"),), 5, more=True), page)
        self.assertRaises(WireError, decode_page, PAGE_HEADER.pack(9, 0), 4)


class StoreClientTest(TestCase):
    async def _async_serve(self, nursery: trio.Nursery) -> tuple[StoreClient, PlatformStore]:
        """Serve a stand-in of the store and return a client and the store's model."""
        address = f"127.0.0.1:{free_ports(1)[0]}"
        model = PlatformStore()
        app = StoreServer(model, nursery).app()
        await nursery.start(async_serve_http, app, [address], trio.Event(), 0.1)
        return StoreClient(f"http://{address}"), model

    async def test_append_read_and_read_newest(self) -> None:
        async with trio.open_nursery() as nursery:
            store, model = await self._async_serve(nursery)
            for number in range(3):
                outcome = await store.async_append(TOPIC, "k", b"v%d" % number)
                self.assertEqual(Appended(number), outcome)
            self.assertEqual(AppendConflict(3), await store.async_append(TOPIC, "k", b"x", 1))
            self.assertEqual(Appended(3), await store.async_append(TOPIC, "j", b"w", 3))
            self.assertEqual(Appended(4), await store.async_append(TOPIC, "gone", b"w"))
            self.assertEqual(Appended(5), await store.async_append(TOPIC, "gone", None))
            newest = await store.async_read_newest(TOPIC)
            kept = (KeyedRecord(2, "k", b"v2"), KeyedRecord(3, "j", b"w"))
            self.assertEqual(KeyedPage(kept, 6), newest)
            page = await store.async_read(TOPIC, 4, 0.0)
            dropped = (KeyedRecord(4, "gone", b"w"), KeyedRecord(5, "gone", None))
            self.assertEqual(KeyedPage(dropped, 6), page)
            model.topic(TOPIC).expire()
            self.assertEqual(OffsetExpired(6), await store.async_read(TOPIC, 4, 0.0))
            self.assertEqual(newest, await store.async_read_newest(TOPIC))
            nursery.cancel_scope.cancel()

    async def test_newest_records_on_several_pages(self) -> None:
        async with trio.open_nursery() as nursery:
            store, _ = await self._async_serve(nursery)
            count = NEWEST_PAGE_SIZE + 5
            for number in range(count):
                await store.async_append(TOPIC, f"key{number:03d}", b"v")
            pages = await store.async_read_newest(TOPIC)
            assert isinstance(pages, KeyedPage)
            self.assertEqual(list(range(count)), [record.offset for record in pages.records])
            nursery.cancel_scope.cancel()

    async def test_newest_records_do_not_include_changes_beyond_their_end(self) -> None:
        """Otherwise the changes between would count as applied."""
        async with trio.open_nursery() as nursery:
            store, model = await self._async_serve(nursery)
            for number in range(NEWEST_PAGE_SIZE + 5):
                await store.async_append(TOPIC, f"key{number:03d}", b"v")
            model.faults.delay_s = 0.1

            async def async_change_both_pages() -> None:
                await trio.sleep(0.15)
                for key in ("key000", f"key{NEWEST_PAGE_SIZE:03d}"):
                    model.topic(TOPIC).append([encode_record(key, b"w")[4:]])

            nursery.start_soon(async_change_both_pages)
            page = await store.async_read_newest(TOPIC)
            assert isinstance(page, KeyedPage)
            self.assertLess(max(record.offset for record in page.records), page.end)
            nursery.cancel_scope.cancel()

    async def test_read_waits_for_a_record(self) -> None:
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

    async def test_outcomes_tell_whether_a_record_may_have_been_appended(self) -> None:
        async with trio.open_nursery() as nursery:
            store, model = await self._async_serve(nursery)
            model.faults.lose_answers = 1
            self.assertIsInstance(await store.async_append(TOPIC, "k", b"v"), AppendUnknown)
            model.faults.down = True
            refused = AppendRefused("status 503")
            self.assertEqual(refused, await store.async_append(TOPIC, "k", b"v"))
            self.assertEqual(ReadFailed("status 503"), await store.async_read(TOPIC, 0, 0.0))
            self.assertEqual(ReadFailed("status 503"), await store.async_read_newest(TOPIC))
            nursery.cancel_scope.cancel()
        unreachable = StoreClient("http://127.0.0.1:1")
        self.assertIsInstance(await unreachable.async_append(TOPIC, "k", b"v"), AppendRefused)
        self.assertIsInstance(await unreachable.async_read_newest(TOPIC), ReadFailed)
