"""Target that runs tasks at a runner under a lease, with fencing tokens.

All requests to the runner carry the agent's current fencing token. After an unanswered start the
agent raises the token and lists the runner's runs. A response under the new token proves that this
process of the runner will execute no request under an older token any more, so a run that is not
listed has not started there and never will. After an unanswered hold with a lease it does the same,
since the hold might be executed later and prolong runs that should end.

The runner's next process has seen no token and may still execute an unanswered start. So the agent
sends the start again to this runner, and reports no other end of the run than `done` before the
start can't be executed any more (`late_starts`).

Runs end when the lease expires; the agent renews it while the runner responds. When a response is
missing, the agent stops renewing the lease. If the runner stays silent, its runs are only known to
have ended once the lease must have expired.

One lease serves all runs of the runner. If a run that must end goes on, because its stop got lost
or this agent was slow, the lease is not renewed until the runner lists the run as ended.

A lost response to a long-polling request hides the ends of all runs until the request times out.
After one was lost, the agent therefore keeps two requests open for a while. Responses may overtake
each other, so a list that is older than the one applied last is ignored.
"""

import math

import trio

from .. import clock, logs
from ..errors import RefusalReason, Verdict
from .const import (
    CLOCK_REFRESH_S,
    HOLD_TIMEOUT_S,
    HOLD_WAIT_S,
    INITIAL_TOKEN_STEP,
    LATE_START_S,
    MAX_STARTS_SENT,
    RETRY_DELAY_S,
    START_TIMEOUT_S,
)
from .end_acks import EndAcks
from .fencing import initial_token
from .hedge import Hedge
from .late_start_notices import LateStartNotices
from .late_starts import LateStarts
from .models import (
    UNRESTRICTED,
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
    RunnerInterface,
    RunPermission,
    Started,
    StartOutcome,
    StartRefusal,
    TargetCall,
    TargetResult,
)
from .predecessor_runs import PredecessorRuns
from .run import RUN_END_REASONS, START_REFUSAL_REASONS, Run, log_end
from .run_stops import RunnerAccess, async_stop, async_stop_foreign_runs
from .run_table import RunTable
from .runner_discovery import ConfirmedRunner, RunnerDiscovery
from .runner_in_use import Change, RunnerInUse
from .runner_lease import RunnerLease
from .unsettled_starts import UnsettledStarts


class LeasedTarget:
    """Starts, stops and monitors runs at the runner beside this agent."""

    def __init__(
        self,
        runner_client: RunnerInterface,
        now_wall_s: float,
        notices: LateStartNotices | None = None,
    ) -> None:
        """Create the target; the runner is not known until it is announced.

        `notices` tells entries of starts without an answer.
        """
        self._unsettled = UnsettledStarts(notices or LateStartNotices())
        self._runner_client = runner_client
        self._token = initial_token(now_wall_s)
        self._token_step = INITIAL_TOKEN_STEP
        self._in_use = RunnerInUse()
        self._discovery = RunnerDiscovery(
            runner_client, lambda: self._token, self._handle_confirmation
        )
        self._late_starts = LateStarts(
            lambda: self._synchronized and not self._response_missing,
            lambda: self.ready,
            self._async_start,
            self._observe,
        )
        self._runs = RunTable()
        self._predecessor_runs = PredecessorRuns()
        self._foreign_runs: frozenset[RunName] = frozenset()
        self._synchronized = False
        self._acks = EndAcks()
        self._lease = RunnerLease()
        self._allowed_stall_s = 0.0
        self._response_missing = False
        self._responded_at_s = -math.inf
        self._newest_list_clock_s = -math.inf
        self._hedge = Hedge(self._async_second_hold)
        self._changed = trio.Event()
        self._ready_changed = trio.Event()
        self._start_confirmed = trio.Event()
        self._nursery: trio.Nursery | None = None

    @property
    def ready(self) -> bool:
        """Return whether runs may be started.

        The runs of the runner must have been listed, and this agent must know all of them. None are
        started while the runs at a runner that is to be replaced have not ended.
        """
        return self._in_use.is_usable() and self._synchronized and not self._foreign_runs

    @property
    def identity(self) -> RunnerIdentity | None:
        """Return the identity of the runner in use, None before any has answered."""
        return self._in_use.identity

    async def async_ready_changed(self) -> None:
        """Wait until `ready` may have changed."""
        await self._ready_changed.wait()

    def handle_announcement(self, identity: RunnerIdentity, now_s: float) -> None:
        """Apply an announcement of a runner, which is first asked for confirmation.

        The runner in use is only asked if its clock was not read recently.
        """
        in_use = identity == self.identity and self._in_use.is_usable()
        if not in_use or self._lease.clock_age_s(now_s) > CLOCK_REFRESH_S:
            self._discovery.check(identity)

    def _handle_confirmation(self, confirmed: ConfirmedRunner, now_s: float) -> None:
        """Use a runner that has answered, once the runs of the present one have ended."""
        change = self._in_use.change_by(confirmed, bool(self._runs))
        if change == Change.NOTHING:
            return
        self._token = max(self._token, confirmed.token)
        identity = confirmed.identity
        if change == Change.SAME:
            self._handle_same_runner(confirmed, now_s)
        elif change == Change.ADDRESS:
            self._handle_new_address(identity, now_s)
        elif change == Change.REPLACED:
            self._replace_runner(identity, now_s)
        else:
            logs.event("runner_successor", runner=identity.runner_id, runs=len(self._runs))
            self._in_use.successor = identity
            self._signal_ready_changed()

    def _handle_same_runner(self, confirmed: ConfirmedRunner, now_s: float) -> None:
        """Read the clock of the runner in use, which may be used again after a shutdown message."""
        was_ready = self.ready
        self._lease.record_clock(confirmed.clock_s, confirmed.sent_at_s, now_s)
        self._in_use.use(confirmed.identity, now_s)
        self._signal_changed()
        if self.ready != was_ready:
            self._signal_ready_changed()

    def _handle_new_address(self, identity: RunnerIdentity, now_s: float) -> None:
        """Use the runner at another address; its runs go on."""
        logs.event("runner_moved", runner=identity.runner_id, address=identity.address)
        self._in_use.use(identity, now_s)
        self._list_runs_soon()
        self._signal_ready_changed()

    def _replace_runner(self, identity: RunnerIdentity, now_s: float) -> None:
        """Use another runner or incarnation, and settle or await the runs of the present one."""
        known = self.identity
        self._in_use.log_replacement(identity, len(self._runs))
        self._in_use.use(identity, now_s)
        if known is not None and identity.runner_id == known.runner_id:
            self._handle_restart(now_s)
            return
        self._end_runs(list(self._runs.values()), "runner replaced")
        self._reset_runner_state(now_s)
        self._list_runs_soon()

    def _use_successor(self, now_s: float) -> None:
        """Use the next runner if all runs at the present one have ended."""
        if self._in_use.successor is not None and not self._runs:
            self._replace_runner(self._in_use.successor, now_s)

    def handle_shutdown(self) -> None:
        """Start no more runs until the runner has been announced again and has answered.

        The message may be a late one of an earlier process with the same id, so live runs go on.
        """
        self._in_use.shut_down = True
        self._signal_ready_changed()

    async def async_call(
        self, url: str, call: TargetCall, permission: RunPermission = UNRESTRICTED
    ) -> TargetResult:
        """Run one task and return its result, once the run is known to have ended.

        A second request for a task waits until the task's run in progress has ended: another entry
        has the same job, and would place the task elsewhere if it were refused here.
        """
        run = Run(call, permission)
        run.expect_start_of_predecessor()
        if await self._runs.async_wait_for_earlier_runs(run.name):
            return TargetResult(Verdict.NOT_RUN, RefusalReason.BUSY)
        if not self.ready or self._response_missing:
            return TargetResult(Verdict.NOT_RUN, RefusalReason.TARGET_LOST)
        if run.was_started_before:
            result = self._predecessor_runs.result_of(call)
            if result is not None:
                return result
            self._lease.record_unknown_lease(self._observe())
        self._runs[run.name] = run
        self._signal_changed()
        try:
            await self._async_start(run)
            await run.done.wait()
            log_end(run, self._runner_id)
        finally:
            del self._runs[run.name]
            run.removed.set()
            self._use_successor(clock.boot_s())
        assert run.result is not None
        return run.result

    def is_start_answered(self, call: TargetCall) -> bool:
        """Return whether the runner has confirmed that it has executed the start of a call."""
        run = self._runs.get(RunName(call.task_id, call.run))
        return run is not None and run.call is call and run.acknowledged_at_s is not None

    async def async_start_answered(self) -> None:
        """Wait until the runner confirms the start of another run."""
        await self._start_confirmed.wait()

    def stop(self, call: TargetCall, *, must_end: bool = True) -> None:
        """Ask the runner to stop a run; its call returns once the run is known to have ended.

        A request that waits for another run of its task stops nothing. If the run must end, the
        lease is not renewed while the stop is not carried out.
        """
        run = self._runs.get(RunName(call.task_id, call.run))
        if run is None or run.call is not call:
            return
        if must_end:
            run.stop_requested_at_s = min(run.stop_requested_at_s, clock.boot_s())
        if run.is_stop_requested:
            return
        run.is_stop_requested = True
        logs.event("run_stopped", name=call.name, run=call.run, runner=self._runner_id)
        self._stop_soon(run)

    def _stop_soon(self, run: Run) -> None:
        assert self._nursery is not None
        self._nursery.start_soon(async_stop, self._runner_client, run, self._access)

    def _access(self) -> RunnerAccess | None:
        """Return under what a request is sent now, None if no runner is known."""
        return None if self.identity is None else RunnerAccess(self.identity, self._token)

    async def async_run(self) -> None:
        """Renew the lease and monitor the runs until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._hedge.async_run)
            nursery.start_soon(self._discovery.async_run)
            while True:
                if self.identity is None or not self._needs_hold():
                    await self._changed.wait()
                    self._changed = trio.Event()
                    continue
                await self._async_hold_once(self.identity)

    def watch(self) -> None:
        """Notice when this process was stalled; to be called at short intervals."""
        self._observe()

    def _observe(self) -> float:
        """Return the present boot time, after allowing for a stall of this process before it.

        A request that arrived while the machine was suspended may be executed now.
        """
        now_s = clock.boot_s()
        self._lease.tick(now_s)
        stalled_s = self._lease.stalled_s - self._allowed_stall_s
        if stalled_s > 0.0:
            self._allowed_stall_s = self._lease.stalled_s
            self._unsettled.allow_for_stall(self._runs.values(), stalled_s, now_s)
            self._list_runs_soon()
        return now_s

    async def _async_second_hold(self) -> bool:
        """Send a second request beside the long-polling one, if that is of use."""
        if self.identity is None or not self._needs_second_hold():
            return False
        await self._async_hold_once(self.identity)
        return True

    def _needs_second_hold(self) -> bool:
        """Return whether a second request may find out more, or sooner, than the first."""
        return self._can_long_poll() or (self._response_missing and bool(self._runs))

    def _can_long_poll(self) -> bool:
        """Return whether a response may be delayed until a run ends."""
        if not self._synchronized or self._response_missing or self._foreign_runs:
            return False
        return bool(self._runs) and not self._runs.has_unresolved_start()

    def _needs_hold(self) -> bool:
        if self._in_use.shut_down and not self._runs:
            return False
        pending = not self._synchronized or self._acks.pending or self._response_missing
        return pending or bool(self._runs) or bool(self._foreign_runs)

    async def _async_hold_once(self, identity: RunnerIdentity) -> None:
        sent_at_s = self._observe()
        wait_s = HOLD_WAIT_S if self._can_long_poll() else 0.0
        lease = self._next_lease(sent_at_s)
        outcome = await self._runner_client.async_hold(
            identity, lease, self._acks.next_ack(), wait_s, wait_s + HOLD_TIMEOUT_S
        )
        now_s = self._observe()
        if identity != self.identity:
            return
        if isinstance(outcome, RunList):
            self._apply_run_list(outcome, lease.token, sent_at_s, now_s)
            if self._foreign_runs:
                lease = Lease(self._token, None)
                await async_stop_foreign_runs(
                    self._runner_client, identity, lease, self._foreign_runs
                )
            return
        await self._async_handle_failed_hold(outcome, lease, sent_at_s, now_s)

    def _next_lease(self, now_s: float) -> Lease:
        """Return the lease for the next request.

        The lease is not renewed while a response is missing, so that it expires soon if the runner
        stays silent, nor while a run is overdue.
        """
        is_known = self._synchronized and not self._response_missing and not self._foreign_runs
        if not is_known or not self._runs.needs_lease():
            return Lease(self._token, None)
        if self._runs.is_renewal_paused(now_s):
            return Lease(self._token, None)
        return Lease(self._token, self._lease.grant(now_s))

    def _start_lease(self, now_s: float) -> Lease:
        """Return the lease for a start: a new one, or the latest while none may be granted.

        Without any, the start must not be sent: a runner refuses it as invalid.
        """
        lease = self._next_lease(now_s)
        if lease.until_clock_s is not None:
            return lease
        return Lease(self._token, self._lease.granted_until_clock_s)

    def _record_response(self, clock_s: float, sent_at_s: float, now_s: float) -> None:
        self._lease.record_clock(clock_s, sent_at_s, now_s)
        self._response_missing = False
        self._responded_at_s = now_s

    async def _async_handle_failed_hold(
        self, outcome: HoldOutcome, lease: Lease, sent_at_s: float, now_s: float
    ) -> None:
        """Handle a hold request that returned no list of runs."""
        if isinstance(outcome, Fenced):
            self._handle_fenced(lease.token)
            return
        if isinstance(outcome, NoAnswer):
            if lease.until_clock_s is not None:
                self._raise_token_above(lease.token)
            self._hedge.record_loss(now_s)
            if self._responded_at_s > sent_at_s:
                logs.event("hold_unanswered", runs=len(self._runs), token=self._token)
                return
        self._response_missing = True
        logs.warning("runner_silent", outcome=outcome, runs=len(self._runs), token=self._token)
        if isinstance(outcome, OtherIncarnation):
            self._end_runs(list(self._runs.values()), "other runner")
            self._reset_runner_state(now_s)
        elif self._runs and self._lease.runs_have_ended(now_s):
            self._handle_lease_end(now_s)
        await trio.sleep(RETRY_DELAY_S)

    def _apply_run_list(
        self, run_list: RunList, token: int, sent_at_s: float, now_s: float
    ) -> None:
        """Update all runs from a list that was requested under `token`."""
        identity = self.identity
        assert identity is not None
        if run_list.born_ms != identity.born_ms:
            logs.event("runner_restarted", runner=identity.runner_id, born_ms=run_list.born_ms)
            restarted = RunnerIdentity(identity.runner_id, identity.address, run_list.born_ms)
            self._in_use.use(restarted, now_s)
            self._handle_restart(now_s)
            # The request may have acknowledged these ends, so that no later list shows them.
            for ended in run_list.ended:
                self._apply_ended_run(ended)
            return
        if run_list.clock_s < self._newest_list_clock_s:
            self._response_missing = False
            return
        same_time = run_list.clock_s == self._newest_list_clock_s
        self._newest_list_clock_s = run_list.clock_s
        self._record_response(run_list.clock_s, sent_at_s, now_s)
        self._acks.pending = bool(run_list.ended)
        for ended in run_list.ended:
            self._apply_ended_run(ended)
        for run in list(self._runs.values()):
            self._reconcile_run(run, run_list, token, sent_at_s, now_s)
        was_ready = self.ready
        self._synchronized = True
        foreign_runs = run_list.running - self._runs.keys()
        # Of two lists of one millisecond, either may be the newer one: a run that only one of them
        # has may have ended. It can't have begun, as the token refuses starts of earlier agents.
        self._foreign_runs = foreign_runs & self._foreign_runs if same_time else foreign_runs
        if self.ready != was_ready:
            self._signal_ready_changed()

    def _apply_ended_run(self, ended: EndedRun) -> None:
        self._acks.record_end(ended.number)
        run = self._runs.get(ended.name)
        if run is None:
            self._predecessor_runs.record_end(ended.name, ended.outcome)
            return
        reason = RUN_END_REASONS[ended.outcome]
        if ended.outcome == RunEnd.LAPSED and self._runs.renewal_paused:
            reason = RefusalReason.LEASE_ENDED  # by this agent, not by a fault of the runner
        if run.withheld is None or run.withheld.verdict == Verdict.NOT_RUN or reason is None:
            run.withheld = None
            self._unsettled.record_execution(run, self._observe())
            self._settle(run, Verdict.RAN, reason)

    def _reconcile_run(
        self, run: Run, run_list: RunList, token: int, sent_at_s: float, now_s: float
    ) -> None:
        """Update one run that is not listed as ended.

        A run that is not listed as running either was never started, if its start is unresolved, or
        was lost by the runner, if its start was confirmed before the list was requested.
        """
        if run.result is not None:
            return
        if run.name in run_list.running:
            if run.runner_restarted or run.withheld is not None:
                self._adopt_late_start(run, now_s)
            run.fencing_token = None
            self._unsettled.record_execution(run, now_s)
            self._confirm_start(run, now_s)
        elif run.fencing_token is not None:
            if token < run.fencing_token:
                return
            self._settle_unlisted(run)
        elif run.is_missing(sent_at_s):
            logs.warning("run_missing", name=run.call.name, run=run.call.run)
            self._settle(run, Verdict.RAN, RefusalReason.TARGET_LOST)

    def _settle(self, run: Run, verdict: Verdict, reason: RefusalReason | None) -> None:
        """Set the result of a run on what the runner's present process says of it."""
        assert self._nursery is not None
        self._late_starts.settle(run, verdict, reason, self._nursery)

    def _settle_unlisted(self, run: Run) -> None:
        """Send an unresolved start again, as this process of the runner will not execute it.

        If the runner has restarted, its earlier process may have executed the start. That run has
        ended, but the next process but one may execute an earlier start that got no answer. A later
        list decides if a start is under way.
        """
        if run.is_start_pending:
            return
        if run.runner_restarted:
            logs.warning("run_missing", name=run.call.name, run=run.call.run)
            run.runner_restarted = False
            run.may_have_run = True
            if self._observe() >= run.unsettled_until_s:
                run.end(Verdict.RAN, RefusalReason.TARGET_LOST)
                return
        if run.starts_sent >= MAX_STARTS_SENT:
            run.fencing_token = None
            self._settle(run, Verdict.NOT_RUN, RefusalReason.FENCED)
        else:
            run.fencing_token = None
            assert self._nursery is not None
            self._nursery.start_soon(self._async_start, run)

    def _adopt_late_start(self, run: Run, now_s: float) -> None:
        """Monitor a run that the runner has started since its restart.

        The start's lease was meant for the previous incarnation's clock and may be the longest one.
        """
        logs.event("late_start_found", name=run.call.name, run=run.call.run)
        run.runner_restarted = False
        run.acknowledged_at_s = None
        self._lease.record_unknown_lease(now_s)
        if run.withheld is not None:
            run.withheld = None
            if run.is_stop_requested:
                self._stop_soon(run)

    async def _async_start(self, run: Run) -> None:
        identity = self.identity
        assert identity is not None
        token = self._token
        sent_at_s = self._observe()
        refusal = run.start_refusal(sent_at_s)
        if refusal is not None:
            self._settle(run, Verdict.NOT_RUN, refusal)
            return
        lease = self._start_lease(sent_at_s)
        if lease.until_clock_s is None:
            self._settle(run, Verdict.NOT_RUN, RefusalReason.FENCED)
            return
        is_repeated = run.unsettled_until_s > sent_at_s
        if is_repeated:
            until_s = sent_at_s + START_TIMEOUT_S + LATE_START_S
            self._unsettled.announce_repeat(run, until_s, sent_at_s)
        run.starts_sent += 1
        run.is_start_pending = True
        outcome = await self._runner_client.async_start(identity, run.call, lease, START_TIMEOUT_S)
        run.is_start_pending = False
        now_s = self._observe()
        if isinstance(outcome, Started) and self._lease.is_reset_clock(outcome.clock_s, sent_at_s):
            self._handle_reset_clock(outcome.clock_s, sent_at_s, now_s)
        if isinstance(outcome, NoAnswer):
            self._unsettled.expect(run, now_s + LATE_START_S, now_s)
        elif is_repeated:
            self._unsettled.confirm_repeat(run, now_s)
        if not run.is_settled:
            self._apply_start_outcome(run, outcome, token, sent_at_s, now_s)

    def _handle_reset_clock(self, clock_s: float, sent_at_s: float, now_s: float) -> None:
        """Look at a runner whose clock is behind its bound: it has restarted, or stood still.

        Its next incarnation may have granted the longest lease, as the one that was requested was a
        time on the earlier clock.
        """
        logs.event(
            "runner_clock_reset",
            runner=self._runner_id,
            clock_s=clock_s,
            bound_s=self._lease.clock_bound_s(sent_at_s),
        )
        self._lease.record_unknown_lease(now_s)
        self._acks.pending = False
        self._require_sync()
        self._list_runs_soon()

    def _apply_start_outcome(
        self, run: Run, outcome: StartOutcome, token: int, sent_at_s: float, now_s: float
    ) -> None:
        if run.runner_restarted and not isinstance(outcome, NotStarted):
            return
        if isinstance(outcome, Started):
            self._record_response(outcome.clock_s, sent_at_s, now_s)
            self._confirm_start(run, now_s)
            return
        if isinstance(outcome, NotStarted) and not run.is_unreachable(outcome, now_s):
            if outcome.refusal == StartRefusal.OLD_RUN and run.was_started_before:
                run.end(Verdict.RAN, RefusalReason.TARGET_LOST)
            self._settle(run, Verdict.NOT_RUN, START_REFUSAL_REASONS[outcome.refusal])
            logs.event(
                "start_refused",
                name=run.call.name,
                run=run.call.run,
                reason=outcome.refusal,
                token=token,
            )
            if outcome.refusal == StartRefusal.FENCED:
                self._handle_fenced(token)
            if outcome.refusal == StartRefusal.OTHER_INCARNATION:
                self._require_sync()
            return
        logs.warning(
            "start_unanswered",
            name=run.call.name,
            run=run.call.run,
            token=token,
            detail=outcome,
        )
        self._fence_start(run, token)

    def _fence_start(self, run: Run, token: int) -> None:
        """Raise the token, so that a list under the new token resolves an unanswered start."""
        self._raise_token_above(token)
        run.fencing_token = self._token
        self._signal_changed()
        assert self._nursery is not None
        self._nursery.start_soon(self._async_resolve_start, run)

    async def _async_resolve_start(self, run: Run) -> None:
        """List the runs, in parallel to a long-polling hold, until a start is resolved."""
        while run.result is None and run.fencing_token is not None:
            identity = self.identity
            if identity is None:
                return
            sent_at_s = self._observe()
            lease = self._next_lease(sent_at_s)
            outcome = await self._runner_client.async_hold(
                identity, lease, self._acks.next_ack(), 0.0, HOLD_TIMEOUT_S
            )
            if identity != self.identity:
                return
            if isinstance(outcome, RunList):
                self._apply_run_list(outcome, lease.token, sent_at_s, self._observe())
            elif isinstance(outcome, Fenced):
                self._handle_fenced(lease.token)
            else:
                if lease.until_clock_s is not None:
                    self._raise_token_above(lease.token)
                await trio.sleep(RETRY_DELAY_S)

    def _raise_token_above(self, token: int) -> None:
        """Use a higher token from now on, so that late requests under an older one are rejected."""
        self._token = max(self._token, token + 1)

    def _handle_fenced(self, token: int) -> None:
        """Exceed the tokens that the runner has seen, unless only an older token was rejected."""
        if token == self._token:
            self._advance_token()

    def _advance_token(self) -> None:
        """Raise the token by a step that doubles each time, to exceed those the runner has seen."""
        self._token += self._token_step
        self._token_step *= 2
        logs.event("token_raised", token=self._token)

    def _handle_restart(self, now_s: float) -> None:
        """Reset the state known of a runner that has restarted under the same id.

        The new incarnation may execute starts that were sent before, because it has seen no fencing
        token. Runs are therefore settled by a list that it returns under the raised token. If there
        is none, they are settled by the end of the longest lease that it may have granted; those
        whose start was not confirmed only after the time in which it may still be executed.
        """
        self._reset_runner_state(now_s)
        self._lease.record_unknown_lease(now_s)
        for run in self._runs.values():
            if run.acknowledged_at_s is None and not run.is_settled:
                self._unsettled.expect(run, now_s + LATE_START_S, now_s)
            run.fencing_token = self._token
            run.acknowledged_at_s = None
            run.runner_restarted = True
        self._list_runs_soon()

    def _list_runs_soon(self) -> None:
        """List the runs without waiting for a long-polling request to the previous incarnation."""
        if self._nursery is not None and self.identity is not None:
            self._nursery.start_soon(self._async_hold_once, self.identity)

    def _handle_lease_end(self, now_s: float) -> None:
        """End the runs whose lease must have expired, if there are any."""
        runs = [run for run in self._runs.values() if run.ends_with_lease(now_s)]
        if runs:
            self._end_runs(runs, "lease ended")
            self._require_sync()

    def _reset_runner_state(self, now_s: float) -> None:
        """Reset the state known of the runner's previous incarnation."""
        self._foreign_runs = frozenset()
        self._newest_list_clock_s = -math.inf
        self._acks = EndAcks()
        self._lease.reset(now_s)
        self._response_missing = False
        self._require_sync()

    def _require_sync(self) -> None:
        """Block new starts until the runs have been listed under a higher token."""
        self._synchronized = False
        self._token += 1
        self._signal_changed()
        self._signal_ready_changed()

    @property
    def _runner_id(self) -> str:
        """Return the id of the runner in use for log lines, empty before any has answered."""
        return self.identity.runner_id if self.identity is not None else ""

    def _confirm_start(self, run: Run, now_s: float) -> None:
        """Record that the runner has executed the start of a run."""
        if run.acknowledged_at_s is not None:
            return
        run.acknowledged_at_s = now_s
        logs.event("run_started", name=run.call.name, run=run.call.run, runner=self._runner_id)
        confirmed, self._start_confirmed = self._start_confirmed, trio.Event()
        confirmed.set()

    def _end_runs(self, runs: list[Run], why: str) -> None:
        for run in runs:
            run.end(Verdict.RAN, RefusalReason.TARGET_LOST)
        if runs:
            lease_left_s = self._lease.expires_at_s - clock.boot_s()
            logs.warning("runs_lost", runs=len(runs), why=why, lease_left_s=lease_left_s)

    def _signal_changed(self) -> None:
        self._changed.set()

    def _signal_ready_changed(self) -> None:
        changed, self._ready_changed = self._ready_changed, trio.Event()
        changed.set()
