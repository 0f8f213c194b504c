"""Write docs/SETTINGS.md from the settings tables."""

import sys
from pathlib import Path

from pistachiohill.settings.fields import FieldSpec
from pistachiohill.settings.models import (
    AGENT_FIELDS,
    ENTRY_FIELDS,
    TREE_FIELDS,
    AgentSettings,
    EntrySettings,
    JobSettings,
)

PATH = Path(__file__).resolve().parent.parent / "docs" / "SETTINGS.md"
INTRO = """# Settings

Written by `script/generate` from the schema; do not edit.

## The tree

Nodes are `consortium`, `consortium/MEMBER` and `consortium/MEMBER/JOB`; the deepest node that sets
a value wins. `pistachiohill config explain PATH` says where each value comes from. A node is
published as TOML with `pistachiohill config publish PATH FILE --expected_version=N`; it replaces
the node's earlier text as a whole. Unknown or invalid values are refused with path and reason
before anything is published. A member without a node, or a job without one, cannot submit.
"""


def table(specs: tuple[FieldSpec, ...], defaults: object, levels: bool) -> str:
    """Return a table of fields."""
    head = "| name | type | default | range | " + ("levels | " if levels else "") + "meaning |"
    rule = "| --- | --- | --- | --- | " + ("--- | " if levels else "") + "--- |"
    lines = [head, rule]
    for spec in specs:
        bounds = "" if spec.type_name == "bool" else f"{spec.minimum:g} to {spec.maximum:g}"
        where = f"{', '.join(spec.levels)} | " if levels else ""
        value = getattr(defaults, spec.name)
        lines.append(
            f"| `{spec.name}` | {spec.type_name} | `{value!r}` | {bounds} | {where}{spec.doc} |"
        )
    return "\n".join(lines)


def render() -> str:
    """Return the whole page."""
    parts = [
        INTRO,
        table(TREE_FIELDS, JobSettings(), True),
        "\n## Entry\n\nOne TOML file and command-line options (`--http_port=8080`); all faults are"
        " listed at once, with exit code 2.\n",
        table(ENTRY_FIELDS, EntrySettings(), False),
        "\n## Agent\n",
        table(AGENT_FIELDS, AgentSettings(), False),
    ]
    return "\n".join(parts) + "\n"


if __name__ == "__main__":
    if "--check" in sys.argv[1:]:
        sys.exit(0 if PATH.read_text() == render() else "stale: docs/SETTINGS.md")
    PATH.write_text(render())
