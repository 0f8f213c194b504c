"""Specification of leased runs, small enough for an explicit-state model checker.

It models one run of a best-effort task: the entry that placed it, its agent and its runner. The
second run of the task is a flag: once it may start, it runs for good at another runner, which is
the worst case. It may start when the entry takes the first run for ended, or when the caller, who
left, sends the job again to another entry after `RESEND_TICKS`. The invariant is that the first
run is not in progress then, nor later.

Time is counted in ticks; a process that runs reacts within the same tick. A process that is frozen
or out of reach does nothing while time passes. Messages of the entry may be delivered late, also
after their link was closed, or never. While requests to the runner are late, each may be executed
at once without an answer, or never, and starts also at any later time, by whichever process of the
runner is up then. Other tasks at the same runner are always there, so its lease is renewed whenever
the agent may do so.

The time after which a late start can't come any more is longer than all other times, and than the
lease of what it begins. So who waits for it waits until no start is late and what one has begun has
ended; that a start never comes is a step of its own. Another entry is
told what an agent tells all entries, and asks the first entry while that one is up.

A suspended machine stands still: the runner's clock and its run, and the agent, but not the lease
of the entry, which counts real time. The entry can't tell it from a lost one and may begin the
second run, so that this fault is checked only for what the agent reports (`AGENT_INVARIANTS`).

`RUNS_END_TICKS` and `RESEND_TICKS` have no room: with one tick less, the runs overlap. The sums in
the implementation add margins for timers, drifting clocks and the duration of a stop.

| action of the specification | implementation |
| --- | --- |
| send stamp | `entry.agents.AgentDirectory._check_link`, `view_stamp` |
| deliver stamp | `agent.runner.TaskRunner.merge_stamp`, `agent.leases.EntryLeases.renew` |
| deliver start | `TaskRunner.start_tasks`, `agent.start_table.StartTable.admit` |
| start | `TaskRunner._start_refusal`, `agent.leased_target.LeasedTarget._async_start` |
| hold | `LeasedTarget._async_hold_once`, `_async_resolve_start`, `_apply_run_list` |
| may a hold renew | `LeasedTarget._next_lease`, `Run.is_overdue` |
| lease of the entry ends, withdraw | `TaskRunner.end_orphaned_tasks` |
| stop | `LeasedTarget.stop`, `run_stops.async_stop` |
| runner is silent | `LeasedTarget._handle_lease_end`, `runner_lease.RunnerLease` |
| runner restarted | `LeasedTarget._handle_restart` |
| withhold, release, start again | `late_starts.LateStarts`, `LeasedTarget._settle_unlisted` |
| notice | `late_start_notices.LateStartNotices`, `entry.late_starts.LateStartTable` |
| answer told | `TaskRunner._tell_answered`, `Dispatcher._awaits_late_start` |
| report | `agent.reports.ReportSender`, `entry.dispatcher.Dispatcher.tasks_reported` |
| hear | `AgentDirectory._record_clock`, `view_stamp` |
| relink | `Dispatcher.link_opened`, `StartTable.query`, `TaskRunner.cancel` |
| successor takes over | `entry.successors`, `agent.predecessor_runs.PredecessorRuns` |
| suspended machine | `RunnerLease.tick`, `RunnerLease.record_clock` |
| leases end | `entry.agent.Agent.runs_end_s`, `Dispatcher.runs_ended` |
| successor accepts | `LeasedTarget.ready`; entries also wait until the leases have ended |
| caller leaves | `entry.best_effort.BestEffortJobs.async_run`, `Dispatcher.cancel` |
"""

from collections.abc import Iterator
from typing import Any

from attrs import evolve

from .spec_state import (
    IN_PROGRESS,
    AgentState,
    Bounds,
    Guard,
    Placement,
    Process,
    Request,
    RunnerState,
    SystemState,
)

ENTRY_LEASE_TICKS = 1
RUNNER_LEASE_TICKS = 2
# The last renewal at the runner is at the latest one tick before the lease of the entry ends.
RUNS_END_TICKS = ENTRY_LEASE_TICKS + RUNNER_LEASE_TICKS - 1
RESEND_TICKS = RUNS_END_TICKS
LONGEST_LEASE_TICKS = RUNNER_LEASE_TICKS + 1  # to which the runner shortens longer ones
NAMED_KINDS = frozenset({"machine suspended"})  # of faults, which occur only if they are named


Step = tuple[str, SystemState]


def initial(bounds: Bounds) -> SystemState:
    """Return the initial state, in which the start has just been sent to the agent."""
    return SystemState(
        bounds.faults, fault_kinds=bounds.kinds, entries_linked=bounds.entries_linked
    )


def steps(system: SystemState, guards: frozenset[Guard]) -> Iterator[Step]:
    """Yield all successor states, each with a label, under a set of guards.

    There are none once the first run can't be in progress any more.
    """
    if not _may_be_in_progress(system):
        return
    if _may_tick(system, guards):
        yield "tick", _tick(system, guards)
    if system.faults_left:
        for label, after in _faults(evolve(system, faults_left=system.faults_left - 1)):
            if _may_occur(label, system.fault_kinds):
                yield label, after
    yield from _recoveries(system, guards)
    yield from _caller_steps(system, guards)
    if system.entry.process == Process.UP:
        yield from _entry_steps(system, guards)
    if system.agent.process == Process.UP:
        yield from _deliveries(system, guards)
        yield from _agent_steps(system, guards)
    if system.agent.process == Process.DEAD:
        yield from _successor_steps(system, guards)
    for position, request in enumerate(system.late_starts):
        rest = system.late_starts[:position] + system.late_starts[position + 1 :]
        if not system.suspended:
            yield "late start", _execute_late(evolve(system, late_starts=rest), request)
        yield "start never comes", evolve(system, late_starts=rest)


def _may_occur(fault: str, kinds: frozenset[str]) -> bool:
    return fault in kinds if kinds else fault not in NAMED_KINDS


def _may_be_in_progress(system: SystemState) -> bool:
    """Return whether the first run is in progress or may start later."""
    if system.runner.running or system.late_starts:
        return True
    if system.agent.process == Process.DEAD:
        return False
    before_start = (Placement.QUEUED, Placement.PREPARED, Placement.WITHHELD)
    undelivered = system.start_ticks is not None and system.agent.placement == Placement.UNKNOWN
    return undelivered or system.agent.placement in before_start


def _faults(system: SystemState) -> Iterator[Step]:
    entry, agent = system.entry, system.agent
    if entry.process == Process.UP:
        killed = _entry(system, process=Process.DEAD, linked=False)
        left_ticks = 0 if system.left_ticks is None else system.left_ticks
        yield "entry killed", evolve(killed, left_ticks=left_ticks)
        yield "entry frozen", _entry(system, process=Process.FROZEN)
    if agent.process == Process.UP:
        killed = _agent(system, process=Process.DEAD)
        yield "agent killed", _entry(killed, linked=False)
        yield "agent frozen", _agent(system, process=Process.FROZEN)
        frozen = _agent(system, process=Process.FROZEN)
        yield "machine suspended", evolve(frozen, suspended=True)
    if not system.cut:
        yield "cut", evolve(system, cut=True)
        yield "reset", _close_link(system)
    if not system.requests_late:
        yield "requests late", evolve(system, requests_late=True)
    if not system.suspended:
        yield "runner restarted", _restart(system)


def _restart(system: SystemState) -> SystemState:
    """Restart the runner; a late start's deadline is far ahead by the new process's clock."""
    late_starts = tuple(
        evolve(request, lease_ticks=RUNNER_LEASE_TICKS) for request in system.late_starts
    )
    system = _agent(system, restart_known=False)
    return evolve(system, runner=RunnerState(restarted=True), late_starts=late_starts)


def _recoveries(system: SystemState, guards: frozenset[Guard]) -> Iterator[Step]:
    if system.cut:
        yield "cut ends", evolve(system, cut=False)
    if system.cut and system.entry.linked:
        yield "link closed", _close_link(system)
    if system.entry.process == Process.FROZEN:
        yield "entry wakes", _entry(system, process=Process.UP)
    if system.suspended:
        ahead = Guard.CLOCK not in guards
        resumed = _agent(system, process=Process.UP, bound_ahead=ahead)
        yield "machine resumes", evolve(resumed, suspended=False)
    elif system.agent.process == Process.FROZEN:
        yield "agent wakes", _agent(system, process=Process.UP)


def _caller_steps(system: SystemState, guards: frozenset[Guard]) -> Iterator[Step]:
    if system.left_ticks is None:
        yield "caller leaves", evolve(system, left_ticks=0)
    elif system.left_ticks >= RESEND_TICKS and not system.second_run:
        entry = system.entry
        told = system.others_told and _is_late_start_due(system)
        holds = system.entries_linked or _awaits_late_start(system, guards)
        held = entry.process == Process.UP and not entry.settled and holds
        if not told and not held:
            yield "second run by another entry", evolve(system, second_run=True)


def _entry_steps(system: SystemState, guards: frozenset[Guard]) -> Iterator[Step]:
    entry = system.entry
    reachable = not system.cut and system.agent.process == Process.UP
    if system.left_ticks is not None and not entry.cancelled:
        cancelled = _entry(system, cancelled=True)
        yield "caller's leave noticed", evolve(cancelled, cancel_sent=entry.linked)
    if entry.linked:
        yield "send stamp", _send_stamp(system, guards)
    noticed = system.left_ticks is None or entry.cancelled
    if entry.linked and entry.stalled_ticks and reachable and noticed:
        yield "hear", _entry(system, stalled_ticks=0)
    if not entry.linked and reachable and noticed:
        yield "relink", _relink(system, guards)
    waited = entry.silent_ticks >= RUNS_END_TICKS or Guard.RUNS_END not in guards
    waited = waited and not _awaits_late_start(system, guards)
    if not entry.linked and not entry.settled and waited:
        yield "leases end", _settle(system)
    if entry.linked and reachable and system.agent.placement == Placement.ENDED:
        yield "report", _settle(system)


def _awaits_late_start(system: SystemState, guards: frozenset[Guard]) -> bool:
    """Return whether the entry waits, as far as it knows, for a start that may come."""
    entry = system.entry
    unknown = not entry.answered and Guard.ANSWERED in guards
    return (entry.told or unknown) and _is_late_start_due(system)


def _is_late_start_due(system: SystemState) -> bool:
    """Return whether a start is late, or one has begun a run that goes on."""
    return bool(system.late_starts) or (system.runner.running and system.runner.began_late)


def _deliveries(system: SystemState, guards: frozenset[Guard]) -> Iterator[Step]:
    if system.cut:
        return
    if system.stamp_ticks is not None:
        yield "deliver stamp", _deliver_stamp(system, system.stamp_ticks, guards)
    if system.start_ticks is not None:
        yield "deliver start", _deliver_start(system, system.start_ticks, guards)
    if system.cancel_sent and system.entry.linked:
        yield "deliver cancel", _cancel(system)


def _agent_steps(system: SystemState, guards: frozenset[Guard]) -> Iterator[Step]:
    agent = system.agent
    if agent.placement == Placement.QUEUED and _may_start(agent, guards):
        if Guard.CHECK_AT_SEND in guards:
            yield from _start(system, guards)
        else:
            yield "prepare start", _agent(system, placement=Placement.PREPARED)
    if agent.placement == Placement.PREPARED:
        yield from _start(system, guards)
    if agent.lease_ticks == 0 and agent.placement == Placement.QUEUED:
        yield "withdraw", _withdraw(system)
    if _lease_end_is_due(agent, guards):
        yield "lease of the entry ends", _agent(system, must_end=True)
    if agent.must_end and agent.placement in IN_PROGRESS:
        yield from _requests(system, Request("stop", agent.token), "stop", guards)
    if agent.placement in (Placement.RUNNING, Placement.UNANSWERED):
        yield from _hold(system, guards)
    if agent.placement in IN_PROGRESS:
        yield from _presumptions(system, guards)
    if agent.placement == Placement.WITHHELD:
        yield from _withheld_steps(system, guards)
    yield from _notices(system, guards)


def _withdraw(system: SystemState) -> SystemState:
    """Take a placement out of the queue; a run that was to be taken over is stopped if it comes."""
    if system.agent.unsettled and (system.late_starts or system.runner.running):
        return _agent(system, placement=Placement.WITHHELD, must_end=True)
    return _agent(system, placement=Placement.ENDED)


def _withheld_steps(system: SystemState, guards: frozenset[Guard]) -> Iterator[Step]:
    """Yield what an agent does about a run that has not begun, but may."""
    agent = system.agent
    yield from _requests(system, Request("hold", agent.token), "look", guards)
    if not system.late_starts:
        return
    may_repeat = not agent.repeated and not agent.must_end
    if may_repeat and _may_start(agent, guards):
        yield from _start(system, guards)


def _notices(system: SystemState, guards: frozenset[Guard]) -> Iterator[Step]:
    """Yield what an agent tells entries of the start; messages on a link keep their order."""
    reachable = system.entry.linked and not system.cut
    if _notice_is_due(system, guards):
        told = _entry(system, told=system.entry.told or reachable)
        yield "notice", evolve(told, others_told=True)
        return
    answered = system.agent.placement == Placement.RUNNING
    if answered and reachable and not system.entry.answered:
        yield "answer told", _entry(system, answered=True)


def _notice_is_due(system: SystemState, guards: frozenset[Guard]) -> bool:
    """Return whether entries have not been told of a start without an answer."""
    if not system.agent.unsettled or Guard.NOTICE not in guards:
        return False
    reachable = system.entry.linked and not system.cut
    return not system.others_told or (reachable and not system.entry.told)


def _presumptions(system: SystemState, guards: frozenset[Guard]) -> Iterator[Step]:
    """Yield the ways by which the agent takes a run for ended that is not listed as ended."""
    agent, runner = system.agent, system.runner
    ended = _agent(system, placement=Placement.ENDED)
    expired = agent.granted_ticks == 0 or Guard.RUNNER_LEASE not in guards
    if agent.unsettled and _is_late_start_due(system) and Guard.WITHHOLD in guards:
        expired = False
    if system.requests_late and expired and not runner.restarted:
        yield "runner is silent", ended
    if Guard.ANNOUNCEMENT not in guards:
        yield "announcement", ended
    if runner.restarted and not agent.restart_known and Guard.LOOK not in guards:
        yield "restart noticed", _agent(ended, restart_known=True)


def _successor_steps(system: SystemState, guards: frozenset[Guard]) -> Iterator[Step]:
    """Yield the steps of the process that replaces a killed agent; it lists the runs first."""
    if system.entry.process != Process.UP or system.entry.settled or system.cut:
        return
    if _awaits_late_start(system, guards):
        if not system.entry.cancelled:
            yield "successor takes over", _take_over(system)
        return
    if Guard.SUCCESSOR not in guards:
        yield "successor accepts", _settle(system)
        return
    listed = _runner(system, token=_next_token(system))
    if not system.runner.running:
        yield "successor accepts", _settle(listed)


def _take_over(system: SystemState) -> SystemState:
    """Place the same run at the successor of the agent, for which the first start may come."""
    token = _next_token(system)
    successor = AgentState(
        placement=Placement.QUEUED,
        lease_ticks=ENTRY_LEASE_TICKS,
        link_ticks=ENTRY_LEASE_TICKS,
        token=token,
        granted_ticks=RUNNER_LEASE_TICKS,
        restart_known=system.runner.restarted,
        sent=True,
        repeated=True,
        unsettled=True,
    )
    system = evolve(_runner(system, token=token), agent=successor)
    system = _entry(system, linked=True, silent_ticks=0, stalled_ticks=0, answered=False)
    return evolve(system, start_ticks=None, stamp_ticks=None, old_link=False, cancel_sent=False)


def _next_token(system: SystemState) -> int:
    return max(system.agent.token, system.runner.token) + 1


def _may_tick(system: SystemState, guards: frozenset[Guard]) -> bool:
    """Return whether every process that runs has done what it does within a tick."""
    entry, agent = system.entry, system.agent
    if entry.process == Process.UP and system.left_ticks is not None and not entry.cancelled:
        return False
    if agent.process != Process.UP:
        return True
    if system.cancel_sent and entry.linked and not system.cut:
        return False
    if _notice_is_due(system, guards):
        return False
    stopping = agent.must_end and agent.placement in IN_PROGRESS and not system.requests_late
    return not stopping and not _lease_end_is_due(agent, guards)


def _lease_end_is_due(agent: AgentState, guards: frozenset[Guard]) -> bool:
    ended = agent.lease_ticks == 0 and agent.placement in IN_PROGRESS
    return ended and not agent.must_end and Guard.LEASE_END in guards


def _tick(system: SystemState, guards: frozenset[Guard]) -> SystemState:
    entry, agent = system.entry, system.agent
    frozen_ticks = entry.stalled_ticks + (entry.process == Process.FROZEN)
    system = _entry(
        system,
        silent_ticks=min(entry.silent_ticks + 1, RUNS_END_TICKS),
        stalled_ticks=min(frozen_ticks, ENTRY_LEASE_TICKS),
    )
    system = _agent(
        system,
        lease_ticks=max(0, agent.lease_ticks - 1),
        link_ticks=max(0, agent.link_ticks - 1),
    )
    if not system.suspended or Guard.SUSPENDED_LEASE not in guards:
        system = _agent(system, granted_ticks=max(0, agent.granted_ticks - 1))
    if not system.suspended:
        system = _tick_runner(system)
    return evolve(
        system,
        start_ticks=_older(system.start_ticks),
        stamp_ticks=_older(system.stamp_ticks),
        left_ticks=None if system.left_ticks is None else min(system.left_ticks + 1, RESEND_TICKS),
    )


def _tick_runner(system: SystemState) -> SystemState:
    """Let time pass on the runner's clock."""
    system = _runner(system, lease_ticks=max(0, system.runner.lease_ticks - 1))
    if system.runner.running and system.runner.lease_ticks == 0:
        system = _runner(system, running=False, refused=True)
    late_starts = tuple(
        evolve(request, lease_ticks=max(0, request.lease_ticks - 1))
        for request in system.late_starts
    )
    return evolve(system, late_starts=late_starts)


def _older(age_ticks: int | None) -> int | None:
    return None if age_ticks is None else min(age_ticks + 1, ENTRY_LEASE_TICKS)


# The entry and its messages


def _send_stamp(system: SystemState, guards: frozenset[Guard]) -> SystemState:
    stalled_ticks = system.entry.stalled_ticks if Guard.STALL in guards else 0
    system = _entry(system, silent_ticks=0)
    return evolve(system, stamp_ticks=stalled_ticks, stamp_after_cancel=system.cancel_sent)


def _close_link(system: SystemState) -> SystemState:
    system = _entry(system, linked=False)
    return evolve(system, old_link=True, cancel_sent=False)


def _relink(system: SystemState, guards: frozenset[Guard]) -> SystemState:
    """Open a link, and process the entry's first messages on it."""
    agent = system.agent
    told = system.entry.told or (agent.unsettled and Guard.NOTICE in guards)
    system = _entry(system, linked=True, stalled_ticks=0, told=told)
    if system.entry.cancelled and Guard.CANCEL_AGAIN in guards:
        system = _cancel(system)
    if not system.entry.settled:
        if agent.placement == Placement.UNKNOWN:
            if Guard.QUERY in guards:
                system = _agent(system, placement=Placement.FENCED)
            system = _settle(system)
        elif agent.placement == Placement.QUEUED:
            system = evolve(system, old_link=False)
    return _send_stamp(system, guards)


def _settle(system: SystemState) -> SystemState:
    """Let the entry place the task again, unless its caller has left."""
    second_run = system.second_run or not (system.entry.settled or system.entry.cancelled)
    return evolve(_entry(system, settled=True), second_run=second_run)


def _deliver_stamp(system: SystemState, age_ticks: int, guards: frozenset[Guard]) -> SystemState:
    if system.stamp_after_cancel:
        system = evolve(_cancel(system), stamp_after_cancel=False)
    agent = system.agent
    lease_ticks = _stamped_ticks(age_ticks, guards)
    link_ticks = agent.link_ticks if system.old_link else max(agent.link_ticks, lease_ticks)
    lease_ticks = max(agent.lease_ticks, lease_ticks)
    return evolve(_agent(system, lease_ticks=lease_ticks, link_ticks=link_ticks), stamp_ticks=None)


def _deliver_start(system: SystemState, age_ticks: int, guards: frozenset[Guard]) -> SystemState:
    agent = system.agent
    lease_ticks = _stamped_ticks(age_ticks, guards)
    system = evolve(
        _agent(system, lease_ticks=max(agent.lease_ticks, lease_ticks), link_ticks=lease_ticks),
        start_ticks=None,
    )
    if agent.placement != Placement.UNKNOWN or agent.sealed:
        return system
    return _agent(system, placement=Placement.QUEUED)


def _stamped_ticks(age_ticks: int, guards: frozenset[Guard]) -> int:
    if Guard.STAMP_AGE not in guards:
        return ENTRY_LEASE_TICKS
    return ENTRY_LEASE_TICKS - age_ticks


def _cancel(system: SystemState) -> SystemState:
    system = evolve(_agent(system, sealed=True), cancel_sent=False)
    if system.agent.placement == Placement.QUEUED:
        return _withdraw(system)
    return _agent(system, must_end=True)


# The agent and its requests to the runner


def _may_start(agent: AgentState, guards: frozenset[Guard]) -> bool:
    if agent.sealed:
        return False
    if Guard.START_UNDER_LEASE not in guards:
        return True
    own_link = agent.link_ticks > 0 or Guard.OWN_LINK not in guards
    return agent.lease_ticks > 0 and own_link


def _start(system: SystemState, guards: frozenset[Guard]) -> Iterator[Step]:
    agent = system.agent
    request = Request("start", agent.token, _sent_lease_ticks(agent))
    sent = evolve(agent, granted_ticks=RUNNER_LEASE_TICKS, sent=True, repeated=agent.sent)
    system = evolve(system, agent=sent)
    executed = _execute(system, request)
    if executed.runner.running:
        yield "start", _agent(executed, placement=Placement.RUNNING)
    else:
        yield "start refused", _end(executed, guards)
    if not system.requests_late:
        return
    token = agent.token + (Guard.FENCE in guards)
    unanswered = _agent(system, placement=Placement.UNANSWERED, token=token, unsettled=True)
    yield "start, answer lost", _execute(unanswered, request)
    yield "start, late", evolve(unanswered, late_starts=(*system.late_starts, request))


def _end(system: SystemState, guards: frozenset[Guard]) -> SystemState:
    """End a run that the runner has not, or withhold that while a start of it may come."""
    withhold = system.agent.unsettled and bool(system.late_starts) and Guard.WITHHOLD in guards
    if system.runner.restarted and Guard.NEXT_LIST not in guards:
        withhold = False
    return _agent(system, placement=Placement.WITHHELD if withhold else Placement.ENDED)


def _hold(system: SystemState, guards: frozenset[Guard]) -> Iterator[Step]:
    """Yield the outcomes of a request that lists the runs, and renews the lease if it may."""
    agent = system.agent
    leased = agent.lease_ticks > 0 or Guard.LEASE_END not in guards
    renews = leased and not agent.must_end
    if not renews and Guard.RENEWAL in guards:
        yield from _requests(system, Request("hold", agent.token), "hold", guards)
        return
    system = _agent(system, granted_ticks=max(agent.granted_ticks, RUNNER_LEASE_TICKS))
    request = Request("hold", agent.token, _sent_lease_ticks(agent))
    yield from _requests(system, request, "hold", guards)


def _sent_lease_ticks(agent: AgentState) -> int:
    """Return how long a lease lasts at the runner that the agent takes for one of usual length."""
    return LONGEST_LEASE_TICKS if agent.bound_ahead else RUNNER_LEASE_TICKS


def _requests(
    system: SystemState, request: Request, label: str, guards: frozenset[Guard]
) -> Iterator[Step]:
    """Yield the outcomes of a stop or a hold."""
    yield label, _apply_list(_execute(system, request), guards)
    if system.requests_late:
        yield f"{label}, answer lost", _execute(system, request)


def _apply_list(system: SystemState, guards: frozenset[Guard]) -> SystemState:
    """Apply the runner's list of runs; a start that was sent once can't come after it is listed."""
    system = _agent(system, restart_known=system.runner.restarted)
    if not system.runner.running:
        return _end(system, guards)
    unsettled = system.agent.unsettled and system.agent.repeated
    return _agent(system, placement=Placement.RUNNING, unsettled=unsettled)


def _execute(system: SystemState, request: Request) -> SystemState:
    """Execute a request at the runner."""
    runner = system.runner
    if request.token < runner.token:
        return system
    lease_ticks = max(runner.lease_ticks, request.lease_ticks)
    system = _runner(system, token=request.token, lease_ticks=lease_ticks)
    if request.kind == "stop":
        return _runner(system, running=False, refused=True)
    if request.kind == "start" and lease_ticks > 0 and not runner.refused:
        return _runner(system, running=True)
    return system


def _execute_late(system: SystemState, request: Request) -> SystemState:
    """Execute a late start at the runner."""
    was_running = system.runner.running
    system = _execute(system, request)
    began = system.runner.running and not was_running
    return _runner(system, began_late=True) if began else system


def _entry(system: SystemState, **changes: Any) -> SystemState:
    return evolve(system, entry=evolve(system.entry, **changes))


def _agent(system: SystemState, **changes: Any) -> SystemState:
    return evolve(system, agent=evolve(system.agent, **changes))


def _runner(system: SystemState, **changes: Any) -> SystemState:
    return evolve(system, runner=evolve(system.runner, **changes))


def runs_do_not_overlap(system: SystemState) -> bool:
    """Return whether the first run has ended if the second is in progress."""
    return not (system.second_run and system.runner.running)


def reported_run_has_ended(system: SystemState) -> bool:
    """Return whether the first run has ended if its agent takes it for ended."""
    return not (system.agent.placement == Placement.ENDED and system.runner.running)


INVARIANTS = {"runs_do_not_overlap": runs_do_not_overlap}
AGENT_INVARIANTS = {"reported_run_has_ended": reported_run_has_ended}
