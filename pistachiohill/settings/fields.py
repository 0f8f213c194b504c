"""Description of one settings field."""

from attrs import frozen


@frozen
class FieldSpec:
    """Name, type, documentation, bounds and levels of a settings field.

    For strings and lists the bounds hold for the length, for numbers for the value in the unit
    that the name's suffix gives. `levels` is empty for daemon settings.
    """

    name: str
    type_name: str
    doc: str
    minimum: float
    maximum: float
    levels: tuple[str, ...]
