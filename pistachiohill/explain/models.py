"""Parsed log lines, the timelines of jobs built from them, and diagnoses."""

from collections.abc import Mapping
from enum import StrEnum

from attrs import define, field, frozen


@frozen
class LogLine:
    """One line of a process's log; `at_s` is its timestamp in seconds since the epoch."""

    at_s: float
    process: str
    event: str
    fields: Mapping[str, str]

    def text(self, name: str) -> str:
        """Return a field, or an empty string if it is missing."""
        return self.fields.get(name, "")

    def number(self, name: str) -> float:
        """Return a field as a number, or 0 if it is missing or not a number."""
        try:
            return float(self.fields.get(name, "0"))
        except ValueError:
            return 0.0


@define
class JobTimeline:
    """The log lines of one job in order of time.

    Fields:
        key: The caller's id of the job, or its submission id if it has none.
        lines: Lines that name the job.
        context: Lines that name no job but may explain what happened to this one.
    """

    key: str
    lines: list[LogLine] = field(factory=list)
    context: list[LogLine] = field(factory=list)

    def last_line(self, event: str) -> LogLine | None:
        """Return the latest line of an event."""
        return next((line for line in reversed(self.lines) if line.event == event), None)

    def lines_of(self, event: str) -> list[LogLine]:
        """Return all lines of an event."""
        return [line for line in self.lines if line.event == event]


class Outcome(StrEnum):
    """How a job ended, as far as the logs show."""

    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused"
    CALLER_LEFT = "caller left"
    UNANSWERED = "unanswered"


@frozen
class Diagnosis:
    """Why a job ended as it did.

    Fields:
        outcome: How the job ended.
        cause: A short cause, equal for similar jobs, so that jobs can be counted by it.
        detail: A sentence about this job.
        elapsed_s: How long the job took, 0 if the logs do not show it.
    """

    outcome: Outcome
    cause: str
    detail: str
    elapsed_s: float = 0.0
