"""Follow the operators' topic, which holds the manifest and the evacuated failure domains."""

from .. import clock, logs
from ..consortium.const import POLL_WAIT_S
from ..consortium.follow import async_follow_topic
from ..consortium.view import ConsortiumView
from ..protocol.models import DomainRecord
from ..settings.errors import SettingsError
from .const import KEY_MANIFEST, KEY_PREFIX_EVACUATE, TOPIC_OPERATORS
from .errors import WireError
from .manifest import build_settings_nodes, decode_manifest
from .models import KeyedPage, KeyedRecord
from .store import StoreClient
from .wire import require_unicode


async def async_follow_operators(store: StoreClient, view: ConsortiumView) -> None:
    """Update the view's settings and failure domains from the operators' topic until cancelled."""

    def apply(page: KeyedPage, is_snapshot: bool, requested_at_s: float) -> None:
        known = view.state.offset
        apply_page(view, page, is_snapshot, clock.boot_s())
        if not page.more:
            view.confirm(page.end - 1, requested_at_s)
        if page.records or is_snapshot or view.state.offset > known:
            view.notify()

    await async_follow_topic(store, TOPIC_OPERATORS, lambda: POLL_WAIT_S, apply)


def apply_page(view: ConsortiumView, page: KeyedPage, is_snapshot: bool, now_s: float) -> None:
    """Apply the newest record of each key in a page to the view, at a boot time.

    A snapshot holds the newest record of each key, so failure domains that are missing from it are
    no longer evacuated.
    """
    if is_snapshot:
        evacuated = {
            _domain_name(r.key) for r in page.records if r.key.startswith(KEY_PREFIX_EVACUATE)
        }
        view.state.restore_domains_except(evacuated, page.end - 1)
    newest = {record.key: record for record in page.records}
    for record in sorted(newest.values(), key=lambda item: item.offset):
        _apply_record(view, record, now_s)
    view.state.advance_offset(page.end - 1)


def _apply_record(view: ConsortiumView, record: KeyedRecord, now_s: float) -> None:
    """Apply a record; a malformed record is skipped with a warning."""
    try:
        if record.key == KEY_MANIFEST and record.value is not None:
            _apply_manifest(view, record.value, record.offset, now_s)
        elif record.key.startswith(KEY_PREFIX_EVACUATE):
            name = require_unicode(_domain_name(record.key), "key")
            domain = DomainRecord(name, record.value is not None, record.offset)
            if view.state.set_domain(domain):
                logs.event("domain", domain=domain.name, out=domain.out, offset=record.offset)
    except (WireError, SettingsError) as err:
        logs.warning("record_refused", key=record.key, offset=record.offset, detail=err)


def _apply_manifest(view: ConsortiumView, body: bytes, offset: int, now_s: float) -> None:
    manifest = decode_manifest(body)
    nodes = build_settings_nodes(manifest, offset, view.state.nodes)
    if view.state.replace_nodes(nodes, offset, manifest.version):
        logs.event(
            "manifest",
            version=manifest.version,
            offset=offset,
            routes=len(manifest.routes),
            view_age_s=view.age_s(now_s),
        )


def _domain_name(key: str) -> str:
    return key.removeprefix(KEY_PREFIX_EVACUATE)
