"""Checks that decide whether an agent may accept or start tasks."""

from ..errors import RefusalReason
from ..submissions.identifiers import parse_submission_id
from .const import MAX_CLOCK_SKEW_S
from .models import TargetState
from .view import AgentView


def submission_refusal(
    submission_id: str, announce_offset: int, retention_s: float, now_wall_s: float
) -> RefusalReason | None:
    """Return why this incarnation must refuse a submission, or None if it may accept it.

    A submission issued before this incarnation was announced may have been started by a previous
    incarnation, whose start table is lost. A submission older than the retention time of the start
    table may have been started and its record expired.
    """
    parsed = parse_submission_id(submission_id)
    if parsed is None:
        return RefusalReason.INVALID
    if announce_offset < 0 or parsed.offset < announce_offset:
        return RefusalReason.WRONG_INCARNATION
    if now_wall_s > parsed.issued_s + retention_s - MAX_CLOCK_SKEW_S:
        return RefusalReason.EXPIRED_ID
    return None


def start_refusal(
    view: AgentView, target: TargetState, stopping: bool, now_s: float
) -> RefusalReason | None:
    """Return why no task may start now, or None; a stale view is checked separately."""
    if not target.is_available(now_s):
        return RefusalReason.LEAVING
    if view.domain_out:
        return RefusalReason.DOMAIN_OUT
    return RefusalReason.STOPPING if stopping else None
