"""Client library for callers: obtains submission ids, submits jobs and resubmits them safely.

Example:
    client = Client(["http://127.0.0.1:8080", "http://127.0.0.1:8090"], token)
    result = await client.async_run("clocking", [b"stamp 1", b"stamp 2"], deadline_s=5.0)
    if isinstance(result, JobComplete):
        print(result.bodies)

"""

import base64
import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import httpcore
import trio

from .errors import PistachiohillError, Verdict

CONNECT_TIMEOUT_S = 1.0
RESPONSE_MARGIN_S = 6.0  # added to the waiting time or deadline sent to the entry
PUT_WAIT_S = 20.0  # how long an entry may hold a request while the job is running
PROGRESS_WAIT_S = 0.5  # the same for a job whose progress is reported
MAX_RETRY_DELAY_S = 2.0
RETRY_DELAY_S = 0.1


@dataclass(frozen=True)
class JobComplete:
    """A completed job; `bodies` holds the results of its tasks in order."""

    submission_id: str
    bodies: tuple[bytes, ...]
    resubmissions: int


@dataclass(frozen=True)
class JobFailed:
    """A failed job; `verdict` tells whether any of its tasks may have run."""

    submission_id: str
    verdict: Verdict
    reason: str
    detail: str
    status: int
    retry_after_s: float
    resubmissions: int


JobResult = JobComplete | JobFailed
Progress = Callable[[int, int], None]


class ClientError(PistachiohillError):
    """Raised if a request is rejected as malformed or unauthorized, or if no entry responds."""


@dataclass(frozen=True)
class _Response:
    """One HTTP response with its decoded JSON value."""

    status: int
    value: dict[str, Any]


class Client:
    """Client of a deployment; requests go to its entries in turn."""

    def __init__(self, entry_urls: Sequence[str], token: str) -> None:
        """Initialize with the entries' URLs and the member's token, without connecting."""
        self._urls = [url.rstrip("/") for url in entry_urls]
        self._headers: dict[bytes | str, bytes | str] = {"authorization": f"Bearer {token}"}
        self._pool = httpcore.AsyncConnectionPool(max_connections=100, keepalive_expiry=30.0)
        self._next_entry = 0

    async def async_close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def async_ids(self, count: int = 1, job: str = "") -> list[str]:
        """Return new submission ids from the first entry that issues them.

        If `job` is given, the ids are owned by the entry that queues all tasks of its service.
        """
        value: dict[str, Any] = {"count": count, "job": job} if job else {"count": count}
        for _ in range(2 * len(self._urls)):
            response = await self._async_request(
                "POST", self._next_url(), "/v1/submission-ids", value
            )
            if response is not None and response.status == 201:
                return [str(item) for item in response.value["ids"]]
            _raise_if_rejected(response)
            await trio.sleep(RETRY_DELAY_S)
        raise ClientError("no entry issued a submission id")

    async def async_run(
        self,
        job: str,
        payloads: Sequence[bytes],
        deadline_s: float,
        progress: Progress | None = None,
    ) -> JobResult:
        """Run a job and return its result; if a response is lost, resubmit under the same id.

        A job refused with the verdict NOT_RUN is retried under a new id until the deadline.
        """
        end_at_s = trio.current_time() + deadline_s
        while True:
            (submission_id,) = await self.async_ids(1, job)
            result = await self.async_submit(
                submission_id, job, payloads, deadline_s, progress=progress
            )
            if isinstance(result, JobComplete) or result.verdict != Verdict.NOT_RUN:
                return result
            delay_s = min(max(result.retry_after_s, RETRY_DELAY_S), MAX_RETRY_DELAY_S)
            if result.reason == "cancelled" or trio.current_time() + delay_s > end_at_s:
                return result
            await trio.sleep(delay_s)

    async def async_submit(
        self,
        submission_id: str,
        job: str,
        payloads: Sequence[bytes],
        deadline_s: float,
        first_entry: int | None = None,
        progress: Progress | None = None,
    ) -> JobResult:
        """Submit a job under a given id and return its result, trying the entries in turn.

        While the job is known to be running, its state is polled with GET. If a response is lost,
        the job is submitted again at the next entry with PUT. `progress` is called with the number
        of settled tasks and the total.
        """
        wait_s = min(PUT_WAIT_S if progress is None else PROGRESS_WAIT_S, deadline_s)
        body = {
            "job": job,
            "deadline_s": deadline_s,
            "wait_s": wait_s,
            "tasks": [{"payload_base64": base64.b64encode(item).decode()} for item in payloads],
        }
        if first_entry is not None:
            self._next_entry = first_entry
        path = f"/v1/submissions/{submission_id}"
        end_at_s = trio.current_time() + deadline_s + RESPONSE_MARGIN_S
        resubmissions = 0
        running = False
        while trio.current_time() < end_at_s:
            if running:
                query = f"{path}?wait_s={wait_s}"
                response = await self._async_request("GET", self._next_url(), query, None, wait_s)
            else:
                response = await self._async_request("PUT", self._next_url(), path, body, wait_s)
            if response is None:
                running = False
                resubmissions += 1
                await trio.sleep(RETRY_DELAY_S)
            elif response.status == 202:
                running = True
                if progress is not None:
                    progress(int(response.value["settled"]), int(response.value["tasks"]))
            else:
                _raise_if_rejected(response)
                return _parse_result(submission_id, response, resubmissions)
        raise ClientError(f"no entry answered submission {submission_id}")

    async def async_cancel(self, submission_id: str) -> JobResult:
        """Cancel a submission and return its result."""
        response = await self._async_request(
            "DELETE", self._next_url(), f"/v1/submissions/{submission_id}", None
        )
        if response is None:
            raise ClientError("no entry answered")
        return _parse_result(submission_id, response, 0)

    async def async_fairness(self) -> dict[str, Any]:
        """Return the member's fairness report."""
        response = await self._async_request("GET", self._next_url(), "/v1/fairness", None)
        if response is None or response.status != 200:
            raise ClientError(f"no fairness report: {response}")
        return response.value

    def _next_url(self) -> str:
        url = self._urls[self._next_entry % len(self._urls)]
        self._next_entry += 1
        return url

    async def _async_request(
        self,
        method: str,
        url: str,
        path: str,
        value: dict[str, Any] | None,
        wait_s: float = 0.0,
    ) -> _Response | None:
        """Send a request; return None on a network error, a timeout or invalid JSON."""
        content = None if value is None else json.dumps(value).encode()
        io_timeout_s = wait_s + RESPONSE_MARGIN_S
        timeouts = {
            "connect": CONNECT_TIMEOUT_S,
            "read": io_timeout_s,
            "write": io_timeout_s,
            "pool": io_timeout_s,
        }
        try:
            response = await self._pool.request(
                method,
                url + path,
                headers=self._headers,
                content=content,
                extensions={"timeout": timeouts},
            )
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return None
        try:
            decoded = json.loads(response.content)
        except ValueError:
            return None
        return _Response(response.status, decoded)


def _raise_if_rejected(response: _Response | None) -> None:
    if response is not None and response.status in (400, 401, 405, 413, 422):
        raise ClientError(f"{response.status}: {response.value.get('detail')}")
    if response is not None and response.status == 404 and "field" in response.value:
        raise ClientError(f"{response.status}: {response.value.get('detail')}")


def _parse_result(submission_id: str, response: _Response, resubmissions: int) -> JobResult:
    value = response.value
    if response.status == 200:
        bodies = tuple(base64.b64decode(item) for item in value["results_base64"])
        return JobComplete(submission_id, bodies, resubmissions)
    return JobFailed(
        submission_id=submission_id,
        verdict=Verdict(value.get("verdict", Verdict.MAY_HAVE_RUN)),
        reason=str(value.get("reason", "")),
        detail=str(value.get("detail", "")),
        status=response.status,
        retry_after_s=float(value.get("retry_after_s", 0.0)),
        resubmissions=resubmissions,
    )
