"""Limits, intervals and lease durations of an agent."""

from typing import Final

MAX_CLOCK_SKEW_S: Final = 60.0
TARGET_CONNECTIONS: Final = 60
TARGET_CONNECT_TIMEOUT_S: Final = 1.0
TARGET_KEEPALIVE_S: Final = 4.0
MAX_RESPONSE_BYTES: Final = 1024 * 1024
EXPIRY_INTERVAL_S: Final = 5.0
HEARTBEAT_INTERVAL_S: Final = 10.0

# Leases on runs at a runner.
LEASE_S: Final = 0.56
MAX_LEASE_S: Final = 1.0  # the platform's bound on a lease, by the runner's clock
MAX_CLOCK_DRIFT: Final = 0.02  # the platform's bound on the drift of a runner's clock
HOLD_WAIT_S: Final = 0.16  # a lease outlasts a lost response and the timeout of that request
HOLD_TIMEOUT_S: Final = 0.12
CLOCK_REFRESH_S: Final = 0.5  # age from which an idle runner's clock is read again
CONFIRMATION_TIMEOUT_S: Final = 1.0  # less than the interval of a runner's announcements
HEDGE_S: Final = 5.0  # how long two hold requests are kept open after a response was lost
LATE_START_S: Final = 15.0  # the platform executes unanswered requests up to 12 s later
START_TIMEOUT_S: Final = 0.08  # a lost start is sent again while its job can still end in time
MAX_STARTS_SENT: Final = 5  # of one run, without a pause in between
LATE_START_RETRY_S: Final = 0.1  # pause between the attempts after that, or after a refusal
STOP_TIMEOUT_S: Final = 0.08  # several attempts within a lease
RETRY_DELAY_S: Final = 0.02
TOKENS_PER_MS: Final = 1000
INITIAL_TOKEN_STEP: Final = 3600 * 1000 * TOKENS_PER_MS  # increase of the initial token per hour

# Leases of entries at an agent, on which best-effort tasks depend.
ENTRY_LEASE_S: Final = 0.5
LEASE_CHECK_INTERVAL_S: Final = 0.05

# When runs have ended after the last message of their entry. A caller sends its job again 1.3 s
# after a loss; docs/design/users-platform.md has the calculation.
STOP_CONFIRM_S: Final = 0.1  # a run that must end and goes on for longer stops the renewals
RUNNER_CLOCK_STEP_S: Final = 0.001  # a runner reads its clock in whole milliseconds
RUNNER_STOP_S: Final = 0.05  # the platform's bound on the time that a runner takes to end runs
TIMER_MARGIN_S: Final = 0.01  # for late timers of a slow machine
RUNS_END_S: Final = (
    (ENTRY_LEASE_S + LEASE_CHECK_INTERVAL_S + STOP_CONFIRM_S + LEASE_S) / (1.0 - MAX_CLOCK_DRIFT)
    + RUNNER_STOP_S
    + TIMER_MARGIN_S
)

ANSWERS_BATCH_S: Final = 0.002  # answered starts within this time are told in one frame
LOAD_PUSH_INTERVAL_S: Final = 0.01  # per linked entry; load changes within this time are batched
LOW_CAPACITY_FRACTION: Final = 0.25  # of the CPU; with less free, smaller load changes are sent
LOW_CAPACITY_STEP_FRACTION: Final = 0.05  # of the CPU; about half a task of the users' jobs
LOAD_STEP_FRACTION: Final = 0.2  # of the CPU; otherwise smaller load changes are not sent
STATE_REPLY_INTERVAL_S: Final = 0.1  # no state reply if a message was sent within this time
