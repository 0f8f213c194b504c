"""Many agents in one process, whose targets only sleep, for measuring an entry with many agents."""

import trio

from pistachiohill.agent.metrics import AgentMetrics
from pistachiohill.agent.models import (
    UNRESTRICTED,
    RunPermission,
    TargetCall,
    TargetResult,
    TargetState,
)
from pistachiohill.agent.runner import TaskRunner
from pistachiohill.agent.service import AgentService
from pistachiohill.agent.target_client import TargetClient
from pistachiohill.consortium.tail import async_announce
from pistachiohill.errors import Verdict
from pistachiohill.platform.store import StoreClient
from pistachiohill.scheduling.models import SLOT_CPU_M
from pistachiohill.settings.models import AgentSettings

NEVER_EXPIRES_AT_S = 1e12


class FixedDelayTarget(TargetClient):
    """A target that completes every task after a fixed time."""

    def __init__(self, run_s: float) -> None:
        """Create a target whose tasks take `run_s` seconds each."""
        super().__init__()
        self._run_s = run_s

    async def async_call(
        self, url: str, call: TargetCall, permission: RunPermission = UNRESTRICTED
    ) -> TargetResult:
        """Sleep for the run time and succeed."""
        await trio.sleep(self._run_s)
        return TargetResult(Verdict.RAN, None, 200, b"done")


async def async_run(
    host: str, ports: range, store_url: str, secret: str, service: str, slots: int, run_s: float
) -> None:
    """Run an agent on each port until cancelled."""
    store = StoreClient(store_url)
    metrics = AgentMetrics()
    async with trio.open_nursery() as nursery:
        for port in ports:
            settings = AgentSettings(
                name=f"agent{port}",
                domain="domain",
                peer_host=host,
                peer_port=port,
                store_url=store_url,
                secret=secret,
            )
            runner = TaskRunner(settings, nursery, FixedDelayTarget(run_s), metrics)
            runner.target = TargetState(
                service, "http://none", slots * SLOT_CPU_M, 0, False, NEVER_EXPIRES_AT_S
            )
            agent = AgentService(settings, runner)
            await nursery.start(agent.async_serve_links)
            agent.start_accepting(await async_announce(store, agent.announcement()))
            nursery.start_soon(agent.async_heartbeat)
            nursery.start_soon(agent.async_push_load)
            nursery.start_soon(runner.async_expire)
