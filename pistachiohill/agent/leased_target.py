"""A target whose runs live under a lease and obey fencing tokens.

All orders to the runner carry one token. After an order without an answer the token is raised and
the runner is asked for its runs: an answer under the new token proves that no order under an older
one will still be carried out, so a start that it does not list has not happened and won't.

Runs live until the lease ends; the agent extends it while the runner answers. When an answer is
missing, the agent stops extending, and if none comes it waits until the lease must have ended: only
then are the runs known to have ended.
"""

import random
from collections.abc import Iterable

import trio
from attrs import define, field

from .. import clock, logs
from ..errors import RefusalReason, Verdict
from .const import (
    HOLD_TIMEOUT_S,
    HOLD_WAIT_S,
    LEASE_S,
    MAX_CLOCK_DRIFT,
    RETRY_ORDER_S,
    START_TIMEOUT_S,
    TOKEN_LEAP,
    TOKENS_PER_MS,
)
from .models import (
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
    RunnerPort,
    Started,
    StartOutcome,
    StartRefusal,
    TargetCall,
    TargetResult,
)

LEASE_REASONS = {
    StartRefusal.FENCED: RefusalReason.FENCED,
    StartRefusal.LEASE_ENDED: RefusalReason.FENCED,
    StartRefusal.OLD_RUN: RefusalReason.OLD_RUN,
    StartRefusal.NO_CAPACITY: RefusalReason.BUSY,
    StartRefusal.UNHEALTHY: RefusalReason.TARGET_REFUSED,
    StartRefusal.INVALID: RefusalReason.INVALID,
    StartRefusal.UNREACHABLE: RefusalReason.TARGET_LOST,
    StartRefusal.OTHER_INCARNATION: RefusalReason.TARGET_LOST,
}
END_REASONS = {
    RunEnd.DONE: None,
    RunEnd.FAILED: RefusalReason.TARGET_FAILED,
    RunEnd.STOPPED: RefusalReason.CANCELLED,
    RunEnd.LAPSED: RefusalReason.TARGET_LOST,
}


def first_token(now_wall_s: float) -> int:
    """Return a token that earlier processes are unlikely to have reached, and never equals theirs.

    The time of day may have stepped back: the runner then says that it has seen a higher token, and
    a higher one is tried.
    """
    return int(now_wall_s * 1000) * TOKENS_PER_MS + random.randrange(TOKENS_PER_MS)


@define(eq=False)
class Run:
    """One run that this agent has ordered.

    Fields:
        call: The task.
        answered_at_s: Boot time at which the start was acknowledged, None before.
        fence: Token under which a list decides whether an unanswered start happened.
        answer: How the run ended, None before.
        done: Set with the answer.
    """

    call: TargetCall
    answered_at_s: float | None = None
    fence: int | None = None
    answer: TargetResult | None = None
    stop_requested: bool = False
    done: trio.Event = field(factory=trio.Event)

    @property
    def name(self) -> RunName:
        """Return the run's name."""
        return RunName(self.call.task_id, self.call.run)

    def end(self, verdict: Verdict, reason: RefusalReason | None) -> None:
        """Keep how the run ended, once."""
        if self.answer is None:
            self.answer = TargetResult(verdict, reason)
            self.done.set()


class LeasedTarget:
    """Gives orders to the runner beside this agent and follows its runs."""

    def __init__(self, port: RunnerPort, now_wall_s: float) -> None:
        """Start without a runner."""
        self._port = port
        self._token = first_token(now_wall_s)
        self._leap = TOKEN_LEAP
        self._identity: RunnerIdentity | None = None
        self._runs: dict[RunName, Run] = {}
        self._foreign: frozenset[RunName] = frozenset()
        self._looked = False
        self._acked = 0
        self._unacked = False
        self._clock_s = 0.0
        self._clock_at_s = 0.0
        self._in_doubt = False
        self._lease_expires_at_s = 0.0
        self._changed = trio.Event()
        self._ready_changed = trio.Event()
        self._nursery: trio.Nursery | None = None

    @property
    def ready(self) -> bool:
        """Return whether runs may be started: the runner was looked at and runs nothing foreign."""
        return self._identity is not None and self._looked and not self._foreign

    async def async_ready_changed(self) -> None:
        """Wait until `ready` may have changed."""
        await self._ready_changed.wait()

    def handle_announcement(self, identity: RunnerIdentity, clock_s: float, now_s: float) -> None:
        """Take note of the runner's present life and its clock.

        Runs of an earlier life have ended with it. News of a life that began before the known one
        are late and passed over.
        """
        known = self._identity
        if known is not None and identity.born_ms < known.born_ms:
            logs.event("late_announcement", runner=identity.runner_id, born_ms=identity.born_ms)
            return
        if identity == known:
            self._set_clock(clock_s, now_s)
            return
        logs.event(
            "runner_met",
            runner=identity.runner_id,
            born_ms=identity.born_ms,
            address=identity.address,
            lost_runs=len(self._runs),
        )
        self._identity = identity
        self._set_clock(clock_s, now_s)
        self._begin_life(now_s)

    def handle_departure(self) -> None:
        """Take note that the runner has ended; so have its runs."""
        self._identity = None
        self._begin_life(clock.boot_s())

    async def async_call(self, url: str, call: TargetCall) -> TargetResult:
        """Run one task and return how it ended, once it has surely ended."""
        run = Run(call)
        if not self.ready or self._in_doubt:
            return TargetResult(Verdict.NOT_RUN, RefusalReason.TARGET_LOST)
        self._runs[run.name] = run
        self._wake()
        try:
            await self._async_start(run)
            await run.done.wait()
        finally:
            del self._runs[run.name]
        assert run.answer is not None
        return run.answer

    def stop(self, call: TargetCall) -> None:
        """Ask the runner to end a run; its call returns when the end is known."""
        run = self._runs.get(RunName(call.task_id, call.run))
        if run is None or run.stop_requested:
            return
        run.stop_requested = True
        assert self._nursery is not None
        self._nursery.start_soon(self._async_stop, run)

    async def async_run(self) -> None:
        """Hold the lease and follow the runs for as long as the process runs."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                if self._identity is None or not self._has_business():
                    await self._changed.wait()
                    self._changed = trio.Event()
                    continue
                await self._async_hold_once(self._identity)

    def _has_business(self) -> bool:
        pending = not self._looked or self._unacked or self._in_doubt
        return pending or bool(self._runs) or bool(self._foreign)

    async def _async_hold_once(self, identity: RunnerIdentity) -> None:
        sent_at_s = clock.boot_s()
        token = self._token
        calm = self._looked and self._runs and not self._in_doubt and not self._unsure()
        wait_s = HOLD_WAIT_S if calm else 0.0
        lease = self._lease(sent_at_s)
        outcome = await self._port.async_hold(
            identity, lease, self._acked, wait_s, wait_s + HOLD_TIMEOUT_S
        )
        now_s = clock.boot_s()
        if identity != self._identity:
            return
        if isinstance(outcome, RunList):
            self._take_list(outcome, token, sent_at_s, now_s)
            if self._foreign:
                await self._async_stop_foreign(identity)
            return
        await self._async_no_list(outcome, now_s)

    def _unsure(self) -> bool:
        return any(run.fence is not None for run in self._runs.values())

    def _lease(self, now_s: float) -> Lease:
        """Return the lease to ask for, and note until when it may hold.

        It is not extended while an answer is missing, so that it ends soon if none will come.
        """
        if self._in_doubt or not self._looked or self._foreign or not self._runs:
            return Lease(self._token, None)
        self._lease_expires_at_s = max(
            self._lease_expires_at_s, now_s + LEASE_S * (1.0 + MAX_CLOCK_DRIFT)
        )
        until_clock_s = self._clock_s + (now_s - self._clock_at_s) + LEASE_S
        return Lease(self._token, until_clock_s)

    def _set_clock(self, clock_s: float, now_s: float) -> None:
        self._clock_s = clock_s
        self._clock_at_s = now_s

    def _heard(self, clock_s: float, now_s: float) -> None:
        self._set_clock(clock_s, now_s)
        self._in_doubt = False

    async def _async_no_list(self, outcome: HoldOutcome, now_s: float) -> None:
        """React to a hold that brought no list of runs."""
        if isinstance(outcome, Fenced):
            self._leap_token()
            return
        self._in_doubt = True
        logs.warning("runner_silent", outcome=outcome, runs=len(self._runs), token=self._token)
        if isinstance(outcome, OtherIncarnation):
            self._begin_life(now_s)
        elif now_s > self._lease_expires_at_s and self._runs:
            self._end_all(RefusalReason.TARGET_LOST, "lease ended")
            self._look_again()
        await trio.sleep(RETRY_ORDER_S)

    def _take_list(self, listed: RunList, token: int, sent_at_s: float, now_s: float) -> None:
        """Settle runs by a list that the runner sent under a token."""
        identity = self._identity
        assert identity is not None
        if listed.born_ms != identity.born_ms:
            logs.event("runner_restarted", runner=identity.runner_id, born_ms=listed.born_ms)
            self._identity = RunnerIdentity(identity.runner_id, identity.address, listed.born_ms)
            self._begin_life(now_s)
            return
        self._heard(listed.clock_s, now_s)
        self._unacked = bool(listed.ended)
        for ended in listed.ended:
            self._take_end(ended)
        for run in list(self._runs.values()):
            self._take_listed(run, listed, token, sent_at_s, now_s)
        was_ready = self.ready
        self._looked = True
        self._foreign = listed.running - self._runs.keys()
        if self.ready != was_ready:
            self._signal_ready()

    def _take_end(self, ended: EndedRun) -> None:
        self._acked = max(self._acked, ended.number)
        run = self._runs.get(ended.name)
        if run is not None:
            run.end(Verdict.RAN, END_REASONS[ended.how])

    def _take_listed(
        self, run: Run, listed: RunList, token: int, sent_at_s: float, now_s: float
    ) -> None:
        """Settle one run that has not ended by the list's account."""
        if run.answer is not None:
            return
        if run.name in listed.running:
            run.fence = None
            run.answered_at_s = run.answered_at_s or now_s
        elif run.fence is not None:
            if token >= run.fence:
                run.end(Verdict.NOT_RUN, RefusalReason.FENCED)
        elif run.answered_at_s is not None and run.answered_at_s < sent_at_s:
            logs.warning("run_vanished", task=run.call.task_id, run=run.call.run)
            run.end(Verdict.RAN, RefusalReason.TARGET_LOST)

    async def _async_start(self, run: Run) -> None:
        identity = self._identity
        assert identity is not None
        token = self._token
        outcome = await self._port.async_start(
            identity, run.call, self._lease(clock.boot_s()), START_TIMEOUT_S
        )
        now_s = clock.boot_s()
        if run.answer is None:
            self._take_start(run, outcome, token, now_s)

    def _take_start(self, run: Run, outcome: StartOutcome, token: int, now_s: float) -> None:
        if isinstance(outcome, Started):
            self._heard(outcome.clock_s, now_s)
            run.answered_at_s = now_s
            return
        if isinstance(outcome, NotStarted):
            run.end(Verdict.NOT_RUN, LEASE_REASONS[outcome.refusal])
            logs.event(
                "start_refused",
                task=run.call.task_id,
                run=run.call.run,
                reason=outcome.refusal,
                token=token,
            )
            if outcome.refusal == StartRefusal.FENCED and token == self._token:
                self._leap_token()
            if outcome.refusal == StartRefusal.OTHER_INCARNATION:
                self._look_again()
            return
        logs.warning(
            "start_unanswered",
            task=run.call.task_id,
            run=run.call.run,
            token=token,
            detail=outcome.detail,
        )
        self._raise_token(run, token)

    def _raise_token(self, run: Run, token: int) -> None:
        """Raise the token, so that a list under the new one decides what became of a start."""
        self._token = max(self._token, token + 1)
        run.fence = self._token
        self._wake()
        assert self._nursery is not None
        self._nursery.start_soon(self._async_look, run)

    async def _async_look(self, run: Run) -> None:
        """Ask for the runs, beside the hold that may be waiting, until a start is decided."""
        while run.answer is None and run.fence is not None:
            identity = self._identity
            if identity is None:
                return
            sent_at_s = clock.boot_s()
            token = self._token
            outcome = await self._port.async_hold(
                identity, self._lease(sent_at_s), self._acked, 0.0, HOLD_TIMEOUT_S
            )
            if identity != self._identity:
                return
            if isinstance(outcome, RunList):
                self._take_list(outcome, token, sent_at_s, clock.boot_s())
            elif isinstance(outcome, Fenced):
                self._leap_token()
            else:
                await trio.sleep(RETRY_ORDER_S)

    async def _async_stop(self, run: Run) -> None:
        while run.answer is None:
            identity = self._identity
            if identity is None:
                return
            lease = Lease(self._token, None)
            outcome = await self._port.async_stop(identity, run.name, lease, HOLD_TIMEOUT_S)
            if isinstance(outcome, NoAnswer):
                logs.event("stop_unanswered", task=run.call.task_id, run=run.call.run)
            with trio.move_on_after(RETRY_ORDER_S):
                await run.done.wait()

    async def _async_stop_foreign(self, identity: RunnerIdentity) -> None:
        """Stop runs of an earlier agent process, or of starts that were given up."""
        logs.event("foreign_runs", runs=len(self._foreign), token=self._token)
        lease = Lease(self._token, None)
        for name in self._foreign:
            await self._port.async_stop(identity, name, lease, HOLD_TIMEOUT_S)
        await trio.sleep(RETRY_ORDER_S)

    def _leap_token(self) -> None:
        """Go far above the tokens that the runner has seen."""
        self._token += self._leap
        self._leap *= 2
        logs.event("token_raised", token=self._token)

    def _begin_life(self, now_s: float) -> None:
        """Forget what was known of the runner; its runs have ended with its earlier life."""
        self._end_all(RefusalReason.TARGET_LOST, "runner restarted")
        self._foreign = frozenset()
        self._acked = 0
        self._unacked = False
        self._lease_expires_at_s = now_s
        self._in_doubt = False
        self._look_again()

    def _look_again(self) -> None:
        """Start nothing before the runner has been asked for its runs under a higher token."""
        self._looked = False
        self._token += 1
        self._wake()
        self._signal_ready()

    def _end_all(self, reason: RefusalReason, why: str) -> None:
        runs: Iterable[Run] = list(self._runs.values())
        for run in runs:
            run.end(Verdict.RAN, reason)
        if self._runs:
            logs.warning("runs_lost", runs=len(self._runs), why=why)

    def _wake(self) -> None:
        self._changed.set()

    def _signal_ready(self) -> None:
        changed, self._ready_changed = self._ready_changed, trio.Event()
        changed.set()
