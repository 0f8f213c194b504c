"""Models of the data that is exchanged with the platform."""

import math
from dataclasses import dataclass

from attrs import frozen

from ..scheduling.models import Demand
from ..submissions.models import TaskSpec


@frozen
class KeyedRecord:
    """A record of a keyed topic; `value` is None if the record deletes the key."""

    offset: int
    key: str
    value: bytes | None


@frozen
class KeyedPage:
    """Records of a keyed topic, ordered by offset.

    `end` is the offset at which the next read continues. `more` is True if the topic already holds
    records from there on, because a response holds a limited number of bytes.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    more: bool = False


@dataclass(frozen=True)
class OffsetExpired:
    """The requested records have expired; read the newest record of each key instead.

    `first` is the first offset that is still kept.
    """

    first: int


@dataclass(frozen=True)
class ReadFailed:
    """A read from the store failed; `timed_out` if it was sent and not answered in time."""

    detail: str
    timed_out: bool = False


@dataclass(frozen=True)
class Appended:
    """The record was appended at `offset`."""

    offset: int


@dataclass(frozen=True)
class AppendConflict:
    """The end of the topic was not at the expected offset, so nothing was appended."""

    end: int


@dataclass(frozen=True)
class AppendRefused:
    """The store refused the request or did not receive it; nothing was appended."""

    detail: str


@dataclass(frozen=True)
class AppendUnknown:
    """The response was lost; the record may have been appended, or may still be appended later."""

    detail: str


AppendOutcome = Appended | AppendConflict | AppendRefused | AppendUnknown


@frozen
class JobRoute:
    """A route of the operators' manifest: the queue for one kind of job.

    Fields:
        name: Name of the route.
        host, path_prefix: Host and path prefix of requests for this route.
        service: Service whose runners run the tasks.
        priority: Priority of the tasks; 0 is served first.
        max_runs: Maximum number of runs of one task; the job fails after the last.
        slack_factor, target_latency_s: Intended response time: the run time of the longest task
            multiplied by `slack_factor`, plus `target_latency_s`.
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
    """The operators' manifest."""

    version: int
    routes: tuple[JobRoute, ...]


@frozen
class SubmittedJob:
    """A job as submitted by a caller."""

    tasks: tuple[TaskSpec, ...]


@frozen
class RunnerAnnouncement:
    """State that a runner reports in an announcement.

    Fields:
        runner_id: Id of the runner; a restarted runner may keep its id.
        born_ms: Start time of the runner process, in milliseconds since the epoch.
        sequence: Sequence number, which increases with each announcement of one process.
        service: Service whose tasks the runner runs.
        address: Address at which the runner accepts requests.
        capacity: CPU and memory capacity.
        leaving: Whether the runner is draining and accepts no more tasks.
        clock_s: Reading of the runner's monotonic clock.
        remaining_s: Minimum time that a leaving runner is left, infinite if it doesn't say.
    """

    runner_id: str
    born_ms: int
    sequence: int
    service: str
    address: str
    capacity: Demand
    leaving: bool
    clock_s: float
    remaining_s: float = math.inf
