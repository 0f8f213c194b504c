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
    WITHHOLD = "an agent reports no end of a run while a start without an answer may come"
    NEXT_LIST = "not even on a list of the runner's next process"
    NOTICE = "an agent tells all entries of a start without an answer as soon as it knows"
    ANSWERED = "until told of its answer, an entry takes a start at a lost agent for a late one"


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
    WITHHELD = "withheld"
    ENDED = "ended"


IN_PROGRESS = (Placement.UNANSWERED, Placement.RUNNING)


@frozen
class Bounds:
    """Bounds of the model.

    Fields:
        faults: Number of faults.
        kinds: Kinds of faults; none stand for all.
        entries_linked: Whether an entry to which the job is sent again waits for the first one's
            release while that one is up. Otherwise it asks only for starts that may come late.
    """

    faults: int
    kinds: frozenset[str] = frozenset()
    entries_linked: bool = False


@frozen
class EntryState:
    """The entry that placed the first run.

    Fields:
        silent_ticks: Ticks since it last sent something to the agent.
        stalled_ticks: By how much its stamps are older than the time at which they are sent.
        settled: Whether it knows, or takes it for known, that the first run has ended.
        cancelled: Whether it has noticed that the caller left.
        told: Whether the agent has told it of a start without an answer.
        answered: Whether the agent has told it that a start was answered.
    """

    process: Process = Process.UP
    linked: bool = True
    silent_ticks: int = 0
    stalled_ticks: int = 0
    settled: bool = False
    cancelled: bool = False
    told: bool = False
    answered: bool = False


@frozen
class AgentState:
    """The agent beside the first run's runner.

    Fields:
        lease_ticks: Rest of the entry's lease.
        link_ticks: How long the latest stamp on the link of the start allows it to be sent.
        must_end: Whether the run is being stopped.
        sealed: Whether the job was cancelled here.
        granted_ticks: Ticks for which a lease that it has granted may still last.
        restart_known: Whether it has noticed the latest restart of the runner.
        sent: Whether a start was sent.
        repeated: Whether it was sent again.
        unsettled: Whether a start without an answer may still be executed.
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
    sent: bool = False
    repeated: bool = False
    unsettled: bool = False


@frozen
class RunnerState:
    """The runner of the first run.

    Fields:
        began_late: Whether the run was begun by a late start.
        refused: Whether the run's number is refused from now on.
    """

    restarted: bool = False
    running: bool = False
    began_late: bool = False
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
        fault_kinds: Kinds of faults that may occur, all if it is empty.
        entries_linked: As in the bounds.
        late_starts: Starts that were sent to the runner and may be executed later.
        others_told: Whether other entries were told of a start without an answer.
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
    fault_kinds: frozenset[str] = frozenset()
    entries_linked: bool = False
    late_starts: tuple[Request, ...] = ()
    others_told: bool = False
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
        yield "tick", _tick(system)
    if system.faults_left:
        for label, after in _faults(evolve(system, faults_left=system.faults_left - 1)):
            if not system.fault_kinds or label in system.fault_kinds:
                yield label, after
    yield from _recoveries(system)
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
        yield "late start", _execute_late(evolve(system, late_starts=rest), request)
        yield "start never comes", evolve(system, late_starts=rest)


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
    if not system.cut:
        yield "cut", evolve(system, cut=True)
        yield "reset", _close_link(system)
    if not system.requests_late:
        yield "requests late", evolve(system, requests_late=True)
    yield "runner restarted", _restart(system)


def _restart(system: SystemState) -> SystemState:
    """Restart the runner; a late start's deadline is far ahead by the new process's clock."""
    late_starts = tuple(
        evolve(request, lease_ticks=RUNNER_LEASE_TICKS) for request in system.late_starts
    )
    system = _agent(system, restart_known=False)
    return evolve(system, runner=RunnerState(restarted=True), late_starts=late_starts)


def _recoveries(system: SystemState) -> Iterator[Step]:
    if system.cut:
        yield "cut ends", evolve(system, cut=False)
    if system.cut and system.entry.linked:
        yield "link closed", _close_link(system)
    if system.entry.process == Process.FROZEN:
        yield "entry wakes", _entry(system, process=Process.UP)
    if system.agent.process == Process.FROZEN:
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
        yield "withdraw", _agent(system, placement=Placement.ENDED)
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
    if _notice_is_due(system, guards):
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
    late_starts = tuple(
        evolve(request, lease_ticks=max(0, request.lease_ticks - 1))
        for request in system.late_starts
    )
    return evolve(
        system,
        late_starts=late_starts,
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
    lease_ticks = RUNNER_LEASE_TICKS if renews or Guard.RENEWAL not in guards else 0
    system = _agent(system, granted_ticks=max(agent.granted_ticks, lease_ticks))
    yield from _requests(system, Request("hold", agent.token, lease_ticks), "hold", guards)


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


INVARIANTS = {"runs_do_not_overlap": runs_do_not_overlap}
