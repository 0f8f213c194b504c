"""Validation of JSON values from the platform.

The `read_` functions return `default` for a missing field. They raise WireError if the field is
invalid, or if it is missing and there is no default.
"""

import json
import sys
from collections.abc import Mapping
from typing import Any, Final

from .errors import WireError

Fields = Mapping[str, Any]

MAX_INTEGER: Final = 2**53 - 1  # larger ones are not exact in every JSON implementation


# What precedes a JSON value, except within a string, where it may also stand.
_STRUCTURE: Final = (b"{", b"[", b",", b":")


def decode_object(body: bytes, max_items: int = sys.maxsize) -> Fields:
    """Decode a body that holds a JSON object; raise WireError if it does not.

    A body of more than `max_items` values is refused before any of them is created.
    """
    if len(body) > max_items and sum(body.count(mark) for mark in _STRUCTURE) > max_items:
        raise WireError(f"more than {max_items} values")
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as err:
        raise WireError(f"not JSON: {err}") from err
    if not isinstance(value, dict):
        raise WireError("expected an object")
    return value


def encode_object(value: Fields) -> bytes:
    """Encode an object as a compact JSON body."""
    return json.dumps(value, separators=(",", ":")).encode()


def read_int(
    fields: Fields,
    name: str,
    default: int | None = None,
    minimum: int = 0,
    maximum: int = MAX_INTEGER,
) -> int:
    """Return an integer field from `minimum` to `maximum`."""
    return require_int(fields.get(name, default), name, minimum, maximum)


def read_number(fields: Fields, name: str, default: float | None = None) -> float:
    """Return a field that is a finite, non-negative number."""
    value = fields.get(name, default)
    if type(value) not in (int, float) or not 0 <= value <= sys.float_info.max:
        raise WireError(f"{name}: expected a finite number of at least 0")
    return float(value)


def read_str(fields: Fields, name: str, default: str | None = None) -> str:
    """Return a string field; a lone surrogate is refused, since no message can carry it."""
    return require_unicode(read_text(fields, name, default), name)


def read_text(fields: Fields, name: str, default: str | None = None) -> str:
    """Return a string field, which may hold lone surrogates."""
    value = fields.get(name, default)
    if not isinstance(value, str):
        raise WireError(f"{name}: expected a string")
    return value


def read_name(fields: Fields, name: str, max_chars: int) -> str:
    """Return a string field of 1 to `max_chars` printable characters."""
    value = read_str(fields, name)
    if not 1 <= len(value) <= max_chars or not value.isprintable():
        raise WireError(f"{name}: expected 1 to {max_chars} printable characters")
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


def require_int(value: object, name: str, minimum: int = 0, maximum: int = MAX_INTEGER) -> int:
    """Return a value if it is an integer in a range; raise WireError with `name` otherwise."""
    if type(value) is not int or not minimum <= value <= maximum:
        raise WireError(f"{name}: expected an integer from {minimum} to {maximum}")
    return value


def require_unicode(value: str, name: str) -> str:
    """Return a string without lone surrogates; raise WireError with `name` for others."""
    if not value.isascii() and any("\ud800" <= char <= "\udfff" for char in value):
        raise WireError(f"{name}: not valid Unicode")
    return value


def require_object(value: object, name: str) -> Fields:
    """Return a value if it is an object; raise WireError with the field `name` otherwise."""
    if not isinstance(value, dict):
        raise WireError(f"{name}: expected an object")
    return value
