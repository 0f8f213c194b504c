"""HTTP requests, responses and problem details (RFC 9457)."""

import json
from collections.abc import Awaitable, Callable, Mapping
from typing import Any
from urllib.parse import parse_qs

from attrs import field, frozen

from ..errors import PistachiohillError, RefusalReason, Verdict

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"
MAX_RETRY_AFTER_S = 3600.0  # an infinite one can't be written


@frozen
class Request:
    """An HTTP request with its whole body; header names are in lower case."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    path_values: tuple[str, ...] = ()


@frozen
class Response:
    """An HTTP response."""

    status: int
    body: bytes = b""
    content_type: str = JSON_TYPE
    headers: Mapping[str, str] = field(factory=dict)


@frozen
class Problem:
    """Problem details as in RFC 9457, with the verdict on whether the request may have run."""

    status: int
    reason: RefusalReason
    verdict: Verdict
    detail: str
    field: str = ""
    retry_after_s: float = 0.0


class HttpError(PistachiohillError):
    """Raised by a handler to respond with problem details."""

    def __init__(self, problem: Problem) -> None:
        """Initialize the error with the problem to respond with."""
        super().__init__(problem.detail)
        self.problem = problem


Handler = Callable[[Request], Awaitable[Response]]


def json_response(
    value: Any, status: int = 200, headers: Mapping[str, str] | None = None
) -> Response:
    """Return a response with a value encoded as JSON."""
    return Response(status, json.dumps(value).encode(), JSON_TYPE, headers or {})


def problem_response(problem: Problem) -> Response:
    """Return the response for a problem; `Retry-After` is rounded up to whole seconds, minimum 1."""
    value = {
        "type": f"urn:pistachiohill:problem:{problem.reason}",
        "title": str(problem.reason).replace("_", " "),
        "status": problem.status,
        "detail": problem.detail,
        "reason": str(problem.reason),
        "verdict": str(problem.verdict),
    }
    if problem.field:
        value["field"] = problem.field
    headers = {}
    if problem.retry_after_s > 0:
        retry_after_s = min(problem.retry_after_s, MAX_RETRY_AFTER_S)
        value["retry_after_s"] = retry_after_s
        headers["retry-after"] = str(max(1, round(retry_after_s + 0.5)))
    return Response(problem.status, json.dumps(value).encode(), PROBLEM_TYPE, headers)


def invalid(field_name: str, detail: str, status: int = 400) -> HttpError:
    """Return the error for invalid input in a field, with the verdict NOT_RUN."""
    return HttpError(
        Problem(status, RefusalReason.INVALID, Verdict.NOT_RUN, detail, field=field_name)
    )


def parse_query(raw: bytes) -> dict[str, str]:
    """Parse a query string, keeping the last value of a repeated parameter."""
    pairs = parse_qs(raw.decode("latin-1"), keep_blank_values=True)
    return {name: values[-1] for name, values in pairs.items()}


def parse_json_object(body: bytes) -> dict[str, Any]:
    """Parse a body as a JSON object; raise HttpError with status 400 if it is not one."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as err:
        raise invalid("body", f"not JSON: {err}") from err
    if not isinstance(value, dict):
        raise invalid("body", "expected an object")
    return value
