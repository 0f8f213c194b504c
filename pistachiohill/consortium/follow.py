"""Continuous reads of a keyed topic of the platform's store.

A read that gets no response in time is left waiting, because a slow store may still respond to it.
Others are sent beside it on new connections, and the first response counts. All delays are bounded
by constants, so the time until the store is followed again after an outage does not depend on how
long the outage lasted.
"""

import random
from collections.abc import Callable

import trio
from attrs import define, frozen

from .. import clock, logs
from ..platform.models import KeyedPage, OffsetExpired, ReadFailed
from ..platform.store import StoreClient
from .const import (
    AFTER_RECORDS_WAIT_S,
    FIRST_READ_TIMEOUT_S,
    RESPONSE_OVERDUE_S,
    RETRY_MAX_S,
    RETRY_MIN_S,
    SECOND_READ_TIMEOUT_S,
)

ApplyPage = Callable[[KeyedPage, bool, float], None]


@define
class RetryDelay:
    """Delays between failed reads, doubling up to a limit."""

    limit_s: float = RETRY_MIN_S

    def advance(self) -> float:
        """Return the next delay in seconds."""
        delay_s = self.limit_s * random.uniform(0.5, 1.0)
        self.limit_s = min(self.limit_s * 2, RETRY_MAX_S)
        return delay_s


@frozen
class Read:
    """The outcome of a read, and the boot time at which it was sent."""

    outcome: KeyedPage | OffsetExpired | ReadFailed
    requested_at_s: float


@define(eq=False)
class TopicReader:
    """Reads a topic from an offset, or the newest record of each key if the offset is None."""

    store: StoreClient
    topic: str
    offset: int | None = None
    lost: bool = False
    records_received: bool = False
    answered_at_s: float = 0.0

    def next_wait_s(self, wait_s: float) -> float:
        """Return how long the next read waits for records, at most `wait_s` seconds."""
        if self.lost or self.offset is None:
            return 0.0  # a read that waits would show only after its wait that the store is back
        if self.records_received:
            # Changes often come in pairs, and the store may not end the wait of a read that
            # arrives while it appends a record.
            return min(wait_s, AFTER_RECORDS_WAIT_S)
        return wait_s

    async def async_read(self, wait_s: float) -> Read:
        """Read once and return the first response.

        Reads the records after `offset` and waits up to `wait_s` seconds for one. The outcome is a
        failure only if this read failed, whatever became of those that were sent beside it.
        """
        responses: list[Read] = []

        async def async_read_beside() -> None:
            await trio.sleep(wait_s + RESPONSE_OVERDUE_S)
            logs.event("store_read_overdue", topic=self.topic, offset=self.offset, wait_s=wait_s)
            responses.append(await self._async_read_until_answered())
            nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(async_read_beside)
            responses.append(await self._async_read_once(wait_s, FIRST_READ_TIMEOUT_S))
            nursery.cancel_scope.cancel()
        return responses[0]

    async def _async_read_until_answered(self) -> Read:
        """Read on new connections, without waiting for records, until there is a response."""
        delay = RetryDelay()
        while True:
            read = await self._async_read_once(0.0, SECOND_READ_TIMEOUT_S, new_connection=True)
            if not isinstance(read.outcome, ReadFailed):
                return read
            retry_s = 0.0 if read.outcome.timed_out else delay.advance()
            self.record_failure(read.outcome, clock.boot_s() - read.requested_at_s, retry_s)
            await trio.sleep(retry_s)

    async def _async_read_once(
        self, wait_s: float, response_timeout_s: float, new_connection: bool = False
    ) -> Read:
        requested_at_s = clock.boot_s()
        outcome: KeyedPage | OffsetExpired | ReadFailed
        if self.offset is None:
            outcome = await self.store.async_read_newest(
                self.topic, response_timeout_s, new_connection=new_connection
            )
        else:
            outcome = await self.store.async_read(
                self.topic, self.offset, wait_s, response_timeout_s, new_connection=new_connection
            )
        return Read(outcome, requested_at_s)

    def record_failure(self, failure: ReadFailed, read_s: float, retry_s: float) -> None:
        """Log a read that failed after `read_s` seconds, and the loss of the store if it is new."""
        if not self.lost:
            logs.warning(
                "store_lost",
                topic=self.topic,
                offset=self.offset,
                detail=failure.detail,
                read_s=read_s,
            )
        self.lost = True
        logs.event(
            "store_read_failed",
            topic=self.topic,
            detail=failure.detail,
            read_s=read_s,
            retry_s=retry_s,
        )

    def record_page(self, read: Read, page: KeyedPage, now_s: float) -> None:
        """Log received records, and the store's return; continue after the page."""
        read_s = now_s - read.requested_at_s
        if self.lost:
            lost_s = now_s - self.answered_at_s
            logs.event(
                "store_regained", topic=self.topic, end=page.end, lost_s=lost_s, read_s=read_s
            )
        if page.records:
            logs.event(
                "store_records",
                topic=self.topic,
                offset=self.offset,
                end=page.end,
                count=len(page.records),
                read_s=read_s,
            )
        self.lost = False
        self.records_received = bool(page.records)
        self.answered_at_s = now_s
        self.offset = page.end


async def async_follow_topic(
    store: StoreClient, topic: str, wait_s: Callable[[], float], apply: ApplyPage
) -> None:
    """Read the newest record of each key, then all later records, until cancelled.

    `apply` takes a page, whether it holds the newest record of every key, and the boot time at
    which the page was requested. `wait_s` returns the long-poll timeout of a read.
    """
    reader = TopicReader(store, topic, answered_at_s=clock.boot_s())
    delay = RetryDelay()
    while True:
        read = await reader.async_read(reader.next_wait_s(wait_s()))
        now_s = clock.boot_s()
        if isinstance(read.outcome, OffsetExpired):
            first = read.outcome.first
            logs.event("offset_expired", topic=topic, offset=reader.offset, first=first)
            reader.offset = None
            await trio.sleep(delay.advance())
            continue
        if isinstance(read.outcome, ReadFailed):
            retry_s = delay.advance()
            reader.record_failure(read.outcome, now_s - read.requested_at_s, retry_s)
            await trio.sleep(retry_s)
            continue
        complete = reader.offset is None
        reader.record_page(read, read.outcome, now_s)
        delay = RetryDelay()
        apply(read.outcome, complete, read.requested_at_s)
