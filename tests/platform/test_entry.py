"""Connection of an entry to the platform: what it says before it knows a manifest."""

import socket
from collections.abc import Awaitable, Callable
from typing import Any
from unittest.mock import patch

import trio

from pistachiohill.consortium.view import ConsortiumView
from pistachiohill.entry.routes import RouteTable
from pistachiohill.http.app import HttpApp
from pistachiohill.platform import entry as platform_entry
from pistachiohill.platform.entry import EntryPlatformAdapter
from pistachiohill.platform.store import StoreClient
from pistachiohill.settings.models import EntrySettings

from ..base import TestCase
from .test_jobs_api import COMPLETE, StubJobs, async_call
from .test_manifest import ROUTE, apply, manifest, record

REQUEST = b"GET /unknown/ HTTP/1.1\r\nHost: h\r\n\r\n"
MANIFEST_DELAY_S = 0.1


def make_adapter(
    view: ConsortiumView, settings: EntrySettings | None = None
) -> EntryPlatformAdapter:
    unused: Any = None
    jobs: Any = StubJobs(COMPLETE)
    store = StoreClient("http://127.0.0.1:1")
    settings = settings or EntrySettings()
    return EntryPlatformAdapter(settings, store, view, RouteTable(view), jobs, unused)


def free_address() -> str:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{unused.getsockname()[1]}"


class EntryPlatformAdapterTest(TestCase):
    async def test_unknown_route_is_not_denied_before_a_manifest_is_known(self) -> None:
        view = ConsortiumView()
        api = make_adapter(view).jobs_api
        apply(view, record(0, "evacuate/bern-a", b"{}"))
        self.assertEqual(503, (await async_call(api, "GET", "/unknown/")).status)
        apply(view, record(1, "config", manifest(1, ROUTE)))
        self.assertEqual(404, (await async_call(api, "GET", "/unknown/")).status)

    async def test_callers_of_a_new_entry_wait_for_its_manifest(self) -> None:
        view = ConsortiumView()
        async with trio.open_nursery() as nursery:
            send_request = await self._async_serve(nursery, view)

            async def async_load_manifest() -> None:
                await trio.sleep(MANIFEST_DELAY_S)
                apply(view, record(0, "config", manifest(1, ROUTE)))
                view.notify()

            nursery.start_soon(async_load_manifest)
            self.assertIn(b" 404 ", await send_request())
            nursery.cancel_scope.cancel()

    async def test_callers_of_a_new_entry_are_refused_if_no_manifest_comes(self) -> None:
        with patch.object(platform_entry, "MANIFEST_WAIT_S", MANIFEST_DELAY_S):
            async with trio.open_nursery() as nursery:
                send_request = await self._async_serve(nursery, ConsortiumView())
                self.assertIn(b" 503 ", await send_request())
                nursery.cancel_scope.cancel()

    async def _async_serve(
        self, nursery: trio.Nursery, view: ConsortiumView
    ) -> Callable[[], Awaitable[bytes]]:
        """Serve callers without a manifest; return a function that sends them one request."""
        addresses = [free_address() for _ in range(3)]
        host, _, port = addresses[2].rpartition(":")
        settings = EntrySettings(
            jobs_address=addresses[0],
            ready_address=addresses[1],
            http_host=host,
            http_port=int(port),
        )
        app = HttpApp([], settings.max_body_bytes)
        await make_adapter(view, settings).async_serve(nursery, app, trio.Event())

        async def async_send_request() -> bytes:
            host, _, port = addresses[0].rpartition(":")
            stream = await trio.open_tcp_stream(host, int(port))
            async with stream:
                await stream.send_all(REQUEST)
                return bytes((await stream.receive_some(1000)).splitlines()[0])

        return async_send_request
