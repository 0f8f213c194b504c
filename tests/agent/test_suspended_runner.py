"""A runner whose clock stood still: what its agent takes for ended has ended."""

import trio

from pistachiohill import clock
from pistachiohill.agent.const import LEASE_S, MAX_LEASE_S
from standins.runner_model import RunnerModel

from ..base import TestCase
from .test_leased_target import LOST, TargetHarness, call

STOOD_STILL_S = 1.5


class SuspendedRunnerTest(TestCase):
    async def _async_let_clock_stand_still(self, harness: TargetHarness) -> RunnerModel:
        """Let the clock of an idle runner stand still for a while, without a stall of its agent."""
        await harness.async_wait_ready()
        model = harness.runner.model
        model.suspend(clock.boot_s())
        await trio.sleep(STOOD_STILL_S)
        model.resume(clock.boot_s())
        return model

    async def test_runs_under_a_lease_of_a_wrong_bound_have_ended_when_they_are_reported(
        self,
    ) -> None:
        """Guards against taking a lease that the runner has shortened for one of the usual time."""
        async with trio.open_nursery() as nursery:
            harness = TargetHarness(nursery)
            nursery.start_soon(harness.target.async_run)
            model = await self._async_let_clock_stand_still(harness)
            harness.start(call("a", run_s=5.0))
            await trio.sleep(2.0 * MAX_LEASE_S)
            harness.runner.silent = True
            self.assertEqual(LOST, await harness.async_result("a#1"))
            model.end_due_runs(clock.boot_s())
            self.assertEqual({}, model.running)
            nursery.cancel_scope.cancel()

    async def test_lease_is_of_the_usual_length_once_the_clock_was_read_again(self) -> None:
        """Guards against a bound that no reading lowers."""
        async with trio.open_nursery() as nursery:
            harness = TargetHarness(nursery)
            nursery.start_soon(harness.target.async_run)
            model = await self._async_let_clock_stand_still(harness)
            harness.start(call("a"))
            await harness.async_result("a#1")
            await trio.sleep(MAX_LEASE_S)
            harness.start(call("b", run_s=5.0))
            await trio.sleep(0.05)
            self.assertLess(model.lease_expires_at_s - clock.boot_s(), LEASE_S)
            nursery.cancel_scope.cancel()
