"""Type checks of decoded CBOR values, used by the generated classes."""

from typing import Final

from .errors import DecodeError

MIN_INT64: Final = -(2**63)
MAX_INT64: Final = 2**63 - 1


def read_int(value: object) -> int:
    """Return an integer of at most 64 bits; booleans are rejected."""
    if type(value) is not int:
        raise DecodeError(f"expected an integer, got {type(value).__name__}")
    if not MIN_INT64 <= value <= MAX_INT64:
        raise DecodeError("integer of more than 64 bits")
    return value


def read_float(value: object) -> float:
    """Return a number as a float; NaN is rejected."""
    if type(value) is not float and type(value) is not int:
        raise DecodeError(f"expected a number, got {type(value).__name__}")
    if value != value:
        raise DecodeError("expected a number, got NaN")
    try:
        return float(value)
    except OverflowError as err:
        raise DecodeError("number out of range") from err


def read_str(value: object) -> str:
    """Return a string."""
    if type(value) is not str:
        raise DecodeError(f"expected a string, got {type(value).__name__}")
    return value


def read_bool(value: object) -> bool:
    """Return a boolean."""
    if type(value) is not bool:
        raise DecodeError(f"expected a boolean, got {type(value).__name__}")
    return value


def read_bytes(value: object) -> bytes:
    """Return a byte string."""
    if type(value) is not bytes:
        raise DecodeError(f"expected bytes, got {type(value).__name__}")
    return value


def read_list(value: object) -> list[object]:
    """Return a list."""
    if type(value) is not list:
        raise DecodeError(f"expected a list, got {type(value).__name__}")
    return value


def read_fields(value: object, required: int, name: str) -> list[object]:
    """Return the fields of a structure, of which at least `required` must be present.

    Fields beyond the known ones are kept in the list. A newer sender may append fields, which an
    older receiver ignores.
    """
    items = read_list(value)
    if len(items) < required:
        raise DecodeError(f"{name}: expected {required} fields or more, got {len(items)}")
    return items


def without_absent(fields: list[object]) -> list[object]:
    """Return the fields of a structure without absent ones at its end."""
    while fields and fields[-1] is None:
        fields.pop()
    return fields
