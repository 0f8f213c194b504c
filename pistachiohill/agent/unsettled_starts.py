"""Until when starts without an answer may be executed, and word of that to entries."""

import math
from collections.abc import Iterable

from attrs import define

from .late_start_notices import LateStartNotices
from .run import Run


@define(eq=False)
class UnsettledStarts:
    """Sets `Run.unsettled_until_s` and tells all linked entries."""

    _notices: LateStartNotices

    def expect(self, run: Run, until_s: float, now_s: float) -> None:
        """Record until when the next process of the runner may execute a start of a run."""
        run.unsettled_until_s = until_s
        self._notices.record(run.call, until_s, now_s)

    def announce_repeat(self, run: Run, until_s: float, sent_at_s: float) -> None:
        """Tell entries of a start that is sent again; they may know the earlier one as answered."""
        self._notices.record(run.call, until_s, sent_at_s)

    def confirm_repeat(self, run: Run, now_s: float) -> None:
        """Tell entries that only the earlier starts of a run are without an answer."""
        self._notices.record(run.call, run.unsettled_until_s, now_s)

    def record_execution(self, run: Run, now_s: float) -> None:
        """Record that a list shows a run: a start that was sent only once can't come again."""
        if run.starts_sent == 1 and run.unsettled_until_s > now_s:
            self.expect(run, -math.inf, now_s)

    def allow_for_stall(self, runs: Iterable[Run], stalled_s: float, now_s: float) -> None:
        """Expect starts for longer by the time in which the machine may have been suspended.

        A request that arrived meanwhile is executed afterwards.
        """
        for run in runs:
            if run.unsettled_until_s > now_s - stalled_s:
                self.expect(run, run.unsettled_until_s + stalled_s, now_s)
