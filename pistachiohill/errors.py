"""Verdicts, refusal reasons, the refusals that carry them, and the base exception."""

from dataclasses import dataclass
from enum import StrEnum


class Verdict(StrEnum):
    """Whether a request may have run; only after NOT_RUN may it be placed again."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class RefusalReason(StrEnum):
    """Why a task, a job or a request was refused or failed."""

    BUSY = "busy"
    CANCELLED = "cancelled"
    DEADLINE = "deadline"
    DOMAIN_OUT = "domain_out"
    DUPLICATE_ID = "duplicate_id"
    EXPIRED_ID = "expired_id"
    FENCED = "fenced"
    INVALID = "invalid"
    LEASE_ENDED = "lease_ended"
    LEAVING = "leaving"
    LOST_AGENT = "lost_agent"
    MEMBER_QUEUE = "member_queue"
    MOVED = "moved"
    NO_TARGET = "no_target"
    OLD_RUN = "old_run"
    OVERLOAD = "overload"
    OWNER_LOST = "owner_lost"
    SEALED = "sealed"
    SENT_ELSEWHERE = "sent_elsewhere"
    STALE_VIEW = "stale_view"
    STOPPING = "stopping"
    TARGET_FAILED = "target_failed"
    TARGET_LOST = "target_lost"
    TARGET_REFUSED = "target_refused"
    TARGET_TIMEOUT = "target_timeout"
    TOO_MANY_RESTARTS = "too_many_restarts"
    UNKNOWN_ID = "unknown_id"
    WRONG_INCARNATION = "wrong_incarnation"


@dataclass(frozen=True)
class Refusal:
    """A refused or failed request.

    `retry_after_s` is 0 if retrying is pointless. A refusal with the verdict NOT_RUN guarantees
    that nothing has run and nothing will run.
    """

    reason: RefusalReason
    verdict: Verdict
    detail: str
    retry_after_s: float = 0.0


class PistachiohillError(Exception):
    """Base class of all exceptions raised by this library."""
