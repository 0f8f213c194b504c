"""Problems found in settings."""

from collections.abc import Sequence

from attrs import frozen

from ..errors import PistachiohillError


@frozen
class SettingsProblem:
    """One fault of a settings file or node: where it stands and why it is refused."""

    path: str
    field: str
    reason: str

    def __str__(self) -> str:
        """Return the problem as one line for people."""
        return f"{self.path}: {self.field}: {self.reason}"


class SettingsError(PistachiohillError):
    """Raised with all problems of a settings file or node at once."""

    def __init__(self, problems: Sequence[SettingsProblem]) -> None:
        """Keep the problems."""
        super().__init__("; ".join(map(str, problems)))
        self.problems = tuple(problems)
