"""The settings tree: consortium, member and job nodes, the deepest value wins.

A node's path names its level: `consortium`, `consortium/brunner`, `consortium/brunner/clocking`.
"""

import re
from collections.abc import Mapping

from attrs import frozen

from .checks import check_values, parse_toml
from .const import MAX_NAME_CHARS, ROOT_PATH, Level
from .errors import SettingsError, SettingsProblem
from .models import TREE_FIELDS, JobSettings

_LEVELS = (Level.CONSORTIUM, Level.MEMBER, Level.JOB)
_NAMES = frozenset(spec.name for spec in TREE_FIELDS)
_NAME = re.compile(r"[a-z0-9][a-z0-9_.-]*")


@frozen
class Node:
    """One node of the tree: its own overrides, the text they came from and its version.

    A deleted node has no overrides and is kept for its version.

    `version` is the log offset of the node's latest change, by which racing operators are told
    apart.
    """

    path: str
    values: Mapping[str, object]
    text: str
    version: int
    deleted: bool = False


@frozen
class ExplainedValue:
    """An effective value and the path of the node it comes from, `default` for none."""

    name: str
    value: object
    source: str
    doc: str


def level_of(path: str) -> Level | None:
    """Return the level of a path, or None when the path is malformed."""
    parts = path.split("/")
    if parts[0] != ROOT_PATH or len(parts) > len(_LEVELS):
        return None
    if not all(_NAME.fullmatch(part) and len(part) <= MAX_NAME_CHARS for part in parts[1:]):
        return None
    return _LEVELS[len(parts) - 1]


def parse_node(path: str, text: str, version: int, *, lenient: bool = False) -> Node:
    """Return the node that a TOML text describes; raise SettingsError with all its problems.

    A lenient reading drops unknown names, so that an older process can follow a newer one during a
    rolling restart; publishers read strictly.
    """
    level = level_of(path)
    if level is None:
        reason = "expected consortium, consortium/MEMBER or consortium/MEMBER/JOB"
        raise SettingsError([SettingsProblem(path, "(path)", reason)])
    table = parse_toml(path, text)
    if isinstance(table, SettingsProblem):
        raise SettingsError([table])
    if lenient:
        table = {name: value for name, value in table.items() if name in _NAMES}
    problems = check_values(path, TREE_FIELDS, table)
    problems += _misplaced(path, level, table)
    if problems:
        raise SettingsError(problems)
    return Node(path, table, text, version)


def ancestry(path: str) -> list[str]:
    """Return the paths from the root down to this one."""
    parts = path.split("/")
    return ["/".join(parts[: count + 1]) for count in range(len(parts))]


def resolve(nodes: Mapping[str, Node], path: str) -> JobSettings:
    """Return the effective settings at a path."""
    values: dict[str, object] = {}
    for step in ancestry(path):
        if step in nodes:
            values.update(nodes[step].values)
    lists = {name: tuple(item) for name, item in values.items() if isinstance(item, list)}
    return JobSettings(**(values | lists))  # type: ignore[arg-type]


def explain(nodes: Mapping[str, Node], path: str) -> list[ExplainedValue]:
    """Return each effective value at a path with the node it comes from."""
    effective = resolve(nodes, path)
    return [
        ExplainedValue(
            spec.name, getattr(effective, spec.name), _source(nodes, path, spec.name), spec.doc
        )
        for spec in TREE_FIELDS
    ]


def _source(nodes: Mapping[str, Node], path: str, name: str) -> str:
    for step in reversed(ancestry(path)):
        if step in nodes and name in nodes[step].values:
            return step
    return "default"


def _misplaced(path: str, level: Level, table: Mapping[str, object]) -> list[SettingsProblem]:
    return [
        SettingsProblem(path, spec.name, f"cannot be set at level {level}")
        for spec in TREE_FIELDS
        if spec.name in table and level not in spec.levels
    ]
