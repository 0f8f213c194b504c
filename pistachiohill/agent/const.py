"""Limits of an agent."""

from typing import Final

MAX_CLOCK_SKEW_S: Final = 60.0
TARGET_CONNECTIONS: Final = 60
TARGET_CONNECT_TIMEOUT_S: Final = 1.0
TARGET_KEEPALIVE_S: Final = 4.0
MAX_ANSWER_BYTES: Final = 1024 * 1024
EXPIRY_INTERVAL_S: Final = 5.0
IDLE_HEARTBEAT_S: Final = 10.0

# Leases of runs at a runner. A resend comes 1.3 s after a loss, and all runs of before must have
# ended by then (docs/design/users-platform.md has the arithmetic).
LEASE_S: Final = 0.7
MAX_CLOCK_DRIFT: Final = 0.02  # bound stated by the platform for a runner's clock
HOLD_WAIT_S: Final = 0.25  # several renewals fit into a lease
HOLD_TIMEOUT_S: Final = 0.15
START_TIMEOUT_S: Final = 0.15
RETRY_ORDER_S: Final = 0.02
TOKENS_PER_MS: Final = 1000
TOKEN_LEAP: Final = 3600 * 1000 * TOKENS_PER_MS  # an hour of tokens

# Leases of entries at an agent.
ENTRY_LEASE_S: Final = 0.6
LEASE_CHECK_S: Final = 0.05

LOAD_PUSH_S: Final = 0.01  # for each linked entry; loads that change together are told together
PRESSED_FRACTION: Final = 0.25  # with less free room a small change is told
PRESSED_STEP_FRACTION: Final = 0.05  # about half a task of the users' jobs
LOAD_STEP_FRACTION: Final = 0.2  # with more room only a change of this part is
STATE_REPLY_S: Final = 0.1  # a stamp is answered unless something was sent this lately
