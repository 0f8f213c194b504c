"""Tests for the maximum time that a job waits for a first target, and for refusals."""

import math
from typing import Any

from attrs import define, evolve

from pistachiohill.entry.admission import Admission
from pistachiohill.entry.forecast import Forecast
from pistachiohill.errors import RefusalReason, Verdict
from pistachiohill.http.models import Problem, problem_response
from pistachiohill.scheduling.urgency import MAX_LATENCY_FACTOR, Urgency
from pistachiohill.settings.models import JobSettings
from pistachiohill.submissions.models import JobRequest, TaskSpec

from ..base import TestCase

RUN_S = 0.5
REQUEST = JobRequest("lofts", "stamp", (TaskSpec(b""),), deadline_s=8.0)


@define
class StubWaiting:
    """Stub queues that expect the same run time for every job."""

    def longest_run_s(self, request: JobRequest) -> float:
        return RUN_S

    def has_target(self, service: str) -> bool:
        return True

    def forecast(self, *args: Any) -> Forecast:
        """Forecast a late end, and none for the class of late jobs."""
        return Forecast(math.inf if Urgency.LATE in args else 100.0, RUN_S)


class MaxTargetWaitTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.admission = Admission(StubWaiting())  # type: ignore[arg-type]

    def test_latency_goal_limits_the_wait(self) -> None:
        settings = JobSettings(slack_factor=1.6, target_latency_s=0.06)
        latency_goal_s = 1.6 * RUN_S + 0.06
        expected_s = MAX_LATENCY_FACTOR * latency_goal_s - RUN_S
        self.assertAlmostEqual(expected_s, self.admission.max_target_wait_s(REQUEST, settings))

    def test_deadline_limits_the_wait_without_a_latency_goal(self) -> None:
        wait_s = self.admission.max_target_wait_s(REQUEST, JobSettings())
        self.assertAlmostEqual(REQUEST.deadline_s - RUN_S, wait_s)

    def test_job_with_a_short_deadline_does_not_wait(self) -> None:
        request = JobRequest("lofts", "stamp", REQUEST.tasks, deadline_s=0.3)
        self.assertEqual(0.0, self.admission.max_target_wait_s(request, JobSettings()))


class RefusalTest(TestCase):
    def test_refusal_with_an_unlimited_wait_can_be_sent(self) -> None:
        """Another entry's answer may hold any number."""
        for retry_after_s in (math.inf, 1e300, math.nan):
            problem = Problem(503, RefusalReason.OVERLOAD, Verdict.NOT_RUN, "x")
            response = problem_response(evolve(problem, retry_after_s=retry_after_s))
            self.assertLessEqual(int(response.headers.get("retry-after", "0")), 3601)
            self.assertNotIn(b"Infinity", response.body)

    def test_refusal_of_a_late_job_without_a_forecast_can_be_sent(self) -> None:
        """An infinite Retry-After can't be written, and the connection was closed without it."""
        admission = Admission(StubWaiting())  # type: ignore[arg-type]
        settings = JobSettings(slack_factor=1.6, target_latency_s=0.06)
        answer = admission.check(REQUEST, settings, 0.0)
        assert answer is not None
        problem = Problem(503, RefusalReason.OVERLOAD, Verdict.NOT_RUN, answer.detail)
        self.assertTrue(math.isfinite(answer.retry_after_s))
        response = problem_response(evolve(problem, retry_after_s=answer.retry_after_s))
        self.assertEqual("2", response.headers["retry-after"])
