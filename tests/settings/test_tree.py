"""Inheritance of settings, compared with a simple reference lookup, and validation."""

from typing import Any

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pistachiohill.settings.daemon import load_daemon_settings
from pistachiohill.settings.errors import SettingsError
from pistachiohill.settings.models import ENTRY_FIELDS, EntrySettings, JobSettings
from pistachiohill.settings.tree import Node, explain, parse_node, resolve

from ..base import TestCase

PATHS = ["consortium", "consortium/m", "consortium/m/j"]
VALUES = st.fixed_dictionaries(
    {},
    optional={
        "deadline_s": st.floats(1.0, 9.0),
        "max_tasks": st.integers(1, 9),
        "service": st.sampled_from(["a", "b"]),
        "domains_allowed": st.lists(st.sampled_from(["x", "y"]), max_size=2),
    },
)


class TreeTest(TestCase):
    @seed(20261204)
    @settings(max_examples=200, deadline=None, database=None)
    @given(st.lists(VALUES, min_size=3, max_size=3), st.sampled_from(PATHS))
    def test_resolve_and_explain_match_reference(
        self, values: list[dict[str, Any]], path: str
    ) -> None:
        nodes = {p: Node(p, v, "", 1) for p, v in zip(PATHS, values, strict=True) if v}
        effective = resolve(nodes, path)
        explained = {item.name: item for item in explain(nodes, path)}
        for name in ("deadline_s", "max_tasks", "service", "domains_allowed"):
            expected, source = getattr(JobSettings(), name), "default"
            for level in PATHS:
                if path.startswith(level) and level in nodes and name in nodes[level].values:
                    expected, source = nodes[level].values[name], level
            expected = tuple(expected) if isinstance(expected, list) else expected
            self.assertEqual(expected, getattr(effective, name))
            self.assertEqual((expected, source), (explained[name].value, explained[name].source))

    def test_parse_node_reports_all_problems(self) -> None:
        text = 'deadline_s = -1.0\nmax_tasks = "x"\nwrong = 1\nweight = 1.0\npolicy = "none"\n'
        error = self.assertRaises(SettingsError, parse_node, "consortium/m/j", text, 0)
        fields = sorted(problem.field for problem in error.problems)
        self.assertEqual(["deadline_s", "max_tasks", "policy", "policy", "weight", "wrong"], fields)

    def test_lenient_parsing_drops_unknown_names(self) -> None:
        node = parse_node("consortium", "newer = 1\nweight = 2.0\n", 5, lenient=True)
        self.assertEqual({"weight": 2.0}, dict(node.values))

    def test_malformed_paths_are_refused(self) -> None:
        for path in ("", "other", "consortium/", "consortium/A B", "consortium/a/b/c"):
            self.assertRaises(SettingsError, parse_node, path, "", 0)

    def test_daemon_settings_report_all_problems(self) -> None:
        error = self.assertRaises(
            SettingsError,
            load_daemon_settings,
            EntrySettings,
            ENTRY_FIELDS,
            None,
            {"http_port": 0, "grace_s": "x", "unknown": 1, "name": ""},
        )
        fields = sorted({problem.field for problem in error.problems})
        self.assertEqual(["grace_s", "http_port", "name", "unknown"], fields)
