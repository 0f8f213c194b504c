"""Tests for LeasedTarget: runs end only by proof from their runner, whatever is announced."""

from collections.abc import Awaitable, Callable

import trio
from attrs import evolve

from pistachiohill import clock
from pistachiohill.agent.const import START_TIMEOUT_S
from pistachiohill.agent.models import (
    HoldOutcome,
    Lease,
    RunList,
    RunnerIdentity,
    TargetResult,
)
from pistachiohill.errors import Verdict

from ..base import TestCase
from .fakes import FakeRunner
from .test_leased_target import LOST, RAN, TargetHarness, call

READY_WITHIN_S = 0.1
END_SEEN_WITHIN_S = 0.05


class SilentAfterRestart(FakeRunner):
    """A runner, up for long, that falls silent once it has listed its runs after a restart."""

    def __init__(self, nursery: trio.Nursery) -> None:
        super().__init__(nursery)
        self.model.born_s -= 1000.0
        self.latest_born_ms = self.model.born_ms

    async def async_hold(
        self, runner: RunnerIdentity, lease: Lease, acked: int, wait_s: float, timeout_s: float
    ) -> HoldOutcome:
        outcome = await super().async_hold(runner, lease, acked, wait_s, timeout_s)
        if isinstance(outcome, RunList) and outcome.born_ms > self.latest_born_ms:
            self.latest_born_ms = outcome.born_ms
            self.silent = True
        return outcome


class RunnerIdentityTest(TestCase):
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

    async def _async_check_ignored(
        self, announced: Callable[[TargetHarness], RunnerIdentity]
    ) -> None:
        """Check that runs and starts go on after an announcement that nobody answers for."""

        async def scenario(harness: TargetHarness) -> None:
            harness.start(call("live", run_s=0.5))
            await trio.sleep(0.05)
            harness.announce(announced(harness))
            harness.start(call("next", run_s=0.05))
            self.assertEqual(RAN, await harness.async_result("next#1", 0.3))
            self.assertEqual(RAN, await harness.async_result("live#1", 1.0))
            self.assertTrue(harness.target.ready)

        await self._async_run_scenario(scenario)

    async def test_an_announcement_of_another_runner_does_not_end_live_runs(self) -> None:
        await self._async_check_ignored(
            lambda _harness: RunnerIdentity("i-9", "127.0.0.1:9", 10**15)
        )

    async def test_an_announcement_of_another_address_does_not_end_live_runs(self) -> None:
        await self._async_check_ignored(
            lambda harness: evolve(harness.runner.identity(), address="127.0.0.1:9")
        )

    async def test_an_announcement_of_another_id_at_the_address_does_not_end_live_runs(
        self,
    ) -> None:
        await self._async_check_ignored(
            lambda harness: evolve(harness.runner.identity(), runner_id="i-9")
        )

    async def test_an_announcement_of_a_later_birth_does_not_end_live_runs(self) -> None:
        await self._async_check_ignored(
            lambda harness: evolve(harness.runner.identity(), born_ms=10**15)
        )

    async def test_runs_go_on_at_a_runner_that_answers_at_another_address(self) -> None:
        async def scenario(harness: TargetHarness) -> None:
            harness.start(call("live", run_s=0.5))
            await trio.sleep(0.05)
            moved = FakeRunner(harness.nursery, address="127.0.0.1:2")
            moved.model = harness.runner.model
            harness.runner.others[moved.address] = moved
            harness.announce(moved.identity())
            await trio.sleep(0.05)
            harness.start(call("next"))
            self.assertEqual(RAN, await harness.async_result("next#1", 0.3))
            self.assertIn("start", moved.requests)
            self.assertEqual(RAN, await harness.async_result("live#1", 1.0))

        await self._async_run_scenario(scenario)

    async def test_live_runs_end_before_another_live_runner_is_used(self) -> None:
        async def scenario(harness: TargetHarness) -> None:
            harness.start(call("live", run_s=0.5))
            await trio.sleep(0.05)
            other = FakeRunner(harness.nursery, "i-2", "127.0.0.1:2")
            other.model.born_ms += 1
            harness.runner.others[other.address] = other
            harness.announce(other.identity())
            self.assertEqual(RAN, await harness.async_result("live#1", 1.0))
            await self._async_wait_until_ready(harness)
            harness.start(call("next"))
            self.assertEqual(RAN, await harness.async_result("next#1", 0.3))
            self.assertIn("start", other.requests)

        await self._async_run_scenario(scenario)

    async def _async_wait_until_ready(self, harness: TargetHarness) -> None:
        with trio.fail_after(READY_WITHIN_S):
            while not harness.target.ready:
                await trio.sleep(0.001)

    async def test_a_restarted_runner_is_ready_soon_after_its_first_announcement(self) -> None:
        async def scenario(harness: TargetHarness) -> None:
            harness.start(call("live", run_s=5.0))
            await trio.sleep(0.05)
            harness.runner.model.restart(clock.boot_s())
            harness.announce()
            self.assertEqual(LOST, await harness.async_result("live#1", READY_WITHIN_S))
            await self._async_wait_until_ready(harness)
            harness.start(call("live", run=2))
            self.assertEqual(RAN, await harness.async_result("live#2", 0.3))

        await self._async_run_scenario(scenario)

    async def test_a_new_runner_at_the_address_is_ready_soon_after_its_first_announcement(
        self,
    ) -> None:
        async def scenario(harness: TargetHarness) -> None:
            harness.start(call("live", run_s=5.0))
            await trio.sleep(0.05)
            harness.runner.model.restart(clock.boot_s())
            harness.runner.runner_id = "i-2"
            harness.announce()
            self.assertEqual(LOST, await harness.async_result("live#1", READY_WITHIN_S))
            await self._async_wait_until_ready(harness)
            harness.start(call("live", run=2))
            self.assertEqual(RAN, await harness.async_result("live#2", 0.3))

        await self._async_run_scenario(scenario)

    async def test_a_late_deregistration_does_not_end_live_runs(self) -> None:
        async def scenario(harness: TargetHarness) -> None:
            harness.start(call("live", run_s=0.5))
            await trio.sleep(0.05)
            harness.target.handle_shutdown()
            self.assertFalse(harness.target.ready)
            await trio.sleep(0.05)
            self.assertFalse(harness.target.ready)
            harness.announce()
            await self._async_wait_until_ready(harness)
            harness.start(call("next"))
            self.assertEqual(RAN, await harness.async_result("next#1", 0.3))
            self.assertEqual(RAN, await harness.async_result("live#1", 1.0))

        await self._async_run_scenario(scenario)

    async def test_a_late_start_that_a_restarted_runner_executes_is_not_taken_for_lost(
        self,
    ) -> None:
        async def scenario(harness: TargetHarness) -> None:
            harness.runner.unanswered_starts, harness.runner.execution_delay_s = 1, 0.05
            harness.start(call("a", run_s=0.4))
            await trio.sleep(0.01)
            self.assertNotIn("a", harness.runner.model.running)
            harness.runner.model.restart(clock.boot_s())
            with trio.fail_after(READY_WITHIN_S):
                while "a" not in harness.runner.model.running:
                    await trio.sleep(0.005)
            harness.announce()
            self.assertEqual(RAN, await harness.async_result("a#1", 1.0))
            self.assertEqual({}, harness.runner.model.running)

        await self._async_run_scenario(scenario)

    async def test_a_start_that_a_restarted_runner_has_confirmed_is_not_taken_for_lost(
        self,
    ) -> None:
        async def scenario(harness: TargetHarness) -> None:
            harness.runner.model.restart(clock.boot_s())
            harness.start(call("a", run_s=0.4))
            self.assertEqual(RAN, await harness.async_result("a#1", 1.0))
            self.assertEqual({}, harness.runner.model.running)

        await self._async_run_scenario(scenario)

    async def test_a_start_whose_response_comes_after_a_restart_is_not_taken_for_lost(
        self,
    ) -> None:
        async def scenario(harness: TargetHarness) -> None:
            harness.runner.model.restart(clock.boot_s())
            harness.runner.response_delay_s = 0.05
            harness.start(call("a", run_s=0.4))
            await trio.sleep(0.01)
            harness.announce()
            self.assertEqual(RAN, await harness.async_result("a#1", 1.0))
            self.assertEqual({}, harness.runner.model.running)

        await self._async_run_scenario(scenario)

    async def test_a_late_start_has_no_effect_once_a_restarted_runner_has_been_listed(self) -> None:
        async def scenario(harness: TargetHarness) -> None:
            harness.runner.unanswered_starts, harness.runner.execution_delay_s = 1, 0.3
            harness.start(call("a", run_s=0.4))
            await trio.sleep(0.01)
            harness.runner.model.restart(clock.boot_s())
            harness.announce()
            within_s = READY_WITHIN_S + START_TIMEOUT_S + 0.4 + END_SEEN_WITHIN_S
            self.assertEqual(RAN, await harness.async_result("a#1", within_s))
            await trio.sleep(0.4)
            self.assertEqual({}, harness.runner.model.running)
            runs = [(run.task, run.run, run.outcome) for run in harness.runner.model.history]
            self.assertEqual([("a", 1, "done")], runs)

        await self._async_run_scenario(scenario)

    async def test_a_start_at_a_restarted_runner_outlasts_the_lease_of_the_previous_incarnation(
        self,
    ) -> None:
        async def scenario(harness: TargetHarness) -> None:
            harness.runner.unanswered_starts, harness.runner.execution_delay_s = 1, 1.4
            harness.start(call("a", run_s=0.4))
            await trio.sleep(0.01)
            harness.runner.model.restart(clock.boot_s())
            harness.announce()
            await trio.sleep(1.3)
            self.assertTrue(harness.runner.silent)
            self.assertNotIn("a#1", harness.results)
            await trio.sleep(0.15)
            self.assertIn("a", harness.runner.model.running)
            harness.runner.silent = False
            self.assertEqual(RAN, await harness.async_result("a#1", 1.0))

        await self._async_run_scenario(scenario, SilentAfterRestart)

    async def test_a_second_request_for_a_run_in_progress_is_refused(self) -> None:
        async def scenario(harness: TargetHarness) -> None:
            harness.start(call("a", run_s=0.4))
            await trio.sleep(0.05)
            again = call("a", run_s=0.4)
            refused: TargetResult = await harness.target.async_call("", again)
            self.assertEqual(Verdict.NOT_RUN, refused.verdict)
            harness.target.stop(again)
            self.assertEqual(RAN, await harness.async_result("a#1", 1.0))

        await self._async_run_scenario(scenario)
