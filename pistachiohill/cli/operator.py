"""Operator commands: a thin synchronous layer over the operators' HTTP interface."""

import json
from typing import Any

import httpcore
from attrs import frozen

from .const import ExitCode

TIMEOUT_S = 15.0


@frozen
class OperatorAnswer:
    """An HTTP answer with its decoded JSON value."""

    status: int
    value: dict[str, Any]


class OperatorClient:
    """Calls the operators' interface of the first entry that answers."""

    def __init__(self, entries: list[str], token: str) -> None:
        """Name the entries and the operators' token."""
        self._entries = entries
        self._headers: dict[bytes | str, bytes | str] = {"authorization": f"Bearer {token}"}

    def call(
        self, method: str, path: str, value: dict[str, Any] | None = None
    ) -> OperatorAnswer | None:
        """Return the answer of the first entry that can be reached, or None.

        A change goes to the next entry under the same change id, so it takes effect once.
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
            return OperatorAnswer(response.status, json.loads(response.content))
        return None


def exit_code(answer: OperatorAnswer | None) -> ExitCode:
    """Return the exit code for an answer."""
    if answer is None:
        return ExitCode.UNREACHABLE
    if answer.status < 300:
        return ExitCode.OK
    if answer.status == 409:
        return ExitCode.CONFLICT
    if answer.status in (400, 401, 404, 422):
        return ExitCode.INVALID
    return ExitCode.NOT_RUN if answer.value.get("verdict") == "not_run" else ExitCode.MAY_HAVE_RUN
