"""HTTP interface for operators: changes, failure domains, settings and status."""

import secrets
from typing import Any

import attrs
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from .. import clock, logs
from ..consortium.const import ANY_VERSION
from ..consortium.publisher import async_publish
from ..consortium.view import ConsortiumView
from ..const import Role
from ..errors import Refusal, RefusalReason, Verdict
from ..http.app import Route, route
from ..http.models import (
    HttpError,
    Problem,
    Request,
    Response,
    invalid,
    json_response,
    parse_json_object,
)
from ..platform.store import StoreClient
from ..protocol.models import ChangeRecord, DomainChangeRecord, PublishRecord
from ..settings.const import MAX_NAME_CHARS
from ..settings.errors import SettingsError
from ..settings.models import EntrySettings
from ..settings.tree import explain, level_of, parse_node
from .agents import AgentDirectory
from .auth import authenticate_operator
from .metrics import EntryMetrics
from .peers import PeerDirectory
from .submission_service import SubmissionService


class OperatorApi:
    """HTTP routes for operators, health probes and metrics."""

    def __init__(
        self,
        settings: EntrySettings,
        incarnation: str,
        view: ConsortiumView,
        store: StoreClient,
        directory: AgentDirectory,
        peers: PeerDirectory,
        submissions: SubmissionService,
        metrics: EntryMetrics,
    ) -> None:
        """Initialize the operator API."""
        self._settings = settings
        self._incarnation = incarnation
        self._view = view
        self._store = store
        self._directory = directory
        self._peers = peers
        self._submissions = submissions
        self._metrics = metrics

    def routes(self) -> list[Route]:
        """Return the routes of this interface."""
        return [
            route("GET", "/live", self._async_live),
            route("GET", "/ready", self._async_ready),
            route("GET", "/metrics", self._async_metrics),
            route("POST", "/v1/operator/changes", self._async_post_change),
            route("GET", "/v1/operator/changes/{}", self._async_get_change),
            route("PUT", "/v1/operator/domains/{}", self._async_put_domain),
            route("GET", "/v1/operator/settings", self._async_get_settings),
            route("GET", "/v1/operator/explain", self._async_explain),
            route("GET", "/v1/operator/status", self._async_status),
        ]

    async def _async_live(self, request: Request) -> Response:
        return json_response({"incarnation": self._incarnation})

    async def _async_ready(self, request: Request) -> Response:
        ready = self._submissions.ready
        value = {"ready": ready, "offset": self._view.state.offset}
        return json_response(value, 200 if ready else 503)

    async def _async_metrics(self, request: Request) -> Response:
        self._metrics.view_age_s.set(self._view.age_s(clock.boot_s()))
        self._metrics.applied_offset.set(self._view.state.offset)
        agents = self._directory.agents.values()
        others_core_s = sum(sum(item.load.others_waiting.core_s) for item in agents)
        self._metrics.others_waiting_core_s.set(others_core_s)
        self._metrics.set_link_traffic("agent", self._directory.counters)
        self._metrics.set_link_traffic("entry", self._peers.counters)
        return Response(200, generate_latest(self._metrics.registry), CONTENT_TYPE_LATEST)

    async def _async_post_change(self, request: Request) -> Response:
        self._authenticate(request)
        value = parse_json_object(request.body)
        path, text = _read_text(value, "path"), _read_text(value, "values_toml", "")
        try:
            parse_node(path, text, 0)
        except SettingsError as err:
            return _settings_problem(err)
        record = PublishRecord(
            change_id=_read_text(value, "change_id", secrets.token_hex(8)),
            path=path,
            expected_version=_read_version(value),
            values_toml=text,
            author=_read_text(value, "author", ""),
            deleted=value.get("deleted") is True,
        )
        return await self._async_publish(record)

    async def _async_put_domain(self, request: Request) -> Response:
        self._authenticate(request)
        value = parse_json_object(request.body)
        if not isinstance(value.get("out"), bool):
            raise invalid("out", "expected true or false")
        if len(request.path_values[0]) > MAX_NAME_CHARS:
            raise invalid("domain", f"longer than {MAX_NAME_CHARS} characters")
        record = DomainChangeRecord(
            change_id=_read_text(value, "change_id", secrets.token_hex(8)),
            domain=request.path_values[0],
            out=value["out"],
            expected_version=_read_version(value),
            author=_read_text(value, "author", ""),
        )
        return await self._async_publish(record)

    async def _async_publish(self, record: PublishRecord | DomainChangeRecord) -> Response:
        self._refuse_if_platform_publishes()
        result = await async_publish(self._store, self._view, record)
        if isinstance(result, Refusal):
            status = 503 if result.verdict == Verdict.NOT_RUN else 504
            raise HttpError(
                Problem(
                    status,
                    result.reason,
                    result.verdict,
                    result.detail,
                    retry_after_s=result.retry_after_s,
                )
            )
        logs.event(
            "change", change=result.change_id, accepted=result.accepted, offset=result.offset
        )
        return _change_response(result)

    async def _async_get_change(self, request: Request) -> Response:
        self._authenticate(request)
        result = self._view.state.changes.get(request.path_values[0])
        if result is None:
            raise invalid("change_id", "no such change at or below the applied offset", 404)
        return _change_response(result)

    async def _async_get_settings(self, request: Request) -> Response:
        self._authenticate(request)
        state = self._view.state
        nodes = [
            {"path": node.path, "values_toml": node.text, "version": node.version}
            for node in sorted(state.nodes.values(), key=lambda item: item.path)
            if not node.deleted
        ]
        domains = [attrs.asdict(record) for record in state.domains.values()]
        return json_response({"offset": state.offset, "nodes": nodes, "domains": domains})

    async def _async_explain(self, request: Request) -> Response:
        self._authenticate(request)
        path = request.query.get("path", "consortium")
        if level_of(path) is None:
            raise invalid("path", "expected consortium, consortium/MEMBER or consortium/MEMBER/JOB")
        values = explain(self._view.state.nodes, path)
        return json_response({"path": path, "values": [attrs.asdict(item) for item in values]})

    async def _async_status(self, request: Request) -> Response:
        self._authenticate(request)
        now_s = clock.boot_s()
        state = self._view.state
        return json_response(
            {
                "entry": self._incarnation,
                "name": self._settings.name,
                "ready": self._submissions.ready,
                "offset": state.offset,
                "view_age_s": min(self._view.age_s(now_s), 1e9),
                "domains_out": [name for name, item in state.domains.items() if item.out],
                "peers": self._peer_values(),
                "agents": self._agent_values(now_s),
                "unlinked": self._unlinked_entries(),
            }
        )

    def _peer_values(self) -> list[dict[str, Any]]:
        return [
            {
                "entry": peer.link.peer_incarnation,
                "offset": peer.offset,
                "view_age_s": peer.age_s,
            }
            for peer in self._peers.peers
        ]

    def _agent_values(self, now_s: float) -> list[dict[str, Any]]:
        return [
            {
                "agent": agent.incarnation,
                "domain": agent.domain,
                "service": agent.service,
                "linked": agent.link is not None,
                "accepting": agent.accepting,
                "cpu_m": agent.load.cpu_m,
                "mem_mb": agent.load.mem_mb,
                "occupied": agent.load.task_count,
                "factor": round(agent.load.factor, 3),
                "quarantined_s": max(0.0, agent.load.quarantined_until_s - now_s),
                "offset": agent.applied_offset,
                "view_age_s": agent.view_age_s,
            }
            for agent in self._directory.agents.values()
        ]

    def _unlinked_entries(self) -> list[str]:
        linked = self._peers.incarnations() | {self._incarnation}
        return [
            process.incarnation
            for process in self._view.processes.live(Role.ENTRY)
            if process.incarnation not in linked
        ]

    def _refuse_if_platform_publishes(self) -> None:
        """Refuse a change if the platform's operators publish the settings."""
        if self._settings.jobs_address:
            detail = "the settings of this consortium are published by the platform's operators"
            raise invalid("path", detail, 409)

    def _authenticate(self, request: Request) -> None:
        authenticate_operator(self._settings.operator_token_sha256, request.headers)


def _change_response(result: ChangeRecord) -> Response:
    return json_response(attrs.asdict(result), 200 if result.accepted else 409)


def _settings_problem(err: SettingsError) -> Response:
    problems = [attrs.asdict(problem) for problem in err.problems]
    value = {
        "type": f"urn:pistachiohill:problem:{RefusalReason.INVALID}",
        "status": 422,
        "verdict": str(Verdict.NOT_RUN),
        "problems": problems,
    }
    return json_response(value, 422)


def _read_text(value: dict[str, Any], name: str, default: str | None = None) -> str:
    text = value.get(name, default)
    if not isinstance(text, str):
        raise invalid(name, "expected a string")
    return text


def _read_version(value: dict[str, Any]) -> int:
    version = value.get("expected_version", ANY_VERSION)
    if type(version) is not int or version < ANY_VERSION:
        raise invalid("expected_version", "expected a version, 0 for a new node or -1 for any")
    return version
