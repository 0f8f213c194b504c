"""Validation of settings values against the field tables."""

import math
import sys
import tomllib
from collections.abc import Iterable, Mapping

from .const import CONF_TOKEN_SHA256, Policy, QuarantineRule
from .errors import SettingsProblem
from .fields import FieldSpec

_CHOICES: dict[str, frozenset[str]] = {
    "policy": frozenset(Policy),
    "quarantine": frozenset(QuarantineRule),
}
_TYPES: dict[str, tuple[type, ...]] = {
    "int": (int,),
    "float": (int, float),
    "str": (str,),
    "bool": (bool,),
}


def check_value(spec: FieldSpec, value: object) -> str | None:
    """Return why a value is invalid, or None if it is valid."""
    if spec.type_name == "list[str]":
        return _check_list(spec, value)
    if type(value) not in _TYPES[spec.type_name]:
        return f"expected {spec.type_name}, got {type(value).__name__}"
    if isinstance(value, str):
        return _check_text(spec, value)
    if isinstance(value, bool):
        return None
    assert isinstance(value, int | float)
    return _check_number(spec, value)


def check_values(
    path: str, specs: Iterable[FieldSpec], values: Mapping[str, object]
) -> list[SettingsProblem]:
    """Return all problems of a set of values, including unknown names."""
    known = {spec.name: spec for spec in specs}
    problems: list[SettingsProblem] = []
    for name, value in values.items():
        spec = known.get(name)
        reason = "unknown setting" if spec is None else check_value(spec, value)
        if reason is not None:
            problems.append(SettingsProblem(path, name, reason))
    return problems


def parse_toml(path: str, text: str) -> Mapping[str, object] | SettingsProblem:
    """Return the parsed TOML table, or the problem if the text is not valid TOML."""
    try:
        return tomllib.loads(text)
    except (ValueError, RecursionError) as err:  # ValueError also for a number of many digits
        return SettingsProblem(path, "(file)", f"invalid TOML: {err}")


def _check_list(spec: FieldSpec, value: object) -> str | None:
    if not isinstance(value, list | tuple) or not all(isinstance(item, str) for item in value):
        return "expected a list of strings"
    if len(value) > spec.maximum:
        return f"more than {spec.maximum:g} items"
    return None


def _check_text(spec: FieldSpec, value: str) -> str | None:
    if len(value) < spec.minimum:
        return "required"
    if len(value) > spec.maximum:
        return f"longer than {spec.maximum:g} characters"
    choices = _CHOICES.get(spec.name)
    if choices is not None and value not in choices:
        return f"expected one of {', '.join(sorted(choices))}"
    if spec.name.endswith(CONF_TOKEN_SHA256) and value and not _is_sha256(value):
        return "expected 64 lower-case hexadecimal digits"
    return None


def _check_number(spec: FieldSpec, value: float) -> str | None:
    if abs(value) > sys.float_info.max or math.isnan(value):
        return "expected a finite number"
    if not spec.minimum <= value <= spec.maximum:
        return f"expected {spec.minimum:g} to {spec.maximum:g}, got {value:g}"
    return None


def _is_sha256(value: str) -> bool:
    return len(value) == 64 and all(char in "0123456789abcdef" for char in value)
