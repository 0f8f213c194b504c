"""Seal the submissions of lost owners at all agents and collect what ran."""

import trio
from attrs import define, field

from .. import clock, logs
from ..consortium.view import ConsortiumView
from ..const import JobState, TaskState
from ..errors import RefusalReason, Verdict
from ..protocol.models import SealReply, SealSubmissions, TaskReports
from ..submissions.identifiers import SubmissionId
from ..submissions.models import JobAnswer, failed
from ..submissions.recovery import Evidence, decide
from .agents import Agent, AgentDirectory, AgentListener
from .const import SEAL_BATCH_DELAY_S, SEAL_TIMEOUT_S

CATCH_UP_TIMEOUT_S = 2.0


@define(eq=False)
class PendingRecovery:
    """One recovery in progress or done."""

    evidence: Evidence
    started_at_s: float
    changed: trio.Event = field(factory=trio.Event)
    answer: JobAnswer | None = None
    done: trio.Event = field(factory=trio.Event)


class Recovery(AgentListener):
    """Recovers submissions; several that come together share one message to each agent."""

    def __init__(
        self, view: ConsortiumView, directory: AgentDirectory, nursery: trio.Nursery
    ) -> None:
        """Start with nothing to recover."""
        self._view = view
        self._directory = directory
        self._nursery = nursery
        self._pending: dict[str, PendingRecovery] = {}
        self._unsent: list[str] = []
        self._request_id = 0

    async def async_recover(
        self,
        submission_id: str,
        parsed: SubmissionId,
        member: str,
        deadline_s: float,
        wait_s: float,
    ) -> JobAnswer:
        """Return the answer of a submission whose owner is lost, decided once and kept.

        While its tasks still run, the answer after `wait_s` seconds is that it is running.
        """
        pending = self._pending.get(submission_id)
        if pending is None or pending.evidence.member != member:
            with trio.move_on_after(CATCH_UP_TIMEOUT_S) as scope:
                await self._view.async_wait_processes(parsed.offset)
            if scope.cancelled_caught:
                detail = "this entry has not read the store far enough to tell"
                return failed(RefusalReason.OWNER_LOST, Verdict.MAY_HAVE_RUN, detail, 0, 0)
            expected = self._view.processes.may_have_started(parsed.offset)
            names = frozenset(process.incarnation for process in expected)
            pending = PendingRecovery(Evidence(submission_id, member, names), clock.boot_s())
            self._pending[submission_id] = pending
            logs.event("recovery_started", submission=submission_id, agents=len(names))
            self._request_seal(submission_id)
            self._nursery.start_soon(self._async_decide, submission_id, pending, deadline_s)
        with trio.move_on_after(wait_s):
            await pending.done.wait()
        return pending.answer or _progress(pending.evidence)

    def forget(self, before_s: float) -> None:
        """Forget recoveries started before a boot time."""
        for submission_id, pending in list(self._pending.items()):
            if pending.answer is not None and pending.started_at_s < before_s:
                del self._pending[submission_id]

    def seal_replied(self, agent: Agent, message: SealReply, now_s: float) -> None:
        """Add an agent's knowledge to the evidence."""
        for sealed in message.submissions:
            pending = self._pending.get(sealed.submission_id)
            if pending is not None:
                pending.evidence.add(agent.incarnation, sealed)
                pending.changed.set()

    def tasks_reported(self, agent: Agent, message: TaskReports, now_s: float) -> None:
        """Add the outcome of tasks that were running when they were sealed."""
        pending = self._pending.get(message.submission_id)
        if pending is None:
            return
        for report in message.reports:
            pending.evidence.add_report(report)
        pending.changed.set()

    def _request_seal(self, submission_id: str) -> None:
        self._unsent.append(submission_id)
        if len(self._unsent) == 1:
            self._nursery.start_soon(self._async_send_seals)

    async def _async_send_seals(self) -> None:
        await trio.sleep(SEAL_BATCH_DELAY_S)
        submission_ids, self._unsent = self._unsent, []
        self._request_id += 1
        for agent in self._directory.agents.values():
            if agent.link is not None:
                agent.link.send(SealSubmissions(self._request_id, submission_ids))

    async def _async_decide(
        self, submission_id: str, pending: PendingRecovery, deadline_s: float
    ) -> None:
        evidence = pending.evidence
        with trio.move_on_after(SEAL_TIMEOUT_S):
            while not evidence.accounted:
                await self._async_evidence(pending)
        with trio.move_on_after(max(0.0, deadline_s - clock.boot_s())):
            while evidence.running:
                await self._async_evidence(pending)
        pending.answer = decide(evidence)
        pending.done.set()
        logs.event(
            "recovery_decided",
            submission=submission_id,
            state=pending.answer.state,
            verdict=pending.answer.verdict,
            sealed=len(evidence.sealed),
            expected=len(evidence.expected),
        )

    async def _async_evidence(self, pending: PendingRecovery) -> None:
        pending.changed = trio.Event()
        await pending.changed.wait()


def _progress(evidence: Evidence) -> JobAnswer:
    settled = sum(task.state == TaskState.SETTLED for task in evidence.tasks.values())
    return JobAnswer(JobState.RUNNING, Verdict.MAY_HAVE_RUN, evidence.task_count, settled)
