"""Synchronous client of the operators' HTTP API, used by the operator commands."""

import json
from typing import Any

import httpcore
from attrs import frozen

from .const import ExitCode

TIMEOUT_S = 15.0


@frozen
class OperatorResponse:
    """An HTTP response with its decoded JSON value."""

    status: int
    value: dict[str, Any]


class OperatorClient:
    """Client of the operators' HTTP API that falls back to the next entry on network errors."""

    def __init__(self, entries: list[str], token: str) -> None:
        """Initialize with the entries' URLs and the operators' token."""
        self._entries = entries
        self._headers: dict[bytes | str, bytes | str] = {"authorization": f"Bearer {token}"}

    def call(
        self, method: str, path: str, value: dict[str, Any] | None = None
    ) -> OperatorResponse | None:
        """Return the response of the first entry that can be reached, or None.

        A retry at the next entry carries the same change id, so that a change is applied only once.
        """
        for url in self._entries:
            try:
                response = httpcore.request(
                    method,
                    url.rstrip("/") + path,
                    headers=self._headers,
                    content=None if value is None else json.dumps(value).encode(),
                    extensions={
                        "timeout": dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
                    },
                )
            except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
                continue
            return OperatorResponse(response.status, json.loads(response.content))
        return None


def exit_code(response: OperatorResponse | None) -> ExitCode:
    """Return the exit code for a response."""
    if response is None:
        return ExitCode.UNREACHABLE
    if response.status < 300:
        return ExitCode.OK
    if response.status == 409:
        return ExitCode.CONFLICT
    if response.status in (400, 401, 404, 422):
        return ExitCode.INVALID
    return ExitCode.NOT_RUN if response.value.get("verdict") == "not_run" else ExitCode.MAY_HAVE_RUN
