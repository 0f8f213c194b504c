"""Keeps the settings tree of the highest version in the entries' own topic.

Each entry writes the tree that it uses if the copy is older. The write is conditional on the end of
the topic as of which the entry knows the copy, so that the first of several entries writes it, and
no write that is carried out late replaces a newer copy.
"""

import random

import trio

from .. import logs
from ..platform.models import Appended, KeyedRecord
from ..platform.store import StoreClient
from ..protocol.errors import DecodeError
from ..protocol.models import TreeRecord
from ..settings.errors import SettingsError
from .const import KEEP_RETRY_S, KEEP_SPREAD_S, KEY_KEPT_TREE, TOPIC_PROCESSES
from .kept_tree import decode_tree, encode_tree
from .view import ConsortiumView


def apply_kept_tree(view: ConsortiumView, record: KeyedRecord) -> None:
    """Use the tree in the record of the copy if its version is higher than that in use.

    A malformed record counts as none, so that it is replaced.
    """
    view.kept_tree.version = 0
    if record.value is None:
        return
    try:
        tree = decode_tree(record.value)
        view.kept_tree.version = tree.version
        adopted = view.state.adopt_tree(tree.nodes, tree.version)
    except (DecodeError, SettingsError) as err:
        logs.warning("record_refused", key=record.key, offset=record.offset, detail=err)
        return
    if adopted:
        logs.event("kept_tree_adopted", version=tree.version, offset=record.offset)


async def async_keep_tree(store: StoreClient, view: ConsortiumView) -> None:
    """Write the tree in use over an older copy, until cancelled."""
    while True:
        while not view.kept_tree.is_behind(view.state.tree_version):
            await view.async_wait_changed()
        await trio.sleep(random.uniform(0.0, KEEP_SPREAD_S))
        if view.kept_tree.is_behind(view.state.tree_version):
            await _async_write_tree(store, view)


async def _async_write_tree(store: StoreClient, view: ConsortiumView) -> None:
    kept = view.kept_tree
    tree = TreeRecord(view.state.tree_version, view.state.node_records())
    outcome = await store.async_append(TOPIC_PROCESSES, KEY_KEPT_TREE, encode_tree(tree), kept.end)
    logs.event("tree_kept", version=tree.version, outcome=outcome)
    if not isinstance(outcome, Appended):
        await trio.sleep(KEEP_RETRY_S * random.uniform(0.7, 1.3))
    elif kept.end <= outcome.offset:
        kept.version = tree.version  # the record itself is read later
