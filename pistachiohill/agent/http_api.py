"""HTTP API of an agent: target announcements, health probes and metrics."""

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from .. import clock
from ..http.app import Route, route
from ..http.models import Request, Response, invalid, json_response, parse_json_object
from ..scheduling.models import SLOT_CPU_M
from ..settings.models import AgentSettings
from .metrics import AgentMetrics
from .models import TargetState
from .runner import TaskRunner
from .service import AgentService

MAX_HTTP_BODY_BYTES = 64 * 1024
MAX_TARGET_SLOTS = 4096


class AgentApi:
    """Handles the HTTP requests to an agent."""

    def __init__(
        self,
        settings: AgentSettings,
        service: AgentService,
        runner: TaskRunner,
        metrics: AgentMetrics,
    ) -> None:
        """Initialize the API."""
        self._settings = settings
        self._service = service
        self._runner = runner
        self._metrics = metrics

    def routes(self) -> list[Route]:
        """Return the routes of this API."""
        return [
            route("PUT", "/v1/target", self._async_put_target),
            route("GET", "/live", self._async_live),
            route("GET", "/ready", self._async_ready),
            route("GET", "/metrics", self._async_metrics),
        ]

    async def _async_put_target(self, request: Request) -> Response:
        now_s = clock.boot_s()
        target = _read_target(request.body, now_s + self._settings.target_ttl_s)
        self._service.update_target(target, now_s)
        return json_response({"ttl_s": self._settings.target_ttl_s})

    async def _async_live(self, request: Request) -> Response:
        return json_response({"incarnation": self._service.incarnation})

    async def _async_ready(self, request: Request) -> Response:
        ready = self._runner.is_accepting(clock.boot_s())
        value = {
            "ready": ready,
            "occupied": self._runner.occupied,
            "links": len(self._runner.links),
        }
        return json_response(value, 200 if ready else 503)

    async def _async_metrics(self, request: Request) -> Response:
        self._metrics.view_age_s.set(self._runner.view.age_s(clock.boot_s()))
        self._metrics.factor.set(self._runner.shared.speed.factor)
        return Response(200, generate_latest(self._metrics.registry), CONTENT_TYPE_LATEST)


def _read_target(body: bytes, expires_at_s: float) -> TargetState:
    value = parse_json_object(body)
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
        cpu_m=slots * SLOT_CPU_M,
        leaving=value.get("state") == "leaving",
        expires_at_s=expires_at_s,
    )
