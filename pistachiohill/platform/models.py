"""What the adapter decodes, in the product's terms."""

from dataclasses import dataclass

from attrs import frozen

from ..scheduling.models import Demand
from ..submissions.models import TaskSpec


@frozen
class KeyedRecord:
    """A record of a keyed topic; `value` is None where the key was dropped."""

    offset: int
    key: str
    value: bytes | None


@frozen
class KeyedPage:
    """Records of a keyed topic in order; `end` is the offset that the next one will get."""

    records: tuple[KeyedRecord, ...]
    end: int


@dataclass(frozen=True)
class OffsetExpired:
    """The records asked for have expired; the newest of each key must be read."""

    first: int


@dataclass(frozen=True)
class ReadFailed:
    """The store could not be read."""

    detail: str


@dataclass(frozen=True)
class Appended:
    """The record stands in the topic."""

    offset: int


@dataclass(frozen=True)
class AppendConflict:
    """The topic's end was not the expected one; nothing was appended."""

    end: int


@dataclass(frozen=True)
class AppendRefused:
    """The store said, or never heard, the request; nothing was appended."""

    detail: str


@dataclass(frozen=True)
class AppendUnknown:
    """The answer was lost; the record may stand in the topic, now or later."""

    detail: str


AppendOutcome = Appended | AppendConflict | AppendRefused | AppendUnknown


@frozen
class JobRoute:
    """A queue of the operators' manifest.

    Fields:
        name: The route's name.
        host, path_prefix: Where callers reach it.
        service: Service whose runners run its tasks.
        priority: Order of service; 0 goes first.
        max_runs: Runs of one task before the job fails.
        slack_factor, target_latency_s: Response time aimed at, as a multiple of the longest task's
            run time and a time added to it.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int
    max_runs: int
    slack_factor: float
    target_latency_s: float


@frozen
class Manifest:
    """The operators' manifest: its version and its queues."""

    version: int
    routes: tuple[JobRoute, ...]


@frozen
class JobBody:
    """A submitted job."""

    tasks: tuple[TaskSpec, ...]


@frozen
class RunnerBeat:
    """What a runner says of itself.

    Fields:
        runner_id: Its name; a runner that starts again may keep it.
        born_ms: When this life of it began, ms since the epoch.
        sequence: Grows with each call of one life.
        service: Service whose tasks it runs.
        address: Where it takes orders.
        room: Its size.
        leaving: Whether it takes no more work.
        clock_s: Its own steady clock.
    """

    runner_id: str
    born_ms: int
    sequence: int
    service: str
    address: str
    room: Demand
    leaving: bool
    clock_s: float
