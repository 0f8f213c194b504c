"""Client for callers: takes identifiers, submits, and resubmits safely to any entry.

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
ANSWER_MARGIN_S = 6.0
PUT_WAIT_S = 20.0
PROGRESS_WAIT_S = 0.5
MAX_RETRY_PAUSE_S = 2.0
RESUBMIT_PAUSE_S = 0.1


@dataclass(frozen=True)
class JobComplete:
    """Every task of the job ran; `bodies` holds their answers in order."""

    submission_id: str
    bodies: tuple[bytes, ...]
    resubmissions: int


@dataclass(frozen=True)
class JobFailed:
    """The job failed; `verdict` says whether any of it may have run."""

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
    """Raised when a request was refused as malformed or unauthorised, or no entry answered."""


@dataclass(frozen=True)
class _Answer:
    """One HTTP answer with its decoded JSON value."""

    status: int
    value: dict[str, Any]


class Client:
    """Talks to a deployment through any of its entries."""

    def __init__(self, entry_urls: Sequence[str], token: str) -> None:
        """Name the entries and the member's token; nothing is opened yet."""
        self._urls = [url.rstrip("/") for url in entry_urls]
        self._headers: dict[bytes | str, bytes | str] = {"authorization": f"Bearer {token}"}
        self._pool = httpcore.AsyncConnectionPool(max_connections=100, keepalive_expiry=30.0)
        self._turn = 0

    async def async_close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def async_ids(self, count: int = 1, job: str = "") -> list[str]:
        """Return submission identifiers, from whichever entry answers.

        With a job's name they are owned by the entry at which all tasks of its service queue.
        """
        value: dict[str, Any] = {"count": count, "job": job} if job else {"count": count}
        for _ in range(2 * len(self._urls)):
            answer = await self._async_call("POST", self._next_url(), "/v1/submission-ids", value)
            if answer is not None and answer.status == 201:
                return [str(item) for item in answer.value["ids"]]
            _raise_if_malformed(answer)
            await trio.sleep(RESUBMIT_PAUSE_S)
        raise ClientError("no entry issued a submission id")

    async def async_run(
        self,
        job: str,
        payloads: Sequence[bytes],
        deadline_s: float,
        progress: Progress | None = None,
    ) -> JobResult:
        """Run a job and return its result, resubmitting under the same id when an answer is lost.

        A refusal under which nothing has run is tried again under a new id until the deadline.
        """
        ends_s = trio.current_time() + deadline_s
        while True:
            (submission_id,) = await self.async_ids(1, job)
            result = await self.async_submit(
                submission_id, job, payloads, deadline_s, progress=progress
            )
            if isinstance(result, JobComplete) or result.verdict != Verdict.NOT_RUN:
                return result
            pause_s = min(max(result.retry_after_s, RESUBMIT_PAUSE_S), MAX_RETRY_PAUSE_S)
            if result.reason == "cancelled" or trio.current_time() + pause_s > ends_s:
                return result
            await trio.sleep(pause_s)

    async def async_submit(
        self,
        submission_id: str,
        job: str,
        payloads: Sequence[bytes],
        deadline_s: float,
        first_entry: int | None = None,
        progress: Progress | None = None,
    ) -> JobResult:
        """Submit under a given id until an entry gives the final answer.

        Once the job is known to be running it is only asked for; when an answer is lost it is put
        again, at the next entry. `progress` is called with the settled and the total tasks.
        """
        wait_s = min(PUT_WAIT_S if progress is None else PROGRESS_WAIT_S, deadline_s)
        body = {
            "job": job,
            "deadline_s": deadline_s,
            "wait_s": wait_s,
            "tasks": [{"payload_base64": base64.b64encode(item).decode()} for item in payloads],
        }
        if first_entry is not None:
            self._turn = first_entry
        path = f"/v1/submissions/{submission_id}"
        ends_s = trio.current_time() + deadline_s + ANSWER_MARGIN_S
        resubmissions = 0
        running = False
        while trio.current_time() < ends_s:
            if running:
                query = f"{path}?wait_s={wait_s}"
                answer = await self._async_call("GET", self._next_url(), query, None, wait_s)
            else:
                answer = await self._async_call("PUT", self._next_url(), path, body, wait_s)
            if answer is None:
                running = False
                resubmissions += 1
                await trio.sleep(RESUBMIT_PAUSE_S)
            elif answer.status == 202:
                running = True
                if progress is not None:
                    progress(int(answer.value["settled"]), int(answer.value["tasks"]))
            else:
                _raise_if_malformed(answer)
                return _read_result(submission_id, answer, resubmissions)
        raise ClientError(f"no entry answered submission {submission_id}")

    async def async_cancel(self, submission_id: str) -> JobResult:
        """Cancel a submission and return its result."""
        answer = await self._async_call(
            "DELETE", self._next_url(), f"/v1/submissions/{submission_id}", None
        )
        if answer is None:
            raise ClientError("no entry answered")
        return _read_result(submission_id, answer, 0)

    async def async_fairness(self) -> dict[str, Any]:
        """Return the member's fairness report."""
        answer = await self._async_call("GET", self._next_url(), "/v1/fairness", None)
        if answer is None or answer.status != 200:
            raise ClientError(f"no report: {answer}")
        return answer.value

    def _next_url(self) -> str:
        url = self._urls[self._turn % len(self._urls)]
        self._turn += 1
        return url

    async def _async_call(
        self,
        method: str,
        url: str,
        path: str,
        value: dict[str, Any] | None,
        wait_s: float = 0.0,
    ) -> _Answer | None:
        """Return an answer, or None when it was lost on the way."""
        content = None if value is None else json.dumps(value).encode()
        read_s = wait_s + ANSWER_MARGIN_S
        timeouts = {"connect": CONNECT_TIMEOUT_S, "read": read_s, "write": read_s, "pool": read_s}
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
        return _Answer(response.status, decoded)


def _raise_if_malformed(answer: _Answer | None) -> None:
    if answer is not None and answer.status in (400, 401, 405, 413, 422):
        raise ClientError(f"{answer.status}: {answer.value.get('detail')}")
    if answer is not None and answer.status == 404 and "field" in answer.value:
        raise ClientError(f"{answer.status}: {answer.value.get('detail')}")


def _read_result(submission_id: str, answer: _Answer, resubmissions: int) -> JobResult:
    value = answer.value
    if answer.status == 200:
        bodies = tuple(base64.b64decode(item) for item in value["results_base64"])
        return JobComplete(submission_id, bodies, resubmissions)
    return JobFailed(
        submission_id=submission_id,
        verdict=Verdict(value.get("verdict", Verdict.MAY_HAVE_RUN)),
        reason=str(value.get("reason", "")),
        detail=str(value.get("detail", "")),
        status=answer.status,
        retry_after_s=float(value.get("retry_after_s", 0.0)),
        resubmissions=resubmissions,
    )
