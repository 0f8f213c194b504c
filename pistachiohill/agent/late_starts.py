"""Results of runs that are withheld while an unanswered start may still be executed.

What a runner's process says of a start binds that process alone: its list, its refusal of another
attempt, or the end of a run. Its next process has seen no token and no run, and may execute the
start until the platform has given it up. Until then the run's result is withheld, so that the task
is not placed elsewhere, and the start is sent again to the same runner as soon as it may be.
"""

from collections.abc import Awaitable, Callable

import trio

from .. import logs
from ..errors import RefusalReason, Verdict
from .const import LATE_START_RETRY_S
from .models import TargetResult
from .run import Run

FINAL_REASONS = frozenset({RefusalReason.OLD_RUN, RefusalReason.INVALID})  # of a later attempt


class LateStarts:
    """Withholds results, and releases each one when no start of its run can come any more."""

    def __init__(
        self,
        is_answering: Callable[[], bool],
        is_ready: Callable[[], bool],
        async_send: Callable[[Run], Awaitable[None]],
        present_s: Callable[[], float],
    ) -> None:
        """Initialize without runs.

        `is_answering` returns whether the runner's lists of runs are recent, `is_ready` whether it
        may be given runs; `async_send` sends the start of a run again. `present_s` returns the
        present boot time, after the runs were allowed for a stall of this process.
        """
        self._is_answering = is_answering
        self._is_ready = is_ready
        self._async_send = async_send
        self._present_s = present_s
        self._awaited: set[Run] = set()

    def settle(
        self, run: Run, verdict: Verdict, reason: RefusalReason | None, nursery: trio.Nursery
    ) -> None:
        """Set the result of a run, or withhold it while a start of the run may still come."""
        if run.is_settled:
            return
        now_s = self._present_s()
        if reason is None or now_s >= run.unsettled_until_s:
            run.end(verdict, reason)
            return
        run.withhold(verdict, reason)
        logs.event(
            "run_withheld",
            name=run.call.name,
            run=run.call.run,
            reason=reason,
            for_s=run.unsettled_until_s - now_s,
        )
        if run not in self._awaited:
            self._awaited.add(run)
            nursery.start_soon(self._async_wait, run)

    async def _async_wait(self, run: Run) -> None:
        """Release the result of a run in time, or send its start again, until the run has ended.

        If the runner is silent when the time is over, the end of its lease settles the run.
        """
        while run.result is None:
            with trio.move_on_after(LATE_START_RETRY_S):
                await run.done.wait()
            if run.withheld is None or not self._is_answering():
                continue
            now_s = self._present_s()
            if now_s >= run.unsettled_until_s:
                run.end(run.withheld.verdict, run.withheld.reason)
            elif self._may_be_sent(run, run.withheld, now_s):
                run.withheld = None
                await self._async_send(run)
        self._awaited.discard(run)

    def _may_be_sent(self, run: Run, withheld: TargetResult, now_s: float) -> bool:
        """Return whether a run that did not begin may be started again at its runner."""
        if withheld.verdict != Verdict.NOT_RUN or withheld.reason in FINAL_REASONS:
            return False
        if run.fencing_token is not None or run.is_stop_requested:
            return False
        return self._is_ready() and run.start_refusal(now_s) is None
