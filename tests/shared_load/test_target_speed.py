"""Run time factors that agents learn from all entries, and that entries take over."""

from pistachiohill.protocol.models import RunEstimate, SharedLoad, SharedWork, StartTasks
from pistachiohill.scheduling.models import TargetLoad
from pistachiohill.scheduling.plan import current_factor
from pistachiohill.shared_load.entry import EntrySharedLoad
from pistachiohill.shared_load.target_speed import RunningTask, TargetSpeed

from ..base import TestCase
from .fleet import INTERVAL_S, SETTINGS, Fleet, NamedLink, PlayedEntry

PATH = "consortium/lofts/stamp"
RUN_S = 0.2
SPEEDS = (0.6, 1.0, 1.6)
MANY_RUNS = 40


def make_entry(job_run_s: float) -> EntrySharedLoad:
    entry = EntrySharedLoad(True, INTERVAL_S, agents_are_shared=True)
    entry.estimates.adopt(PATH, job_run_s, 0.0, "clocking")
    return entry


def run(speed: TargetSpeed, entry: EntrySharedLoad, factor: float, run_s: float) -> None:
    """Let an agent run one task of an entry that expects a factor of its target."""
    estimate = entry.estimate(PATH, factor)
    assert estimate is not None
    speed.record_estimate(PATH, estimate)
    expected_s = estimate.job_run_s * factor
    speed.record_run(speed.base_run_s(PATH, estimate, expected_s), run_s, 0.0)


def report(speed: TargetSpeed, overdue: float = 0.0) -> SharedLoad:
    return SharedLoad([], 0, speed.factor, speed.runs, 0.0, overdue, speed.listed_jobs())


class TargetSpeedTest(TestCase):
    def test_entries_with_different_job_means_each_get_the_factor_on_their_own_scale(self) -> None:
        """The first has slow targets, so that it expects 0.32 s; the second expects 0.2 s."""
        slow, fast = make_entry(1.6 * RUN_S), make_entry(RUN_S)
        speed = TargetSpeed()
        for _ in range(MANY_RUNS):
            run(speed, slow, 1.25, 2.0 * RUN_S)
            run(speed, fast, 2.0, 2.0 * RUN_S)
        for entry, factor in ((slow, 1.25), (fast, 2.0)):
            target = TargetLoad("a", "d", 1000)
            entry.record(target, "clocking", report(speed), 0.0)
            self.assertTrue(0.9 < target.factor / factor < 1.1, (target.factor, factor))

    def test_odd_estimates_and_reports_change_nothing(self) -> None:
        speed = TargetSpeed()
        for values in ((0.0, 1.0, 0.0), (1.0, -1.0, 0.0), (1e9, 1.0, 0.0), (1.0, 1.0, -1.0)):
            estimate = RunEstimate(*values)
            speed.record_estimate(PATH, estimate)
            self.assertEqual(0.0, speed.base_run_s(PATH, estimate, 1.0))
        self.assertEqual([], speed.listed_jobs())
        entry, target = make_entry(RUN_S), TargetLoad("a", "d", 1000)
        for factor in (0.0, -1.0, float("inf")):
            odd = SharedLoad([-1], -1, factor, 7, -1.0, float("inf"), [])
            entry.record(target, "clocking", odd, 0.0)
            self.assertEqual(1.0, target.factor)
            self.assertEqual((0.0,), target.others_waiting.core_s)

    def test_a_slow_target_shows_before_its_tasks_end_and_single_long_tasks_do_not(self) -> None:
        speed = TargetSpeed()
        long, new = RunningTask(RUN_S, 0.0), RunningTask(RUN_S, 4 * RUN_S)
        self.assertEqual(0.0, speed.overdue([long, new, new], 4.5 * RUN_S))
        self.assertAlmostEqual(3.5, speed.overdue([long, long, long, new], 4.5 * RUN_S))
        self.assertLess(speed.overdue([RunningTask(0.0, 0.0)], 1.0), 0.0)

    def test_a_few_runs_of_seven_times_the_mean_hardly_change_the_factor(self) -> None:
        """Three runs in a hundred are so long, and goals allow 1.6 times the mean."""
        entry, speed = make_entry(RUN_S), TargetSpeed()
        for number in range(MANY_RUNS):
            run(speed, entry, 1.0, RUN_S * (7.0 if number % 33 == 32 else 1.0))
            self.assertLess(speed.factor, SETTINGS.slack_factor, number)


class FleetTest(TestCase):
    def warm_fleet(self, interval_s: float) -> Fleet:
        """Return a fleet of three speeds in which all entries have run tasks for a while."""
        fleet = Fleet(9, 18, 8000, {"stamp": RUN_S}, interval_s)
        for number, agent in enumerate(fleet.played):
            agent.speed = SPEEDS[number // 6]
        for _ in range(MANY_RUNS):
            for entry in fleet.all_entries:
                entry.submit("stamp", 5, SETTINGS, fleet.now_s)
            for _ in range(20):
                fleet.step()
        return fleet

    def speeds_used(self, fleet: Fleet, entry: PlayedEntry, tasks: int) -> list[float]:
        """Return the speeds of the targets at which an entry places the tasks of a job."""
        entry.submit("stamp", tasks, SETTINGS, fleet.now_s)
        entry.fixture.dispatcher.place(fleet.now_s)
        return [
            fleet.played[number].speed
            for number, link in zip(entry.agents, entry.fixture.links, strict=True)
            for message in link.sent
            if isinstance(message, StartTasks)
            for _ in message.tasks
        ]

    def restart(self, fleet: Fleet) -> PlayedEntry:
        entry = fleet.new_entry(0)
        fleet.all_entries[0] = entry
        for number in entry.agents:
            fleet.played[number].shared.link_closed(NamedLink("e0"))
        fleet.exchange()
        return entry

    def test_a_restarted_entry_places_by_speed_at_once(self) -> None:
        fleet = self.warm_fleet(INTERVAL_S)
        entry = self.restart(fleet)
        expected_s = entry.fixture.dispatcher.waiting.estimates.expected_run_s(PATH)
        self.assertTrue(0.7 < expected_s / RUN_S < 1.4, expected_s)
        fast = [number for number in entry.agents if fleet.played[number].speed == max(SPEEDS)]
        self.assertEqual({max(SPEEDS)}, set(self.speeds_used(fleet, entry, 2 * len(fast))))

    def test_a_target_that_turns_slow_is_avoided_by_an_entry_that_never_ran_there(self) -> None:
        fleet = self.warm_fleet(INTERVAL_S)
        for _ in range(100):
            fleet.step()
        for agent in fleet.played:
            agent.speed = 0.1 if agent.speed == max(SPEEDS) else agent.speed
        reader = self.restart(fleet)
        for entry in fleet.all_entries:
            if entry is not reader:
                entry.submit("stamp", 3, SETTINGS, fleet.now_s)
        for _ in range(45):
            fleet.step()
        self.assertGreater(min(self.speeds_used(fleet, reader, 16)), 0.5)

    def test_an_entry_goes_by_its_own_runs_once_it_has_some(self) -> None:
        entry, target, speed = make_entry(RUN_S), TargetLoad("a", "d", 1000), TargetSpeed()
        for _ in range(MANY_RUNS):
            run(speed, entry, 1.0, 2.0 * RUN_S)
            entry.estimates.record_run(PATH, target.mean_factor, RUN_S, 0.0, "clocking")
        own = target.factor
        entry.record(target, "clocking", report(speed, overdue=3.0), 0.0)
        self.assertEqual((own, None), (target.factor, target.overdue(0.0)))

    def test_of_a_slowdown_and_the_factor_with_overdue_tasks_the_larger_counts(self) -> None:
        for slowdown, expected in ((1.0, 3.5), (3.0, 3.5), (5.0, 5.0)):
            target = TargetLoad("a", "d", 1000, slowdown=slowdown, reported_overdue=1.5)
            target.mean_factor.value = 2.0
            self.assertEqual(expected, current_factor(target, RUN_S, 0.0))

    def test_a_restarted_agent_starts_with_what_its_entries_know(self) -> None:
        speed = TargetSpeed()
        speed.record_estimate(PATH, RunEstimate(1.6, RUN_S, 0.0))
        self.assertAlmostEqual(1.6, speed.factor)

    def test_an_entry_is_told_the_jobs_again_only_after_a_change_or_on_a_new_link(self) -> None:
        shared = Fleet(9, 18, 4000, {"stamp": RUN_S}, INTERVAL_S).played[0].shared
        self.assertIsNone(shared.load_for(NamedLink("e0"), 0.0))
        shared.speed.record_estimate(PATH, RunEstimate(1.0, RUN_S, 0.0))
        for opened in range(2):
            self.assertTrue(shared.record_work(NamedLink("e0"), SharedWork([]), 0.0), opened)
            counts = []
            for _ in range(2):
                load = shared.load_for(NamedLink("e0"), 0.0)
                assert load is not None
                counts.append(len(load.jobs))
            self.assertEqual([1, 0], counts)
            shared.link_closed(NamedLink("e0"))
