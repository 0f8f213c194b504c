"""Followers of a topic after an outage of the store, in virtual time."""

import random
from itertools import product

import trio
import trio.testing
from attrs import frozen

from pistachiohill.consortium.const import (
    AFTER_RECORDS_WAIT_S,
    POLL_WAIT_S,
    RESPONSE_OVERDUE_S,
    RETRY_MAX_S,
    SECOND_READ_TIMEOUT_S,
)
from pistachiohill.consortium.follow import async_follow_topic
from pistachiohill.platform.const import CONNECT_TIMEOUT_S
from pistachiohill.platform.models import KeyedPage

from ..base import TestCase
from .failing_store import RESPONSE_S, FailingStore, Failure, Outage

TOPIC = "keyed.test"
CHANGE_LIMIT_S = 2.0  # time in which a confirmed change has to be in force
REGAIN_LIMIT_S = 2.0  # time after the store's return in which it has to be followed again
FIRST_OUTAGE_AT_S = 2.0
CYCLE_PHASES = 11
PHASE_S = 0.1
OUTAGES_S = (0.3, 1.1, 1.9, 2.6, 4.2, 5.6, 6.6, 8.1, 11.2, 13.3)
CHANGES_AFTER_RETURN_S = (0.0, 0.4, 1.3)
EFFECT_TIMEOUT_S = 60.0
EXPIRED_S = 10.0
MAX_CALLS_PER_S = 2000 / 28  # readsPerS of the first sites; two topics on each of their machines


# A read that was sent just before the failure began shows it only when it is overdue.
UNANSWERED_S = max(POLL_WAIT_S + RESPONSE_OVERDUE_S, SECOND_READ_TIMEOUT_S)
LONGEST_REGAIN_S = {
    Failure.SILENT: UNANSWERED_S,
    Failure.SLOW: UNANSWERED_S,
    Failure.UNREACHABLE: max(UNANSWERED_S, CONNECT_TIMEOUT_S + RETRY_MAX_S),
    Failure.REFUSED: RETRY_MAX_S,
    Failure.RESET: RETRY_MAX_S,
    Failure.BUSY: RETRY_MAX_S,
}


@frozen
class Delays:
    """Times from the store's return to a response, and from then or a change to its effect."""

    regain_s: float
    change_s: float


async def async_measure_pair() -> float:
    """Return how late the second of two changes is that the store does not notice for a read."""
    store = FailingStore([], unnoticed_s=2 * RESPONSE_S)
    received = 0
    all_received = trio.Event()

    def apply(page: KeyedPage, complete: bool, requested_at_s: float) -> None:
        nonlocal received
        received += len(page.records)
        if received == 2:
            all_received.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(async_follow_topic, store.client(), TOPIC, lambda: POLL_WAIT_S, apply)
        for delay_s in (5 * RESPONSE_S, 1.5 * RESPONSE_S):
            await trio.sleep(delay_s)
            store.append()
        changed_at_s = trio.current_time()
        with trio.fail_after(EFFECT_TIMEOUT_S):
            await all_received.wait()
        change_s = trio.current_time() - changed_at_s
        nursery.cancel_scope.cancel()
    return change_s


async def async_measure(outages: list[Outage], change_after_s: float) -> Delays:
    """Return how late a follower is after the last outage."""
    store = FailingStore(outages)
    returned_at_s = outages[-1].end_s
    applied_at_s: list[float] = []
    in_force = trio.Event()

    def apply(page: KeyedPage, complete: bool, requested_at_s: float) -> None:
        applied_at_s.append(trio.current_time())
        if page.records:
            in_force.set()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(async_follow_topic, store.client(), TOPIC, lambda: POLL_WAIT_S, apply)
        changed_at_s = returned_at_s + change_after_s
        await trio.sleep_until(changed_at_s)
        store.append()
        with trio.fail_after(EFFECT_TIMEOUT_S):
            await in_force.wait()
        change_s = trio.current_time() - changed_at_s
        nursery.cancel_scope.cancel()
    regained_at_s = next(at_s for at_s in applied_at_s if at_s >= returned_at_s)
    return Delays(regained_at_s - returned_at_s, change_s)


def outages_in_a_row(failures: tuple[Failure, ...], start_s: float, total_s: float) -> list[Outage]:
    """Return one outage for each failure, of equal length."""
    part_s = total_s / len(failures)
    return [
        Outage(failure, start_s + index * part_s, start_s + (index + 1) * part_s)
        for index, failure in enumerate(failures)
    ]


class FollowAfterOutageTest(TestCase):
    def _assert_in_time(self, *failures: Failure) -> None:
        """Check outages of several lengths that begin at every phase of the read's cycle.

        One also begins before the process does. Several failures follow each other within each
        outage.
        """
        random.seed(20261204)
        starts_s = [FIRST_OUTAGE_AT_S + phase * PHASE_S for phase in range(CYCLE_PHASES)]
        starts_s.append(0.0)
        for case in product(starts_s, OUTAGES_S, CHANGES_AFTER_RETURN_S):
            start_s, outage_s, change_after_s = case
            outages = outages_in_a_row(failures, start_s, outage_s)
            clock = trio.testing.MockClock(autojump_threshold=0)
            delays = trio.run(async_measure, outages, change_after_s, clock=clock)
            self.assertLessEqual(delays.change_s, CHANGE_LIMIT_S, case)
            self.assertLessEqual(delays.regain_s, REGAIN_LIMIT_S, case)
            longest_s = max(LONGEST_REGAIN_S[failure] for failure in failures)
            self.assertLessEqual(delays.regain_s, longest_s + 2 * RESPONSE_S, case)

    def test_longest_time_until_the_store_is_followed_again_is_within_the_target(self) -> None:
        for failure in Failure:
            self.assertLessEqual(LONGEST_REGAIN_S[failure], REGAIN_LIMIT_S - 2 * RESPONSE_S)

    def test_change_is_not_late_after_the_store_was_silent(self) -> None:
        self._assert_in_time(Failure.SILENT)

    def test_change_is_not_late_after_the_store_was_unreachable(self) -> None:
        self._assert_in_time(Failure.UNREACHABLE)

    def test_change_is_not_late_after_the_store_refused_connections(self) -> None:
        self._assert_in_time(Failure.REFUSED)

    def test_change_is_not_late_after_the_store_reset_connections(self) -> None:
        self._assert_in_time(Failure.RESET)

    def test_change_is_not_late_after_the_store_was_busy(self) -> None:
        self._assert_in_time(Failure.BUSY)

    def test_change_is_not_late_after_the_store_was_slow(self) -> None:
        self._assert_in_time(Failure.SLOW)

    def test_change_is_not_late_after_the_store_reset_connections_and_was_silent(self) -> None:
        self._assert_in_time(Failure.RESET, Failure.SILENT)

    def test_change_is_not_late_after_the_store_was_silent_slow_and_busy(self) -> None:
        self._assert_in_time(Failure.SILENT, Failure.SLOW, Failure.BUSY)

    def test_second_of_two_changes_is_not_late_if_the_store_does_not_notice_it(self) -> None:
        clock = trio.testing.MockClock(autojump_threshold=0)
        delay_s = trio.run(async_measure_pair, clock=clock)
        self.assertLess(delay_s, AFTER_RECORDS_WAIT_S + 2 * RESPONSE_S)

    def test_calls_are_limited_while_the_store_drops_records_faster_than_they_are_read(
        self,
    ) -> None:
        async def async_count_calls() -> int:
            store = FailingStore([], expired=True)
            with trio.move_on_after(EXPIRED_S):
                await async_follow_topic(
                    store.client(), TOPIC, lambda: POLL_WAIT_S, lambda *_: None
                )
            return store.calls

        clock = trio.testing.MockClock(autojump_threshold=0)
        calls = trio.run(async_count_calls, clock=clock)
        self.assertLessEqual(calls, EXPIRED_S * MAX_CALLS_PER_S)
