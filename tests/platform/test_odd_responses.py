"""Responses of runners and of the store, manifests and jobs that another writer made odd."""

import json
from typing import Any

import trio
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pistachiohill.agent.models import (
    Lease,
    NoAnswer,
    NotStarted,
    RunList,
    RunName,
    RunnerIdentity,
    StartRefusal,
    TargetCall,
)
from pistachiohill.consortium.view import ConsortiumView
from pistachiohill.entry.routes import RouteTable
from pistachiohill.http.app import HttpApp, route
from pistachiohill.http.models import Request, Response
from pistachiohill.http.server import async_serve_http
from pistachiohill.platform.errors import WireError
from pistachiohill.platform.http_client import HttpClient, NoResponse
from pistachiohill.platform.jobs_api import _parse_deadline_s, decode_job
from pistachiohill.platform.models import KeyedPage, KeyedRecord, ReadFailed
from pistachiohill.platform.operators import apply_page
from pistachiohill.platform.runner_client import RunnerClient, _parse_run_list
from pistachiohill.platform.store import StoreClient
from pistachiohill.protocol.codec import decode_record, encode_record
from standins.processes import free_ports

from ..base import TestCase

HUGE = 10**400
DEPTHS = (900, 980, 990, 1000, 100_000, 200_000)
CALL = TargetCall("5c0e7a21d94b36f8/17", 2, "m", "j", b"spec", 1.0, False)
LEASE = Lease(7, 486.0)
RUNNER = RunnerIdentity("i-1", "127.0.0.1:1", 5)
ROUTE: dict[str, Any] = {
    "name": "r-1",
    "host": "nony24.example",
    "pathPrefix": "/lohu930/",
    "service": "huvo11a",
}
ODD_NUMBERS = (HUGE, -HUGE, 10**30, -1, True, "1", None, [], {}, 1e300, float("nan"))
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.sampled_from(ODD_NUMBERS[:3])
    | st.integers(-5, 500)
    | st.floats()
    | st.sampled_from(["done", "failed", "a.0.0.1", "\ud800", "", "\0"])
    | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=5)
    | st.dictionaries(st.text(max_size=3), inner, max_size=3),
    max_leaves=8,
)

ENDED_ROWS = st.tuples(st.integers(0, 9), st.just("a.0.0.1"), st.integers(0, 9), JSON).map(list)


class RunListTest(TestCase):
    async def _async_hold(self, body: bytes) -> object:
        async def async_handle(request: Request) -> Response:
            return Response(200, body)

        runner = RunnerIdentity("i-1", f"127.0.0.1:{free_ports(1)[0]}", 5)
        async with trio.open_nursery() as nursery:
            app = HttpApp(
                [route("POST", path, async_handle) for path in ("/api/hold", "/api/run-start")],
                65536,
            )
            await nursery.start(async_serve_http, app, [runner.address], trio.Event(), 0.1)
            client = RunnerClient()
            outcome = await client.async_hold(runner, LEASE, 0, 0.0, 1.0)
            started = await client.async_start(runner, CALL, LEASE, 1.0)
            self.assertIsInstance(started, NoAnswer)
            nursery.cancel_scope.cancel()
        return outcome

    async def test_odd_response_is_no_answer(self) -> None:
        for body in (
            json.dumps({"clockMs": HUGE}).encode(),
            b'{"clockMs":' + b"9" * 5000 + b"}",
            b"[" * 200_000,
        ):
            self.assertIsInstance(await self._async_hold(body), NoAnswer, body[:60])

    def test_odd_run_list_raises_only_wire_error(self) -> None:
        row = ["a.0.0.1", 1, "", 41]
        ended = [1, "a.0.0.1", 1, "done", ""]
        odd: list[dict[str, Any]] = [{"clockMs": value} for value in ODD_NUMBERS]
        odd += [{"born": value} for value in ODD_NUMBERS]
        odd += [{"running": [[row[0], value]]} for value in ODD_NUMBERS]
        odd += [{"running": [[value, 1]]} for value in ("\ud800.0.0.1", 1, None, [], "x" * 9999)]
        odd += [{"finished": [[value, *ended[1:]]]} for value in ODD_NUMBERS]
        odd += [{"finished": [[*ended[:2], value, "done", ""]]} for value in ODD_NUMBERS]
        odd += [{"finished": [[*ended[:3], value, ""]]} for value in ([], {}, None, 1, "odd")]
        for changes in odd:
            body = json.dumps({"clockMs": 1, "running": [], "finished": [], **changes}).encode()
            self.assertRaises(WireError, _parse_run_list, body, RUNNER)
        good = {"clockMs": 1, "running": [row], "finished": [ended]}
        listed = _parse_run_list(json.dumps(good).encode(), RUNNER)
        self.assertEqual(frozenset({RunName("a/1", 1)}), listed.running)

    @seed(20261205)
    @settings(max_examples=500, deadline=None, database=None)
    @given(
        st.integers(0, 9) | JSON,
        st.lists(JSON, max_size=2),
        st.lists(ENDED_ROWS | st.lists(JSON, max_size=6), max_size=2),
    )
    def test_fuzzed_run_list_raises_only_wire_error(
        self, clock_ms: object, running: list[object], finished: list[object]
    ) -> None:
        fields = {"clockMs": clock_ms, "running": running, "finished": finished}
        try:
            listed = _parse_run_list(json.dumps(fields).encode(), RUNNER)
        except WireError:
            return
        self.assertIsInstance(listed, RunList)


class OddAddressTest(TestCase):
    async def test_request_to_an_odd_address_is_unreachable(self) -> None:
        client = RunnerClient()
        for address in ("x", "", "1.2.3.4:abc", "a" * 64 + ":80", "a..b:80", "\ud800:80", "b\0:1"):
            runner = RunnerIdentity("i-1", address, 5)
            started = await client.async_start(runner, CALL, LEASE, 0.3)
            self.assertEqual(NotStarted(StartRefusal.UNREACHABLE), started, repr(address))
            held = await client.async_hold(runner, LEASE, 0, 0.0, 0.3)
            self.assertIsInstance(held, NoAnswer, repr(address))

    async def test_request_to_an_odd_runner_id_is_unreachable(self) -> None:
        client = RunnerClient()
        for runner_id in ("\ud800", "\u2603", "i\r\nX: y"):
            held = await client.async_hold(
                RunnerIdentity(runner_id, "127.0.0.1:1", 5), LEASE, 0, 0.0, 0.3
            )
            self.assertIsInstance(held, NoAnswer, repr(runner_id))

    async def test_odd_host_counts_as_not_sent(self) -> None:
        for host in ("a" * 64, "a..b", "b\0"):
            outcome = await HttpClient(f"http://{host}:80", 1).async_request("GET", "/")
            assert isinstance(outcome, NoResponse)
            self.assertFalse(outcome.sent)


class OddOperatorRecordTest(TestCase):
    def _assert_followed_after(self, *records: tuple[str, bytes]) -> None:
        """Apply records and then a manifest, which must be in force and fit for peers."""
        view = ConsortiumView()
        items = [KeyedRecord(number, key, value) for number, (key, value) in enumerate(records)]
        for item in items:
            apply_page(view, KeyedPage((item,), item.offset + 1), False, 1.0)
        manifest = json.dumps({"version": 2, "routes": [ROUTE]}).encode()
        last = KeyedRecord(len(items), "config", manifest)
        apply_page(view, KeyedPage((last,), last.offset + 1), False, 1.0)
        self.assertIsNotNone(RouteTable(view).find("nony24.example", "/lohu930/"), records)
        self.assertEqual(view.snapshot(), decode_record(encode_record(view.snapshot())))

    def test_manifest_is_followed_after_an_odd_number_in_one(self) -> None:
        for name in ("priority", "maxAttempts", "slackFactor", "targetLatencyMs"):
            for value in ODD_NUMBERS:
                odd = {"version": 1, "routes": [{**ROUTE, name: value}]}
                self._assert_followed_after(("config", json.dumps(odd).encode()))

    def test_manifest_is_followed_after_an_odd_version(self) -> None:
        for value in (HUGE, 10**30, 2**63):
            odd = json.dumps({"version": value, "routes": []}).encode()
            self._assert_followed_after(("config", odd))

    def test_manifest_is_followed_after_a_deeply_nested_one(self) -> None:
        for depth in DEPTHS:
            nested = b"[" * depth + b"]" * depth
            for body in (nested, b'{"version":1,"routes":[%s]}' % nested):
                self._assert_followed_after(("config", body))

    def test_manifest_is_followed_after_an_odd_name(self) -> None:
        for text in ("\ud800", "\0", "\n", "", "x" * 10_000):
            for name in ("name", "host", "pathPrefix", "service"):
                odd = {"version": 1, "routes": [{**ROUTE, name: text}]}
                self._assert_followed_after(("config", json.dumps(odd).encode()))
            self._assert_followed_after((f"evacuate/{text}", b"{}"))


class OddStoreResponseTest(TestCase):
    async def _async_read_newest(self, items: list[object], has_more: bool = False) -> object:
        async def async_handle(request: Request) -> Response:
            fields = {"items": items, "end": 9, "hasMore": has_more}
            return Response(200, json.dumps(fields).encode())

        address = f"127.0.0.1:{free_ports(1)[0]}"
        async with trio.open_nursery() as nursery:
            app = HttpApp([route("GET", "/api/log-newest", async_handle)], 65536)
            await nursery.start(async_serve_http, app, [address], trio.Event(), 0.1)
            with trio.fail_after(2.0):
                page = await StoreClient(f"http://{address}").async_read_newest("keyed.op")
            nursery.cancel_scope.cancel()
        return page

    async def test_records_are_read_although_one_is_odd(self) -> None:
        good = {"key": "config", "value": "eA==", "offset": 3}
        for odd in (
            {"key": "\ud800", "value": "eA==", "offset": 2},
            {"key": "k", "value": "\u2603", "offset": 2},
            {"key": "k", "value": "eA==", "offset": HUGE},
            {"key": "k", "value": "eA=="},
            {"key": 5, "value": "eA==", "offset": 2},
            "k",
        ):
            page = await self._async_read_newest([odd, good])
            self.assertEqual(KeyedPage((KeyedRecord(3, "config", b"x"),), 9), page, odd)

    async def test_pages_that_do_not_advance_end_the_read(self) -> None:
        good = {"key": "config", "value": "eA==", "offset": 3}
        for last in (good, {"key": "\ud800", "value": "eA==", "offset": 2}, {"key": 5}, None):
            page = await self._async_read_newest([good, last], has_more=True)
            self.assertIsInstance(page, ReadFailed, last)


class OddJobTest(TestCase):
    def test_odd_number_in_a_job_raises_wire_error(self) -> None:
        for name in ("cpu", "memMb", "estDurationMs", "count"):
            for value in (HUGE, 10**30, -1, True, "1", 1.5, [], {}):
                step = {"count": 1, name: value}
                body = json.dumps({"spec": "x", "bestEffort": True, "steps": [step]}).encode()
                self.assertRaises(WireError, decode_job, body)

    def test_deeply_nested_job_raises_wire_error(self) -> None:
        for depth in DEPTHS:
            self.assertRaises(WireError, decode_job, b'{"spec":' * depth + b"1" + b"}" * depth)

    def test_deadline_of_thousands_of_digits_is_limited(self) -> None:
        self.assertEqual(3600.0, _parse_deadline_s("9" * 5000))
        self.assertEqual(1.5, _parse_deadline_s("0" * 5000 + "1500"))
