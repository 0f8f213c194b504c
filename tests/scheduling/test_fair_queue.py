"""Tests of weighted fair queueing, compared with a naive reference implementation."""

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pistachiohill.scheduling.fair_queue import FairQueue

from ..base import TestCase

WEIGHTS = {"a": 1.0, "b": 2.0, "c": 0.5}
ACTIONS = st.lists(
    st.one_of(
        st.tuples(st.just("push"), st.sampled_from("abc")),
        st.tuples(st.just("take"), st.integers(1, 4)),
    ),
    max_size=60,
)


class NaiveQueue:
    """Reference implementation with lists and full scans."""

    def __init__(self) -> None:
        self.waiting: dict[str, list[int]] = {name: [] for name in WEIGHTS}
        self.virtual_time = dict.fromkeys(WEIGHTS, 0.0)
        self.system_time = 0.0

    def push(self, member: str, item: int) -> None:
        if not self.waiting[member]:
            self.virtual_time[member] = max(self.virtual_time[member], self.system_time)
        self.waiting[member].append(item)

    def take(self) -> int | None:
        names = [name for name in sorted(WEIGHTS) if self.waiting[name]]
        if not names:
            return None
        member = min(names, key=lambda name: self.virtual_time[name])
        self.system_time = max(self.system_time, self.virtual_time[member])
        self.virtual_time[member] += 1.0 / WEIGHTS[member]
        return self.waiting[member].pop(0)


class FairQueueTest(TestCase):
    @seed(20261204)
    @settings(max_examples=300, deadline=None, database=None)
    @given(ACTIONS)
    def test_matches_naive_queue(self, actions: list[tuple[str, object]]) -> None:
        queue: FairQueue[int] = FairQueue()
        naive = NaiveQueue()
        for number, (action, value) in enumerate(actions):
            if action == "push":
                queue.push(str(value), WEIGHTS[str(value)], number)
                naive.push(str(value), number)
                continue
            service_round = queue.start_round()
            for _ in range(int(str(value))):
                while (member := service_round.first()) is not None and not member.items:
                    service_round.skip_first()
                expected = naive.take()
                self.assertEqual(expected is None, member is None)
                if member is not None:
                    self.assertEqual(expected, member.items.popleft())
                    service_round.charge_served(1.0)

    def test_service_is_proportional_to_weights(self) -> None:
        queue: FairQueue[int] = FairQueue()
        for name, weight in WEIGHTS.items():
            for number in range(1000):
                queue.push(name, weight, number)
        served = dict.fromkeys(WEIGHTS, 0)
        service_round = queue.start_round()
        for _ in range(700):
            member = service_round.first()
            assert member is not None
            member.items.popleft()
            served[member.member] += 1
            service_round.charge_served(1.0)
        self.assertEqual({"a": 200, "b": 400, "c": 100}, served)
