"""Leases of entries at an agent, and the room that tasks take there."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pistachiohill.agent.leases import EntryLeases
from pistachiohill.agent.resources import HeldTask, Room
from pistachiohill.scheduling.models import Demand

from ..base import TestCase

LEASE_S = 0.6


class EntryLeasesTest(TestCase):
    def test_a_lease_counts_from_the_echoed_clock(self) -> None:
        leases = EntryLeases(LEASE_S)
        leases.extend("e", 10.0, 10.5)
        self.assertTrue(leases.holds("e", 10.59))
        self.assertFalse(leases.holds("e", 10.61))
        self.assertTrue(leases.is_aging("e", 10.4))
        leases.extend("e", 9.0, 10.6)
        self.assertFalse(leases.holds("e", 10.61))

    def test_an_echo_from_the_future_or_none_changes_nothing(self) -> None:
        leases = EntryLeases(LEASE_S)
        leases.extend("e", -1.0, 10.0)
        leases.extend("e", 11.0, 10.0)
        self.assertFalse(leases.holds("e", 10.0))

    def test_old_entries_are_forgotten(self) -> None:
        leases = EntryLeases(LEASE_S)
        leases.extend("e", 10.0, 10.0)
        leases.expire(1000.0)
        self.assertEqual(float("inf"), leases.age_s("e", 1000.0))


class RoomTest(TestCase):
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
    def test_equals_sums_over_all_tasks(self, actions: list[tuple[str, str, int, int]]) -> None:
        room = Room()
        queued: list[HeldTask] = []
        running: list[HeldTask] = []
        for action, owner, cpu_m, mem_mb in actions:
            if action == "admit":
                queued.append(HeldTask(owner, Demand(cpu_m, mem_mb), 0, 1.0))
                room.admit(queued[-1])
            elif action == "start" and queued:
                running.append(queued.pop(0))
                room.start(running[-1], 0.0)
            elif action == "release" and (queued or running):
                room.release((running or queued).pop(0))
            held = queued + running
            self.assertEqual(sum(t.demand.cpu_m for t in held), room.all.cpu_m)
            self.assertEqual(sum(t.demand.mem_mb for t in running), room.running.mem_mb)
            load = room.load_for("e1", queued, 10_000, 0.0)
            others = [t for t in held if t.owner != "e1"]
            self.assertEqual(
                (len(others), sum(t.demand.cpu_m for t in others)), (load.others, load.others_cpu_m)
            )
            fits = sum(t.demand.cpu_m for t in running) + 500 <= 4000
            self.assertEqual(fits, room.fits(Demand(500, 0), 4000, 100_000))

    def test_waits_follow_the_ends_of_running_tasks_and_the_queue_before(self) -> None:
        room = Room()
        for run_s in (1.0, 2.0, 3.0):
            task = HeldTask("e", Demand(1000), 1, run_s)
            room.admit(task)
            room.start(task, 0.0)
        self.assertEqual([], room.waits_s([], 4000, 0.0))
        self.assertEqual([1.0, 1.0, 1.0], room.waits_s([], 3000, 0.0))
        queue = [HeldTask("e", Demand(1000), 1, 1.0)]
        self.assertEqual([1.0, 2.0, 2.0], room.waits_s(queue, 3000, 0.0))
        low = [HeldTask("e", Demand(1000), 7, 1.0)]
        self.assertEqual([1.0, 1.0, 2.0], room.waits_s(low, 3000, 0.0))

    def test_an_overdue_task_is_expected_to_take_a_little_longer(self) -> None:
        room = Room()
        task = HeldTask("e", Demand(1000), 0, 1.0)
        room.admit(task)
        room.start(task, 0.0)
        self.assertEqual([0.2] * 3, room.waits_s([], 1000, 5.0))
