"""Ends of runs that the agent's predecessor has started, for entries that ask for them.

An entry that has lost an agent may not know whether a task was started there. It asks the agent's
successor at the same runner to run the task under the same run number. The runner executes a run
once, so the successor reports the end that the runner has listed, or starts the run itself.
"""

from attrs import define, field

from .. import logs
from ..errors import Verdict
from .models import RunEnd, RunName, TargetCall, TargetResult
from .run import RUN_END_REASONS

MAX_ENDS = 1000  # two full lists of a runner


@define(eq=False)
class PredecessorRuns:
    """The ends of runs that are not this agent's own, up to the newest MAX_ENDS."""

    _ends: dict[RunName, RunEnd] = field(factory=dict)

    def record_end(self, name: RunName, outcome: RunEnd) -> None:
        """Store how a run has ended that the runner has listed."""
        self._ends[name] = outcome
        if len(self._ends) > MAX_ENDS:
            del self._ends[next(iter(self._ends))]

    def result_of(self, call: TargetCall) -> TargetResult | None:
        """Return the result of a run that has ended, None if the runner has not listed that."""
        end = self._ends.get(RunName(call.task_id, call.run))
        if end is None:
            return None
        logs.event("predecessor_run_ended", name=call.name, run=call.run, outcome=end)
        return TargetResult(Verdict.RAN, RUN_END_REASONS[end])
