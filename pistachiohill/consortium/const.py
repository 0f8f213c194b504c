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

# Long-poll timeout. A connection that has fallen silent is noticed after this time and the response
# timeout, and a process has to follow changes again 3 s after its connections were lost.
POLL_WAIT_S: Final = 1.0
POLL_AGE_FRACTION: Final = 0.25  # fraction of a view's maximum age that one read may take
RETRY_MIN_S: Final = 0.1
RETRY_MAX_S: Final = 1.0
RESPONSE_TIMEOUT_MIN_S: Final = 1.0
RESPONSE_TIMEOUT_MAX_S: Final = 4.0  # for a store that takes seconds to respond
ANNOUNCE_RETRY_S: Final = 0.5
WITHDRAW_TIMEOUT_S: Final = 2.0
PURGE_INTERVAL_S: Final = 600.0
