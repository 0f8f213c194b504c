"""Keep a view in step with this product's own topics, and announce processes there."""

import random

import trio

from .. import clock, logs
from ..platform.models import Appended, KeyedPage, KeyedRecord
from ..platform.store import StoreClient
from ..protocol.codec import decode_record, encode_record
from ..protocol.errors import DecodeError
from ..protocol.models import (
    AnnounceRecord,
    DomainChangeRecord,
    EndRecord,
    Message,
    PublishRecord,
)
from ..settings.const import ROOT_PATH
from ..settings.errors import SettingsError
from .const import (
    ANNOUNCE_RETRY_S,
    FORGET_CHECK_S,
    POLL_AGE_FRACTION,
    POLL_WAIT_S,
    TOPIC_PROCESSES,
    TOPIC_SETTINGS,
    WITHDRAW_TIMEOUT_S,
)
from .follow import async_follow_topic
from .view import ConsortiumView


async def async_follow_settings(store: StoreClient, view: ConsortiumView) -> None:
    """Apply the settings that this product's operators publish, for as long as it runs."""

    def apply(page: KeyedPage, whole: bool, asked_at_s: float) -> None:
        for record in page.records:
            _apply_change(view, record)
        view.state.advance_offset(page.end - 1)
        view.confirm(page.end - 1, asked_at_s)
        if page.records:
            view.notify()

    await async_follow_topic(store, TOPIC_SETTINGS, lambda: poll_wait_s(view), apply)


async def async_follow_processes(store: StoreClient, view: ConsortiumView) -> None:
    """Apply the announcements of processes, for as long as it runs."""

    def apply(page: KeyedPage, whole: bool, asked_at_s: float) -> None:
        for record in page.records:
            apply_process(view, record)
        view.processes.offset = max(view.processes.offset, page.end - 1)
        if page.records:
            view.notify()

    await async_follow_topic(store, TOPIC_PROCESSES, lambda: POLL_WAIT_S, apply)


def poll_wait_s(view: ConsortiumView) -> float:
    """Return how long a read may wait for news.

    A view is confirmed as of the time its read was sent, so a read must not take up the age that
    the settings allow.
    """
    max_age_s = view.state.settings(ROOT_PATH).view_max_age_s
    return min(POLL_WAIT_S, max_age_s * POLL_AGE_FRACTION)


def change_key(record: PublishRecord | DomainChangeRecord) -> str:
    """Return the key under which a change is kept."""
    if isinstance(record, PublishRecord):
        return f"node/{record.path}"
    return f"domain/{record.domain}"


def _apply_change(view: ConsortiumView, record: KeyedRecord) -> None:
    """Apply one record; one that can't be read, or stands under a foreign key, is passed over."""
    change = _decode(record)
    if not isinstance(change, PublishRecord | DomainChangeRecord):
        return
    if change_key(change) != record.key:
        logs.warning("record_refused", key=record.key, offset=record.offset, detail="wrong key")
        return
    try:
        view.apply(change, record.offset)
    except SettingsError as err:
        logs.warning("record_refused", key=record.key, offset=record.offset, detail=err)


def apply_process(view: ConsortiumView, record: KeyedRecord) -> None:
    """Apply one record of the processes."""
    if record.value is None:
        view.processes.forget(record.key, record.offset)
        return
    announced = _decode(record)
    if isinstance(announced, AnnounceRecord):
        view.processes.announce(announced, record.offset, clock.wall_s())
    elif isinstance(announced, EndRecord):
        view.processes.end(announced, record.offset, clock.wall_s())


def _decode(record: KeyedRecord) -> Message | None:
    if record.value is None:
        return None
    try:
        return decode_record(record.value)
    except DecodeError as err:
        logs.warning("record_refused", key=record.key, offset=record.offset, detail=err)
        return None


async def async_announce(store: StoreClient, record: AnnounceRecord) -> int:
    """Set this process's record until that has succeeded, and return its offset.

    When an answer was lost the record may stand twice; the later offset is the safe one to use.
    """
    while True:
        value = encode_record(record)
        outcome = await store.async_append(TOPIC_PROCESSES, record.incarnation, value)
        if isinstance(outcome, Appended):
            logs.event("announced", incarnation=record.incarnation, offset=outcome.offset)
            return outcome.offset
        logs.warning("announce_failed", outcome=outcome)
        await trio.sleep(ANNOUNCE_RETRY_S * random.uniform(0.7, 1.3))


async def async_withdraw(store: StoreClient, record: AnnounceRecord, offset: int) -> None:
    """Note that a process has ended; tried once, since a successor makes it known too."""
    ended = encode_record(EndRecord(record, offset))
    with trio.move_on_after(WITHDRAW_TIMEOUT_S):
        outcome = await store.async_append(TOPIC_PROCESSES, record.incarnation, ended)
        logs.event("withdrawn", incarnation=record.incarnation, outcome=outcome)


async def async_purge_ended_processes(store: StoreClient, view: ConsortiumView) -> None:
    """Drop the records of processes that ended long ago, whichever entry comes first."""
    while True:
        await trio.sleep(FORGET_CHECK_S * random.uniform(0.5, 1.5))
        for incarnation in view.processes.expired(clock.wall_s()):
            outcome = await store.async_append(TOPIC_PROCESSES, incarnation, None)
            logs.event("process_forgotten", incarnation=incarnation, outcome=outcome)
