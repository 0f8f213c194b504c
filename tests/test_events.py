"""The list of log events and the code that writes them say the same."""

import ast
import tomllib
from pathlib import Path

from .base import TestCase

ROOT = Path(__file__).resolve().parent.parent
CALLS = {"event", "warning", "debug", "exception"}
BY_THE_LOG_ITSELF = {"library", "log_lines_dropped"}


def logged() -> dict[str, set[str]]:
    """Return the fields of every event that the code logs."""
    found: dict[str, set[str]] = {}
    for path in (ROOT / "pistachiohill").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not (isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)):
                continue
            owner = node.func.value
            if not (isinstance(owner, ast.Name) and owner.id == "logs") or not node.args:
                continue
            if node.func.attr not in CALLS or not isinstance(node.args[0], ast.Constant):
                continue
            fields = found.setdefault(node.args[0].value, set())
            fields.update(item.arg for item in node.keywords if item.arg)
            if node.func.attr == "exception":
                fields.update(("error", "trace"))
    return found


class EventsTest(TestCase):
    def test_every_event_is_listed_with_its_fields(self) -> None:
        listed = tomllib.loads((ROOT / "schema" / "events.toml").read_text())
        names = {name: set(event["fields"]) for name, event in listed.items()}
        for name in BY_THE_LOG_ITSELF:
            del names[name]
        self.assertEqual(names, logged())
