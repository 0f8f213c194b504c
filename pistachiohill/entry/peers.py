"""Links between entries, for view confirmations, snapshots, submissions, ids and counters."""

import random
from collections.abc import Awaitable, Callable
from functools import singledispatchmethod

import trio
from attrs import define

from .. import clock, logs
from ..clients.budget import ClientBudget
from ..consortium.const import NO_OFFSET
from ..consortium.view import ConsortiumView
from ..const import PROTOCOL_VERSION, VIEW_EXCHANGE_INTERVAL_S, Role
from ..protocol.errors import HandshakeError
from ..protocol.link import (
    CONNECT_ERRORS,
    Link,
    LinkCounters,
    async_accept,
    async_send_hello,
    first_error,
)
from ..protocol.models import (
    CancelJob,
    CountersReply,
    CountersRequest,
    Forward,
    ForwardReply,
    Hello,
    HelloReply,
    IdsReply,
    IdsRequest,
    JobCancelled,
    JobReleased,
    JobsHeld,
    LateStarts,
    MemberCounters,
    Message,
    PeerView,
    ProcessRecord,
    ReleaseJob,
    StateReply,
    StateRequest,
)
from ..protocol.websocket import WebSocket, async_connect, async_serve
from ..settings.errors import SettingsError
from ..settings.models import EntrySettings
from .agent_assignment import ALL_ENTRIES, Address, dialed_entries, dialed_in_domain, parse_address
from .const import (
    CHANGE_DELAY_S,
    PEER_CHECK_INTERVAL_S,
    PEER_CONNECT_TIMEOUT_S,
    PEER_SILENCE_S,
    RECONNECT_MAX_S,
    RECONNECT_MIN_S,
    UNREACHABLE_ENTRY_S,
)
from .startup_check import PeerAnswers

Reply = ForwardReply | CountersReply | IdsReply | JobCancelled


@define(eq=False)
class Peer:
    """An open link to another entry.

    Fields:
        link: The link.
        echo_s, echo_received_at_s: Latest clock reading received from the peer, which the next view
            sent to it echoes, and the local boot time of its receipt.
        address: Address to which this entry opened the link, None for an accepted link.
        offset, age_s: Settings offset and view age that the peer last reported.
    """

    link: Link
    echo_s: float = -1.0
    echo_received_at_s: float = 0.0
    address: Address | None = None
    offset: int = NO_OFFSET
    age_s: float = 1e9


@define(eq=False)
class PendingReply:
    """A request awaiting its reply; `reply` stays None if the link ends first."""

    link: Link
    done: trio.Event
    reply: Reply | None = None


ForwardHandler = Callable[[Forward], Awaitable[ForwardReply]]


class PeerListener:
    """Interface for what other entries say about best-effort jobs; `entry` is an incarnation."""

    def peer_linked(self, entry: str, now_s: float) -> None:
        """Handle a newly opened link."""

    def peer_unlinked(self, entry: str, received_at_s: float, now_s: float) -> None:
        """Handle the end of a link on which the last message arrived at `received_at_s`."""

    def jobs_held(self, entry: str, message: JobsHeld, now_s: float) -> None:
        """Handle a change of the jobs that an entry holds."""

    def release_requested(self, entry: str, message: ReleaseJob, now_s: float) -> None:
        """Handle the request to release a job."""

    def late_starts_told(self, entry: str, message: LateStarts, now_s: float) -> None:
        """Handle what an entry says of starts of a job that may still be executed."""

    def job_released(self, entry: str, message: JobReleased, now_s: float) -> None:
        """Handle the answer to such a request."""


class PeerDirectory:
    """All links to other entries, whichever side opened them."""

    def __init__(
        self,
        incarnation: str,
        settings: EntrySettings,
        view: ConsortiumView,
        entries_dialed: int = ALL_ENTRIES,
        on_unreachable: Callable[[ProcessRecord], None] = lambda _process: None,
        budget: ClientBudget | None = None,
    ) -> None:
        """Initialize without links.

        `entries_dialed` is the number of entries to which this entry opens links. `on_unreachable`
        is called for an entry that could not be reached for a long time. `budget` is for the
        connections that others open.
        """
        self._budget = budget
        self._entries_dialed = entries_dialed
        self._on_unreachable = on_unreachable
        self.peers: list[Peer] = []
        self.counters = LinkCounters()
        self._answers = PeerAnswers()
        self._incarnation = incarnation
        self._settings = settings
        self._view = view
        self._pending: dict[int, PendingReply] = {}
        self._last_request_id = 0
        self._dialed_addresses: set[Address] = set()
        self._nursery: trio.Nursery | None = None
        self._async_forward_handler: ForwardHandler | None = None
        self._member_counters: Callable[[], list[MemberCounters]] = list
        self._issue_ids: Callable[[str, int], list[str]] = lambda _member, _count: []
        self._cancel_job: Callable[[str], bool] = lambda _key: False
        self._listener = PeerListener()

    def set_listener(self, listener: PeerListener) -> None:
        """Set the receiver of messages about best-effort jobs."""
        self._listener = listener

    def set_handlers(
        self,
        forward_handler: ForwardHandler,
        counters: Callable[[], list[MemberCounters]],
        issue_ids: Callable[[str, int], list[str]],
        cancel_job: Callable[[str], bool],
    ) -> None:
        """Set the handlers of forwarded submissions, of cancels, and of other requests."""
        self._cancel_job = cancel_job
        self._issue_ids = issue_ids
        self._async_forward_handler = forward_handler
        self._member_counters = counters

    def find_link(self, incarnation: str) -> Link | None:
        """Return the open link to an entry incarnation with the most recently received message."""
        links = [peer.link for peer in self.peers if peer.link.peer_incarnation == incarnation]
        links = [link for link in links if not link.closed]
        return max(links, key=lambda link: link.received_at_s, default=None)

    def incarnations(self) -> set[str]:
        """Return the incarnations of all linked entries."""
        return {peer.link.peer_incarnation for peer in self.peers if not peer.link.closed}

    def have_answered(self) -> bool:
        """Return whether all entries to which this one opens links have told their version.

        Those that could not be reached count as well.
        """
        return self._answers.include(self._known_addresses())

    def outage_confirmed_at(self, now_s: float) -> float | None:
        """Return the boot time as of which every live entry had reported no newer offset.

        Return None if a peer has a newer offset or a live entry isn't linked. This is used only if
        the settings let tasks start during an outage of the platform's store.
        """
        confirmed_s = now_s
        linked: dict[str, float] = {}
        for peer in self.peers:
            if peer.offset > self._view.state.offset:
                return None
            name = peer.link.peer_incarnation
            linked[name] = max(linked.get(name, 0.0), peer.echo_received_at_s)
        for process in self._view.processes.live(Role.ENTRY):
            if process.incarnation == self._incarnation:
                continue
            if process.incarnation not in linked:
                return None
            confirmed_s = min(confirmed_s, linked[process.incarnation])
        return confirmed_s

    async def async_request(
        self, link: Link, build_request: Callable[[int], Message], timeout_s: float
    ) -> Reply | None:
        """Send a request and return its reply; None if the link ended or the request timed out."""
        self._last_request_id += 1
        request_id = self._last_request_id
        pending = self._pending[request_id] = PendingReply(link, trio.Event())
        try:
            link.send(build_request(request_id))
            with trio.move_on_after(timeout_s):
                await pending.done.wait()
            return pending.reply
        finally:
            del self._pending[request_id]

    async def async_serve(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept links from other entries until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await async_serve(
                self._async_accept,
                self._settings.peer_host,
                self._settings.peer_port,
                self._budget,
                task_status=task_status,
            )

    async def async_run(self) -> None:
        """Connect to every known entry and exchange views, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._async_exchange_views)
            nursery.start_soon(self._async_close_silent_links)
            while True:
                for address in self._known_addresses():
                    if address not in self._dialed_addresses:
                        self._dialed_addresses.add(address)
                        nursery.start_soon(self._async_maintain_link, *address)
                await self._view.async_wait_changed()
                await trio.sleep(CHANGE_DELAY_S)

    def _known_addresses(self) -> set[Address]:
        """Return the addresses of the entries to which this entry keeps links open."""
        own = self._settings.peer_host, self._settings.peer_port
        announced = self._view.processes.addresses(Role.ENTRY, clock.wall_s())
        addresses = {parse_address(text) for text in self._settings.peers}
        addresses |= dialed_entries(own, announced, self._entries_dialed)
        addresses |= dialed_in_domain(own, announced & self._addresses_in_domain())
        return addresses - {own}

    def _addresses_in_domain(self) -> set[Address]:
        """Return the addresses of the entries in this entry's failure domain."""
        return {
            (process.host, process.port)
            for process in self._view.processes.live(Role.ENTRY)
            if process.domain == self._settings.domain
        }

    async def _async_exchange_views(self) -> None:
        """Send the view to all peers at regular intervals, and at once when it has changed.

        Each entry is linked to a few others only, so a change passes over several links until it
        has reached an entry that can't read the store.
        """
        state = self._view.state
        sent = state.offset, state.tree_version
        while True:
            with trio.move_on_after(VIEW_EXCHANGE_INTERVAL_S * random.uniform(0.9, 1.1)):
                while (state.offset, state.tree_version) == sent:
                    await self._view.async_wait_changed()
            sent = state.offset, state.tree_version
            now_s = clock.boot_s()
            for peer in self.peers:
                self._send_view(peer, now_s)

    async def _async_close_silent_links(self) -> None:
        """Close links on which nothing arrives, so that they are opened anew."""
        while True:
            await trio.sleep(PEER_CHECK_INTERVAL_S)
            now_s = clock.boot_s()
            for peer in self.peers:
                silence_s = now_s - peer.link.received_at_s
                if silence_s > PEER_SILENCE_S and not peer.link.closed:
                    logs.warning("peer_silent", peer=peer.link.peer_incarnation)
                    peer.link.close()

    def _send_view(self, peer: Peer, now_s: float) -> None:
        age_s = max(0.0, peer.echo_received_at_s - self._view.confirmed_at_s)
        state = self._view.state
        age_s = min(age_s, 1e9)
        view = PeerView(now_s, peer.echo_s, state.offset, age_s, state.tree_version)
        peer.link.send(view)

    async def _async_maintain_link(self, host: str, port: int) -> None:
        backoff_s = RECONNECT_MIN_S
        unreachable_since_s = clock.boot_s()
        while True:
            if (host, port) not in self._known_addresses():
                self._dialed_addresses.discard((host, port))
                return
            started_at_s = clock.boot_s()
            try:
                await self._async_dial(host, port)
                unreachable_since_s = clock.boot_s()
            except (HandshakeError, *CONNECT_ERRORS) as err:
                logs.debug("peer_unreachable", host=host, port=port, detail=repr(err))
                self._record_answer((host, port))
            if clock.boot_s() - unreachable_since_s > UNREACHABLE_ENTRY_S:
                unreachable_since_s = clock.boot_s()
                self._report_unreachable(host, port)
            if clock.boot_s() - started_at_s > RECONNECT_MAX_S:
                backoff_s = RECONNECT_MIN_S
            await trio.sleep(backoff_s * random.uniform(0.7, 1.0))
            backoff_s = min(backoff_s * 2, RECONNECT_MAX_S)

    def _report_unreachable(self, host: str, port: int) -> None:
        for process in self._view.processes.live(Role.ENTRY):
            if (process.host, process.port) == (host, port):
                logs.warning("peer_given_up", peer=process.incarnation, host=host, port=port)
                self._on_unreachable(process)

    async def _async_dial(self, host: str, port: int) -> None:
        try:
            async with async_connect(host, port, PEER_CONNECT_TIMEOUT_S) as connection:
                now_s = clock.boot_s()
                secret = self._settings.secret
                hello = Hello(PROTOCOL_VERSION, self._incarnation, "", secret, now_s)
                reply = await async_send_hello(connection, hello, PEER_CONNECT_TIMEOUT_S)
                now_s = clock.boot_s()
                link = Link(connection, reply.incarnation, now_s, self.counters)
                await self._async_run_link(Peer(link, reply.stamp_s, now_s, (host, port)))
        except BaseExceptionGroup as group:
            raise first_error(group) from group

    async def _async_accept(self, connection: WebSocket) -> None:
        now_s = clock.boot_s()
        reply = HelloReply(
            PROTOCOL_VERSION, self._incarnation, NO_OFFSET, now_s, self._settings.domain
        )
        hello = await async_accept(connection, self._settings.secret, reply)
        if hello is None:
            return
        link = Link(connection, hello.incarnation, now_s, self.counters)
        await self._async_run_link(Peer(link, hello.stamp_s, now_s))

    async def _async_run_link(self, peer: Peer) -> None:
        self.peers.append(peer)
        logs.event("peer_linked", peer=peer.link.peer_incarnation)
        self._send_view(peer, clock.boot_s())
        self._view.notify()
        self._listener.peer_linked(peer.link.peer_incarnation, clock.boot_s())
        try:
            await peer.link.async_run(lambda message, now_s: self._handle(message, peer, now_s))
        finally:
            self.peers.remove(peer)
            entry, received_at_s = peer.link.peer_incarnation, peer.link.received_at_s
            self._listener.peer_unlinked(entry, received_at_s, clock.boot_s())
            for pending in self._pending.values():
                if pending.link is peer.link:
                    pending.done.set()
            logs.event("peer_unlinked", peer=peer.link.peer_incarnation)
            self._view.notify()

    @singledispatchmethod
    def _handle(self, message: Message, peer: Peer, now_s: float) -> None:
        logs.warning("message_unexpected", type=type(message).__name__)

    @_handle.register
    def _(self, message: PeerView, peer: Peer, now_s: float) -> None:
        peer.echo_s = message.stamp_s
        peer.echo_received_at_s = now_s
        peer.offset = message.offset
        peer.age_s = message.age_s
        if 0.0 <= message.echo_s <= now_s:
            self._view.confirm(message.offset, message.echo_s - max(0.0, message.age_s))
        state = self._view.state
        if message.offset <= state.offset and message.tree_version <= state.tree_version:
            self._record_answer(peer.address)
            return
        logs.event(
            "peer_ahead",
            peer=peer.link.peer_incarnation,
            offset=message.offset,
            known=state.offset,
            version=message.tree_version,
        )
        self._last_request_id += 1
        peer.link.send(StateRequest(self._last_request_id))

    def _record_answer(self, address: Address | None) -> None:
        if self._answers.record(address):
            self._view.notify()

    @_handle.register
    def _(self, message: StateRequest, peer: Peer, now_s: float) -> None:
        if self._view.loaded:
            peer.link.send(StateReply(message.request_id, self._view.snapshot()))

    @_handle.register
    def _(self, message: StateReply, peer: Peer, now_s: float) -> None:
        self._record_answer(peer.address)
        view_age_s = self._view.age_s(now_s)
        try:
            adopted = self._view.adopt(message.snapshot)
        except SettingsError as err:
            logs.warning("snapshot_refused", peer=peer.link.peer_incarnation, detail=err)
            return
        if adopted:
            logs.event(
                "state_adopted",
                peer=peer.link.peer_incarnation,
                offset=message.snapshot.offset,
                version=self._view.state.tree_version,
                view_age_s=view_age_s,
            )

    @_handle.register
    def _(self, message: JobsHeld, peer: Peer, now_s: float) -> None:
        self._listener.jobs_held(peer.link.peer_incarnation, message, now_s)

    @_handle.register
    def _(self, message: ReleaseJob, peer: Peer, now_s: float) -> None:
        self._listener.release_requested(peer.link.peer_incarnation, message, now_s)

    @_handle.register
    def _(self, message: JobReleased, peer: Peer, now_s: float) -> None:
        self._listener.job_released(peer.link.peer_incarnation, message, now_s)

    @_handle.register
    def _(self, message: LateStarts, peer: Peer, now_s: float) -> None:
        self._listener.late_starts_told(peer.link.peer_incarnation, message, now_s)

    @_handle.register
    def _(self, message: CountersRequest, peer: Peer, now_s: float) -> None:
        peer.link.send(CountersReply(message.request_id, self._member_counters()))

    @_handle.register
    def _(self, message: CancelJob, peer: Peer, now_s: float) -> None:
        peer.link.send(JobCancelled(message.request_id, self._cancel_job(message.key)))

    @_handle.register
    def _(self, message: IdsRequest, peer: Peer, now_s: float) -> None:
        ids = self._issue_ids(message.member, message.count)
        peer.link.send(IdsReply(message.request_id, ids))

    @_handle.register
    def _(self, message: IdsReply, peer: Peer, now_s: float) -> None:
        self._deliver_reply(message, peer)

    @_handle.register
    def _(self, message: Forward, peer: Peer, now_s: float) -> None:
        assert self._nursery is not None
        self._nursery.start_soon(self._async_answer_forward, message, peer.link)

    async def _async_answer_forward(self, message: Forward, link: Link) -> None:
        assert self._async_forward_handler is not None
        link.send(await self._async_forward_handler(message))

    @_handle.register
    def _(self, message: ForwardReply, peer: Peer, now_s: float) -> None:
        self._deliver_reply(message, peer)

    @_handle.register
    def _(self, message: CountersReply | JobCancelled, peer: Peer, now_s: float) -> None:
        self._deliver_reply(message, peer)

    def _deliver_reply(self, message: Reply, peer: Peer) -> None:
        """Deliver a reply to its request; drop a late reply, or one from another link."""
        pending = self._pending.get(message.request_id)
        if pending is None or pending.link is not peer.link:
            return
        pending.reply = message
        pending.done.set()
