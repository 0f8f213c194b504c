"""Jobs API on its own: request bodies, responses and callers that disconnect."""

import json
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import trio

from pistachiohill.consortium.view import ConsortiumView
from pistachiohill.const import JobState
from pistachiohill.entry.job_cancels import JobCancels
from pistachiohill.entry.routes import RouteTable
from pistachiohill.errors import RefusalReason, Verdict
from pistachiohill.platform.jobs_api import JobsApi, UnsupportedJobError, decode_job
from pistachiohill.platform.models import KeyedPage, KeyedRecord
from pistachiohill.platform.operators import apply_page
from pistachiohill.scheduling.models import Demand
from pistachiohill.submissions.models import JobAnswer, JobRequest, failed_answer, refused_answer

from ..base import TestCase
from ..entry.test_job_cancels import FakePeers
from .test_manifest import ROUTE, manifest

PATH = "/lohu930/5c0e7a21d94b36f8"
JOB: dict[str, Any] = {
    "spec": "späc",
    "bestEffort": True,
    "steps": [{"count": 3, "cpu": 500, "memMb": 256, "estDurationMs": 900}],
}
COMPLETE = JobAnswer(JobState.COMPLETE, Verdict.RAN, 3, 3)


class StubJobs:
    """Returns the same answer for every job after a delay, and counts cancelled jobs."""

    def __init__(self, answer: JobAnswer, delay_s: float = 0.0) -> None:
        self.answer = answer
        self.delay_s = delay_s
        self.stopping = False
        self.requests: list[JobRequest] = []
        self.cancelled = 0

    async def async_run(self, request: JobRequest, settings: object) -> JobAnswer:
        self.requests.append(request)
        try:
            await trio.sleep(self.delay_s)
        except trio.Cancelled:
            self.cancelled += 1
            raise
        return self.answer

    def find(self, key: str) -> object | None:
        return object() if key == "running0" else None

    def cancel(self, key: str) -> bool:
        return key == "running0"

    def pending(self, member: str, job: str) -> int:
        return 7


class Caller:
    """One ASGI request; as with the real server, a sent response is followed by a disconnect."""

    def __init__(self, method: str, path: str, body: Any, headers: dict[str, str]) -> None:
        self.scope = {
            "type": "http",
            "method": method,
            "path": path,
            "headers": [(k.encode(), v.encode()) for k, v in headers.items()],
        }
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self._events: list[dict[str, Any]] = [{"type": "http.request", "body": data}]
        self._disconnected = trio.Event()
        self.status = 0
        self.headers: dict[str, str] = {}
        self.value: dict[str, Any] = {}
        self.sent_completely = False

    async def async_receive(self) -> dict[str, Any]:
        if self._events:
            return self._events.pop(0)
        await self._disconnected.wait()
        return {"type": "http.disconnect"}

    async def async_send(self, event: dict[str, Any]) -> None:
        if event["type"] == "http.response.start":
            self.status = event["status"]
            self.headers = {k.decode(): v.decode() for k, v in event["headers"]}
            return
        self.value = json.loads(event["body"])
        self._disconnected.set()
        await trio.sleep(0.02)
        self.sent_completely = True

    def disconnect(self) -> None:
        self._disconnected.set()


def make_api(jobs: StubJobs, manifest_loaded: bool = True) -> JobsApi:
    view = ConsortiumView()
    if manifest_loaded:
        record = KeyedRecord(0, "config", manifest(1, ROUTE))
        apply_page(view, KeyedPage((record,), 1), is_snapshot=True, now_s=0.0)
    startup: Any = SimpleNamespace(manifest_known=manifest_loaded, done=True)
    cancels = JobCancels(FakePeers({}))  # type: ignore[arg-type]
    return JobsApi(RouteTable(view), jobs, startup, cancels)  # type: ignore[arg-type]


async def async_call(
    app: JobsApi, method: str = "POST", path: str = PATH, body: Any = JOB, **headers: str
) -> Caller:
    all_headers = {
        "host": "nony24.example:80",
        **{k.replace("_", "-"): v for k, v in headers.items()},
    }
    caller = Caller(method, path, body, all_headers)
    await app(caller.scope, caller.async_receive, caller.async_send)
    return caller


class DecodeJobTest(TestCase):
    def test_tasks_share_the_spec_and_the_demand_of_the_step(self) -> None:
        job = decode_job(json.dumps(JOB).encode())
        self.assertEqual(3, len(job.tasks))
        task = job.tasks[0]
        self.assertEqual(
            ("späc".encode(), Demand(500, 256), 0.9), (task.payload, task.demand, task.declared_s)
        )

    def test_error_names_the_unsupported_feature(self) -> None:
        step = JOB["steps"][0]
        for change, name in (
            ({"bestEffort": False}, "not best-effort"),
            ({"longRunning": True}, "longRunning"),
            ({"repeatCount": 3}, "repeatCount"),
            ({"steps": [step, step]}, "several steps"),
            ({"steps": [{**step, "gang": True}]}, "gang"),
            ({"steps": [{**step, "requires": "b"}]}, "requires"),
            ({"steps": [{**step, "gpu": 1}]}, "gpu"),
        ):
            body = json.dumps({**JOB, **change}).encode()
            error = self.assertRaises(UnsupportedJobError, decode_job, body)
            self.assertIn(name, str(error))

    def test_job_without_a_spec_has_an_empty_one(self) -> None:
        """Fields that are empty are left out."""
        body = json.dumps({name: JOB[name] for name in ("bestEffort", "steps")}).encode()
        self.assertEqual(b"", decode_job(body).tasks[0].payload)

    def test_false_and_empty_fields_count_as_missing(self) -> None:
        step = {**JOB["steps"][0], "gang": False, "dependsOn": [], "antiAffinity": 0, "new": 1}
        body = json.dumps({**JOB, "steps": [step], "longRunning": False}).encode()
        self.assertEqual(3, len(decode_job(body).tasks))


class JobsApiTest(TestCase):
    async def test_responses_to_job_answers(self) -> None:
        cases: list[tuple[JobAnswer, int, Callable[[Caller], object], object]] = [
            (COMPLETE, 200, lambda c: c.value["state"], "completed"),
            (
                failed_answer(RefusalReason.TARGET_FAILED, Verdict.RAN, "x", 3, 3),
                200,
                lambda c: c.value["state"],
                "failed",
            ),
            (
                failed_answer(RefusalReason.STOPPING, Verdict.RAN, "x", 3, 1),
                502,
                lambda c: c.value["verdict"],
                "ran",
            ),
            (
                failed_answer(RefusalReason.DEADLINE, Verdict.RAN, "x", 3, 1),
                504,
                lambda c: c.value["verdict"],
                "ran",
            ),
            (
                failed_answer(RefusalReason.TOO_MANY_RESTARTS, Verdict.MAY_HAVE_RUN, "x", 3, 1),
                502,
                lambda c: c.value["verdict"],
                "may_have_run",
            ),
            (
                refused_answer(RefusalReason.OVERLOAD, "x", 2.0),
                503,
                lambda c: (c.value["verdict"], c.headers["retry-after"]),
                ("not_run", "2"),
            ),
        ]
        for answer, status, read, expected in cases:
            caller = await async_call(make_api(StubJobs(answer)))
            self.assertEqual((status, expected), (caller.status, read(caller)))

    async def test_job_request_is_passed_on(self) -> None:
        jobs = StubJobs(COMPLETE)
        await async_call(make_api(jobs), x_deadline_ms="2500")
        (request,) = jobs.requests
        self.assertEqual(
            ("nony24.example", "r-1", "5c0e7a21d94b36f8", 2.5, 3),
            (request.member, request.job, request.key, request.deadline_s, len(request.tasks)),
        )
        for text in ("", "-5", "1e9", "²"):
            await async_call(make_api(jobs), x_deadline_ms=text)
            self.assertEqual(0.0, jobs.requests[-1].deadline_s)

    async def test_response_is_complete_although_the_server_reports_a_disconnect(
        self,
    ) -> None:
        for delay_s in (0.0, 0.05):
            caller = await async_call(make_api(StubJobs(COMPLETE, delay_s)))
            self.assertTrue(caller.sent_completely)

    async def test_job_is_cancelled_when_its_caller_disconnects(self) -> None:
        jobs = StubJobs(COMPLETE, 5.0)
        headers = {"host": "nony24.example"}
        caller = Caller("POST", PATH, JOB, headers)
        with trio.fail_after(1.0):
            async with trio.open_nursery() as nursery:
                app = make_api(jobs)
                nursery.start_soon(app, caller.scope, caller.async_receive, caller.async_send)
                await trio.sleep(0.05)
                caller.disconnect()
        self.assertEqual((1, 0), (jobs.cancelled, caller.status))

    async def test_job_states_pending_count_and_error_statuses(self) -> None:
        app = make_api(StubJobs(COMPLETE))
        for method, path, status, value in (
            ("GET", "/lohu930/", 200, {"pending": 7}),
            ("GET", "/lohu930/running0", 200, {"state": "running"}),
            ("DELETE", "/lohu930/running0", 200, {}),
            ("GET", PATH, 410, None),
            ("DELETE", PATH, 410, None),
            ("GET", "/other/", 404, None),
            ("PUT", PATH, 405, None),
        ):
            caller = await async_call(app, method, path)
            self.assertEqual(status, caller.status, (method, path))
            if value is not None:
                self.assertEqual(value, caller.value)
        unloaded = await async_call(make_api(StubJobs(COMPLETE), manifest_loaded=False))
        self.assertEqual(503, unloaded.status)

    async def test_stopping_entry_closes_the_connection_after_its_response(self) -> None:
        jobs = StubJobs(COMPLETE)
        self.assertNotIn("connection", (await async_call(make_api(jobs))).headers)
        jobs.stopping = True
        self.assertEqual("close", (await async_call(make_api(jobs))).headers["connection"])
