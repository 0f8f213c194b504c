"""Requests that the runner's next incarnation executes before the agent knows of it."""

from collections.abc import Awaitable, Callable

import trio

from pistachiohill import clock
from pistachiohill.agent.models import (
    HoldOutcome,
    Lease,
    NoAnswer,
    RunnerIdentity,
    StartOutcome,
    TargetCall,
)

from ..base import TestCase
from .fakes import FakeRunner
from .test_leased_target import RAN, TargetHarness, call

UPTIME_S = 1000.0
EARLIER_RUNS = 3
IDLE_S = 0.4  # longer than a request in progress


class CutOffAfterStart(FakeRunner):
    """A runner, up for long, that is cut off once it has confirmed a start."""

    def __init__(self, nursery: trio.Nursery) -> None:
        super().__init__(nursery)
        self.model.born_s -= UPTIME_S

    async def async_start(
        self, runner: RunnerIdentity, call: TargetCall, lease: Lease, timeout_s: float
    ) -> StartOutcome:
        outcome = await super().async_start(runner, call, lease, timeout_s)
        self.silent = True
        return outcome

    async def async_hold(
        self, runner: RunnerIdentity, lease: Lease, acked: int, wait_s: float, timeout_s: float
    ) -> HoldOutcome:
        outcome = await super().async_hold(runner, lease, acked, wait_s, timeout_s)
        return NoAnswer("cut off while the response was awaited") if self.silent else outcome


class UnnoticedRestartTest(TestCase):
    async def _async_run_scenario(
        self,
        scenario: Callable[[TargetHarness], Awaitable[None]],
        runner_class: type[FakeRunner] = FakeRunner,
    ) -> None:
        async with trio.open_nursery() as nursery:
            harness = TargetHarness(nursery, runner_class)
            nursery.start_soon(harness.target.async_run)
            await harness.async_wait_ready()
            await scenario(harness)
            nursery.cancel_scope.cancel()

    async def _async_end_earlier_runs(self, harness: TargetHarness) -> None:
        for number in range(EARLIER_RUNS):
            harness.start(call(f"earlier-{number}"))
            self.assertEqual(RAN, await harness.async_result(f"earlier-{number}#1"))
        with trio.fail_after(1.0):
            while harness.runner.model.ack_cursor < EARLIER_RUNS:
                await trio.sleep(0.005)
        await trio.sleep(IDLE_S)

    async def test_run_at_an_unnoticed_incarnation_is_not_lost_before_its_lease_has_ended(
        self,
    ) -> None:
        async def scenario(harness: TargetHarness) -> None:
            model = harness.runner.model
            model.restart(clock.boot_s())
            harness.start(call("a", run_s=5.0))
            await harness.async_result("a#1")
            model.end_due_runs(clock.boot_s())
            self.assertEqual({}, model.running)

        await self._async_run_scenario(scenario, CutOffAfterStart)

    async def test_end_at_an_unnoticed_incarnation_is_not_acknowledged_before_it_was_listed(
        self,
    ) -> None:
        async def scenario(harness: TargetHarness) -> None:
            await self._async_end_earlier_runs(harness)
            harness.runner.model.restart(clock.boot_s())
            harness.start(call("a"))
            self.assertEqual(RAN, await harness.async_result("a#1"))

        await self._async_run_scenario(scenario)
