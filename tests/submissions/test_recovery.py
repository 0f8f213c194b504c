"""Tests of the recovery of submissions of lost owners, compared with a naive definition."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pistachiohill.const import JobState, TaskState
from pistachiohill.errors import RefusalReason, Verdict
from pistachiohill.protocol.models import SealedSubmission, TaskReport
from pistachiohill.submissions.recovery import SealReports, decide_answer

from ..base import TestCase

STATES = [
    (TaskState.FENCED, Verdict.NOT_RUN, RefusalReason.SEALED),
    (TaskState.RUNNING, Verdict.MAY_HAVE_RUN, ""),
    (TaskState.SETTLED, Verdict.RAN, ""),
    (TaskState.SETTLED, Verdict.RAN, RefusalReason.TARGET_FAILED),
    (TaskState.SETTLED, Verdict.MAY_HAVE_RUN, RefusalReason.TARGET_LOST),
]
REPORTS = st.lists(
    st.tuples(st.integers(0, 2), st.integers(0, 4), st.sampled_from("ab")), max_size=8
)


class DecideTest(TestCase):
    @seed(20261204)
    @settings(max_examples=400, deadline=None, database=None)
    @given(REPORTS, st.sets(st.sampled_from("ab")), st.integers(0, 3))
    def test_matches_definition(
        self, reports: list[tuple[int, int, str]], answered: set[str], count: int
    ) -> None:
        seal_reports = SealReports("s", "m", frozenset("ab"))
        reported_states: list[tuple[int, int]] = []
        for agent in answered:
            tasks = {index: state for index, state, name in reports if name == agent}
            reported_states += tasks.items()
            task_reports = [
                TaskReport(index, 1, STATES[state][0], STATES[state][1], reason=STATES[state][2])
                for index, state in tasks.items()
            ]
            seal_reports.add(agent, SealedSubmission("s", "m", count, task_reports))
        answer = decide_answer(seal_reports)
        known = count if answered else 0
        done = {index for index, state in reported_states if state == 2}
        complete = known > 0 and done == set(range(known))
        self.assertEqual(complete, answer.state == JobState.COMPLETE)
        not_run = answered == set("ab") and all(state == 0 for _, state in reported_states)
        self.assertEqual(not_run and not complete, answer.verdict == Verdict.NOT_RUN)

    def test_submission_of_another_member_is_not_disclosed(self) -> None:
        seal_reports = SealReports("s", "m", frozenset())
        report = TaskReport(0, 1, TaskState.SETTLED, Verdict.RAN, body=b"secret")
        seal_reports.add("a", SealedSubmission("s", "other", 1, [report]))
        answer = decide_answer(seal_reports)
        self.assertEqual(RefusalReason.UNKNOWN_ID, answer.reason)
        self.assertEqual((), answer.bodies)
