"""Best-effort jobs, identified by a key that the caller chooses and awaited on the connection.

The state of such a job is lost with the entry that accepted it; a caller that received no answer
sends the job again, to any entry. A job is cancelled when its caller disconnects, because the
caller may then send it again.
"""

import math

import trio
from attrs import define, evolve, field

from .. import clock, logs
from ..consortium.view import ConsortiumView
from ..errors import RefusalReason, Verdict
from ..http.origin import RequestOrigin
from ..settings.models import JobSettings
from ..submissions.identifiers import IdIssuer
from ..submissions.models import (
    JobAnswer,
    JobRequest,
    Submission,
    failed_answer,
    new_submission,
    refused_answer,
)
from .accounting import Accounting
from .admission import Admission, stopping_answer
from .const import (
    CANCEL_REPORT_S,
    DRAIN_POLL_S,
    OLD_REQUEST_S,
    RETRY_AFTER_S,
    STARTUP_GRACE_S,
    STARTUP_POLL_S,
    STARTUP_RECHECK_S,
)
from .dispatcher import Dispatcher
from .job_holders import Holding, JobHolders, Release
from .late_starts import LateStartTable


@define(eq=False)
class KeyedJob:
    """A job and the requests waiting for its answer.

    Fields:
        submission: The accepted job, None while it is neither accepted nor refused, and afterwards
            if it was refused.
        refusal: Why it was refused, None if it was not.
        waiting: Origins of the requests with the job's key that are not answered.
        cancelled: Whether a caller has cancelled it.
    """

    submission: Submission | None = None
    refusal: JobAnswer | None = None
    waiting: list[RequestOrigin] = field(factory=list)
    cancelled: bool = False

    @property
    def decided(self) -> bool:
        """Return whether the job was accepted or refused."""
        return self.submission is not None or self.refusal is not None

    def has_caller_left(self) -> bool:
        """Return whether the callers of all waiting requests have closed their connections."""
        return all(origin.has_left() for origin in self.waiting)

    @property
    def was_abandoned(self) -> bool:
        """Return whether the job was ended because all of its callers had left.

        One of them may send it again.
        """
        submission = self.submission
        ended = submission is not None and submission.failure == RefusalReason.CANCELLED
        return ended and not self.cancelled and self.has_caller_left()

    def age_s(self, now_s: float) -> float:
        """Return the age of the newest request."""
        return min((origin.age_s(now_s) for origin in self.waiting), default=math.inf)

    @property
    def is_answered(self) -> bool:
        """Return whether the job was refused or answered."""
        answered = self.submission is not None and self.submission.answer is not None
        return answered or self.refusal is not None


class BestEffortJobs:
    """Accepts, answers and cancels best-effort jobs."""

    def __init__(
        self,
        issuer: IdIssuer,
        view: ConsortiumView,
        dispatcher: Dispatcher,
        admission: Admission,
        accounting: Accounting,
        started_at_s: float,
        holders: JobHolders,
        late_starts: LateStartTable,
    ) -> None:
        """Initialize without jobs; `started_at_s` is the boot time at which this entry started.

        `holders` knows which jobs other entries hold, `late_starts` of which a start may still be
        executed although nobody waits for it.
        """
        self._holders = holders
        self._late_starts = late_starts
        self._startup_ends_at_s = started_at_s + STARTUP_GRACE_S
        self._stop_at_s = math.inf
        self._closed = False
        self._issuer = issuer
        self._view = view
        self._dispatcher = dispatcher
        self._admission = admission
        self._accounting = accounting
        self._jobs: dict[str, KeyedJob] = {}
        self._ending: dict[str, Submission] = {}

    @property
    def stopping(self) -> bool:
        """Return whether this entry is shutting down."""
        return self._stop_at_s < math.inf

    def schedule_stop(self, stop_at_s: float) -> None:
        """From now on, accept only jobs that are expected to finish before a boot time."""
        self._stop_at_s = stop_at_s

    async def async_drain(self) -> None:
        """Wait for the jobs in progress, and refuse all others from then on.

        Jobs that are left at the scheduled stop are cancelled. All jobs that were accepted are
        answered when this returns, without waiting long for agents that don't report.
        """
        while self._jobs and clock.boot_s() < self._stop_at_s:
            await trio.sleep(DRAIN_POLL_S)
        self._closed = True
        for submission in self._accepted():
            self._dispatcher.cancel(submission, clock.boot_s(), RefusalReason.STOPPING)
        with trio.move_on_after(CANCEL_REPORT_S):
            await self._dispatcher.async_wait_answered()
        for submission in self._accepted():
            self._dispatcher.answer_cancelled(submission, clock.boot_s())

    def find(self, key: str) -> Submission | None:
        """Return the job in progress with a key, None if there is none."""
        job = self._jobs.get(key)
        return job.submission if job is not None else None

    def pending(self, member: str, job: str) -> int:
        """Return how many submissions of a member's job are in progress with no task placed."""
        return sum(
            item.request.member == member
            and item.request.job == job
            and len(item.waiting) == len(item.tasks)
            for item in self._accepted()
        )

    def _accepted(self) -> list[Submission]:
        return [job.submission for job in self._jobs.values() if job.submission is not None]

    def held_keys(self, before_s: float) -> set[str]:
        """Return the keys of jobs requested before a boot time whose tasks may run."""
        items = [(key, job.submission) for key, job in self._jobs.items()]
        items += self._ending.items()
        return {
            key
            for key, submission in items
            if submission is not None
            and submission.request.origin.arrived_after_s < before_s
            and (submission.answer is None or submission.outstanding > 0)
        }

    def age_s(self, key: str, now_s: float) -> float | None:
        """Return the age of the newest request for a job in progress, None if there is none."""
        job = self._jobs.get(key)
        if job is None or job.submission is None or job.is_answered:
            return None
        return job.age_s(now_s)

    def release(self, key: str, age_s: float, entry: str, now_s: float) -> Release:
        """Cancel a job that a caller has sent to another entry, unless it has a newer request.

        `age_s` is the age of the request to the other entry, whose incarnation is `entry`.
        """
        job = self._jobs.get(key)
        if job is not None and not job.is_answered:
            if job.age_s(now_s) < age_s:
                logs.event("job_kept", key=key, entry=entry, age_s=job.age_s(now_s))
                return Release.KEPT
            logs.event("job_sent_elsewhere", key=key, entry=entry, age_s=age_s)
            if job.submission is None:
                job.refusal = _sent_elsewhere(0)
            elif job.submission.failure is None:
                self._dispatcher.cancel(job.submission, now_s, RefusalReason.SENT_ELSEWHERE)
        return Release.ENDING if key in self.held_keys(now_s) else Release.ENDED

    def cancel(self, key: str) -> bool:
        """Cancel a job; return whether it was in progress here, or waited to be accepted.

        A job whose runs end here, since its caller has sent it elsewhere, may be in progress there.
        """
        job = self._jobs.get(key)
        if job is None or job.refusal is not None:
            return False
        if job.submission is None:
            logs.event("job_cancelled_early", key=key)
            detail = "its caller cancelled it before it was accepted"
            job.refusal = refused_answer(RefusalReason.CANCELLED, detail)
            return True
        sent_elsewhere = job.submission.failure == RefusalReason.SENT_ELSEWHERE
        job.cancelled = True
        self._dispatcher.cancel(job.submission, clock.boot_s())
        return not sent_elsewhere

    async def async_run(self, request: JobRequest, settings: JobSettings) -> JobAnswer:
        """Run a job and return its answer.

        A second request with the same key waits for the same job. The job is cancelled when the
        last waiting request is cancelled.
        """
        arrived_after_s = min(request.origin.arrived_after_s, clock.boot_s())
        origin = evolve(request.origin, arrived_after_s=arrived_after_s)
        request = evolve(request, origin=origin)
        job = self._job_for(request.key)
        job.waiting.append(origin)
        try:
            await self._async_wait_for_target(job, request, settings)
            await self._async_wait_for_earlier_runs(job, request, settings)
            if not job.decided:
                self._decide(job, request, settings, clock.boot_s())
            if job.refusal is not None:
                return job.refusal
            assert job.submission is not None
            await job.submission.done.wait()
            return job.submission.progress()
        finally:
            job.waiting.remove(origin)
            if not job.waiting:
                self._remove(request.key, job)

    def _job_for(self, key: str) -> KeyedJob:
        """Return the job that a new request waits for.

        A job that was ended since its callers had left is not joined, although the reader of its
        request may not have seen them leave yet.
        """
        job = self._jobs.get(key)
        if job is not None and job.was_abandoned:
            self._remove(key, job)
        return self._jobs.setdefault(key, KeyedJob())

    async def _async_wait_for_earlier_runs(
        self, job: KeyedJob, request: JobRequest, settings: JobSettings
    ) -> None:
        """Delay a job that is sent again until its earlier runs are known to have ended.

        They may be runs of this entry or of another one.
        """
        wait_started_s = now_s = clock.boot_s()
        all_asked = False
        while not (job.decided or self._closed):
            holding = self._holding(request, now_s)
            if holding == Holding.FREE:
                if all_asked or request.origin.age_s(now_s) <= OLD_REQUEST_S:
                    break
                all_asked = True
                self._holders.suspect_all(request.key, now_s)
                continue
            if holding == Holding.KEPT:
                job.refusal = _sent_elsewhere(len(request.tasks))
                self._record_refusal(request, job.refusal, now_s)
                return
            time_left_s = _time_left_s(request, settings, now_s)
            if now_s + time_left_s <= self._late_starts.job_until_s(request.key):
                job.refusal = _may_still_start(len(request.tasks))
                self._record_refusal(request, job.refusal, now_s)
                return
            if time_left_s <= 0.0:
                detail = "its earlier runs did not end in time"
                job.refusal = refused_answer(RefusalReason.DEADLINE, detail, RETRY_AFTER_S)
                self._record_refusal(request, job.refusal, now_s)
                return
            await trio.sleep(STARTUP_POLL_S)
            now_s = clock.boot_s()
        _log_wait(request, now_s - wait_started_s)

    def _holding(self, request: JobRequest, now_s: float) -> Holding:
        """Return whether an earlier job with the same key may still have runs at agents."""
        submission = self._ending.get(request.key)
        if submission is not None and submission.outstanding > 0:
            return Holding.HELD
        holding = self._holders.check(request.key, request.origin.age_s(now_s), now_s)
        if holding == Holding.FREE and now_s < self._late_starts.job_until_s(request.key):
            return Holding.HELD
        return holding

    async def _async_wait_for_target(
        self, job: KeyedJob, request: JobRequest, settings: JobSettings
    ) -> None:
        """Delay a job that arrives shortly after startup, while too few targets are known.

        After a full outage, callers connect as soon as the port is open, and most of them don't
        retry.
        """
        wait_started_s = now_s = clock.boot_s()
        if now_s >= self._startup_ends_at_s:
            return
        limited = _with_time_left(request, settings, now_s)
        wait_until_s = now_s + self._admission.max_target_wait_s(limited, settings)
        wait_until_s = min(wait_until_s, self._startup_ends_at_s)
        while (
            now_s < wait_until_s
            and not (job.decided or self._closed)
            and self._admission.should_wait(limited, settings, now_s)
        ):
            has_target = self._admission.has_target(settings)
            await trio.sleep(STARTUP_RECHECK_S if has_target else STARTUP_POLL_S)
            now_s = clock.boot_s()
        _log_wait(request, now_s - wait_started_s)

    def _decide(
        self, job: KeyedJob, request: JobRequest, settings: JobSettings, now_s: float
    ) -> None:
        """Accept or refuse a job."""
        request = _with_time_left(request, settings, now_s)
        job.refusal = self._check_caller(job, request, now_s)
        if job.refusal is None:
            job.refusal = self._check_admission(request, settings, now_s)
        if job.refusal is None:
            job.submission = self._accept(job, request, settings, now_s)

    def _check_caller(self, job: KeyedJob, request: JobRequest, now_s: float) -> JobAnswer | None:
        """Return the refusal of a job that its caller has given up, None if the caller waits.

        The caller may have sent the job to another entry, so that its tasks must not start here.
        """
        if request.deadline_s <= 0.0:
            reason, detail = RefusalReason.DEADLINE, "its time limit passed before it was read"
        elif job.has_caller_left():
            reason, detail = RefusalReason.CANCELLED, "its caller left before it was read"
        else:
            return None
        logs.event("job_read_late", key=request.key, age_s=request.origin.age_s(now_s), why=reason)
        refusal = refused_answer(reason, detail, RETRY_AFTER_S)
        self._record_refusal(request, refusal, now_s)
        return refusal

    def _accept(
        self, job: KeyedJob, request: JobRequest, settings: JobSettings, now_s: float
    ) -> Submission:
        offset = self._view.processes.offset
        submission_id = self._issuer.issue(request.member, offset, clock.wall_s())
        submission = new_submission(submission_id, request, settings, now_s)
        submission.has_caller_left = job.has_caller_left
        self._dispatcher.submit(submission, now_s)
        return submission

    def _remove(self, key: str, job: KeyedJob) -> None:
        """Remove a job; if it is unanswered, its caller has disconnected, so cancel it.

        One that was removed before stays so, although a later job may have its key.
        """
        if self._jobs.get(key) is not job:
            return
        del self._jobs[key]
        submission = job.submission
        if submission is None:
            return
        if submission.answer is None:
            logs.event("caller_left", key=key, submission=submission.submission_id)
            self._dispatcher.cancel(submission, clock.boot_s())
        self._dispatcher.submissions.pop(submission.submission_id, None)
        self._ending[key] = submission
        self._ending = {key: item for key, item in self._ending.items() if item.outstanding}

    def _check_admission(
        self, request: JobRequest, settings: JobSettings, now_s: float
    ) -> JobAnswer | None:
        """Return the refusal of a new job, None if it is admitted; a refused job has not run."""
        if self._closed:
            answer: JobAnswer | None = stopping_answer(len(request.tasks))
        else:
            answer = self._admission.check(request, settings, now_s, self._stop_at_s)
        if answer is None:
            self._accounting.record_offered(request.member, len(request.tasks))
            return None
        self._record_refusal(request, answer, now_s)
        return answer

    def _record_refusal(self, request: JobRequest, answer: JobAnswer, now_s: float) -> None:
        assert answer.reason is not None
        self._accounting.record_offered(request.member, len(request.tasks))
        self._accounting.record_refusal(request.member, answer.reason)
        logs.event(
            "job_refused",
            key=request.key,
            member=request.member,
            job=request.job,
            reason=answer.reason,
            detail=answer.detail,
            retry_after_s=answer.retry_after_s,
            offset=self._view.state.offset,
            view_age_s=self._view.age_s(now_s),
        )


def _time_left_s(request: JobRequest, settings: JobSettings, now_s: float) -> float:
    """Return for how long the caller certainly waits; its time limit counts from the arrival."""
    return (request.deadline_s or settings.deadline_s) - request.origin.age_s(now_s)


def _with_time_left(request: JobRequest, settings: JobSettings, now_s: float) -> JobRequest:
    """Return a request whose deadline counts from now."""
    return evolve(request, deadline_s=_time_left_s(request, settings, now_s))


def _may_still_start(task_count: int) -> JobAnswer:
    """Return the answer for a job of which an earlier run may begin until after its deadline."""
    detail = "a run of it may still start, for longer than its caller waits"
    return failed_answer(RefusalReason.DEADLINE, Verdict.MAY_HAVE_RUN, detail, task_count, 0)


def _sent_elsewhere(task_count: int) -> JobAnswer:
    detail = "its caller has sent it to another entry since"
    return refused_answer(RefusalReason.SENT_ELSEWHERE, detail, RETRY_AFTER_S, task_count)


def _log_wait(request: JobRequest, waited_s: float) -> None:
    if waited_s > 0.0:
        logs.event("job_waited", key=request.key, waited_s=waited_s)
