"""Authentication of members and operators by bearer tokens, which are stored only as hashes."""

import hashlib
import hmac
from collections.abc import Mapping

from ..consortium.state import ConsortiumState
from ..errors import RefusalReason, Verdict
from ..http.models import HttpError, Problem
from ..settings.const import CONF_TOKEN_SHA256, Level
from ..settings.tree import level_of

_SCHEME = "bearer "


def hash_token(token: str) -> str:
    """Return the hash of a token, in the form that settings store."""
    return hashlib.sha256(token.encode()).hexdigest()


def authenticate_member(state: ConsortiumState, headers: Mapping[str, str]) -> str:
    """Return the member that a request's token belongs to; raise a 401 problem if there is none.

    Every member's hash is compared, each in constant time; the search does not stop at a match.
    """
    presented_hash = hash_token(_read_token(headers))
    member = ""
    for path, node in state.nodes.items():
        member_hash = node.values.get(CONF_TOKEN_SHA256, "")
        if level_of(path) != Level.MEMBER or not member_hash:
            continue
        if hmac.compare_digest(str(member_hash), presented_hash):
            member = path.split("/")[1]
    if not member:
        raise _unauthorized("the token belongs to no member")
    return member


def authenticate_operator(token_sha256: str, headers: Mapping[str, str]) -> None:
    """Raise a 401 problem unless a request carries the operator token."""
    presented_hash = hash_token(_read_token(headers))
    if not token_sha256 or not hmac.compare_digest(token_sha256, presented_hash):
        raise _unauthorized("the token is not the operator token")


def _read_token(headers: Mapping[str, str]) -> str:
    value = headers.get("authorization", "")
    if not value.lower().startswith(_SCHEME):
        raise _unauthorized("expected `Authorization: Bearer TOKEN`")
    return value[len(_SCHEME) :].strip()


def _unauthorized(detail: str) -> HttpError:
    return HttpError(Problem(401, RefusalReason.INVALID, Verdict.NOT_RUN, detail, "authorization"))
