"""schema/events.toml lists exactly the events and fields that the code logs."""

import ast
import tomllib
from pathlib import Path

from .base import TestCase

ROOT = Path(__file__).resolve().parent.parent
LOG_FUNCTIONS = {"event", "warning", "debug", "exception"}
LOGGED_BY_LOGS_MODULE = {"library", "log_lines_dropped"}


def logged_events() -> dict[str, set[str]]:
    """Return the fields of every event that the code logs."""
    events: dict[str, set[str]] = {}
    for path in (ROOT / "pistachiohill").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not (isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)):
                continue
            module = node.func.value
            if not (isinstance(module, ast.Name) and module.id == "logs") or not node.args:
                continue
            if node.func.attr not in LOG_FUNCTIONS or not isinstance(node.args[0], ast.Constant):
                continue
            fields = events.setdefault(node.args[0].value, set())
            fields.update(item.arg for item in node.keywords if item.arg)
            if node.func.attr == "exception":
                fields.update(("error", "trace"))
    return events


class EventsTest(TestCase):
    def test_every_event_is_listed_with_its_fields(self) -> None:
        listed = tomllib.loads((ROOT / "schema" / "events.toml").read_text())
        names = {name: set(event["fields"]) for name, event in listed.items()}
        for name in LOGGED_BY_LOGS_MODULE:
            del names[name]
        self.assertEqual(names, logged_events())
