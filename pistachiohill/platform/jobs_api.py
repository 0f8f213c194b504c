"""HTTP API for callers on the platform.

A job is addressed by host, path prefix and an id that the caller has chosen.
"""

import re
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import trio
from attrs import evolve

from .. import clock, logs
from ..const import JobState
from ..entry.best_effort import BestEffortJobs
from ..entry.const import RETRY_AFTER_S
from ..entry.job_cancels import Cancellation, JobCancels
from ..entry.routes import RouteMatch, RouteTable
from ..errors import RefusalReason, Verdict
from ..http.app import BodyError, Scope, async_handle_lifespan, async_read_body, async_send_response
from ..http.models import Problem, Response, json_response, problem_response
from ..http.origin import UNKNOWN_ORIGIN, RequestOrigin
from ..scheduling.models import Demand
from ..submissions.models import JobAnswer, JobRequest, TaskSpec
from .const import (
    HEADER_DEADLINE_MS,
    MAX_CPU_M,
    MAX_JOB_BODY_BYTES,
    MAX_JOB_ITEMS,
    MAX_MEM_MB,
    MAX_SPEC_BYTES,
    MAX_STEP_TASKS,
)
from .errors import WireError
from .models import SubmittedJob
from .wire import Fields, decode_object, read_bool, read_int, read_list, read_text, require_object

JOB_ID_PATTERN = re.compile(r"[0-9a-f]{16}", re.ASCII)
MAX_DEADLINE_MS = 3_600_000
# Jobs that set any of these fields are refused before any of their tasks starts.
UNSUPPORTED_STEP_FIELDS = (
    "dependsOn",
    "checkpointing",
    "gang",
    "sameRack",
    "requires",
    "dataRack",
    "antiAffinity",
    "allowDuplicates",
    "image",
    "targetMs",
    "fills",
    "mayMiss",
)
# Reasons for which a job has failed, rather than this product at running it.
FINAL_FAILURES = frozenset(
    {RefusalReason.TARGET_FAILED, RefusalReason.INVALID, RefusalReason.CANCELLED}
)
UNSUPPORTED_JOB_FIELDS = ("longRunning", "repeatCount")

Receive = Callable[[], Awaitable[Scope]]
Send = Callable[[Scope], Awaitable[None]]


class Startup(Protocol):
    """The start of this entry, until it may use the manifest that it knows."""

    @property
    def manifest_known(self) -> bool:
        """Return whether a manifest is known."""

    @property
    def done(self) -> bool:
        """Return whether the manifest may be used."""

    async def async_wait(self) -> None:
        """Wait until the manifest may be used."""


class UnsupportedJobError(WireError):
    """Raised for a job that uses a feature that this version does not support."""


def decode_job(body: bytes) -> SubmittedJob:
    """Decode a submitted job.

    Raises UnsupportedJobError if the job uses an unsupported feature, and another WireError if it
    is malformed.
    """
    fields = decode_object(body, MAX_JOB_ITEMS)
    spec = read_text(fields, "spec", "").encode(errors="surrogatepass")
    if len(spec) > MAX_SPEC_BYTES:
        raise WireError(f"spec: more than {MAX_SPEC_BYTES} bytes")
    steps = read_list(fields, "steps")
    if not steps:
        raise WireError("steps: expected at least one step")
    unsupported = [name for name in UNSUPPORTED_JOB_FIELDS if fields.get(name)]
    if unsupported or not read_bool(fields, "bestEffort", False):
        raise UnsupportedJobError(
            f"unsupported: {', '.join(unsupported) or 'jobs that are not best-effort'}"
        )
    if len(steps) > 1:
        raise UnsupportedJobError("unsupported: jobs with several steps")
    return SubmittedJob(_decode_step(require_object(steps[0], "steps"), spec))


def _decode_step(fields: Fields, spec: bytes) -> tuple[TaskSpec, ...]:
    unsupported = [name for name in UNSUPPORTED_STEP_FIELDS if fields.get(name)]
    if unsupported or fields.get("gpu"):
        raise UnsupportedJobError(f"unsupported: {', '.join(unsupported) or 'gpu'}")
    count = read_int(fields, "count", minimum=1)
    if count > MAX_STEP_TASKS:
        raise WireError(f"count: more than {MAX_STEP_TASKS}")
    demand = Demand(
        read_int(fields, "cpu", 0, maximum=MAX_CPU_M),
        read_int(fields, "memMb", 0, maximum=MAX_MEM_MB),
    )
    declared_s = read_int(fields, "estDurationMs", 0) / 1000
    return (TaskSpec(spec, demand, declared_s),) * count


class JobsApi:
    """ASGI application that serves callers on the platform."""

    def __init__(
        self, routes: RouteTable, jobs: BestEffortJobs, startup: Startup, cancels: JobCancels
    ) -> None:
        """Initialize the application; `startup` tells when the manifest may be used."""
        self._cancels = cancels
        self._routes = routes
        self._jobs = jobs
        self._startup = startup

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle a request; a job is cancelled if its caller disconnects."""
        if scope["type"] != "http":
            await async_handle_lifespan(scope, receive, send)
            return
        try:
            await self._async_handle(scope, receive, send)
        except Exception as err:
            logs.exception("handler_failed", err, path=scope["path"])
            raise

    def _close_if_stopping(self, response: Response) -> Response:
        """Add a `connection: close` header to the response if this entry is about to stop.

        The caller then opens a new connection for its next request, which the load balancer sends
        to another entry.
        """
        if not self._jobs.stopping:
            return response
        return evolve(response, headers={**response.headers, "connection": "close"})

    async def _async_handle(self, scope: Scope, receive: Receive, send: Send) -> None:
        headers = {name: value.decode("latin-1") for name, value in scope["headers"]}
        host = headers.get(b"host", "").partition(":")[0]
        match = await self._async_find_route(host, scope["path"])
        if match is None:
            self._log_route_not_found(host, scope["path"], clock.boot_s())
            await async_send_response(send, self._close_if_stopping(self._route_not_found()))
            return
        method = scope["method"]
        if method == "POST":
            origin = scope.get("origin", UNKNOWN_ORIGIN)
            await self._async_submit(match, headers, origin, receive, send)
            return
        if method == "DELETE":
            response = await self._async_cancel(match.path_suffix)
        else:
            response = self._handle_immediate(method, match)
        await async_send_response(send, self._close_if_stopping(response))

    async def _async_find_route(self, host: str, path: str) -> RouteMatch | None:
        """Return the route of a request, None if there is none or no manifest is known yet."""
        if not self._startup.manifest_known:
            return None
        if not self._startup.done:
            await self._startup.async_wait()
        return self._routes.find(host, path)

    def _log_route_not_found(self, host: str, path: str, now_s: float) -> None:
        logs.event(
            "route_not_found",
            host=host,
            path=path,
            offset=self._routes.offset,
            view_age_s=self._routes.view_age_s(now_s),
        )

    def _route_not_found(self) -> Response:
        if self._startup.manifest_known:
            return _problem(404, RefusalReason.UNKNOWN_ID, "no such queue")
        return _problem(503, RefusalReason.STALE_VIEW, "no manifest is known yet", 1.0)

    def _handle_immediate(self, method: str, match: RouteMatch) -> Response:
        """Handle a request that waits for nothing."""
        if method == "GET" and not match.path_suffix:
            return json_response(
                {"pending": self._jobs.pending(match.routed.member, match.routed.job)}
            )
        if method != "GET":
            return _problem(405, RefusalReason.INVALID, "allowed: GET, POST, DELETE")
        if self._jobs.find(match.path_suffix) is not None:
            return json_response({"state": "running"})
        return _unknown_job()

    async def _async_cancel(self, key: str) -> Response:
        if self._jobs.cancel(key):
            return json_response({})
        if not JOB_ID_PATTERN.fullmatch(key):
            return _unknown_job()
        outcome = await self._cancels.async_cancel(key)
        if outcome == Cancellation.CANCELLED:
            return json_response({})
        if outcome == Cancellation.NOT_FOUND:
            return _unknown_job()
        detail = "an entry that may have the job doesn't answer"
        return _problem(503, RefusalReason.UNKNOWN_ID, detail, RETRY_AFTER_S, Verdict.MAY_HAVE_RUN)

    async def _async_submit(
        self,
        match: RouteMatch,
        headers: dict[bytes, str],
        origin: RequestOrigin,
        receive: Receive,
        send: Send,
    ) -> None:
        try:
            request = await _async_read_job(match, headers, origin, receive)
        except BodyError as err:
            await async_send_response(send, self._close_if_stopping(problem_response(err.problem)))
            return
        except UnsupportedJobError as err:
            await async_send_response(
                send, self._close_if_stopping(_problem(503, RefusalReason.INVALID, str(err)))
            )
            return
        except WireError as err:
            await async_send_response(
                send, self._close_if_stopping(_problem(400, RefusalReason.INVALID, str(err)))
            )
            return
        answer: JobAnswer | None = None
        async with trio.open_nursery() as nursery:

            async def async_watch_disconnect() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                nursery.cancel_scope.cancel()

            nursery.start_soon(async_watch_disconnect)
            answer = await self._jobs.async_run(request, match.routed.settings)
            nursery.cancel_scope.cancel()
        # The server reports a disconnect once the response is sent, which would cancel the rest of
        # the sending, so the watcher has to end first.
        if answer is not None:
            await async_send_response(send, self._close_if_stopping(_job_response(answer)))


async def _async_read_job(
    match: RouteMatch, headers: dict[bytes, str], origin: RequestOrigin, receive: Receive
) -> JobRequest:
    """Return the job of a request, whose body is not held any longer."""
    body = await async_read_body(receive, MAX_JOB_BODY_BYTES)
    return evolve(_build_job_request(match, headers, body), origin=origin)


def _build_job_request(match: RouteMatch, headers: dict[bytes, str], body: bytes) -> JobRequest:
    if not JOB_ID_PATTERN.fullmatch(match.path_suffix):
        raise WireError("path: expected an id of 16 lower-case hexadecimal digits after the prefix")
    job = decode_job(body)
    deadline_s = _parse_deadline_s(headers.get(HEADER_DEADLINE_MS.encode(), ""))
    routed = match.routed
    return JobRequest(routed.member, routed.job, job.tasks, deadline_s, key=match.path_suffix)


def _parse_deadline_s(text: str) -> float:
    """Return the deadline in seconds from a header value, 0 if it is missing or invalid."""
    if not text.isascii() or not text.isdigit():
        return 0.0
    digits = text.lstrip("0") or "0"
    if len(digits) > len(str(MAX_DEADLINE_MS)):
        return MAX_DEADLINE_MS / 1000
    return min(int(digits), MAX_DEADLINE_MS) / 1000


def _job_response(answer: JobAnswer) -> Response:
    if answer.state == JobState.COMPLETE:
        return json_response({"state": "completed"})
    assert answer.reason is not None
    if answer.verdict == Verdict.NOT_RUN:
        return _problem(503, answer.reason, answer.detail, answer.retry_after_s)
    if answer.reason in FINAL_FAILURES:
        return json_response({"state": "failed", "detail": answer.detail})
    # Callers may send a best-effort job again after these statuses, as it may run more than once.
    status = 504 if answer.reason == RefusalReason.DEADLINE else 502
    return _problem(status, answer.reason, answer.detail, verdict=answer.verdict)


def _unknown_job() -> Response:
    return _problem(410, RefusalReason.UNKNOWN_ID, "no such job here")


def _problem(
    status: int,
    reason: RefusalReason,
    detail: str,
    retry_after_s: float = 0.0,
    verdict: Verdict = Verdict.NOT_RUN,
) -> Response:
    problem = Problem(status, reason, verdict, detail, retry_after_s=retry_after_s)
    return problem_response(problem)


def readiness_handler(ready: Callable[[], bool]) -> Callable[[Any], Awaitable[Response]]:
    """Return the handler for readiness checks of the platform's load balancer."""

    async def async_handle_ready(_request: Any) -> Response:
        return json_response({}, 200 if ready() else 503)

    return async_handle_ready
