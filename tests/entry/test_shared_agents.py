"""Plays an overload of several entries that share all agents, and counts what callers get."""

from collections import Counter
from typing import Any
from unittest.mock import patch

from attrs import define, field

from pistachiohill.agent.resources import Reservation, ResourceTracker
from pistachiohill.const import JobState, TaskState
from pistachiohill.entry.admission import Admission
from pistachiohill.errors import RefusalReason, Verdict
from pistachiohill.platform import manifest
from pistachiohill.protocol.models import StartTasks, TaskReport, TaskReports, TaskStart
from pistachiohill.scheduling.models import Demand
from pistachiohill.submissions.identifiers import IdIssuer
from pistachiohill.submissions.models import JobRequest, Submission, TaskSpec, new_submission

from ..base import TestCase
from .test_dispatcher import DispatcherFixture
from .test_overload import (
    AGENTS,
    CAPACITY_PER_S,
    GOAL_S,
    OVERLOAD,
    OVERLOAD_S,
    RUN_S,
    SETTINGS,
    STEP_S,
)

ENTRIES = 4
CPU_M = 1000
MAX_QUEUE_WAIT_S = 0.08
LOAD_INTERVAL_S = 0.05  # of the loads that agents send while nothing is reported
UNLIMITED_S = 10.0
POSSIBLE = CAPACITY_PER_S * OVERLOAD_S
# Of the jobs that a scheduler which knows everything would serve in time.
SHARE_OF_CAPACITY = 0.85
SHARE_AT_ONE_ENTRY = 0.9


@define(eq=False)
class SharedAgent:
    """Queues the tasks of all entries, and runs one at a time."""

    number: int
    max_queue_wait_s: float
    resources: ResourceTracker = field(factory=ResourceTracker)
    queue: list[tuple["PlayedEntry", str, TaskStart, Reservation]] = field(factory=list)
    running: tuple["PlayedEntry", str, TaskStart, Reservation] | None = None

    def receive(self, entry: "PlayedEntry", message: StartTasks, now_s: float) -> None:
        for task in message.tasks:
            reservations = [item[3] for item in self.queue]
            wait_s = self.resources.expected_wait_s(0, reservations, CPU_M, now_s)
            if self.max_queue_wait_s and wait_s > self.max_queue_wait_s:
                entry.report(self, message.submission_id, task, Verdict.NOT_RUN, now_s)
                continue
            reservation = Reservation(entry.name, Demand(), 0, task.run_s)
            self.resources.admit(reservation)
            self.queue.append((entry, message.submission_id, task, reservation))

    def run(self, now_s: float) -> None:
        if self.running is not None and self.running[3].end_s <= now_s:
            entry, submission_id, task, reservation = self.running
            self.running = None
            self.resources.release(reservation)
            entry.report(self, submission_id, task, Verdict.RAN, now_s)
        if self.running is None and self.queue:
            self.running = self.queue.pop(0)
            self.resources.start(self.running[3], now_s)
            self.running[3].end_s = now_s + RUN_S


class PlayedEntry:
    """An entry with links to all agents."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.fixture = DispatcherFixture(AGENTS)
        self.admission = Admission(self.fixture.dispatcher.waiting)
        self.issuer = IdIssuer("0011223344556677")
        self.read: Counter[int] = Counter()
        self.submissions: list[Submission] = []
        self.ended_s: dict[str, float] = {}
        self.outcomes: Counter[str] = Counter()

    def submit(self, now_s: float) -> None:
        request = JobRequest("lofts", "stamp", (TaskSpec(b"", declared_s=RUN_S),), 8.0, "k")
        if self.admission.check(request, SETTINGS, now_s) is not None:
            self.outcomes["refused"] += 1
            return
        submission_id = self.issuer.issue("lofts", 0, now_s)
        self.submissions.append(new_submission(submission_id, request, SETTINGS, now_s))
        self.fixture.dispatcher.submit(self.submissions[-1], now_s)

    def place(self, agents: list[SharedAgent], now_s: float) -> None:
        self.fixture.dispatcher.refuse_useless(now_s)
        self.fixture.dispatcher.place(now_s)
        for agent, link in zip(agents, self.fixture.links, strict=True):
            for message in link.starts()[self.read[agent.number] :]:
                self.read[agent.number] += 1
                agent.receive(self, message, now_s)
        for submission in self.submissions:
            if submission.answer is not None:
                self.ended_s.setdefault(submission.submission_id, now_s)

    def report(
        self,
        agent: SharedAgent,
        submission_id: str,
        task: TaskStart,
        verdict: Verdict,
        now_s: float,
    ) -> None:
        reason: Any = RefusalReason.BUSY if verdict == Verdict.NOT_RUN else ""
        run_s = RUN_S if verdict == Verdict.RAN else 0.0
        report = TaskReport(
            task.index, task.attempt, TaskState.SETTLED, verdict, reason=reason, run_s=run_s
        )
        self._receive(agent, submission_id, [report], now_s)

    def receive_load(self, agent: SharedAgent, now_s: float) -> None:
        self._receive(agent, "none", [], now_s)

    def _receive(
        self, agent: SharedAgent, submission_id: str, reports: list[TaskReport], now_s: float
    ) -> None:
        reservations = [item[3] for item in agent.queue]
        load = agent.resources.load_for(self.name, reservations, CPU_M, now_s)
        message = TaskReports(submission_id, 0.0, load, reports)
        receiver = self.fixture.agents[agent.number]
        self.fixture.directory._handle_answer(message, receiver, self.fixture.dispatcher, now_s)

    def count_outcomes(self) -> Counter[str]:
        for submission in self.submissions:
            assert submission.answer is not None, "every job is answered"
            took_s = self.ended_s[submission.submission_id] - submission.submitted_at_s
            if submission.answer.state != JobState.COMPLETE:
                self.outcomes["refused"] += 1
            else:
                self.outcomes["in time" if took_s <= GOAL_S + STEP_S else "late"] += 1
        return self.outcomes


def play(
    max_queue_wait_s: float, late_horizon_s: float, order: tuple[int, ...] = (0, 1, 2, 3)
) -> Counter[str]:
    """Return the outcomes of all jobs; `order` names the entries at which they arrive in turn."""
    toml = f"view_max_age_s = 86400.0\nhorizon_s = 0.05\nlate_horizon_s = {late_horizon_s}\n"
    with patch.object(manifest, "CONSORTIUM_TOML", toml):
        entries = [PlayedEntry(f"e{number}") for number in range(ENTRIES)]
    agents = [SharedAgent(number, max_queue_wait_s) for number in range(AGENTS)]
    arrived, now_s, next_load_s = 0, 0.0, 0.0
    while now_s < OVERLOAD_S + 2.0:
        while arrived / (OVERLOAD * CAPACITY_PER_S) <= min(now_s, OVERLOAD_S):
            entries[order[arrived % len(order)]].submit(now_s)
            arrived += 1
        for agent in agents:
            agent.run(now_s)
            if now_s >= next_load_s:
                for entry in entries:
                    entry.receive_load(agent, now_s)
        if now_s >= next_load_s:
            next_load_s += LOAD_INTERVAL_S
        for entry in entries:
            entry.place(agents, now_s)
        now_s += STEP_S
    return sum((entry.count_outcomes() for entry in entries), Counter())


class SharedAgentsTest(TestCase):
    def test_tasks_that_would_wait_long_at_an_agent_are_placed_again(self) -> None:
        outcomes = play(MAX_QUEUE_WAIT_S, UNLIMITED_S)
        self.assertGreater(outcomes["in time"], SHARE_OF_CAPACITY * POSSIBLE, outcomes)

    def test_late_tasks_of_one_entry_leave_room_for_those_of_others(self) -> None:
        """Most jobs arrive at one entry, which has late ones while the others have none."""
        outcomes = play(0.0, 0.0, (0, 0, 0, 1, 0, 2, 0, 3))
        self.assertGreater(outcomes["in time"], SHARE_AT_ONE_ENTRY * POSSIBLE, outcomes)
