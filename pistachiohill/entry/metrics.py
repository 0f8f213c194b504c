"""Prometheus metrics of an entry."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from ..metrics import DURATION_BUCKETS_S, JobLabels


class EntryMetrics:
    """Metrics of one entry process."""

    def __init__(self) -> None:
        """Register all metrics in a registry of their own."""
        self.registry = CollectorRegistry()
        self.labels = JobLabels()
        self.response_s = Histogram(
            "pistachiohill_job_response_seconds",
            "Time from acceptance to answer of a job.",
            ["member", "job"],
            buckets=DURATION_BUCKETS_S,
            registry=self.registry,
        )
        self.jobs = Counter(
            "pistachiohill_jobs",
            "Jobs by member and outcome.",
            ["member", "outcome"],
            registry=self.registry,
        )
        self.task_refusals = Counter(
            "pistachiohill_task_refusals",
            "Tasks that agents turned away, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.view_age_s = Gauge(
            "pistachiohill_view_age_seconds",
            "Age of the view of the platform's log.",
            registry=self.registry,
        )
        self.applied_offset = Gauge(
            "pistachiohill_applied_offset",
            "Log offset in force.",
            registry=self.registry,
        )
