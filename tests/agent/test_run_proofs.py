"""What an agent must not take for the end of a run: the run may go on at its runner."""

from collections.abc import Awaitable, Callable
from typing import Any

import trio

from pistachiohill import clock
from pistachiohill.agent.const import MAX_CLOCK_DRIFT, STOP_CONFIRM_S
from pistachiohill.agent.models import HoldOutcome

from ..base import TestCase
from .test_leased_target import FENCED, TargetHarness, call

RUN_S = 5.0
IDLE_S = 2.0  # between the last reading of the runner's clock and the next start
WITHIN_S = 3.0
UP_S = 60.0  # for how long the runner has been up


class RunProofsTest(TestCase):
    async def _async_run_scenario(
        self, scenario: Callable[[TargetHarness], Awaitable[None]]
    ) -> None:
        async with trio.open_nursery() as nursery:
            harness = TargetHarness(nursery)
            nursery.start_soon(harness.target.async_run)
            await harness.async_wait_ready()
            await scenario(harness)
            nursery.cancel_scope.cancel()

    async def _async_check_ended(self, harness: TargetHarness, name: str) -> None:
        """Check that a run has ended at the runner when its result is known."""
        await harness.async_result(name, WITHIN_S)
        harness.runner.model.end_due_runs(clock.boot_s())
        self.assertEqual({}, harness.runner.model.running)

    async def test_run_that_began_at_a_restarted_runner_is_not_lost_with_its_predecessor(
        self,
    ) -> None:
        """The runner confirms the start before the agent notices the restart."""

        async def scenario(harness: TargetHarness) -> None:
            harness.runner.model.restart(clock.boot_s())
            harness.start(call("a", run_s=1.0))
            await self._async_check_ended(harness, "a#1")

        await self._async_run_scenario(scenario)

    async def test_start_that_was_fenced_is_not_carried_out_after_a_restart(self) -> None:
        """What the next process carries out must not be settled: the task would run elsewhere."""

        async def scenario(harness: TargetHarness) -> None:
            model = harness.runner.model
            harness.start(call("b", RUN_S))
            await trio.sleep(0.05)
            harness.runner.unanswered_starts, harness.runner.execution_delay_s = 1, 0.4
            harness.start(call("a", RUN_S))
            with trio.fail_after(0.35):
                while "a" not in model.running and "a#1" not in harness.results:
                    await trio.sleep(0.005)
            harness.runner.unanswered_holds = 100
            await trio.sleep(0.2)
            model.restart(clock.boot_s())
            carried_out = False
            until_s = clock.boot_s() + WITHIN_S
            while clock.boot_s() < until_s:
                await trio.sleep(0.005)
                model.end_due_runs(clock.boot_s())
                carried_out |= "a" in model.running
                settled = "a#1" in harness.results
                self.assertFalse(settled and "a" in model.running, harness.results)
            self.assertTrue(carried_out)

        await self._async_run_scenario(scenario)

    async def test_start_without_an_answer_is_not_carried_out_after_its_lease_and_a_restart(
        self,
    ) -> None:
        """The runner is silent until its lease has ended, and restarts before it is listed."""

        async def scenario(harness: TargetHarness) -> None:
            harness.runner.model.born_s -= UP_S
            harness.start(call("read"))
            await harness.async_result("read#1")
            harness.runner.unanswered_starts, harness.runner.execution_delay_s = 1, 1.5
            harness.start(call("a", RUN_S))
            await trio.sleep(0.02)
            harness.runner.silent = True
            with trio.move_on_after(1.2):
                await harness.async_result("a#1")
            harness.runner.model.restart(clock.boot_s())
            with trio.move_on_after(WITHIN_S):
                while not harness.runner.model.running:
                    await trio.sleep(0.005)
            self.assertNotIn("a#1", harness.results)

        await self._async_run_scenario(scenario)

    async def _async_check_lease(self, harness: TargetHarness) -> None:
        """Check that the agent knows when a new run's lease has certainly expired."""
        harness.start(call("a", RUN_S))
        while not harness.runner.model.running:
            await trio.sleep(0.0)
        known_until_s = harness.target._lease.expires_at_s
        self.assertLessEqual(harness.runner.model.lease_expires_at_s, known_until_s)

    async def test_lease_is_not_longer_than_known_after_a_slow_clock_was_not_read_for_a_while(
        self,
    ) -> None:
        async def scenario(harness: TargetHarness) -> None:
            harness.runner.model.rate = 1.0 - MAX_CLOCK_DRIFT
            harness.start(call("read"))
            await harness.async_result("read#1")
            await trio.sleep(IDLE_S)
            await self._async_check_lease(harness)

        await self._async_run_scenario(scenario)

    async def test_request_for_a_task_is_not_refused_while_another_run_of_it_goes_on(self) -> None:
        """Its entry would place the task elsewhere, beside the run of the other entry."""

        async def scenario(harness: TargetHarness) -> None:
            harness.start(call("a", run_s=0.4))
            await trio.sleep(0.05)
            harness.start(call("a", run=2))
            await trio.sleep(0.1)
            self.assertEqual({}, harness.results)
            await harness.async_result("a#1")
            await harness.async_result("a#2")

        await self._async_run_scenario(scenario)

    async def test_run_does_not_stay_unsettled_at_a_restarted_runner_that_fell_silent(self) -> None:
        """The restarted runner answers a single request, which shows the restart."""

        async def scenario(harness: TargetHarness) -> None:
            runner = harness.runner
            harness.start(call("a", RUN_S))
            await trio.sleep(0.05)
            runner.model.restart(clock.boot_s())
            async_hold = runner.async_hold
            born_ms = [runner.model.born_ms]

            async def async_hold_once(*args: Any) -> HoldOutcome:
                runner.silent = not born_ms
                born_ms.clear()
                return await async_hold(*args)

            runner.async_hold = async_hold_once  # type: ignore[method-assign]
            harness.announce()
            await harness.async_result("a#1", WITHIN_S)

        await self._async_run_scenario(scenario)

    async def test_start_is_not_sent_without_a_lease_while_none_may_be_granted(self) -> None:
        """The runner would refuse it as invalid, which fails the job."""

        async def scenario(harness: TargetHarness) -> None:
            overdue = call("overdue", RUN_S)
            harness.start(overdue)
            await trio.sleep(0.05)
            harness.runner.unanswered_stops, harness.runner.execution_delay_s = 100, RUN_S
            harness.target.stop(overdue)
            await trio.sleep(2 * STOP_CONFIRM_S)
            harness.target._lease.reset(clock.boot_s())
            harness.start(call("next"))
            self.assertEqual(FENCED, await harness.async_result("next#1"))

        await self._async_run_scenario(scenario)
