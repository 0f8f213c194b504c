"""Tests for LeasedTarget: runs end as the runner reports, and no task has two runs at a time."""

from collections.abc import Awaitable, Callable

import trio
from attrs import evolve

from pistachiohill import clock
from pistachiohill.agent.const import (
    CLOCK_REFRESH_S,
    LEASE_CHECK_INTERVAL_S,
    LEASE_S,
    MAX_CLOCK_DRIFT,
    MAX_STARTS_SENT,
)
from pistachiohill.agent.fencing import initial_token
from pistachiohill.agent.late_start_notices import LateStartNotices
from pistachiohill.agent.leased_target import LeasedTarget
from pistachiohill.agent.models import (
    UNRESTRICTED,
    RunnerIdentity,
    RunPermission,
    TargetCall,
    TargetResult,
)
from pistachiohill.errors import RefusalReason, Verdict
from standins.runner_model import find_overlapping_runs

from ..base import TestCase
from .fakes import FakeRunner

RAN = TargetResult(Verdict.RAN, None)
LOST = TargetResult(Verdict.RAN, RefusalReason.TARGET_LOST)
FENCED = TargetResult(Verdict.NOT_RUN, RefusalReason.FENCED)


def call(task: str, run_s: float = 0.05, run: int = 1) -> TargetCall:
    return TargetCall(task, run, "m", "j", str(run_s).encode(), 10.0, False)


class TargetHarness:
    """A target with its fake runner, and the results of background calls."""

    def __init__(
        self,
        nursery: trio.Nursery,
        runner_class: type[FakeRunner] = FakeRunner,
        notices: LateStartNotices | None = None,
    ) -> None:
        self.nursery = nursery
        self.runner = runner_class(nursery)
        self.target = LeasedTarget(self.runner, clock.wall_s(), notices)
        self.results: dict[str, TargetResult] = {}
        nursery.start_soon(self._async_watch)

    async def _async_watch(self) -> None:
        while True:
            self.target.watch()
            await trio.sleep(LEASE_CHECK_INTERVAL_S)

    async def async_wait_ready(self) -> None:
        self.announce()
        while not self.target.ready:
            await trio.sleep(0.005)

    def announce(self, identity: RunnerIdentity | None = None) -> None:
        self.target.handle_announcement(identity or self.runner.identity(), clock.boot_s())

    def start(self, target_call: TargetCall, permission: RunPermission = UNRESTRICTED) -> None:
        async def async_call() -> None:
            result = await self.target.async_call("", target_call, permission)
            self.results[f"{target_call.task_id}#{target_call.run}"] = result

        self.nursery.start_soon(async_call)

    async def async_result(self, name: str, within_s: float = 3.0) -> TargetResult:
        with trio.fail_after(within_s):
            while name not in self.results:
                await trio.sleep(0.005)
        return self.results[name]


class LeasedTargetTest(TestCase):
    async def _async_run_scenario(
        self, scenario: Callable[[TargetHarness], Awaitable[None]]
    ) -> None:
        async with trio.open_nursery() as nursery:
            harness = TargetHarness(nursery)
            nursery.start_soon(harness.target.async_run)
            await harness.async_wait_ready()
            await scenario(harness)
            harness.runner.model.end_due_runs(clock.boot_s() + 10.0)
            self.assertEqual([], find_overlapping_runs([harness.runner.model.history]))
            nursery.cancel_scope.cancel()

    async def test_runs_end_as_listed_and_are_acknowledged(self) -> None:
        async def scenario(harness: TargetHarness) -> None:
            harness.start(call("a"))
            harness.runner.model.fail_runs = 0
            self.assertEqual(RAN, await harness.async_result("a#1"))
            harness.runner.model.fail_runs = 1
            harness.start(call("b"))
            failed = TargetResult(Verdict.RAN, RefusalReason.TARGET_FAILED)
            self.assertEqual(failed, await harness.async_result("b#1"))
            with trio.fail_after(1.0):
                while harness.runner.model.ack_cursor < 2:
                    await trio.sleep(0.005)

        await self._async_run_scenario(scenario)

    async def test_the_lease_is_extended_for_as_long_as_a_run_takes(self) -> None:
        async def scenario(harness: TargetHarness) -> None:
            harness.start(call("long", run_s=2.5))
            self.assertEqual(RAN, await harness.async_result("long#1", 4.0))

        await self._async_run_scenario(scenario)

    async def test_lost_responses_delay_the_ends_of_runs_by_less_than_their_slack(self) -> None:
        """One response in five is lost; callers allow 60 ms beyond the run time."""
        run_s, count, slack_s = 0.05, 40, 0.06

        async def scenario(harness: TargetHarness) -> None:
            harness.runner.lost_hold_interval = 5
            started_s = clock.boot_s()
            for number in range(count):
                harness.start(call(f"t{number}", run_s=run_s))
                self.assertEqual(RAN, await harness.async_result(f"t{number}#1"))
            mean_s = (clock.boot_s() - started_s) / count
            self.assertLess(mean_s, run_s + slack_s)

        await self._async_run_scenario(scenario)

    async def test_task_whose_start_is_lost_ends_in_time(self) -> None:
        """A task of 0.12 s has 1.6 times its run time and 60 ms more."""
        run_s = 0.12
        limit_s = 1.6 * run_s + 0.06

        async def scenario(harness: TargetHarness) -> None:
            harness.runner.unanswered_starts, harness.runner.execution_delay_s = 1, 100.0
            started_s = clock.boot_s()
            harness.start(call("a", run_s=run_s))
            self.assertEqual(RAN, await harness.async_result("a#1", 1.0))
            self.assertLess(clock.boot_s() - started_s, limit_s)

        await self._async_run_scenario(scenario)

    async def test_a_list_that_was_overtaken_by_a_newer_one_is_ignored(self) -> None:
        async def scenario(harness: TargetHarness) -> None:
            harness.start(call("a", run_s=0.2))
            await trio.sleep(0.1)
            older = harness.runner._run_list()
            self.assertEqual(RAN, await harness.async_result("a#1"))
            await trio.sleep(0.05)
            now_s = clock.boot_s()
            harness.target._apply_run_list(older, harness.target._token, now_s - 0.2, now_s)
            self.assertTrue(harness.target.ready)

        await self._async_run_scenario(scenario)

    async def test_a_list_of_the_same_millisecond_does_not_bring_back_an_ended_run(self) -> None:
        """Responses may overtake each other, and the runner's clock tells milliseconds."""

        async def scenario(harness: TargetHarness) -> None:
            harness.start(call("a", run_s=0.2))
            await trio.sleep(0.1)
            older = harness.runner._run_list()
            self.assertEqual(RAN, await harness.async_result("a#1"))
            await trio.sleep(0.05)
            target, now_s = harness.target, clock.boot_s()
            older = evolve(older, clock_s=target._newest_list_clock_s)
            target._apply_run_list(older, target._token, now_s - 0.2, now_s)
            self.assertTrue(target.ready)
            later = evolve(older, clock_s=older.clock_s + 0.01)
            target._apply_run_list(later, target._token, now_s, now_s)
            self.assertFalse(target.ready)

        await self._async_run_scenario(scenario)

    async def test_a_slow_clock_of_the_runner_does_not_end_its_runs(self) -> None:
        async def scenario(harness: TargetHarness) -> None:
            harness.runner.model.rate = 1.0 - MAX_CLOCK_DRIFT
            harness.announce()
            harness.start(call("long", run_s=1.5))
            self.assertEqual(RAN, await harness.async_result("long#1", 4.0))

        await self._async_run_scenario(scenario)

    async def test_announcements_keep_the_lease_of_an_idle_runner_long(self) -> None:
        """An old reading of a clock that may drift makes a lease shorter."""

        async def scenario(harness: TargetHarness) -> None:
            await trio.sleep(2 * CLOCK_REFRESH_S)
            harness.announce()
            await trio.sleep(0.05)
            self.assertLess(harness.target._lease.clock_age_s(clock.boot_s()), CLOCK_REFRESH_S)
            requests = len(harness.runner.requests)
            harness.announce()
            await trio.sleep(0.05)
            self.assertEqual(requests, len(harness.runner.requests))

        await self._async_run_scenario(scenario)

    async def test_an_unanswered_start_that_never_arrives_is_sent_again(self) -> None:
        async def scenario(harness: TargetHarness) -> None:
            harness.runner.unanswered_starts, harness.runner.execution_delay_s = 3, 100.0
            harness.start(call("a"))
            self.assertEqual(RAN, await harness.async_result("a#1", 1.0))
            harness.start(call("a", run=2))
            self.assertEqual(RAN, await harness.async_result("a#2"))

        await self._async_run_scenario(scenario)

    async def test_task_of_a_runner_that_answers_no_start_stays_there(self) -> None:
        """The next process may execute any of the starts, so the task must not run elsewhere."""

        async def scenario(harness: TargetHarness) -> None:
            harness.runner.unanswered_starts, harness.runner.execution_delay_s = 100, 100.0
            harness.start(call("a"))
            await trio.sleep(1.5)
            self.assertEqual({}, harness.results)
            self.assertGreater(harness.runner.requests.count("start"), MAX_STARTS_SENT)
            harness.runner.unanswered_starts = 0
            self.assertEqual(RAN, await harness.async_result("a#1", 0.5))
            harness.start(call("a", run=2))
            self.assertEqual(RAN, await harness.async_result("a#2"))

        await self._async_run_scenario(scenario)

    async def test_an_unanswered_start_executed_later_has_no_effect(self) -> None:
        """A start executed late, while or after the task runs, must be fenced."""

        async def scenario(harness: TargetHarness) -> None:
            for delay_s, task in ((0.3, "a"), (0.9, "b")):
                harness.runner.unanswered_starts = 1
                harness.runner.execution_delay_s = delay_s
                harness.start(call(task, run_s=0.6))
                self.assertEqual(RAN, await harness.async_result(f"{task}#1", 1.0))
                await trio.sleep(0.4)
            names = [(run.task, run.run) for run in harness.runner.model.history]
            self.assertEqual([("a", 1), ("b", 1)], names)
            self.assertEqual({}, harness.runner.model.running)

        await self._async_run_scenario(scenario)

    async def test_an_unanswered_start_that_was_executed_is_monitored(self) -> None:
        async def scenario(harness: TargetHarness) -> None:
            harness.runner.unanswered_starts, harness.runner.execution_delay_s = 1, 0.0
            harness.start(call("a", run_s=0.5))
            self.assertEqual(RAN, await harness.async_result("a#1"))

        await self._async_run_scenario(scenario)

    async def test_other_starts_survive_a_raised_token(self) -> None:
        async def scenario(harness: TargetHarness) -> None:
            harness.start(call("b", run_s=0.8))
            await trio.sleep(0.05)
            harness.runner.unanswered_starts, harness.runner.execution_delay_s = 1, 100.0
            harness.start(call("a"))
            self.assertEqual(RAN, await harness.async_result("a#1"))
            self.assertEqual(RAN, await harness.async_result("b#1"))

        await self._async_run_scenario(scenario)

    async def test_lost_holds_do_not_end_runs(self) -> None:
        async def scenario(harness: TargetHarness) -> None:
            harness.start(call("a", run_s=1.5))
            await trio.sleep(0.1)
            harness.runner.unanswered_holds = 1
            self.assertEqual(RAN, await harness.async_result("a#1"))

        await self._async_run_scenario(scenario)

    async def test_a_lost_acknowledgement_does_not_block_later_starts(self) -> None:
        async def scenario(harness: TargetHarness) -> None:
            harness.start(call("a", run_s=0.1))
            await trio.sleep(0.05)
            self.assertEqual(RAN, await harness.async_result("a#1"))
            harness.runner.unanswered_holds = 1
            await trio.sleep(0.4)
            harness.start(call("b"))
            self.assertEqual(RAN, await harness.async_result("b#1", 1.0))

        await self._async_run_scenario(scenario)

    async def test_runs_of_a_silent_runner_are_lost_only_when_their_lease_has_ended(self) -> None:
        async def scenario(harness: TargetHarness) -> None:
            harness.start(call("a", run_s=5.0))
            await trio.sleep(0.1)
            harness.runner.silent = True
            silent_at_s = clock.boot_s()
            self.assertEqual(LOST, await harness.async_result("a#1"))
            now_s = clock.boot_s()
            harness.runner.model.end_due_runs(now_s)
            (past,) = harness.runner.model.history
            self.assertLessEqual(past.ended_at_s, now_s)
            self.assertLess(now_s - silent_at_s, 2 * LEASE_S)
            self.assertFalse(harness.target.ready)
            refused = await harness.target.async_call("", call("b"))
            self.assertEqual(Verdict.NOT_RUN, refused.verdict)
            harness.runner.silent = False
            with trio.fail_after(1.0):
                while not harness.target.ready:
                    await trio.sleep(0.005)

        await self._async_run_scenario(scenario)

    async def test_a_restarted_runner_has_lost_its_runs(self) -> None:
        async def scenario(harness: TargetHarness) -> None:
            harness.start(call("a", run_s=5.0))
            await trio.sleep(0.1)
            harness.runner.model.restart(clock.boot_s())
            self.assertEqual(LOST, await harness.async_result("a#1", 1.0))
            with trio.fail_after(1.0):
                while not harness.target.ready:
                    await trio.sleep(0.005)
            harness.start(call("a", run=2))
            self.assertEqual(RAN, await harness.async_result("a#2"))

        await self._async_run_scenario(scenario)

    async def test_a_late_announcement_of_an_earlier_incarnation_is_ignored(self) -> None:
        async def scenario(harness: TargetHarness) -> None:
            before = harness.runner.identity()
            harness.runner.model.restart(clock.boot_s())
            harness.announce()
            await harness.async_wait_ready()
            harness.start(call("a", run_s=0.3))
            await trio.sleep(0.05)
            harness.announce(before)
            self.assertEqual(RAN, await harness.async_result("a#1"))

        await self._async_run_scenario(scenario)

    async def test_a_stopped_run_is_answered_when_it_has_ended(self) -> None:
        async def scenario(harness: TargetHarness) -> None:
            target_call = call("a", run_s=5.0)
            harness.start(target_call)
            await trio.sleep(0.05)
            harness.target.stop(target_call)
            stopped = TargetResult(Verdict.RAN, RefusalReason.CANCELLED)
            self.assertEqual(stopped, await harness.async_result("a#1", 1.0))
            self.assertEqual({}, harness.runner.model.running)

        await self._async_run_scenario(scenario)

    async def test_a_new_agent_stops_foreign_runs_before_starting_any(self) -> None:
        async with trio.open_nursery() as nursery:
            harness = TargetHarness(nursery)
            model = harness.runner.model
            now_s = clock.boot_s()
            deadline_ms = model.clock_ms(now_s) + 1000
            token = initial_token(clock.wall_s()) + 10**12
            self.assertEqual("ok", model.start("old", 1, 5.0, deadline_ms, token, now_s))
            nursery.start_soon(harness.target.async_run)
            harness.announce()
            await harness.async_wait_ready()
            model.end_due_runs(clock.boot_s())
            self.assertEqual({}, model.running)
            self.assertEqual("stopped", model.history[0].outcome)
            self.assertGreater(model.token, token)
            harness.start(call("old", run=2))
            self.assertEqual(RAN, await harness.async_result("old#2"))
            nursery.cancel_scope.cancel()

    def test_initial_tokens_differ(self) -> None:
        tokens = {initial_token(1000.0) for _ in range(20)}
        self.assertGreater(len(tokens), 10)
        self.assertGreater(initial_token(1000.1), initial_token(1000.0))
