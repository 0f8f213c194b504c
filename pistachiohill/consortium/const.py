"""Limits of the consortium's state."""

from typing import Final

MAX_CHANGES_KEPT: Final = 1000
ENDED_PROCESS_KEPT_S: Final = 7200.0
ANY_VERSION: Final = -1
NO_OFFSET: Final = -1
POLL_AGE_FRACTION: Final = 0.25
SNAPSHOT_EVERY_RECORDS: Final = 500
SNAPSHOT_RETENTION_FRACTION: Final = 0.4
