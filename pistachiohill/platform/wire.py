"""Checked reading of JSON values from the platform."""

import json
from collections.abc import Mapping
from typing import Any

from .errors import WireError

Fields = Mapping[str, Any]


def read_object(body: bytes) -> Fields:
    """Return the JSON object of a body; raise WireError when there is none."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as err:
        raise WireError(f"not JSON: {err}") from err
    if not isinstance(value, dict):
        raise WireError("expected an object")
    return value


def write_object(value: Fields) -> bytes:
    """Return the body that carries an object."""
    return json.dumps(value, separators=(",", ":")).encode()


def read_int(fields: Fields, name: str, default: int | None = None, minimum: int = 0) -> int:
    """Return an integer field; a missing one is `default`, or an error where that is None."""
    value = fields.get(name, default)
    if type(value) is not int or value < minimum:
        raise WireError(f"{name}: expected an integer of at least {minimum}")
    return value


def read_number(fields: Fields, name: str, default: float | None = None) -> float:
    """Return a number that is not negative."""
    value = fields.get(name, default)
    if type(value) not in (int, float) or not 0 <= value < float("inf"):
        raise WireError(f"{name}: expected a number of at least 0")
    return float(value)


def read_str(fields: Fields, name: str, default: str | None = None) -> str:
    """Return a string field."""
    value = fields.get(name, default)
    if not isinstance(value, str):
        raise WireError(f"{name}: expected a string")
    return value


def read_bool(fields: Fields, name: str, default: bool | None = None) -> bool:
    """Return a boolean field."""
    value = fields.get(name, default)
    if not isinstance(value, bool):
        raise WireError(f"{name}: expected true or false")
    return value


def read_list(fields: Fields, name: str, default: list[Any] | None = None) -> list[Any]:
    """Return a list field."""
    value = fields.get(name, default)
    if not isinstance(value, list):
        raise WireError(f"{name}: expected a list")
    return value


def as_object(value: object, name: str) -> Fields:
    """Return a value as an object."""
    if not isinstance(value, dict):
        raise WireError(f"{name}: expected an object")
    return value
