"""Follow the platform's keyed topics: the operators' settings, and the processes of this system."""

import random
from collections.abc import Callable

import trio

from .. import clock, logs
from ..consortium.view import ConsortiumView
from ..protocol.codec import decode_record, encode_record
from ..protocol.errors import DecodeError
from ..protocol.models import AnnounceRecord, DomainRecord
from ..settings.errors import SettingsError
from .const import (
    KEY_EVACUATE,
    KEY_MANIFEST,
    READ_WAIT_S,
    RETRY_MAX_S,
    RETRY_MIN_S,
    TOPIC_OPERATORS,
    TOPIC_PROCESSES,
)
from .errors import WireError
from .manifest import decode_manifest, manifest_nodes
from .models import Appended, HistoryGone, KeyedPage, KeyedRecord, StoreFailed
from .store import StoreClient

ANNOUNCE_RETRY_S = 0.5


async def async_follow_operators(store: StoreClient, view: ConsortiumView) -> None:
    """Keep the view's settings and failure domains in step with the operators' topic."""

    def apply(page: KeyedPage, whole: bool, asked_at_s: float) -> None:
        if whole:
            view.state.keep_domains(
                {_domain_of(r.key) for r in page.records if r.key.startswith(KEY_EVACUATE)},
                page.end - 1,
            )
        for record in page.records:
            _apply_operators(view, record)
        view.state.skip(page.end - 1)
        view.confirm(page.end - 1, asked_at_s)
        if page.records or whole:
            view.notify()

    await _async_follow(store, TOPIC_OPERATORS, apply)


async def async_follow_processes(store: StoreClient, view: ConsortiumView) -> None:
    """Keep the view's processes in step with this system's topic."""

    def apply(page: KeyedPage, whole: bool, asked_at_s: float) -> None:
        for record in page.records:
            _apply_process(view, record)
        if page.records:
            view.notify()

    await _async_follow(store, TOPIC_PROCESSES, apply)


async def _async_follow(
    store: StoreClient, topic: str, apply: Callable[[KeyedPage, bool, float], None]
) -> None:
    """Read the newest record of each key, then whatever follows, for as long as it runs."""
    offset: int | None = None
    retry_s = RETRY_MIN_S
    failing = False
    while True:
        asked_at_s = clock.boot_s()
        page: KeyedPage | HistoryGone | StoreFailed
        if offset is None:
            page = await store.async_newest(topic)
        else:
            page = await store.async_read(topic, offset, READ_WAIT_S)
        if isinstance(page, HistoryGone):
            logs.event("history_gone", topic=topic, offset=offset, first=page.first)
            offset = None
            continue
        if isinstance(page, StoreFailed):
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
        apply(page, offset is None, asked_at_s)
        offset = page.end


def _apply_operators(view: ConsortiumView, record: KeyedRecord) -> None:
    """Apply one record of the operators; one that can't be read is passed over."""
    try:
        if record.key == KEY_MANIFEST and record.value is not None:
            manifest = decode_manifest(record.value)
            nodes = manifest_nodes(manifest, record.offset)
            if view.state.replace_nodes(nodes, record.offset):
                logs.event(
                    "manifest",
                    version=manifest.version,
                    offset=record.offset,
                    routes=len(manifest.routes),
                )
        elif record.key.startswith(KEY_EVACUATE):
            domain = _domain_of(record.key)
            out = record.value is not None
            if view.state.set_domain(DomainRecord(domain, out, record.offset)):
                logs.event("domain", domain=domain, out=out, offset=record.offset)
    except (WireError, SettingsError) as err:
        logs.warning("record_refused", key=record.key, offset=record.offset, detail=err)


def _domain_of(key: str) -> str:
    return key.removeprefix(KEY_EVACUATE)


def _apply_process(view: ConsortiumView, record: KeyedRecord) -> None:
    try:
        announced = decode_record(record.value) if record.value is not None else None
    except DecodeError as err:
        logs.warning("record_refused", key=record.key, offset=record.offset, detail=err)
        return
    if isinstance(announced, AnnounceRecord):
        view.state.announce(announced, record.offset, clock.wall_s())
    else:
        view.state.withdraw_address(record.key, record.offset, clock.wall_s())


async def async_announce(store: StoreClient, record: AnnounceRecord) -> int:
    """Set this process's record until that has succeeded, and return its offset."""
    key = f"{record.host}:{record.port}"
    while True:
        outcome = await store.async_append(TOPIC_PROCESSES, key, encode_record(record))
        if isinstance(outcome, Appended):
            logs.event("announced", incarnation=record.incarnation, offset=outcome.offset)
            return outcome.offset
        logs.warning("announce_failed", outcome=outcome)
        await trio.sleep(ANNOUNCE_RETRY_S * random.uniform(0.7, 1.3))
