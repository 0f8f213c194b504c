"""Prometheus metrics of an entry."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from ..clients.recorder import limit_metric
from ..metrics import DURATION_BUCKETS_S, JobLabels
from ..protocol.link import LinkCounters


class EntryMetrics:
    """Metrics of one entry process, with their own registry."""

    def __init__(self) -> None:
        """Create and register the metrics."""
        self.registry = CollectorRegistry()
        self.labels = JobLabels()
        self.limited = limit_metric(self.registry)
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
        self.job_refusals = Counter(
            "pistachiohill_job_refusals",
            "Jobs that were turned away, by reason; nothing of them ran.",
            ["reason"],
            registry=self.registry,
        )
        self.others_ahead = Counter(
            "pistachiohill_others_work_ahead",
            "Refused jobs for which work that waits at other entries was counted.",
            registry=self.registry,
        )
        self.others_waiting_core_s = Gauge(
            "pistachiohill_others_waiting_core_seconds",
            "Work that waits for this entry's targets at other entries, by the latest reports.",
            registry=self.registry,
        )
        self.placement_s = Histogram(
            "pistachiohill_task_placement_seconds",
            "Time from a job's acceptance to each placement of one of its tasks.",
            buckets=DURATION_BUCKETS_S,
            registry=self.registry,
        )
        self.waiting_tasks = Gauge(
            "pistachiohill_waiting_tasks",
            "Tasks that wait at this entry to be placed.",
            registry=self.registry,
        )
        self.link_losses = Counter(
            "pistachiohill_link_losses",
            "Links to agents that ended.",
            registry=self.registry,
        )
        self.task_refusals = Counter(
            "pistachiohill_task_refusals",
            "Tasks that agents turned away, by reason.",
            ["reason"],
            registry=self.registry,
        )
        self.wasted = Counter(
            "pistachiohill_wasted_tasks",
            "Placements and reports that did not serve an answer, by kind.",
            ["kind"],
            registry=self.registry,
        )
        self.task_moves = Counter(
            "pistachiohill_task_moves",
            "Placed tasks that were to run elsewhere, by cause and what came of it.",
            ["cause", "outcome"],
            registry=self.registry,
        )
        self.moved_run_s = Counter(
            "pistachiohill_moved_run_seconds",
            "Run time that was thrown away when tasks were moved.",
            registry=self.registry,
        )
        self.link_frames = Gauge(
            "pistachiohill_link_frames",
            "Frames sent to and received from agents and other entries.",
            ["peer", "direction"],
            registry=self.registry,
        )
        self.link_bytes = Gauge(
            "pistachiohill_link_bytes",
            "Bytes sent to and received from agents and other entries.",
            ["peer", "direction"],
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

    def set_link_traffic(self, peer: str, counters: LinkCounters) -> None:
        """Set the traffic gauges of all links to one kind of peer."""
        self.link_frames.labels(peer, "sent").set(counters.frames_sent)
        self.link_frames.labels(peer, "received").set(counters.frames_received)
        self.link_bytes.labels(peer, "sent").set(counters.bytes_sent)
        self.link_bytes.labels(peer, "received").set(counters.bytes_received)
