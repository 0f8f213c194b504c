"""Tests of submission identifiers: each is valid for one owner and one member only."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pistachiohill.submissions.identifiers import IdIssuer, new_incarnation, parse_submission_id

from ..base import TestCase


class IdentifierTest(TestCase):
    def test_identifier_is_bound_to_member_and_incarnation(self) -> None:
        issuer = IdIssuer(new_incarnation())
        text = issuer.issue("brunner", 3, 12.5)
        parsed = parse_submission_id(text)
        assert parsed is not None
        self.assertEqual(
            (issuer.incarnation, 3, 12.5), (parsed.owner, parsed.offset, parsed.issued_s)
        )
        self.assertTrue(issuer.has_issued(text, "brunner"))
        self.assertFalse(issuer.has_issued(text, "brno"))
        self.assertFalse(IdIssuer(issuer.incarnation).has_issued(text, "brunner"))
        self.assertFalse(issuer.has_issued(text.replace(".3.", ".2."), "brunner"))

    @seed(20261204)
    @settings(max_examples=300, deadline=None, database=None)
    @given(st.text(max_size=80))
    def test_arbitrary_text_is_not_accepted_and_raises_nothing(self, text: str) -> None:
        parse_submission_id(text)
        self.assertFalse(IdIssuer(new_incarnation()).has_issued(text, "m"))
