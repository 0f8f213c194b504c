"""Entries that tell each other which jobs they hold, and release them to each other."""

from collections import deque

from attrs import define, field

from pistachiohill.agent.const import RUNS_END_S
from pistachiohill.entry.const import (
    HELD_AFTER_S,
    HELD_REPEAT_S,
    HELD_RETENTION_S,
    LATE_TIMERS_S,
    RELEASE_REPEAT_S,
)
from pistachiohill.entry.job_holders import PEER_HEARD_S, Holding, JobHolders, Release
from pistachiohill.entry.late_starts import LateStartTable
from pistachiohill.protocol.models import JobReleased, JobsHeld, LateStarts, Message, ReleaseJob

from ..base import TestCase

KEY = "5c0e7a21d94b36f8"
RESEND_S = 1.3  # resendMs in the users' requirements


@define(eq=False)
class FakeLink:
    """Delivers messages to another entry when the test says so."""

    received_at_s: float = 0.0
    sent: deque[Message] = field(factory=deque)

    def send(self, message: Message) -> None:
        self.sent.append(message)


@define(eq=False)
class FakeJobs:
    """Jobs of an entry: the time of their acceptance, and whether tasks of a cancelled one run."""

    accepted: dict[str, float] = field(factory=dict)
    ages: dict[str, float] = field(factory=dict)
    ending: set[str] = field(factory=set)

    def held_keys(self, before_s: float) -> set[str]:
        return {key for key, at_s in self.accepted.items() if at_s < before_s} | self.ending

    def age_s(self, key: str, now_s: float) -> float | None:
        return self.ages.get(key)

    def release(self, key: str, age_s: float, entry: str, now_s: float) -> Release:
        if key in self.accepted:
            if self.ages[key] < age_s:
                return Release.KEPT
            del self.accepted[key], self.ages[key]
            self.ending.add(key)
        return Release.ENDING if key in self.ending else Release.ENDED


@define(eq=False)
class FakeEntry:
    """An entry with a link to at most one other."""

    jobs: FakeJobs = field(factory=FakeJobs)
    peer: str = ""
    link: FakeLink | None = field(factory=FakeLink)
    late_starts: LateStartTable = field(factory=LateStartTable)
    holders: JobHolders = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.holders = JobHolders(self, self.late_starts)  # type: ignore[arg-type]
        self.holders.set_jobs(self.jobs)

    def find_link(self, incarnation: str) -> FakeLink | None:
        return self.link if incarnation == self.peer else None

    def incarnations(self) -> set[str]:
        return {self.peer} if self.link is not None else set()


class Pair:
    """Two linked entries; `first` holds the job."""

    def __init__(self) -> None:
        self.first, self.second = FakeEntry(peer="second"), FakeEntry(peer="first")
        self.first.jobs.accepted[KEY] = 0.0
        self.first.jobs.ages[KEY] = RESEND_S

    def announce(self, now_s: float) -> None:
        self.first.holders.announce(now_s)
        self.deliver(now_s)

    def deliver(self, now_s: float) -> None:
        while any(
            entry.link is not None and entry.link.sent for entry in (self.first, self.second)
        ):
            self._deliver_once(now_s)

    def _deliver_once(self, now_s: float) -> None:
        for sender, receiver, name in (
            (self.first, self.second, "first"),
            (self.second, self.first, "second"),
        ):
            while sender.link is not None and sender.link.sent:
                message = sender.link.sent.popleft()
                if receiver.link is not None:
                    receiver.link.received_at_s = now_s
                if isinstance(message, JobsHeld):
                    receiver.holders.jobs_held(name, message, now_s)
                elif isinstance(message, ReleaseJob):
                    receiver.holders.release_requested(name, message, now_s)
                elif isinstance(message, JobReleased):
                    receiver.holders.job_released(name, message, now_s)
                elif isinstance(message, LateStarts):
                    receiver.holders.late_starts_told(name, message, now_s)

    def check(self, now_s: float, age_s: float = 0.0) -> Holding:
        holding = self.second.holders.check(KEY, age_s, now_s)
        self.deliver(now_s)
        return holding


class JobHoldersTest(TestCase):
    def test_a_job_is_announced_well_before_it_can_be_sent_again(self) -> None:
        pair = Pair()
        pair.announce(HELD_AFTER_S / 2)
        self.assertEqual(Holding.FREE, pair.check(HELD_AFTER_S / 2))
        self.assertLess(HELD_AFTER_S, RESEND_S / 2)
        pair.announce(HELD_AFTER_S + 0.01)
        self.assertEqual(Holding.HELD, pair.check(RESEND_S))

    def test_a_job_waits_until_the_holders_runs_have_ended(self) -> None:
        pair = Pair()
        pair.announce(1.0)
        self.assertEqual(Holding.HELD, pair.check(2.0))
        self.assertEqual({KEY}, pair.first.jobs.ending)
        for step in range(20):
            self.assertEqual(Holding.HELD, pair.check(2.0 + step * RELEASE_REPEAT_S))
        pair.first.jobs.ending.clear()
        pair.first.holders.answer_askers(6.0)
        pair.deliver(6.0)
        self.assertEqual(Holding.FREE, pair.check(6.0))

    def test_entry_that_asks_for_a_job_is_told_of_which_tasks_a_start_may_come(self) -> None:
        """Guards against jobs that wait in vain until their deadline, and against two runs."""
        pair = Pair()
        pair.announce(1.0)
        pair.first.late_starts.expect("agent", f"{KEY}/0", 20.0, 1.5)
        pair.check(2.0)
        self.assertEqual(20.0, pair.second.late_starts.job_until_s(KEY))

    def test_a_job_that_was_released_in_the_meantime_is_free(self) -> None:
        pair = Pair()
        pair.announce(1.0)
        pair.first.jobs.accepted.clear()
        pair.announce(1.1)
        self.assertEqual(Holding.FREE, pair.check(2.0))

    def test_an_older_request_does_not_take_the_job_from_a_newer_one(self) -> None:
        pair = Pair()
        pair.announce(1.0)
        self.assertEqual(Holding.HELD, pair.check(2.0, age_s=RESEND_S + 1.0))
        self.assertEqual(Holding.KEPT, pair.check(2.02, age_s=RESEND_S + 1.0))
        self.assertEqual({KEY}, set(pair.first.jobs.accepted))
        self.assertEqual(Holding.HELD, pair.check(2.0 + RESEND_S, age_s=0.0))
        self.assertEqual({KEY}, pair.first.jobs.ending)

    def test_a_holder_that_was_killed_is_waited_for_until_its_runs_have_ended(self) -> None:
        pair = Pair()
        pair.announce(1.0)
        pair.second.link = None
        pair.second.holders.peer_unlinked("first", 1.0, 1.9)
        self.assertEqual(Holding.HELD, pair.check(2.0))
        self.assertEqual(Holding.HELD, pair.check(1.9 + RUNS_END_S))
        self.assertEqual(Holding.FREE, pair.check(1.9 + RUNS_END_S + LATE_TIMERS_S + 0.01))

    def test_a_holder_that_was_silent_for_long_is_not_waited_for(self) -> None:
        pair = Pair()
        pair.announce(1.0)
        silent_s = PEER_HEARD_S + RUNS_END_S + LATE_TIMERS_S
        self.assertEqual(Holding.FREE, pair.check(1.0 + silent_s + 0.1))

    def test_a_holder_that_falls_silent_when_asked_is_waited_for(self) -> None:
        pair = Pair()
        pair.announce(1.0)
        pair.first.link = None  # it reads and answers nothing
        asked_at_s = 1.1
        assert pair.second.link is not None
        self.assertEqual(Holding.HELD, pair.second.holders.check(KEY, 0.0, asked_at_s))
        pair.second.link.received_at_s = 10.0
        ended_s = asked_at_s + RUNS_END_S + LATE_TIMERS_S
        now_s = asked_at_s
        while now_s < ended_s - 0.02:
            now_s += 0.02  # a job that waits is checked as often
            self.assertEqual(Holding.HELD, pair.second.holders.check(KEY, 0.0, now_s))
        self.assertEqual(Holding.FREE, pair.second.holders.check(KEY, 0.0, ended_s + 0.01))

    def test_two_entries_that_run_one_job_leave_it_to_the_newer_request(self) -> None:
        pair = Pair()
        pair.second.jobs.accepted[KEY] = 0.0
        pair.second.jobs.ages[KEY] = 0.1
        pair.announce(1.0)
        pair.deliver(1.0)
        self.assertEqual({KEY}, pair.first.jobs.ending)
        self.assertEqual({KEY}, set(pair.second.jobs.accepted))

    def test_a_new_link_is_told_of_all_held_jobs(self) -> None:
        pair = Pair()
        pair.first.link = None
        pair.announce(1.0)
        pair.first.link = FakeLink()
        pair.first.holders.peer_linked("second", 1.1)
        pair.deliver(1.1)
        self.assertEqual(Holding.HELD, pair.check(RESEND_S))

    def test_held_jobs_are_repeated_and_forgotten_otherwise(self) -> None:
        pair = Pair()
        for number in range(1, 10):
            pair.announce(number * HELD_REPEAT_S)
        last_s = 9 * HELD_REPEAT_S
        self.assertEqual(Holding.HELD, pair.check(last_s + 0.1))
        pair.second.holders.announce(last_s + HELD_RETENTION_S + 1.0)
        self.assertEqual(Holding.FREE, pair.check(last_s + HELD_RETENTION_S + 1.0))

    def test_an_old_request_waits_until_no_other_entry_has_a_newer_one(self) -> None:
        pair = Pair()
        pair.first.jobs.ages[KEY] = 0.1  # accepted just now, so it was not announced
        pair.second.holders.suspect_all(KEY, 0.1)
        self.assertEqual(Holding.HELD, pair.check(0.1, age_s=1.4))
        self.assertEqual(Holding.KEPT, pair.check(0.12, age_s=1.4))

    def test_an_old_request_whose_job_is_nowhere_else_waits_for_one_answer(self) -> None:
        pair = Pair()
        pair.first.jobs.accepted.clear()
        pair.second.holders.suspect_all(KEY, 0.1)
        self.assertEqual(Holding.HELD, pair.check(0.1, age_s=1.4))
        self.assertEqual(Holding.FREE, pair.check(0.12, age_s=1.4))

    def test_a_job_that_another_entry_asked_for_is_asked_back_from_it(self) -> None:
        pair = Pair()
        pair.first.jobs.accepted.clear()
        pair.second.holders.suspect_all(KEY, 0.1)
        pair.check(0.1, age_s=1.4)
        pair.second.jobs.accepted[KEY], pair.second.jobs.ages[KEY] = 0.12, 1.42
        self.assertEqual(Holding.HELD, pair.first.holders.check(KEY, 0.0, 0.15))
        pair.deliver(0.15)
        self.assertEqual({KEY}, pair.second.jobs.ending)

    def test_a_holder_that_was_asked_long_ago_is_asked_again(self) -> None:
        pair = Pair()
        pair.announce(1.0)
        self.assertEqual(Holding.HELD, pair.check(1.0, age_s=RESEND_S + 1.0))
        pair.announce(1.1)
        self.assertEqual(Holding.HELD, pair.check(1.1 + RUNS_END_S + LATE_TIMERS_S + 0.1))
        self.assertEqual({KEY}, pair.first.jobs.ending)

    def test_an_old_request_waits_for_an_entry_whose_link_was_closed_just_now(self) -> None:
        pair = Pair()
        pair.second.link = None
        pair.second.holders.peer_unlinked("first", 1.0, 1.0)
        pair.second.holders.suspect_all(KEY, 1.1)
        self.assertEqual(Holding.HELD, pair.check(1.1, age_s=1.4))
        pair.second.link = FakeLink(received_at_s=1.2)
        self.assertEqual(Holding.HELD, pair.check(1.4, age_s=1.7))
        self.assertEqual(Holding.KEPT, pair.check(1.42, age_s=1.72))
