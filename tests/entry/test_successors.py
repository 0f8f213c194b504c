"""Tasks that the next process of a lost agent takes over, as the same run at the same target."""

from pistachiohill.agent.const import RUNS_END_S
from pistachiohill.const import JobState
from pistachiohill.entry.agent import Agent
from pistachiohill.entry.successors import SUCCESSOR_WAIT_S
from pistachiohill.errors import RefusalReason, Verdict
from pistachiohill.protocol.models import AnsweredStart, StartsAnswered, StartTasks
from pistachiohill.scheduling.models import TargetLoad
from pistachiohill.submissions.models import Submission

from ..base import TestCase
from .test_dispatcher import DispatcherFixture, StubLink

SENT_AT_S = 0.1
RETURNED_AT_S = 1.0
LOST_AT_S = SENT_AT_S + RUNS_END_S + 0.01
DEADLINE_S = 10.0  # before a start of the lost agent can't come any more


class SuccessorFixture(DispatcherFixture):
    """One task is placed at the first of two agents, which is lost."""

    def __init__(self, *, answered: bool = False) -> None:
        super().__init__(agents=2)
        for number, agent in enumerate(self.agents):
            agent.target_id = f"i-{number}"
        self.agents[1].accepting = False
        self.submission: Submission = self.submit(tasks=1)
        self.submission.deadline_s = DEADLINE_S
        self.dispatcher.place(SENT_AT_S)
        self.agents[1].accepting = True
        lost = self.agents[0]
        if answered:
            start = AnsweredStart(self.submission.submission_id, 0, 1)
            self.directory._handle_answer(StartsAnswered([start]), lost, self.dispatcher, SENT_AT_S)
        lost.link, lost.last_sent_at_s = None, SENT_AT_S
        self.directory._mark_lost(lost, self.dispatcher, "replaced")

    def let_successor_accept(self, target_id: str) -> StubLink:
        """Let the next process of the lost agent report its target."""
        link = StubLink()
        load = TargetLoad("a0-next", "bern-a", cpu_m=1000, mem_mb=1000)
        agent = Agent("a0-next", ("a", 0), "bern-a", load, link, "clocking", True)  # type: ignore[arg-type]
        agent.target_id = target_id
        self.directory.agents[agent.incarnation] = agent
        self.agents.append(agent)
        self.dispatcher.agent_changed(agent, RETURNED_AT_S)
        return link

    def starts_elsewhere(self, now_s: float) -> int:
        self.dispatcher.runs_ended(self.agents[0], now_s)
        self.dispatcher.place(now_s)
        return len(self.links[1].starts())


def taken_over(link: StubLink) -> list[tuple[int, bool]]:
    """Return the attempt of each task placed, and whether an earlier start of it may come."""
    messages = [item for item in link.sent if isinstance(item, StartTasks)]
    return [(task.attempt, task.late_start_s > 0.0) for item in messages for task in item.tasks]


class SuccessorsTest(TestCase):
    def test_successor_at_the_same_target_gets_the_same_run(self) -> None:
        """Guards against jobs that fail when an agent is killed as it starts a task."""
        fixture = SuccessorFixture()
        link = fixture.let_successor_accept("i-0")
        self.assertEqual([(1, True)], taken_over(link))
        self.assertEqual(0, fixture.starts_elsewhere(LOST_AT_S))
        fixture.report_all(Verdict.RAN, "", 2.0)
        assert fixture.submission.answer is not None
        self.assertEqual(JobState.COMPLETE, fixture.submission.answer.state)

    def test_agent_at_another_target_takes_nothing_over(self) -> None:
        """Guards against two runs: only the same target executes a run once."""
        fixture = SuccessorFixture()
        self.assertEqual([], taken_over(fixture.let_successor_accept("i-9")))
        self.assertEqual([], taken_over(fixture.let_successor_accept("")))
        self.assertEqual(0, fixture.starts_elsewhere(LOST_AT_S))

    def test_task_whose_start_was_answered_is_placed_anew(self) -> None:
        fixture = SuccessorFixture(answered=True)
        self.assertEqual([], taken_over(fixture.let_successor_accept("i-0")))

    def test_outcome_other_than_success_fails_the_job_and_places_the_task_nowhere(self) -> None:
        """Guards against two runs: the first start may still come at the target's next process."""
        for verdict, reason in (
            (Verdict.NOT_RUN, RefusalReason.BUSY),
            (Verdict.RAN, RefusalReason.TARGET_LOST),
        ):
            fixture = SuccessorFixture()
            fixture.let_successor_accept("i-0")
            fixture.report_all(verdict, reason, 2.0)
            fixture.dispatcher.place(2.0)
            self.assertEqual(0, len(fixture.links[1].starts()))
            answer = fixture.submission.answer
            assert answer is not None
            self.assertEqual(RefusalReason.LOST_AGENT, answer.reason)
            self.assertNotEqual(Verdict.NOT_RUN, answer.verdict)
            until_s = fixture.directory.late_starts.job_until_s("k")
            self.assertGreater(until_s, DEADLINE_S)

    def test_job_waits_for_a_successor_for_a_while_and_is_then_answered(self) -> None:
        """Guards against jobs that are held until their deadline for an agent that is gone."""
        fixture = SuccessorFixture()
        self.assertEqual(0, fixture.starts_elsewhere(LOST_AT_S))
        self.assertIsNone(fixture.submission.answer)
        fixture.starts_elsewhere(LOST_AT_S + SUCCESSOR_WAIT_S)
        assert fixture.submission.answer is not None
        self.assertEqual(RefusalReason.LOST_AGENT, fixture.submission.answer.reason)

    def test_job_whose_deadline_passes_meanwhile_is_known_as_one_that_may_start(self) -> None:
        """Guards against holding it until its deadline when it is sent again."""
        fixture = SuccessorFixture()
        fixture.submission.deadline_s = LOST_AT_S + 0.1
        fixture.starts_elsewhere(LOST_AT_S)
        fixture.dispatcher.end_unwanted(LOST_AT_S + 1.0)
        assert fixture.submission.answer is not None
        self.assertEqual(RefusalReason.DEADLINE, fixture.submission.answer.reason)
        fixture.starts_elsewhere(LOST_AT_S + 1.1)
        self.assertGreater(fixture.directory.late_starts.job_until_s("k"), DEADLINE_S)

    def test_first_start_is_still_waited_for_if_the_successor_is_lost_too(self) -> None:
        """Guards against two runs: an answer to the second start says nothing of the first."""
        fixture = SuccessorFixture()
        fixture.let_successor_accept("i-0")
        task = fixture.submission.tasks[0]
        task.is_start_answered = True
        next_agent = fixture.agents[-1]
        next_agent.link, next_agent.last_sent_at_s = None, RETURNED_AT_S
        fixture.directory._mark_lost(next_agent, fixture.dispatcher, "killed")
        fixture.dispatcher.runs_ended(next_agent, RETURNED_AT_S + RUNS_END_S + 0.1)
        fixture.dispatcher.place(RETURNED_AT_S + RUNS_END_S + 0.1)
        self.assertEqual(0, len(fixture.links[1].starts()))
