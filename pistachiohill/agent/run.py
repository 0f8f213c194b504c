"""A run at an agent's runner, and the reasons that the agent reports for its end."""

import math

import trio
from attrs import define, field

from .. import logs
from ..errors import RefusalReason, Verdict
from .const import STOP_CONFIRM_S
from .models import (
    UNRESTRICTED,
    NotStarted,
    RunEnd,
    RunName,
    RunPermission,
    StartRefusal,
    TargetCall,
    TargetResult,
)

STARTS_OF_PREDECESSOR = 2  # it may have sent several, so that a list of the run settles nothing

START_REFUSAL_REASONS = {
    StartRefusal.FENCED: RefusalReason.FENCED,
    StartRefusal.LEASE_ENDED: RefusalReason.FENCED,
    StartRefusal.OLD_RUN: RefusalReason.OLD_RUN,
    StartRefusal.NO_CAPACITY: RefusalReason.BUSY,
    StartRefusal.UNHEALTHY: RefusalReason.TARGET_REFUSED,
    StartRefusal.INVALID: RefusalReason.INVALID,
    StartRefusal.UNREACHABLE: RefusalReason.TARGET_LOST,
    StartRefusal.OTHER_INCARNATION: RefusalReason.TARGET_LOST,
}
RUN_END_REASONS = {
    RunEnd.DONE: None,
    RunEnd.FAILED: RefusalReason.TARGET_FAILED,
    RunEnd.STOPPED: RefusalReason.CANCELLED,
    RunEnd.LAPSED: RefusalReason.TARGET_LOST,
}


@define(eq=False)
class Run:
    """One run that this agent has requested.

    Fields:
        call: Request for the task.
        permission: Whether it may start, and until when it may go on.
        acknowledged_at_s: Boot time at which the runner confirmed the start, None before.
        fencing_token: Lowest token under which a list of runs shows whether an unanswered start
            was executed; None if no start is unresolved.
        result: How the run ended, None before.
        runner_restarted: Whether the runner has restarted since it was asked to start the run; only
            a list of the new incarnation shows whether that one has executed the start.
        may_have_run: Whether an earlier process of the runner may have executed a start.
        is_start_pending: Whether a start was sent whose outcome is not known yet.
        starts_sent: How many times the start was sent.
        unsettled_until_s: Boot time until which the next process of the runner may execute an
            unanswered start, so that only the end `done` settles the run.
        withheld: Result that is reported once no start can be executed any more, None if there is
            none; the runner's present process has not got the run.
        is_stop_requested: Whether the runner has been asked to stop the run.
        stop_requested_at_s: Boot time from which the run must not go on, as it was stopped.
        done: Set together with the result.
        removed: Set when the call has returned, so that the task may be run again.
    """

    call: TargetCall
    permission: RunPermission = UNRESTRICTED
    acknowledged_at_s: float | None = None
    fencing_token: int | None = None
    result: TargetResult | None = None
    runner_restarted: bool = False
    may_have_run: bool = False
    is_start_pending: bool = False
    starts_sent: int = 0
    unsettled_until_s: float = -math.inf
    withheld: TargetResult | None = None
    is_stop_requested: bool = False
    stop_requested_at_s: float = math.inf
    done: trio.Event = field(factory=trio.Event)
    removed: trio.Event = field(factory=trio.Event)

    @property
    def was_started_before(self) -> bool:
        """Return whether the agent's predecessor may have sent a start of this run."""
        return self.call.late_start_until_s > -math.inf

    def expect_start_of_predecessor(self) -> None:
        """Count the start that the agent's predecessor may have sent as one without an answer."""
        if self.was_started_before:
            self.starts_sent = STARTS_OF_PREDECESSOR
            self.unsettled_until_s = self.call.late_start_until_s

    @property
    def name(self) -> RunName:
        """Return the task id and run number."""
        return RunName(self.call.task_id, self.call.run)

    def is_overdue(self, now_s: float) -> bool:
        """Return whether the run should have ended a while ago and is not known to have."""
        must_end_at_s = min(self.stop_requested_at_s, self.permission.ends_at_s())
        return not self.is_settled and now_s > must_end_at_s + STOP_CONFIRM_S

    @property
    def is_settled(self) -> bool:
        """Return whether the result is known, even if it is withheld."""
        return self.result is not None or self.withheld is not None

    def start_refusal(self, now_s: float) -> RefusalReason | None:
        """Return why the start must not be sent now, or None.

        An agent that stops waits for its runs, so a start that may come anyway is sent again.
        """
        refusal = self.permission.start_refusal(now_s)
        return None if refusal == RefusalReason.STOPPING and self.starts_sent else refusal

    def is_missing(self, requested_at_s: float) -> bool:
        """Return whether a list that was requested then would show the run if it went on."""
        if self.is_settled or self.acknowledged_at_s is None:
            return False
        return self.acknowledged_at_s < requested_at_s

    def ends_with_lease(self, now_s: float) -> bool:
        """Return whether the end of every lease that the runner may have shows the run's end.

        A start that is under way may reach the next process of the runner, whose lease isn't known.
        """
        return not self.is_start_pending and now_s > self.unsettled_until_s

    def is_unreachable(self, refusal: NotStarted, now_s: float) -> bool:
        """Return whether the runner has gone while an earlier start may still be executed."""
        unreachable = refusal.refusal == StartRefusal.UNREACHABLE
        return unreachable and now_s < self.unsettled_until_s

    def withhold(self, verdict: Verdict, reason: RefusalReason) -> None:
        """Keep a result that must not be reported yet."""
        self.withheld = TargetResult(verdict, reason)

    def end(self, verdict: Verdict, reason: RefusalReason | None) -> None:
        """Set the result, or the one that was withheld, unless one is already set."""
        if self.result is None:
            result = self.withheld or TargetResult(verdict, reason)
            if self.may_have_run and result.verdict == Verdict.NOT_RUN:
                result = TargetResult(Verdict.RAN, RefusalReason.TARGET_LOST)
            self.result = result
            self.done.set()


def log_end(run: Run, runner_id: str) -> None:
    """Log a run that is reported."""
    assert run.result is not None
    logs.event(
        "run_ended",
        name=run.call.name,
        run=run.call.run,
        runner=runner_id,
        verdict=run.result.verdict,
        reason=run.result.reason or "none",
        starts_sent=run.starts_sent,
    )
