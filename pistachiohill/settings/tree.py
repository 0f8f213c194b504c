"""Settings tree of consortium, member and job nodes, where each node overrides its ancestors.

The level of a node follows from its path, such as `consortium`, `consortium/brunner` or
`consortium/brunner/clocking`.
"""

import re
from collections.abc import Mapping

from attrs import evolve, frozen

from .checks import check_values, parse_toml
from .const import MAX_NAME_CHARS, ROOT_PATH, Level
from .errors import SettingsError, SettingsProblem
from .models import TREE_FIELDS, JobSettings

_LEVELS = (Level.CONSORTIUM, Level.MEMBER, Level.JOB)
_SETTING_NAMES = frozenset(spec.name for spec in TREE_FIELDS)
_NODE_NAME = re.compile(r"[a-z0-9][a-z0-9_.-]*")


@frozen
class Node:
    """One node of the tree: its own overrides, their TOML source and the node's version.

    `version` is the log offset of the node's latest change, by which conflicting changes of several
    operators are detected. A deleted node has no overrides; it is kept because its version is
    still needed to detect conflicts.
    """

    path: str
    values: Mapping[str, object]
    text: str
    version: int
    deleted: bool = False


@frozen
class EffectiveValue:
    """An effective value and the path of the node that sets it, or `default`."""

    name: str
    value: object
    source: str
    doc: str


def level_of(path: str) -> Level | None:
    """Return the level of a path, or None if the path is malformed."""
    parts = path.split("/")
    if parts[0] != ROOT_PATH or len(parts) > len(_LEVELS):
        return None
    if not all(_NODE_NAME.fullmatch(part) and len(part) <= MAX_NAME_CHARS for part in parts[1:]):
        return None
    return _LEVELS[len(parts) - 1]


def parse_node(path: str, text: str, version: int, *, lenient: bool = False) -> Node:
    """Parse a node from its TOML text; raise SettingsError with all problems.

    With `lenient`, unknown names are dropped, so that an older process accepts settings that a
    newer one publishes during a rolling restart. Publishers parse strictly.
    """
    level = level_of(path)
    if level is None:
        reason = "expected consortium, consortium/MEMBER or consortium/MEMBER/JOB"
        raise SettingsError([SettingsProblem(path, "(path)", reason)])
    table = parse_toml(path, text)
    if isinstance(table, SettingsProblem):
        raise SettingsError([table])
    if lenient:
        table = {name: value for name, value in table.items() if name in _SETTING_NAMES}
    problems = check_values(path, TREE_FIELDS, table)
    problems += _check_levels(path, level, table)
    if problems:
        raise SettingsError(problems)
    return Node(path, table, text, version)


def update_node(
    known: Node | None, path: str, text: str, version: int, *, lenient: bool = False
) -> Node:
    """Return a node with a new version; parse its text only if it differs from the known node's.

    Raises SettingsError like `parse_node`.
    """
    if known is not None and known.text == text:
        return evolve(known, version=version, deleted=False)
    return parse_node(path, text, version, lenient=lenient)


def ancestor_paths(path: str) -> list[str]:
    """Return the paths from the root down to this path, inclusive."""
    parts = path.split("/")
    return ["/".join(parts[: count + 1]) for count in range(len(parts))]


def resolve(nodes: Mapping[str, Node], path: str) -> JobSettings:
    """Return the effective settings at a path."""
    values: dict[str, object] = {}
    for ancestor in ancestor_paths(path):
        if ancestor in nodes:
            values.update(nodes[ancestor].values)
    lists = {name: tuple(item) for name, item in values.items() if isinstance(item, list)}
    return JobSettings(**(values | lists))  # type: ignore[arg-type]


def explain(nodes: Mapping[str, Node], path: str) -> list[EffectiveValue]:
    """Return each effective value at a path with the node that sets it."""
    effective = resolve(nodes, path)
    return [
        EffectiveValue(
            spec.name, getattr(effective, spec.name), _source_path(nodes, path, spec.name), spec.doc
        )
        for spec in TREE_FIELDS
    ]


def _source_path(nodes: Mapping[str, Node], path: str, name: str) -> str:
    for ancestor in reversed(ancestor_paths(path)):
        if ancestor in nodes and name in nodes[ancestor].values:
            return ancestor
    return "default"


def _check_levels(path: str, level: Level, table: Mapping[str, object]) -> list[SettingsProblem]:
    return [
        SettingsProblem(path, spec.name, f"cannot be set at level {level}")
        for spec in TREE_FIELDS
        if spec.name in table and level not in spec.levels
    ]
