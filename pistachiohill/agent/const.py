"""Limits of an agent."""

from typing import Final

MAX_CLOCK_SKEW_S: Final = 60.0
TARGET_CONNECTIONS: Final = 60
TARGET_CONNECT_TIMEOUT_S: Final = 1.0
TARGET_KEEPALIVE_S: Final = 4.0
MAX_ANSWER_BYTES: Final = 1024 * 1024
EXPIRY_INTERVAL_S: Final = 5.0
IDLE_HEARTBEAT_S: Final = 10.0
