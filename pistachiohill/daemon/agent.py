"""Assembles an agent from its components and runs it until it is stopped.

The HTTP libraries of a standalone agent are imported only there, to save memory on the platform.
"""

import trio

from .. import clock, logs
from ..agent.http_api import MAX_HTTP_BODY_BYTES, AgentApi
from ..agent.late_start_notices import LateStartNotices
from ..agent.leased_target import LeasedTarget
from ..agent.metrics import AgentMetrics
from ..agent.models import TaskTarget
from ..agent.runner import TaskRunner
from ..agent.service import AgentService
from ..clients.budget import ClientBudget
from ..clients.limits import link_limits
from ..clients.recorder import LimitRecorder
from ..consortium.tail import async_announce, async_withdraw
from ..const import Role
from ..errors import RefusalReason
from ..http.app import HttpApp
from ..platform.agent import AgentPlatformAdapter
from ..platform.runner_client import RunnerClient
from ..platform.store import StoreClient
from ..settings.models import AgentSettings
from .stopping import RESPONSE_FLUSH_S, async_drain_on_signal


async def async_run_agent(settings: AgentSettings) -> None:
    """Run an agent until SIGTERM or SIGINT; draining ends at a second signal or the grace time."""
    if settings.control_address:
        await _async_run_on_platform(settings)
    else:
        await _async_run_standalone(settings)


async def _async_start_services(
    settings: AgentSettings,
    nursery: trio.Nursery,
    target: TaskTarget,
    metrics: AgentMetrics,
    notices: LateStartNotices,
) -> tuple[TaskRunner, AgentService, AgentApi]:
    """Create and start the components that every agent needs."""
    runner = TaskRunner(settings, nursery, target, metrics)
    links = ClientBudget(link_limits(settings), LimitRecorder("links", metrics.limited))
    service = AgentService(settings, runner, links, notices)
    api = AgentApi(settings, service, runner, metrics)
    await nursery.start(service.async_serve_links)
    nursery.start_soon(service.async_heartbeat)
    nursery.start_soon(service.async_push_load)
    nursery.start_soon(runner.async_expire)
    nursery.start_soon(runner.async_watch_leases)
    nursery.start_soon(runner.async_tell_answered)
    return runner, service, api


async def _async_serve(
    settings: AgentSettings, nursery: trio.Nursery, runner: TaskRunner, service: AgentService
) -> None:
    """Announce the agent, serve until it is stopped, and withdraw the announcement."""
    store = StoreClient(settings.store_url)

    async def async_announce_agent() -> None:
        service.start_accepting(await async_announce(store, service.announcement()))

    nursery.start_soon(async_announce_agent)
    logs.event("started", role=Role.AGENT, incarnation=service.incarnation)
    await async_drain_on_signal(settings.grace_s, lambda: _async_drain(runner))
    if runner.announce_offset >= 0:
        await async_withdraw(store, service.announcement(), runner.announce_offset)


async def _async_drain(runner: TaskRunner) -> None:
    """Stop accepting tasks, return queued tasks and wait for running ones."""
    runner.stopping = True
    runner.shed(RefusalReason.STOPPING, clock.boot_s())
    await runner.async_wait_idle()
    await trio.sleep(RESPONSE_FLUSH_S)


async def _async_run_standalone(settings: AgentSettings) -> None:
    """Run an agent for a target that is called over HTTP."""
    from ..agent.target_client import TargetClient
    from ..http.server import async_serve_http

    async with trio.open_nursery() as nursery:
        runner, service, api = await _async_start_services(
            settings, nursery, TargetClient(), AgentMetrics(), LateStartNotices()
        )

        app = HttpApp(api.routes(), MAX_HTTP_BODY_BYTES)
        address = f"{settings.http_host}:{settings.http_port}"
        await nursery.start(async_serve_http, app, [address], trio.Event(), 1.0)
        await _async_serve(settings, nursery, runner, service)
        nursery.cancel_scope.cancel()
    logs.event("stopped", role=Role.AGENT, incarnation=service.incarnation)


async def _async_run_on_platform(settings: AgentSettings) -> None:
    """Run an agent for a runner of the users' platform."""
    notices = LateStartNotices()
    target = LeasedTarget(RunnerClient(), clock.wall_s(), notices)
    async with trio.open_nursery() as nursery:
        metrics = AgentMetrics()
        runner, service, api = await _async_start_services(
            settings, nursery, target, metrics, notices
        )
        platform = AgentPlatformAdapter(settings, service, target, metrics.limited)
        nursery.start_soon(target.async_run)
        await platform.async_start(nursery, api.routes())
        await _async_serve(settings, nursery, runner, service)
        nursery.cancel_scope.cancel()
    logs.event("stopped", role=Role.AGENT, incarnation=service.incarnation)
