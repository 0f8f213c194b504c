"""Decide whether an agent may take or start tasks of a submission."""

import math

from attrs import define

from ..errors import RefusalReason
from ..submissions.identifiers import parse_submission_id
from .const import MAX_CLOCK_SKEW_S
from .view import AgentView


@define
class TargetState:
    """What the target last announced of itself.

    `expires_at_s` is the boot time until which the announcement holds; a target that stops
    announcing itself gets no more work.
    """

    service: str = ""
    url: str = ""
    slots: int = 0
    leaving: bool = False
    expires_at_s: float = -math.inf

    def is_present(self, now_s: float) -> bool:
        """Return whether the target takes new work."""
        return not self.leaving and self.slots > 0 and now_s <= self.expires_at_s


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
