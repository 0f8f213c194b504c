"""Decide whether an agent may take or start tasks of a submission."""

from ..errors import RefusalReason
from ..submissions.identifiers import parse_submission_id
from .const import MAX_CLOCK_SKEW_S
from .models import TargetState
from .view import AgentView


def refuse_submission(
    submission_id: str, announce_offset: int, retention_s: float, now_wall_s: float
) -> RefusalReason | None:
    """Return why no task of a submission may be accepted by this incarnation, if so.

    A submission issued before this incarnation was announced might have been started by its
    predecessor, of which nothing is remembered here. One that is older than the start table's
    memory might have been started and forgotten.
    """
    parsed = parse_submission_id(submission_id)
    if parsed is None:
        return RefusalReason.INVALID
    if announce_offset < 0 or parsed.offset < announce_offset:
        return RefusalReason.WRONG_INCARNATION
    if now_wall_s > parsed.issued_s + retention_s - MAX_CLOCK_SKEW_S:
        return RefusalReason.EXPIRED_ID
    return None


def refuse_start(
    view: AgentView, target: TargetState, stopping: bool, now_s: float
) -> RefusalReason | None:
    """Return why no task may start now, if so; staleness of the view is judged apart."""
    if stopping:
        return RefusalReason.STOPPING
    if not target.is_present(now_s):
        return RefusalReason.LEAVING
    if view.domain_out:
        return RefusalReason.DOMAIN_OUT
    return None
