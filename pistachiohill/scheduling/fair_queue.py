"""Weighted fair queueing over members.

Each member has a virtual time, which advances by cost divided by weight with every task served. The
member with the smallest virtual time is served next. A member that was idle resumes at the virtual
time of the system, so it can't accumulate credit.
"""

import heapq
from collections import deque
from collections.abc import Callable
from typing import Any, Generic, TypeVar

from attrs import define, field

T = TypeVar("T")


@define(eq=False)
class MemberQueue(Generic[T]):
    """Queued items of one member, in order of arrival."""

    member: str
    weight: float
    virtual_time: float
    items: deque[T] = field(factory=deque)


class FairQueue(Generic[T]):
    """Per-member queues, served in proportion to the weights of the members."""

    def __init__(self) -> None:
        """Initialize an empty queue at virtual time zero."""
        self._members: dict[str, MemberQueue[T]] = {}
        self._virtual_time = 0.0

    def __bool__(self) -> bool:
        """Return whether any item is queued."""
        return any(queue.items for queue in self._members.values())

    def push(self, member: str, weight: float, item: T, *, front: bool = False) -> None:
        """Add an item at the end of the member's queue, or at its front."""
        queue = self._members.get(member)
        if queue is None:
            queue = self._members[member] = MemberQueue(member, weight, self._virtual_time)
        queue.weight = weight
        if not queue.items:
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
        if front:
            queue.items.appendleft(item)
        else:
            queue.items.append(item)

    def remove(self, member: str, item: T) -> None:
        """Remove an item at any position, if it is queued."""
        queue = self._members.get(member)
        if queue is not None and item in queue.items:
            queue.items.remove(item)

    def sort(self, key: Callable[[T], tuple[Any, ...]]) -> None:
        """Sort the items of each member."""
        for queue in self._members.values():
            if len(queue.items) > 1:
                queue.items = deque(sorted(queue.items, key=key))

    def items_of(self, member: str) -> tuple[T, ...]:
        """Return the items of a member in queue order."""
        queue = self._members.get(member)
        return tuple(queue.items) if queue else ()

    def all_items(self) -> list[T]:
        """Return the items of all members."""
        return [item for queue in self._members.values() for item in queue.items]

    def total_weight(self, member: str, weight: float) -> float:
        """Return the total weight of the members with queued items.

        `member` is always included, with the given weight.
        """
        others = [q for q in self._members.values() if q.items and q.member != member]
        return weight + sum(queue.weight for queue in others)

    def start_round(self) -> "ServiceRound[T]":
        """Return a service round over the members with queued items."""
        return ServiceRound(self, [queue for queue in self._members.values() if queue.items])

    def charge(self, queue: MemberQueue[T], cost: float) -> None:
        """Advance a member's virtual time by the cost of served work.

        Any unit of cost may be used consistently, such as seconds of run time.
        """
        self._virtual_time = max(self._virtual_time, queue.virtual_time)
        queue.virtual_time += cost / queue.weight


class ServiceRound(Generic[T]):
    """One round of service over the members, ordered by virtual time.

    Planned work affects the order of this round only. Served work is also charged to the member's
    queue, which affects later rounds.
    """

    def __init__(self, fair_queue: FairQueue[T], queues: list[MemberQueue[T]]) -> None:
        """Initialize the round with the queues ordered by virtual time."""
        self._fair_queue = fair_queue
        self._heap = [(queue.virtual_time, queue.member, queue) for queue in queues]
        heapq.heapify(self._heap)

    def first(self) -> MemberQueue[T] | None:
        """Return the queue of the member to serve next, or None if the round is over."""
        return self._heap[0][2] if self._heap else None

    def charge_served(self, cost: float) -> None:
        """Charge the first member for served work, in this round and in the queue."""
        queue = self._heap[0][2]
        self._fair_queue.charge(queue, cost)
        self.charge_planned(cost)

    def charge_planned(self, cost: float) -> None:
        """Charge the first member for planned work, in this round only."""
        virtual_time, member, queue = self._heap[0]
        heapq.heapreplace(self._heap, (virtual_time + cost / queue.weight, member, queue))

    def skip_first(self) -> None:
        """Skip the first member for the rest of the round."""
        heapq.heappop(self._heap)
