"""The cause of a job's fate, from the lines that processes write."""

from pistachiohill import logs
from pistachiohill.explain.cause import find_cause
from pistachiohill.explain.models import Fate, LogLine, Verdict
from pistachiohill.explain.reader import parse_line
from pistachiohill.explain.report import format_timeline, format_worst_jobs
from pistachiohill.explain.timeline import add_context, build_timelines, find_timeline

from ..base import TestCase

KEY = "5c0e7a21d94b36f8"
SUBMISSION = "sub-1"


def line(at_s: float, process: str, event: str, **fields: object) -> LogLine:
    """Return a line as a process would have written it."""
    parsed = parse_line(logs._line("info", event, fields))
    assert parsed is not None
    return LogLine(at_s, process, event, parsed.fields)


def accepted(at_s: float = 1.0, process: str = "entry0") -> LogLine:
    return line(at_s, process, "job_accepted", submission=SUBMISSION, key=KEY, tasks=2, left_s=5.0)


def placed(at_s: float, agent: str = "a1", tasks: str = "0.1,1.1") -> LogLine:
    return line(at_s, "entry0", "tasks_placed", submission=SUBMISSION, agent=agent, tasks=tasks)


def ran(at_s: float, task: int, waited_s: float, run_s: float) -> LogLine:
    fields = {"submission": SUBMISSION, "task": task, "waited_s": waited_s, "run_s": run_s}
    return line(at_s, "agent1", "task_ran", **fields)


def answered(at_s: float, state: str = "complete", **fields: object) -> LogLine:
    names = {"submission": SUBMISSION, "key": KEY, "state": state, "elapsed_s": at_s - 1.0}
    return line(at_s, "entry0", "job_answered", **names, **fields)


def cause(*lines: LogLine) -> Verdict:
    """Return the cause of the only job in some lines."""
    stories = build_timelines(lines)
    (story,) = stories.values()
    add_context(story, lines)
    return find_cause(story)


class CauseTest(TestCase):
    def test_a_refusal_names_its_reason(self) -> None:
        found = cause(line(1.0, "entry0", "job_refused", key=KEY, reason="overload", detail="d"))
        self.assertEqual((Fate.REFUSED, "refused: overload"), (found.fate, found.cause))
        self.assertIn("nothing ran", found.detail)

    def test_run_time_is_the_cause_of_a_normal_job(self) -> None:
        found = cause(accepted(), placed(1.01), ran(1.2, 0, 0.0, 0.18), answered(1.21))
        self.assertEqual((Fate.COMPLETE, "run time"), (found.fate, found.cause))

    def test_a_wait_at_the_entry(self) -> None:
        found = cause(accepted(), placed(1.8), ran(2.0, 0, 0.0, 0.18), answered(2.01))
        self.assertEqual("waited at the entry", found.cause)

    def test_a_wait_at_an_agent(self) -> None:
        found = cause(accepted(), placed(1.01), ran(2.0, 1, 0.7, 0.2), answered(2.01))
        self.assertEqual("waited at an agent", found.cause)
        self.assertIn("agent1", found.detail)

    def test_a_task_that_was_placed_again(self) -> None:
        again = line(
            1.5, "entry0", "task_again", submission=SUBMISSION, task=0, reason="lost_agent"
        )
        found = cause(accepted(), placed(1.01), again, placed(1.5, "a2", "0.2"), answered(2.0))
        self.assertEqual("placed again: lost_agent", found.cause)

    def test_failed_runs_name_their_agents(self) -> None:
        failed = line(1.2, "agent1", "task_failed", submission=SUBMISSION, task=0, reason="x")
        end = answered(1.3, "failed", reason="target_failed", detail="task 0: target_failed")
        found = cause(accepted(), placed(1.01), failed, end)
        self.assertEqual((Fate.FAILED, "failed: target_failed"), (found.fate, found.cause))
        self.assertIn("agent1", found.detail)

    def test_an_entry_that_was_started_anew_is_the_cause(self) -> None:
        anew = line(2.0, "entry0", "started", role="entry", incarnation="y")
        found = cause(accepted(), placed(1.01), anew)
        self.assertEqual((Fate.UNANSWERED, "its entry ended"), (found.fate, found.cause))

    def test_an_entry_without_another_line_fell_silent(self) -> None:
        found = cause(accepted(), placed(1.01))
        self.assertEqual("its entry fell silent", found.cause)

    def test_the_caller_left_while_a_runner_was_silent(self) -> None:
        silent = line(1.3, "agent1", "runner_silent", runs=2)
        left = line(2.0, "entry0", "caller_left", key=KEY, submission=SUBMISSION)
        found = cause(accepted(), placed(1.01), ran(1.2, 0, 0.0, 0.1), silent, left)
        self.assertEqual(Fate.LEFT, found.fate)
        self.assertIn("runner_silent at agent1", found.detail)

    def test_a_job_sent_again_is_one_story(self) -> None:
        other = line(4.0, "entry1", "job_accepted", submission="sub-2", key=KEY, tasks=2, left_s=2)
        end = line(
            4.4,
            "entry1",
            "job_answered",
            submission="sub-2",
            key=KEY,
            state="complete",
            elapsed_s=0.4,
        )
        lines = [accepted(), placed(1.01), other, end]
        stories = build_timelines(lines)
        self.assertEqual([KEY], list(stories))
        self.assertEqual(Fate.COMPLETE, find_cause(stories[KEY]).fate)
        self.assertIs(stories[KEY], find_timeline(stories, "sub-2"))
        self.assertIsNone(find_timeline(stories, "0000000000000000"))

    def test_orders_to_a_runner_belong_to_the_story(self) -> None:
        unanswered = line(1.1, "agent1", "start_unanswered", task=f"{KEY}/0", run=1, token=7)
        stories = build_timelines([accepted(), unanswered])
        self.assertEqual(2, len(stories[KEY].lines))

    def test_the_report_begins_with_the_cause(self) -> None:
        lines = [accepted(), placed(1.01), ran(1.2, 0, 0.0, 0.18), answered(1.21)]
        (story,) = build_timelines(lines).values()
        rows = format_timeline(story)
        self.assertTrue(rows[0].startswith(f"{KEY}: complete: "), rows[0])
        self.assertEqual(len(lines) + 2, len(rows))

    def test_the_worst_are_the_unserved_and_then_the_slowest(self) -> None:
        refused = line(1.0, "entry0", "job_refused", key="r", reason="overload", detail="d")
        lines = [accepted(), placed(1.01), answered(1.4), refused]
        rows = format_worst_jobs(build_timelines(lines), lines, 5)
        self.assertIn("refused: overload", rows[0] + rows[1])
        self.assertTrue(rows[3].startswith("r  refused"), rows)
