"""Decisions on which connections give way, without a network."""

from prometheus_client import CollectorRegistry

from pistachiohill.clients.budget import (
    ORDINARY_BYTES,
    ClientAccount,
    ClientBudget,
    ClientLimits,
    Limit,
)
from pistachiohill.clients.limits import link_limits, main_limits, side_limits
from pistachiohill.clients.recorder import LimitRecorder, limit_metric
from pistachiohill.settings.models import AgentSettings, EntrySettings

from ..base import TestCase

LEGAL_BODY_BYTES = 262_144
CALLERS = 1000  # at one entry after a restart
HEARTBEAT_BYTES = 4 * 1024 * 1024


class BudgetTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.evicted: list[str] = []
        self.met: list[Limit] = []
        self.budget = ClientBudget(ClientLimits(3, 100_000), self.met.append)

    def open(self, name: str, now_s: float, address: str = "a") -> ClientAccount:
        account = self.budget.open(address, lambda: self.evicted.append(name), now_s)
        assert account is not None
        return account

    def test_slowest_request_gives_way_to_a_later_one(self) -> None:
        slow, later = self.open("slow", 1.0), self.open("later", 2.0)
        self.assertTrue(self.budget.hold(slow, 60_000))
        self.assertTrue(self.budget.hold(later, 60_000))
        self.assertEqual(["slow"], self.evicted)
        self.assertEqual([Limit.MEMORY], self.met)
        self.assertEqual(60_000, self.budget.used_bytes)
        self.assertFalse(self.budget.hold(slow, 1))

    def test_requests_that_are_served_stay_and_the_newest_is_refused(self) -> None:
        served, newest = self.open("served", 1.0), self.open("newest", 2.0)
        served.busy = True
        self.assertTrue(self.budget.hold(served, 60_000))
        self.assertFalse(self.budget.hold(newest, 60_000))
        self.assertTrue(self.budget.hold(newest, 0))
        self.assertEqual([], self.evicted)

    def test_ordinary_request_finds_room_beside_served_ones_that_hold_all(self) -> None:
        served, ordinary = self.open("served", 1.0), self.open("ordinary", 2.0)
        served.busy = True
        self.assertTrue(self.budget.hold(served, 100_000))
        self.assertTrue(self.budget.hold(ordinary, ORDINARY_BYTES))
        self.assertFalse(self.budget.hold(ordinary, ORDINARY_BYTES + 1))
        self.assertEqual([], self.evicted)

    def test_address_that_holds_most_gives_way(self) -> None:
        other = self.open("other", 1.0, "b")
        first, second = self.open("first", 2.0), self.open("second", 3.0)
        for account, held_bytes in ((other, 30_000), (first, 40_000), (second, 40_000)):
            self.assertTrue(self.budget.hold(account, held_bytes))
        self.assertEqual(["first"], self.evicted)

    def test_unserved_connection_gives_way_to_a_new_one(self) -> None:
        served = self.open("served", 1.0)
        served.served = True
        self.open("idle", 2.0)
        self.open("busy", 0.0).busy = True
        self.open("new", 3.0)
        self.assertEqual(["idle"], self.evicted)
        self.assertEqual(3, self.budget.connections)

    def test_connection_is_refused_if_all_are_being_served(self) -> None:
        for number in range(3):
            self.open(str(number), number).busy = True
        self.assertIsNone(self.budget.open("a", lambda: None, 4.0))
        self.assertEqual([Limit.CONNECTIONS], self.met)

    def test_closed_connections_leave_nothing(self) -> None:
        account = self.open("a", 1.0)
        self.budget.hold(account, 90_000)
        self.budget.close(account)
        self.budget.close(account)
        self.assertEqual(0, self.budget.used_bytes)
        self.assertEqual(0, self.budget.connections)


class LimitsTest(TestCase):
    def test_least_machine_has_room_for_what_the_pages_allow(self) -> None:
        for settings in (EntrySettings(), AgentSettings()):
            self.assertGreater(main_limits(settings).max_bytes, 2 * HEARTBEAT_BYTES)
            self.assertGreater(side_limits(settings).max_bytes, 4 * LEGAL_BODY_BYTES)
            limits = [main_limits(settings), link_limits(settings)] + 2 * [side_limits(settings)]
            sockets = settings.max_descriptors - 200
            self.assertLess(sum(item.max_connections for item in limits), 0.9 * sockets)

    def test_least_machine_has_room_for_the_callers_that_come_back_at_once(self) -> None:
        for settings in (EntrySettings(), AgentSettings()):
            self.assertGreaterEqual(main_limits(settings).max_connections, CALLERS)

    def test_smallest_settings_have_room_for_a_heartbeat(self) -> None:
        settings = AgentSettings(memory_mb=64, max_descriptors=30_000, client_memory_share=0.1)
        self.assertGreater(main_limits(settings).max_bytes, HEARTBEAT_BYTES)
        self.assertGreater(side_limits(settings).max_connections, 4)


class RecorderTest(TestCase):
    def test_a_line_a_second_counts_all_cases(self) -> None:
        recorder = LimitRecorder("jobs", limit_metric(CollectorRegistry()))
        counts = [recorder.count_to_log(Limit.SIZE, now_s) for now_s in (0.0, 0.1, 0.9, 1.0, 1.1)]
        self.assertEqual([1, 0, 0, 3, 0], counts)
