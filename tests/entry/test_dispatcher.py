"""Decisions of the dispatcher on reports of agents, without a network."""

from typing import Any

from attrs import define, evolve, field

from pistachiohill.consortium.view import ConsortiumView
from pistachiohill.const import JobState, TaskState
from pistachiohill.entry.accounting import Accounting
from pistachiohill.entry.agent import Agent
from pistachiohill.entry.agents import AgentDirectory
from pistachiohill.entry.dispatcher import Dispatcher
from pistachiohill.entry.metrics import EntryMetrics
from pistachiohill.errors import RefusalReason, Verdict
from pistachiohill.peer_clock import StallDetector
from pistachiohill.platform.manifest import build_settings_nodes
from pistachiohill.platform.models import Manifest
from pistachiohill.protocol.models import (
    AgentLoad,
    CancelTasks,
    Freshness,
    FreshnessRequest,
    Message,
    StartTasks,
    TaskReport,
    TaskReports,
)
from pistachiohill.scheduling.models import TargetLoad
from pistachiohill.settings.models import JobSettings
from pistachiohill.submissions.identifiers import IdIssuer
from pistachiohill.submissions.models import JobRequest, Submission, TaskSpec, new_submission

from ..base import TestCase

SETTINGS = JobSettings(service="clocking", best_effort=True, max_runs=2, max_restarts=3)
INTERRUPTIONS = 20
NO_LOAD = AgentLoad(0, 0, 0, [])


@define(eq=False)
class StubLink:
    """Keeps the messages that were sent."""

    received_at_s: float = 0.0
    sent_at_s: float = 0.0
    sent: list[Message] = field(factory=list)

    def send(self, message: Message) -> None:
        self.sent.append(message)

    def starts(self) -> list[StartTasks]:
        return [message for message in self.sent if isinstance(message, StartTasks)]


class DispatcherFixture:
    """A dispatcher with connected agents that have one free core each."""

    def __init__(self, agents: int) -> None:
        view = ConsortiumView()
        view.state.replace_nodes(build_settings_nodes(Manifest(1, ()), 0, {}), 0, 1)
        self.directory = AgentDirectory("e", "", 0.3, (), view, ("e", 1), 4, lambda now_s: now_s)
        self.agents: list[Agent] = []
        self.links: list[Any] = []
        for number in range(agents):
            load = TargetLoad(f"a{number}", "bern-a", cpu_m=1000, mem_mb=1000)
            link: Any = StubLink()
            agent = Agent(f"a{number}", ("a", number), "bern-a", load, link, "clocking", True)
            self.directory.agents[agent.incarnation] = agent
            self.agents.append(agent)
            self.links.append(link)
        self.dispatcher = Dispatcher(
            view, lambda now_s: now_s, self.directory, Accounting(EntryMetrics())
        )

    def submit(self, tasks: int) -> Submission:
        request = JobRequest("lofts", "stamp", (TaskSpec(b""),) * tasks, 60.0, key="k")
        submission_id = IdIssuer("0011223344556677").issue("lofts", 0, 0.0)
        submission = new_submission(submission_id, request, SETTINGS, 0.0)
        self.dispatcher.submit(submission, 0.0)
        return submission

    def report_all(self, verdict: Verdict, reason: RefusalReason | str, now_s: float) -> int:
        """Report the same outcome for all placed tasks; return their number."""
        count = 0
        for agent in self.agents:
            for submission, task in list(agent.outstanding.values()):
                report = TaskReport(
                    task.index, task.attempt, TaskState.SETTLED, verdict, reason=reason, run_s=0.1
                )
                self._receive(agent, submission.submission_id, report, now_s)
                count += 1
        return count

    def report(
        self, agent: int, submission_id: str, index: int, attempt: int, run_s: float, now_s: float
    ) -> None:
        """Report a task as run successfully."""
        report = TaskReport(index, attempt, TaskState.SETTLED, Verdict.RAN, run_s=run_s)
        self._receive(self.agents[agent], submission_id, report, now_s)

    def _receive(self, agent: Agent, submission_id: str, report: TaskReport, now_s: float) -> None:
        message = TaskReports(submission_id, 0.0, NO_LOAD, [report])
        self.directory._handle_answer(message, agent, self.dispatcher, now_s)


class RepeatedRunsTest(TestCase):
    def run_interrupted(self, verdict: Verdict, reason: RefusalReason) -> Submission:
        fixture = DispatcherFixture(agents=2)
        submission = fixture.submit(tasks=1)
        for number in range(INTERRUPTIONS):
            now_s = number * 0.1
            fixture.dispatcher.place(now_s)
            self.assertEqual(1, fixture.report_all(verdict, reason, now_s), number)
            for agent in fixture.agents:
                agent.accepting = True
        fixture.dispatcher.place(10.0)
        fixture.report_all(Verdict.RAN, "", 10.1)
        return submission

    def test_runs_that_the_product_stopped_use_up_no_attempts(self) -> None:
        for reason in (RefusalReason.LEASE_ENDED, RefusalReason.TARGET_LOST):
            submission = self.run_interrupted(Verdict.RAN, reason)
            assert submission.answer is not None
            self.assertEqual(JobState.COMPLETE, submission.answer.state, reason)

    def test_runs_that_never_started_use_up_no_attempts(self) -> None:
        for reason in (RefusalReason.FENCED, RefusalReason.LEAVING, RefusalReason.LEASE_ENDED):
            submission = self.run_interrupted(Verdict.NOT_RUN, reason)
            assert submission.answer is not None
            self.assertEqual(JobState.COMPLETE, submission.answer.state, reason)

    def test_task_whose_run_may_go_on_at_a_lost_target_is_not_placed_again(self) -> None:
        fixture = DispatcherFixture(agents=2)
        fixture.submit(tasks=1)
        fixture.dispatcher.place(0.0)
        fixture.report_all(Verdict.MAY_HAVE_RUN, RefusalReason.TARGET_LOST, 0.1)
        fixture.dispatcher.place(0.2)
        self.assertEqual([1], [len(link.starts()) for link in fixture.links if link.starts()])

    def test_a_task_that_fails_at_its_targets_fails_the_job(self) -> None:
        fixture = DispatcherFixture(agents=2)
        submission = fixture.submit(tasks=1)
        for number in range(SETTINGS.max_runs):
            self.assertIsNone(submission.answer)
            fixture.dispatcher.place(number * 0.1)
            fixture.report_all(Verdict.RAN, RefusalReason.TARGET_FAILED, number * 0.1)
        assert submission.answer is not None
        self.assertEqual(RefusalReason.TARGET_FAILED, submission.answer.reason)

    def test_targets_that_refuse_a_task_again_and_again_end_the_job_as_not_run(self) -> None:
        fixture = DispatcherFixture(agents=2)
        submission = fixture.submit(tasks=1)
        for number in range(SETTINGS.max_restarts + 1):
            fixture.dispatcher.place(number * 0.1)
            fixture.report_all(Verdict.NOT_RUN, RefusalReason.TARGET_REFUSED, number * 0.1)
        assert submission.answer is not None
        self.assertEqual(Verdict.NOT_RUN, submission.answer.verdict)


class LostAgentTest(TestCase):
    def test_job_that_is_not_best_effort_is_answered_once_its_other_tasks_have_reported(
        self,
    ) -> None:
        """Guards against "may have run" as the answer of a job of which a task has run."""
        fixture = DispatcherFixture(agents=2)
        submission = fixture.submit(tasks=2)
        submission.settings = evolve(SETTINGS, best_effort=False)
        fixture.dispatcher.place(0.0)
        lost = fixture.agents[0]
        del fixture.directory.agents[lost.incarnation]
        fixture.dispatcher.agent_lost(lost, 0.1)
        self.assertIsNone(submission.answer)
        other = next(task for _, task in fixture.agents[1].outstanding.values())
        fixture.report(1, submission.submission_id, other.index, other.attempt, 0.1, 0.2)
        assert submission.answer is not None
        self.assertEqual(Verdict.RAN, submission.answer.verdict)


class CancellationTest(TestCase):
    def cancellations(self, link: Any) -> list[str]:
        return [item.submission_id for item in link.sent if isinstance(item, CancelTasks)]

    def test_cancellation_that_may_be_lost_with_its_link_is_repeated_on_the_next(self) -> None:
        fixture = DispatcherFixture(agents=1)
        submission = fixture.submit(tasks=1)
        fixture.dispatcher.place(0.1)
        fixture.dispatcher.cancel(submission, 0.2)
        self.assertEqual([submission.submission_id], self.cancellations(fixture.links[0]))
        agent, new_link = fixture.agents[0], StubLink()
        agent.link = new_link  # type: ignore[assignment]
        fixture.dispatcher.link_opened(agent, 0.8)
        self.assertEqual([submission.submission_id], self.cancellations(new_link))

    def test_job_that_is_cancelled_while_an_agent_is_not_linked_is_cancelled_there_later(
        self,
    ) -> None:
        fixture = DispatcherFixture(agents=1)
        submission = fixture.submit(tasks=1)
        fixture.dispatcher.place(0.1)
        agent, new_link = fixture.agents[0], StubLink()
        agent.link = None
        fixture.dispatcher.cancel(submission, 0.2)
        agent.link = new_link  # type: ignore[assignment]
        fixture.dispatcher.link_opened(agent, 0.4)
        self.assertEqual([submission.submission_id], self.cancellations(new_link))

    def test_tasks_of_a_job_that_goes_on_are_not_cancelled_on_a_new_link(self) -> None:
        fixture = DispatcherFixture(agents=1)
        fixture.submit(tasks=1)
        fixture.dispatcher.place(0.1)
        agent, new_link = fixture.agents[0], StubLink()
        agent.link = new_link  # type: ignore[assignment]
        fixture.dispatcher.link_opened(agent, 0.4)
        self.assertEqual([], self.cancellations(new_link))


class SilenceTest(TestCase):
    def test_a_process_that_was_stalled_does_not_take_its_agents_for_silent(self) -> None:
        """Answers may be waiting to be read; a job that is read first must not be refused."""
        fixture = DispatcherFixture(agents=1)
        directory, agent = fixture.directory, fixture.agents[0]
        directory._stalls = StallDetector(0.0)
        fixture.submit(tasks=1)
        agent.link = fixture.links[0]
        fixture.dispatcher.place(0.1)
        fixture.links[0].received_at_s = -1.0
        directory._send_view(agent, 0.2)
        directory._stalls.tick(0.25)
        self.assertAlmostEqual(0.05, directory.silence_s(agent, 0.25))
        self.assertEqual(0.0, directory.silence_s(agent, 0.7))
        directory._stalls.tick(0.7)
        self.assertAlmostEqual(0.1, directory.silence_s(agent, 0.8))


class GivenUpJobsTest(TestCase):
    """Jobs whose callers left, or whose deadlines passed, while the entry was paused."""

    def test_waiting_tasks_of_a_caller_who_has_left_are_not_placed(self) -> None:
        fixture = DispatcherFixture(agents=1)
        submission = fixture.submit(tasks=1)
        submission.has_caller_left = lambda: True
        fixture.dispatcher.place(5.0)
        self.assertEqual([], fixture.links[0].starts())
        self.assertEqual(Verdict.NOT_RUN, submission.verdict())

    def test_lease_is_renewed_only_after_unwanted_tasks_were_cancelled(self) -> None:
        for given_up in ("left", "deadline"):
            fixture = DispatcherFixture(agents=1)
            submission = fixture.submit(tasks=1)
            fixture.dispatcher.place(0.0)
            self.assertEqual(1, len(fixture.links[0].starts()))
            if given_up == "left":
                submission.has_caller_left = lambda: True
            now_s = 5.0 if given_up == "left" else submission.deadline_s
            fixture.directory._handle_answer(
                FreshnessRequest(0.0), fixture.agents[0], fixture.dispatcher, now_s
            )
            cancel, stamp = fixture.links[0].sent[-2:]
            self.assertIsInstance(cancel, CancelTasks)
            self.assertIsInstance(stamp, Freshness)
