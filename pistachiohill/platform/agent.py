"""Connection of an agent to its runner on the platform."""

import trio
from attrs import frozen

from .. import clock, logs
from ..agent.leased_target import LeasedTarget
from ..agent.models import RunnerIdentity, TargetState
from ..agent.service import AgentService
from ..http.app import HttpApp, Route
from ..http.direct_server import async_serve_directly
from ..settings.models import AgentSettings
from .const import MAX_ANNOUNCEMENT_BYTES
from .models import RunnerAnnouncement
from .registry import RunnerRegistry


@frozen
class AnnouncedState:
    """State of an announced runner, which counts once the runner is in use."""

    identity: RunnerIdentity
    state: TargetState


class AgentPlatformAdapter:
    """Passes the runner's announcements to the agent and its target."""

    def __init__(
        self, settings: AgentSettings, service: AgentService, target: LeasedTarget
    ) -> None:
        """Initialize the adapter without opening any connection."""
        self._settings = settings
        self._service = service
        self._target = target
        self._registry = RunnerRegistry(self._on_announcement, self._on_deregister)
        self._runner_id = ""
        self._announced: AnnouncedState | None = None

    async def async_start(self, nursery: trio.Nursery, routes: list[Route]) -> None:
        """Serve the runner's announcements and the agent's own HTTP API."""
        nursery.start_soon(self._async_report_readiness)
        settings = self._settings
        app = HttpApp(routes + self._registry.routes(), MAX_ANNOUNCEMENT_BYTES)
        addresses = [settings.control_address, f"{settings.http_host}:{settings.http_port}"]
        for address in addresses:
            await nursery.start(
                async_serve_directly, app, address, MAX_ANNOUNCEMENT_BYTES, trio.Event(), 1.0
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
        state = TargetState(
            service=announcement.service,
            url=announcement.address,
            cpu_m=announcement.capacity.cpu_m,
            mem_mb=announcement.capacity.mem_mb,
            leaving=announcement.leaving,
            expires_at_s=now_s + self._settings.target_ttl_s,
            leaves_at_s=now_s + announcement.remaining_s,
        )
        self._announced = AnnouncedState(identity, state)
        self._apply_announced_state(now_s)

    def _apply_announced_state(self, now_s: float) -> None:
        """Pass on the state announced last if it is that of the runner in use."""
        announced = self._announced
        if announced is None or announced.identity != self._target.identity:
            return
        self._announced = None
        self._service.update_target(announced.state, now_s)

    def _on_deregister(self, runner_id: str, now_s: float) -> None:
        known = self._target.identity
        if known is None or runner_id != known.runner_id:
            return
        self._target.handle_shutdown()
        self._service.update_target(TargetState(), now_s)
