"""Limits, timeouts and intervals of an entry."""

from typing import Final

RECONNECT_MIN_S: Final = 0.05
RECONNECT_MAX_S: Final = 1.0
REFUSED_CONNECTS_UNTIL_LOST: Final = 2
AGENT_CONNECT_TIMEOUT_S: Final = 0.5  # a round trip takes milliseconds; a lease lasts 0.5 s
ECHO_INTERVAL_S: Final = 0.2  # several renewals per lease of the entry at an agent
SUSPECT_SILENCE_S: Final = 0.35  # one interval and the time to answer; silent agents get no task
MAX_TICK_S: Final = 0.1  # interval of the checks of all links, and of those for stalls
CHANGE_DELAY_S: Final = 0.03  # changes of the view within this time are handled together
IDLE_SILENCE_TIMEOUT_S: Final = 30.0
IDLE_CHECK_INTERVAL_S: Final = 5.0
# For opening a connection, and once more for the reply to Hello: after an outage of the path, an
# attempt that began during it must not keep the entries apart for longer than a change may take.
PEER_CONNECT_TIMEOUT_S: Final = 1.0
PEER_SILENCE_S: Final = 2.2  # two views in a row are missing
PEER_CHECK_INTERVAL_S: Final = 0.2
UNREACHABLE_ENTRY_S: Final = 600.0  # far longer than a restart; its agents then get another entry
EXPIRY_INTERVAL_S: Final = 1.0
SEAL_TIMEOUT_S: Final = 2.0
SEAL_BATCH_DELAY_S: Final = 0.01
OWNER_LINK_GRACE_S: Final = 0.5
PEERS_ASKED_S: Final = 0.25  # links open within 0.1 s; an entry that is gone never answers
STARTUP_GRACE_S: Final = 4.0  # covers a runner's heartbeat interval plus connecting to its agent
STARTUP_POLL_S: Final = 0.02
STARTUP_RECHECK_S: Final = 0.1  # a check plans the job, which takes about a millisecond
DRAIN_POLL_S: Final = 0.05
CANCEL_REPORT_S: Final = 0.4  # for the agents' reports on tasks that are cancelled at a stop
RETRY_AFTER_S: Final = 1.0
MAX_IDS_PER_REQUEST: Final = 1000
# Jobs held by several entries (job_holders). A caller sends a job again 1.3 s after it gave it up.
HELD_AFTER_S: Final = 0.6  # most jobs end sooner
OLD_REQUEST_S: Final = 1.0  # younger ones have not been sent again
HELD_TICK_S: Final = 0.1
HELD_REPEAT_S: Final = 5.0
HELD_RETENTION_S: Final = 16.0  # three repetitions
RELEASE_POLL_S: Final = 0.01
LATE_TIMERS_S: Final = 0.1  # of processes that are short of processor time
RELEASE_REPEAT_S: Final = 0.2
CANCEL_ANSWER_S: Final = 1.0  # of another entry that is asked to cancel a job
