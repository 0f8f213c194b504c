"""Submission identifiers, which name the entry incarnation that owns them.

An identifier reads `OWNER.OFFSET.ISSUED.SEQUENCE.TAG`: the owner's incarnation, the log offset that
the owner had applied when it issued the identifier, the time of issue in milliseconds since the
epoch, a sequence number and an authentication tag, which only the owner can check. The tag binds
the identifier to the member it was issued to.
"""

import hashlib
import hmac
import re
import secrets
from collections.abc import Iterable

from attrs import frozen

_FORMAT = re.compile(
    r"([0-9a-f]{16})\.(\d{1,15})\.(\d{1,15})\.(\d{1,15})\.([0-9a-f]{16})", re.ASCII
)
_INCARNATION_BYTES = 8
_TAG_BYTES = 8
_KEY_BYTES = 32


@frozen
class SubmissionId:
    """A parsed submission identifier; `issued_s` is in seconds since the epoch."""

    owner: str
    offset: int
    issued_s: float
    sequence: int
    tag: str


def new_incarnation() -> str:
    """Return a name that no other process, earlier or later, has."""
    return secrets.token_hex(_INCARNATION_BYTES)


def parse_submission_id(text: str) -> SubmissionId | None:
    """Return the parts of an identifier, or None when it is malformed."""
    match = _FORMAT.fullmatch(text)
    if match is None:
        return None
    return SubmissionId(match[1], int(match[2]), int(match[3]) / 1000, int(match[4]), match[5])


def preferred_entry(service: str, entries: Iterable[str]) -> str:
    """Return the entry incarnation that should own a service's submissions.

    All of a service's tasks then wait in one queue. The choice is by rendezvous hashing over the
    entries known here; it is only a preference, so entries that disagree do no harm.
    """
    return max(entries, key=lambda entry: hashlib.blake2b(f"{service}/{entry}".encode()).digest())


class IdIssuer:
    """Issues the identifiers of one owner incarnation and recognises them again."""

    def __init__(self, incarnation: str) -> None:
        """Start a sequence with a key of its own."""
        self.incarnation = incarnation
        self._key = secrets.token_bytes(_KEY_BYTES)
        self._sequence = 0

    def issue(self, member: str, offset: int, now_s: float) -> str:
        """Return a new identifier for a member; `now_s` is seconds since the epoch."""
        self._sequence += 1
        head = f"{self.incarnation}.{max(offset, 0)}.{int(now_s * 1000)}.{self._sequence}"
        return f"{head}.{self._tag(head, member)}"

    def has_issued(self, text: str, member: str) -> bool:
        """Return whether this incarnation issued the identifier to the member."""
        if parse_submission_id(text) is None:
            return False
        head, _, tag = text.rpartition(".")
        return hmac.compare_digest(tag, self._tag(head, member))

    def _tag(self, head: str, member: str) -> str:
        data = f"{head}/{member}".encode()
        return hashlib.blake2s(data, key=self._key, digest_size=_TAG_BYTES).hexdigest()
