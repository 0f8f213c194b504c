"""Tests for jobs that arrive shortly after the start of an entry, before any agent is connected.

After a full outage, callers connect before the entry knows a target. Such jobs must wait for a
target instead of being refused at once.
"""

from typing import Any

import trio
import trio.testing
from attrs import define, evolve, field

from pistachiohill import clock
from pistachiohill.consortium.view import ConsortiumView
from pistachiohill.const import JobState
from pistachiohill.entry.accounting import Accounting
from pistachiohill.entry.best_effort import BestEffortJobs
from pistachiohill.entry.const import STARTUP_GRACE_S
from pistachiohill.entry.job_holders import JobHolders, Release
from pistachiohill.entry.late_starts import LateStartTable
from pistachiohill.entry.metrics import EntryMetrics
from pistachiohill.errors import RefusalReason, Verdict
from pistachiohill.http.origin import RequestOrigin
from pistachiohill.protocol.link import Link
from pistachiohill.settings.models import JobSettings
from pistachiohill.submissions.identifiers import IdIssuer
from pistachiohill.submissions.models import (
    JobAnswer,
    JobRequest,
    Submission,
    TaskSpec,
    refused_answer,
)

from ..base import TestCase

COMPLETE = JobAnswer(JobState.COMPLETE, Verdict.RAN, 1, 1)
SETTINGS = JobSettings(service="clocking")
REQUEST = JobRequest("lofts", "stamp", (TaskSpec(b""),), 2.0, key="5c0e7a21d94b36f8")


@define
class StubAdmission:
    """Refuses jobs while there is no target; a job may wait up to `wait_s` for a target.

    While `linking`, the targets that are known can't serve the job.
    """

    wait_s: float
    target: bool = False
    linking: bool = False

    def has_target(self, settings: JobSettings) -> bool:
        return self.target

    def should_wait(self, request: JobRequest, settings: JobSettings, now_s: float) -> bool:
        return not self.target or self.linking

    def max_target_wait_s(self, request: JobRequest, settings: JobSettings) -> float:
        return self.wait_s

    def check(self, *args: Any) -> JobAnswer | None:
        return None if self.target else refused_answer(RefusalReason.NO_TARGET, "no target", 1.0, 1)


@define
class StubDispatcher:
    """Completes every submission immediately."""

    submissions: dict[str, Submission] = field(factory=dict)
    submitted: list[Submission] = field(factory=list)

    def submit(self, submission: Submission, now_s: float) -> None:
        self.submitted.append(submission)
        self.submissions[submission.submission_id] = submission
        submission.answer = COMPLETE
        submission.done.set()


class PlacingDispatcher(StubDispatcher):
    """Places one task of every submission, whose end is not known until the test says so.

    `caller_is_there` is what callers whose channels it stands for do.
    """

    caller_is_there = True

    def has_caller_left(self) -> bool:
        return not self.caller_is_there

    def submit(self, submission: Submission, now_s: float) -> None:
        self.submitted.append(submission)
        submission.outstanding = 1

    def cancel(
        self,
        submission: Submission,
        now_s: float,
        reason: RefusalReason = RefusalReason.CANCELLED,
    ) -> None:
        submission.failure = reason


class NoLinks:
    """An entry that knows no other."""

    def find_link(self, incarnation: str) -> Link | None:
        return None

    def incarnations(self) -> set[str]:
        return set()


def make_jobs(
    admission: StubAdmission,
    age_s: float,
    dispatcher: StubDispatcher | None = None,
    late_starts: LateStartTable | None = None,
) -> tuple[BestEffortJobs, StubDispatcher]:
    """Return the jobs of an entry that started `age_s` ago, and its dispatcher."""
    dispatcher = dispatcher or StubDispatcher()
    jobs = BestEffortJobs(
        IdIssuer("0011223344556677"),
        ConsortiumView(),
        dispatcher,  # type: ignore[arg-type]
        admission,  # type: ignore[arg-type]
        Accounting(EntryMetrics()),
        clock.boot_s() - age_s,
        JobHolders(NoLinks()),
        late_starts or LateStartTable(),
    )
    return jobs, dispatcher


class StartupTest(TestCase):
    async def test_job_waits_for_the_first_target(self) -> None:
        admission = StubAdmission(wait_s=2.0)
        jobs, dispatcher = make_jobs(admission, age_s=0.0)
        answers: list[JobAnswer] = []

        async def async_request() -> None:
            answers.append(await jobs.async_run(REQUEST, SETTINGS))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(async_request)
            nursery.start_soon(async_request)  # the same key: both requests wait for one job
            await trio.sleep(0.2)
            self.assertEqual([], answers)
            admission.target = True
        self.assertEqual([COMPLETE, COMPLETE], answers)
        self.assertEqual(1, len(dispatcher.submitted))

    async def test_job_waits_while_too_few_targets_are_linked(self) -> None:
        admission = StubAdmission(wait_s=2.0, target=True, linking=True)
        jobs, dispatcher = make_jobs(admission, age_s=0.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(jobs.async_run, REQUEST, SETTINGS)
            await trio.sleep(0.2)
            self.assertEqual([], dispatcher.submitted)
            admission.linking = False
        self.assertEqual(1, len(dispatcher.submitted))

    async def test_wait_counts_towards_the_deadline(self) -> None:
        admission = StubAdmission(wait_s=2.0)
        jobs, dispatcher = make_jobs(admission, age_s=0.0)
        requested_at_s = clock.boot_s()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(jobs.async_run, REQUEST, SETTINGS)
            await trio.sleep(0.3)
            admission.target = True
        self.assertLess(
            dispatcher.submitted[0].deadline_s, requested_at_s + REQUEST.deadline_s + 0.05
        )

    async def test_job_without_a_target_is_refused_as_not_run(self) -> None:
        jobs, _ = make_jobs(StubAdmission(wait_s=0.1), age_s=0.0)
        with trio.fail_after(1.0):
            answer = await jobs.async_run(REQUEST, SETTINGS)
        self.assertEqual(
            (Verdict.NOT_RUN, RefusalReason.NO_TARGET), (answer.verdict, answer.reason)
        )

    async def test_job_is_refused_at_once_after_the_startup_grace(self) -> None:
        jobs, _ = make_jobs(StubAdmission(wait_s=5.0), age_s=STARTUP_GRACE_S)
        with trio.fail_after(0.05):
            answer = await jobs.async_run(REQUEST, SETTINGS)
        self.assertEqual(RefusalReason.NO_TARGET, answer.reason)


class ResentJobTest(TestCase):
    async def _async_leave(self, jobs: BestEffortJobs) -> None:
        """Send a job and leave before it has ended."""
        with trio.move_on_after(0.05):
            await jobs.async_run(REQUEST, SETTINGS)

    async def test_job_that_is_sent_again_waits_until_its_earlier_run_has_ended(self) -> None:
        dispatcher = PlacingDispatcher()
        jobs, _ = make_jobs(StubAdmission(0.0, target=True), 60.0, dispatcher)
        await self._async_leave(jobs)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(jobs.async_run, REQUEST, SETTINGS)
            await trio.sleep(0.1)
            self.assertEqual(1, len(dispatcher.submitted))
            dispatcher.submitted[0].outstanding = 0
            await trio.sleep(0.1)
            self.assertEqual(2, len(dispatcher.submitted))
            nursery.cancel_scope.cancel()

    async def test_job_whose_earlier_run_does_not_end_in_time_is_refused_as_not_run(self) -> None:
        dispatcher = PlacingDispatcher()
        jobs, _ = make_jobs(StubAdmission(0.0, target=True), 60.0, dispatcher)
        await self._async_leave(jobs)
        with trio.move_on_after(1.0):
            answer = await jobs.async_run(evolve(REQUEST, deadline_s=0.1), SETTINGS)
        self.assertEqual(1, len(dispatcher.submitted))
        self.assertEqual(Verdict.NOT_RUN, answer.verdict)


class ReleaseTest(TestCase):
    """Jobs that a caller has sent to another entry."""

    KEY = REQUEST.key

    async def test_a_job_is_released_only_when_its_runs_have_ended(self) -> None:
        dispatcher = PlacingDispatcher()
        jobs, _ = make_jobs(StubAdmission(0.0, target=True), 60.0, dispatcher)
        request = evolve(REQUEST, origin=RequestOrigin(clock.boot_s() - 0.5))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(jobs.async_run, request, SETTINGS)
            await trio.sleep(0.05)
            now_s = clock.boot_s()
            self.assertEqual({self.KEY}, jobs.held_keys(now_s))
            self.assertEqual(Release.ENDING, jobs.release(self.KEY, 0.0, "entry-2", now_s))
            [submission] = dispatcher.submitted
            self.assertEqual(RefusalReason.SENT_ELSEWHERE, submission.failure)
            submission.answer = COMPLETE
            self.assertEqual(Release.ENDING, jobs.release(self.KEY, 0.0, "entry-2", now_s))
            submission.outstanding = 0
            self.assertEqual(Release.ENDED, jobs.release(self.KEY, 0.0, "entry-2", now_s))
            nursery.cancel_scope.cancel()

    async def test_a_cancel_of_a_job_that_was_sent_elsewhere_is_asked_for_there(self) -> None:
        dispatcher = PlacingDispatcher()
        jobs, _ = make_jobs(StubAdmission(0.0, target=True), 60.0, dispatcher)
        request = evolve(REQUEST, origin=RequestOrigin(clock.boot_s() - 0.5))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(jobs.async_run, request, SETTINGS)
            await trio.sleep(0.05)
            jobs.release(self.KEY, 0.0, "entry-2", clock.boot_s())
            self.assertFalse(jobs.cancel(self.KEY))
            nursery.cancel_scope.cancel()

    async def test_a_job_whose_caller_left_is_held_until_its_runs_have_ended(self) -> None:
        dispatcher = PlacingDispatcher()
        jobs, _ = make_jobs(StubAdmission(0.0, target=True), 60.0, dispatcher)
        with trio.move_on_after(0.05):
            await jobs.async_run(REQUEST, SETTINGS)
        now_s = clock.boot_s()
        self.assertEqual(Release.ENDING, jobs.release(self.KEY, 0.0, "entry-2", now_s))
        dispatcher.submitted[0].answer = COMPLETE
        dispatcher.submitted[0].outstanding = 0
        self.assertEqual(Release.ENDED, jobs.release(self.KEY, 0.0, "entry-2", now_s))

    async def test_a_job_is_kept_for_a_newer_request(self) -> None:
        dispatcher = PlacingDispatcher()
        jobs, _ = make_jobs(StubAdmission(0.0, target=True), 60.0, dispatcher)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(jobs.async_run, REQUEST, SETTINGS)
            await trio.sleep(0.05)
            now_s = clock.boot_s()
            self.assertEqual(Release.KEPT, jobs.release(self.KEY, 1.4, "entry-2", now_s))
            self.assertIsNone(dispatcher.submitted[0].failure)
            nursery.cancel_scope.cancel()


class CancelTest(TestCase):
    """Jobs that their callers cancel, or leave."""

    async def test_job_that_waits_is_cancelled(self) -> None:
        jobs, dispatcher = make_jobs(StubAdmission(wait_s=2.0), age_s=0.0)
        with trio.fail_after(1.0):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(jobs.async_run, REQUEST, SETTINGS)
                await trio.testing.wait_all_tasks_blocked()
                job = jobs._jobs[REQUEST.key]
                self.assertTrue(jobs.cancel(REQUEST.key))
        assert job.refusal is not None
        self.assertEqual(Verdict.NOT_RUN, job.refusal.verdict)
        self.assertEqual([], dispatcher.submitted)

    async def _async_send_again(self, cancelled: bool) -> PlacingDispatcher:
        """Send a job again that was ended because its caller cancelled it or had left.

        The reader of the first request has not seen that the caller left, as after a pause.
        """
        dispatcher = PlacingDispatcher()
        jobs, _ = make_jobs(StubAdmission(0.0, target=True), 60.0, dispatcher)
        origin = RequestOrigin(clock.boot_s(), dispatcher.has_caller_left)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(jobs.async_run, evolve(REQUEST, origin=origin), SETTINGS)
            await trio.testing.wait_all_tasks_blocked()
            dispatcher.caller_is_there = False
            if cancelled:
                jobs.cancel(REQUEST.key)
            else:
                dispatcher.cancel(dispatcher.submitted[0], clock.boot_s())
            nursery.start_soon(jobs.async_run, REQUEST, SETTINGS)
            await trio.sleep(0.1)
            self.assertEqual(1, len(dispatcher.submitted))
            dispatcher.submitted[0].outstanding = 0
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        return dispatcher

    async def test_job_whose_caller_has_left_runs_anew_when_it_is_sent_again(self) -> None:
        dispatcher = await self._async_send_again(cancelled=False)
        self.assertEqual(2, len(dispatcher.submitted))

    async def test_job_that_was_cancelled_does_not_run_anew_when_it_is_sent_again(self) -> None:
        dispatcher = await self._async_send_again(cancelled=True)
        self.assertEqual(1, len(dispatcher.submitted))


class LateRequestTest(TestCase):
    """Jobs that were read long after they had been sent."""

    async def test_job_whose_time_limit_passed_before_it_was_read_is_refused_as_not_run(
        self,
    ) -> None:
        jobs, dispatcher = make_jobs(StubAdmission(0.0, target=True), 60.0)
        origin = RequestOrigin(clock.boot_s() - REQUEST.deadline_s)
        answer = await jobs.async_run(evolve(REQUEST, origin=origin), SETTINGS)
        self.assertEqual([], dispatcher.submitted)
        self.assertEqual((Verdict.NOT_RUN, RefusalReason.DEADLINE), (answer.verdict, answer.reason))

    async def test_deadline_counts_from_the_arrival(self) -> None:
        jobs, dispatcher = make_jobs(StubAdmission(0.0, target=True), 60.0)
        sent_at_s = clock.boot_s() - 1.5
        await jobs.async_run(evolve(REQUEST, origin=RequestOrigin(sent_at_s)), SETTINGS)
        self.assertLessEqual(
            dispatcher.submitted[0].deadline_s, sent_at_s + REQUEST.deadline_s + 1e-6
        )

    async def test_time_of_a_best_effort_job_is_the_one_that_its_caller_allows(self) -> None:
        jobs, dispatcher = make_jobs(StubAdmission(0.0, target=True), 60.0)
        settings = JobSettings(service="clocking", best_effort=True, deadline_s=30.0)
        sent_at_s = clock.boot_s()
        for deadline_s, expected_s in ((70.0, 70.0), (0.0, 30.0)):
            await jobs.async_run(evolve(REQUEST, deadline_s=deadline_s), settings)
            allowed_s = dispatcher.submitted[-1].deadline_s - sent_at_s
            self.assertAlmostEqual(expected_s, allowed_s, delta=1.0)

    async def test_job_whose_caller_has_left_is_not_accepted(self) -> None:
        jobs, dispatcher = make_jobs(StubAdmission(0.0, target=True), 60.0)
        origin = RequestOrigin(clock.boot_s(), lambda: True)
        answer = await jobs.async_run(evolve(REQUEST, origin=origin), SETTINGS)
        self.assertEqual([], dispatcher.submitted)
        self.assertEqual(Verdict.NOT_RUN, answer.verdict)

    async def test_job_is_wanted_while_one_of_its_callers_waits(self) -> None:
        dispatcher = PlacingDispatcher()
        jobs, _ = make_jobs(StubAdmission(0.0, target=True), 60.0, dispatcher)
        left: list[bool] = []
        origin = RequestOrigin(clock.boot_s(), lambda: bool(left))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(jobs.async_run, evolve(REQUEST, origin=origin), SETTINGS)
            await trio.testing.wait_all_tasks_blocked()
            nursery.start_soon(jobs.async_run, REQUEST, SETTINGS)
            await trio.testing.wait_all_tasks_blocked()
            left.append(True)
            self.assertFalse(dispatcher.submitted[0].has_caller_left())
            nursery.cancel_scope.cancel()


class SilentAgentDispatcher(PlacingDispatcher):
    """Cancels jobs without ever learning whether their tasks have run."""

    async def async_wait_answered(self) -> None:
        for submission in self.submitted:
            await submission.done.wait()

    def cancel(
        self, submission: Submission, now_s: float, reason: RefusalReason = RefusalReason.CANCELLED
    ) -> None:
        submission.failure = reason

    def answer_cancelled(self, submission: Submission, now_s: float) -> None:
        submission.answer = refused_answer(RefusalReason.STOPPING, "stopping")
        submission.done.set()


class StopTest(TestCase):
    """Jobs that arrive, or are in progress, when an entry is stopped as planned."""

    async def test_no_job_is_accepted_once_the_drain_has_ended(self) -> None:
        """The process would end under it, and cut its caller's connection without an answer."""
        dispatcher = SilentAgentDispatcher()
        jobs, _ = make_jobs(StubAdmission(0.0, target=True), 60.0, dispatcher)
        jobs.schedule_stop(clock.boot_s() + 60.0)
        await jobs.async_drain()
        with trio.fail_after(0.5):
            answer = await jobs.async_run(REQUEST, SETTINGS)
        self.assertEqual([], dispatcher.submitted)
        self.assertEqual((Verdict.NOT_RUN, RefusalReason.STOPPING), (answer.verdict, answer.reason))

    async def test_job_that_waits_for_a_target_is_refused_when_the_drain_ends(self) -> None:
        jobs, dispatcher = make_jobs(StubAdmission(3.0), 0.0, SilentAgentDispatcher())
        jobs.schedule_stop(clock.boot_s() + 0.1)
        answers: list[JobAnswer] = []

        async def async_request() -> None:
            answers.append(await jobs.async_run(REQUEST, SETTINGS))

        with trio.fail_after(1.0):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(async_request)
                await trio.testing.wait_all_tasks_blocked()
                nursery.start_soon(jobs.async_drain)
        self.assertEqual(RefusalReason.STOPPING, answers[0].reason)

    async def test_job_whose_agent_does_not_report_is_answered_before_the_stop(self) -> None:
        dispatcher = SilentAgentDispatcher()
        jobs, _ = make_jobs(StubAdmission(0.0, target=True), 60.0, dispatcher)
        jobs.schedule_stop(clock.boot_s() + 0.1)
        with trio.fail_after(0.8):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(jobs.async_run, REQUEST, SETTINGS)
                await trio.testing.wait_all_tasks_blocked()
                nursery.start_soon(jobs.async_drain)
        self.assertIsNotNone(dispatcher.submitted[0].answer)
