"""Entries keep the settings tree of the highest version in their own topic."""

import trio

from pistachiohill.consortium.const import KEEP_RETRY_S, KEEP_SPREAD_S, TOPIC_PROCESSES
from pistachiohill.consortium.tail import async_follow_processes
from pistachiohill.consortium.tree_keeper import _async_write_tree, async_keep_tree
from pistachiohill.consortium.view import ConsortiumView
from pistachiohill.settings.tree import parse_node

from ..base import TestCase
from ..platform.test_operators import store_behind_relay


def make_view(version: int) -> ConsortiumView:
    view = ConsortiumView()
    view.state.replace_nodes([parse_node("consortium", "", version)], version, version)
    return view


class TreeKeeperTest(TestCase):
    async def test_one_of_several_entries_writes_the_highest_version(self) -> None:
        views = [make_view(version) for version in (4, 7, 7, 7, 7)]
        async with store_behind_relay() as (store, nursery):
            for view in views:
                nursery.start_soon(async_follow_processes, store.client, view)
                nursery.start_soon(async_keep_tree, store.client, view)
            await trio.sleep(KEEP_SPREAD_S + 2 * KEEP_RETRY_S)
            versions = {(view.state.tree_version, view.kept_tree.version) for view in views}
            self.assertEqual({(7, 7)}, versions)
            self.assertLessEqual(store.model.appends, 2)  # the lower version may have come first

    async def test_a_newer_copy_that_was_not_read_is_not_replaced(self) -> None:
        async with store_behind_relay() as (store, _):
            for view in (make_view(7), make_view(4)):
                view.kept_tree.end = 0
                with trio.move_on_after(KEEP_RETRY_S / 2):
                    await _async_write_tree(store.client, view)
            self.assertEqual(1, store.model.topic(TOPIC_PROCESSES).end)
