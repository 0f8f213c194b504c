"""Write docs/EVENTS.md from schema/events.toml."""

import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SCHEMA = ROOT / "schema" / "events.toml"
PATH = ROOT / "docs" / "EVENTS.md"
INTRO = """# Events

Written by `script/generate` from schema/events.toml; do not edit. A line is
`ts=... level=... process=... event=NAME` and the event's fields, as key=value; a value with spaces
is a JSON string. Times are seconds. `submission` is an entry's own name of a job, `key` its
caller's; `pistachiohill explain` brings both together.

| event | fields | meaning |
| --- | --- | --- |
"""


def render() -> str:
    """Return the whole page."""
    events = tomllib.loads(SCHEMA.read_text())
    rows = [
        f"| `{name}` | {', '.join(event['fields'])} | {event['meaning']} |"
        for name, event in events.items()
    ]
    return INTRO + "\n".join(rows) + "\n"


if __name__ == "__main__":
    if "--check" in sys.argv[1:]:
        sys.exit(0 if PATH.exists() and PATH.read_text() == render() else "stale: docs/EVENTS.md")
    PATH.write_text(render())
