"""Recovery of submissions whose owner is lost: seals them at all agents and collects results."""

import trio
from attrs import define, field

from .. import clock, logs
from ..consortium.view import ConsortiumView
from ..const import JobState, TaskState
from ..errors import RefusalReason, Verdict
from ..protocol.models import SealReply, SealSubmissions, TaskReports
from ..submissions.identifiers import SubmissionId
from ..submissions.models import JobAnswer, failed_answer
from ..submissions.recovery import SealReports, decide_answer
from .agent import Agent, AgentListener
from .agents import AgentDirectory
from .const import SEAL_BATCH_DELAY_S, SEAL_TIMEOUT_S

CATCH_UP_TIMEOUT_S = 2.0


@define(eq=False)
class SubmissionRecovery:
    """The recovery of one submission, in progress or decided."""

    reports: SealReports
    started_at_s: float
    changed: trio.Event = field(factory=trio.Event)
    answer: JobAnswer | None = None
    done: trio.Event = field(factory=trio.Event)


class Recovery(AgentListener):
    """Recovers submissions; nearly simultaneous seal requests share one message per agent."""

    def __init__(
        self, view: ConsortiumView, directory: AgentDirectory, nursery: trio.Nursery
    ) -> None:
        """Initialize without recoveries."""
        self._view = view
        self._directory = directory
        self._nursery = nursery
        self._recoveries: dict[str, SubmissionRecovery] = {}
        self._unsent_ids: list[str] = []
        self._request_id = 0

    async def async_recover(
        self,
        submission_id: str,
        parsed: SubmissionId,
        member: str,
        deadline_s: float,
        wait_s: float,
    ) -> JobAnswer:
        """Return the answer of a submission whose owner is lost.

        The answer is decided once and stored. Without a decision after `wait_s` seconds, the answer
        is that the submission is running.
        """
        recovery = self._recoveries.get(submission_id)
        if recovery is None or recovery.reports.member != member:
            with trio.move_on_after(CATCH_UP_TIMEOUT_S) as scope:
                await self._view.async_wait_processes(parsed.offset)
            if scope.cancelled_caught:
                detail = (
                    "this entry has not yet read the store up to the offset of the submission id"
                )
                return failed_answer(RefusalReason.OWNER_LOST, Verdict.MAY_HAVE_RUN, detail, 0, 0)
            expected = self._view.processes.possible_agents(parsed.offset)
            incarnations = frozenset(process.incarnation for process in expected)
            recovery = SubmissionRecovery(
                SealReports(submission_id, member, incarnations), clock.boot_s()
            )
            self._recoveries[submission_id] = recovery
            logs.event("recovery_started", submission=submission_id, agents=len(incarnations))
            self._request_seal(submission_id)
            self._nursery.start_soon(self._async_decide, submission_id, recovery, deadline_s)
        with trio.move_on_after(wait_s):
            await recovery.done.wait()
        return recovery.answer or _progress(recovery.reports)

    def remove_decided(self, before_s: float) -> None:
        """Remove decided recoveries that were started before a boot time."""
        for submission_id, recovery in list(self._recoveries.items()):
            if recovery.answer is not None and recovery.started_at_s < before_s:
                del self._recoveries[submission_id]

    def seal_replied(self, agent: Agent, message: SealReply, now_s: float) -> None:
        """Add an agent's records of sealed submissions to their recoveries."""
        for sealed in message.submissions:
            recovery = self._recoveries.get(sealed.submission_id)
            if recovery is not None:
                recovery.reports.add(agent.incarnation, sealed)
                recovery.changed.set()

    def tasks_reported(self, agent: Agent, message: TaskReports, now_s: float) -> None:
        """Add the results of tasks that were running when their submission was sealed."""
        recovery = self._recoveries.get(message.submission_id)
        if recovery is None:
            return
        for report in message.reports:
            recovery.reports.add_report(report)
        recovery.changed.set()

    def _request_seal(self, submission_id: str) -> None:
        self._unsent_ids.append(submission_id)
        if len(self._unsent_ids) == 1:
            self._nursery.start_soon(self._async_send_seals)

    async def _async_send_seals(self) -> None:
        await trio.sleep(SEAL_BATCH_DELAY_S)
        submission_ids, self._unsent_ids = self._unsent_ids, []
        self._request_id += 1
        for agent in self._directory.agents.values():
            if agent.link is not None:
                agent.link.send(SealSubmissions(self._request_id, submission_ids))

    async def _async_decide(
        self, submission_id: str, recovery: SubmissionRecovery, deadline_s: float
    ) -> None:
        reports = recovery.reports
        with trio.move_on_after(SEAL_TIMEOUT_S):
            while not reports.all_sealed:
                await self._async_wait_changed(recovery)
        with trio.move_on_after(max(0.0, deadline_s - clock.boot_s())):
            while reports.has_running_tasks:
                await self._async_wait_changed(recovery)
        recovery.answer = decide_answer(reports)
        recovery.done.set()
        logs.event(
            "recovery_decided",
            submission=submission_id,
            state=recovery.answer.state,
            verdict=recovery.answer.verdict,
            sealed=len(reports.sealed),
            expected=len(reports.expected),
        )

    async def _async_wait_changed(self, recovery: SubmissionRecovery) -> None:
        recovery.changed = trio.Event()
        await recovery.changed.wait()


def _progress(reports: SealReports) -> JobAnswer:
    settled = sum(task.state == TaskState.SETTLED for task in reports.tasks.values())
    return JobAnswer(JobState.RUNNING, Verdict.MAY_HAVE_RUN, reports.task_count, settled)
