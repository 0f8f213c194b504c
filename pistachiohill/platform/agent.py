"""An agent's side of the platform: its runner's announcements."""

import trio

from .. import logs
from ..agent.leased_target import LeasedTarget
from ..agent.models import RunnerIdentity, TargetState
from ..agent.service import AgentService
from ..http.server import HttpApp, Route, async_serve_http
from ..settings.models import AgentSettings
from .const import MAX_BEAT_BYTES
from .models import RunnerBeat
from .registry import RunnerRegistry


class AgentOnPlatform:
    """Takes the runner's announcements."""

    def __init__(
        self, settings: AgentSettings, service: AgentService, target: LeasedTarget
    ) -> None:
        """Keep the parts; nothing is opened yet."""
        self._settings = settings
        self._service = service
        self._target = target
        self._registry = RunnerRegistry(self._announced, self._gone)
        self._runner_id = ""

    async def async_start(self, nursery: trio.Nursery, routes: list[Route]) -> None:
        """Serve the runner and this product's own interface."""
        settings = self._settings
        app = HttpApp(routes + self._registry.routes(), MAX_BEAT_BYTES)
        own = [settings.control_address, f"{settings.http_host}:{settings.http_port}"]
        await nursery.start(async_serve_http, app, own, trio.Event(), 1.0)
        nursery.start_soon(self._async_follow_readiness)

    async def _async_follow_readiness(self) -> None:
        """Tell entries when the runner becomes usable or ceases to be."""
        while True:
            await self._target.async_ready_changed()
            logs.event("runner_ready", ready=self._target.ready)
            self._service.broadcast_state()

    def _announced(self, beat: RunnerBeat, now_s: float) -> None:
        if beat.runner_id != self._runner_id:
            logs.event("runner_announced", runner=beat.runner_id, service=beat.service)
        self._runner_id = beat.runner_id
        identity = RunnerIdentity(beat.runner_id, beat.address, beat.born_ms)
        self._target.handle_announcement(identity, beat.clock_s, now_s)
        state = TargetState(
            service=beat.service,
            url=beat.address,
            cpu_m=beat.room.cpu_m,
            mem_mb=beat.room.mem_mb,
            leaving=beat.leaving,
            expires_at_s=now_s + self._settings.target_ttl_s,
        )
        self._service.update_target(state, now_s)

    def _gone(self, runner_id: str, now_s: float) -> None:
        if runner_id != self._runner_id:
            return
        self._target.handle_shutdown()
        self._service.update_target(TargetState(), now_s)
