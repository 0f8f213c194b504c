"""A job's outcome and cause are derived from the log lines of several processes."""

from pistachiohill import logs
from pistachiohill.explain.cause import diagnose_job
from pistachiohill.explain.models import Diagnosis, LogLine, Outcome
from pistachiohill.explain.reader import parse_line
from pistachiohill.explain.report import format_timeline, format_worst_jobs
from pistachiohill.explain.timeline import add_context, build_timelines, find_timeline

from ..base import TestCase

KEY = "5c0e7a21d94b36f8"
SUBMISSION = "sub-1"


def line(at_s: float, process: str, event: str, **fields: object) -> LogLine:
    """Return a log line, passed through the log formatter and the parser."""
    parsed = parse_line(logs._format_line("info", event, fields))
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


def diagnose(*lines: LogLine) -> Diagnosis:
    """Return the diagnosis of the only job in some lines."""
    timelines = build_timelines(lines)
    (timeline,) = timelines.values()
    add_context(timeline, lines)
    return diagnose_job(timeline)


class CauseTest(TestCase):
    def test_a_refusal_names_its_reason(self) -> None:
        diagnosis = diagnose(
            line(1.0, "entry0", "job_refused", key=KEY, reason="overload", detail="d")
        )
        self.assertEqual(
            (Outcome.REFUSED, "refused: overload"), (diagnosis.outcome, diagnosis.cause)
        )
        self.assertIn("nothing ran", diagnosis.detail)

    def test_a_refusal_for_work_of_other_entries(self) -> None:
        ahead = {"own_core_s": 1.0, "others_core_s": 3.0, "others_age_s": 0.1}
        diagnosis = diagnose(
            line(1.0, "entry0", "others_work_ahead", key=KEY, **ahead),
            line(1.0, "entry0", "job_refused", key=KEY, reason="overload", detail="d"),
        )
        self.assertEqual("refused: work of other entries", diagnosis.cause)
        self.assertIn("3.0 core-s", diagnosis.detail)

    def test_a_job_that_waited_until_it_was_useless_is_a_refusal(self) -> None:
        end = answered(2.0, "failed", verdict="not_run", reason="overload", detail="waited")
        diagnosis = diagnose(accepted(), end)
        self.assertEqual(
            (Outcome.REFUSED, "refused: overload"), (diagnosis.outcome, diagnosis.cause)
        )

    def test_run_time_is_the_cause_of_a_normal_job(self) -> None:
        diagnosis = diagnose(accepted(), placed(1.01), ran(1.2, 0, 0.0, 0.18), answered(1.21))
        self.assertEqual((Outcome.COMPLETE, "run time"), (diagnosis.outcome, diagnosis.cause))

    def test_a_wait_at_the_entry(self) -> None:
        diagnosis = diagnose(accepted(), placed(1.8), ran(2.0, 0, 0.0, 0.18), answered(2.01))
        self.assertEqual("waited at the entry", diagnosis.cause)

    def test_a_wait_at_an_agent(self) -> None:
        diagnosis = diagnose(accepted(), placed(1.01), ran(2.0, 1, 0.7, 0.2), answered(2.01))
        self.assertEqual("waited at an agent", diagnosis.cause)
        self.assertIn("agent1", diagnosis.detail)

    def test_a_task_that_was_placed_again(self) -> None:
        retry = line(
            1.5, "entry0", "task_again", submission=SUBMISSION, task=0, reason="lost_agent"
        )
        diagnosis = diagnose(
            accepted(), placed(1.01), retry, placed(1.5, "a2", "0.2"), answered(2.0)
        )
        self.assertEqual("placed again: lost_agent", diagnosis.cause)

    def test_a_move_names_the_target_and_what_was_expected(self) -> None:
        move = {"agent": "a1", "cause": "slow", "stay_s": 3.0, "move_s": 0.5}
        names = {"submission": SUBMISSION, "task": 0}
        request = line(1.4, "entry0", "task_move_requested", **names, **move)
        retry = line(1.5, "entry0", "task_again", **names, reason="moved")
        diagnosis = diagnose(accepted(), placed(1.01), request, retry, answered(2.0))
        self.assertEqual("placed again: moved", diagnosis.cause)
        self.assertIn("from a1, which was slow: it would have ended there in 3", diagnosis.detail)

    def test_failed_runs_name_their_agents(self) -> None:
        failed = line(1.2, "agent1", "task_failed", submission=SUBMISSION, task=0, reason="x")
        end = answered(1.3, "failed", reason="target_failed", detail="task 0: target_failed")
        diagnosis = diagnose(accepted(), placed(1.01), failed, end)
        self.assertEqual(
            (Outcome.FAILED, "failed: target_failed"), (diagnosis.outcome, diagnosis.cause)
        )
        self.assertIn("agent1", diagnosis.detail)

    def test_a_restart_of_the_entry_is_the_cause(self) -> None:
        restart = line(2.0, "entry0", "started", role="entry", incarnation="y")
        diagnosis = diagnose(accepted(), placed(1.01), restart)
        self.assertEqual((Outcome.UNANSWERED, "entry ended"), (diagnosis.outcome, diagnosis.cause))

    def test_an_entry_log_that_ends_is_the_cause(self) -> None:
        diagnosis = diagnose(accepted(), placed(1.01))
        self.assertEqual("entry log ends", diagnosis.cause)

    def test_the_caller_left_while_a_runner_was_silent(self) -> None:
        silent = line(1.3, "agent1", "runner_silent", runs=2)
        left = line(2.0, "entry0", "caller_left", key=KEY, submission=SUBMISSION)
        diagnosis = diagnose(accepted(), placed(1.01), ran(1.2, 0, 0.0, 0.1), silent, left)
        self.assertEqual(Outcome.CALLER_LEFT, diagnosis.outcome)
        self.assertIn("runner_silent at agent1", diagnosis.detail)

    def test_a_resubmitted_job_has_one_timeline(self) -> None:
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
        timelines = build_timelines(lines)
        self.assertEqual([KEY], list(timelines))
        self.assertEqual(Outcome.COMPLETE, diagnose_job(timelines[KEY]).outcome)
        self.assertIs(timelines[KEY], find_timeline(timelines, "sub-2"))
        self.assertIsNone(find_timeline(timelines, "0000000000000000"))

    def test_requests_to_a_runner_are_in_the_timeline(self) -> None:
        unanswered = line(1.1, "agent1", "start_unanswered", name=f"{KEY}.0.0.0", run=1, token=7)
        timelines = build_timelines([accepted(), unanswered])
        self.assertEqual(2, len(timelines[KEY].lines))

    def test_the_report_begins_with_the_cause(self) -> None:
        lines = [accepted(), placed(1.01), ran(1.2, 0, 0.0, 0.18), answered(1.21)]
        (timeline,) = build_timelines(lines).values()
        rows = format_timeline(timeline)
        self.assertTrue(rows[0].startswith(f"{KEY}: complete: "), rows[0])
        self.assertEqual(len(lines) + 2, len(rows))

    def test_worst_jobs_are_failed_ones_then_the_slowest(self) -> None:
        refused = line(1.0, "entry0", "job_refused", key="r", reason="overload", detail="d")
        lines = [accepted(), placed(1.01), answered(1.4), refused]
        rows = format_worst_jobs(build_timelines(lines), lines, 5)
        self.assertIn("refused: overload", rows[0] + rows[1])
        self.assertTrue(rows[3].startswith("r  refused"), rows)
