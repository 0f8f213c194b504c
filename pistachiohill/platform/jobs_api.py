"""The callers' interface on the platform: jobs by host, path prefix and the caller's own id."""

import re
from collections.abc import Awaitable, Callable
from typing import Any

import trio
from attrs import evolve

from .. import logs
from ..const import JobState
from ..entry.best_effort import BestEffortJobs
from ..entry.routes import RouteMatch, RouteTable
from ..errors import RefusalReason, Verdict
from ..http.models import Problem, Response, json_response, problem_response
from ..http.server import (
    BodyError,
    Scope,
    async_handle_lifespan,
    async_read_body,
    async_send_response,
)
from ..scheduling.models import Demand
from ..submissions.models import JobAnswer, JobRequest, TaskSpec
from .const import HEADER_DEADLINE_MS, MAX_JOB_BODY_BYTES, MAX_SPEC_BYTES, MAX_STEP_TASKS
from .errors import WireError
from .models import JobBody
from .wire import Fields, as_object, read_bool, read_int, read_list, read_object, read_str

JOB_ID = re.compile(r"[0-9a-f]{16}", re.ASCII)
MAX_DEADLINE_MS = 3_600_000
# Shapes of jobs that are refused before anything of them starts.
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
UNSUPPORTED_JOB_FIELDS = ("longRunning", "repeatCount")

Receive = Callable[[], Awaitable[Scope]]
Send = Callable[[Scope], Awaitable[None]]


class UnsupportedShapeError(WireError):
    """Raised for a job of a shape that this version does not run."""


def decode_job(body: bytes) -> JobBody:
    """Return a submitted job; raise WireError when it can't be read or is of an unknown shape."""
    fields = read_object(body)
    spec = read_str(fields, "spec").encode(errors="surrogatepass")
    if len(spec) > MAX_SPEC_BYTES:
        raise WireError(f"spec: more than {MAX_SPEC_BYTES} bytes")
    steps = read_list(fields, "steps")
    if not steps:
        raise WireError("steps: expected a step")
    unsupported = [name for name in UNSUPPORTED_JOB_FIELDS if fields.get(name)]
    if unsupported or not read_bool(fields, "bestEffort", False):
        raise UnsupportedShapeError(f"unsupported: {', '.join(unsupported) or 'jobs to be kept'}")
    if len(steps) > 1:
        raise UnsupportedShapeError("unsupported: jobs of several steps")
    return JobBody(_decode_step(as_object(steps[0], "steps"), spec))


def _decode_step(fields: Fields, spec: bytes) -> tuple[TaskSpec, ...]:
    unsupported = [name for name in UNSUPPORTED_STEP_FIELDS if fields.get(name)]
    if unsupported or fields.get("gpu"):
        raise UnsupportedShapeError(f"unsupported: {', '.join(unsupported) or 'gpu'}")
    count = read_int(fields, "count", minimum=1)
    if count > MAX_STEP_TASKS:
        raise WireError(f"count: more than {MAX_STEP_TASKS}")
    demand = Demand(read_int(fields, "cpu", 0), read_int(fields, "memMb", 0))
    declared_s = read_int(fields, "estDurationMs", 0) / 1000
    return (TaskSpec(spec, demand, declared_s),) * count


class JobsApi:
    """An ASGI application that answers callers of the platform."""

    def __init__(
        self, routes: RouteTable, jobs: BestEffortJobs, loaded: Callable[[], bool]
    ) -> None:
        """Keep the parts; `loaded` tells whether a manifest is known."""
        self._routes = routes
        self._jobs = jobs
        self._loaded = loaded

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request; a caller that leaves ends its job."""
        if scope["type"] != "http":
            await async_handle_lifespan(scope, receive, send)
            return
        try:
            await self._async_answer(scope, receive, send)
        except Exception as err:
            logs.exception("handler_failed", err, path=scope["path"])
            raise

    def _final(self, response: Response) -> Response:
        """Return a response that ends its connection when this entry is about to stop.

        A caller's next request then comes on a new connection, which the balancer sends elsewhere.
        """
        if not self._jobs.stopping:
            return response
        return evolve(response, headers={**response.headers, "connection": "close"})

    async def _async_answer(self, scope: Scope, receive: Receive, send: Send) -> None:
        headers = {name: value.decode("latin-1") for name, value in scope["headers"]}
        host = headers.get(b"host", "").partition(":")[0]
        match = self._routes.find(host, scope["path"])
        if match is None:
            await async_send_response(send, self._final(self._no_route()))
            return
        method = scope["method"]
        if method == "POST":
            await self._async_post(match, headers, receive, send)
            return
        response = self._answer_short(method, match)
        await async_send_response(send, self._final(response))

    def _no_route(self) -> Response:
        if self._loaded():
            return _problem(404, RefusalReason.UNKNOWN_ID, "no such queue")
        return _problem(503, RefusalReason.STALE_VIEW, "no manifest is known yet", 1.0)

    def _answer_short(self, method: str, match: RouteMatch) -> Response:
        """Answer a request that needs no wait."""
        if method == "GET" and not match.path_suffix:
            return json_response(
                {"pending": self._jobs.pending(match.routed.member, match.routed.job)}
            )
        if method not in ("GET", "DELETE"):
            return _problem(405, RefusalReason.INVALID, "allowed: GET, POST, DELETE")
        if method == "GET" and self._jobs.find(match.path_suffix) is not None:
            return json_response({"state": "running"})
        if method == "DELETE" and self._jobs.cancel(match.path_suffix):
            return json_response({})
        return _problem(410, RefusalReason.UNKNOWN_ID, "no such job here")

    async def _async_post(
        self, match: RouteMatch, headers: dict[bytes, str], receive: Receive, send: Send
    ) -> None:
        try:
            request = _job_request(
                match, headers, await async_read_body(receive, MAX_JOB_BODY_BYTES)
            )
        except BodyError as err:
            await async_send_response(send, self._final(problem_response(err.problem)))
            return
        except UnsupportedShapeError as err:
            await async_send_response(
                send, self._final(_problem(503, RefusalReason.INVALID, str(err)))
            )
            return
        except WireError as err:
            await async_send_response(
                send, self._final(_problem(400, RefusalReason.INVALID, str(err)))
            )
            return
        answer: JobAnswer | None = None
        async with trio.open_nursery() as nursery:

            async def async_watch() -> None:
                while (await receive())["type"] != "http.disconnect":
                    pass
                nursery.cancel_scope.cancel()

            nursery.start_soon(async_watch)
            answer = await self._jobs.async_run(request, match.routed.settings)
            nursery.cancel_scope.cancel()
        # The server counts a sent answer as the end of the caller's interest, so the watch must
        # have ended by then.
        if answer is not None:
            await async_send_response(send, self._final(_answer_response(answer)))


def _job_request(match: RouteMatch, headers: dict[bytes, str], body: bytes) -> JobRequest:
    if not JOB_ID.fullmatch(match.path_suffix):
        raise WireError("expected an id of 16 hexadecimal digits behind the prefix")
    job = decode_job(body)
    deadline_s = _deadline_s(headers.get(HEADER_DEADLINE_MS.encode(), ""))
    routed = match.routed
    return JobRequest(routed.member, routed.job, job.tasks, deadline_s, key=match.path_suffix)


def _deadline_s(text: str) -> float:
    """Return how long the caller waits, 0 where it does not say."""
    if not text.isascii() or not text.isdigit():
        return 0.0
    return min(int(text), MAX_DEADLINE_MS) / 1000


def _answer_response(answer: JobAnswer) -> Response:
    if answer.state == JobState.COMPLETE:
        return json_response({"state": "completed"})
    if answer.verdict != Verdict.NOT_RUN and answer.reason == RefusalReason.STOPPING:
        # Callers send a job again after this status, and best-effort jobs may run again.
        return _problem(502, answer.reason, answer.detail, verdict=answer.verdict)
    if answer.verdict != Verdict.NOT_RUN:
        return json_response({"state": "failed", "detail": answer.detail})
    assert answer.reason is not None
    return _problem(503, answer.reason, answer.detail, answer.retry_after_s)


def _problem(
    status: int,
    reason: RefusalReason,
    detail: str,
    retry_after_s: float = 0.0,
    verdict: Verdict = Verdict.NOT_RUN,
) -> Response:
    problem = Problem(status, reason, verdict, detail, retry_after_s=retry_after_s)
    return problem_response(problem)


def ready_route(ready: Callable[[], bool]) -> Callable[[Any], Awaitable[Response]]:
    """Return the handler by which the platform's balancer asks whether to send new callers."""

    async def async_ready(_request: Any) -> Response:
        return json_response({}, 200 if ready() else 503)

    return async_ready
