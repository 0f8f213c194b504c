"""A runner whose clock stood still: what its agent takes for ended has ended."""

import math
import time
from unittest import mock

import trio

from pistachiohill import clock
from pistachiohill.agent import leased_target
from pistachiohill.agent.const import LEASE_S, MAX_LEASE_S
from pistachiohill.agent.models import UNRESTRICTED, RunPermission
from pistachiohill.errors import RefusalReason
from standins.runner_model import RunnerModel

from ..base import TestCase
from .test_leased_target import LOST, TargetHarness, call

STOOD_STILL_S = 1.5
LATE_S = 0.8  # for how long a start may come late, in place of the platform's time


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

    async def test_suspension_does_not_count_for_the_time_in_which_a_start_may_come(self) -> None:
        """Guards against two runs: a start that arrives on a suspended machine comes after it."""
        refused = RunPermission(lambda _now_s: RefusalReason.DEADLINE, lambda: math.inf)
        permissions = [UNRESTRICTED, refused]
        permission = RunPermission(
            lambda now_s: permissions[0].start_refusal(now_s), lambda: math.inf
        )
        with mock.patch.object(leased_target, "LATE_START_S", LATE_S):
            async with trio.open_nursery() as nursery:
                harness = TargetHarness(nursery)
                nursery.start_soon(harness.target.async_run)
                await harness.async_wait_ready()
                harness.runner.unanswered_starts, harness.runner.execution_delay_s = 1, 100.0
                harness.start(call("a"), permission)
                await trio.sleep(0.02)
                del permissions[0]
                await trio.sleep(0.2)
                time.sleep(STOOD_STILL_S)  # no task of this process runs, as on a suspended machine
                await trio.sleep(LATE_S - 0.4)
                self.assertEqual({}, harness.results)
                await harness.async_result("a#1", 1.0)
                nursery.cancel_scope.cancel()
