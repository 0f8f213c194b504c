"""Tests for the maximum time that a job waits for a first target."""

from attrs import define

from pistachiohill.entry.admission import Admission
from pistachiohill.scheduling.urgency import MAX_LATENCY_FACTOR
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
