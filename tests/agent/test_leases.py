"""Tests for EntryLeases and ResourceTracker."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pistachiohill.agent.leases import EntryLeases
from pistachiohill.agent.resources import Reservation, ResourceTracker
from pistachiohill.scheduling.models import Demand

from ..base import TestCase

LEASE_S = 0.6


class EntryLeasesTest(TestCase):
    def test_a_lease_counts_from_the_echoed_clock(self) -> None:
        leases = EntryLeases(LEASE_S)
        leases.renew("e", 10.0, 10.5)
        self.assertTrue(leases.is_valid("e", 10.59))
        self.assertFalse(leases.is_valid("e", 10.61))
        self.assertTrue(leases.needs_renewal("e", 10.4))
        leases.renew("e", 9.0, 10.6)
        self.assertFalse(leases.is_valid("e", 10.61))

    def test_echoes_from_the_future_or_negative_are_ignored(self) -> None:
        leases = EntryLeases(LEASE_S)
        leases.renew("e", -1.0, 10.0)
        leases.renew("e", 11.0, 10.0)
        self.assertFalse(leases.is_valid("e", 10.0))

    def test_old_leases_are_removed(self) -> None:
        leases = EntryLeases(LEASE_S)
        leases.renew("e", 10.0, 10.0)
        leases.expire(1000.0)
        self.assertEqual(float("inf"), leases.age_s("e", 1000.0))


class ResourceTrackerTest(TestCase):
    @seed(20261204)
    @settings(max_examples=300, deadline=None, database=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["admit", "start", "release"]),
                st.sampled_from(["e1", "e2"]),
                st.integers(1, 4000),
                st.integers(0, 100),
            ),
            max_size=30,
        )
    )
    def test_totals_match_sums_over_all_tasks(
        self, actions: list[tuple[str, str, int, int]]
    ) -> None:
        tracker = ResourceTracker()
        queued: list[Reservation] = []
        running: list[Reservation] = []
        for action, owner, cpu_m, mem_mb in actions:
            if action == "admit":
                queued.append(Reservation(owner, Demand(cpu_m, mem_mb), 0, 1.0))
                tracker.admit(queued[-1])
            elif action == "start" and queued:
                running.append(queued.pop(0))
                tracker.start(running[-1], 0.0)
            elif action == "release" and (queued or running):
                tracker.release((running or queued).pop(0))
            held = queued + running
            self.assertEqual(sum(t.demand.cpu_m for t in held), tracker.total.cpu_m)
            self.assertEqual(sum(t.demand.mem_mb for t in running), tracker.running.mem_mb)
            load = tracker.load_for("e1", queued, 10_000, 0.0)
            others = [t for t in held if t.owner != "e1"]
            self.assertEqual(
                (len(others), sum(t.demand.cpu_m for t in others)), (load.others, load.others_cpu_m)
            )
            fits = sum(t.demand.cpu_m for t in running) + 500 <= 4000
            self.assertEqual(fits, tracker.fits(Demand(500, 0), 4000, 100_000))

    def test_waits_follow_the_ends_of_running_tasks_and_the_queue(self) -> None:
        tracker = ResourceTracker()
        for run_s in (1.0, 2.0, 3.0):
            task = Reservation("e", Demand(1000), 1, run_s)
            tracker.admit(task)
            tracker.start(task, 0.0)
        self.assertEqual([], tracker.expected_waits_s([], 4000, 0.0))
        self.assertEqual([1.0, 1.0, 1.0], tracker.expected_waits_s([], 3000, 0.0))
        queue = [Reservation("e", Demand(1000), 1, 1.0)]
        self.assertEqual([1.0, 2.0, 2.0], tracker.expected_waits_s(queue, 3000, 0.0))
        low = [Reservation("e", Demand(1000), 7, 1.0)]
        self.assertEqual([1.0, 1.0, 2.0], tracker.expected_waits_s(low, 3000, 0.0))

    def test_an_overdue_task_is_expected_to_take_a_little_longer(self) -> None:
        tracker = ResourceTracker()
        task = Reservation("e", Demand(1000), 0, 1.0)
        tracker.admit(task)
        tracker.start(task, 0.0)
        self.assertEqual([0.2] * 3, tracker.expected_waits_s([], 1000, 5.0))
