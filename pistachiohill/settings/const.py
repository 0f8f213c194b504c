"""Constants of the settings tree."""

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
    """Policy that selects a task's target."""

    EXPECTED_COMPLETION = "expected_completion"
    LEAST_OUTSTANDING = "least_outstanding"
    ROUND_ROBIN = "round_robin"
    RANDOM = "random"


class QuarantineRule(StrEnum):
    """Rule that quarantines failing targets."""

    WINDOWS = "windows"
    CONSECUTIVE = "consecutive"
    RATIO = "ratio"
    OFF = "off"
