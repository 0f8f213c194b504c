"""Message handling for the agent's links to entries, and unsolicited state updates."""

import random
from functools import singledispatchmethod

import trio

from .. import clock, logs
from ..clients.budget import ClientBudget
from ..const import PROTOCOL_VERSION, Role
from ..errors import RefusalReason
from ..protocol.link import Link, async_accept
from ..protocol.models import (
    AnnounceRecord,
    CancelTasks,
    Freshness,
    FreshnessRequest,
    HelloReply,
    Message,
    QueryTasks,
    SealSubmissions,
    StartTasks,
    StopTask,
)
from ..protocol.websocket import WebSocket, async_serve
from ..settings.models import AgentSettings
from ..submissions.identifiers import new_incarnation
from .const import (
    HEARTBEAT_INTERVAL_S,
    LOAD_PUSH_INTERVAL_S,
    STATE_REPLY_INTERVAL_S,
)
from .late_start_notices import LateStartNotices
from .models import TargetState
from .runner import TaskRunner


class AgentService:
    """Connects an agent's links to its task runner."""

    def __init__(
        self,
        settings: AgentSettings,
        runner: TaskRunner,
        budget: ClientBudget | None = None,
        notices: LateStartNotices | None = None,
    ) -> None:
        """Create the service with a new incarnation id; no socket is opened yet.

        `budget` is for the connections that entries open; `notices` are sent to these entries.
        """
        self._budget = budget
        self._notices = notices or LateStartNotices()
        self.incarnation = new_incarnation()
        self._settings = settings
        self._runner = runner

    async def async_serve_links(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept links from entries until cancelled."""
        await async_serve(
            self._async_link,
            self._settings.peer_host,
            self._settings.peer_port,
            self._budget,
            task_status=task_status,
        )

    def announcement(self) -> AnnounceRecord:
        """Return the record that announces this incarnation."""
        return AnnounceRecord(
            role=Role.AGENT,
            incarnation=self.incarnation,
            domain=self._settings.domain,
            host=self._settings.peer_host,
            port=self._settings.advertised_port or self._settings.peer_port,
        )

    def start_accepting(self, offset: int) -> None:
        """Start accepting tasks; none are accepted before the announcement is in the log.

        `offset` is the log offset of the announcement.
        """
        self._runner.announce_offset = offset
        self._runner.broadcast_state(clock.boot_s())

    async def async_heartbeat(self) -> None:
        """Send the agent's state periodically and when the target's announcement expires."""
        while True:
            expires_in_s = self._runner.target.expires_at_s - clock.boot_s()
            interval_s = HEARTBEAT_INTERVAL_S * random.uniform(0.8, 1.2)
            await trio.sleep(
                min(interval_s, expires_in_s + 0.01) if expires_in_s > 0 else interval_s
            )
            now_s = clock.boot_s()
            if self._runner.target.cpu_m and not self._runner.target.is_available(now_s):
                self._runner.shed(RefusalReason.LEAVING, now_s)
                continue
            self._runner.broadcast_state(now_s)

    def broadcast_state(self) -> None:
        """Send the agent's state to all entries."""
        self._runner.broadcast_state(clock.boot_s())

    def update_target(self, target: TargetState, now_s: float) -> None:
        """Apply an announcement of the target; a leaving target gets no more tasks from now on."""
        before, self._runner.target = self._runner.target, target
        changed = (before.service, before.url, before.cpu_m, before.is_available(now_s)) != (
            target.service,
            target.url,
            target.cpu_m,
            target.is_available(now_s),
        )
        if not changed:
            return
        logs.event(
            "target",
            service=target.service,
            cpu_m=target.cpu_m,
            mem_mb=target.mem_mb,
            leaving=target.leaving,
        )
        if target.leaving:
            self._runner.shed(RefusalReason.LEAVING, now_s)
        else:
            self._runner.broadcast_state(now_s)

    async def async_push_load(self) -> None:
        """Send load changes to entries, in smaller steps while free capacity is low."""
        while True:
            await self._runner.load_changed.wait()
            await trio.sleep(LOAD_PUSH_INTERVAL_S * max(1, len(self._runner.links)))
            self._runner.reset_load_changed()
            now_s = clock.boot_s()
            for link in self._runner.links:
                if self._runner.needs_load_update(link, now_s):
                    self._runner.send_state(link, now_s)

    async def _async_link(self, connection: WebSocket) -> None:
        now_s = clock.boot_s()
        offset = self._runner.announce_offset
        reply = HelloReply(PROTOCOL_VERSION, self.incarnation, offset, now_s, self._settings.domain)
        hello = await async_accept(connection, self._settings.secret, reply)
        if hello is None:
            return
        link = Link(connection, hello.incarnation, now_s)
        self._runner.links.add(link)
        self._notices.link_opened(link, now_s)
        self._runner.send_state(link, now_s)
        logs.event("link_open", peer=hello.incarnation)
        try:
            await link.async_run(lambda item, at_s: self._handle(item, link, at_s))
        finally:
            self._runner.remove_link(link)
            self._notices.link_closed(link)
            self._runner.shared.link_closed(link)
            logs.event("link_closed", peer=hello.incarnation)

    def _reply_state(self, link: Link, now_s: float) -> None:
        """Send the state, which shows that this agent lives, unless a message was sent recently."""
        if now_s - link.sent_at_s > STATE_REPLY_INTERVAL_S:
            self._runner.send_state(link, now_s)

    @singledispatchmethod
    def _handle(self, message: Message, link: Link, now_s: float) -> None:
        logs.warning("message_unexpected", type=type(message).__name__, peer=link.peer_incarnation)

    @_handle.register
    def _(self, message: StartTasks, link: Link, now_s: float) -> None:
        self._runner.shared.record_start(link, message, now_s)
        self._runner.start_tasks(link, message, now_s)

    @_handle.register
    def _(self, message: QueryTasks, link: Link, now_s: float) -> None:
        self._runner.query(link, message, now_s)

    @_handle.register
    def _(self, message: CancelTasks, link: Link, now_s: float) -> None:
        self._runner.cancel(message, now_s)

    @_handle.register
    def _(self, message: StopTask, link: Link, now_s: float) -> None:
        self._runner.stop_task(message, now_s)

    @_handle.register
    def _(self, message: SealSubmissions, link: Link, now_s: float) -> None:
        self._runner.seal(link, message, now_s)

    @_handle.register
    def _(self, message: FreshnessRequest, link: Link, now_s: float) -> None:
        self._runner.send_state(link, now_s)

    @_handle.register
    def _(self, message: Freshness, link: Link, now_s: float) -> None:
        was_out = self._runner.view.domain_out
        is_first = self._runner.shared.record_work(link, message.work, now_s)
        self._runner.merge_stamp(link, message.view, now_s)
        self._runner.handle_view_update(now_s)
        if is_first:
            self._runner.send_state(link, now_s)
        else:
            self._reply_state(link, now_s)
        if self._runner.view.domain_out != was_out:
            logs.event("domain_changed", out=not was_out, offset=self._runner.view.offset)
            self._runner.broadcast_state(now_s)
