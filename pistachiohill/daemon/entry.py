"""Assembles an entry from its components and runs it until it is stopped."""

import trio
from attrs import define, field

from .. import clock, logs
from ..clients.budget import ClientBudget
from ..clients.limits import link_limits
from ..clients.recorder import LimitRecorder
from ..consortium.const import NO_OFFSET
from ..consortium.tail import (
    async_announce,
    async_follow_processes,
    async_follow_settings,
    async_purge_ended_processes,
    async_withdraw,
)
from ..consortium.view import ConsortiumView
from ..const import Role
from ..entry.accounting import Accounting
from ..entry.admission import Admission
from ..entry.agent_assignment import ALL_ENTRIES, ENTRIES_DIALED, ENTRIES_PER_AGENT
from ..entry.agents import AgentDirectory
from ..entry.best_effort import BestEffortJobs
from ..entry.caller_api import CallerApi
from ..entry.dispatcher import Dispatcher
from ..entry.fairness import FairnessReporter
from ..entry.job_cancels import JobCancels
from ..entry.job_holders import JobHolders
from ..entry.metrics import EntryMetrics
from ..entry.operator_api import OperatorApi
from ..entry.peers import PeerDirectory
from ..entry.recovery import Recovery
from ..entry.routes import RouteTable
from ..entry.startup_check import StartupCheck
from ..entry.submission_service import SubmissionService
from ..http.app import HttpApp
from ..overload.budget import StopBudget
from ..overload.mover import TaskMover
from ..platform.entry import EntryPlatformAdapter
from ..platform.store import StoreClient
from ..protocol.models import AnnounceRecord, ProcessRecord
from ..settings.const import ROOT_PATH
from ..settings.models import EntrySettings
from ..shared_load.entry import EntrySharedLoad
from ..submissions.identifiers import IdIssuer, new_incarnation
from .stopping import RESPONSE_FLUSH_S, async_drain_on_signal

EXPIRY_INTERVAL_S = 1.0
STOP_MARGIN_S = 0.8  # part of the grace time kept for cancelling and answering remaining jobs


@define(eq=False, slots=False)
class Entry:
    """The components of an entry, the same whether it runs standalone or on the users' platform."""

    settings: EntrySettings
    nursery: trio.Nursery
    incarnation: str = field(factory=new_incarnation)
    view: ConsortiumView = field(factory=ConsortiumView)
    metrics: EntryMetrics = field(factory=EntryMetrics)
    stopped: trio.Event = field(factory=trio.Event)
    announce_offset: int = NO_OFFSET

    def __attrs_post_init__(self) -> None:
        """Create the components and connect them."""
        settings, view = self.settings, self.view
        self.store = StoreClient(settings.store_url)
        self.peers = PeerDirectory(
            self.incarnation,
            settings,
            view,
            ENTRIES_DIALED if settings.jobs_address else ALL_ENTRIES,
            self._end_unreachable_entry,
            ClientBudget(link_limits(settings), LimitRecorder("links", self.metrics.limited)),
        )
        self.accounting = Accounting(self.metrics)
        self.directory = AgentDirectory(
            self.incarnation,
            settings.secret,
            settings.silence_s,
            settings.agents,
            view,
            (settings.peer_host, settings.advertised_port or settings.peer_port),
            ENTRIES_PER_AGENT if settings.jobs_address else ALL_ENTRIES,
            self._view_confirmed_at,
        )
        self.dispatcher = Dispatcher(view, self._view_confirmed_at, self.directory, self.accounting)
        waiting = self.dispatcher.waiting
        self.directory.shared_load = EntrySharedLoad(
            settings.shared_run_times,
            settings.shared_work_interval_s,
            waiting.estimates,
            waiting.share_core_ms,
        )
        self.recovery = Recovery(view, self.directory, self.nursery)
        self.dispatcher.add_listener(self.recovery)
        self.mover = self._create_mover()
        issuer = IdIssuer(self.incarnation)
        self.submissions = SubmissionService(
            settings,
            issuer,
            view,
            self._view_confirmed_at,
            self.dispatcher,
            self.peers,
            self.recovery,
            self.accounting,
        )
        admission = Admission(waiting)
        self.holders = JobHolders(self.peers, self.directory.late_starts)
        self.jobs = BestEffortJobs(
            issuer,
            view,
            self.dispatcher,
            admission,
            self.accounting,
            clock.boot_s(),
            self.holders,
            self.directory.late_starts,
        )
        self.holders.set_jobs(self.jobs)
        self.peers.set_listener(self.holders)
        self.routes = RouteTable(view)
        self.peers.set_handlers(
            self.submissions.async_answer_forward,
            self.accounting.counters,
            self.submissions.issue_ids_for_peer,
            self.jobs.cancel,
        )

    def _create_mover(self) -> TaskMover | None:
        """Create what moves tasks away from slow and leaving targets, if settings allow that."""
        if not self.settings.overrun_budget:
            return None
        budget = StopBudget(self.settings.overrun_budget)
        mover = TaskMover(self.directory, self.dispatcher.waiting, budget, self.metrics)
        self.dispatcher.add_listener(mover)
        return mover

    def app(self) -> HttpApp:
        """Return the HTTP application with this product's API for callers and operators."""
        fairness = FairnessReporter(self.view, self.accounting, self.peers)
        callers = CallerApi(self.settings, self.view, self.submissions, fairness)
        operators = OperatorApi(
            self.settings,
            self.incarnation,
            self.view,
            self.store,
            self.directory,
            self.peers,
            self.submissions,
            self.metrics,
        )
        return HttpApp(callers.routes() + operators.routes(), self.settings.max_body_bytes)

    def announcement(self) -> AnnounceRecord:
        """Return the record that announces this process."""
        settings = self.settings
        return AnnounceRecord(
            Role.ENTRY,
            self.incarnation,
            settings.domain,
            settings.peer_host,
            settings.advertised_port or settings.peer_port,
        )

    def _end_unreachable_entry(self, process: ProcessRecord) -> None:
        """Record in the store that another entry has ended, so that its agents get another one.

        An entry that was only cut off keeps serving its agents; they have one entry more then.
        """
        if self.settings.jobs_address:
            announced = AnnounceRecord(
                process.role, process.incarnation, process.domain, process.host, process.port
            )
            self.nursery.start_soon(async_withdraw, self.store, announced, process.announce_offset)

    def _view_confirmed_at(self, now_s: float) -> float:
        """Return the boot time as of which the view is confirmed to be current.

        With `start_through_outage`, confirmation by the other entries also counts once the view is
        older than half its maximum age, so that tasks can start during an outage of the store.
        """
        root = self.view.state.settings(ROOT_PATH)
        if root.start_through_outage and self.view.age_s(now_s) > root.view_max_age_s / 2:
            outage_s = self.peers.outage_confirmed_at(now_s)
            return max(self.view.confirmed_at_s, outage_s or self.view.confirmed_at_s)
        return self.view.confirmed_at_s

    async def async_start(self) -> None:
        """Start the components that every entry needs."""
        await self.nursery.start(self.peers.async_serve)
        self.nursery.start_soon(self.peers.async_run)
        self.nursery.start_soon(self.holders.async_run)
        self.nursery.start_soon(self.directory.async_run, self.dispatcher)
        self.nursery.start_soon(self.dispatcher.async_run)
        if self.mover is not None:
            self.nursery.start_soon(self.mover.async_run)
        self.nursery.start_soon(self._async_expire)
        self.nursery.start_soon(async_follow_processes, self.store, self.view)
        self.nursery.start_soon(async_purge_ended_processes, self.store, self.view)
        self.nursery.start_soon(self._async_announce)

    async def _async_announce(self) -> None:
        self.announce_offset = await async_announce(self.store, self.announcement())

    async def async_withdraw(self) -> None:
        """Record in the store that this process has ended, if it was announced."""
        if self.announce_offset > NO_OFFSET:
            await async_withdraw(self.store, self.announcement(), self.announce_offset)

    async def _async_expire(self) -> None:
        """Remove answered and recovered submissions periodically, after `submission_ttl_s`."""
        while True:
            await trio.sleep(EXPIRY_INTERVAL_S)
            before_s = clock.boot_s() - self.settings.submission_ttl_s
            self.dispatcher.remove_answered(before_s)
            self.recovery.remove_decided(before_s)

    async def async_drain(self) -> None:
        """Refuse new jobs and wait until all accepted ones are answered."""
        self.submissions.stopping = True
        await self.jobs.async_drain()
        await self.dispatcher.async_wait_answered()
        await trio.sleep(RESPONSE_FLUSH_S)
        self.stopped.set()


async def async_run_entry(settings: EntrySettings) -> None:
    """Run an entry until SIGTERM or SIGINT; draining ends at a second signal or the grace time."""
    async with trio.open_nursery() as nursery:
        entry = Entry(settings, nursery)
        if settings.jobs_address:
            await _async_run_on_platform(entry)
        else:
            await _async_run_standalone(entry)
        nursery.cancel_scope.cancel()
    logs.event("stopped", role=Role.ENTRY, incarnation=entry.incarnation)


async def _async_run_standalone(entry: Entry) -> None:
    """Run with this product's own HTTP API and the settings that are published through it."""
    from ..http.server import async_serve_http  # not loaded on the platform, to save memory

    settings = entry.settings
    http_stopped = trio.Event()

    async def async_serve_callers(task_status: trio.TaskStatus[None]) -> None:
        address = f"{settings.http_host}:{settings.http_port}"
        try:
            await async_serve_http(
                entry.app(), [address], entry.stopped, settings.grace_s, task_status=task_status
            )
        finally:
            http_stopped.set()

    async def async_drain() -> None:
        await entry.async_drain()
        await http_stopped.wait()

    entry.nursery.start_soon(async_follow_settings, entry.store, entry.view)
    await entry.async_start()
    await entry.nursery.start(async_serve_callers)
    logs.event("started", role=Role.ENTRY, incarnation=entry.incarnation)
    await async_drain_on_signal(settings.grace_s, async_drain)
    await entry.async_withdraw()


async def _async_run_on_platform(entry: Entry) -> None:
    """Run with the jobs API, load balancer and operator settings of the users' platform."""
    platform = EntryPlatformAdapter(
        entry.settings,
        entry.store,
        entry.view,
        entry.routes,
        entry.jobs,
        entry.directory,
        StartupCheck(entry.view, entry.peers),
        JobCancels(entry.peers),
        entry.metrics.limited,
    )
    entry.nursery.start_soon(platform.async_follow)
    await entry.async_start()
    await platform.async_serve(entry.nursery, entry.app(), entry.stopped)
    logs.event("started", role=Role.ENTRY, incarnation=entry.incarnation)

    async def async_drain() -> None:
        entry.jobs.schedule_stop(clock.boot_s() + entry.settings.grace_s - STOP_MARGIN_S)
        await platform.async_leave_balancer()
        await entry.async_drain()
        await platform.jobs_server_ended.wait()

    await async_drain_on_signal(entry.settings.grace_s, async_drain)
    await entry.async_withdraw()
