"""Weighted fair queueing over members.

Each member has a virtual time that grows by cost over weight with every task taken; the member with
the smallest virtual time goes first. A member that was idle starts at the virtual time of the
system, so it cannot save up service.
"""

import heapq
from collections import deque
from typing import Generic, TypeVar

from attrs import define, field

T = TypeVar("T")


@define(eq=False)
class MemberQueue(Generic[T]):
    """One member's waiting items in order of arrival."""

    member: str
    weight: float
    virtual_time: float
    items: deque[T] = field(factory=deque)


class FairQueue(Generic[T]):
    """Queues of several members, served in proportion to their weights."""

    def __init__(self) -> None:
        """Start empty at virtual time zero."""
        self._members: dict[str, MemberQueue[T]] = {}
        self._virtual_time = 0.0

    def __bool__(self) -> bool:
        """Return whether any item waits."""
        return any(queue.items for queue in self._members.values())

    def push(self, member: str, weight: float, item: T, *, front: bool = False) -> None:
        """Add an item behind the member's others, or before them."""
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
        """Take an item out wherever it stands; nothing happens when it is not there."""
        queue = self._members.get(member)
        if queue is not None and item in queue.items:
            queue.items.remove(item)

    def items_of(self, member: str) -> tuple[T, ...]:
        """Return a member's items in order."""
        queue = self._members.get(member)
        return tuple(queue.items) if queue else ()

    def all_items(self) -> list[T]:
        """Return the items of all members."""
        return [item for queue in self._members.values() for item in queue.items]

    def total_weight(self, member: str, weight: float) -> float:
        """Return the weight of all members with items, `member` among them with its weight."""
        others = [q for q in self._members.values() if q.items and q.member != member]
        return weight + sum(queue.weight for queue in others)

    def start_round(self) -> "FairOrder[T]":
        """Return the members with items in the order of service for one round."""
        return FairOrder(self, [queue for queue in self._members.values() if queue.items])

    def served(self, queue: MemberQueue[T], cost: float) -> None:
        """Note that a member was served work of some cost, such as seconds of run time."""
        self._virtual_time = max(self._virtual_time, queue.virtual_time)
        queue.virtual_time += cost / queue.weight


class FairOrder(Generic[T]):
    """The members of one round of service, in the order in which they are due.

    Work that is only planned in this round counts in the round's order but not beyond it.
    """

    def __init__(self, fair: FairQueue[T], queues: list[MemberQueue[T]]) -> None:
        """Order the queues by virtual time."""
        self._fair = fair
        self._heap = [(queue.virtual_time, queue.member, queue) for queue in queues]
        heapq.heapify(self._heap)

    def first(self) -> MemberQueue[T] | None:
        """Return the member to serve next, or None when the round is over."""
        return self._heap[0][2] if self._heap else None

    def served(self, cost: float) -> None:
        """Note that the first member was served work of some cost."""
        queue = self._heap[0][2]
        self._fair.served(queue, cost)
        self.planned(cost)

    def planned(self, cost: float) -> None:
        """Note that work of some cost was planned for the first member."""
        virtual_time, member, queue = self._heap[0]
        heapq.heapreplace(self._heap, (virtual_time + cost / queue.weight, member, queue))

    def skip_first(self) -> None:
        """Leave the first member out for the rest of the round."""
        heapq.heappop(self._heap)
