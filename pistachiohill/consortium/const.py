"""Limits of the consortium's state, and names of its topics."""

from typing import Final

MAX_CHANGES_KEPT: Final = 1000
ENDED_PROCESS_KEPT_S: Final = 7200.0  # longer than any submission id may be used
ADDRESS_KEPT_S: Final = 300.0  # outages of the store that a restarted process may meet
ANY_VERSION: Final = -1
NO_OFFSET: Final = -1

# The store keeps the newest record of each key in topics whose names begin so.
TOPIC_SETTINGS: Final = "keyed.pistachiohill-settings"
TOPIC_PROCESSES: Final = "keyed.pistachiohill"

POLL_WAIT_S: Final = 10.0  # how long a read waits for news; bounds how late silence is noticed
POLL_AGE_FRACTION: Final = 0.25  # part of a view's allowed age that one read may take
RETRY_MIN_S: Final = 0.1
RETRY_MAX_S: Final = 1.0
ANNOUNCE_RETRY_S: Final = 0.5
WITHDRAW_TIMEOUT_S: Final = 2.0
FORGET_CHECK_S: Final = 600.0
