"""Bounds of a peer's clock, against clocks that drift and messages that are delayed."""

import math

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pistachiohill.agent.const import ENTRY_LEASE_S, MAX_CLOCK_DRIFT
from pistachiohill.peer_clock import MAX_STALL_S, PeerClock, StallDetector

from ..base import TestCase

ALWAYS = -math.inf
FROZEN_S = 5.0


class PeerClockTest(TestCase):
    @seed(20261204)
    @settings(max_examples=500, deadline=None, database=None)
    @given(
        st.lists(st.tuples(st.floats(0.0, 20.0), st.floats(0.0, 10.0)), max_size=20),
        st.floats(1.0 - MAX_CLOCK_DRIFT, 1.0 + MAX_CLOCK_DRIFT),
        st.floats(0.0, 1e6),
        st.floats(0.0, 30.0),
    )
    def test_the_bound_is_never_ahead_of_the_peer(
        self, sent: list[tuple[float, float]], rate: float, offset_s: float, asked_after_s: float
    ) -> None:
        """`sent` has the pauses between the peer's messages and the delay of each."""
        clock = PeerClock()
        now_s = received_s = 0.0
        for pause_s, delay_s in sent:
            now_s += pause_s
            received_s = max(received_s, now_s + delay_s)
            clock.record(offset_s + rate * now_s, received_s, ALWAYS)
        asked_s = received_s + asked_after_s
        bound_s = clock.lower_bound_s(asked_s, ALWAYS)
        self.assertLessEqual(bound_s, offset_s + rate * asked_s + 1e-6)

    def test_an_idle_link_carries_a_valid_lease(self) -> None:
        clock = PeerClock()
        clock.record(100.0, 7.0, ALWAYS)
        age_s = 112.0 - clock.lower_bound_s(19.0, ALWAYS)
        self.assertLess(age_s, ENTRY_LEASE_S / 2)

    def test_a_reading_that_was_held_up_does_not_lower_the_bound(self) -> None:
        clock = PeerClock()
        clock.record(100.0, 7.0, ALWAYS)
        clock.record(101.0, 12.0, ALWAYS)
        self.assertGreater(clock.lower_bound_s(12.0, ALWAYS), 104.0)

    def test_a_process_that_was_frozen_proves_nothing_until_it_hears_from_the_agent(self) -> None:
        stalls = StallDetector(0.0)
        clock = PeerClock()
        clock.record(100.0, 0.0, stalls.running_since_s(0.0))
        stalls.tick(0.1)
        woken_s = 0.1 + FROZEN_S
        for _ in range(2):  # before and after the detector has run again
            bound_s = clock.lower_bound_s(woken_s, stalls.running_since_s(woken_s))
            self.assertEqual(100.0, bound_s)
            stalls.tick(woken_s)
        clock.record(100.0 + FROZEN_S, woken_s, stalls.running_since_s(woken_s))
        later_s = woken_s + 0.2
        stalls.tick(later_s)
        self.assertGreater(clock.lower_bound_s(later_s, stalls.running_since_s(later_s)), 105.1)

    def test_regular_ticks_are_no_stall(self) -> None:
        stalls = StallDetector(0.0)
        for count in range(1, 50):
            stalls.tick(count * 0.9 * MAX_STALL_S)
        self.assertEqual(ALWAYS, stalls.running_since_s(50 * 0.9 * MAX_STALL_S))

    def test_without_a_reading_there_is_no_bound(self) -> None:
        self.assertLess(PeerClock().lower_bound_s(50.0, ALWAYS), 0.0)
