"""Errors of settings validation."""

from collections.abc import Sequence

from attrs import frozen

from ..errors import PistachiohillError


@frozen
class SettingsProblem:
    """Invalid field of a settings file or node, and why it is invalid."""

    path: str
    field: str
    reason: str

    def __str__(self) -> str:
        """Return the problem as one human-readable line."""
        return f"{self.path}: {self.field}: {self.reason}"


class SettingsError(PistachiohillError):
    """Raised when a settings file or node is invalid; holds all its problems."""

    def __init__(self, problems: Sequence[SettingsProblem]) -> None:
        """Initialize the error with the problems, which also form its message."""
        super().__init__("; ".join(map(str, problems)))
        self.problems = tuple(problems)
