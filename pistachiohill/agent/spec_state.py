"""State of the specification of leased runs (`spec`): its processes, their requests, its guards."""

from enum import IntEnum, StrEnum

from attrs import frozen


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
    CLOCK = "time in which a machine is suspended doesn't count for its runner's clock"
    SUSPENDED_LEASE = "nor for the end of a lease there"
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
        kinds: Kinds of faults; none stand for all but those that have to be named.
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
        bound_ahead: Whether its bound of the runner's clock is too high.
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
    bound_ahead: bool = False


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
        suspended: Whether the machine of the agent and the runner stands still.
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
    suspended: bool = False
