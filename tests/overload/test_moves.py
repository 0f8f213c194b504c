"""Requests to stop a task: when they are sent, and what follows when something fails halfway."""

from typing import Any

from attrs import evolve

from pistachiohill.const import JobState, TaskState
from pistachiohill.entry.metrics import EntryMetrics
from pistachiohill.errors import RefusalReason, Verdict
from pistachiohill.overload.budget import StopBudget
from pistachiohill.overload.mover import REPEAT_S, TaskMover
from pistachiohill.overload.overrun import MoveCause, Outlook, choose_moves
from pistachiohill.protocol.models import AgentLoad, StopTask, TaskReport
from pistachiohill.settings.daemon import load_daemon_settings
from pistachiohill.settings.errors import SettingsError
from pistachiohill.settings.models import ENTRY_FIELDS, AgentSettings, EntrySettings
from pistachiohill.submissions.identifiers import IdIssuer
from pistachiohill.submissions.models import JobRequest, Submission, TaskSpec, new_submission

from ..base import TestCase
from ..entry.test_dispatcher import SETTINGS, DispatcherFixture

RUN_S, NOW_S, DEADLINE_S = 1.0, 0.3, 8.0
SLOW = AgentLoad(0, 0, 0, [], 12.0, NOW_S)
SOUND = AgentLoad(0, 0, 0, [])
MOVED = RefusalReason.MOVED


class MoveFixture(DispatcherFixture):
    """One task is placed at the first agent, whose target then turns slow."""

    def __init__(self, fraction: float = 0.05) -> None:
        super().__init__(agents=2)
        for agent in self.agents:
            agent.load.cpu_m = 4000
        budget = StopBudget(fraction)
        for _ in range(100):
            budget.record_run("a0", 0.0)
        self.mover = TaskMover(self.directory, self.dispatcher.waiting, budget, EntryMetrics())
        self.dispatcher.add_listener(self.mover)
        self.agents[1].accepting = False
        self.submission = self.submit_job()
        self.dispatcher.place(0.0)
        self.agents[1].accepting = True

    def submit_job(self) -> Submission:
        request = JobRequest("m", "j", (TaskSpec(b"", declared_s=RUN_S),), DEADLINE_S, key="k")
        submission_id = IdIssuer("0011223344556677").issue("m", 0, 0.0)
        settings = evolve(SETTINGS, slack_factor=1.6, target_latency_s=0.06)
        submission = new_submission(submission_id, request, settings, 0.0)
        self.dispatcher.submit(submission, 0.0)
        return submission

    def turn_slow(self, now_s: float = NOW_S) -> int:
        """Let the first target be reported as slow; return the number of stops requested so far."""
        self.agents[0].record_load(SLOW, now_s)
        self.mover.move_tasks(now_s)
        return self.stops()

    def stops(self) -> int:
        return sum(isinstance(item, StopTask) for link in self.links for item in link.sent)

    def starts(self) -> list[int]:
        """Return how often the task was sent to each agent."""
        return [len(link.starts()) for link in self.links]

    def report_end(self, verdict: Verdict, reason: str, now_s: float, attempt: int = 1) -> None:
        fields: Any = {"reason": reason, "run_s": now_s}
        report = TaskReport(0, attempt, TaskState.SETTLED, verdict, **fields)
        self._receive(self.agents[0], self.submission.submission_id, report, now_s)
        self.dispatcher.place(now_s)


class MovesTest(TestCase):
    def test_a_task_runs_elsewhere_once_its_stop_is_reported_and_not_before(self) -> None:
        fixture = MoveFixture()
        self.assertEqual(1, fixture.turn_slow())
        fixture.dispatcher.place(NOW_S)
        self.assertEqual([1, 0], fixture.starts())
        fixture.report_end(Verdict.RAN, MOVED, 0.4)
        self.assertEqual([1, 1], fixture.starts())
        task = fixture.submission.tasks[0]
        self.assertEqual((2, 0, 0), (task.attempt, task.restarts, task.failed_runs))

    def test_a_run_that_ends_while_its_stop_is_under_way_counts(self) -> None:
        fixture = MoveFixture()
        fixture.turn_slow()
        fixture.report_end(Verdict.RAN, "", 0.4)
        assert fixture.submission.answer is not None
        self.assertEqual(JobState.COMPLETE, fixture.submission.answer.state)
        self.assertEqual([1, 0], fixture.starts())

    def test_a_stop_without_an_answer_is_repeated_and_moves_nothing(self) -> None:
        fixture = MoveFixture()
        self.assertEqual(1, fixture.turn_slow())
        self.assertEqual(1, fixture.turn_slow(NOW_S + REPEAT_S / 2))
        self.assertEqual(2, fixture.turn_slow(NOW_S + REPEAT_S + 0.1))
        fixture.dispatcher.place(NOW_S + REPEAT_S + 0.1)
        self.assertEqual([1, 0], fixture.starts())

    def test_an_agent_lost_halfway_lets_the_task_run_again_once(self) -> None:
        fixture = MoveFixture()
        fixture.turn_slow()
        lost = fixture.agents[0]
        del fixture.directory.agents[lost.incarnation]
        fixture.submission.tasks[0].is_start_answered = True
        fixture.dispatcher.agent_lost(lost, 0.4)
        fixture.dispatcher.place(0.4)
        self.assertEqual([1, 0], fixture.starts(), "its run may go on")
        fixture.dispatcher.runs_ended(lost, 1.7)
        fixture.dispatcher.place(1.7)
        fixture.report_end(Verdict.RAN, MOVED, 1.8)  # late, of the placement that is settled
        self.assertEqual([1, 1], fixture.starts())

    def test_a_repeated_report_of_a_move_starts_no_second_run(self) -> None:
        fixture = MoveFixture()
        fixture.turn_slow()
        for now_s in (0.4, 0.5):
            fixture.report_end(Verdict.RAN, MOVED, now_s)
        self.assertEqual([1, 1], fixture.starts())

    def test_no_task_moves_beyond_the_budget(self) -> None:
        self.assertEqual(0, MoveFixture(0.001).turn_slow())

    def test_no_task_moves_for_a_caller_who_is_served_in_time_or_gets_nothing_either_way(
        self,
    ) -> None:
        in_time = MoveFixture()
        in_time.agents[0].record_load(evolve(SLOW, slowdown=1.5), NOW_S)
        in_time.mover.move_tasks(NOW_S)
        self.assertEqual(0, in_time.stops())
        self.assertEqual(0, MoveFixture().turn_slow(DEADLINE_S - RUN_S))

    def test_a_task_that_will_be_late_anyway_only_moves_where_room_is_left(self) -> None:
        for now_s, used_cpu_m, stops in ((0.1, 3000, 1), (0.9, 2000, 1), (0.9, 3000, 0)):
            fixture = MoveFixture()
            fixture.agents[1].load.others_cpu_m = used_cpu_m
            self.assertEqual(stops, fixture.turn_slow(now_s), (now_s, used_cpu_m))

    def test_a_task_that_cannot_end_before_its_target_leaves_is_moved_outside_the_budget(
        self,
    ) -> None:
        for leaves_in_s, stops in ((0.3, 1), (2.0, 0), (-1.0, 0)):
            fixture = MoveFixture(0.001)
            fixture.agents[0].record_load(SOUND, NOW_S)
            fixture.agents[0].record_notice(leaves_in_s, NOW_S)
            fixture.mover.move_tasks(NOW_S)
            self.assertEqual(stops, fixture.stops(), leaves_in_s)

    def test_tasks_are_moved_only_if_the_job_ends_in_a_better_class(self) -> None:
        slow = Outlook(0, "a0", 4.0, 0.9, MoveCause.SLOW)
        for other_end_s, moves in ((0.2, [slow]), (2.0, [slow]), (3.5, [])):
            other = Outlook(1, "a1", other_end_s)
            self.assertEqual(moves, choose_moves([slow, other], 1.0, 3.0), other_end_s)
        late = evolve(slow, stay_end_s=2.5)
        self.assertEqual([], choose_moves([late, Outlook(1, "a1", 2.0)], 1.0, 3.0))

    def test_the_part_is_off_unless_settings_ask_for_it(self) -> None:
        self.assertEqual(0.0, EntrySettings().overrun_budget)
        self.assertFalse(AgentSettings().detect_slowdown)
        with self.assertRaises(SettingsError) as caught:
            load_daemon_settings(EntrySettings, ENTRY_FIELDS, None, {"overrun_budget": 2.0})
        problem = "overrun_budget: expected 0 to 1, got 2"
        self.assertIn(problem, str(caught.exception))
