"""Submission identifiers, which contain the entry incarnation that owns the submission.

The format is `OWNER.OFFSET.ISSUED.SEQUENCE.TAG`: the incarnation of the owner, the log offset that
the owner had applied when it issued the identifier, the time of issue in milliseconds since the
epoch, a sequence number and an authentication tag, which only the owner can verify. The tag binds
the identifier to the member that it was issued to.
"""

import hashlib
import hmac
import re
import secrets
from collections.abc import Iterable

from attrs import frozen

_ID_PATTERN = re.compile(
    r"([0-9a-f]{16})\.(\d{1,15})\.(\d{1,15})\.(\d{1,15})\.([0-9a-f]{16})", re.ASCII
)
_INCARNATION_BYTES = 8
_TAG_BYTES = 8
_KEY_BYTES = 32


@frozen
class SubmissionId:
    """Parsed submission identifier; `issued_s` is in seconds since the epoch."""

    owner: str
    offset: int
    issued_s: float
    sequence: int
    tag: str


def job_path(member: str, job: str) -> str:
    """Return the path of a job in the settings tree."""
    return f"consortium/{member}/{job}"


def task_name(job: str, index: int | str) -> str:
    """Return the name of a task in logs and at runners, such as `5c0e7a21d94b36f8.0.0.17`.

    It consists of the job's key (or its submission id), occurrence, step and index. Occurrence and
    step are always 0, because jobs have a single occurrence and a single step here.
    """
    return f"{job}.0.0.{index}"


def new_incarnation() -> str:
    """Return a random name for a process, unique across all processes and restarts."""
    return secrets.token_hex(_INCARNATION_BYTES)


def parse_submission_id(text: str) -> SubmissionId | None:
    """Parse an identifier; return None if it is malformed."""
    match = _ID_PATTERN.fullmatch(text)
    if match is None:
        return None
    return SubmissionId(match[1], int(match[2]), int(match[3]) / 1000, int(match[4]), match[5])


def preferred_entry(service: str, entries: Iterable[str]) -> str:
    """Return the entry incarnation that should own a service's submissions.

    With a single owner, all tasks of a service wait in one queue. The entry is chosen by rendezvous
    hashing over the known entries. The choice is only a preference, so it is harmless if entries
    disagree on it.
    """
    return max(entries, key=lambda entry: hashlib.blake2b(f"{service}/{entry}".encode()).digest())


class IdIssuer:
    """Issues and verifies the identifiers of one owner incarnation."""

    def __init__(self, incarnation: str) -> None:
        """Initialize the sequence and generate a random key."""
        self.incarnation = incarnation
        self._key = secrets.token_bytes(_KEY_BYTES)
        self._sequence = 0

    def issue(self, member: str, offset: int, now_s: float) -> str:
        """Issue a new identifier to a member; `now_s` is in seconds since the epoch."""
        self._sequence += 1
        prefix = f"{self.incarnation}.{max(offset, 0)}.{int(now_s * 1000)}.{self._sequence}"
        return f"{prefix}.{self._tag(prefix, member)}"

    def has_issued(self, text: str, member: str) -> bool:
        """Return whether this incarnation issued the identifier to the member."""
        if parse_submission_id(text) is None:
            return False
        prefix, _, tag = text.rpartition(".")
        return hmac.compare_digest(tag, self._tag(prefix, member))

    def _tag(self, prefix: str, member: str) -> str:
        data = f"{prefix}/{member}".encode()
        return hashlib.blake2s(data, key=self._key, digest_size=_TAG_BYTES).hexdigest()


def make_task_id(job: str, index: int) -> str:
    """Return the id under which a runner knows a task, by its job's key or submission id."""
    return f"{job}/{index}"


def job_of_task(task_id: str) -> str:
    """Return the job's key or submission id of a task id."""
    return task_id.rpartition("/")[0]
