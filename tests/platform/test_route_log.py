"""Log line of a request that names no known route."""

from unittest import mock

from pistachiohill import logs

from ..base import TestCase
from .test_jobs_api import COMPLETE, StubJobs, async_call, make_api


class RouteNotFoundLogTest(TestCase):
    async def test_line_names_the_settings_that_decided(self) -> None:
        api = make_api(StubJobs(COMPLETE))
        with mock.patch.object(logs, "event") as event:
            caller = await async_call(api, "GET", "/unknown/")
        self.assertEqual(404, caller.status)
        (call,) = event.call_args_list
        self.assertEqual(("route_not_found",), call.args)
        fields = call.kwargs
        self.assertEqual(
            ("nony24.example", "/unknown/", 0), (fields["host"], fields["path"], fields["offset"])
        )
        self.assertGreater(fields["view_age_s"], 0.0)
