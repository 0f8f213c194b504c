"""Continuous reads of a keyed topic of the platform's store."""

import random
from collections.abc import Callable

import trio

from .. import clock, logs
from ..platform.models import KeyedPage, OffsetExpired, ReadFailed
from ..platform.store import StoreClient
from .const import RETRY_MAX_S, RETRY_MIN_S

ApplyPage = Callable[[KeyedPage, bool, float], None]


async def async_follow_topic(
    store: StoreClient, topic: str, wait_s: Callable[[], float], apply: ApplyPage
) -> None:
    """Read the newest record of each key, then all later records, until cancelled.

    `apply` takes a page, whether it holds the newest record of every key, and the boot time at
    which the page was requested. `wait_s` returns the long-poll timeout of a read.
    """
    offset: int | None = None
    retry_s = RETRY_MIN_S
    failing = False
    while True:
        requested_at_s = clock.boot_s()
        page: KeyedPage | OffsetExpired | ReadFailed
        if offset is None:
            page = await store.async_read_newest(topic)
        else:
            page = await store.async_read(topic, offset, wait_s())
        if isinstance(page, OffsetExpired):
            logs.event("offset_expired", topic=topic, offset=offset, first=page.first)
            offset = None
            continue
        if isinstance(page, ReadFailed):
            if not failing:
                logs.warning("store_lost", topic=topic, offset=offset, detail=page.detail)
            failing = True
            await trio.sleep(retry_s * random.uniform(0.5, 1.0))
            retry_s = min(retry_s * 2, RETRY_MAX_S)
            continue
        if failing:
            logs.event("store_regained", topic=topic, end=page.end)
        failing = False
        retry_s = RETRY_MIN_S
        apply(page, offset is None, requested_at_s)
        offset = page.end
