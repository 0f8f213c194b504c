"""Paths, headers, topics and limits of the platform's interfaces."""

from typing import Final

# Paths that this product serves.
PATH_READY: Final = "/api/ready"
PATH_INSTANCE: Final = "/api/instances/{}"

# Paths of requests to a runner.
PATH_RUN_START: Final = "/api/run-start"
PATH_RUN_STOP: Final = "/api/run-stop"
PATH_HOLD: Final = "/api/hold"

# Paths of requests to the store.
PATH_LOG_APPEND: Final = "/api/log-append"
PATH_LOG_READ: Final = "/api/log-read"
PATH_LOG_NEWEST: Final = "/api/log-newest"

HEADER_DEADLINE_MS: Final = "x-deadline-ms"
HEADER_TARGET_INSTANCE: Final = "X-Target-Instance"

TOPIC_OPERATORS: Final = "keyed.op"
PARTITION: Final = 0  # keyed topics have a single partition
KEY_MANIFEST: Final = "config"
KEY_PREFIX_EVACUATE: Final = "evacuate/"

CONNECT_TIMEOUT_S: Final = 0.5
RESPONSE_TIMEOUT_S: Final = 2.0  # the store responds in 4 ms, but can be slow
MAX_IDLE_S: Final = 30.0  # connections that were idle for longer are not reused
SUSPECT_IDLE_S: Final = 1.0  # nor those that were idle for so long when a request timed out

HEARTBEAT_S: Final = 1.5  # a runner announces itself about this often
CONFIRMATION_S: Final = 2 * HEARTBEAT_S  # another writer's announcement is contradicted in between
MAX_CLOCK_SKEW_S: Final = 60.0  # clocks of the day of an agent and its runner are steps apart
MAX_SERVICE_CHARS: Final = 64
MAX_CPU_M: Final = 10**9
MAX_MEM_MB: Final = 10**9
MAX_RUNNER_CLOCK_MS: Final = 100 * 365 * 86_400_000  # a century, also for a clock of the day
MAX_ANNOUNCEMENT_BYTES: Final = 4 * 1024 * 1024
MAX_RUN_LIST_ITEMS: Final = 262_144  # values in a runner's list of thousands of runs
MAX_ANNOUNCEMENT_ITEMS: Final = 262_144  # values, in lists of labels for example
MAX_JOB_BODY_BYTES: Final = 262144  # limit given in the manifest
MAX_SPEC_BYTES: Final = 4000
MAX_STEP_TASKS: Final = 1400
MAX_STEP_FIELDS: Final = 24  # a step has 16 fields, some of them lists
MAX_JOB_ITEMS: Final = MAX_STEP_TASKS * MAX_STEP_FIELDS  # of steps with one task each
