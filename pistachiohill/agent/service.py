"""The agent's servers: links from entries, and HTTP for its target, probes and metrics."""

import random
from functools import singledispatchmethod

import trio
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from websockets.trio.server import ServerConnection

from .. import clock, logs
from ..const import PROTOCOL_VERSION, Role
from ..errors import RefusalReason
from ..http.models import Request, Response, invalid, json_response, read_object
from ..http.server import HttpApp, Route, async_serve_http, route
from ..protocol.link import (
    Link,
    async_accept,
    async_listen,
)
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
)
from ..settings.models import AgentSettings
from ..submissions.identifiers import new_incarnation
from .admission import TargetState
from .const import IDLE_HEARTBEAT_S
from .metrics import AgentMetrics
from .runner import TaskRunner

MAX_HTTP_BODY_BYTES = 64 * 1024
MAX_TARGET_SLOTS = 4096


class AgentService:
    """One agent process: wires links and HTTP to the task runner."""

    def __init__(
        self,
        settings: AgentSettings,
        runner: TaskRunner,
        metrics: AgentMetrics,
    ) -> None:
        """Keep the parts; nothing is opened yet."""
        self.incarnation = new_incarnation()
        self._settings = settings
        self._runner = runner
        self._metrics = metrics

    async def async_serve_links(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accept links from entries until cancelled."""
        await async_listen(
            self._async_link,
            self._settings.peer_host,
            self._settings.peer_port,
            task_status=task_status,
        )

    async def async_serve_http(
        self, stopping: trio.Event, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve HTTP until `stopping` is set."""
        await async_serve_http(
            HttpApp(self._routes(), MAX_HTTP_BODY_BYTES),
            self._settings.http_host,
            self._settings.http_port,
            stopping,
            1.0,
            task_status=task_status,
        )

    def announcement(self) -> AnnounceRecord:
        """Return the record that announces this incarnation."""
        return AnnounceRecord(
            change_id=self.incarnation,
            role=Role.AGENT,
            incarnation=self.incarnation,
            domain=self._settings.domain,
            host=self._settings.peer_host,
            port=self._settings.advertised_port or self._settings.peer_port,
        )

    def announced(self, offset: int) -> None:
        """Accept tasks from now on; before the announcement stands in the log none is accepted."""
        self._runner.announce_offset = offset
        self._runner.tell_entries(clock.boot_s())

    async def async_heartbeat(self) -> None:
        """Tell entries the agent's state on a slow beat and when the target's lease lapses."""
        while True:
            ends_s = self._runner.target.expires_at_s - clock.boot_s()
            pause_s = IDLE_HEARTBEAT_S * random.uniform(0.8, 1.2)
            await trio.sleep(min(pause_s, ends_s + 0.01) if ends_s > 0 else pause_s)
            now_s = clock.boot_s()
            if self._runner.target.slots and not self._runner.target.is_present(now_s):
                self._runner.shed(RefusalReason.LEAVING, now_s)
                continue
            self._runner.tell_entries(now_s)

    async def _async_link(self, connection: ServerConnection) -> None:
        now_s = clock.boot_s()
        offset = self._runner.announce_offset
        reply = HelloReply(PROTOCOL_VERSION, self.incarnation, offset, now_s)
        hello = await async_accept(connection, self._settings.secret, reply)
        if hello is None:
            return
        link = Link(connection, hello.incarnation, now_s)
        self._runner.links.add(link)
        link.send(self._runner.state(now_s))
        logs.event("link_open", peer=hello.incarnation)
        try:
            await link.async_run(lambda item, at_s: self._handle(item, link, at_s), clock.boot_s)
        finally:
            self._runner.detach(link)
            logs.event("link_closed", peer=hello.incarnation)

    @singledispatchmethod
    def _handle(self, message: Message, link: Link, now_s: float) -> None:
        logs.warning("message_unexpected", type=type(message).__name__, peer=link.peer_incarnation)

    @_handle.register
    def _(self, message: StartTasks, link: Link, now_s: float) -> None:
        self._runner.start_tasks(link, message, now_s)

    @_handle.register
    def _(self, message: QueryTasks, link: Link, now_s: float) -> None:
        self._runner.query(link, message, now_s)

    @_handle.register
    def _(self, message: CancelTasks, link: Link, now_s: float) -> None:
        self._runner.cancel(message, now_s)

    @_handle.register
    def _(self, message: SealSubmissions, link: Link, now_s: float) -> None:
        self._runner.seal(link, message, now_s)

    @_handle.register
    def _(self, message: FreshnessRequest, link: Link, now_s: float) -> None:
        link.send(self._runner.state(now_s))

    @_handle.register
    def _(self, message: Freshness, link: Link, now_s: float) -> None:
        was_out = self._runner.view.domain_out
        self._runner.view.merge(message.view, now_s)
        self._runner.refreshed(now_s)
        if self._runner.view.domain_out != was_out:
            logs.event("domain_changed", out=not was_out, offset=self._runner.view.offset)
            self._runner.tell_entries(now_s)

    def _routes(self) -> list[Route]:
        return [
            route("PUT", "/v1/target", self._async_put_target),
            route("GET", "/live", self._async_live),
            route("GET", "/ready", self._async_ready),
            route("GET", "/metrics", self._async_metrics),
        ]

    async def _async_put_target(self, request: Request) -> Response:
        now_s = clock.boot_s()
        before = self._runner.target
        target = _read_target(request.body, now_s + self._settings.target_ttl_s)
        self._runner.target = target
        changed = (before.service, before.url, before.slots, before.is_present(now_s)) != (
            target.service,
            target.url,
            target.slots,
            target.is_present(now_s),
        )
        if changed:
            logs.event("target", service=target.service, slots=target.slots, leaving=target.leaving)
        if target.leaving and changed:
            self._runner.shed(RefusalReason.LEAVING, now_s)
        elif changed:
            self._runner.tell_entries(now_s)
        return json_response({"ttl_s": self._settings.target_ttl_s})

    async def _async_live(self, request: Request) -> Response:
        return json_response({"incarnation": self.incarnation})

    async def _async_ready(self, request: Request) -> Response:
        state = self._runner.state(clock.boot_s())
        value = {
            "ready": state.accepting,
            "occupied": state.occupied,
            "links": len(self._runner.links),
        }
        return json_response(value, 200 if state.accepting else 503)

    async def _async_metrics(self, request: Request) -> Response:
        self._metrics.view_age_s.set(self._runner.view.age_s(clock.boot_s()))
        return Response(200, generate_latest(self._metrics.registry), CONTENT_TYPE_LATEST)


def _read_target(body: bytes, expires_at_s: float) -> TargetState:
    value = read_object(body)
    for name in ("service", "url"):
        if not isinstance(value.get(name), str) or not value[name]:
            raise invalid(name, "expected a string")
    slots = value.get("slots")
    if type(slots) is not int or not 1 <= slots <= MAX_TARGET_SLOTS:
        raise invalid("slots", f"expected an integer from 1 to {MAX_TARGET_SLOTS}")
    if value.get("state", "ready") not in ("ready", "leaving"):
        raise invalid("state", "expected ready or leaving")
    return TargetState(
        service=value["service"],
        url=value["url"].rstrip("/"),
        slots=slots,
        leaving=value.get("state") == "leaving",
        expires_at_s=expires_at_s,
    )
