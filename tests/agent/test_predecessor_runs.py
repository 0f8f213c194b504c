"""Runs that an agent takes over from its predecessor at the same runner."""

from collections.abc import Awaitable, Callable

import trio
from attrs import evolve

from pistachiohill import clock
from pistachiohill.agent.const import LATE_START_S
from pistachiohill.agent.late_start_notices import LateStartNotices
from pistachiohill.agent.models import RunEnd, RunName, TargetCall
from pistachiohill.agent.predecessor_runs import MAX_ENDS, PredecessorRuns
from pistachiohill.protocol.models import LateStarts, Message

from ..base import TestCase
from .test_leased_target import LOST, RAN, TargetHarness, call

RUN_S = 0.05


def taken_over(task: str) -> TargetCall:
    """Return the request for a run of which the predecessor may have sent a start."""
    return evolve(call(task, RUN_S), late_start_until_s=clock.boot_s() + LATE_START_S)


class NoticeLink:
    """Keeps what entries are told."""

    def __init__(self) -> None:
        self.sent: list[Message] = []

    def send(self, message: Message) -> None:
        self.sent.append(message)


class PredecessorRunsTest(TestCase):
    async def _async_play(
        self,
        prepare: Callable[[TargetHarness], None],
        scenario: Callable[[TargetHarness], Awaitable[None]],
    ) -> list[Message]:
        """Play a scenario with an agent that starts after `prepare`; return what it has told."""
        notices, link = LateStartNotices(), NoticeLink()
        notices.link_opened(link, clock.boot_s())  # type: ignore[arg-type]
        async with trio.open_nursery() as nursery:
            harness = TargetHarness(nursery, notices=notices)
            prepare(harness)
            nursery.start_soon(harness.target.async_run)
            await harness.async_wait_ready()
            await scenario(harness)
            nursery.cancel_scope.cancel()
        return link.sent

    async def test_end_that_the_runner_has_listed_is_reported_without_a_start(self) -> None:
        """Guards against jobs that fail although all of their tasks have run."""

        def prepare(harness: TargetHarness) -> None:
            now_s = clock.boot_s()
            model = harness.runner.model
            model.start("a", 1, RUN_S, model.clock_ms(now_s - 0.5) + 900, 1, now_s - 0.5)
            model.end_due_runs(now_s)

        async def scenario(harness: TargetHarness) -> None:
            harness.start(taken_over("a"))
            self.assertEqual(RAN, await harness.async_result("a#1"))
            self.assertNotIn("start", harness.runner.requests)

        await self._async_play(prepare, scenario)

    async def test_run_that_the_predecessor_has_not_started_is_started(self) -> None:
        """The first start may still come, which entries are told until it can't."""

        async def scenario(harness: TargetHarness) -> None:
            harness.start(taken_over("a"))
            self.assertEqual(RAN, await harness.async_result("a#1"))
            self.assertEqual(
                [("a", 1)], [(run.task, run.run) for run in harness.runner.model.history]
            )

        told = await self._async_play(lambda _harness: None, scenario)
        starts = [start for item in told if isinstance(item, LateStarts) for start in item.starts]
        self.assertTrue(starts)
        self.assertTrue(all(start.for_s > LATE_START_S - 1.0 for start in starts), starts)

    async def test_run_that_the_runner_calls_old_has_ended(self) -> None:
        """Its end was acknowledged by the predecessor, so that it is not known."""

        def prepare(harness: TargetHarness) -> None:
            harness.runner.model.highest_runs["a"] = 1

        async def scenario(harness: TargetHarness) -> None:
            harness.start(taken_over("a"))
            self.assertEqual(LOST, await harness.async_result("a#1", 0.5))

        await self._async_play(prepare, scenario)

    def test_only_the_newest_ends_are_kept(self) -> None:
        runs = PredecessorRuns()
        for number in range(MAX_ENDS + 1):
            runs.record_end(RunName("a", number), RunEnd.DONE)
        self.assertIsNone(runs.result_of(call("a", run=0)))
        self.assertEqual(RAN, runs.result_of(call("a", run=MAX_ENDS)))
