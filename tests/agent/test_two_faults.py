"""Runs that must end do so before a caller sends its job again, with two faults at once.

Each test plays an agent with its runner in real time, for an entry that is lost at its last echo.
"""

import math
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import trio
from attrs import define, field

from pistachiohill import clock
from pistachiohill.agent import const
from pistachiohill.agent.leased_target import LeasedTarget
from pistachiohill.agent.metrics import AgentMetrics
from pistachiohill.agent.models import Fenced, HoldOutcome, TargetState
from pistachiohill.agent.runner import TaskRunner
from pistachiohill.entry.agent import Agent
from pistachiohill.entry.retry_rules import TARGET_FAULT_REASONS
from pistachiohill.protocol.models import CancelTasks, StartTasks, TaskStart, ViewStamp
from pistachiohill.scheduling.models import TargetLoad
from pistachiohill.settings.models import AgentSettings

from ..base import TestCase
from .fakes import FakeRunner
from .test_runner import FakeLink

RESEND_S = 1.3
LONG_S = 5.0
ECHO_INTERVAL_S = 0.1
RENEWAL_BOUND_S = const.LEASE_S / (1.0 - const.MAX_CLOCK_DRIFT)


def view_stamp(echo_s: float) -> ViewStamp:
    return ViewStamp(offset=1, echo_s=echo_s, age_s=0.0, domain_out=False, max_age_s=60.0)


def start_message(submission_id: str, echo_s: float, run_s: float) -> StartTasks:
    task = TaskStart(0, 1, str(run_s).encode(), 1000, 16, run_s)
    view = view_stamp(echo_s)
    fields: dict[str, Any] = {"job_key": submission_id, "best_effort": True}
    return StartTasks(submission_id, "m", "j", 1, 5.0, 5.0, False, view, [task], **fields)


@define(eq=False)
class AgentHarness:
    """An agent's task runner and leased target, with a fake runner and links to two entries."""

    nursery: trio.Nursery
    runner: FakeRunner
    target: LeasedTarget
    tasks: TaskRunner
    alive: trio.CancelScope = field(factory=trio.CancelScope)
    lost_entry: FakeLink = field(factory=lambda: FakeLink("lost-entry"))
    other_entry: FakeLink = field(factory=lambda: FakeLink("other-entry"))

    def echo(self, link: FakeLink) -> None:
        now_s = clock.boot_s()
        self.tasks.merge_stamp(link, view_stamp(now_s), now_s)  # type: ignore[arg-type]
        self.tasks.handle_view_update(now_s)

    async def async_echo_for(self, link: FakeLink, interval_s: float) -> None:
        while True:
            self.echo(link)
            await trio.sleep(interval_s)

    def start(self, link: FakeLink, task: str, run_s: float = LONG_S) -> float:
        now_s = clock.boot_s()
        self.tasks.start_tasks(link, start_message(task, now_s, run_s), now_s)  # type: ignore[arg-type]
        return now_s

    def cancel(self, task: str) -> float:
        now_s = clock.boot_s()
        self.tasks.cancel(CancelTasks(task), now_s)
        return now_s

    async def async_started(self, *tasks: str) -> None:
        with trio.fail_after(2.0):
            while not {f"{task}/0" for task in tasks} <= self.runner.model.running.keys():
                await trio.sleep(0.002)

    async def async_end_s(self, task: str) -> float:
        """Return when a run ended, infinity if it goes on for longer than a caller waits."""
        with trio.move_on_after(3.0):
            while True:
                self.runner.model.end_due_runs(clock.boot_s())
                for past in self.runner.model.history:
                    if past.task == f"{task}/0":
                        return past.ended_at_s
                await trio.sleep(0.005)
        return math.inf

    def kill(self) -> float:
        self.alive.cancel()
        return clock.boot_s()

    async def async_run(self) -> None:
        with self.alive:
            await self.target.async_run()


@asynccontextmanager
async def open_agent(watch_leases: bool = True) -> AsyncIterator[AgentHarness]:
    async with trio.open_nursery() as nursery:
        runner = FakeRunner(nursery)
        target = LeasedTarget(runner, clock.wall_s())
        tasks = TaskRunner(AgentSettings(), nursery, target, AgentMetrics())
        harness = AgentHarness(nursery, runner, target, tasks)
        nursery.start_soon(harness.async_run)
        now_s = clock.boot_s()
        target.handle_announcement(runner.identity(), now_s)
        while not target.ready:
            await trio.sleep(0.005)
        tasks.announce_offset = 0
        tasks.target = TargetState("clocking", "", 4000, 4096, False, now_s + 60)
        if watch_leases:
            nursery.start_soon(tasks.async_watch_leases)
        yield harness
        nursery.cancel_scope.cancel()


class SumsTest(TestCase):
    """The design page explains each sum; see "Two runs at once under resends"."""

    def test_sums_are_below_the_time_after_which_a_caller_sends_its_job_again(self) -> None:
        """Agent frozen while a stop is unanswered, after its entry was lost at the last echo."""
        stopped_s = const.ENTRY_LEASE_S + const.LEASE_CHECK_INTERVAL_S
        waits_s = stopped_s + const.STOP_CONFIRM_S + const.LEASE_S
        total_s = waits_s / (1.0 - const.MAX_CLOCK_DRIFT) + const.RUNNER_STOP_S
        self.assertLess(total_s, RESEND_S)
        self.assertLess(total_s, const.RUNS_END_S)
        self.assertLess(const.RUNS_END_S, RESEND_S)

    def test_an_entry_waits_until_the_runs_of_an_agent_out_of_reach_have_ended(self) -> None:
        agent = Agent("a", ("10.0.0.1", 1), "d", TargetLoad("a", "d"), last_sent_at_s=5.0)
        self.assertAlmostEqual(5.0 + const.RUNS_END_S, agent.runs_end_s())

    def test_a_run_survives_one_lost_hold_response(self) -> None:
        first_s = const.HOLD_WAIT_S
        known_s = first_s + const.HOLD_WAIT_S + const.HOLD_TIMEOUT_S + const.RETRY_DELAY_S
        self.assertLess(known_s, const.LEASE_S - const.RETRY_DELAY_S)


class UnansweredStopTest(TestCase):
    async def test_run_ends_while_others_go_on_although_its_stops_are_lost(self) -> None:
        async with open_agent() as agent:
            agent.nursery.start_soon(agent.async_echo_for, agent.other_entry, ECHO_INTERVAL_S)
            agent.start(agent.lost_entry, "a")
            agent.start(agent.other_entry, "b")
            await agent.async_started("a", "b")
            agent.runner.unanswered_stops, agent.runner.execution_delay_s = 1000, math.inf
            last_echo_s = clock.boot_s()
            agent.echo(agent.lost_entry)
            self.assertLess(await agent.async_end_s("a") - last_echo_s, RESEND_S)

    async def test_run_of_a_cancelled_job_ends_although_its_stop_is_carried_out_late(self) -> None:
        async with open_agent() as agent:
            for entry in (agent.lost_entry, agent.other_entry):
                agent.nursery.start_soon(agent.async_echo_for, entry, ECHO_INTERVAL_S)
            agent.start(agent.lost_entry, "a")
            agent.start(agent.other_entry, "b")
            await agent.async_started("a", "b")
            agent.runner.unanswered_stops, agent.runner.execution_delay_s = 1000, 2.0
            cancelled_at_s = agent.cancel("a")
            bound_s = const.STOP_CONFIRM_S + RENEWAL_BOUND_S + const.RUNNER_STOP_S
            self.assertLess(await agent.async_end_s("a") - cancelled_at_s, bound_s)

    async def test_run_ends_when_its_stops_are_lost_and_its_agent_is_killed(self) -> None:
        async with open_agent() as agent:
            agent.start(agent.lost_entry, "a")
            await agent.async_started("a")
            agent.runner.unanswered_stops, agent.runner.execution_delay_s = 1000, math.inf
            last_echo_s = clock.boot_s()
            agent.echo(agent.lost_entry)
            await trio.sleep(const.ENTRY_LEASE_S + const.STOP_CONFIRM_S)
            agent.kill()
            self.assertLess(await agent.async_end_s("a") - last_echo_s, RESEND_S)

    async def test_other_runs_go_on_after_a_stop_that_was_carried_out_at_the_second_try(
        self,
    ) -> None:
        async with open_agent() as agent:
            for entry in (agent.lost_entry, agent.other_entry):
                agent.nursery.start_soon(agent.async_echo_for, entry, ECHO_INTERVAL_S)
            agent.start(agent.lost_entry, "a")
            agent.start(agent.other_entry, "b", run_s=2.0)
            await agent.async_started("a", "b")
            agent.runner.unanswered_stops, agent.runner.execution_delay_s = 2, math.inf
            agent.cancel("a")
            await agent.async_end_s("b")
            outcomes = {past.task: past.outcome for past in agent.runner.model.history}
            self.assertEqual({"a/0": "stopped", "b/0": "done"}, outcomes)

    async def test_runs_that_end_because_renewals_pause_are_not_counted_as_faults_of_the_target(
        self,
    ) -> None:
        async with open_agent() as agent:
            agent.nursery.start_soon(agent.async_echo_for, agent.other_entry, ECHO_INTERVAL_S)
            agent.start(agent.lost_entry, "a")
            agent.start(agent.other_entry, "b")
            await agent.async_started("a", "b")
            agent.runner.unanswered_stops, agent.runner.execution_delay_s = 1000, math.inf
            agent.echo(agent.lost_entry)
            await agent.async_end_s("b")
            with trio.fail_after(1.0):
                while not agent.other_entry.reports():
                    await trio.sleep(0.005)
            (report,) = agent.other_entry.reports()
            self.assertNotIn(report[2], TARGET_FAULT_REASONS)


class SlowAgentTest(TestCase):
    async def test_run_ends_although_the_check_of_its_entrys_lease_never_comes(self) -> None:
        async with open_agent(watch_leases=False) as agent:
            agent.nursery.start_soon(agent.async_echo_for, agent.other_entry, ECHO_INTERVAL_S)
            agent.start(agent.lost_entry, "a")
            agent.start(agent.other_entry, "b")
            await agent.async_started("a", "b")
            last_echo_s = clock.boot_s()
            agent.echo(agent.lost_entry)
            self.assertLess(await agent.async_end_s("a") - last_echo_s, RESEND_S)

    async def test_run_goes_on_while_a_slow_entry_echoes_at_long_intervals(self) -> None:
        async with open_agent() as agent:
            agent.nursery.start_soon(agent.async_echo_for, agent.lost_entry, 0.3)
            agent.start(agent.lost_entry, "a", run_s=2.0)
            await agent.async_started("a")
            await agent.async_end_s("a")
            self.assertEqual("done", agent.runner.model.history[0].outcome)


class FrozenAgentTest(TestCase):
    async def test_late_hold_does_not_prolong_runs_of_an_agent_that_was_killed(self) -> None:
        async with open_agent() as agent:
            agent.nursery.start_soon(agent.async_echo_for, agent.lost_entry, ECHO_INTERVAL_S)
            agent.start(agent.lost_entry, "a")
            await agent.async_started("a")
            agent.runner.late_holds, agent.runner.execution_delay_s = 1, 2.0
            while agent.runner.late_holds:
                await trio.sleep(0.005)
            await trio.sleep(1.6)
            killed_at_s = agent.kill()
            bound_s = RENEWAL_BOUND_S + const.RETRY_DELAY_S
            self.assertLess(await agent.async_end_s("a") - killed_at_s, bound_s)

    async def test_prepared_start_is_not_sent_after_the_lease_of_its_entry(self) -> None:
        async with open_agent() as agent:
            agent.start(agent.lost_entry, "a")
            time.sleep(1.1 * const.ENTRY_LEASE_S)  # the whole process is frozen
            await trio.sleep(0.1)
            self.assertNotIn("start", agent.runner.requests)
            self.assertEqual(0, agent.tasks.occupied)

    async def test_frozen_agent_does_not_renew_for_a_lost_entry_when_it_wakes(self) -> None:
        async with open_agent() as agent:
            agent.start(agent.lost_entry, "a")
            agent.start(agent.other_entry, "b")
            await agent.async_started("a", "b")
            agent.runner.unanswered_stops, agent.runner.execution_delay_s = 1000, math.inf
            last_echo_s = clock.boot_s()
            agent.echo(agent.lost_entry)
            await trio.sleep(const.ENTRY_LEASE_S - 0.15)
            time.sleep(0.25)
            agent.nursery.start_soon(agent.async_echo_for, agent.other_entry, ECHO_INTERVAL_S)
            self.assertLess(await agent.async_end_s("a") - last_echo_s, RESEND_S)


class LostHoldsTest(TestCase):
    async def test_two_lost_hold_responses_in_a_row_do_not_end_runs(self) -> None:
        async with open_agent() as agent:
            agent.nursery.start_soon(agent.async_echo_for, agent.lost_entry, ECHO_INTERVAL_S)
            agent.start(agent.lost_entry, "a", run_s=1.5)
            await agent.async_started("a")
            await trio.sleep(0.1)
            agent.runner.unanswered_holds = 2
            await agent.async_end_s("a")
            self.assertEqual("done", agent.runner.model.history[0].outcome)

    async def test_rejected_hold_with_an_old_token_does_not_advance_the_token(self) -> None:
        """Steps double, so a few of them would take the token beyond what a runner can read."""
        async with open_agent() as agent:
            agent.start(agent.lost_entry, "a")
            await agent.async_started("a")
            hold = agent.runner.async_hold
            token = agent.target._token

            async def async_rejected_hold(*args: Any) -> HoldOutcome:
                agent.runner.async_hold = hold  # type: ignore[method-assign]
                agent.target._token += 1
                return Fenced()

            agent.runner.async_hold = async_rejected_hold  # type: ignore[method-assign]
            await trio.sleep(3 * const.HOLD_WAIT_S)
            self.assertEqual(token + 1, agent.target._token)
