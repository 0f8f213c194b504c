"""Pages that hold no readable record still end the wait for their offset."""

import trio

from pistachiohill.consortium.const import TOPIC_PROCESSES, TOPIC_SETTINGS
from pistachiohill.consortium.tail import async_follow_processes, async_follow_settings
from pistachiohill.consortium.view import ConsortiumView
from pistachiohill.platform.const import TOPIC_OPERATORS
from pistachiohill.platform.operators import async_follow_operators

from ..base import TestCase
from ..platform.test_operators import store_behind_relay

WAIT_S = 2.0  # a read takes 1 s at most
FOLLOWERS = {
    TOPIC_SETTINGS: (async_follow_settings, ConsortiumView.async_wait_offset),
    TOPIC_OPERATORS: (async_follow_operators, ConsortiumView.async_wait_offset),
    TOPIC_PROCESSES: (async_follow_processes, ConsortiumView.async_wait_processes),
}


class UnreadablePageTest(TestCase):
    async def test_record_without_a_key_ends_the_wait_for_its_offset(self) -> None:
        for topic, (async_follow, async_wait) in FOLLOWERS.items():
            view = ConsortiumView()
            async with store_behind_relay() as (store, nursery):
                nursery.start_soon(async_follow, store.client, view)
                await trio.sleep(0.3)
                store.model.topic(topic).append([b""])
                with trio.move_on_after(WAIT_S) as waiting:
                    await async_wait(view, 0)
                self.assertFalse(waiting.cancelled_caught, topic)
