"""Fake runner for tests of the agent, based on the stand-in's model, with request faults."""

from collections.abc import Callable

import trio

from pistachiohill import clock
from pistachiohill.agent.models import (
    EndedRun,
    Fenced,
    HoldOutcome,
    Lease,
    NoAnswer,
    NotStarted,
    OtherIncarnation,
    RunEnd,
    RunList,
    RunName,
    RunnerIdentity,
    Started,
    StartOutcome,
    StartRefusal,
    StopOutcome,
    Stopping,
    TargetCall,
)
from standins.runner_model import RunnerModel

RUN_OUTCOMES = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LAPSED,
}
START_REFUSALS = {
    "fence": StartRefusal.FENCED,
    "old": StartRefusal.OLD_RUN,
    "late": StartRefusal.LEASE_ENDED,
}
POLL_INTERVAL_S = 0.005


class FakeRunner:
    """Implements RunnerInterface on a RunnerModel.

    Fields:
        unanswered_starts, unanswered_stops: Number of requests to leave unanswered; each is
            executed `execution_delay_s` later.
        late_holds: Number of holds to leave unanswered, executed `execution_delay_s` later; the
            time of their lease counts from then.
        unanswered_holds: Number of hold requests to lose; they are not executed.
        lost_hold_interval: Every hold request of this number is lost, 0 for none.
        silent: Whether all requests are lost.
        response_delay_s: How long responses to executed start requests are under way.
        runner_id, address: Identity under which the runner answers; another id gets a 421.
        others: Runners at other addresses; requests to any further address are refused.
        requests: Kind of every request that was sent.
    """

    def __init__(
        self, nursery: trio.Nursery, runner_id: str = "i-1", address: str = "127.0.0.1:1"
    ) -> None:
        self.model = RunnerModel(born_ms=1000, born_s=clock.boot_s())
        self.runner_id = runner_id
        self.address = address
        self.others: dict[str, FakeRunner] = {}
        self.response_delay_s = 0.0
        self.unanswered_starts = 0
        self.unanswered_stops = 0
        self.late_holds = 0
        self.unanswered_holds = 0
        self.execution_delay_s = 0.0
        self.lost_hold_interval = 0
        self.silent = False
        self.requests: list[str] = []
        self._nursery = nursery

    def identity(self) -> RunnerIdentity:
        return RunnerIdentity(self.runner_id, self.address, self.model.born_ms)

    async def async_start(
        self, runner: RunnerIdentity, call: TargetCall, lease: Lease, timeout_s: float
    ) -> StartOutcome:
        if runner.address != self.address:
            other = self.others.get(runner.address)
            if other is None:
                return NotStarted(StartRefusal.UNREACHABLE)
            return await other.async_start(runner, call, lease, timeout_s)
        self.requests.append("start")
        if self.silent:
            return await self._async_no_answer(timeout_s)
        if runner.runner_id != self.runner_id:
            return NotStarted(StartRefusal.OTHER_INCARNATION)
        if lease.until_clock_s is None:
            return NotStarted(StartRefusal.INVALID)

        def execute() -> str:
            return self.model.start(
                call.task_id, call.run, float(call.payload), _ms(lease), lease.token, clock.boot_s()
            )

        if self.unanswered_starts > 0:
            self.unanswered_starts -= 1
            return await self._async_no_answer(timeout_s, execute)
        outcome = execute()
        clock_s = self.model.clock_ms(clock.boot_s()) / 1000
        await trio.sleep(self.response_delay_s)
        if outcome == "ok":
            return Started(clock_s)
        return NotStarted(START_REFUSALS[outcome])

    async def async_stop(
        self, runner: RunnerIdentity, name: RunName, lease: Lease, timeout_s: float
    ) -> StopOutcome:
        if runner.address != self.address:
            other = self.others.get(runner.address)
            if other is None:
                return NoAnswer("connection refused")
            return await other.async_stop(runner, name, lease, timeout_s)
        self.requests.append("stop")
        if self.silent:
            return await self._async_no_answer(timeout_s)
        if runner.runner_id != self.runner_id:
            return OtherIncarnation()

        def execute() -> str:
            return self.model.stop(name.task_id, name.run, lease.token, clock.boot_s())

        if self.unanswered_stops > 0:
            self.unanswered_stops -= 1
            return await self._async_no_answer(timeout_s, execute)
        return Stopping() if execute() == "ok" else Fenced()

    async def async_hold(
        self, runner: RunnerIdentity, lease: Lease, acked: int, wait_s: float, timeout_s: float
    ) -> HoldOutcome:
        if runner.address != self.address:
            other = self.others.get(runner.address)
            if other is None:
                await trio.lowlevel.checkpoint()
                return NoAnswer("connection refused")
            return await other.async_hold(runner, lease, acked, wait_s, timeout_s)
        self.requests.append("hold")
        if self.silent:
            return await self._async_no_answer(timeout_s)
        if runner.runner_id != self.runner_id:
            return OtherIncarnation()
        holds = self.requests.count("hold")
        if self.unanswered_holds > 0 or (
            self.lost_hold_interval and holds % self.lost_hold_interval == 0
        ):
            self.unanswered_holds = max(0, self.unanswered_holds - 1)
            return await self._async_no_answer(timeout_s)
        if self.late_holds > 0 and lease.until_clock_s is not None:
            self.late_holds -= 1
            left_ms = (_ms(lease) or 0) - self.model.clock_ms(clock.boot_s())

            def execute() -> str:
                now_s = clock.boot_s()
                return self.model.hold(
                    self.model.clock_ms(now_s) + left_ms, lease.token, acked, now_s
                )

            return await self._async_no_answer(timeout_s, execute)
        await trio.lowlevel.checkpoint()
        if self.model.hold(_ms(lease), lease.token, acked, clock.boot_s()) == "fence":
            return Fenced()
        waited_until_s = clock.boot_s() + wait_s
        while not self.model.unacked_runs and clock.boot_s() < waited_until_s:
            await trio.sleep(POLL_INTERVAL_S)
            self.model.end_due_runs(clock.boot_s())
        return self._run_list()

    def _run_list(self) -> RunList:
        now_s = clock.boot_s()
        self.model.end_due_runs(now_s)
        running = [RunName(run.task, run.run) for run in self.model.running.values()]
        ended = [
            EndedRun(number, RunName(task, run), RUN_OUTCOMES[how])
            for number, task, run, how in self.model.unacked_runs
        ]
        clock_s = self.model.clock_ms(now_s) / 1000
        return RunList(self.model.born_ms, clock_s, frozenset(running), tuple(ended))

    async def _async_no_answer(
        self, timeout_s: float, execute: Callable[[], str] | None = None
    ) -> NoAnswer:
        if execute is not None:
            self._nursery.start_soon(self._async_execute_late, execute)
        await trio.sleep(timeout_s)
        return NoAnswer("no answer")

    async def _async_execute_late(self, execute: Callable[[], str]) -> None:
        await trio.sleep(self.execution_delay_s)
        execute()


def _ms(lease: Lease) -> int | None:
    return None if lease.until_clock_s is None else int(lease.until_clock_s * 1000)
