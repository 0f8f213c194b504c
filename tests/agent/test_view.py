"""Tests for admission, and for AgentView: its offset never decreases, its age is not too low."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pistachiohill.agent.admission import start_refusal, submission_refusal
from pistachiohill.agent.models import TargetState
from pistachiohill.agent.view import AgentView
from pistachiohill.errors import RefusalReason
from pistachiohill.protocol.models import ViewStamp
from pistachiohill.submissions.identifiers import IdIssuer, new_incarnation

from ..base import TestCase

STAMPS = st.lists(
    st.builds(
        ViewStamp,
        st.integers(0, 5),
        st.floats(-1.0, 100.0),
        st.floats(-5.0, 50.0),
        st.booleans(),
        st.just(4.0),
    ),
    max_size=20,
)


class ViewTest(TestCase):
    @seed(20261204)
    @settings(max_examples=300, deadline=None, database=None)
    @given(STAMPS)
    def test_matches_full_recomputation(self, stamps: list[ViewStamp]) -> None:
        view = AgentView()
        merged: list[ViewStamp] = []
        for stamp in stamps:
            before = view.offset
            view.merge(stamp, 50.0)
            self.assertGreaterEqual(view.offset, before)
            if stamp.offset >= before:
                merged.append(stamp)
        if not stamps:
            return
        highest = max(stamp.offset for stamp in stamps)
        self.assertEqual(highest, view.offset)
        first = next(stamp for stamp in stamps if stamp.offset == highest)
        self.assertEqual(first.domain_out, view.domain_out)
        known = [s.echo_s - max(0.0, s.age_s) for s in merged if 0.0 <= s.echo_s <= 50.0]
        self.assertEqual(max(known, default=float("-inf")), view.confirmed_at_s)

    def test_start_refusals(self) -> None:
        present = TargetState("s", "http://h", 8000, 0, False, 100.0)
        leaving = TargetState("s", "http://h", 8000, 0, True, 100.0)
        out = AgentView(1, True, 0.0, 4.0)
        self.assertIsNone(start_refusal(AgentView(), present, False, 50.0))
        self.assertEqual(RefusalReason.STOPPING, start_refusal(AgentView(), present, True, 50.0))
        self.assertEqual(RefusalReason.LEAVING, start_refusal(AgentView(), leaving, False, 50.0))
        self.assertEqual(RefusalReason.LEAVING, start_refusal(AgentView(), present, False, 101.0))
        self.assertEqual(RefusalReason.DOMAIN_OUT, start_refusal(out, present, False, 50.0))

    def test_submissions_before_the_announcement_or_expired_are_refused(self) -> None:
        issuer = IdIssuer(new_incarnation())
        submission_id = issuer.issue("m", offset=7, now_s=1000.0)
        self.assertIsNone(submission_refusal(submission_id, 7, 180.0, 1000.0))
        wrong = RefusalReason.WRONG_INCARNATION
        self.assertEqual(wrong, submission_refusal(submission_id, 8, 180.0, 1000.0))
        self.assertEqual(wrong, submission_refusal(submission_id, -1, 180.0, 1000.0))
        expired = RefusalReason.EXPIRED_ID
        self.assertEqual(expired, submission_refusal(submission_id, 7, 180.0, 1121.0))
        self.assertEqual(RefusalReason.INVALID, submission_refusal("x", 7, 180.0, 1000.0))
