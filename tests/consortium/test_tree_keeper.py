"""Entries keep the settings tree of the highest version in their own topic."""

import trio

from pistachiohill.consortium.const import KEEP_RETRY_S, KEEP_SPREAD_S, TOPIC_PROCESSES
from pistachiohill.consortium.tail import async_follow_processes
from pistachiohill.consortium.tree_keeper import _async_write_tree, async_keep_tree
from pistachiohill.consortium.view import ConsortiumView
from pistachiohill.http.server import async_serve_http
from pistachiohill.platform.store import StoreClient
from pistachiohill.settings.tree import parse_node
from standins.platform_store import PlatformStore, StoreServer
from standins.processes import HOST, free_ports

from ..base import TestCase

ENTRIES = 5


def make_view(version: int) -> ConsortiumView:
    view = ConsortiumView()
    node = parse_node("consortium", f"weight = {version}.0", version)
    view.state.replace_nodes([node], version, version)
    return view


class TreeKeeperTest(TestCase):
    async def test_one_of_several_entries_writes_the_highest_version(self) -> None:
        model = PlatformStore()
        views = [make_view(version) for version in (4, *[7] * (ENTRIES - 1))]
        async with trio.open_nursery() as nursery:
            client = await self._async_start_store(model, nursery)
            for view in views:
                nursery.start_soon(async_follow_processes, client, view)
                nursery.start_soon(async_keep_tree, client, view)
            await trio.sleep(KEEP_SPREAD_S + 2 * KEEP_RETRY_S)
            self.assertEqual([7] * ENTRIES, [view.state.tree_version for view in views])
            self.assertEqual([7] * ENTRIES, [view.kept_tree.version for view in views])
            self.assertLessEqual(model.appends, 2)  # the lower version may have come first
            nursery.cancel_scope.cancel()

    async def test_a_newer_copy_that_was_not_read_is_not_replaced(self) -> None:
        model = PlatformStore()
        async with trio.open_nursery() as nursery:
            client = await self._async_start_store(model, nursery)
            for version in (7, 4):
                view = make_view(version)
                view.kept_tree.end = 0
                with trio.move_on_after(KEEP_RETRY_S / 2):
                    await _async_write_tree(client, view)
            self.assertEqual(1, model.topic(TOPIC_PROCESSES).end)
            nursery.cancel_scope.cancel()

    async def _async_start_store(self, model: PlatformStore, nursery: trio.Nursery) -> StoreClient:
        (port,) = free_ports(1)
        app = StoreServer(model, nursery).app()
        await nursery.start(async_serve_http, app, [f"{HOST}:{port}"], trio.Event(), 0.1)
        return StoreClient(f"http://{HOST}:{port}")
