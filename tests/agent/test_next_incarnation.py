"""Starts that a runner's next incarnation has confirmed before the agent knows of it."""

import time

import trio

from pistachiohill import clock
from pistachiohill.agent.const import LEASE_S

from ..base import TestCase
from .test_leased_target import TargetHarness, call

UP_S = 60.0  # for how long the runner has been up
PAUSE_S = LEASE_S + 0.1  # longer than any lease that the agent knows of


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

    async def test_start_that_is_under_way_when_a_lease_has_ended_is_not_taken_for_ended(
        self,
    ) -> None:
        """The agent was paused while the runner restarted, and wakes after its lease has ended."""
        async with trio.open_nursery() as nursery:
            harness = TargetHarness(nursery)
            runner = harness.runner
            runner.model.born_s -= UP_S
            nursery.start_soon(harness.target.async_run)
            await harness.async_wait_ready()
            harness.start(call("long", run_s=5.0))
            await trio.sleep(0.1)
            runner.unanswered_holds, runner.response_delay_s = 1, PAUSE_S + 0.05
            await trio.sleep(0.1)
            runner.model.restart(clock.boot_s())
            harness.start(call("a", run_s=0.9))
            await trio.sleep(0.01)
            time.sleep(PAUSE_S)  # noqa: ASYNC251
            await harness.async_result("a#1")
            runner.model.end_due_runs(clock.boot_s())
            self.assertEqual({}, runner.model.running)
            nursery.cancel_scope.cancel()
