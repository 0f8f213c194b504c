"""Forecast of when a job that arrives now would end."""

import math
from collections.abc import Sequence

from attrs import define, frozen

from ..scheduling.models import TargetLoad, WaitingAhead
from ..scheduling.plan import PlacementPlan, TaskNeeds


@frozen
class Forecast:
    """Expected completion of a job that arrives now.

    Fields:
        end_s: Boot time of its expected end.
        run_s: Expected run time of its longest task at a target of average speed.
        own_core_s: Work that waits at this entry ahead of the job.
        others_core_s: Work that waits at other entries and is served before the job ends.
        others_age_s: Age of the oldest report that this is taken from.
    """

    end_s: float
    run_s: float
    own_core_s: float = 0.0
    others_core_s: float = 0.0
    others_age_s: float = 0.0


@define
class JobOutlook:
    """What a forecast starts from: the usable targets and the tasks in order of service.

    Fields:
        targets: Targets at which the job's tasks may be placed.
        ahead: Tasks that wait at this entry and are served before the job.
        job: Tasks of the job.
        mean_run_s: Run time assumed for tasks without a known end.
        ramp_s: Time over which the load of a returning target is increased.
    """

    targets: Sequence[TargetLoad]
    ahead: Sequence[TaskNeeds]
    job: Sequence[TaskNeeds]
    mean_run_s: float
    ramp_s: float

    def forecast(self, now_s: float) -> Forecast:
        """Return the expected completion of the job."""
        own_core_s = sum(needs.core_s for needs in self.ahead)
        share = max(1, len(self.targets))
        core_s = own_core_s + sum(needs.core_s for needs in self.job)
        own = WaitingAhead(max(needs.priority for needs in self.job), core_s / share)
        plan = PlacementPlan(
            self.targets, now_s, 0.0, self.ramp_s, self.mean_run_s, math.inf, ahead=own
        )
        for needs in self.ahead:
            plan.assign_slot(needs)
        slots = [plan.assign_slot(needs) for needs in self.job]
        end_s = max(math.inf if slot is None else slot.end_s for slot in slots)
        run_s = max(needs.run_s for needs in self.job)
        others_core_s, others_age_s = self._others_ahead(own, now_s)
        return Forecast(max(now_s, end_s), run_s, own_core_s, others_core_s, others_age_s)

    def _others_ahead(self, own: WaitingAhead, now_s: float) -> tuple[float, float]:
        """Return the work of other entries that is served first, and the age of its reports."""
        found = [
            (core_s, now_s - target.reported_at_s)
            for target in self.targets
            if (core_s := target.others_ahead_core_s(own, now_s)) > 0.0
        ]
        return sum(core_s for core_s, _ in found), max((age_s for _, age_s in found), default=0.0)
