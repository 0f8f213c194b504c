"""Names and limits of the platform's interfaces."""

from typing import Final

# Paths of calls that arrive here.
PATH_READY: Final = "/api/ready"
PATH_INSTANCE: Final = "/api/instances/{}"

# Paths of calls to a runner.
PATH_RUN_START: Final = "/api/run-start"
PATH_RUN_STOP: Final = "/api/run-stop"
PATH_HOLD: Final = "/api/hold"

# Paths of calls to the store.
PATH_LOG_APPEND: Final = "/api/log-append"
PATH_LOG_READ: Final = "/api/log-read"
PATH_LOG_NEWEST: Final = "/api/log-newest"

HEADER_DEADLINE_MS: Final = "x-deadline-ms"
HEADER_TARGET_INSTANCE: Final = "X-Target-Instance"

TOPIC_OPERATORS: Final = "keyed.op"
ONLY_PART: Final = 0  # keyed topics have one partition
KEY_MANIFEST: Final = "config"
KEY_EVACUATE: Final = "evacuate/"

CONNECT_TIMEOUT_S: Final = 0.5
ANSWER_TIMEOUT_S: Final = 2.0  # the store answers in 4 ms and may be slow
READ_MARGIN_S: Final = 2.0  # a slow store takes half a second for each part of an answer
KEEPALIVE_S: Final = 30.0

MAX_BEAT_BYTES: Final = 4 * 1024 * 1024
MAX_JOB_BODY_BYTES: Final = 262144  # limit stated by the manifest
MAX_SPEC_BYTES: Final = 4000
MAX_STEP_TASKS: Final = 1400
