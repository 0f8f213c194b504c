"""Prometheus metrics of an agent."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from ..clients.recorder import limit_metric
from ..metrics import DURATION_BUCKETS_S, JobLabels


class AgentMetrics:
    """Metrics of one agent process."""

    def __init__(self) -> None:
        """Register all metrics in a new registry."""
        self.registry = CollectorRegistry()
        self.labels = JobLabels()
        self.limited = limit_metric(self.registry)
        self.run_s = Histogram(
            "pistachiohill_task_run_seconds",
            "Time from start to answer of a task at its target.",
            ["member", "job"],
            buckets=DURATION_BUCKETS_S,
            registry=self.registry,
        )
        self.wait_s = Histogram(
            "pistachiohill_task_wait_seconds",
            "Time that a task waited in this agent's queue.",
            buckets=DURATION_BUCKETS_S,
            registry=self.registry,
        )
        self.reports = Counter(
            "pistachiohill_task_reports",
            "Tasks settled at this agent, by verdict and reason.",
            ["verdict", "reason"],
            registry=self.registry,
        )
        self.occupied = Gauge(
            "pistachiohill_agent_occupied_tasks",
            "Tasks queued or running.",
            registry=self.registry,
        )
        self.factor = Gauge(
            "pistachiohill_target_run_time_factor",
            "Run time factor of the target by the runs of all entries that share their load.",
            registry=self.registry,
        )
        self.view_age_s = Gauge(
            "pistachiohill_view_age_seconds",
            "Age of the view of the failure domain.",
            registry=self.registry,
        )
