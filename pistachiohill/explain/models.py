"""Log lines and the stories made of them."""

from collections.abc import Mapping
from enum import StrEnum

from attrs import define, field, frozen


@frozen
class LogLine:
    """One line of a process's log; `at_s` is the time of day, in seconds since the epoch."""

    at_s: float
    process: str
    event: str
    fields: Mapping[str, str]

    def text(self, name: str) -> str:
        """Return a field, empty where the line has none."""
        return self.fields.get(name, "")

    def number(self, name: str) -> float:
        """Return a field as a number, 0 where the line has none that can be read."""
        try:
            return float(self.fields.get(name, "0"))
        except ValueError:
            return 0.0


@define
class Story:
    """All lines that name a job, in order of time, and lines of its processes that bear on it."""

    key: str
    lines: list[LogLine] = field(factory=list)
    context: list[LogLine] = field(factory=list)

    def last(self, event: str) -> LogLine | None:
        """Return the latest line of an event."""
        return next((line for line in reversed(self.lines) if line.event == event), None)

    def all(self, event: str) -> list[LogLine]:
        """Return all lines of an event."""
        return [line for line in self.lines if line.event == event]


class Fate(StrEnum):
    """How a job ended, as far as the logs tell."""

    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused"
    LEFT = "caller left"
    UNANSWERED = "unanswered"


@frozen
class Verdict:
    """What decided a job's fate: a short cause to count by, and a sentence on this job."""

    fate: Fate
    cause: str
    detail: str
    elapsed_s: float = 0.0
