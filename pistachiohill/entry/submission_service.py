"""Accepts, forwards or recovers submissions, so that a call to any entry gives the same answer."""

import random
from collections.abc import Callable

import trio

from .. import clock, logs
from ..consortium.view import ConsortiumView
from ..const import ForwardAction
from ..errors import RefusalReason, Verdict
from ..protocol.link import Link
from ..protocol.models import Forward, ForwardedTask, ForwardReply, IdsReply, IdsRequest
from ..settings.const import ROOT_PATH
from ..settings.models import EntrySettings, JobSettings
from ..submissions.identifiers import IdIssuer, SubmissionId, parse_submission_id, preferred_entry
from ..submissions.models import (
    JobAnswer,
    JobRequest,
    TaskSpec,
    failed_answer,
    new_submission,
    refused_answer,
)
from .accounting import Accounting
from .const import OWNER_LINK_GRACE_S, RETRY_AFTER_S
from .dispatcher import Dispatcher
from .peers import PeerDirectory
from .recovery import Recovery

FORWARD_TIMEOUT_MARGIN_S = 2.0
IDS_TIMEOUT_S = 0.5


class SubmissionService:
    """Answers put, get and cancel calls for every submission, whichever entry owns it."""

    def __init__(
        self,
        settings: EntrySettings,
        issuer: IdIssuer,
        view: ConsortiumView,
        view_confirmed_at: Callable[[float], float],
        dispatcher: Dispatcher,
        peers: PeerDirectory,
        recovery: Recovery,
        accounting: Accounting,
    ) -> None:
        """Initialize the service."""
        self.stopping = False
        self._settings = settings
        self._issuer = issuer
        self._view = view
        self._view_confirmed_at = view_confirmed_at
        self._dispatcher = dispatcher
        self._peers = peers
        self._recovery = recovery
        self._accounting = accounting

    @property
    def loaded(self) -> bool:
        """Return whether this entry has loaded a state to answer from."""
        return self._view.loaded

    @property
    def ready(self) -> bool:
        """Return whether this entry may accept submissions."""
        return self.loaded and not self.stopping

    def issue_ids(self, member: str, count: int) -> list[str]:
        """Return new submission identifiers owned by this incarnation."""
        offset = self._view.processes.offset
        now_s = clock.wall_s()
        return [self._issuer.issue(member, offset, now_s) for _ in range(count)]

    def issue_ids_for_peer(self, member: str, count: int) -> list[str]:
        """Return identifiers for a caller of another entry; none if this entry isn't ready."""
        return self.issue_ids(member, count) if self.ready else []

    async def async_ids(self, member: str, count: int, service: str) -> list[str]:
        """Return identifiers owned by a service's preferred entry, or by this one as a fallback."""
        own = self._issuer.incarnation
        preferred = preferred_entry(service, {own, *self._peers.incarnations()})
        link = self._peers.find_link(preferred)
        if not service or preferred == own or link is None:
            return self.issue_ids(member, count)
        reply = await self._peers.async_request(
            link, lambda request_id: IdsRequest(request_id, member, count), IDS_TIMEOUT_S
        )
        if isinstance(reply, IdsReply) and len(reply.ids) == count:
            return reply.ids
        return self.issue_ids(member, count)

    async def async_put(self, submission_id: str, request: JobRequest, wait_s: float) -> JobAnswer:
        """Run a job at most once, even if it is put several times or at different entries."""
        action = self._build_forward(
            ForwardAction.PUT, submission_id, request.member, wait_s, request
        )
        return await self._async_answer(submission_id, request.member, action, wait_s)

    async def async_get(self, submission_id: str, member: str, wait_s: float) -> JobAnswer:
        """Return a submission's answer, waiting up to `wait_s` for it."""
        action = self._build_forward(ForwardAction.GET, submission_id, member, wait_s)
        return await self._async_answer(submission_id, member, action, wait_s)

    async def async_cancel(self, submission_id: str, member: str) -> JobAnswer:
        """Cancel a submission and return its answer."""
        action = self._build_forward(
            ForwardAction.CANCEL, submission_id, member, FORWARD_TIMEOUT_MARGIN_S
        )
        return await self._async_answer(submission_id, member, action, FORWARD_TIMEOUT_MARGIN_S)

    async def async_answer_forward(self, message: Forward) -> ForwardReply:
        """Answer a call that another entry forwarded."""
        answer = await self._async_answer_locally(message)
        return answer.to_reply(message.request_id)

    def _build_forward(
        self,
        action: ForwardAction,
        submission_id: str,
        member: str,
        wait_s: float,
        request: JobRequest | None = None,
    ) -> Forward:
        tasks = request.tasks if request else ()
        return Forward(
            request_id=0,
            submission_id=submission_id,
            member=member,
            action=action,
            job=request.job if request else "",
            deadline_in_s=request.deadline_s if request else 0.0,
            wait_s=wait_s,
            tasks=[ForwardedTask(task.payload) for task in tasks],
        )

    async def _async_answer(
        self, submission_id: str, member: str, message: Forward, wait_s: float
    ) -> JobAnswer:
        parsed = parse_submission_id(submission_id)
        if parsed is None:
            return refused_answer(RefusalReason.UNKNOWN_ID, "not a submission id")
        if parsed.owner == self._issuer.incarnation:
            return await self._async_answer_locally(message)
        link = await self._async_owner_link(parsed.owner)
        if link is not None:
            answer = await self._async_forward_to_owner(link, message, wait_s)
            if answer is not None:
                return answer
            logs.warning("owner_silent", submission=submission_id, owner=parsed.owner)
        return await self._async_recover(submission_id, parsed, member, wait_s)

    async def _async_owner_link(self, owner: str) -> Link | None:
        """Return a link to the owner, waiting briefly unless it is known to have ended."""
        link = self._peers.find_link(owner)
        if link is not None or self._view.processes.has_ended(owner):
            return link
        with trio.move_on_after(OWNER_LINK_GRACE_S):
            while (link := self._peers.find_link(owner)) is None:
                await self._view.async_wait_changed()
        return link

    async def _async_forward_to_owner(
        self, link: Link, message: Forward, wait_s: float
    ) -> JobAnswer | None:
        def build_request(request_id: int) -> Forward:
            message.request_id = request_id
            return message

        reply = await self._peers.async_request(
            link, build_request, wait_s + FORWARD_TIMEOUT_MARGIN_S
        )
        return JobAnswer.from_reply(reply) if isinstance(reply, ForwardReply) else None

    async def _async_recover(
        self, submission_id: str, parsed: SubmissionId, member: str, wait_s: float
    ) -> JobAnswer:
        if self._is_expired(parsed):
            return _expired_answer()
        deadline_s = clock.boot_s() + self._view.state.settings(ROOT_PATH).deadline_s
        return await self._recovery.async_recover(submission_id, parsed, member, deadline_s, wait_s)

    def _is_expired(self, parsed: SubmissionId) -> bool:
        return clock.wall_s() > parsed.issued_s + self._settings.submission_ttl_s

    async def _async_answer_locally(self, message: Forward) -> JobAnswer:
        """Answer a call for a submission that this incarnation owns."""
        if not self._issuer.has_issued(message.submission_id, message.member):
            return refused_answer(
                RefusalReason.UNKNOWN_ID, "the submission id was not issued to this member"
            )
        submission = self._dispatcher.submissions.get(message.submission_id)
        now_s = clock.boot_s()
        if submission is None:
            answer = self._admit(message, now_s)
            if answer is not None:
                return answer
            submission = self._dispatcher.submissions[message.submission_id]
        if message.action == ForwardAction.CANCEL:
            self._dispatcher.cancel(submission, now_s)
        with trio.move_on_after(message.wait_s):
            await submission.done.wait()
        return submission.progress()

    def _admit(self, message: Forward, now_s: float) -> JobAnswer | None:
        """Accept a new submission, or return why it is refused."""
        parsed = parse_submission_id(message.submission_id)
        assert parsed is not None
        if self._is_expired(parsed):
            return _expired_answer()
        if message.action != ForwardAction.PUT:
            return refused_answer(RefusalReason.UNKNOWN_ID, "this submission has not been put")
        request = JobRequest(
            message.member,
            message.job,
            tuple(TaskSpec(task.payload) for task in message.tasks),
            message.deadline_in_s,
        )
        settings = self._view.state.settings(request.path)
        self._accounting.record_offered(request.member, len(request.tasks))
        answer = self._check_admission(request, settings, now_s)
        if answer is not None:
            assert answer.reason is not None
            self._accounting.record_refusal(request.member, answer.reason)
            logs.event(
                "job_refused",
                submission=message.submission_id,
                member=request.member,
                job=request.job,
                reason=answer.reason,
                offset=self._view.state.offset,
                view_age_s=self._view.age_s(now_s),
            )
            return answer
        submission = new_submission(message.submission_id, request, settings, now_s)
        self._dispatcher.submit(submission, now_s)
        return None

    def _check_admission(
        self, request: JobRequest, settings: JobSettings, now_s: float
    ) -> JobAnswer | None:
        """Return the refusal of a new job, if any; none of its tasks have run."""
        count = len(request.tasks)
        retry_after_s = _jitter(RETRY_AFTER_S)
        if self.stopping:
            return refused_answer(
                RefusalReason.STOPPING, "this entry is stopping", retry_after_s, count
            )
        view_age_s = now_s - self._view_confirmed_at(now_s)
        if view_age_s > settings.view_max_age_s:
            detail = f"the settings in force have not been confirmed for {view_age_s:.1f} s"
            return refused_answer(RefusalReason.STALE_VIEW, detail, retry_after_s, count)
        if not self._dispatcher.waiting.has_target(settings.service):
            detail = f"no target of service {settings.service!r} takes tasks"
            return refused_answer(RefusalReason.NO_TARGET, detail, retry_after_s, count)
        waiting = self._dispatcher.waiting.member_task_count(request.member)
        if waiting + count > settings.max_queued_tasks:
            detail = f"{waiting} tasks of this member are already waiting"
            return refused_answer(RefusalReason.MEMBER_QUEUE, detail, retry_after_s, count)
        limit_s = min(request.deadline_s or settings.deadline_s, settings.deadline_s)
        backlog_s = self._dispatcher.waiting.backlog_s(request, settings)
        if backlog_s > limit_s:
            detail = (
                f"the expected wait of {backlog_s:.1f} s exceeds the deadline of {limit_s:.1f} s"
            )
            return refused_answer(
                RefusalReason.OVERLOAD, detail, _jitter(backlog_s - limit_s), count
            )
        return None


def _expired_answer() -> JobAnswer:
    return failed_answer(
        RefusalReason.EXPIRED_ID,
        Verdict.MAY_HAVE_RUN,
        "the submission id has expired; it is no longer known whether the submission ran",
        0,
        0,
    )


def _jitter(value_s: float) -> float:
    """Return a duration with 10% jitter, so that callers do not all retry at the same time."""
    return value_s * random.uniform(0.9, 1.1)
