"""Continuous reads of a keyed topic of the platform's store."""

import random
from collections.abc import Callable

import trio
from attrs import define, field

from .. import clock, logs
from ..platform.models import KeyedPage, OffsetExpired, ReadFailed
from ..platform.store import StoreClient
from .const import RESPONSE_TIMEOUT_MAX_S, RESPONSE_TIMEOUT_MIN_S, RETRY_MAX_S, RETRY_MIN_S

ApplyPage = Callable[[KeyedPage, bool, float], None]


@define
class ReadPacing:
    """Delay before the next read after a failure, and how long a response may take.

    The response timeout is short, so that a silent connection is replaced soon, and grows while
    reads time out, so that a slow store can still respond. `answered_at_s` is the boot time of the
    latest response.
    """

    retry_s: float = RETRY_MIN_S
    response_timeout_s: float = RESPONSE_TIMEOUT_MIN_S
    failing: bool = False
    answered_at_s: float = field(factory=clock.boot_s)

    def record_failure(self, failure: ReadFailed) -> float:
        """Return the delay in seconds before the next read."""
        delay_s = self.retry_s * random.uniform(0.5, 1.0)
        self.failing = True
        self.retry_s = min(self.retry_s * 2, RETRY_MAX_S)
        if failure.timed_out:
            self.response_timeout_s = min(self.response_timeout_s * 2, RESPONSE_TIMEOUT_MAX_S)
        return delay_s


async def async_follow_topic(
    store: StoreClient, topic: str, wait_s: Callable[[], float], apply: ApplyPage
) -> None:
    """Read the newest record of each key, then all later records, until cancelled.

    `apply` takes a page, whether it holds the newest record of every key, and the boot time at
    which the page was requested. `wait_s` returns the long-poll timeout of a read.
    """
    offset: int | None = None
    pacing = ReadPacing()
    while True:
        requested_at_s = clock.boot_s()
        page: KeyedPage | OffsetExpired | ReadFailed
        if offset is None:
            page = await store.async_read_newest(topic)
        else:
            page = await store.async_read(topic, offset, wait_s(), pacing.response_timeout_s)
        now_s = clock.boot_s()
        read_s = now_s - requested_at_s
        if isinstance(page, OffsetExpired):
            logs.event("offset_expired", topic=topic, offset=offset, first=page.first)
            offset = None
            continue
        if isinstance(page, ReadFailed):
            if not pacing.failing:
                logs.warning(
                    "store_lost", topic=topic, offset=offset, detail=page.detail, read_s=read_s
                )
            retry_s = pacing.record_failure(page)
            logs.event(
                "store_read_failed", topic=topic, detail=page.detail, read_s=read_s, retry_s=retry_s
            )
            await trio.sleep(retry_s)
            continue
        if pacing.failing:
            lost_s = now_s - pacing.answered_at_s
            logs.event("store_regained", topic=topic, end=page.end, lost_s=lost_s, read_s=read_s)
        if page.records:
            count = len(page.records)
            logs.event(
                "store_records",
                topic=topic,
                offset=offset,
                end=page.end,
                count=count,
                read_s=read_s,
            )
        pacing = ReadPacing()
        apply(page, offset is None, requested_at_s)
        offset = page.end
