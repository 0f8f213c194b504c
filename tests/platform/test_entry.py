"""Connection of an entry to the platform: what it says before it knows a manifest."""

from typing import Any

from pistachiohill.consortium.view import ConsortiumView
from pistachiohill.entry.metrics import EntryMetrics
from pistachiohill.entry.routes import RouteTable
from pistachiohill.platform.entry import EntryPlatformAdapter
from pistachiohill.platform.store import StoreClient
from pistachiohill.settings.models import EntrySettings

from ..base import TestCase
from .test_jobs_api import COMPLETE, StubJobs, async_call
from .test_manifest import ROUTE, apply, manifest, record


def make_adapter(view: ConsortiumView) -> EntryPlatformAdapter:
    unused: Any = None
    jobs: Any = StubJobs(COMPLETE)
    store = StoreClient("http://127.0.0.1:1")
    limited = EntryMetrics().limited
    return EntryPlatformAdapter(
        EntrySettings(), store, view, RouteTable(view), jobs, unused, limited
    )


class EntryPlatformAdapterTest(TestCase):
    async def test_unknown_route_is_not_denied_before_a_manifest_is_known(self) -> None:
        view = ConsortiumView()
        api = make_adapter(view).jobs_api
        apply(view, record(0, "evacuate/bern-a", b"{}"))
        self.assertEqual(503, (await async_call(api, "GET", "/unknown/")).status)
        apply(view, record(1, "config", manifest(1, ROUTE)))
        self.assertEqual(404, (await async_call(api, "GET", "/unknown/")).status)
