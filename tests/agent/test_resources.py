"""What an agent tells entries of its room, and when a change is news."""

from pistachiohill.agent.resources import WAIT_STEP_S, HeldTask, Room, ToldLoad
from pistachiohill.protocol.models import AgentLoad
from pistachiohill.scheduling.models import Demand

from ..base import TestCase

STEP_M = 1000.0


def load(cpu_m: int = 0, *waits_s: float) -> AgentLoad:
    return AgentLoad(1, cpu_m, 0, list(waits_s))


class ToldLoadTest(TestCase):
    def test_a_change_of_room_beyond_the_step_is_news(self) -> None:
        told = ToldLoad(load(3000), 1.0)
        self.assertFalse(told.differs(load(4000), STEP_M, 1.0))
        self.assertTrue(told.differs(load(4001), STEP_M, 1.0))
        self.assertTrue(told.differs(load(1999), STEP_M, 1.0))

    def test_a_wait_that_begins_or_ends_is_news(self) -> None:
        self.assertTrue(ToldLoad(load(0), 1.0).differs(load(0, 0.001), STEP_M, 1.0))
        self.assertTrue(ToldLoad(load(0, 0.5), 1.0).differs(load(0), STEP_M, 1.0))

    def test_a_wait_that_grows_shorter_with_time_is_no_news(self) -> None:
        told = ToldLoad(load(0, 0.5, 0.6), 1.0)
        self.assertFalse(told.differs(load(0, 0.3, 0.4), STEP_M, 1.2))
        self.assertTrue(told.differs(load(0, 0.5, 0.6), STEP_M, 1.2))
        self.assertTrue(told.differs(load(0, 0.3, 0.4 + 2 * WAIT_STEP_S), STEP_M, 1.2))


class RoomTest(TestCase):
    def test_an_entry_is_told_of_the_others_only(self) -> None:
        room = Room()
        tasks = [HeldTask(owner, Demand(1000, 16), 0, 1.0) for owner in ("a", "a", "b")]
        for task in tasks:
            room.admit(task)
            room.start(task, 10.0)
        told = room.load_for("a", [], 4000, 10.0)
        self.assertEqual(
            (1, 1000, 16, []), (told.others, told.others_cpu_m, told.others_mem_mb, told.waits_s)
        )
        for task in tasks:
            room.release(task)
        self.assertEqual({}, room.by_owner)
        self.assertEqual(0, room.running.cpu_m)

    def test_what_runs_over_its_time_is_expected_to_go_on_a_little(self) -> None:
        room = Room()
        task = HeldTask("a", Demand(4000, 16), 0, 1.0)
        room.admit(task)
        room.start(task, 10.0)
        for now_s, wait_s in ((10.0, 1.0), (10.9, 0.2), (15.0, 0.2)):
            waits = room.load_for("b", [], 4000, now_s).waits_s
            self.assertAlmostEqual(wait_s, waits[0])

    def test_queued_tasks_of_a_lower_priority_are_passed(self) -> None:
        room = Room()
        running = HeldTask("a", Demand(4000, 16), 0, 1.0)
        room.admit(running)
        room.start(running, 10.0)
        low = HeldTask("a", Demand(4000, 16), 2, 3.0)
        room.admit(low)
        high_s, _, low_s = room.load_for("b", [low], 4000, 10.0).waits_s
        self.assertLess(high_s, low_s)
