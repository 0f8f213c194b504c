"""Follow the platform's log, and keep a snapshot in it before its records expire."""

import random

import trio

from .. import clock, logs
from ..platform_log.client import LogClient
from ..platform_log.const import POLL_WAIT_S, RETRY_MAX_S, RETRY_MIN_S
from ..platform_log.models import Appended, LogPage, RawRecord, ReadFailed
from ..protocol.codec import decode_record, encode_record
from ..protocol.errors import DecodeError
from ..protocol.models import SnapshotRecord
from ..settings.const import ROOT_PATH
from ..settings.errors import SettingsError
from .const import POLL_AGE_FRACTION, SNAPSHOT_EVERY_RECORDS, SNAPSHOT_RETENTION_FRACTION
from .state import LoggedRecord
from .view import ConsortiumView


async def async_follow_log(client: LogClient, view: ConsortiumView) -> None:
    """Apply the log's records to the view for as long as the process runs."""
    retry_s = RETRY_MIN_S
    cursor = 0
    while True:
        asked_at_s = clock.boot_s()
        cursor = max(cursor, view.state.offset + 1)
        page = await client.async_read(cursor, poll_wait_s(view))
        if isinstance(page, ReadFailed):
            logs.warning("log_unreadable", detail=page.detail, offset=view.state.offset)
            await trio.sleep(retry_s * random.uniform(0.5, 1.0))
            retry_s = min(retry_s * 2, RETRY_MAX_S)
            continue
        retry_s = RETRY_MIN_S
        apply_page(view, page, asked_at_s)
        cursor = _next_cursor(view, page, cursor)
        if not view.loaded and not page.records:
            await trio.sleep(RETRY_MIN_S)
        await _async_keep_snapshot(client, view, page)


def poll_wait_s(view: ConsortiumView) -> float:
    """Return how long a read may wait for news.

    A view is confirmed as of the time its read was sent, so a read must not take up the age that
    the settings allow.
    """
    if not view.loaded:
        return 0.0
    max_age_s = view.state.settings(ROOT_PATH).view_max_age_s
    return min(POLL_WAIT_S, max_age_s * POLL_AGE_FRACTION)


def apply_page(view: ConsortiumView, page: LogPage, asked_at_s: float) -> None:
    """Apply a page and confirm the view where the page reaches the log's end.

    When records between the applied offset and the page have expired, nothing is applied until a
    snapshot that covers them.
    """
    for raw in page.records:
        _apply_raw(view, raw)
    view.confirm(page.end - 1, asked_at_s)


def _next_cursor(view: ConsortiumView, page: LogPage, cursor: int) -> int:
    """Return where to read on; behind a gap, past the records that could not be applied."""
    if view.state.offset + 1 >= page.first:
        return view.state.offset + 1
    if page.records:
        return page.records[-1].offset + 1
    return max(cursor, page.first)


def _apply_raw(view: ConsortiumView, raw: RawRecord) -> None:
    try:
        record = decode_record(raw.data)
        if isinstance(record, SnapshotRecord) and raw.offset > view.state.offset:
            view.adopt(record, raw.at_s)
    except (DecodeError, SettingsError) as err:
        logs.warning("record_refused", offset=raw.offset, detail=err)
        if raw.offset == view.state.offset + 1:
            view.state.skip(raw.offset)
            view.notify()
        return
    if raw.offset == view.state.offset + 1:
        view.apply(LoggedRecord(raw.offset, raw.at_s, record))


async def _async_keep_snapshot(client: LogClient, view: ConsortiumView, page: LogPage) -> None:
    """Append a snapshot when the latest one is old; the first of all entries to do so wins."""
    state = view.state
    if state.offset < 0 or page.end != state.offset + 1:
        return
    age_s = page.now_s - state.snapshot_at_s
    due_s = page.retention_s * SNAPSHOT_RETENTION_FRACTION * random.uniform(0.8, 1.0)
    if state.records_since_snapshot < SNAPSHOT_EVERY_RECORDS and age_s < due_s:
        return
    if state.records_since_snapshot == 0 and age_s < due_s:
        return
    outcome = await client.async_append(encode_record(state.snapshot()), page.end)
    if isinstance(outcome, Appended):
        logs.event("snapshot_appended", offset=outcome.offset, state_offset=state.offset)
