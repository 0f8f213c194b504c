"""Metadata of settings fields."""

from attrs import frozen


@frozen
class FieldSpec:
    """Name, type, documentation, bounds and levels of a settings field.

    The bounds apply to the length of a string or list, and to the value of a number, in the unit
    given by the suffix of the name. `levels` is empty for daemon settings.
    """

    name: str
    type_name: str
    doc: str
    minimum: float
    maximum: float
    levels: tuple[str, ...]
