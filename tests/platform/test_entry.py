"""Connection of an entry to the platform: what it says before it knows a manifest."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import trio

from pistachiohill.consortium.view import ConsortiumView
from pistachiohill.entry.const import PEERS_ASKED_S
from pistachiohill.entry.metrics import EntryMetrics
from pistachiohill.entry.routes import RouteTable
from pistachiohill.entry.startup_check import StartupCheck
from pistachiohill.platform.entry import EntryPlatformAdapter
from pistachiohill.platform.models import KeyedRecord
from pistachiohill.platform.store import StoreClient
from pistachiohill.settings.models import EntrySettings

from ..base import TestCase
from .test_jobs_api import COMPLETE, StubJobs, async_call
from .test_manifest import ROUTE, apply, manifest, record


class StartingEntry:
    """The connection of an entry that starts, whose view and peers the test sets."""

    peers_have_answered = True

    def __init__(self) -> None:
        unused: Any = None
        jobs: Any = StubJobs(COMPLETE)
        self.view = ConsortiumView()
        self.startup = StartupCheck(self.view, self)
        store, routes = StoreClient("http://127.0.0.1:1"), RouteTable(self.view)
        self.api = EntryPlatformAdapter(
            EntrySettings(),
            store,
            self.view,
            routes,
            jobs,
            unused,
            self.startup,
            unused,
            EntryMetrics().limited,
        ).jobs_api

    def have_answered(self) -> bool:
        return self.peers_have_answered

    def read(self, *records: KeyedRecord) -> None:
        """Apply records of the operators' topic; the entries' own topic is read as well."""
        apply(self.view, *records)
        self.view.kept_tree.end = 0
        self.view.notify()

    async def async_get_status(self, path: str) -> int:
        """Return the status of a GET request, which may take one and a half of the time allowed."""
        with trio.fail_after(1.5 * PEERS_ASKED_S):
            return (await async_call(self.api, "GET", path)).status


@asynccontextmanager
async def starting_entry() -> AsyncIterator[StartingEntry]:
    entry = StartingEntry()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(entry.startup.async_run)
        yield entry
        nursery.cancel_scope.cancel()


class EntryPlatformAdapterTest(TestCase):
    async def test_unknown_route_is_not_denied_before_a_manifest_is_known(self) -> None:
        async with starting_entry() as entry:
            entry.read(record(0, "evacuate/bern-a", b"{}"))
            self.assertEqual(503, await entry.async_get_status("/unknown/"))
            entry.read(record(1, "config", manifest(1, ROUTE)))
            self.assertEqual(404, await entry.async_get_status("/unknown/"))

    async def test_unknown_route_is_not_denied_before_the_peers_have_answered(self) -> None:
        newer = ConsortiumView()
        apply(newer, record(1, "config", manifest(7, ROUTE)))
        async with starting_entry() as entry, trio.open_nursery() as nursery:
            entry.peers_have_answered = False
            entry.read(record(2, "config", manifest(4)))

            async def async_answer() -> None:
                await trio.sleep(0.1)
                entry.view.adopt(newer.snapshot())
                entry.peers_have_answered = True
                entry.view.notify()

            nursery.start_soon(async_answer)
            self.assertEqual(200, await entry.async_get_status(ROUTE["pathPrefix"]))

    async def test_silent_peers_are_not_waited_for_long(self) -> None:
        async with starting_entry() as entry:
            entry.peers_have_answered = False
            entry.read(record(1, "config", manifest(1, ROUTE)))
            self.assertEqual(404, await entry.async_get_status("/unknown/"))

    async def test_routes_of_the_kept_tree_are_not_served_before_the_evacuations_are_known(
        self,
    ) -> None:
        other = ConsortiumView()
        apply(other, record(1, "config", manifest(7, ROUTE)))
        async with starting_entry() as entry:
            entry.view.state.adopt_tree(other.state.node_records(), 7)
            self.assertEqual(503, await entry.async_get_status(ROUTE["pathPrefix"]))
