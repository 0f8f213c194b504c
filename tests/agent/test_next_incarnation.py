"""Starts that a runner's next incarnation has confirmed before the agent knows of it."""

import trio

from pistachiohill import clock

from ..base import TestCase
from .test_leased_target import TargetHarness, call


class NextIncarnationTest(TestCase):
    async def _async_check(self, announced: bool) -> None:
        async with trio.open_nursery() as nursery:
            harness = TargetHarness(nursery)
            model = harness.runner.model
            nursery.start_soon(harness.target.async_run)
            await harness.async_wait_ready()
            model.restart(clock.boot_s())
            harness.start(call("a", run_s=0.5))
            await trio.sleep(0.01)
            if announced:
                harness.announce()
            await harness.async_result("a#1")
            model.end_due_runs(clock.boot_s())
            self.assertEqual({}, model.running)
            nursery.cancel_scope.cancel()

    async def test_run_confirmed_by_an_incarnation_that_a_list_shows_is_not_taken_for_ended(
        self,
    ) -> None:
        await self._async_check(announced=False)

    async def test_run_confirmed_by_an_incarnation_that_announces_itself_is_not_taken_for_ended(
        self,
    ) -> None:
        await self._async_check(announced=True)
