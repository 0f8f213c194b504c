"""Outcomes of calls to the platform's log."""

from dataclasses import dataclass

from attrs import frozen


@dataclass(frozen=True)
class Appended:
    """The record stands in the log."""

    offset: int


@dataclass(frozen=True)
class AppendConflict:
    """The log's end was not the expected one; nothing was appended."""

    end: int


@dataclass(frozen=True)
class AppendRefused:
    """The log said, or never heard, the request; nothing was appended."""

    detail: str


@dataclass(frozen=True)
class AppendUnknown:
    """The answer was lost; the record may stand in the log."""

    detail: str


AppendOutcome = Appended | AppendConflict | AppendRefused | AppendUnknown


@frozen
class RawRecord:
    """One record as the log keeps it; `at_s` is the log's time in seconds since the epoch."""

    offset: int
    at_s: float
    data: bytes


@frozen
class LogPage:
    """A part of the log.

    Fields:
        first: Offset of the oldest record kept.
        end: Offset that the next record will get.
        retention_s: How long the log keeps a record.
        now_s: The log's time in seconds since the epoch.
        records: Records from the offset asked for.
    """

    first: int
    end: int
    retention_s: float
    now_s: float
    records: tuple[RawRecord, ...]


@dataclass(frozen=True)
class ReadFailed:
    """The log could not be read."""

    detail: str
