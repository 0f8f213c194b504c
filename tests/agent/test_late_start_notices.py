"""Entries are told of a start without an answer before its agent can end."""

from typing import Any

import trio

from pistachiohill import clock
from pistachiohill.agent.const import LATE_START_S, START_TIMEOUT_S
from pistachiohill.agent.late_start_notices import LateStartNotices
from pistachiohill.protocol.models import LateStarts

from ..base import TestCase
from .test_leased_target import TargetHarness, call
from .test_runner import FakeLink

TASK = "5c0e7a21d94b36f8/0"
NEVER_S = 100.0
MARGIN_S = 0.05


def notices_on(link: FakeLink) -> list[tuple[str, float]]:
    messages = [item for item in link.sent if isinstance(item, LateStarts)]
    return [(start.task_id, start.for_s) for message in messages for start in message.starts]


class LateStartNoticesTest(TestCase):
    async def _async_start(
        self, nursery: trio.Nursery, unanswered: int, delay_s: float
    ) -> tuple[TargetHarness, LateStartNotices, list[Any]]:
        """Start a run whose first starts are unanswered, at an agent with two links."""
        notices = LateStartNotices()
        harness = TargetHarness(nursery, notices=notices)
        links: list[Any] = [FakeLink("entry-1"), FakeLink("entry-2")]
        for link in links:
            notices.link_opened(link, clock.boot_s())
        nursery.start_soon(harness.target.async_run)
        await harness.async_wait_ready()
        harness.runner.unanswered_starts = unanswered
        harness.runner.execution_delay_s = delay_s
        harness.start(call(TASK, run_s=0.5))
        await trio.sleep(START_TIMEOUT_S + MARGIN_S)
        return harness, notices, links

    async def test_all_entries_are_told_as_soon_as_a_start_is_unanswered(self) -> None:
        """Guards against a fact that only the agent knows and that is lost with its process."""
        async with trio.open_nursery() as nursery:
            _, _, links = await self._async_start(nursery, 1, NEVER_S)
            for link in links:
                self.assertEqual((TASK, LATE_START_S), notices_on(link)[0])
            nursery.cancel_scope.cancel()

    async def test_entry_that_is_linked_later_is_told_the_rest_of_the_time(self) -> None:
        async with trio.open_nursery() as nursery:
            _, notices, _ = await self._async_start(nursery, 1, NEVER_S)
            link: Any = FakeLink("entry-3")
            notices.link_opened(link, clock.boot_s())
            ((task_id, for_s),) = notices_on(link)
            self.assertEqual(TASK, task_id)
            self.assertTrue(LATE_START_S - 1.0 < for_s < LATE_START_S, for_s)
            nursery.cancel_scope.cancel()

    async def test_answered_starts_send_nothing(self) -> None:
        async with trio.open_nursery() as nursery:
            harness, _, links = await self._async_start(nursery, 0, 0.0)
            await harness.async_result(f"{TASK}#1")
            self.assertEqual([[], []], [notices_on(link) for link in links])
            nursery.cancel_scope.cancel()

    async def test_entries_are_told_that_a_start_that_was_sent_once_has_been_executed(self) -> None:
        async with trio.open_nursery() as nursery:
            _, _, links = await self._async_start(nursery, 1, START_TIMEOUT_S - 0.02)
            await trio.sleep(0.1)
            self.assertEqual([(TASK, LATE_START_S), (TASK, 0.0)], notices_on(links[0]))
            nursery.cancel_scope.cancel()

    async def test_repeated_start_is_told_before_it_is_sent(self) -> None:
        """Guards against its loss with the agent, which entries take for answered once it was."""
        async with trio.open_nursery() as nursery:
            harness, _, links = await self._async_start(nursery, 1, NEVER_S)
            self.assertEqual(2, harness.runner.requests.count("start"))
            (_, first_s), (_, repeated_s), (_, answered_s) = notices_on(links[0])
            self.assertAlmostEqual(first_s + START_TIMEOUT_S, repeated_s)
            self.assertLess(answered_s, first_s)
            nursery.cancel_scope.cancel()

    async def test_notice_outlives_its_run(self) -> None:
        """A run that ended `done` doesn't prove that its first start won't come."""
        async with trio.open_nursery() as nursery:
            harness, notices, _ = await self._async_start(nursery, 1, NEVER_S)
            await harness.async_result(f"{TASK}#1")
            link: Any = FakeLink("entry-3")
            notices.link_opened(link, clock.boot_s())
            self.assertEqual(1, len(notices_on(link)))
            nursery.cancel_scope.cancel()
