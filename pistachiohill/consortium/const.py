"""Limits and intervals of the consortium's state, and names of its topics."""

from typing import Final

MAX_RETAINED_CHANGES: Final = 1000
ENDED_PROCESS_RETENTION_S: Final = 7200.0  # longer than any submission id stays valid
ENDED_ADDRESS_RETENTION_S: Final = 300.0  # covers restarts during a store outage
ANY_VERSION: Final = -1
NO_OFFSET: Final = -1

# The prefix "keyed." makes the store retain the newest record of each key in a topic.
TOPIC_SETTINGS: Final = "keyed.pistachiohill-settings"
TOPIC_PROCESSES: Final = "keyed.pistachiohill"
KEY_KEPT_TREE: Final = "settings-tree"  # beside the processes, whose keys are hexadecimal

POLL_WAIT_S: Final = 1.0  # long-poll timeout
AFTER_RECORDS_WAIT_S: Final = 0.1  # of the read that follows one with records
POLL_AGE_FRACTION: Final = 0.25  # fraction of a view's maximum age that one read may take
# The longest time from the store's return until it is followed again is a sum of the following; see
# docs/design/users-platform.md, "Manifest and evacuation".
RESPONSE_OVERDUE_S: Final = 0.5  # beyond the wait; then another read is sent beside the first
SECOND_READ_TIMEOUT_S: Final = 1.0
FIRST_READ_TIMEOUT_S: Final = 4.0  # beyond the wait; for a store that takes seconds to respond
RETRY_MIN_S: Final = 0.1
RETRY_MAX_S: Final = 1.0
ANNOUNCE_RETRY_S: Final = 0.5
WITHDRAW_TIMEOUT_S: Final = 2.0
PURGE_INTERVAL_S: Final = 600.0
MAX_TREE_VERSION: Final = 2**53 - 1  # as in JSON
KEEP_SPREAD_S: Final = 0.5  # entries write at random times within it; the first one is enough
KEEP_RETRY_S: Final = 1.0
