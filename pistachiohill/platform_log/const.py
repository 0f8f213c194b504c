"""Paths, headers and limits of the platform's log protocol."""

from typing import Final

PATH_RECORDS: Final = "/v1/records"
HEADER_EXPECTED_END: Final = "expected-end"
CONNECT_TIMEOUT_S: Final = 1.0
ANSWER_TIMEOUT_S: Final = 3.0
READ_LIMIT_RECORDS: Final = 1000
POLL_WAIT_S: Final = 1.0
RETRY_MIN_S: Final = 0.1
RETRY_MAX_S: Final = 2.0
