"""Starts that agents reported as unanswered: their tasks run nowhere else until these can't come.

Without these notices, an entry takes the runs of an agent that has ended for ended as well.
"""

import trio

from pistachiohill import clock
from pistachiohill.agent.const import LATE_START_S, RUNS_END_S
from pistachiohill.const import JobState
from pistachiohill.entry.late_starts import LateStartTable
from pistachiohill.errors import RefusalReason, Verdict
from pistachiohill.protocol.models import (
    AnsweredStart,
    LateStart,
    LateStarts,
    Message,
    StartsAnswered,
)
from pistachiohill.submissions.models import Submission

from ..base import TestCase
from .test_best_effort import REQUEST, SETTINGS, StubAdmission, StubDispatcher, make_jobs
from .test_dispatcher import DispatcherFixture

SENT_AT_S = 0.1
LOST_AT_S = SENT_AT_S + RUNS_END_S
LATE_S = 6.0  # shorter than the deadline of the fixture's job


def notice(for_s: float, task_id: str = "k/0") -> LateStarts:
    return LateStarts([LateStart(task_id, for_s)])


class LateStartTableTest(TestCase):
    def test_start_is_known_until_it_cannot_come_or_its_agent_says_so(self) -> None:
        table = LateStartTable()
        table.record("a", notice(2.0), 1.0)
        table.record("a", notice(5.0, "k/1"), 1.0)
        self.assertEqual(3.0, table.task_until_s("k/0", "a"))
        self.assertEqual(6.0, table.job_until_s("k"))
        table.record("a", notice(0.0, "k/1"), 1.5)
        self.assertEqual(3.0, table.job_until_s("k"))
        table.record("a", notice(1.0, "other/0"), 3.5)
        self.assertLess(table.job_until_s("k"), 0.0)

    def test_word_of_another_agent_does_not_remove_a_start(self) -> None:
        table = LateStartTable()
        table.record("a", notice(2.0), 1.0)
        table.record("b", notice(0.0), 1.0)
        self.assertEqual(3.0, table.job_until_s("k"))
        self.assertLess(table.task_until_s("k/0", "b"), 0.0)


class LostAgentTest(TestCase):
    def _lose_agent(
        self, for_s: float, *, answered: bool = True
    ) -> tuple[DispatcherFixture, Submission, int]:
        """Lose an agent that has reported a start; return its number as well."""
        fixture = DispatcherFixture(agents=2)
        submission = fixture.submit(tasks=1)
        fixture.dispatcher.place(SENT_AT_S)
        number = next(number for number, link in enumerate(fixture.links) if link.starts())
        agent = fixture.agents[number]
        fixture.links[number].sent_at_s = SENT_AT_S
        messages: list[Message] = [notice(for_s)] if for_s else []
        if answered:
            start = AnsweredStart(submission.submission_id, 0, 1)
            messages.append(StartsAnswered([start]))
        for message in messages:
            fixture.directory._handle_answer(message, agent, fixture.dispatcher, SENT_AT_S)
        del fixture.directory.agents[agent.incarnation]
        fixture.dispatcher.agent_lost(agent, SENT_AT_S)
        return fixture, submission, number

    def _starts_elsewhere(self, fixture: DispatcherFixture, number: int, now_s: float) -> int:
        fixture.dispatcher.runs_ended(fixture.agents[number], now_s)
        fixture.dispatcher.place(now_s)
        return len(fixture.links[1 - number].starts())

    def test_task_of_a_lost_agent_is_placed_again_only_when_its_start_cannot_come(self) -> None:
        """Guards against two runs: the runner's next process may execute the start until then."""
        fixture, submission, number = self._lose_agent(LATE_S)
        self.assertEqual(0, self._starts_elsewhere(fixture, number, LOST_AT_S))
        self.assertEqual(0, self._starts_elsewhere(fixture, number, SENT_AT_S + LATE_S - 0.01))
        self.assertIsNone(submission.answer)
        self.assertEqual(1, self._starts_elsewhere(fixture, number, SENT_AT_S + LATE_S))

    def test_task_is_placed_again_at_once_if_all_its_starts_were_answered(self) -> None:
        fixture, _, number = self._lose_agent(0.0)
        self.assertEqual(1, self._starts_elsewhere(fixture, number, LOST_AT_S))

    def test_task_is_not_placed_again_while_its_agent_has_not_said_that_its_start_was_answered(
        self,
    ) -> None:
        """Guards against two runs if the agent is killed while a start is under way."""
        fixture, _, number = self._lose_agent(0.0, answered=False)
        self.assertEqual(0, self._starts_elsewhere(fixture, number, LOST_AT_S))
        end_s = LOST_AT_S + LATE_START_S
        self.assertEqual(0, self._starts_elsewhere(fixture, number, end_s - 0.01))
        self.assertEqual(1, self._starts_elsewhere(fixture, number, end_s + 0.01))

    def test_answer_to_an_earlier_placement_says_nothing_of_a_later_one(self) -> None:
        fixture, submission, number = self._lose_agent(0.0, answered=False)
        message = StartsAnswered([AnsweredStart(submission.submission_id, 0, 0)])
        agent = fixture.agents[number]
        fixture.directory._handle_answer(message, agent, fixture.dispatcher, SENT_AT_S)
        self.assertEqual(0, self._starts_elsewhere(fixture, number, LOST_AT_S))

    def test_task_whose_start_was_answered_later_is_placed_again_at_once(self) -> None:
        fixture, _, number = self._lose_agent(LATE_S)
        agent = fixture.agents[number]
        fixture.directory._handle_answer(notice(0.0), agent, fixture.dispatcher, SENT_AT_S)
        self.assertEqual(1, self._starts_elsewhere(fixture, number, LOST_AT_S))

    def test_job_that_cannot_wait_for_so_long_is_answered_at_once(self) -> None:
        """The answer must not say that nothing has run, and the job stays held until then."""
        for_s = 61.0
        fixture, submission, number = self._lose_agent(for_s)
        self.assertEqual(0, self._starts_elsewhere(fixture, number, LOST_AT_S))
        assert submission.answer is not None
        self.assertEqual(JobState.FAILED, submission.answer.state)
        self.assertEqual(Verdict.MAY_HAVE_RUN, submission.answer.verdict)
        self.assertEqual(RefusalReason.LOST_AGENT, submission.answer.reason)
        self.assertEqual(1, submission.outstanding)
        self.assertEqual(0, self._starts_elsewhere(fixture, number, SENT_AT_S + for_s))
        self.assertEqual(0, submission.outstanding)


class JobSentAgainTest(TestCase):
    async def test_job_waits_at_each_entry_until_its_earlier_start_cannot_come(self) -> None:
        """Guards against two runs when the entry that had the job, and its agent, are gone."""
        late_starts = LateStartTable()
        dispatcher = StubDispatcher()
        jobs, _ = make_jobs(StubAdmission(0.0, target=True), 60.0, dispatcher, late_starts)
        late_starts.record("a", notice(0.3, f"{REQUEST.key}/0"), clock.boot_s())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(jobs.async_run, REQUEST, SETTINGS)
            await trio.sleep(0.2)
            self.assertEqual([], dispatcher.submitted)
        self.assertEqual(1, len(dispatcher.submitted))

    async def test_job_that_would_wait_beyond_its_deadline_is_answered_at_once(self) -> None:
        late_starts = LateStartTable()
        jobs, dispatcher = make_jobs(StubAdmission(0.0, target=True), 60.0, None, late_starts)
        for_s = REQUEST.deadline_s + LATE_START_S
        late_starts.record("a", notice(for_s, f"{REQUEST.key}/0"), clock.boot_s())
        with trio.fail_after(0.1):
            answer = await jobs.async_run(REQUEST, SETTINGS)
        self.assertEqual(
            (Verdict.MAY_HAVE_RUN, RefusalReason.DEADLINE), (answer.verdict, answer.reason)
        )
        self.assertEqual([], dispatcher.submitted)
