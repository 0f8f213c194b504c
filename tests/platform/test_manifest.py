"""Manifest as a settings tree, and the records of the operators' topic."""

import json
from typing import Any
from unittest import mock

from pistachiohill import logs
from pistachiohill.consortium.view import ConsortiumView
from pistachiohill.entry.routes import RouteTable
from pistachiohill.platform.errors import WireError
from pistachiohill.platform.manifest import decode_manifest
from pistachiohill.platform.models import KeyedPage, KeyedRecord
from pistachiohill.platform.operators import apply_page

from ..base import TestCase

NOW_S = 100.0
ROUTE: dict[str, Any] = {
    "name": "r-1",
    "host": "Nony24.example",
    "pathPrefix": "/lohu930/",
    "service": "huvo11a",
    "priority": 2,
    "maxAttempts": 4,
    "slackFactor": 1.6,
    "targetLatencyMs": 60,
    "timeoutMs": 1500,
}


def manifest(version: int, *routes: dict[str, Any]) -> bytes:
    return json.dumps({"version": version, "routes": list(routes), "services": []}).encode()


def record(offset: int, key: str, value: bytes | None) -> KeyedRecord:
    return KeyedRecord(offset, key, value)


def apply(view: ConsortiumView, *records: KeyedRecord, is_snapshot: bool = False) -> None:
    apply_page(view, KeyedPage(records, records[-1].offset + 1), is_snapshot, NOW_S)


class ManifestTest(TestCase):
    def test_route_becomes_a_best_effort_job_of_its_host(self) -> None:
        view = ConsortiumView()
        apply(view, record(3, "config", manifest(7, ROUTE)), is_snapshot=True)
        match = RouteTable(view).find("nony24.example", "/lohu930/5c0e7a21d94b36f8")
        assert match is not None
        settings = match.routed.settings
        self.assertEqual("5c0e7a21d94b36f8", match.path_suffix)
        self.assertEqual(("nony24.example", "r-1"), (match.routed.member, match.routed.job))
        self.assertEqual(
            ("huvo11a", 2, 4, 1.6, 0.06, True),
            (
                settings.service,
                settings.priority,
                settings.max_runs,
                settings.slack_factor,
                settings.target_latency_s,
                settings.best_effort,
            ),
        )

    def test_longest_prefix_matches_and_removed_routes_do_not(self) -> None:
        view = ConsortiumView()
        table = RouteTable(view)
        longer = {**ROUTE, "name": "r-2", "pathPrefix": "/lohu930/x/"}
        apply(view, record(0, "config", manifest(1, ROUTE, longer)), is_snapshot=True)
        match = table.find("nony24.example", "/lohu930/x/5c0e7a21d94b36f8")
        assert match is not None
        self.assertEqual("r-2", match.routed.job)
        self.assertIsNone(table.find("other.example", "/lohu930/"))
        apply(view, record(1, "config", manifest(2, longer)))
        self.assertIsNone(table.find("nony24.example", "/lohu930/5c0e7a21d94b36f8"))

    def test_older_record_is_ignored(self) -> None:
        view = ConsortiumView()
        apply(view, record(5, "config", manifest(2, ROUTE)), is_snapshot=True)
        apply(view, record(4, "config", manifest(1)), is_snapshot=True)
        self.assertIsNotNone(RouteTable(view).find("nony24.example", "/lohu930/"))
        self.assertEqual(5, view.state.offset)

    def test_backlog_is_applied_once_for_each_key(self) -> None:
        """Each version of a large manifest takes time in which no request is served."""
        view = ConsortiumView()
        records = [record(number, "config", manifest(number, ROUTE)) for number in range(1, 5)]
        with mock.patch.object(logs, "event") as event:
            apply(view, *records)
        self.assertEqual([4], [call.kwargs["version"] for call in event.call_args_list])
        self.assertEqual(4, view.state.tree_offset)

    def test_route_is_served_although_a_peer_had_passed_over_its_manifest(self) -> None:
        view, behind = ConsortiumView(), ConsortiumView()
        table = RouteTable(view)
        added = {**ROUTE, "name": "r-2", "pathPrefix": "/pufi791/"}
        apply(behind, record(1, "config", manifest(1, ROUTE)), is_snapshot=True)
        behind.state.advance_offset(9)
        view.adopt(behind.snapshot())
        self.assertIsNone(table.find("nony24.example", "/pufi791/"))
        apply(view, record(5, "config", manifest(2, ROUTE, added)))
        self.assertIsNotNone(table.find("nony24.example", "/pufi791/"))

    def test_malformed_records_and_routes_are_skipped(self) -> None:
        view = ConsortiumView()
        apply(view, record(0, "config", manifest(1, ROUTE, {"name": "broken"})), is_snapshot=True)
        self.assertIsNotNone(RouteTable(view).find("nony24.example", "/lohu930/"))
        for number, body in enumerate((b"{", b"[]", b'{"version":"x"}', b"\xff"), start=1):
            self.assertRaises(WireError, decode_manifest, body)
            apply(view, record(number, "config", body))
        self.assertIsNotNone(RouteTable(view).find("nony24.example", "/lohu930/"))

    def test_invalid_names_are_converted_to_node_names(self) -> None:
        view = ConsortiumView()
        route_with_invalid_names = {**ROUTE, "name": "_Route ä/1", "host": "-x.example"}
        apply(view, record(0, "config", manifest(1, route_with_invalid_names)), is_snapshot=True)
        self.assertIsNotNone(RouteTable(view).find("-x.example", "/lohu930/"))

    def test_routes_whose_names_become_one_node_name_are_all_served(self) -> None:
        view = ConsortiumView()
        long_name = "r" * 64
        routes = [
            {**ROUTE, "name": name, "pathPrefix": f"/{number}/"}
            for number, name in enumerate(("R_1", "r_1", "r/1", long_name + "a", long_name + "b"))
        ]
        apply(view, record(0, "config", manifest(1, *routes)), is_snapshot=True)
        table = RouteTable(view)
        for route in routes:
            match = table.find("nony24.example", route["pathPrefix"])
            assert match is not None, route
            self.assertEqual(route["pathPrefix"], match.routed.settings.path_prefix)

    def test_route_beyond_the_bounds_of_a_setting_does_not_hold_back_the_others(self) -> None:
        view = ConsortiumView()
        apply(view, record(0, "config", manifest(1, ROUTE)), is_snapshot=True)
        for offset, (name, value) in enumerate(
            (
                ("slackFactor", 5000.0),
                ("targetLatencyMs", 10**9),
                ("service", "s" * 80),
                ("pathPrefix", "/" + "p" * 2000),
                ("host", "h" * 300),
                ("pathPrefix", "/\U0001f426/"),
            ),
            start=1,
        ):
            added = {**ROUTE, "name": f"added-{offset}", "pathPrefix": f"/added-{offset}/"}
            beyond = {**ROUTE, "name": "r-beyond", "pathPrefix": "/beyond/", name: value}
            apply(view, record(offset, "config", manifest(offset + 1, ROUTE, beyond, added)))
            self.assertIsNotNone(
                RouteTable(view).find("nony24.example", f"/added-{offset}/"), (name, value)
            )

    def test_route_beyond_the_bounds_of_a_number_is_served(self) -> None:
        view = ConsortiumView()
        beyond = {**ROUTE, "slackFactor": 5000.0, "targetLatencyMs": 10**9}
        apply(view, record(0, "config", manifest(1, beyond)), is_snapshot=True)
        self.assertIsNotNone(RouteTable(view).find("nony24.example", "/lohu930/"))

    def test_older_version_that_is_written_later_does_not_replace_a_newer_one(self) -> None:
        view = ConsortiumView()
        added = {**ROUTE, "name": "r-2", "pathPrefix": "/pufi791/"}
        apply(view, record(5, "config", manifest(9, ROUTE, added)), is_snapshot=True)
        apply(view, record(6, "config", manifest(7, ROUTE)))
        self.assertIsNotNone(RouteTable(view).find("nony24.example", "/pufi791/"))


class EvacuationTest(TestCase):
    def test_domain_is_out_until_its_record_is_deleted(self) -> None:
        view = ConsortiumView()
        apply(view, record(0, "evacuate/bern-a", b"{}"), is_snapshot=True)
        self.assertTrue(view.state.domain_is_out("bern-a"))
        self.assertFalse(view.state.domain_is_out("aarau-c"))
        apply(view, record(1, "evacuate/bern-a", None))
        self.assertFalse(view.state.domain_is_out("bern-a"))

    def test_snapshot_shows_a_deletion_that_was_missed(self) -> None:
        view = ConsortiumView()
        apply(view, record(0, "evacuate/bern-a", b"{}"), is_snapshot=True)
        apply(view, record(4, "evacuate/aarau-c", b"{}"), is_snapshot=True)
        self.assertFalse(view.state.domain_is_out("bern-a"))
        self.assertTrue(view.state.domain_is_out("aarau-c"))

    def test_peer_adopts_domains_and_settings_from_a_snapshot(self) -> None:
        view, other = ConsortiumView(), ConsortiumView()
        apply(
            view,
            record(0, "config", manifest(1, ROUTE)),
            record(1, "evacuate/bern-a", b"{}"),
            is_snapshot=True,
        )
        self.assertTrue(other.adopt(view.snapshot()))
        self.assertTrue(other.state.domain_is_out("bern-a"))
        self.assertIsNotNone(RouteTable(other).find("nony24.example", "/lohu930/"))
