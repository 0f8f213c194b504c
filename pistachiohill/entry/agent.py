"""State of an agent as seen by one entry, and the interface of those who follow its changes."""

import math

from attrs import define, field

from ..agent.const import LATE_START_S, RUNS_END_S
from ..consortium.const import NO_OFFSET
from ..peer_clock import PeerClock
from ..protocol.link import Link
from ..protocol.models import AgentLoad, SealReply, TaskReports
from ..scheduling.estimates import MAX_FACTOR
from ..scheduling.models import TargetLoad
from ..submissions.models import Submission, Task
from .agent_assignment import Address


@define(eq=False)
class Agent:
    """State of one agent incarnation as seen by this entry.

    Fields:
        incarnation, address, domain: Identity, address and failure domain of the agent.
        load: Scheduling state of its target.
        link: The open link, None while disconnected.
        service: Service of its target.
        accepting: Whether it accepts tasks.
        announce_offset: Offset of its announcement, NO_OFFSET while unknown.
        applied_offset, view_age_s: Settings offset and view age that it last reported.
        target_id: Name of its target, empty if it has none.
        clock: What is known of the agent's clock.
        last_sent_at_s: When the last message was sent on the most recently closed link.
        lost: Whether the incarnation is known to have ended.
        awaited_since_s: When the oldest unanswered view stamp or request was sent, None if none is.
        runs_presumed_ended: Whether its runs have been taken for ended since its link was closed.
        awaited_starts: Outstanding tasks that are known to wait until their starts can't come.
        outstanding: Tasks that are placed there and not settled.
    """

    incarnation: str
    address: Address
    domain: str
    load: TargetLoad
    link: Link | None = None
    service: str = ""
    accepting: bool = False
    announce_offset: int = NO_OFFSET
    applied_offset: int = NO_OFFSET
    view_age_s: float = 0.0
    target_id: str = ""
    clock: PeerClock = field(factory=PeerClock)
    last_sent_at_s: float = 0.0
    lost: bool = False
    awaited_since_s: float | None = None
    runs_presumed_ended: bool = False
    awaited_starts: set[tuple[str, int]] = field(factory=set)
    outstanding: dict[tuple[str, int], tuple[Submission, Task]] = field(factory=dict)

    def record_load(self, load: AgentLoad, now_s: float) -> None:
        """Store the load that other entries have placed at the agent."""
        self.load.others = load.others
        self.load.others_cpu_m = load.others_cpu_m
        self.load.others_mem_mb = load.others_mem_mb
        self.load.waits_s = tuple(load.waits_s)
        self.load.reported_at_s = now_s
        self.load.slowdown = min(MAX_FACTOR, max(1.0, load.slowdown))
        self.load.slow_since_s = now_s - load.slow_for_s

    def record_notice(self, leaves_in_s: float, now_s: float) -> None:
        """Store for how long the target is certain to stay; a negative time means that it stays."""
        self.load.leaves_at_s = now_s + leaves_in_s if leaves_in_s >= 0.0 else math.inf

    def runs_end_s(self) -> float:
        """Return when best-effort runs have ended, if nothing more is sent to the agent.

        The agent stops them when this entry's lease expires. If it can't, they end with its own
        lease at the runner, which it does not renew then. The next process of the runner may still
        execute a start that got no answer (`late_starts`).
        """
        sent_at_s = self.link.sent_at_s if self.link is not None else self.last_sent_at_s
        return sent_at_s + RUNS_END_S

    def late_starts_end_s(self) -> float:
        """Return when no start of a lost agent can be executed any more, whether answered or not.

        The agent has sent none after this entry's lease.
        """
        return self.runs_end_s() + LATE_START_S


class AgentListener:
    """Interface for receivers of agent events, such as the dispatcher."""

    def link_opened(self, agent: Agent, now_s: float) -> None:
        """Handle a newly opened link."""
        raise NotImplementedError

    def agent_changed(self, agent: Agent, now_s: float) -> None:
        """Handle a change of an agent's state, capacity or domain."""
        raise NotImplementedError

    def agent_lost(self, agent: Agent, now_s: float) -> None:
        """Handle an agent that has ended or refuses connections; its runs may continue."""
        raise NotImplementedError

    def link_closed(self, agent: Agent) -> None:
        """Handle the end of a link."""
        raise NotImplementedError

    def runs_ended(self, agent: Agent, now_s: float) -> None:
        """Handle the expiry of an agent's leases: its best-effort runs have ended.

        Called repeatedly while tasks are outstanding at the agent.
        """
        raise NotImplementedError

    def tasks_reported(self, agent: Agent, message: TaskReports, now_s: float) -> None:
        """Handle task reports of an agent."""
        raise NotImplementedError

    def seal_replied(self, agent: Agent, message: SealReply, now_s: float) -> None:
        """Handle an agent's reply to a seal request."""
        raise NotImplementedError
