"""The composition root: builds each daemon from its parts and runs it until it is told to stop.

The parts of a role are imported when that role is built, so that an agent does not carry the
entry's modules in memory.
"""

import signal
from collections.abc import Awaitable, Callable

import trio

from .. import clock, logs
from ..const import Role
from ..platform_log.client import LogClient
from ..platform_log.models import Appended
from ..protocol.codec import encode_record
from ..protocol.models import AnnounceRecord, WithdrawRecord
from ..settings.models import AgentSettings, EntrySettings

LINGER_S = 0.2
WITHDRAW_TIMEOUT_S = 2.0
ANNOUNCE_RETRY_S = 0.5
FORGET_INTERVAL_S = 1.0


async def async_run_entry(settings: EntrySettings) -> None:
    """Run an entry until SIGTERM; a second one, or the grace time, ends it at once."""
    from ..consortium.tail import async_follow_log
    from ..consortium.view import ConsortiumView
    from ..entry.accounting import Accounting
    from ..entry.agents import AgentDirectory
    from ..entry.caller_api import CallerApi
    from ..entry.dispatcher import Dispatcher
    from ..entry.fairness import FairnessReporter
    from ..entry.metrics import EntryMetrics
    from ..entry.operator_api import OperatorApi
    from ..entry.owner import SubmissionService
    from ..entry.peers import PeerDirectory
    from ..entry.recovery import Recovery
    from ..http.server import HttpApp, async_serve_http
    from ..settings.const import ROOT_PATH
    from ..submissions.identifiers import IdIssuer, new_incarnation

    incarnation = new_incarnation()
    log = LogClient(settings.log_url)
    view = ConsortiumView()
    metrics = EntryMetrics()
    peers = PeerDirectory(incarnation, settings, view)

    def view_confirmed_at(now_s: float) -> float:
        root = view.state.settings(ROOT_PATH)
        if root.start_through_outage and view.age_s(now_s) > root.view_max_age_s / 2:
            outage_s = peers.outage_confirmed_at(now_s)
            return max(view.confirmed_at_s, outage_s or view.confirmed_at_s)
        return view.confirmed_at_s

    accounting = Accounting(metrics)
    directory = AgentDirectory(
        incarnation,
        settings.secret,
        settings.silence_s,
        settings.agents,
        view,
        view_confirmed_at,
    )
    dispatcher = Dispatcher(view, view_confirmed_at, directory, accounting)
    stopped = trio.Event()
    async with trio.open_nursery() as nursery:
        recovery = Recovery(view, directory, nursery)
        dispatcher.add_listener(recovery)
        submissions = SubmissionService(
            settings,
            IdIssuer(incarnation),
            view,
            view_confirmed_at,
            dispatcher,
            peers,
            recovery,
            accounting,
        )
        peers.set_handlers(
            submissions.async_answer_forward, accounting.counters, submissions.issue_ids_for_peer
        )
        fairness = FairnessReporter(view, accounting, peers)
        callers = CallerApi(settings, view, submissions, fairness)
        operators = OperatorApi(
            settings, incarnation, view, log, directory, peers, submissions, metrics
        )
        app = HttpApp(callers.routes() + operators.routes(), settings.max_body_bytes)

        async def async_forget() -> None:
            while True:
                await trio.sleep(FORGET_INTERVAL_S)
                before_s = clock.boot_s() - settings.submission_ttl_s
                dispatcher.forget(before_s)
                recovery.forget(before_s)

        async def async_drain() -> None:
            submissions.stopping = True
            await dispatcher.async_wait_answered()
            await trio.sleep(LINGER_S)
            stopped.set()
            await http_ended.wait()

        http_ended = trio.Event()

        async def async_http(task_status: trio.TaskStatus[None]) -> None:
            try:
                await async_serve_http(
                    app,
                    settings.http_host,
                    settings.http_port,
                    stopped,
                    settings.grace_s,
                    task_status=task_status,
                )
            finally:
                http_ended.set()

        await nursery.start(peers.async_serve)
        nursery.start_soon(async_follow_log, log, view)
        nursery.start_soon(peers.async_run)
        nursery.start_soon(directory.async_run, dispatcher)
        nursery.start_soon(dispatcher.async_run)
        nursery.start_soon(async_forget)
        await nursery.start(async_http)
        record = AnnounceRecord(
            incarnation,
            Role.ENTRY,
            incarnation,
            settings.domain,
            settings.peer_host,
            settings.advertised_port or settings.peer_port,
        )
        nursery.start_soon(_async_announce, log, record)
        logs.event("started", role=Role.ENTRY, incarnation=incarnation)
        await _async_wait_stop(settings.grace_s, async_drain)
        await _async_withdraw(log, incarnation)
        nursery.cancel_scope.cancel()
    logs.event("stopped", role=Role.ENTRY, incarnation=incarnation)


async def async_run_agent(settings: AgentSettings) -> None:
    """Run an agent until SIGTERM; a second one, or the grace time, ends it at once."""
    from ..agent.http_api import MAX_HTTP_BODY_BYTES, AgentApi
    from ..agent.metrics import AgentMetrics
    from ..agent.runner import TaskRunner
    from ..agent.service import AgentService
    from ..agent.target_client import TargetClient
    from ..errors import RefusalReason
    from ..http.server import HttpApp, async_serve_http

    log = LogClient(settings.log_url)
    metrics = AgentMetrics()
    client = TargetClient()
    async with trio.open_nursery() as nursery:
        runner = TaskRunner(settings, nursery, client, metrics)
        service = AgentService(settings, runner)
        api = AgentApi(settings, service, runner, metrics)

        async def async_drain() -> None:
            runner.stopping = True
            runner.shed(RefusalReason.STOPPING, clock.boot_s())
            await runner.async_wait_idle()
            await trio.sleep(LINGER_S)

        async def async_announce() -> None:
            offset = await _async_announce(log, service.announcement())
            service.announced(offset)

        await nursery.start(service.async_serve_links)
        await nursery.start(
            async_serve_http,
            HttpApp(api.routes(), MAX_HTTP_BODY_BYTES),
            settings.http_host,
            settings.http_port,
            trio.Event(),
            1.0,
        )
        nursery.start_soon(async_announce)
        nursery.start_soon(service.async_heartbeat)
        nursery.start_soon(service.async_push_load)
        nursery.start_soon(runner.async_expire)
        nursery.start_soon(runner.async_watch_leases)
        logs.event("started", role=Role.AGENT, incarnation=service.incarnation)
        await _async_wait_stop(settings.grace_s, async_drain)
        await _async_withdraw(log, service.incarnation)
        nursery.cancel_scope.cancel()
    logs.event("stopped", role=Role.AGENT, incarnation=service.incarnation)


async def _async_announce(log: LogClient, record: AnnounceRecord) -> int:
    """Append an announcement until that has succeeded, and return its offset.

    When an answer was lost the record may stand twice; the later offset is the safe one to use.
    """
    while True:
        outcome = await log.async_append(encode_record(record))
        if isinstance(outcome, Appended):
            logs.event("announced", incarnation=record.incarnation, offset=outcome.offset)
            return outcome.offset
        logs.warning("announce_failed", outcome=outcome)
        await trio.sleep(ANNOUNCE_RETRY_S)


async def _async_withdraw(log: LogClient, incarnation: str) -> None:
    """Append that an incarnation has ended; tried once, since a successor makes it known too."""
    record = WithdrawRecord(f"{incarnation}-end", incarnation)
    with trio.move_on_after(WITHDRAW_TIMEOUT_S):
        outcome = await log.async_append(encode_record(record))
        logs.event("withdrawn", incarnation=incarnation, outcome=outcome)


async def _async_wait_stop(grace_s: float, async_drain: Callable[[], Awaitable[None]]) -> None:
    """Wait for SIGTERM or SIGINT, then drain until done, the grace time or a second signal."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await anext(signals)
        logs.event("stopping", grace_s=grace_s)
        with trio.move_on_after(grace_s):
            async with trio.open_nursery() as nursery:

                async def async_second() -> None:
                    await anext(signals)
                    logs.warning("stop_forced")
                    nursery.cancel_scope.cancel()

                nursery.start_soon(async_second)
                await async_drain()
                nursery.cancel_scope.cancel()
