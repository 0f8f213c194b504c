"""Pages that hold no readable record still end the wait for their offset."""

from collections.abc import Awaitable, Callable

import trio

from pistachiohill.consortium.const import NO_OFFSET, TOPIC_PROCESSES, TOPIC_SETTINGS
from pistachiohill.consortium.tail import async_follow_processes, async_follow_settings
from pistachiohill.consortium.view import ConsortiumView
from pistachiohill.http.server import async_serve_http
from pistachiohill.platform.const import TOPIC_OPERATORS
from pistachiohill.platform.operators import async_follow_operators
from pistachiohill.platform.store import StoreClient
from standins.platform_store import PlatformStore, StoreServer
from standins.processes import HOST, free_ports

from ..base import TestCase

WAIT_S = 2.0  # a read takes 1 s at most
Follow = Callable[[StoreClient, ConsortiumView], Awaitable[None]]


class UnreadablePageTest(TestCase):
    async def _async_check(self, topic: str, async_follow: Follow, *, processes: bool) -> None:
        """Append a record without a key while something waits for its offset."""
        view, model = ConsortiumView(), PlatformStore()
        async_wait = view.async_wait_processes if processes else view.async_wait_offset
        (port,) = free_ports(1)
        async with trio.open_nursery() as nursery:
            app = StoreServer(model, nursery).app()
            await nursery.start(async_serve_http, app, [f"{HOST}:{port}"], trio.Event(), 0.1)
            nursery.start_soon(async_follow, StoreClient(f"http://{HOST}:{port}"), view)
            await trio.sleep(0.3)
            self.assertEqual(NO_OFFSET, view.state.offset)
            model.topic(topic).append([b""])
            with trio.move_on_after(WAIT_S) as waiting:
                await async_wait(0)
            self.assertFalse(waiting.cancelled_caught, topic)
            nursery.cancel_scope.cancel()

    async def test_of_settings(self) -> None:
        await self._async_check(TOPIC_SETTINGS, async_follow_settings, processes=False)

    async def test_of_processes(self) -> None:
        await self._async_check(TOPIC_PROCESSES, async_follow_processes, processes=True)

    async def test_of_operators(self) -> None:
        await self._async_check(TOPIC_OPERATORS, async_follow_operators, processes=False)
