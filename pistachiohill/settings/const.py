"""Names used by the settings tree."""

from enum import StrEnum
from typing import Final

CONF_TOKEN_SHA256: Final = "token_sha256"
ROOT_PATH: Final = "consortium"
MAX_NAME_CHARS: Final = 64


class Level(StrEnum):
    """Level of a node in the settings tree."""

    CONSORTIUM = "consortium"
    MEMBER = "member"
    JOB = "job"


class Policy(StrEnum):
    """How a task's target is chosen."""

    EXPECTED_COMPLETION = "expected_completion"
    LEAST_OUTSTANDING = "least_outstanding"
    ROUND_ROBIN = "round_robin"
    RANDOM = "random"


class QuarantineRule(StrEnum):
    """How failing targets are set aside."""

    WINDOWS = "windows"
    CONSECUTIVE = "consecutive"
    RATIO = "ratio"
    OFF = "off"
