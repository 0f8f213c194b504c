"""Stops of single placements, which their entry places elsewhere."""

import trio
import trio.testing
from attrs import evolve

from pistachiohill import clock
from pistachiohill.agent.const import LEASE_S, STOP_CONFIRM_S
from pistachiohill.agent.models import TargetState
from pistachiohill.errors import RefusalReason, Verdict
from pistachiohill.protocol.models import AgentState, StopTask
from pistachiohill.settings.models import AgentSettings

from ..base import TestCase
from .test_leased_target import RAN, TargetHarness, call
from .test_runner import SUBMISSION_ID, open_runner, start_message


class StopTaskTest(TestCase):
    async def test_only_the_named_placement_is_stopped_however_often_it_is_asked_for(self) -> None:
        async with open_runner() as (runner, target, link):
            now_s = clock.boot_s()
            runner.start_tasks(link, start_message(now_s), now_s)  # type: ignore[arg-type]
            await trio.testing.wait_all_tasks_blocked()
            for submission_id, index, attempt in (
                ("unknown", 0, 1),
                (SUBMISSION_ID, 0, 2),
                (SUBMISSION_ID, 1, 1),
                (SUBMISSION_ID, 1, 1),
            ):
                runner.stop_task(StopTask(submission_id, index, attempt), now_s)
                await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(1, runner.occupied)
            await trio.sleep(1.5 * AgentSettings().report_interval_s)
            self.assertEqual([(1, Verdict.RAN, RefusalReason.MOVED)], link.reports())

    async def test_a_placement_that_waits_is_withdrawn_without_a_run(self) -> None:
        async with open_runner() as (runner, target, link):
            now_s = clock.boot_s()
            runner.target = evolve(runner.target, cpu_m=1000)
            runner.start_tasks(link, start_message(now_s), now_s)  # type: ignore[arg-type]
            await trio.testing.wait_all_tasks_blocked()
            runner.stop_task(StopTask(SUBMISSION_ID, 1, 1), now_s)
            await trio.testing.wait_all_tasks_blocked()
            self.assertEqual(1, len(target.called))
            self.assertEqual(1, runner.occupied)

    async def test_a_stop_that_is_not_carried_out_does_not_end_the_other_runs(self) -> None:
        async with trio.open_nursery() as nursery:
            harness = TargetHarness(nursery)
            nursery.start_soon(harness.target.async_run)
            await harness.async_wait_ready()
            run_s = 2.0 * (STOP_CONFIRM_S + LEASE_S)
            slow, other = call("slow", run_s), call("other", run_s)
            for target_call in (slow, other):
                harness.start(target_call)
            await trio.sleep(0.05)
            harness.runner.unanswered_stops, harness.runner.execution_delay_s = 1000, 60.0
            harness.target.stop(slow, must_end=False)
            self.assertEqual(RAN, await harness.async_result("other#1"))
            self.assertEqual(RAN, await harness.async_result("slow#1"), "its end counts")
            nursery.cancel_scope.cancel()

    async def test_the_state_tells_how_long_a_leaving_target_stays(self) -> None:
        async with open_runner() as (runner, _, link):
            now_s = clock.boot_s()
            states: list[AgentState] = []
            for leaving, leaves_in_s in ((False, 1.5), (True, 1.5), (True, -0.5)):
                until_s = now_s + 60.0
                runner.target = TargetState("s", "", 4, 4, leaving, until_s, now_s + leaves_in_s)
                states.append(runner.state_for(link, now_s))  # type: ignore[arg-type]
            expected = [-1.0, 1.5, 0.0]
            for state, seconds in zip(states, expected, strict=True):
                self.assertAlmostEqual(seconds, state.leaves_in_s)
            self.assertEqual({1.0}, {state.load.slowdown for state in states}, "not asked for")
