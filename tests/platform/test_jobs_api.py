"""The callers' interface by itself: bodies, answers, and what a caller's leaving does."""

import json
from collections.abc import Callable
from typing import Any

import trio

from pistachiohill.consortium.view import ConsortiumView
from pistachiohill.const import JobState
from pistachiohill.entry.routes import RouteTable
from pistachiohill.errors import RefusalReason, Verdict
from pistachiohill.platform.jobs_api import JobsApi, UnsupportedShapeError, decode_job
from pistachiohill.platform.models import KeyedPage, KeyedRecord
from pistachiohill.platform.operators import apply_page
from pistachiohill.scheduling.models import Demand
from pistachiohill.submissions.models import JobAnswer, JobRequest, failed_answer, refused_answer

from ..base import TestCase
from .test_manifest import ROUTE, manifest

PATH = "/lohu930/5c0e7a21d94b36f8"
JOB: dict[str, Any] = {
    "spec": "späc",
    "bestEffort": True,
    "steps": [{"count": 3, "cpu": 500, "memMb": 256, "estDurationMs": 900}],
}
COMPLETE = JobAnswer(JobState.COMPLETE, Verdict.RAN, 3, 3)


class StubJobs:
    """Answers every job with one answer, after a time."""

    def __init__(self, answer: JobAnswer, delay_s: float = 0.0) -> None:
        self.answer = answer
        self.delay_s = delay_s
        self.stopping = False
        self.requests: list[JobRequest] = []
        self.left = 0

    async def async_run(self, request: JobRequest, settings: object) -> JobAnswer:
        self.requests.append(request)
        try:
            await trio.sleep(self.delay_s)
        except trio.Cancelled:
            self.left += 1
            raise
        return self.answer

    def find(self, key: str) -> object | None:
        return object() if key == "running0" else None

    def cancel(self, key: str) -> bool:
        return key == "running0"

    def pending(self, member: str, job: str) -> int:
        return 7


class Caller:
    """One request over ASGI; the server says that the caller left once it has an answer."""

    def __init__(self, method: str, path: str, body: Any, headers: dict[str, str]) -> None:
        self.scope = {
            "type": "http",
            "method": method,
            "path": path,
            "headers": [(k.encode(), v.encode()) for k, v in headers.items()],
        }
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self._events: list[dict[str, Any]] = [{"type": "http.request", "body": data}]
        self._answered = trio.Event()
        self.status = 0
        self.headers: dict[str, str] = {}
        self.value: dict[str, Any] = {}
        self.sent_whole = False

    async def async_receive(self) -> dict[str, Any]:
        if self._events:
            return self._events.pop(0)
        await self._answered.wait()
        return {"type": "http.disconnect"}

    async def async_send(self, event: dict[str, Any]) -> None:
        if event["type"] == "http.response.start":
            self.status = event["status"]
            self.headers = {k.decode(): v.decode() for k, v in event["headers"]}
            return
        self.value = json.loads(event["body"])
        self._answered.set()
        await trio.sleep(0.02)
        self.sent_whole = True

    def leave(self) -> None:
        self._answered.set()


def api(jobs: StubJobs, loaded: bool = True) -> JobsApi:
    view = ConsortiumView()
    if loaded:
        record = KeyedRecord(0, "config", manifest(1, ROUTE))
        apply_page(view, KeyedPage((record,), 1), whole=True)
    return JobsApi(RouteTable(view), jobs, lambda: loaded)  # type: ignore[arg-type]


async def async_call(
    app: JobsApi, method: str = "POST", path: str = PATH, body: Any = JOB, **headers: str
) -> Caller:
    given = {"host": "nony24.example:80", **{k.replace("_", "-"): v for k, v in headers.items()}}
    caller = Caller(method, path, body, given)
    await app(caller.scope, caller.async_receive, caller.async_send)
    return caller


class DecodeJobTest(TestCase):
    def test_tasks_share_the_spec_and_the_steps_size(self) -> None:
        job = decode_job(json.dumps(JOB).encode())
        self.assertEqual(3, len(job.tasks))
        task = job.tasks[0]
        self.assertEqual(
            ("späc".encode(), Demand(500, 256), 0.9), (task.payload, task.demand, task.declared_s)
        )

    def test_shapes_that_are_not_run_are_named(self) -> None:
        step = JOB["steps"][0]
        for change, name in (
            ({"bestEffort": False}, "kept"),
            ({"longRunning": True}, "longRunning"),
            ({"repeatCount": 3}, "repeatCount"),
            ({"steps": [step, step]}, "several steps"),
            ({"steps": [{**step, "gang": True}]}, "gang"),
            ({"steps": [{**step, "requires": "b"}]}, "requires"),
            ({"steps": [{**step, "gpu": 1}]}, "gpu"),
        ):
            body = json.dumps({**JOB, **change}).encode()
            error = self.assertRaises(UnsupportedShapeError, decode_job, body)
            self.assertIn(name, str(error))

    def test_fields_that_are_false_or_empty_count_as_left_out(self) -> None:
        step = {**JOB["steps"][0], "gang": False, "dependsOn": [], "antiAffinity": 0, "new": 1}
        body = json.dumps({**JOB, "steps": [step], "longRunning": False}).encode()
        self.assertEqual(3, len(decode_job(body).tasks))


class JobsApiTest(TestCase):
    async def test_answers(self) -> None:
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
                refused_answer(RefusalReason.OVERLOAD, "x", 2.0),
                503,
                lambda c: (c.value["verdict"], c.headers["retry-after"]),
                ("not_run", "2"),
            ),
        ]
        for answer, status, read, expected in cases:
            caller = await async_call(api(StubJobs(answer)))
            self.assertEqual((status, expected), (caller.status, read(caller)))

    async def test_the_request_is_passed_on(self) -> None:
        jobs = StubJobs(COMPLETE)
        await async_call(api(jobs), x_deadline_ms="2500")
        (request,) = jobs.requests
        self.assertEqual(
            ("nony24.example", "r-1", "5c0e7a21d94b36f8", 2.5, 3),
            (request.member, request.job, request.key, request.deadline_s, len(request.tasks)),
        )
        for text in ("", "-5", "1e9", "²"):
            await async_call(api(jobs), x_deadline_ms=text)
            self.assertEqual(0.0, jobs.requests[-1].deadline_s)

    async def test_an_answer_is_sent_whole_though_the_server_says_that_the_caller_left(
        self,
    ) -> None:
        for delay_s in (0.0, 0.05):
            caller = await async_call(api(StubJobs(COMPLETE, delay_s)))
            self.assertTrue(caller.sent_whole)

    async def test_a_caller_that_leaves_ends_its_job(self) -> None:
        jobs = StubJobs(COMPLETE, 5.0)
        headers = {"host": "nony24.example"}
        caller = Caller("POST", PATH, JOB, headers)
        with trio.fail_after(1.0):
            async with trio.open_nursery() as nursery:
                app = api(jobs)
                nursery.start_soon(app, caller.scope, caller.async_receive, caller.async_send)
                await trio.sleep(0.05)
                caller.leave()
        self.assertEqual((1, 0), (jobs.left, caller.status))

    async def test_states_counts_and_unknown_routes(self) -> None:
        app = api(StubJobs(COMPLETE))
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
        unloaded = await async_call(api(StubJobs(COMPLETE), loaded=False))
        self.assertEqual(503, unloaded.status)

    async def test_an_entry_that_stops_closes_each_channel_with_its_answer(self) -> None:
        jobs = StubJobs(COMPLETE)
        self.assertNotIn("connection", (await async_call(api(jobs))).headers)
        jobs.stopping = True
        self.assertEqual("close", (await async_call(api(jobs))).headers["connection"])
