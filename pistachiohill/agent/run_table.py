"""Runs at an agent's runner that have not been reported yet."""

from .. import logs
from .models import RunName
from .run import Run


class RunTable(dict[RunName, Run]):
    """The runs by their names; a task has one run at a time.

    One lease serves all of them, so that it is not renewed while a run that must end goes on.
    """

    renewal_paused = False

    def find_run_of(self, task_id: str) -> Run | None:
        """Return the run of a task, if there is one."""
        return next((run for run in self.values() if run.call.task_id == task_id), None)

    async def async_wait_for_earlier_runs(self, name: RunName) -> bool:
        """Wait until no other run of a task is in progress.

        Return whether one had the same name, which the runner does not start again.
        """
        name_used = False
        earlier = self.find_run_of(name.task_id)
        while earlier is not None:
            logs.event("run_in_progress", name=earlier.call.name, run=earlier.call.run)
            name_used |= earlier.name == name
            await earlier.removed.wait()
            earlier = self.find_run_of(name.task_id)
        return name_used

    def has_unresolved_start(self) -> bool:
        """Return whether a list of runs is needed to know whether a start was executed."""
        return any(run.fencing_token is not None and run.result is None for run in self.values())

    def needs_lease(self) -> bool:
        """Return whether a run may go on at the runner's present process."""
        return any(run.withheld is None for run in self.values())

    def is_renewal_paused(self, now_s: float) -> bool:
        """Return whether a run is overdue, so that it has to end with the lease."""
        overdue = sum(run.is_overdue(now_s) for run in self.values())
        if overdue and not self.renewal_paused:
            logs.warning("lease_renewal_paused", runs=len(self), overdue=overdue)
        self.renewal_paused = overdue > 0
        return self.renewal_paused
