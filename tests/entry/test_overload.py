"""Plays an overload of some seconds against the dispatcher, and counts what callers get."""

from collections import Counter, deque
from heapq import heappop, heappush

from attrs import define, field

from pistachiohill.const import JobState
from pistachiohill.entry.admission import Admission
from pistachiohill.errors import RefusalReason, Verdict
from pistachiohill.protocol.models import TaskStart
from pistachiohill.settings.models import JobSettings
from pistachiohill.submissions.identifiers import IdIssuer
from pistachiohill.submissions.models import (
    JobRequest,
    Submission,
    TaskSpec,
    new_submission,
)

from ..base import TestCase
from .test_dispatcher import DispatcherFixture, StubLink

AGENTS = 10
RUN_S = 0.12
CAPACITY_PER_S = AGENTS / RUN_S
OVERLOAD = 1.3
OVERLOAD_S = 4.0
SETTINGS = JobSettings(
    service="clocking", best_effort=True, slack_factor=1.6, target_latency_s=0.06
)
GOAL_S = 1.6 * RUN_S + 0.06
STEP_S = 0.005
SHARE_OF_CAPACITY = 0.8  # of the jobs that a scheduler which knows everything would serve in time


@define(eq=False)
class PlayedAgent:
    """Runs the tasks it is sent, one at a time."""

    link: StubLink
    read: int = 0
    queue: deque[tuple[str, TaskStart]] = field(factory=deque)
    busy: bool = False

    def receive(self) -> None:
        """Queue the tasks of messages that were not read yet."""
        for message in self.link.starts()[self.read :]:
            self.queue += [(message.submission_id, task) for task in message.tasks]
            self.read += 1


class OverloadTest(TestCase):
    def play(self) -> tuple[list[Submission], dict[str, float], list[float]]:
        """Return all submissions, when each was answered, and the waits of refused ones."""
        fixture = DispatcherFixture(AGENTS)
        dispatcher = fixture.dispatcher
        admission = Admission(dispatcher.waiting)
        agents = [PlayedAgent(link) for link in fixture.links]
        issuer = IdIssuer("0011223344556677")
        submissions: list[Submission] = []
        refused_at_once: list[float] = []
        ended_s: dict[str, float] = {}
        ends: list[tuple[float, int]] = []
        next_arrival_s = now_s = 0.0
        while now_s < OVERLOAD_S + 2.0:
            while next_arrival_s <= min(now_s, OVERLOAD_S):
                request = JobRequest("lofts", "stamp", (TaskSpec(b"", declared_s=RUN_S),), 8.0, "k")
                next_arrival_s += 1.0 / (OVERLOAD * CAPACITY_PER_S)
                if admission.check(request, SETTINGS, now_s) is not None:
                    refused_at_once.append(0.0)
                    continue
                submission_id = issuer.issue("lofts", 0, now_s)
                submissions.append(new_submission(submission_id, request, SETTINGS, now_s))
                dispatcher.submit(submissions[-1], now_s)
            while ends and ends[0][0] <= now_s:
                _, number = heappop(ends)
                played = agents[number]
                submission_id, task = played.queue.popleft()
                played.busy = False
                fixture.report(number, submission_id, task.index, task.attempt, RUN_S, now_s)
            dispatcher.refuse_useless(now_s)
            dispatcher.place(now_s)
            for number, played in enumerate(agents):
                played.receive()
                if played.queue and not played.busy:
                    played.busy = True
                    heappush(ends, (now_s + RUN_S, number))
            for submission in submissions:
                if submission.answer is not None:
                    ended_s.setdefault(submission.submission_id, now_s)
            now_s += STEP_S
        return submissions, ended_s, refused_at_once

    def test_an_overload_makes_only_the_excess_late(self) -> None:
        submissions, ended_s, refused_at_once = self.play()
        outcomes: Counter[str] = Counter({"refused": len(refused_at_once)})
        for submission in submissions:
            assert submission.answer is not None, "every job is answered"
            took_s = ended_s[submission.submission_id] - submission.submitted_at_s
            if submission.answer.state != JobState.COMPLETE:
                self.assertEqual(Verdict.NOT_RUN, submission.answer.verdict)
                self.assertEqual(RefusalReason.OVERLOAD, submission.answer.reason)
                self.assertGreater(submission.answer.retry_after_s, 0.0)
                outcomes["refused"] += 1
            else:
                outcomes["in time" if took_s <= GOAL_S + STEP_S else "late"] += 1
        possible = CAPACITY_PER_S * OVERLOAD_S
        self.assertGreater(outcomes["in time"], SHARE_OF_CAPACITY * possible, outcomes)

    def test_a_new_job_is_not_refused_for_the_sake_of_late_ones(self) -> None:
        fixture = DispatcherFixture(AGENTS)
        dispatcher = fixture.dispatcher
        admission = Admission(dispatcher.waiting)
        issuer = IdIssuer("0011223344556677")
        request = JobRequest("lofts", "stamp", (TaskSpec(b"", declared_s=RUN_S),), 8.0, "k")
        for _ in range(AGENTS * 12):
            submission_id = issuer.issue("lofts", 0, 0.0)
            dispatcher.submit(new_submission(submission_id, request, SETTINGS, 0.0), 0.0)
        dispatcher.place(0.0)
        for now_s in (0.0, 0.2):
            dispatcher.refuse_useless(now_s)
            refusal = admission.check(request, SETTINGS, now_s)
            self.assertEqual(now_s == 0.0, refusal is not None, now_s)

    def test_a_job_waits_only_while_more_agents_are_being_linked(self) -> None:
        fixture = DispatcherFixture(AGENTS)
        dispatcher = fixture.dispatcher
        admission = Admission(dispatcher.waiting)
        issuer = IdIssuer("0011223344556677")
        request = JobRequest("lofts", "stamp", (TaskSpec(b"", declared_s=RUN_S),), 8.0, "k")
        self.assertFalse(admission.should_wait(request, SETTINGS, 0.0))
        for _ in range(AGENTS * 12):
            submission_id = issuer.issue("lofts", 0, 0.0)
            dispatcher.submit(new_submission(submission_id, request, SETTINGS, 0.0), 0.0)
        self.assertFalse(admission.should_wait(request, SETTINGS, 0.0))
        fixture.directory._served = {("a", number) for number in range(2 * AGENTS)}
        self.assertTrue(admission.should_wait(request, SETTINGS, 0.0))
