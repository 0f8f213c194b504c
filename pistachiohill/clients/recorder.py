"""Counts and logs the clients that were turned away by a limit, a line a second at most."""

from collections import Counter as Counts
from typing import Final

from prometheus_client import CollectorRegistry, Counter

from .. import clock, logs
from .budget import Limit

LOG_INTERVAL_S: Final = 1.0


class LimitRecorder:
    """Records how often clients met the limits of one listener."""

    def __init__(self, listener: str, metric: Counter) -> None:
        """Initialize for a listener; `metric` has the labels `listener` and `limit`."""
        self._listener = listener
        self._metric = metric
        self._unlogged: Counts[Limit] = Counts()
        self._logged_at_s: dict[Limit, float] = {}

    def __call__(self, limit: Limit) -> None:
        """Record that a client met a limit."""
        self._metric.labels(self._listener, limit).inc()
        count = self.count_to_log(limit, clock.boot_s())
        if count:
            logs.event("client_limited", listener=self._listener, limit=limit, count=count)

    def count_to_log(self, limit: Limit, now_s: float) -> int:
        """Return how many cases to log now, 0 if the last line was less than a second ago."""
        self._unlogged[limit] += 1
        if now_s - self._logged_at_s.get(limit, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            return 0
        self._logged_at_s[limit] = now_s
        return self._unlogged.pop(limit)


def limit_metric(registry: CollectorRegistry) -> Counter:
    """Return the metric of the clients that were turned away by a limit."""
    return Counter(
        "pistachiohill_clients_limited",
        "Connections and requests that were turned away by a limit.",
        ["listener", "limit"],
        registry=registry,
    )
