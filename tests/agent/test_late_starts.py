"""A start without an answer is not reported as not run while the runner may still execute it."""

from collections.abc import Callable
from unittest import mock

import trio
from attrs import define

from pistachiohill import clock
from pistachiohill.agent import leased_target
from pistachiohill.agent.models import (
    Lease,
    NotStarted,
    RunnerIdentity,
    RunPermission,
    StartOutcome,
    StartRefusal,
    TargetCall,
    TargetResult,
)
from pistachiohill.errors import RefusalReason, Verdict

from ..base import TestCase
from .fakes import FakeRunner
from .test_leased_target import RAN, TargetHarness, call

LATE_S = 0.8  # for how long a start may come late, in place of the platform's time
NEVER_S = 100.0
LONG_S = 5.0


@define
class Refusal:
    """Why a run must not start, which may change."""

    reason: RefusalReason | None = None

    def permission(self) -> RunPermission:
        return RunPermission(lambda _now_s: self.reason, lambda: clock.boot_s() + 1.0)


class RefusingRunner(FakeRunner):
    """A runner that refuses what arrives after an unanswered start."""

    refusal: StartRefusal | None = None

    async def async_start(
        self, runner: RunnerIdentity, call: TargetCall, lease: Lease, timeout_s: float
    ) -> StartOutcome:
        if self.refusal is not None and not self.unanswered_starts:
            await trio.lowlevel.checkpoint()
            return NotStarted(self.refusal)
        return await super().async_start(runner, call, lease, timeout_s)


class LateStartTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        patch = mock.patch.object(leased_target, "LATE_START_S", LATE_S)
        patch.start()
        self.addCleanup(patch.stop)

    async def _async_play(
        self,
        reason: RefusalReason | None = None,
        meddle: Callable[[RefusingRunner], None] | None = None,
    ) -> TargetResult:
        """Start a run whose first start stays unanswered, and return its result, in time."""
        async with trio.open_nursery() as nursery:
            harness = TargetHarness(nursery, RefusingRunner)
            refusal = Refusal()
            nursery.start_soon(harness.target.async_run)
            await harness.async_wait_ready()
            harness.runner.unanswered_starts, harness.runner.execution_delay_s = 1, NEVER_S
            harness.start(call("a", LONG_S), refusal.permission())
            await trio.sleep(0.02)
            refusal.reason = reason
            if meddle is not None:
                assert isinstance(harness.runner, RefusingRunner)
                meddle(harness.runner)
            with trio.move_on_after(LATE_S - 0.1):
                await harness.async_result("a#1")
            self.assertEqual({}, harness.results)
            result = await harness.async_result("a#1", 1.0)
            nursery.cancel_scope.cancel()
        return result

    async def test_run_that_may_not_be_started_again_is_not_run_only_when_no_start_can_come(
        self,
    ) -> None:
        for reason in (
            RefusalReason.DOMAIN_OUT,
            RefusalReason.LEAVING,
            RefusalReason.DEADLINE,
            RefusalReason.LEASE_ENDED,
            RefusalReason.STALE_VIEW,
            RefusalReason.CANCELLED,
        ):
            result = await self._async_play(reason)
            self.assertEqual(TargetResult(Verdict.NOT_RUN, reason), result)

    async def test_run_that_the_runner_refuses_later_is_not_run_only_when_no_start_can_come(
        self,
    ) -> None:
        for refusal in (StartRefusal.NO_CAPACITY, StartRefusal.UNHEALTHY, StartRefusal.INVALID):

            def refuse(runner: RefusingRunner, refusal: StartRefusal = refusal) -> None:
                runner.refusal = refusal

            result = await self._async_play(meddle=refuse)
            self.assertEqual(Verdict.NOT_RUN, result.verdict)

    async def _async_restart(self, refusal: Refusal, stop: bool) -> None:
        """Let the next process execute the start; it must not be settled while that one runs."""
        async with trio.open_nursery() as nursery:
            harness = TargetHarness(nursery)
            model = harness.runner.model
            nursery.start_soon(harness.target.async_run)
            await harness.async_wait_ready()
            harness.runner.unanswered_starts, harness.runner.execution_delay_s = 1, 0.4
            task = call("a", LONG_S if stop else 0.3)
            permitted = Refusal()
            harness.start(task, permitted.permission())
            await trio.sleep(0.02)
            permitted.reason = refusal.reason
            if stop:
                harness.target.stop(task)
            await trio.sleep(0.2)
            harness.runner.silent = True
            model.restart(clock.boot_s())
            with trio.fail_after(1.0):
                while not model.running:
                    self.assertEqual({}, harness.results)
                    await trio.sleep(0.005)
            harness.runner.silent = False
            await harness.async_result("a#1", 1.0)
            model.end_due_runs(clock.boot_s())
            self.assertEqual({}, model.running)
            self.assertEqual("stopped" if stop else "done", model.history[-1].outcome)
            nursery.cancel_scope.cancel()

    async def test_run_that_the_next_process_executes_is_reported_when_it_has_ended(self) -> None:
        await self._async_restart(Refusal(RefusalReason.DOMAIN_OUT), stop=False)

    async def test_cancelled_run_that_the_next_process_executes_is_stopped(self) -> None:
        await self._async_restart(Refusal(RefusalReason.CANCELLED), stop=True)

    async def test_run_is_sent_again_once_it_may_start(self) -> None:
        async with trio.open_nursery() as nursery:
            harness = TargetHarness(nursery)
            refusal = Refusal()
            nursery.start_soon(harness.target.async_run)
            await harness.async_wait_ready()
            harness.runner.unanswered_starts, harness.runner.execution_delay_s = 1, NEVER_S
            harness.start(call("a"), refusal.permission())
            await trio.sleep(0.02)
            refusal.reason = RefusalReason.STALE_VIEW
            await trio.sleep(0.2)
            refusal.reason = None
            self.assertEqual(RAN, await harness.async_result("a#1", LATE_S / 2))
            nursery.cancel_scope.cancel()

    async def test_run_at_a_stopping_agent_is_sent_again(self) -> None:
        """Its runner may start it in any case, and the agent waits for it."""
        async with trio.open_nursery() as nursery:
            harness = TargetHarness(nursery)
            refusal = Refusal()
            nursery.start_soon(harness.target.async_run)
            await harness.async_wait_ready()
            harness.runner.unanswered_starts, harness.runner.execution_delay_s = 1, NEVER_S
            harness.start(call("a"), refusal.permission())
            await trio.sleep(0.02)
            refusal.reason = RefusalReason.STOPPING
            self.assertEqual(RAN, await harness.async_result("a#1", LATE_S / 2))
            nursery.cancel_scope.cancel()

    async def test_run_that_failed_after_an_unanswered_start_is_reported_when_none_can_come(
        self,
    ) -> None:
        def fail(runner: RefusingRunner) -> None:
            runner.model.fail_runs = 1

        result = await self._async_play(meddle=fail)
        self.assertEqual(TargetResult(Verdict.RAN, RefusalReason.TARGET_FAILED), result)

    async def test_runs_beside_a_withheld_one_go_on(self) -> None:
        async with trio.open_nursery() as nursery:
            harness = TargetHarness(nursery)
            refusal = Refusal()
            nursery.start_soon(harness.target.async_run)
            await harness.async_wait_ready()
            harness.start(call("b", run_s=1.5))
            await trio.sleep(0.05)
            harness.runner.unanswered_starts, harness.runner.execution_delay_s = 1, NEVER_S
            task = call("a", LONG_S)
            harness.start(task, refusal.permission())
            await trio.sleep(0.02)
            refusal.reason = RefusalReason.CANCELLED
            harness.target.stop(task)
            stops = harness.runner.requests.count("stop")
            self.assertEqual(RAN, await harness.async_result("b#1", 2.0))
            self.assertLess(harness.runner.requests.count("stop") - stops, 10)
            nursery.cancel_scope.cancel()

    async def _async_wait_running(self, harness: TargetHarness, within_s: float) -> None:
        with trio.fail_after(within_s):
            while not harness.runner.model.running:
                await trio.sleep(0.005)

    async def _async_restart_after_two_starts(
        self, nursery: trio.Nursery, run_s: float, late_s: float
    ) -> TargetHarness:
        """Restart a runner to which a start was sent twice; the first may come after `late_s`."""
        harness = TargetHarness(nursery)
        harness.runner.model.born_s -= LONG_S  # its lease is far ahead on the clock of the next
        nursery.start_soon(harness.target.async_run)
        await harness.async_wait_ready()
        harness.runner.unanswered_starts, harness.runner.execution_delay_s = 1, late_s
        harness.start(call("a", run_s))
        await self._async_wait_running(harness, 0.3)
        harness.runner.model.restart(clock.boot_s())
        harness.announce()
        return harness

    async def test_run_of_a_restarted_runner_is_not_lost_while_its_next_process_may_start_it(
        self,
    ) -> None:
        """Guards against a list of one process being taken for word of the one after it."""
        async with trio.open_nursery() as nursery:
            harness = await self._async_restart_after_two_starts(nursery, LONG_S, late_s=0.6)
            await trio.sleep(0.1)
            harness.runner.model.restart(clock.boot_s())
            harness.runner.silent = True
            await self._async_wait_running(harness, 1.0)
            self.assertEqual({}, harness.results)
            harness.runner.silent = False
            await trio.sleep(0.3)
            self.assertEqual({}, harness.results)
            nursery.cancel_scope.cancel()

    async def test_run_of_a_restarted_runner_is_started_again_there_while_a_start_may_come(
        self,
    ) -> None:
        async with trio.open_nursery() as nursery:
            harness = await self._async_restart_after_two_starts(nursery, 0.3, late_s=NEVER_S)
            self.assertEqual(RAN, await harness.async_result("a#1", LATE_S / 2 + 0.1))
            nursery.cancel_scope.cancel()
