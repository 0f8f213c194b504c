"""Tests for ResourceTracker and SentLoad: the load sent to entries, and when to send it again."""

from pistachiohill.agent.resources import MIN_WAIT_CHANGE_S, Reservation, ResourceTracker, SentLoad
from pistachiohill.protocol.models import AgentLoad
from pistachiohill.scheduling.models import Demand

from ..base import TestCase

STEP_CPU_M = 1000.0


def load(cpu_m: int = 0, *waits_s: float) -> AgentLoad:
    return AgentLoad(1, cpu_m, 0, list(waits_s))


class SentLoadTest(TestCase):
    def test_a_cpu_change_beyond_the_step_differs(self) -> None:
        sent = SentLoad(load(3000), 1.0)
        self.assertFalse(sent.differs(load(4000), STEP_CPU_M, 1.0))
        self.assertTrue(sent.differs(load(4001), STEP_CPU_M, 1.0))
        self.assertTrue(sent.differs(load(1999), STEP_CPU_M, 1.0))

    def test_a_wait_that_appears_or_disappears_differs(self) -> None:
        self.assertTrue(SentLoad(load(0), 1.0).differs(load(0, 0.001), STEP_CPU_M, 1.0))
        self.assertTrue(SentLoad(load(0, 0.5), 1.0).differs(load(0), STEP_CPU_M, 1.0))

    def test_a_wait_that_shrinks_with_elapsed_time_does_not_differ(self) -> None:
        sent = SentLoad(load(0, 0.5, 0.6), 1.0)
        self.assertFalse(sent.differs(load(0, 0.3, 0.4), STEP_CPU_M, 1.2))
        self.assertTrue(sent.differs(load(0, 0.5, 0.6), STEP_CPU_M, 1.2))
        self.assertTrue(sent.differs(load(0, 0.3, 0.4 + 2 * MIN_WAIT_CHANGE_S), STEP_CPU_M, 1.2))


class ResourceTrackerTest(TestCase):
    def test_load_excludes_the_tasks_of_the_entry_itself(self) -> None:
        tracker = ResourceTracker()
        tasks = [Reservation(owner, Demand(1000, 16), 0, 1.0) for owner in ("a", "a", "b")]
        for task in tasks:
            tracker.admit(task)
            tracker.start(task, 10.0)
        sent = tracker.load_for("a", [], 4000, 10.0)
        self.assertEqual(
            (1, 1000, 16, []), (sent.others, sent.others_cpu_m, sent.others_mem_mb, sent.waits_s)
        )
        for task in tasks:
            tracker.release(task)
        self.assertEqual({}, tracker.by_owner)
        self.assertEqual(0, tracker.running.cpu_m)

    def test_an_overdue_task_keeps_a_share_of_its_run_time(self) -> None:
        tracker = ResourceTracker()
        task = Reservation("a", Demand(4000, 16), 0, 1.0)
        tracker.admit(task)
        tracker.start(task, 10.0)
        for now_s, wait_s in ((10.0, 1.0), (10.9, 0.2), (15.0, 0.2)):
            waits = tracker.load_for("b", [], 4000, now_s).waits_s
            self.assertAlmostEqual(wait_s, waits[0])

    def test_queued_tasks_of_a_lower_priority_do_not_delay_a_higher_one(self) -> None:
        tracker = ResourceTracker()
        running = Reservation("a", Demand(4000, 16), 0, 1.0)
        tracker.admit(running)
        tracker.start(running, 10.0)
        low = Reservation("a", Demand(4000, 16), 2, 3.0)
        tracker.admit(low)
        high_s, _, low_s = tracker.load_for("b", [low], 4000, 10.0).waits_s
        self.assertLess(high_s, low_s)
