"""The agent's part: collects what its entries tell and what its target shows, and reports it."""

from collections.abc import Callable, Iterable
from typing import Protocol

from attrs import define, field

from ..protocol.models import SharedLoad, SharedWork, StartTasks, TaskStart
from ..submissions.identifiers import job_path
from .target_speed import RunningTask, TargetSpeed
from .waiting_work import WaitingWork

MAX_AGE_S = 1e6


class EntryLink(Protocol):
    """A link to an entry; it is compared by identity or has a hash."""

    @property
    def peer_incarnation(self) -> str:
        """Return the incarnation of the entry."""


@define(eq=False)
class AgentSharedLoad:
    """State that all entries of one agent share; entries that tell nothing are sent nothing."""

    running: Callable[[], Iterable[RunningTask]]
    speed: TargetSpeed = field(factory=TargetSpeed)
    _work: WaitingWork = field(factory=WaitingWork)
    _sent_lists: dict[EntryLink, int] = field(factory=dict)

    def record_work(self, link: EntryLink, work: SharedWork | None, now_s: float) -> bool:
        """Store the work that waits at an entry; None if the entry shares nothing.

        Return whether it is the first on this link, so that the entry should be answered at once.
        """
        if work is None:
            return False
        self._work.record(link.peer_incarnation, work, now_s)
        is_first = link not in self._sent_lists
        self._sent_lists.setdefault(link, 0)
        return is_first

    def record_start(self, link: EntryLink, message: StartTasks, now_s: float) -> None:
        """Store what an entry tells with a request to start tasks."""
        self.record_work(link, message.work, now_s)
        if message.work is None:
            core_ms = sum(task.cpu_m * task.run_s for task in message.tasks)
            self._work.record_start(link.peer_incarnation, message.priority, core_ms)
        if message.estimate is not None:
            self.speed.record_estimate(job_path(message.member, message.job), message.estimate)

    def base_run_s(self, message: StartTasks, task: TaskStart) -> float:
        """Return the expected run time of a task at factor 1, 0 if unknown."""
        path = job_path(message.member, message.job)
        return self.speed.base_run_s(path, message.estimate, task.run_s)

    def link_closed(self, link: EntryLink) -> None:
        """Forget what was sent on a link; everything is sent again on the next one."""
        self._sent_lists.pop(link, None)

    def load_for(self, link: EntryLink, now_s: float) -> SharedLoad | None:
        """Return what to send on a link now, None if its entry shares nothing."""
        sent_list = self._sent_lists.get(link)
        if sent_list is None:
            return None
        speed = self.speed
        overdue = speed.overdue(self.running(), now_s)
        jobs = [] if sent_list == speed.list_version else speed.listed_jobs()
        self._sent_lists[link] = speed.list_version
        waiting_core_ms, waiting_entries = self._work.others_core_ms(link.peer_incarnation, now_s)
        return SharedLoad(
            waiting_core_ms,
            waiting_entries,
            speed.factor,
            speed.runs,
            min(MAX_AGE_S, max(0.0, now_s - speed.updated_at_s)),
            overdue,
            jobs,
        )
