"""Plays a load in which targets turn slow, and counts what callers get with and without moves."""

import random
from collections import Counter
from typing import Any

from attrs import define, evolve, field

from pistachiohill.agent.resources import Reservation, ResourceTracker
from pistachiohill.const import JobState, TaskState
from pistachiohill.entry.metrics import EntryMetrics
from pistachiohill.errors import RefusalReason, Verdict
from pistachiohill.overload.budget import StopBudget
from pistachiohill.overload.mover import TaskMover
from pistachiohill.overload.slowdown import SlowdownDetector
from pistachiohill.protocol.models import StartTasks, StopTask, TaskReport, TaskStart
from pistachiohill.scheduling.models import Demand
from pistachiohill.settings.models import JobSettings
from pistachiohill.submissions.identifiers import IdIssuer
from pistachiohill.submissions.models import JobRequest, Submission, TaskSpec, new_submission

from ..base import TestCase
from ..entry.test_dispatcher import DispatcherFixture

TARGETS, CORES = 10, 8
SLOW_TARGETS, SLOW_FACTOR, SLOW_FROM_S, SLOW_FOR_S = 3, 7.6, 2.0, 5.0
PLAY_S, TIME_LIMIT_S = 6.0, 4.3
SEEDS = range(1, 7)
IN_TIME = ("check in time", "sweep in time")
MAX_SHARE_NOT_SERVED = 0.7  # of those without moves
MIN_SHARE_IN_TIME = 0.95  # of those without moves; tasks that move must not crowd others out
LONG_SHARE, LONG_FACTOR = 0.03, 7.0  # tasks that are long by themselves
STEP_S, STOP_S = 0.01, 0.05
SETTINGS = JobSettings(
    service="clocking", best_effort=True, slack_factor=1.6, target_latency_s=0.06
)


@define
class Kind:
    """A kind of job: its tasks, how many arrive a second, and when the next one does."""

    name: str
    run_s: float
    tasks: int
    jobs_per_s: float
    priority: int
    next_s: float = 0.0

    def outcome(self, job: Submission, took_s: float) -> str:
        assert job.answer is not None
        goal_s = 1.6 * self.run_s + 0.06
        if job.answer.state != JobState.COMPLETE or took_s > 3 * goal_s:
            return f"{self.name} not served"
        return f"{self.name} in time" if took_s <= goal_s + STEP_S else f"{self.name} late"


@define(eq=False)
class PlayedRun:
    submission_id: str
    task: TaskStart
    reservation: Reservation
    work_s: float
    started_s: float = 0.0
    stops_at_s: float = float("inf")

    def report(self, state: TaskState, verdict: Verdict, reason: str, run_s: float) -> TaskReport:
        fields: Any = {"reason": reason, "run_s": run_s}
        return TaskReport(self.task.index, self.task.attempt, state, verdict, **fields)


@define(eq=False)
class PlayedAgent:
    """Runs the tasks that it is sent, up to its target's cores, and stops those it is told to."""

    link: Any
    tracker: ResourceTracker
    slow_for_s: float
    read: int = 0
    queue: list[PlayedRun] = field(factory=list)
    running: list[PlayedRun] = field(factory=list)

    def receive(self, work_s: dict[tuple[str, int], float], now_s: float) -> None:
        for message in self.link.sent[self.read :]:
            for task in message.tasks if isinstance(message, StartTasks) else ():
                reservation = Reservation(
                    "e", Demand(), message.priority, task.run_s, message.submission_id
                )
                self.tracker.admit(reservation)
                key = (message.submission_id, task.index)
                self.queue.append(PlayedRun(key[0], task, reservation, work_s[key]))
            for run in [*self.queue, *self.running] if isinstance(message, StopTask) else ():
                if (run.submission_id, run.task.index) == (message.submission_id, message.index):
                    run.stops_at_s = min(run.stops_at_s, now_s + STOP_S)
        self.read = len(self.link.sent)

    def work(self, now_s: float) -> list[tuple[str, TaskReport]]:
        """Let the runs go on for a step; return the reports on tasks that ended or were stopped."""
        is_slow = SLOW_FROM_S <= now_s < SLOW_FROM_S + self.slow_for_s
        speed = 1.0 / SLOW_FACTOR if is_slow else 1.0
        reports = []
        for run in [run for run in self.queue if now_s >= run.stops_at_s]:
            self.queue.remove(run)
            self.tracker.release(run.reservation)
            moved = (TaskState.FENCED, Verdict.NOT_RUN, RefusalReason.MOVED)
            reports.append((run.submission_id, run.report(*moved, 0.0)))
        self.queue.sort(key=lambda run: run.reservation.priority)
        while self.queue and len(self.running) < CORES:
            self.running.append(self.queue.pop(0))
            self.running[-1].started_s = now_s
            self.tracker.start(self.running[-1].reservation, now_s)
        for run in self.running:
            run.work_s -= STEP_S * speed
        for run in [run for run in self.running if run.work_s <= 0 or now_s >= run.stops_at_s]:
            reason = "" if run.work_s <= 0.0 else RefusalReason.MOVED
            self.running.remove(run)
            self.tracker.release(run.reservation)
            self.tracker.record_end(run.reservation, not reason, now_s)
            ended = (TaskState.SETTLED, Verdict.RAN, reason)
            reports.append((run.submission_id, run.report(*ended, now_s - run.started_s)))
        return reports


class Play:
    """One entry with its agents, of which the first ones' targets turn slow."""

    def __init__(self, budget: float, slow_targets: int, seed: int) -> None:
        self.fixture = DispatcherFixture(TARGETS)
        directory, self.dispatcher = self.fixture.directory, self.fixture.dispatcher
        limit = StopBudget(budget)
        self.mover = TaskMover(directory, self.dispatcher.waiting, limit, EntryMetrics())
        self.dispatcher.add_listener(self.mover)
        self.agents = []
        for number, link in enumerate(self.fixture.links):
            self.fixture.agents[number].load.cpu_m = CORES * 1000
            tracker = ResourceTracker(detector=SlowdownDetector() if budget else None)
            slow_for_s = SLOW_FOR_S if number < slow_targets else 0.0
            self.agents.append(PlayedAgent(link, tracker, slow_for_s))
        self.dice, self.issuer = random.Random(seed), IdIssuer("0011223344556677")
        self.kinds = [Kind("check", 0.12, 8, 20.0, 0), Kind("sweep", 1.8, 4, 2.5, 2)]
        self.work_s: dict[tuple[str, int], float] = {}
        self.jobs: dict[str, tuple[Submission, Kind]] = {}
        self.ended_s: dict[str, float] = {}

    def submit(self, kind: Kind, now_s: float) -> None:
        specs = (TaskSpec(b"", declared_s=kind.run_s),) * kind.tasks
        request = JobRequest("m", kind.name, specs, TIME_LIMIT_S, "k")
        submission_id = self.issuer.issue("m", 0, now_s)
        for index in range(kind.tasks):
            is_long = self.dice.random() < LONG_SHARE
            self.work_s[submission_id, index] = kind.run_s * (LONG_FACTOR if is_long else 1.0)
        settings = evolve(SETTINGS, priority=kind.priority)
        submission = new_submission(submission_id, request, settings, now_s)
        self.jobs[submission_id] = submission, kind
        self.dispatcher.submit(submission, now_s)

    def step(self, now_s: float) -> None:
        for kind in self.kinds:
            while kind.next_s <= min(now_s, PLAY_S):
                kind.next_s += 1.0 / kind.jobs_per_s
                self.submit(kind, now_s)
        for agent, played in zip(self.fixture.agents, self.agents, strict=True):
            for submission_id, report in played.work(now_s):
                self.fixture._receive(agent, submission_id, report, now_s)
            agent.record_load(played.tracker.load_for("e", [], CORES * 1000, now_s), now_s)
        self.mover.move_tasks(now_s)
        self.dispatcher.refuse_useless(now_s)
        self.dispatcher.place(now_s)
        for played in self.agents:
            played.receive(self.work_s, now_s)
        for submission_id, (submission, _) in self.jobs.items():
            if submission.answer is not None:
                self.ended_s.setdefault(submission_id, now_s)

    def outcomes(self) -> Counter[str]:
        """Play, and return what callers without long tasks got, and the stops by target."""
        for number in range(round((PLAY_S + 2 * TIME_LIMIT_S) / STEP_S)):
            self.step(number * STEP_S)
        found: Counter[str] = Counter(tasks=len(self.work_s))
        for submission_id, (submission, kind) in self.jobs.items():
            works_s = [self.work_s[submission_id, index] for index in range(kind.tasks)]
            if max(works_s) <= kind.run_s:
                took_s = self.ended_s[submission_id] - submission.submitted_at_s
                found[kind.outcome(submission, took_s)] += 1
        for played in self.agents:
            stops = sum(isinstance(item, StopTask) for item in played.link.sent)
            found["stops"] += stops
            found["stops at sound targets"] += stops if not played.slow_for_s else 0
        return found


class SlowTargetsTest(TestCase):
    def test_callers_whose_targets_turn_slow_are_served_elsewhere(self) -> None:
        without, with_moves = Counter[str](), Counter[str]()
        for seed in SEEDS:
            without.update(Play(0.0, SLOW_TARGETS, seed).outcomes())
            with_moves.update(Play(0.05, SLOW_TARGETS, seed).outcomes())
        seen = (without, with_moves)
        self.assertEqual((0, 0), (without["stops"], with_moves["stops at sound targets"]))
        most = MAX_SHARE_NOT_SERVED * without["sweep not served"]
        self.assertLess(with_moves["sweep not served"], most, seen)
        least = MIN_SHARE_IN_TIME * sum(without[name] for name in IN_TIME)
        self.assertGreater(sum(with_moves[name] for name in IN_TIME), least, seen)

    def test_long_tasks_at_sound_targets_are_left_alone(self) -> None:
        self.assertEqual(0, Play(0.05, 0, 1).outcomes()["stops"])

    def test_a_fleet_that_is_slow_for_the_most_part_stops_no_more_than_its_budget(self) -> None:
        budget = 0.05
        outcomes = Play(budget, 7, 1).outcomes()
        self.assertLessEqual(outcomes["stops"], budget * outcomes["tasks"])
