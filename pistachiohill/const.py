"""Protocol limits and enumerations shared by all packages."""

from enum import StrEnum
from typing import Final

PROTOCOL_VERSION: Final = 2
MAX_JOB_TASKS: Final = 1400
MAX_PORT: Final = 65535
MAX_FRAME_BYTES: Final = 64 * 1024 * 1024
VIEW_EXCHANGE_INTERVAL_S: Final = 1.0


class Role(StrEnum):
    """Role of a daemon process."""

    ENTRY = "entry"
    AGENT = "agent"


class TaskState(StrEnum):
    """State of one task at an agent; a fenced placement of a task has not run and never starts."""

    QUEUED = "queued"
    RUNNING = "running"
    SETTLED = "settled"
    FENCED = "fenced"


class JobState(StrEnum):
    """State of a submission as reported to its caller."""

    RUNNING = "running"
    COMPLETE = "complete"
    FAILED = "failed"


class ForwardAction(StrEnum):
    """Request that an entry forwards to the owner of a submission."""

    PUT = "put"
    GET = "get"
    CANCEL = "cancel"
