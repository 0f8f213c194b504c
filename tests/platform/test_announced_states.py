"""What allows a runner less applies at once, what allows it more once it is confirmed."""

from pistachiohill.platform.announced_states import (
    MAX_PROCESSES,
    Allowance,
    AnnouncedStates,
    RunnerProcess,
)
from pistachiohill.platform.models import RunnerAnnouncement
from pistachiohill.scheduling.models import Demand

from ..base import TestCase

HEARTBEAT_S = 1.5
PROCESS = RunnerProcess("i-1", 1000)


def announcement(cpu_m: int = 16000, leaving: bool = False, born: int = 1000) -> RunnerAnnouncement:
    return RunnerAnnouncement("i-1", born, 1, "s", "a", Demand(cpu_m, 64), leaving, 1.0)


class AnnouncedStatesTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.states = AnnouncedStates()
        self.now_s = 0.0

    def _heartbeat(self, cpu_m: int = 16000, leaving: bool = False, in_order: bool = True) -> None:
        self.states.record(announcement(cpu_m, leaving), in_order, PROCESS, self.now_s)

    def _check(self, cpu_m: int, leaving: bool) -> None:
        expected = Allowance(Demand(cpu_m, 64), leaving)
        self.assertEqual(expected, self.states.allowance(PROCESS))

    def test_more_is_allowed_once_announcements_have_gone_on(self) -> None:
        self._heartbeat(8000, leaving=True)
        for _ in range(3):
            self.now_s += HEARTBEAT_S
            self._heartbeat()
            self._check(8000, leaving=True)
        self.now_s += HEARTBEAT_S
        self._heartbeat()
        self._check(16000, leaving=False)

    def test_announcements_beside_those_of_the_process_confirm_nothing(self) -> None:
        self._heartbeat(leaving=True)
        for in_order in (True, False):
            for _ in range(10):
                self.now_s += HEARTBEAT_S / 2
                self._heartbeat(64000)
                self.now_s += HEARTBEAT_S / 2
                self._heartbeat(leaving=True, in_order=in_order)
        self._check(16000, leaving=True)

    def test_announcements_far_apart_or_out_of_order_confirm_nothing(self) -> None:
        self._heartbeat()
        for _ in range(4):
            self.now_s += 3 * HEARTBEAT_S
            self._heartbeat(64000)
        for _ in range(10):
            self.now_s += HEARTBEAT_S
            self._heartbeat(64000, in_order=False)
        self._check(16000, leaving=False)

    def test_least_of_what_was_claimed_is_confirmed(self) -> None:
        self._heartbeat(8000)
        for cpu_m in (64000, 16000, 64000, 64000):
            self.now_s += HEARTBEAT_S
            self._heartbeat(cpu_m)
        self._check(16000, leaving=False)

    def test_state_of_the_process_in_use_is_kept_whatever_else_is_announced(self) -> None:
        self._heartbeat(leaving=True)
        for born in range(2 * MAX_PROCESSES):
            self.states.record(announcement(born=born), True, PROCESS, self.now_s)
        self._check(16000, leaving=True)
        self.assertIsNone(self.states.allowance(RunnerProcess("i-1", 0)))
