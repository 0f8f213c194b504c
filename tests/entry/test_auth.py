"""Tests for the authentication of members and operators by hashed tokens."""

from pistachiohill.consortium.state import ConsortiumState
from pistachiohill.entry.auth import authenticate_member, authenticate_operator, hash_token
from pistachiohill.http.models import HttpError
from pistachiohill.protocol.models import PublishRecord

from ..base import TestCase


def state() -> ConsortiumState:
    """Return a state with two members, the second of which has been deleted."""
    consortium = ConsortiumState(offset=0)
    for offset, name in enumerate(("brunner", "brno"), start=1):
        text = f'token_sha256 = "{hash_token("token-" + name)}"'
        record = PublishRecord(name, f"consortium/{name}", 0, text, "operator")
        consortium.apply(record, offset)
    record = PublishRecord("end", "consortium/brno", 2, "", "operator", deleted=True)
    consortium.apply(record, 3)
    return consortium


class AuthTest(TestCase):
    def test_members(self) -> None:
        headers = {"authorization": "Bearer token-brunner"}
        self.assertEqual("brunner", authenticate_member(state(), headers))
        for value in ("Bearer token-brno", "Bearer ", "Basic x", "", "Bearer é"):
            error = self.assertRaises(
                HttpError, authenticate_member, state(), {"authorization": value}
            )
            self.assertEqual(401, error.problem.status)

    def test_operators(self) -> None:
        token_hash = hash_token("operator")
        authenticate_operator(token_hash, {"authorization": "bearer operator"})
        for token_sha256, value in (
            (token_hash, "Bearer x"),
            ("", "Bearer operator"),
            ("", "Bearer "),
        ):
            self.assertRaises(
                HttpError, authenticate_operator, token_sha256, {"authorization": value}
            )
