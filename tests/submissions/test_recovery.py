"""Decisions on submissions of lost owners, against the definition written out naively."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pistachiohill.const import JobState, TaskState
from pistachiohill.errors import RefusalReason, Verdict
from pistachiohill.protocol.models import SealedSubmission, TaskReport
from pistachiohill.submissions.recovery import SealReports, decide

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
    def test_equals_definition(
        self, reports: list[tuple[int, int, str]], answered: set[str], count: int
    ) -> None:
        evidence = SealReports("s", "m", frozenset("ab"))
        seen: list[tuple[int, int]] = []
        for agent in answered:
            tasks = {index: state for index, state, name in reports if name == agent}
            seen += tasks.items()
            found = [
                TaskReport(index, 1, STATES[state][0], STATES[state][1], reason=STATES[state][2])
                for index, state in tasks.items()
            ]
            evidence.add(agent, SealedSubmission("s", "m", count, found))
        answer = decide(evidence)
        known = count if answered else 0
        done = {index for index, state in seen if state == 2}
        whole = known > 0 and done == set(range(known))
        self.assertEqual(whole, answer.state == JobState.COMPLETE)
        nothing = answered == set("ab") and all(state == 0 for _, state in seen)
        self.assertEqual(nothing and not whole, answer.verdict == Verdict.NOT_RUN)

    def test_another_members_submission_is_not_shown(self) -> None:
        evidence = SealReports("s", "m", frozenset())
        report = TaskReport(0, 1, TaskState.SETTLED, Verdict.RAN, body=b"secret")
        evidence.add("a", SealedSubmission("s", "other", 1, [report]))
        answer = decide(evidence)
        self.assertEqual(RefusalReason.UNKNOWN_ID, answer.reason)
        self.assertEqual((), answer.bodies)
