"""Connection of an entry to the platform: settings, callers and the load balancer."""

import trio
from prometheus_client import Counter

from .. import early_listeners
from ..clients.budget import ClientBudget
from ..clients.limits import main_limits, side_limits
from ..clients.recorder import LimitRecorder
from ..consortium.tree_keeper import async_keep_tree
from ..consortium.view import ConsortiumView
from ..entry.agents import AgentDirectory
from ..entry.best_effort import BestEffortJobs
from ..entry.job_cancels import JobCancels
from ..entry.routes import RouteTable
from ..entry.startup_check import StartupCheck
from ..http.app import HttpApp, route
from ..http.direct_server import async_serve_directly
from ..settings.models import EntrySettings
from .const import MAX_JOB_BODY_BYTES, PATH_READY
from .jobs_api import JobsApi, readiness_handler
from .operators import async_follow_operators
from .store import StoreClient

# The load balancer checks readiness once a second and sends new callers until two checks have
# failed.
BALANCER_DRAIN_S = 2.3
MANIFEST_WAIT_S = 3.0  # for the first manifest; it is read within milliseconds if the store is up


class EntryPlatformAdapter:
    """Serves callers and the load balancer, and follows the operators' settings."""

    def __init__(
        self,
        settings: EntrySettings,
        store: StoreClient,
        view: ConsortiumView,
        routes: RouteTable,
        jobs: BestEffortJobs,
        directory: AgentDirectory,
        startup: StartupCheck,
        cancels: JobCancels,
        limited: Counter,
    ) -> None:
        """Initialize the adapter without opening any connection.

        `limited` counts the clients that are turned away by a limit.
        """
        self._limited = limited
        self.jobs_server_ended = trio.Event()
        self._settings = settings
        self._view = view
        self._startup = startup
        self.jobs_api = JobsApi(routes, jobs, startup, cancels)
        self._directory = directory
        self._store = store
        self._draining = False

    def is_ready(self) -> bool:
        """Return whether the load balancer should send new callers: some agent accepts tasks."""
        accepting = any(agent.accepting for agent in self._directory.agents.values())
        return self._startup.done and accepting and not self._draining

    async def async_follow(self) -> None:
        """Follow the operators' topic, and keep their newest manifest, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(async_follow_operators, self._store, self._view)
            nursery.start_soon(async_keep_tree, self._store, self._view)
            nursery.start_soon(self._startup.async_run)

    async def async_serve(self, nursery: trio.Nursery, app: HttpApp, stopped: trio.Event) -> None:
        """Serve callers, the load balancer and the entry's own HTTP API until `stopped` is set."""
        settings = self._settings
        app.add_route(route("GET", PATH_READY, readiness_handler(self.is_ready)))
        addresses = {
            "ready": settings.ready_address,
            "http": f"{settings.http_host}:{settings.http_port}",
        }
        for name, address in addresses.items():
            budget = ClientBudget(side_limits(settings), LimitRecorder(name, self._limited))
            await nursery.start(
                async_serve_directly,
                app,
                address,
                min(settings.max_body_bytes, MAX_JOB_BODY_BYTES),
                stopped,
                settings.grace_s,
                budget,
            )
        await nursery.start(self._async_serve_callers, stopped)

    async def _async_serve_callers(
        self, stopped: trio.Event, task_status: trio.TaskStatus[None]
    ) -> None:
        """Serve callers once the manifest is loaded; until then their connections are queued."""
        settings = self._settings
        early_listeners.open_all([settings.jobs_address])
        task_status.started()
        try:
            await self._async_wait_for_manifest(stopped)
            await async_serve_directly(
                self.jobs_api,
                settings.jobs_address,
                MAX_JOB_BODY_BYTES,
                stopped,
                settings.grace_s,
                ClientBudget(main_limits(settings), LimitRecorder("jobs", self._limited)),
            )
        finally:
            self.jobs_server_ended.set()

    async def _async_wait_for_manifest(self, stopped: trio.Event) -> None:
        """Wait for the first manifest, but not for long: without one, all jobs are refused."""

        async def async_end_at_stop() -> None:
            await stopped.wait()
            nursery.cancel_scope.cancel()

        with trio.move_on_after(MANIFEST_WAIT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(async_end_at_stop)
                await self._startup.async_wait()
                nursery.cancel_scope.cancel()

    async def async_leave_balancer(self) -> None:
        """Report not ready, and return once the load balancer has stopped sending new callers."""
        self._draining = True
        await trio.sleep(BALANCER_DRAIN_S)
