"""Connection of an agent to its runner on the platform."""

import trio
from attrs import frozen
from prometheus_client import Counter

from .. import clock, logs
from ..agent.http_api import MAX_HTTP_BODY_BYTES
from ..agent.leased_target import LeasedTarget
from ..agent.models import RunnerIdentity, TargetState
from ..agent.service import AgentService
from ..clients.budget import ClientBudget
from ..clients.limits import main_limits, side_limits
from ..clients.recorder import LimitRecorder
from ..http.app import HttpApp, Route
from ..http.direct_server import async_serve_directly
from ..settings.models import AgentSettings
from .announced_states import AnnouncedStates, RunnerProcess
from .const import MAX_ANNOUNCEMENT_BYTES
from .models import RunnerAnnouncement
from .registry import RunnerRegistry


@frozen
class AnnouncedRunner:
    """A runner that was announced; it counts once it is in use."""

    identity: RunnerIdentity
    service: str
    expires_at_s: float
    leaves_at_s: float

    @property
    def process(self) -> RunnerProcess:
        """Return the process that was announced."""
        return process_of(self.identity)


def process_of(identity: RunnerIdentity) -> RunnerProcess:
    """Return the process of a runner, wherever it is reached."""
    return RunnerProcess(identity.runner_id, identity.born_ms)


class AgentPlatformAdapter:
    """Passes the runner's announcements to the agent and its target."""

    def __init__(
        self,
        settings: AgentSettings,
        service: AgentService,
        target: LeasedTarget,
        limited: Counter,
    ) -> None:
        """Initialize the adapter without opening any connection.

        `limited` counts the clients that are turned away by a limit.
        """
        self._limited = limited
        self._settings = settings
        self._service = service
        self._target = target
        self._registry = RunnerRegistry(
            self._on_announcement, self._on_out_of_order, self._on_deregister
        )
        self._states = AnnouncedStates()
        self._runner_id = ""
        self._announced: AnnouncedRunner | None = None
        self._in_use: AnnouncedRunner | None = None

    async def async_start(self, nursery: trio.Nursery, routes: list[Route]) -> None:
        """Serve the runner's announcements and the agent's own HTTP API."""
        nursery.start_soon(self._async_report_readiness)
        settings = self._settings
        app = HttpApp(routes + self._registry.routes(), MAX_ANNOUNCEMENT_BYTES)
        http_address = f"{settings.http_host}:{settings.http_port}"
        control, http = main_limits(settings), side_limits(settings)
        listeners = (
            ("control", settings.control_address, control, MAX_ANNOUNCEMENT_BYTES),
            ("http", http_address, http, MAX_HTTP_BODY_BYTES),
        )
        for name, address, limits, max_body_bytes in listeners:
            budget = ClientBudget(limits, LimitRecorder(name, self._limited))
            await nursery.start(
                async_serve_directly, app, address, max_body_bytes, trio.Event(), 1.0, budget
            )

    async def _async_report_readiness(self) -> None:
        """Notify the entries whenever the runner becomes ready or stops being ready."""
        while True:
            await self._target.async_ready_changed()
            self._apply_announced_state(clock.boot_s())
            logs.event("runner_ready", ready=self._target.ready)
            self._service.broadcast_state()

    def _on_announcement(self, announcement: RunnerAnnouncement, now_s: float) -> None:
        if announcement.runner_id != self._runner_id:
            logs.event(
                "runner_announced", runner=announcement.runner_id, service=announcement.service
            )
        self._runner_id = announcement.runner_id
        identity = RunnerIdentity(
            announcement.runner_id, announcement.address, announcement.born_ms
        )
        self._target.handle_announcement(identity, now_s)
        self._states.record(announcement, True, self._process_in_use(), now_s)
        expires_at_s = now_s + self._settings.target_ttl_s
        leaves_at_s = now_s + announcement.remaining_s
        self._announced = AnnouncedRunner(identity, announcement.service, expires_at_s, leaves_at_s)
        self._apply_announced_state(now_s)

    def _on_out_of_order(self, announcement: RunnerAnnouncement, now_s: float) -> None:
        """Apply what a late announcement says of the runner in use, if it allows less."""
        if self._in_use is not None and announcement.service != self._in_use.service:
            return  # a runner's service does not change, so another writer names it
        self._states.record(announcement, False, self._process_in_use(), now_s)
        if self._in_use is not None and self._in_use.identity == self._target.identity:
            self._update_target(self._in_use, now_s)

    def _process_in_use(self) -> RunnerProcess | None:
        identity = self._target.identity
        return None if identity is None else process_of(identity)

    def _apply_announced_state(self, now_s: float) -> None:
        """Pass on the state announced last if it is that of the runner in use."""
        announced = self._announced
        if announced is None or announced.identity != self._target.identity:
            return
        self._announced = None
        self._in_use = announced
        self._update_target(announced, now_s)

    def _update_target(self, runner: AnnouncedRunner, now_s: float) -> None:
        allowance = self._states.allowance(runner.process)
        if allowance is None:
            return
        target = TargetState(
            service=runner.service,
            url=runner.identity.address,
            cpu_m=allowance.capacity.cpu_m,
            mem_mb=allowance.capacity.mem_mb,
            leaving=allowance.leaving,
            expires_at_s=runner.expires_at_s,
            leaves_at_s=runner.leaves_at_s,
            target_id=runner.identity.runner_id,
        )
        self._service.update_target(target, now_s)

    def _on_deregister(self, runner_id: str, now_s: float) -> None:
        known = self._target.identity
        if known is None or runner_id != known.runner_id:
            return
        self._in_use = None
        self._target.handle_shutdown()
        self._service.update_target(TargetState(), now_s)
