"""Follow the operators' topic: the manifest, and failure domains that are evacuated."""

from .. import logs
from ..consortium.const import POLL_WAIT_S
from ..consortium.follow import async_follow_topic
from ..consortium.view import ConsortiumView
from ..protocol.models import DomainRecord
from ..settings.errors import SettingsError
from .const import KEY_EVACUATE, KEY_MANIFEST, TOPIC_OPERATORS
from .errors import WireError
from .manifest import decode_manifest, manifest_nodes
from .models import KeyedPage, KeyedRecord
from .store import StoreClient


async def async_follow_operators(store: StoreClient, view: ConsortiumView) -> None:
    """Keep the view's settings and failure domains in step with the operators' topic."""

    def apply(page: KeyedPage, whole: bool, asked_at_s: float) -> None:
        apply_page(view, page, whole)
        view.confirm(page.end - 1, asked_at_s)
        if page.records or whole:
            view.notify()

    await async_follow_topic(store, TOPIC_OPERATORS, lambda: POLL_WAIT_S, apply)


def apply_page(view: ConsortiumView, page: KeyedPage, whole: bool) -> None:
    """Apply a page; a whole one holds every failure domain that is still evacuated."""
    if whole:
        evacuated = {_domain_of(r.key) for r in page.records if r.key.startswith(KEY_EVACUATE)}
        view.state.restore_domains_except(evacuated, page.end - 1)
    for record in page.records:
        _apply(view, record)
    view.state.advance_offset(page.end - 1)


def _apply(view: ConsortiumView, record: KeyedRecord) -> None:
    """Apply one record; one that can't be read is passed over."""
    try:
        if record.key == KEY_MANIFEST and record.value is not None:
            _apply_manifest(view, record.value, record.offset)
        elif record.key.startswith(KEY_EVACUATE):
            domain = DomainRecord(_domain_of(record.key), record.value is not None, record.offset)
            if view.state.set_domain(domain):
                logs.event("domain", domain=domain.name, out=domain.out, offset=record.offset)
    except (WireError, SettingsError) as err:
        logs.warning("record_refused", key=record.key, offset=record.offset, detail=err)


def _apply_manifest(view: ConsortiumView, body: bytes, offset: int) -> None:
    manifest = decode_manifest(body)
    if view.state.replace_nodes(manifest_nodes(manifest, offset), offset):
        routes = len(manifest.routes)
        logs.event("manifest", version=manifest.version, offset=offset, routes=routes)


def _domain_of(key: str) -> str:
    return key.removeprefix(KEY_EVACUATE)
