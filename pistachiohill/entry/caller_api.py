"""HTTP interface for callers: identifiers, submissions, single requests and fairness."""

import base64
import binascii
from typing import Any

from .. import logs
from ..consortium.view import ConsortiumView
from ..const import MAX_JOB_TASKS, JobState
from ..errors import RefusalReason, Verdict
from ..http.app import Route, route
from ..http.models import (
    HttpError,
    Problem,
    Request,
    Response,
    invalid,
    json_response,
    parse_json_object,
    problem_response,
)
from ..settings.models import EntrySettings, JobSettings
from ..submissions.models import JobAnswer, JobRequest, TaskSpec
from .auth import authenticate_member
from .const import MAX_IDS_PER_REQUEST
from .fairness import FairnessReporter
from .submission_service import SubmissionService

HEADER_VERDICT = "verdict"
MAX_DURATION_S = 3600
NOT_RUN_STATUS: dict[RefusalReason, int] = {
    RefusalReason.CANCELLED: 409,
    RefusalReason.UNKNOWN_ID: 404,
    RefusalReason.EXPIRED_ID: 410,
    RefusalReason.DEADLINE: 504,
    RefusalReason.MEMBER_QUEUE: 429,
    RefusalReason.OWNER_LOST: 409,
}


class CallerApi:
    """HTTP routes for callers."""

    def __init__(
        self,
        settings: EntrySettings,
        view: ConsortiumView,
        submissions: SubmissionService,
        fairness: FairnessReporter,
    ) -> None:
        """Initialize the caller API."""
        self._settings = settings
        self._view = view
        self._submissions = submissions
        self._fairness = fairness

    def routes(self) -> list[Route]:
        """Return the routes of this interface."""
        return [
            route("POST", "/v1/submission-ids", self._async_post_ids),
            route("PUT", "/v1/submissions/{}", self._async_put),
            route("GET", "/v1/submissions/{}", self._async_get),
            route("DELETE", "/v1/submissions/{}", self._async_delete),
            route("POST", "/v1/jobs/{}/requests", self._async_request),
            route("GET", "/v1/fairness", self._async_fairness),
        ]

    async def _async_post_ids(self, request: Request) -> Response:
        member = self._authenticate(request)
        value = parse_json_object(request.body or b"{}")
        count = value.get("count", 1)
        if type(count) is not int or not 1 <= count <= MAX_IDS_PER_REQUEST:
            raise invalid("count", f"expected an integer from 1 to {MAX_IDS_PER_REQUEST}")
        if not self._submissions.ready:
            detail = "this entry is stopping"
            raise HttpError(
                Problem(503, RefusalReason.STOPPING, Verdict.NOT_RUN, detail, retry_after_s=1.0)
            )
        service = ""
        if "job" in value:
            _, settings = self._read_job(member, value["job"])
            service = settings.service
        ids = await self._submissions.async_ids(member, count, service)
        return json_response({"ids": ids, "usable_s": self._settings.submission_ttl_s}, 201)

    async def _async_put(self, request: Request) -> Response:
        member = self._authenticate(request)
        value = parse_json_object(request.body)
        job, settings = self._read_job(member, value.get("job"))
        wait_s = self._read_wait_s(value.get("wait_s", self._settings.max_wait_s))
        job_request = JobRequest(
            member,
            job,
            _read_tasks(value, settings),
            _read_number("deadline_s", value.get("deadline_s", 0.0)),
        )
        answer = await self._submissions.async_put(request.path_values[0], job_request, wait_s)
        return answer_response(request.path_values[0], answer)

    async def _async_get(self, request: Request) -> Response:
        member = self._authenticate(request)
        wait_s = self._read_wait_s(_read_query_number(request, "wait_s", 0.0))
        submission_id = request.path_values[0]
        answer = await self._submissions.async_get(submission_id, member, wait_s)
        return answer_response(submission_id, answer)

    async def _async_delete(self, request: Request) -> Response:
        member = self._authenticate(request)
        submission_id = request.path_values[0]
        answer = await self._submissions.async_cancel(submission_id, member)
        return answer_response(submission_id, answer)

    async def _async_request(self, request: Request) -> Response:
        """Run one task; retry a failed one only if it is idempotent, since it may have run."""
        member = self._authenticate(request)
        job, settings = self._read_job(member, request.path_values[0])
        if len(request.body) > settings.max_payload_bytes:
            raise invalid("body", f"more than {settings.max_payload_bytes} bytes", 413)
        idempotent = _read_flag(request, "idempotent", settings.idempotent)
        timeout_s = _read_query_number(request, "timeout_s", settings.deadline_s)
        timeout_s = min(timeout_s or settings.deadline_s, settings.deadline_s)
        job_request = JobRequest(member, job, (TaskSpec(request.body),), timeout_s)
        attempts = settings.max_request_attempts if idempotent else 1
        for attempt in range(1, attempts + 1):
            (submission_id,) = await self._submissions.async_ids(member, 1, settings.service)
            answer = await self._submissions.async_put(submission_id, job_request, timeout_s + 1.0)
            if answer.state == JobState.COMPLETE:
                headers = {HEADER_VERDICT: str(answer.verdict)}
                return Response(200, answer.bodies[0], "application/octet-stream", headers)
            if answer.reason == RefusalReason.DEADLINE:
                break
            logs.event("request_failed", submission=submission_id, attempt=attempt)
        return answer_response(submission_id, answer)

    async def _async_fairness(self, request: Request) -> Response:
        member = self._authenticate(request)
        return json_response(await self._fairness.async_report(member))

    def _authenticate(self, request: Request) -> str:
        if not self._submissions.loaded:
            detail = "this entry is not ready"
            raise HttpError(
                Problem(503, RefusalReason.STOPPING, Verdict.NOT_RUN, detail, retry_after_s=1.0)
            )
        return authenticate_member(self._view.state, request.headers)

    def _read_job(self, member: str, job: object) -> tuple[str, JobSettings]:
        path = f"consortium/{member}/{job}"
        if not isinstance(job, str) or not self._view.state.has_node(path):
            raise invalid(
                "job", "this member has no such job", 404 if isinstance(job, str) else 400
            )
        return job, self._view.state.settings(path)

    def _read_wait_s(self, value: object) -> float:
        return min(_read_number("wait_s", value), self._settings.max_wait_s)


def answer_response(submission_id: str, answer: JobAnswer) -> Response:
    """Return the HTTP response to a job's answer."""
    if answer.state == JobState.FAILED:
        assert answer.reason is not None
        return problem_response(
            Problem(
                failed_status(answer),
                answer.reason,
                answer.verdict,
                answer.detail,
                retry_after_s=answer.retry_after_s,
            )
        )
    value: dict[str, Any] = {
        "id": submission_id,
        "state": str(answer.state),
        "tasks": answer.task_count,
        "settled": answer.settled_tasks,
    }
    if answer.state == JobState.RUNNING:
        return json_response(value, 202)
    value["verdict"] = str(answer.verdict)
    value["results_base64"] = [base64.b64encode(body).decode() for body in answer.bodies]
    return json_response(value)


def failed_status(answer: JobAnswer) -> int:
    """Return the HTTP status of a failed job.

    502 if it ran, 504 if it may have run; otherwise 4xx, 503, or 504 past its deadline. An expired
    submission id is always 410.
    """
    if answer.reason == RefusalReason.EXPIRED_ID:
        return 410
    if answer.verdict == Verdict.RAN:
        return 502
    if answer.verdict == Verdict.MAY_HAVE_RUN:
        return 504
    assert answer.reason is not None
    return NOT_RUN_STATUS.get(answer.reason, 503)


def _read_tasks(value: dict[str, Any], settings: JobSettings) -> tuple[TaskSpec, ...]:
    tasks = value.get("tasks")
    limit = min(settings.max_tasks, MAX_JOB_TASKS)
    if not isinstance(tasks, list) or not 1 <= len(tasks) <= limit:
        raise invalid("tasks", f"expected a list of 1 to {limit} tasks")
    return tuple(TaskSpec(_read_task(index, task, settings)) for index, task in enumerate(tasks))


def _read_task(index: int, task: object, settings: JobSettings) -> bytes:
    if not isinstance(task, dict):
        raise invalid(f"tasks[{index}]", "expected an object")
    if isinstance(text := task.get("payload"), str):
        payload = text.encode(errors="surrogatepass")
    else:
        payload = _read_base64(index, task.get("payload_base64"))
    if len(payload) > settings.max_payload_bytes:
        raise invalid(f"tasks[{index}]", f"more than {settings.max_payload_bytes} bytes")
    return payload


def _read_base64(index: int, value: object) -> bytes:
    if not isinstance(value, str):
        raise invalid(f"tasks[{index}]", "expected payload or payload_base64")
    try:
        return base64.b64decode(value, validate=True)
    except (binascii.Error, ValueError) as err:
        raise invalid(f"tasks[{index}].payload_base64", str(err)) from err


def _read_number(name: str, value: object) -> float:
    """Return a number of seconds; NaN and infinities fail the range check."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise invalid(name, "expected a number of seconds")
    if not 0 <= value <= MAX_DURATION_S:
        raise invalid(name, f"expected 0 to {MAX_DURATION_S} seconds")
    return float(value)


def _read_query_number(request: Request, name: str, default: float) -> float:
    try:
        value = float(request.query.get(name, default))
    except ValueError as err:
        raise invalid(name, "expected a number of seconds") from err
    return _read_number(name, value)


def _read_flag(request: Request, name: str, default: bool) -> bool:
    text = request.query.get(name, str(default)).lower()
    if text not in ("true", "false"):
        raise invalid(name, "expected true or false")
    return text == "true"
