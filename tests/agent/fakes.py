"""A runner for tests of the agent: the stand-in's model behind the port, with faulty orders."""

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

ENDS = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LAPSED,
}
REFUSALS = {
    "fence": StartRefusal.FENCED,
    "old": StartRefusal.OLD_RUN,
    "late": StartRefusal.LEASE_ENDED,
}
POLL_S = 0.005


class FakeRunner:
    """Implements the agent's RunnerPort on a model.

    Fields:
        lose_starts, lose_holds: Orders that get no answer and are carried out `late_s` later.
        silent: Whether no order arrives at all.
        orders: Every order that was sent, by its kind.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        self.model = RunnerModel(born_ms=1000, born_s=clock.boot_s())
        self.lose_starts = 0
        self.lose_holds = 0
        self.late_s = 0.0
        self.silent = False
        self.orders: list[str] = []
        self._nursery = nursery

    def identity(self) -> RunnerIdentity:
        return RunnerIdentity("i-1", "127.0.0.1:1", self.model.born_ms)

    async def async_start(
        self, runner: RunnerIdentity, call: TargetCall, lease: Lease, timeout_s: float
    ) -> StartOutcome:
        self.orders.append("start")
        if self.silent:
            return await self._async_lost(timeout_s)

        def carry_out() -> str:
            return self.model.start(
                call.task_id, call.run, float(call.payload), _ms(lease), lease.token, clock.boot_s()
            )

        if self.lose_starts > 0:
            self.lose_starts -= 1
            return await self._async_lost(timeout_s, carry_out)
        outcome = carry_out()
        if outcome == "ok":
            return Started(self.model.clock_ms(clock.boot_s()) / 1000)
        return NotStarted(REFUSALS[outcome])

    async def async_stop(
        self, runner: RunnerIdentity, name: RunName, lease: Lease, timeout_s: float
    ) -> StopOutcome:
        self.orders.append("stop")
        if self.silent:
            return await self._async_lost(timeout_s)
        outcome = self.model.stop(name.task_id, name.run, lease.token, clock.boot_s())
        return Stopping() if outcome == "ok" else Fenced()

    async def async_hold(
        self, runner: RunnerIdentity, lease: Lease, acked: int, wait_s: float, timeout_s: float
    ) -> HoldOutcome:
        self.orders.append("hold")
        if self.silent:
            return await self._async_lost(timeout_s)
        if runner.born_ms != self.model.born_ms and runner.runner_id != "i-1":
            return OtherIncarnation()
        if self.lose_holds > 0:
            self.lose_holds -= 1
            return await self._async_lost(timeout_s)
        if self.model.hold(_ms(lease), lease.token, acked, clock.boot_s()) == "fence":
            return Fenced()
        waited_until_s = clock.boot_s() + wait_s
        while not self.model.listed and clock.boot_s() < waited_until_s:
            await trio.sleep(POLL_S)
            self.model.settle(clock.boot_s())
        return self._list()

    def _list(self) -> RunList:
        now_s = clock.boot_s()
        self.model.settle(now_s)
        running = [RunName(run.task, run.run) for run in self.model.running.values()]
        ended = [
            EndedRun(number, RunName(task, run), ENDS[how])
            for number, task, run, how in self.model.listed
        ]
        clock_s = self.model.clock_ms(now_s) / 1000
        return RunList(self.model.born_ms, clock_s, frozenset(running), tuple(ended))

    async def _async_lost(self, timeout_s: float, carry_out: object = None) -> NoAnswer:
        if callable(carry_out):
            self._nursery.start_soon(self._async_late, carry_out)
        await trio.sleep(timeout_s)
        return NoAnswer("no answer")

    async def _async_late(self, carry_out: object) -> None:
        await trio.sleep(self.late_s)
        assert callable(carry_out)
        carry_out()


def _ms(lease: Lease) -> int | None:
    return None if lease.until_clock_s is None else int(lease.until_clock_s * 1000)
