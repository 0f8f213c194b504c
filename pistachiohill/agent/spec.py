"""Specification of leased runs, small enough for an explicit-state model checker.

It models one run of a best-effort task: the entry that placed it, its agent and its runner. The
second run of the task is a flag: once it may start, it runs for good at another runner, which is
the worst case. It may start when the entry takes the first run for ended, or when the caller, who
left, sends the job again to another entry after `RESEND_TICKS`. The invariant is that the first
run is not in progress then, nor later.

Time is counted in ticks; a process that runs reacts within the same tick. A process that is frozen
or out of reach does nothing while time passes. Messages of the entry may be delivered late, also
after their link was closed, or never. While requests to the runner are late, each may be executed
at once without an answer, or never, and starts also at any later time. Other tasks at the same
runner are always there, so its lease is renewed whenever the agent may do so.

`RUNS_END_TICKS` and `RESEND_TICKS` have no room: with one tick less, the runs overlap. The sums in
the implementation add margins for timers, drifting clocks and the duration of a stop.

A start that a restarted runner executes when nobody waits for it any more is left out: nothing
prevents that yet.

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
| report | `agent.reports.ReportSender`, `entry.dispatcher.Dispatcher.tasks_reported` |
| hear | `AgentDirectory._record_clock`, `view_stamp` |
| relink | `Dispatcher.link_opened`, `StartTable.query`, `TaskRunner.cancel` |
| leases end | `entry.agent.Agent.runs_end_s`, `Dispatcher.runs_ended` |
| successor accepts | `LeasedTarget.ready`; entries also wait until the leases have ended |
| caller leaves | `entry.best_effort.BestEffortJobs.async_run`, `Dispatcher.cancel` |
"""

from collections.abc import Iterator
from enum import IntEnum, StrEnum
from typing import Any

from attrs import evolve, frozen

ENTRY_LEASE_TICKS = 1
RUNNER_LEASE_TICKS = 2
# The last renewal at the runner is at the latest one tick before the lease of the entry ends.
RUNS_END_TICKS = ENTRY_LEASE_TICKS + RUNNER_LEASE_TICKS - 1
RESEND_TICKS = RUNS_END_TICKS
SUCCESSOR_TOKEN = 9


class Guard(StrEnum):
    """Guard of the protocol; each mutant of the specification omits one of them."""

    START_UNDER_LEASE = "an agent starts a run only under a recent stamp of its entry"
    CHECK_AT_SEND = "the entry's lease is checked when the start is sent, not before a pause"
    OWN_LINK = "that stamp has to arrive on the link on which the entry names the placement"
    STAMP_AGE = "the entry's lease counts from the time that its stamp proves, not from the arrival"
    STALL = "an entry that was stalled proves nothing until it hears from the agent"
    LEASE_END = "runs of an entry whose lease has ended must end"
    RENEWAL = "an agent renews no lease at the runner while a run that must end may go on"
    FENCE = "the fencing token is raised after an unanswered start"
    RUNNER_LEASE = "runs at a silent runner have ended only when their lease must have"
    LOOK = "after a restart of the runner, starts sent before are looked up there"
    ANNOUNCEMENT = "an announcement ends no run"
    SUCCESSOR = "a new agent process accepts tasks only when no earlier run is listed"
    QUERY = "a query on a new link fences placements that the agent does not know"
    CANCEL_AGAIN = "a cancellation is repeated on a new link"
    RUNS_END = "an entry takes runs for ended after the sum of the leases only"


class Process(IntEnum):
    """State of a process."""

    UP = 0
    FROZEN = 1
    DEAD = 2


class Placement(StrEnum):
    """State of the placement at the agent; PREPARED only if starts are checked too early."""

    UNKNOWN = "unknown"
    FENCED = "fenced"
    QUEUED = "queued"
    PREPARED = "prepared"
    UNANSWERED = "unanswered"
    RUNNING = "running"
    ENDED = "ended"


IN_PROGRESS = (Placement.UNANSWERED, Placement.RUNNING)


@frozen
class Bounds:
    """Bounds of the model: the number of faults."""

    faults: int


@frozen
class EntryState:
    """The entry that placed the first run.

    Fields:
        silent_ticks: Ticks since it last sent something to the agent.
        stalled_ticks: By how much its stamps are older than the time at which they are sent.
        settled: Whether it knows, or takes it for known, that the first run has ended.
        cancelled: Whether it has noticed that the caller left.
    """

    process: Process = Process.UP
    linked: bool = True
    silent_ticks: int = 0
    stalled_ticks: int = 0
    settled: bool = False
    cancelled: bool = False


@frozen
class AgentState:
    """The agent beside the first run's runner.

    Fields:
        lease_ticks: Rest of the entry's lease.
        link_ticks: How long the latest stamp on the link of the start allows it to be sent.
        must_end: Whether the run is being stopped.
        sealed: Whether the job was cancelled here.
        granted_ticks: Ticks for which a lease that it has granted may still last.
        restart_known: Whether it has noticed the restart of the runner.
    """

    process: Process = Process.UP
    placement: Placement = Placement.UNKNOWN
    lease_ticks: int = 0
    link_ticks: int = 0
    must_end: bool = False
    sealed: bool = False
    token: int = 0
    granted_ticks: int = 0
    restart_known: bool = False


@frozen
class RunnerState:
    """The runner of the first run; `refused` means that the run's number is refused from now on."""

    restarted: bool = False
    running: bool = False
    refused: bool = False
    lease_ticks: int = 0
    token: int = 0


@frozen
class Request:
    """Request to the runner, for a lease that lasts `lease_ticks`."""

    kind: str
    token: int
    lease_ticks: int = 0


@frozen
class SystemState:
    """State of the whole system.

    Fields:
        late_start: Start that was sent to the runner and is not executed yet.
        start_ticks, stamp_ticks: Age of the start and of the stamp in flight, None if there is
            none.
        cancel_sent: Whether a cancellation is in flight.
        stamp_after_cancel: Whether the stamp was sent after a cancellation, on the same link.
        old_link: Whether the start was sent on a link that is closed.
        left_ticks: Ticks since the caller left, None before.
        second_run: Whether the second run is in progress.
    """

    faults_left: int
    entry: EntryState = EntryState()
    agent: AgentState = AgentState()
    runner: RunnerState = RunnerState()
    late_start: Request | None = None
    start_ticks: int | None = 0
    stamp_ticks: int | None = None
    old_link: bool = False
    cancel_sent: bool = False
    stamp_after_cancel: bool = False
    cut: bool = False
    requests_late: bool = False
    left_ticks: int | None = None
    second_run: bool = False


Step = tuple[str, SystemState]


def initial(bounds: Bounds) -> SystemState:
    """Return the initial state, in which the start has just been sent to the agent."""
    return SystemState(bounds.faults)


def steps(system: SystemState, guards: frozenset[Guard]) -> Iterator[Step]:
    """Yield all successor states, each with a label, under a set of guards.

    There are none once the first run can't be in progress any more.
    """
    if not _may_be_in_progress(system):
        return
    if _may_tick(system, guards):
        yield "tick", _tick(system)
    if system.faults_left:
        yield from _faults(evolve(system, faults_left=system.faults_left - 1))
    yield from _recoveries(system)
    yield from _caller_steps(system)
    if system.entry.process == Process.UP:
        yield from _entry_steps(system, guards)
    if system.agent.process == Process.UP:
        yield from _deliveries(system, guards)
        yield from _agent_steps(system, guards)
    if system.agent.process == Process.DEAD:
        yield from _successor_steps(system, guards)
    if system.late_start is not None and not _is_open_fault(system):
        yield "late start", _execute(evolve(system, late_start=None), system.late_start)


def _is_open_fault(system: SystemState) -> bool:
    """Return whether a restarted runner would execute a start that nobody waits for any more.

    Nothing prevents this: the runner's new process has seen no fencing token.
    """
    settled = system.agent.placement == Placement.ENDED or system.second_run
    return system.runner.restarted and (settled or system.left_ticks is not None)


def _may_be_in_progress(system: SystemState) -> bool:
    """Return whether the first run is in progress or may start later."""
    if system.runner.running or system.late_start is not None:
        return True
    if system.agent.process == Process.DEAD:
        return False
    before_start = (Placement.QUEUED, Placement.PREPARED)
    undelivered = system.start_ticks is not None and system.agent.placement == Placement.UNKNOWN
    return undelivered or system.agent.placement in before_start


def _faults(system: SystemState) -> Iterator[Step]:
    entry, agent, runner = system.entry, system.agent, system.runner
    if entry.process == Process.UP:
        killed = _entry(system, process=Process.DEAD, linked=False)
        left_ticks = 0 if system.left_ticks is None else system.left_ticks
        yield "entry killed", evolve(killed, left_ticks=left_ticks)
        yield "entry frozen", _entry(system, process=Process.FROZEN)
    if agent.process == Process.UP:
        killed = _agent(system, process=Process.DEAD)
        yield "agent killed", _entry(killed, linked=False)
        yield "agent frozen", _agent(system, process=Process.FROZEN)
    if not system.cut:
        yield "cut", evolve(system, cut=True)
        yield "reset", _close_link(system)
    if not system.requests_late:
        yield "requests late", evolve(system, requests_late=True)
    if not runner.restarted:
        yield "runner restarted", _restart(system)


def _restart(system: SystemState) -> SystemState:
    """Restart the runner; a late start's deadline is far ahead by the new process's clock."""
    late_start = system.late_start
    if late_start is not None:
        late_start = evolve(late_start, lease_ticks=RUNNER_LEASE_TICKS)
    return evolve(system, runner=RunnerState(restarted=True), late_start=late_start)


def _recoveries(system: SystemState) -> Iterator[Step]:
    if system.cut:
        yield "cut ends", evolve(system, cut=False)
    if system.cut and system.entry.linked:
        yield "link closed", _close_link(system)
    if system.entry.process == Process.FROZEN:
        yield "entry wakes", _entry(system, process=Process.UP)
    if system.agent.process == Process.FROZEN:
        yield "agent wakes", _agent(system, process=Process.UP)


def _caller_steps(system: SystemState) -> Iterator[Step]:
    if system.left_ticks is None:
        yield "caller leaves", evolve(system, left_ticks=0)
    elif system.left_ticks >= RESEND_TICKS and not system.second_run:
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
    if not entry.linked and not entry.settled and waited:
        yield "leases end", _settle(system)
    if entry.linked and reachable and system.agent.placement == Placement.ENDED:
        yield "report", _settle(system)


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
        yield "withdraw", _agent(system, placement=Placement.ENDED)
    if _lease_end_is_due(agent, guards):
        yield "lease of the entry ends", _agent(system, must_end=True)
    if agent.must_end and agent.placement in IN_PROGRESS:
        yield from _requests(system, Request("stop", agent.token), "stop")
    if agent.placement in (Placement.RUNNING, Placement.UNANSWERED):
        yield from _hold(system, guards)
    if agent.placement in IN_PROGRESS:
        yield from _presumptions(system, guards)


def _presumptions(system: SystemState, guards: frozenset[Guard]) -> Iterator[Step]:
    """Yield the ways by which the agent takes a run for ended that is not listed as ended."""
    agent, runner = system.agent, system.runner
    ended = _agent(system, placement=Placement.ENDED)
    expired = agent.granted_ticks == 0 or Guard.RUNNER_LEASE not in guards
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
    if Guard.SUCCESSOR not in guards:
        yield "successor accepts", _settle(system)
        return
    listed = _runner(system, token=SUCCESSOR_TOKEN)
    if not system.runner.running:
        yield "successor accepts", _settle(listed)


def _may_tick(system: SystemState, guards: frozenset[Guard]) -> bool:
    """Return whether every process that runs has done what it does within a tick."""
    entry, agent = system.entry, system.agent
    if entry.process == Process.UP and system.left_ticks is not None and not entry.cancelled:
        return False
    if agent.process != Process.UP:
        return True
    if system.cancel_sent and entry.linked and not system.cut:
        return False
    stopping = agent.must_end and agent.placement in IN_PROGRESS and not system.requests_late
    return not stopping and not _lease_end_is_due(agent, guards)


def _lease_end_is_due(agent: AgentState, guards: frozenset[Guard]) -> bool:
    ended = agent.lease_ticks == 0 and agent.placement in IN_PROGRESS
    return ended and not agent.must_end and Guard.LEASE_END in guards


def _tick(system: SystemState) -> SystemState:
    entry, agent, runner = system.entry, system.agent, system.runner
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
        granted_ticks=max(0, agent.granted_ticks - 1),
    )
    system = _runner(system, lease_ticks=max(0, runner.lease_ticks - 1))
    if runner.running and system.runner.lease_ticks == 0:
        system = _runner(system, running=False, refused=True)
    late_start = system.late_start
    if late_start is not None:
        late_start = evolve(late_start, lease_ticks=max(0, late_start.lease_ticks - 1))
    return evolve(
        system,
        late_start=late_start,
        start_ticks=_older(system.start_ticks),
        stamp_ticks=_older(system.stamp_ticks),
        left_ticks=None if system.left_ticks is None else min(system.left_ticks + 1, RESEND_TICKS),
    )


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
    system = _entry(system, linked=True, stalled_ticks=0)
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
        return _agent(system, placement=Placement.ENDED)
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
    request = Request("start", agent.token, RUNNER_LEASE_TICKS)
    system = _agent(system, granted_ticks=RUNNER_LEASE_TICKS)
    executed = _execute(system, request)
    answer = Placement.RUNNING if executed.runner.running else Placement.ENDED
    yield "start", _agent(executed, placement=answer)
    if not system.requests_late:
        return
    token = agent.token + (Guard.FENCE in guards)
    unanswered = _agent(system, placement=Placement.UNANSWERED, token=token)
    yield "start, answer lost", _execute(unanswered, request)
    yield "start, late", evolve(unanswered, late_start=request)


def _hold(system: SystemState, guards: frozenset[Guard]) -> Iterator[Step]:
    """Yield the outcomes of a request that lists the runs, and renews the lease if it may."""
    agent = system.agent
    leased = agent.lease_ticks > 0 or Guard.LEASE_END not in guards
    renews = leased and not agent.must_end
    lease_ticks = RUNNER_LEASE_TICKS if renews or Guard.RENEWAL not in guards else 0
    system = _agent(system, granted_ticks=max(agent.granted_ticks, lease_ticks))
    yield from _requests(system, Request("hold", agent.token, lease_ticks), "hold")


def _requests(system: SystemState, request: Request, label: str) -> Iterator[Step]:
    """Yield the outcomes of a stop or a hold."""
    yield label, _apply_list(_execute(system, request))
    if system.requests_late:
        yield f"{label}, answer lost", _execute(system, request)


def _apply_list(system: SystemState) -> SystemState:
    """Apply the runner's list of runs at the agent."""
    known = evolve(system.agent, restart_known=system.runner.restarted)
    placement = Placement.RUNNING if system.runner.running else Placement.ENDED
    return evolve(system, agent=evolve(known, placement=placement))


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


def _entry(system: SystemState, **changes: Any) -> SystemState:
    return evolve(system, entry=evolve(system.entry, **changes))


def _agent(system: SystemState, **changes: Any) -> SystemState:
    return evolve(system, agent=evolve(system.agent, **changes))


def _runner(system: SystemState, **changes: Any) -> SystemState:
    return evolve(system, runner=evolve(system.runner, **changes))


def runs_do_not_overlap(system: SystemState) -> bool:
    """Return whether the first run has ended if the second is in progress."""
    return not (system.second_run and system.runner.running)


INVARIANTS = {"runs_do_not_overlap": runs_do_not_overlap}
