"""Admission control for best-effort jobs on arrival."""

import math
import random

from .. import logs
from ..errors import RefusalReason
from ..scheduling.urgency import MAX_LATENCY_FACTOR, Urgency, latency_goal_s
from ..settings.models import JobSettings
from ..submissions.models import JobAnswer, JobRequest, refused_answer
from .const import RETRY_AFTER_S
from .forecast import Forecast
from .waiting import WaitingTasks

STOPPING_RETRY_AFTER_S = 0.1  # another entry can accept the job right away


class Admission:
    """Refuses jobs that can't finish in time, based on waiting tasks and learned run times."""

    def __init__(self, waiting: WaitingTasks) -> None:
        """Initialize with the queues of waiting tasks."""
        self._waiting = waiting

    def check(
        self,
        request: JobRequest,
        settings: JobSettings,
        now_s: float,
        stop_at_s: float = math.inf,
    ) -> JobAnswer | None:
        """Return a refusal if a job can't be served in time, None otherwise.

        `stop_at_s` is the boot time by which this entry must have answered its jobs.
        """
        count = len(request.tasks)
        if not self.has_target(settings):
            detail = f"no target of service {settings.service!r} takes tasks"
            retry_s = RETRY_AFTER_S * random.uniform(0.9, 1.1)
            return refused_answer(RefusalReason.NO_TARGET, detail, retry_s, count)
        forecast = self._waiting.forecast(request, settings, now_s)
        if not math.isfinite(forecast.end_s):
            detail = "no target is large enough for a task of this job"
            return refused_answer(RefusalReason.NO_TARGET, detail, RETRY_AFTER_S, count)
        if forecast.end_s > stop_at_s:
            return stopping_answer(count)
        if forecast.end_s - now_s > latency_goal_s(settings, forecast.run_s):
            # A job that will be late waits for all others of its priority.
            forecast = self._waiting.forecast(request, settings, now_s, Urgency.LATE)
            if not math.isfinite(forecast.end_s):
                detail = "no target takes more tasks of late jobs for now"
                return refused_answer(RefusalReason.OVERLOAD, detail, RETRY_AFTER_S, count)
        limit_s = self._time_limit_s(request, settings, forecast.run_s)
        if forecast.end_s - now_s <= limit_s:
            return None
        overrun_s = forecast.end_s - now_s - limit_s
        if forecast.others_core_s > 0.0:
            self._waiting.record_others_ahead()
            _log_others_ahead(request, forecast, limit_s, now_s)
        detail = f"would end in {forecast.end_s - now_s:.2f} s, which is {overrun_s:.2f} s too late"
        retry_s = max(RETRY_AFTER_S, overrun_s) * random.uniform(0.9, 1.1)
        return refused_answer(RefusalReason.OVERLOAD, detail, retry_s, count)

    def has_target(self, settings: JobSettings) -> bool:
        """Return whether any target accepts tasks of a job's service."""
        return self._waiting.has_target(settings.service)

    def should_wait(self, request: JobRequest, settings: JobSettings, now_s: float) -> bool:
        """Return whether a job that arrives during startup has better prospects a little later.

        After a restart the first agents are linked before the others, and they alone can't serve
        all callers that come back.
        """
        if not self.has_target(settings):
            return True
        if not self._waiting.expects_more_targets():
            return False
        return self.check(request, settings, now_s) is not None

    def max_target_wait_s(self, request: JobRequest, settings: JobSettings) -> float:
        """Return how long a job may wait for a first target and still finish in time."""
        run_s = self._waiting.longest_run_s(request)
        return max(0.0, self._time_limit_s(request, settings, run_s) - run_s)

    def _time_limit_s(self, request: JobRequest, settings: JobSettings, run_s: float) -> float:
        """Return the time from arrival within which a job must finish to be useful."""
        limit_s = request.deadline_s or settings.deadline_s
        return min(limit_s, MAX_LATENCY_FACTOR * latency_goal_s(settings, run_s))


def _log_others_ahead(
    request: JobRequest, forecast: Forecast, limit_s: float, now_s: float
) -> None:
    logs.event(
        "others_work_ahead",
        key=request.key,
        own_core_s=forecast.own_core_s,
        others_core_s=forecast.others_core_s,
        others_age_s=forecast.others_age_s,
        ends_in_s=forecast.end_s - now_s,
        limit_s=limit_s,
    )


def stopping_answer(task_count: int) -> JobAnswer:
    """Return the refusal of a job by an entry that is about to stop."""
    detail = "this entry is stopping"
    return refused_answer(RefusalReason.STOPPING, detail, STOPPING_RETRY_AFTER_S, task_count)
