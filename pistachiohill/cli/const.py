"""Exit codes and environment variables of the command line."""

from enum import IntEnum
from typing import Final

ENV_ENTRIES: Final = "PISTACHIOHILL_ENTRIES"
ENV_TOKEN: Final = "PISTACHIOHILL_TOKEN"
DEFAULT_ENTRIES: Final = "http://127.0.0.1:8080"


class ExitCode(IntEnum):
    """Exit codes of the commands."""

    OK = 0
    FAILED = 1
    INVALID = 2
    NOT_RUN = 3
    MAY_HAVE_RUN = 4
    CONFLICT = 5
    UNREACHABLE = 6
