"""Updates of a view from this product's topics, and announcements of processes in them."""

import random
from functools import singledispatch

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
    KEY_KEPT_TREE,
    POLL_AGE_FRACTION,
    POLL_WAIT_S,
    PURGE_INTERVAL_S,
    TOPIC_PROCESSES,
    TOPIC_SETTINGS,
    WITHDRAW_TIMEOUT_S,
)
from .follow import async_follow_topic
from .processes import has_valid_address
from .tree_keeper import apply_kept_tree
from .view import ConsortiumView


async def async_follow_settings(store: StoreClient, view: ConsortiumView) -> None:
    """Apply the settings that this product's operators publish, until cancelled."""

    def apply(page: KeyedPage, complete: bool, requested_at_s: float) -> None:
        known = view.state.offset
        for record in page.records:
            _apply_change(view, record)
        view.state.advance_offset(page.end - 1)
        if not page.more:
            view.confirm(page.end - 1, requested_at_s)
        if page.records or view.state.offset > known:  # also past records that can't be read
            view.notify()

    await async_follow_topic(store, TOPIC_SETTINGS, lambda: poll_wait_s(view), apply)


async def async_follow_processes(store: StoreClient, view: ConsortiumView) -> None:
    """Apply the announcements and ends of processes, until cancelled."""

    def apply(page: KeyedPage, complete: bool, requested_at_s: float) -> None:
        for record in page.records:
            apply_process(view, record)
        view.processes.offset = max(view.processes.offset, page.end - 1)
        advanced = page.end > view.kept_tree.end
        view.kept_tree.end = page.end
        if page.records or advanced:
            view.notify()

    await async_follow_topic(store, TOPIC_PROCESSES, lambda: POLL_WAIT_S, apply)


def poll_wait_s(view: ConsortiumView) -> float:
    """Return the long-poll timeout of a read.

    A view is confirmed as of the time its read was sent, so a read may take only a fraction of the
    view age that the settings allow.
    """
    max_age_s = view.state.settings(ROOT_PATH).view_max_age_s
    return min(POLL_WAIT_S, max_age_s * POLL_AGE_FRACTION)


def change_key(record: PublishRecord | DomainChangeRecord) -> str:
    """Return the key under which the store keeps a change."""
    if isinstance(record, PublishRecord):
        return f"node/{record.path}"
    return f"domain/{record.domain}"


def _apply_change(view: ConsortiumView, record: KeyedRecord) -> None:
    """Apply one record; skip it if it can't be decoded or its key doesn't match the change."""
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
    """Apply one record of the processes' topic; a deleted record removes its process."""
    if record.key == KEY_KEPT_TREE:
        apply_kept_tree(view, record)
        return
    if record.value is None:
        view.processes.remove(record.key, record.offset)
        return
    change = _decode(record)
    problem = "" if change is None else _process_problem(change, record.offset)
    if problem:
        logs.warning("record_refused", key=record.key, offset=record.offset, detail=problem)
    elif isinstance(change, AnnounceRecord):
        view.processes.announce(change, record.offset, clock.wall_s())
    elif isinstance(change, EndRecord):
        view.processes.end(change, record.offset, clock.wall_s())


@singledispatch
def _process_problem(change: Message, offset: int) -> str:
    """Return why a change at an offset of the processes topic is invalid; empty if it is valid."""
    return f"not a process: {type(change).__name__}"


@_process_problem.register
def _(change: AnnounceRecord, offset: int) -> str:
    return "" if has_valid_address(change) else "invalid address"


@_process_problem.register
def _(change: EndRecord, offset: int) -> str:
    if not 0 <= change.announce_offset < offset:
        return "announced at an invalid offset"
    return _process_problem(change.process, offset)


def _decode(record: KeyedRecord) -> Message | None:
    if record.value is None:
        return None
    try:
        return decode_record(record.value)
    except DecodeError as err:
        logs.warning("record_refused", key=record.key, offset=record.offset, detail=err)
        return None


async def async_announce(store: StoreClient, record: AnnounceRecord) -> int:
    """Append this process's record, retrying until it succeeds, and return its offset.

    If a reply was lost, the record may have been appended twice. The later offset is the safe one:
    an agent accepts only submissions issued after it, and by then readers of either record know the
    agent.
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
    """Record that a process has ended.

    This is tried only once, since a successor's announcement at its address has the same effect.
    """
    ended = encode_record(EndRecord(record, offset))
    with trio.move_on_after(WITHDRAW_TIMEOUT_S):
        outcome = await store.async_append(TOPIC_PROCESSES, record.incarnation, ended)
        logs.event("withdrawn", incarnation=record.incarnation, outcome=outcome)


async def async_purge_ended_processes(store: StoreClient, view: ConsortiumView) -> None:
    """Delete the records of processes that ended long ago.

    All entries do this at random intervals; the first one to find such a record deletes it.
    """
    while True:
        await trio.sleep(PURGE_INTERVAL_S * random.uniform(0.5, 1.5))
        for incarnation in view.processes.purgeable(clock.wall_s()):
            outcome = await store.async_append(TOPIC_PROCESSES, incarnation, None)
            logs.event("process_purged", incarnation=incarnation, outcome=outcome)
