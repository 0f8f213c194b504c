"""Entries that serve the same agents, played in steps of simulated time without a network."""

from typing import Any

from attrs import define, field, frozen

from pistachiohill.agent.resources import Reservation, ResourceTracker
from pistachiohill.const import TaskState
from pistachiohill.entry.admission import Admission
from pistachiohill.errors import Verdict
from pistachiohill.protocol.models import AgentLoad, StartTasks, TaskReport, TaskReports, TaskStart
from pistachiohill.scheduling.models import Demand
from pistachiohill.settings.models import JobSettings
from pistachiohill.shared_load.agent import AgentSharedLoad
from pistachiohill.shared_load.entry import EntrySharedLoad
from pistachiohill.submissions.identifiers import IdIssuer
from pistachiohill.submissions.models import JobRequest, Submission, TaskSpec, new_submission

from ..entry.test_dispatcher import DispatcherFixture

STEP_S = 0.01
INTERVAL_S = 0.2
SETTINGS = JobSettings(
    service="clocking", best_effort=True, slack_factor=1.6, target_latency_s=0.06
)


@frozen
class NamedLink:
    """Stands for a link to an entry; equal to others of the same name."""

    peer_incarnation: str


@define(eq=False)
class QueuedTask:
    """A task at an agent: the number of its entry, its message and when it ends once it runs."""

    entry: int
    message: StartTasks
    start: TaskStart
    reservation: Reservation
    started_at_s: float = 0.0
    end_s: float = 0.0


@define(eq=False, slots=False)
class PlayedAgent:
    """Runs tasks in order, as many as fit; `speed` divides their run times."""

    cpu_m: int
    speed: float = 1.0
    resources: ResourceTracker = field(factory=ResourceTracker)
    queue: list[QueuedTask] = field(factory=list)
    running: list[QueuedTask] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.shared = AgentSharedLoad(self.resources.running_tasks)

    def receive(self, entry: int, message: StartTasks, now_s: float) -> None:
        self.shared.record_start(NamedLink(f"e{entry}"), message, now_s)
        for start in message.tasks:
            base_run_s = self.shared.base_run_s(message, start)
            demand = Demand(start.cpu_m)
            owner = f"e{entry}"
            task = Reservation(owner, demand, message.priority, start.run_s, base_run_s=base_run_s)
            self.resources.admit(task)
            self.queue.append(QueuedTask(entry, message, start, task))

    def start_queued(self, work_s: dict[str, float], now_s: float) -> None:
        while self.queue and self.resources.fits(self.queue[0].reservation.demand, self.cpu_m, 1):
            task = self.queue.pop(0)
            self.resources.start(task.reservation, now_s)
            task.started_at_s = now_s
            task.end_s = now_s + work_s[task.message.job] / self.speed
            self.running.append(task)

    def ended(self, now_s: float) -> list[QueuedTask]:
        found = [task for task in self.running if task.end_s <= now_s]
        for task in found:
            self.running.remove(task)
            self.resources.release(task.reservation)
            run_s = task.end_s - task.started_at_s
            self.shared.speed.record_run(task.reservation.base_run_s, run_s, now_s)
        return found

    def load_for(self, entry: int, now_s: float) -> AgentLoad:
        queued = [task.reservation for task in self.queue]
        load = self.resources.load_for(f"e{entry}", queued, self.cpu_m, now_s)
        load.shared = self.shared.load_for(NamedLink(f"e{entry}"), now_s)
        return load


@define(eq=False, slots=False)
class PlayedEntry:
    """An entry, the numbers of its agents, and the outcome of its jobs."""

    number: int
    agents: list[int]
    cpu_m: int
    interval_s: float
    refused: list[str] = field(factory=list)
    ended_s: dict[str, float] = field(factory=dict)
    submissions: list[Submission] = field(factory=list)
    issuer: IdIssuer = field(factory=lambda: IdIssuer("0011223344556677"))

    def __attrs_post_init__(self) -> None:
        self.fixture = DispatcherFixture(len(self.agents))
        waiting = self.fixture.dispatcher.waiting
        self.admission = Admission(waiting)
        self.shared = EntrySharedLoad(
            self.interval_s > 0.0,
            self.interval_s,
            waiting.estimates,
            waiting.share_core_ms,
            agents_are_shared=True,
        )
        self.fixture.directory.shared_load = self.shared
        for agent in self.fixture.agents:
            agent.load.cpu_m = self.cpu_m

    def receive_load(self, agent: int, load: AgentLoad, now_s: float) -> None:
        known = self.fixture.agents[self.agents.index(agent)]
        known.awaited_since_s = None
        self.fixture.links[self.agents.index(agent)].received_at_s = now_s
        self.fixture.directory._record_load(known, load, now_s)

    def submit(self, job: str, tasks: int, settings: JobSettings, now_s: float) -> None:
        spec = TaskSpec(b"", Demand(1000))
        request = JobRequest("lofts", job, (spec,) * tasks, 30.0, key="k")
        if self.admission.check(request, settings, now_s) is not None:
            self.refused.append(job)
            return
        submission = new_submission(self.issuer.issue("lofts", 0, now_s), request, settings, now_s)
        self.submissions.append(submission)
        self.fixture.dispatcher.submit(submission, now_s)


@define(eq=False, slots=False)
class Fleet:
    """Plays entries and agents; each agent is served by four entries."""

    entries: int
    agents: int
    cpu_m: int
    work_s: dict[str, float]
    interval_s: float
    now_s: float = 0.0
    told_at_s: float = -1.0

    def __attrs_post_init__(self) -> None:
        self.played = [PlayedAgent(self.cpu_m) for _ in range(self.agents)]
        self.all_entries = [self.new_entry(number) for number in range(self.entries)]

    def new_entry(self, number: int) -> PlayedEntry:
        served = [a for a in range(self.agents) if (number - a) % self.entries < 4]
        entry = PlayedEntry(number, served, self.cpu_m, self.interval_s)
        for path, run_s in self.work_s.items():
            if self.now_s == 0.0:
                entry.fixture.dispatcher.waiting.estimates.adopt(
                    f"consortium/lofts/{path}", run_s, 0.0, "clocking"
                )
        return entry

    def step(self) -> None:
        """Place, run and report for one step of time."""
        self.now_s += STEP_S
        for number, agent in enumerate(self.played):
            for task in agent.ended(self.now_s):
                self._report(number, agent, task)
        for entry in self.all_entries:
            self._place(entry)
        for agent in self.played:
            agent.start_queued(self.work_s, self.now_s)
        if self.now_s - self.told_at_s >= INTERVAL_S:
            self.told_at_s = self.now_s
            self.exchange()

    def exchange(self) -> None:
        """Let every entry tell its waiting work and receive the load of its agents."""
        for entry in self.all_entries:
            for number in entry.agents:
                known = entry.fixture.agents[entry.agents.index(number)]
                work = entry.shared.work(known.load, "clocking", self.now_s)
                self.played[number].shared.record_work(
                    NamedLink(f"e{entry.number}"), work, self.now_s
                )
        for entry in self.all_entries:
            for number in entry.agents:
                load = self.played[number].load_for(entry.number, self.now_s)
                entry.receive_load(number, load, self.now_s)

    def _place(self, entry: PlayedEntry) -> None:
        dispatcher = entry.fixture.dispatcher
        dispatcher.refuse_useless(self.now_s)
        dispatcher.place(self.now_s)
        for number, link in zip(entry.agents, entry.fixture.links, strict=True):
            for message in link.starts():
                self.played[number].receive(entry.number, message, self.now_s)
            link.sent.clear()
        for submission in entry.submissions:
            if submission.answer is not None:
                entry.ended_s.setdefault(submission.submission_id, self.now_s)

    def _report(self, number: int, agent: PlayedAgent, task: QueuedTask) -> None:
        entry = self.all_entries[task.entry]
        report = TaskReport(
            task.start.index,
            task.start.attempt,
            TaskState.SETTLED,
            Verdict.RAN,
            run_s=task.end_s - task.started_at_s,
        )
        load = agent.load_for(task.entry, self.now_s)
        message = TaskReports(task.message.submission_id, self.now_s, load, [report])
        known = entry.fixture.agents[entry.agents.index(number)]
        directory: Any = entry.fixture.directory
        directory._handle_answer(message, known, entry.fixture.dispatcher, self.now_s)
