"""The agent's part: collects what its entries tell and what its target shows, and reports it."""

from collections.abc import Callable, Iterable

from attrs import define, field

from ..protocol.models import SharedLoad, SharedWork, StartTasks, TaskStart
from ..submissions.identifiers import job_path
from .target_speed import RunningTask, TargetSpeed
from .waiting_work import WaitingWork

FACTOR_STEP_FRACTION = 0.2  # a larger change of the factor is sent without waiting for a message
MAX_AGE_S = 1e6


@define
class SentShare:
    """What was last sent to an entry: the list of jobs by version, and the factor with overdue."""

    list_version: int = 0
    factor: float = 1.0


@define(eq=False)
class AgentSharedLoad:
    """State that all entries of one agent share; entries that tell nothing are sent nothing."""

    running: Callable[[], Iterable[RunningTask]]
    speed: TargetSpeed = field(factory=TargetSpeed)
    _work: WaitingWork = field(factory=WaitingWork)
    _sent: dict[str, SentShare] = field(factory=dict)

    @property
    def is_used(self) -> bool:
        """Return whether any linked entry shares its load."""
        return bool(self._sent)

    def record_work(self, entry: str, work: SharedWork | None, now_s: float) -> bool:
        """Store the work that waits at an entry; None if the entry shares nothing.

        Return whether it is the first on this link, so that the entry should be answered at once.
        """
        if work is None:
            return False
        self._work.record(entry, work, now_s)
        is_first = entry not in self._sent
        self._sent.setdefault(entry, SentShare())
        return is_first

    def record_start(self, entry: str, message: StartTasks, now_s: float) -> None:
        """Store what an entry tells with a request to start tasks."""
        self.record_work(entry, message.work, now_s)
        if message.estimate is not None:
            self.speed.record_estimate(job_path(message.member, message.job), message.estimate)

    def base_run_s(self, message: StartTasks, task: TaskStart) -> float:
        """Return the expected run time of a task at factor 1, 0 if unknown."""
        path = job_path(message.member, message.job)
        return self.speed.base_run_s(path, message.estimate, task.run_s)

    def link_closed(self, entry: str) -> None:
        """Send everything again on the next link of an entry."""
        self._sent.pop(entry, None)

    def load_for(self, entry: str, now_s: float) -> SharedLoad | None:
        """Return what to send to an entry now, None if it shares nothing."""
        sent = self._sent.get(entry)
        if sent is None:
            return None
        speed = self.speed
        overdue = speed.overdue(self.running(), now_s)
        jobs = [] if sent.list_version == speed.list_version else speed.listed_jobs()
        sent.list_version, sent.factor = speed.list_version, speed.factor + overdue
        return SharedLoad(
            self._work.others_core_ms(entry, now_s),
            speed.factor,
            speed.runs,
            min(MAX_AGE_S, max(0.0, now_s - speed.updated_at_s)),
            overdue,
            jobs,
        )

    def entries_to_update(self, now_s: float) -> list[str]:
        """Return the entries that should learn a changed factor without waiting for a message."""
        if not self._sent:
            return []
        factor = self.speed.factor + self.speed.overdue(self.running(), now_s)
        return [
            entry
            for entry, sent in self._sent.items()
            if abs(factor - sent.factor) > FACTOR_STEP_FRACTION * sent.factor
        ]
