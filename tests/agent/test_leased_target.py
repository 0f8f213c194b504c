"""Runs under a lease: each ends as the runner says, and none runs twice or unheard."""

from collections.abc import Awaitable, Callable

import trio

from pistachiohill import clock
from pistachiohill.agent.const import LEASE_S, MAX_CLOCK_DRIFT
from pistachiohill.agent.leased_target import LeasedTarget, first_token
from pistachiohill.agent.models import RunnerIdentity, TargetCall, TargetResult
from pistachiohill.errors import RefusalReason, Verdict
from standins.runner_model import doubled

from ..base import TestCase
from .fakes import FakeRunner

RAN = TargetResult(Verdict.RAN, None)
LOST = TargetResult(Verdict.RAN, RefusalReason.TARGET_LOST)
FENCED = TargetResult(Verdict.NOT_RUN, RefusalReason.FENCED)


def call(task: str, run_s: float = 0.05, run: int = 1) -> TargetCall:
    return TargetCall(task, run, "m", "j", str(run_s).encode(), 10.0, False)


class Scene:
    """A target and its runner, and the answers of calls in the background."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.runner = FakeRunner(nursery)
        self.target = LeasedTarget(self.runner, clock.wall_s())
        self.answers: dict[str, TargetResult] = {}

    async def async_ready(self) -> None:
        self.meet()
        while not self.target.ready:
            await trio.sleep(0.005)

    def meet(self, identity: RunnerIdentity | None = None) -> None:
        now_s = clock.boot_s()
        clock_s = self.runner.model.clock_ms(now_s) / 1000
        self.target.handle_announcement(identity or self.runner.identity(), clock_s, now_s)

    def start(self, item: TargetCall) -> None:
        async def async_call() -> None:
            answer = await self.target.async_call("", item)
            self.answers[f"{item.task_id}#{item.run}"] = answer

        self.nursery.start_soon(async_call)

    async def async_answer(self, name: str, within_s: float = 3.0) -> TargetResult:
        with trio.fail_after(within_s):
            while name not in self.answers:
                await trio.sleep(0.005)
        return self.answers[name]


class LeasedTargetTest(TestCase):
    async def _async_play(self, act: Callable[[Scene], Awaitable[None]]) -> None:
        async with trio.open_nursery() as nursery:
            scene = Scene(nursery)
            nursery.start_soon(scene.target.async_run)
            await scene.async_ready()
            await act(scene)
            scene.runner.model.settle(clock.boot_s() + 10.0)
            self.assertEqual([], doubled([scene.runner.model.history]))
            nursery.cancel_scope.cancel()

    async def test_runs_end_as_listed_and_are_acknowledged(self) -> None:
        async def act(scene: Scene) -> None:
            scene.start(call("a"))
            scene.runner.model.fail_runs = 0
            self.assertEqual(RAN, await scene.async_answer("a#1"))
            scene.runner.model.fail_runs = 1
            scene.start(call("b"))
            failed = TargetResult(Verdict.RAN, RefusalReason.TARGET_FAILED)
            self.assertEqual(failed, await scene.async_answer("b#1"))
            with trio.fail_after(1.0):
                while scene.runner.model.acked < 2:
                    await trio.sleep(0.005)

        await self._async_play(act)

    async def test_the_lease_is_extended_for_as_long_as_a_run_takes(self) -> None:
        async def act(scene: Scene) -> None:
            scene.start(call("long", run_s=2.5))
            self.assertEqual(RAN, await scene.async_answer("long#1", 4.0))

        await self._async_play(act)

    async def test_a_slow_clock_of_the_runner_does_not_end_its_runs(self) -> None:
        async def act(scene: Scene) -> None:
            scene.runner.model.rate = 1.0 - MAX_CLOCK_DRIFT
            scene.meet()
            scene.start(call("long", run_s=1.5))
            self.assertEqual(RAN, await scene.async_answer("long#1", 4.0))

        await self._async_play(act)

    async def test_an_unanswered_start_that_never_arrives_is_not_run(self) -> None:
        async def act(scene: Scene) -> None:
            scene.runner.lose_starts, scene.runner.late_s = 1, 100.0
            scene.start(call("a"))
            self.assertEqual(FENCED, await scene.async_answer("a#1", 1.0))
            scene.start(call("a", run=2))
            self.assertEqual(RAN, await scene.async_answer("a#2"))

        await self._async_play(act)

    async def test_an_unanswered_start_carried_out_later_is_void(self) -> None:
        """The late order comes while the task's next run is there, and must do nothing."""

        async def act(scene: Scene) -> None:
            scene.runner.lose_starts, scene.runner.late_s = 1, 0.4
            scene.start(call("a", run_s=0.6))
            self.assertEqual(FENCED, await scene.async_answer("a#1", 1.0))
            scene.start(call("a", run_s=0.6, run=2))
            self.assertEqual(RAN, await scene.async_answer("a#2"))
            names = [(run.task, run.run) for run in scene.runner.model.history]
            self.assertEqual([("a", 2)], names)

        await self._async_play(act)

    async def test_an_unanswered_start_that_was_carried_out_is_followed(self) -> None:
        async def act(scene: Scene) -> None:
            scene.runner.lose_starts, scene.runner.late_s = 1, 0.0
            scene.start(call("a", run_s=0.5))
            self.assertEqual(RAN, await scene.async_answer("a#1"))

        await self._async_play(act)

    async def test_other_starts_survive_a_raised_token(self) -> None:
        async def act(scene: Scene) -> None:
            scene.start(call("b", run_s=0.8))
            await trio.sleep(0.05)
            scene.runner.lose_starts, scene.runner.late_s = 1, 100.0
            scene.start(call("a"))
            self.assertEqual(FENCED, await scene.async_answer("a#1"))
            self.assertEqual(RAN, await scene.async_answer("b#1"))

        await self._async_play(act)

    async def test_lost_holds_do_not_end_runs(self) -> None:
        async def act(scene: Scene) -> None:
            scene.start(call("a", run_s=1.5))
            await trio.sleep(0.1)
            scene.runner.lose_holds = 1
            self.assertEqual(RAN, await scene.async_answer("a#1"))

        await self._async_play(act)

    async def test_a_lost_acknowledgement_does_not_leave_the_runner_in_doubt(self) -> None:
        async def act(scene: Scene) -> None:
            scene.start(call("a", run_s=0.1))
            await trio.sleep(0.05)
            self.assertEqual(RAN, await scene.async_answer("a#1"))
            scene.runner.lose_holds = 1
            await trio.sleep(0.4)
            scene.start(call("b"))
            self.assertEqual(RAN, await scene.async_answer("b#1", 1.0))

        await self._async_play(act)

    async def test_runs_of_a_silent_runner_are_lost_only_when_their_lease_has_ended(self) -> None:
        async def act(scene: Scene) -> None:
            scene.start(call("a", run_s=5.0))
            await trio.sleep(0.1)
            scene.runner.silent = True
            silent_at_s = clock.boot_s()
            self.assertEqual(LOST, await scene.async_answer("a#1"))
            now_s = clock.boot_s()
            scene.runner.model.settle(now_s)
            (past,) = scene.runner.model.history
            self.assertLessEqual(past.ended_s, now_s)
            self.assertLess(now_s - silent_at_s, 2 * LEASE_S)
            self.assertFalse(scene.target.ready)
            refused = await scene.target.async_call("", call("b"))
            self.assertEqual(Verdict.NOT_RUN, refused.verdict)
            scene.runner.silent = False
            with trio.fail_after(1.0):
                while not scene.target.ready:
                    await trio.sleep(0.005)

        await self._async_play(act)

    async def test_a_restarted_runner_has_lost_its_runs(self) -> None:
        async def act(scene: Scene) -> None:
            scene.start(call("a", run_s=5.0))
            await trio.sleep(0.1)
            scene.runner.model.restart(clock.boot_s())
            self.assertEqual(LOST, await scene.async_answer("a#1", 1.0))
            with trio.fail_after(1.0):
                while not scene.target.ready:
                    await trio.sleep(0.005)
            scene.start(call("a", run=2))
            self.assertEqual(RAN, await scene.async_answer("a#2"))

        await self._async_play(act)

    async def test_a_late_announcement_of_an_earlier_life_changes_nothing(self) -> None:
        async def act(scene: Scene) -> None:
            before = scene.runner.identity()
            scene.runner.model.restart(clock.boot_s())
            scene.meet()
            await scene.async_ready()
            scene.start(call("a", run_s=0.3))
            await trio.sleep(0.05)
            scene.meet(before)
            self.assertEqual(RAN, await scene.async_answer("a#1"))

        await self._async_play(act)

    async def test_a_stopped_run_is_answered_when_it_has_ended(self) -> None:
        async def act(scene: Scene) -> None:
            item = call("a", run_s=5.0)
            scene.start(item)
            await trio.sleep(0.05)
            scene.target.stop(item)
            stopped = TargetResult(Verdict.RAN, RefusalReason.CANCELLED)
            self.assertEqual(stopped, await scene.async_answer("a#1", 1.0))
            self.assertEqual({}, scene.runner.model.running)

        await self._async_play(act)

    async def test_a_new_agent_starts_nothing_before_foreign_runs_have_ended(self) -> None:
        async with trio.open_nursery() as nursery:
            scene = Scene(nursery)
            model = scene.runner.model
            now_s = clock.boot_s()
            deadline_ms = model.clock_ms(now_s) + 1000
            token = first_token(clock.wall_s()) + 10**12
            self.assertEqual("ok", model.start("old", 1, 5.0, deadline_ms, token, now_s))
            nursery.start_soon(scene.target.async_run)
            scene.meet()
            await scene.async_ready()
            model.settle(clock.boot_s())
            self.assertEqual({}, model.running)
            self.assertEqual("stopped", model.history[0].how)
            self.assertGreater(model.token, token)
            scene.start(call("old", run=2))
            self.assertEqual(RAN, await scene.async_answer("old#2"))
            nursery.cancel_scope.cancel()

    def test_first_tokens_differ(self) -> None:
        tokens = {first_token(1000.0) for _ in range(20)}
        self.assertGreater(len(tokens), 10)
        self.assertGreater(first_token(1000.1), first_token(1000.0))
