"""Callers of an entry that has just started: they wait for its first manifest, but not for long."""

import socket
from typing import Any
from unittest.mock import patch

import trio

from pistachiohill.entry.metrics import EntryMetrics
from pistachiohill.entry.routes import RouteTable
from pistachiohill.http.app import HttpApp
from pistachiohill.platform import entry as platform_entry
from pistachiohill.platform.entry import EntryPlatformAdapter
from pistachiohill.platform.store import StoreClient
from pistachiohill.settings.models import EntrySettings

from ..base import TestCase
from .test_entry import StartingEntry
from .test_jobs_api import COMPLETE, StubJobs
from .test_manifest import ROUTE, manifest, record

REQUEST = b"GET /unknown/ HTTP/1.1\r\nHost: h\r\n\r\n"
MANIFEST_DELAY_S = 0.1


def free_address() -> str:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{unused.getsockname()[1]}"


class EntryCallersTest(TestCase):
    async def test_callers_of_a_new_entry_wait_for_its_manifest(self) -> None:
        entry = StartingEntry()
        async with trio.open_nursery() as nursery:
            address = await self._async_serve(nursery, entry)
            nursery.start_soon(entry.startup.async_run)

            async def async_load_manifest() -> None:
                await trio.sleep(MANIFEST_DELAY_S)
                entry.read(record(0, "config", manifest(1, ROUTE)))

            nursery.start_soon(async_load_manifest)
            self.assertIn(b" 404 ", await self._async_send_request(address))
            nursery.cancel_scope.cancel()

    async def test_callers_of_a_new_entry_are_refused_if_no_manifest_comes(self) -> None:
        with patch.object(platform_entry, "MANIFEST_WAIT_S", MANIFEST_DELAY_S):
            async with trio.open_nursery() as nursery:
                address = await self._async_serve(nursery, StartingEntry())
                self.assertIn(b" 503 ", await self._async_send_request(address))
                nursery.cancel_scope.cancel()

    async def _async_serve(self, nursery: trio.Nursery, entry: StartingEntry) -> str:
        """Serve callers of an entry without a manifest; return the address."""
        addresses = [free_address() for _ in range(3)]
        host, _, port = addresses[2].rpartition(":")
        settings = EntrySettings(
            jobs_address=addresses[0],
            ready_address=addresses[1],
            http_host=host,
            http_port=int(port),
        )
        unused: Any = None
        jobs: Any = StubJobs(COMPLETE)
        adapter = EntryPlatformAdapter(
            settings,
            StoreClient("http://127.0.0.1:1"),
            entry.view,
            RouteTable(entry.view),
            jobs,
            unused,
            entry.startup,
            unused,
            EntryMetrics().limited,
        )
        app = HttpApp([], settings.max_body_bytes)
        await adapter.async_serve(nursery, app, trio.Event())
        return addresses[0]

    async def _async_send_request(self, address: str) -> bytes:
        """Return the status line of the response to a request."""
        host, _, port = address.rpartition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        async with stream:
            await stream.send_all(REQUEST)
            return bytes((await stream.receive_some(1000)).splitlines()[0])
