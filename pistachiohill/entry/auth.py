"""Authenticate members and operators by bearer tokens that are kept only as hashes."""

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
    """Return the hash of a token as settings keep it."""
    return hashlib.sha256(token.encode()).hexdigest()


def authenticate_member(state: ConsortiumState, headers: Mapping[str, str]) -> str:
    """Return the member that a request's token belongs to; raise a 401 problem otherwise.

    Every member's hash is compared in constant time, whichever matches.
    """
    presented = hash_token(_token(headers))
    found = ""
    for path, node in state.nodes.items():
        known = node.values.get(CONF_TOKEN_SHA256, "")
        if level_of(path) != Level.MEMBER or not known:
            continue
        if hmac.compare_digest(str(known), presented):
            found = path.split("/")[1]
    if not found:
        raise _unauthorized("the token belongs to no member")
    return found


def authenticate_operator(token_sha256: str, headers: Mapping[str, str]) -> None:
    """Raise a 401 problem unless a request carries the operators' token."""
    presented = hash_token(_token(headers))
    if not token_sha256 or not hmac.compare_digest(token_sha256, presented):
        raise _unauthorized("the token is not the operators'")


def _token(headers: Mapping[str, str]) -> str:
    value = headers.get("authorization", "")
    if not value.lower().startswith(_SCHEME):
        raise _unauthorized("expected `Authorization: Bearer TOKEN`")
    return value[len(_SCHEME) :].strip()


def _unauthorized(detail: str) -> HttpError:
    return HttpError(Problem(401, RefusalReason.INVALID, Verdict.NOT_RUN, detail, "authorization"))
