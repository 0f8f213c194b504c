"""Injects the faults of a soak plan into a deployment, and records what operators were promised."""

import json
import random
import signal
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final

import trio

from standins.odd_heartbeats import Heartbeat, odd_heartbeats
from standins.platform_deployment import PlatformDeployment, PlatformEntryProcess
from standins.processes import Process

from .soak_plan import DOMAINS, Fault, FaultKind, Plan

OPERATOR_RETRY_S: Final = 0.2
EVACUATION_LIMIT_S: Final = 5.0  # evacuateMs in the users' requirements
LEAVE_SHARE: Final = 0.5  # of the new callers, while callers leave
SERIES_GAP_S: Final = (0.05, 0.6)
SIGHUP_SHARE: Final = 0.3  # of the processes of a series, which reload their settings first
FORCED_SHARE: Final = 0.2  # of the processes of a series, whose drain a second signal ends
PAUSED_S: Final = (0.01, 0.15)  # shorter than what a process takes for a stall
RUNNING_S: Final = (0.005, 0.03)
LATE_SHARE: Final = 0.3  # of the requests to a runner that carries out some of them late


class FaultInjector:
    """Injects faults, which may overlap.

    `evacuations` are the confirmed ones, with their domain, start and end; `confirmed_routes` are
    those that every entry has to serve; `leave_share` is the current share of callers that leave.
    """

    def __init__(self, plan: Plan, deployment: PlatformDeployment) -> None:
        """Initialize without faults."""
        self._plan = plan
        self._deployment = deployment
        self.evacuations: list[tuple[str, float, float]] = []
        self.confirmed_routes: set[str] = set()
        self.leave_share = 0.0
        self._evacuated_domains: set[str] = set()
        self._under_fault: set[str] = set()
        self._added_routes: list[str] = []

    async def async_inject(self) -> None:
        """Inject all faults of the plan; return when the last one is over."""
        async with trio.open_nursery() as nursery:
            for fault in self._plan.faults:
                nursery.start_soon(self._async_inject_fault, fault)

    async def _async_inject_fault(self, fault: Fault) -> None:
        await trio.sleep(fault.at_s)
        name = f"{fault.kind.split('_')[-1]}{fault.index}"
        if name in self._under_fault:
            return
        self._under_fault.add(name)
        await FAULT_ACTIONS[fault.kind](self, fault)
        self._under_fault.discard(name)

    def _entry(self, fault: Fault) -> PlatformEntryProcess:
        return self._deployment.entries[fault.index % len(self._deployment.entries)]

    def _agent_index(self, fault: Fault) -> int:
        return fault.index % len(self._deployment.agents)

    async def async_signal(self, fault: Fault, process: Process, number: signal.Signals) -> None:
        """Send a signal to a process, and resume or restart it afterwards."""
        if process.name in self._under_fault:
            return
        self._under_fault.add(process.name)
        process.signal(number)
        if number == signal.SIGSTOP:
            await trio.sleep(fault.duration_s)
            process.signal(signal.SIGCONT)
        else:
            await process.async_wait()
            await trio.sleep(fault.duration_s / 4)
            process.start()
        self._under_fault.discard(process.name)

    async def async_signal_entry(self, fault: Fault, number: signal.Signals) -> None:
        """Send a signal to the entry of a fault."""
        await self.async_signal(fault, self._entry(fault), number)

    async def async_signal_agent(self, fault: Fault, number: signal.Signals) -> None:
        """Send a signal to the agent of a fault."""
        agent = self._deployment.agents[self._agent_index(fault)]
        await self.async_signal(fault, agent, number)

    async def async_kill_runner(self, fault: Fault) -> None:
        """Kill a runner, which ends all of its runs."""
        runner = self._deployment.agents[self._agent_index(fault)].runner
        await self.async_signal(fault, runner, signal.SIGKILL)

    async def async_signal_series(self, fault: Fault) -> None:
        """Stop several processes as planned, one soon after the other; some are signalled again."""
        rng = random.Random(f"series {fault.index}")
        processes: list[Process] = [*self._deployment.entries, *self._deployment.agents]
        chosen = rng.sample(processes, rng.randint(2, min(5, len(processes))))
        async with trio.open_nursery() as nursery:
            for process in chosen:
                if process.name in self._under_fault:
                    continue
                if rng.random() < SIGHUP_SHARE:
                    process.signal(signal.SIGHUP)
                stopped = process.popen
                nursery.start_soon(self.async_signal, fault, process, signal.SIGTERM)
                await trio.sleep(rng.uniform(*SERIES_GAP_S))
                if rng.random() < FORCED_SHARE and process.popen is stopped:
                    process.signal(signal.SIGTERM)

    async def async_suspend_machine(self, fault: Fault) -> None:
        """Suspend the machine of an agent and its runner, which goes on where it stood still."""
        index = self._agent_index(fault)
        agent = self._deployment.agents[index]
        if agent.name in self._under_fault or agent.runner.name in self._under_fault:
            return
        self._under_fault |= {agent.name, agent.runner.name}
        await self._deployment.async_suspend_machine(index, fault.duration_s, cut_off=False)
        self._under_fault -= {agent.name, agent.runner.name}

    async def async_delay_timers(self, fault: Fault) -> None:
        """Let some processes run only now and then, as on a machine short of processor time."""
        rng = random.Random(f"timers {fault.index}")
        processes: list[Process] = [*self._deployment.entries, *self._deployment.agents]
        until_s = trio.current_time() + fault.duration_s
        async with trio.open_nursery() as nursery:
            for process in rng.sample(processes, rng.randint(1, len(processes))):
                nursery.start_soon(self._async_run_now_and_then, process, until_s, rng.random())

    async def _async_run_now_and_then(self, process: Process, until_s: float, seed: float) -> None:
        if process.name in self._under_fault:
            return
        rng = random.Random(seed)
        while trio.current_time() < until_s:
            process.signal(signal.SIGSTOP)
            await trio.sleep(rng.uniform(*PAUSED_S))
            process.signal(signal.SIGCONT)
            await trio.sleep(rng.uniform(*RUNNING_S))

    async def async_relay_fault(self, fault: Fault, restored: dict[str, Any], **mode: Any) -> None:
        """Inject network faults in front of an agent for the fault's duration."""
        index = self._agent_index(fault)
        await self._deployment.async_set_relay_mode(index, **mode)
        await trio.sleep(fault.duration_s)
        await self._deployment.async_set_relay_mode(index, **restored)

    async def async_runner_fault(self, fault: Fault, restored: dict[str, Any], **mode: Any) -> None:
        """Inject faults into a runner for the fault's duration, unless it is already affected."""
        index = self._agent_index(fault)
        runner = self._deployment.agents[index].runner
        if runner.name in self._under_fault:
            return
        self._under_fault.add(runner.name)
        await self._deployment.async_set_runner_faults(index, **mode)
        await trio.sleep(fault.duration_s)
        if restored:
            await self._deployment.async_set_runner_faults(index, **restored)
        self._under_fault.discard(runner.name)

    async def async_store_fault(self, fault: Fault, restored: dict[str, Any], **mode: Any) -> None:
        """Inject faults into the store for the fault's duration."""
        await self._deployment.async_set_store_faults(**mode)
        await trio.sleep(fault.duration_s)
        await self._deployment.async_set_store_faults(**restored)

    async def async_evacuate(self, fault: Fault) -> None:
        """Evacuate a failure domain for longer than the limit, then bring it back.

        Only an evacuation that the store has confirmed has to be obeyed.
        """
        domain = DOMAINS[fault.index % len(DOMAINS)]
        if domain in self._evacuated_domains:
            return
        self._evacuated_domains.add(domain)
        confirmed = await self._deployment.async_evacuate(domain, True)
        out_s = time.time()
        await trio.sleep(EVACUATION_LIMIT_S + fault.duration_s)
        back_s = time.time()
        while not await self._deployment.async_evacuate(domain, False):
            await trio.sleep(OPERATOR_RETRY_S)
        if confirmed:
            self.evacuations.append((domain, out_s, back_s))
        self._evacuated_domains.discard(domain)

    async def async_publish(self, fault: Fault) -> None:
        """Publish a new version of the manifest, with one more route.

        Only a version that the store has confirmed has to be in force, with all routes up to then.
        """
        path_prefix = f"/added-{len(self._added_routes)}/"
        self._added_routes.append(path_prefix)
        routes = list(self._added_routes)
        if await self._deployment.async_add_route(path_prefix):
            self.confirmed_routes.update(routes)

    async def async_silence_store(self, fault: Fault) -> None:
        """Let the entries' open connections to the store fall silent."""
        await self._deployment.async_silence_store()

    async def async_let_callers_leave(self, fault: Fault) -> None:
        """Let a share of the new callers leave early and send their jobs again elsewhere."""
        self.leave_share = LEAVE_SHARE
        await trio.sleep(fault.duration_s)
        self.leave_share = 0.0

    async def async_refuse_connect(self, fault: Fault) -> None:
        """Reset the links to an agent and refuse new ones for the fault's duration."""
        await self._deployment.async_set_relay_mode(
            self._agent_index(fault), refuse_connect_s=fault.duration_s
        )
        await trio.sleep(fault.duration_s)

    async def async_reset_links(self, fault: Fault) -> None:
        """Reset the links to an agent once; new ones work."""
        await self._deployment.async_set_relay_mode(self._agent_index(fault), reset=True)

    async def async_send_odd_heartbeat(self, fault: Fault) -> None:
        """Send one heartbeat of another writer to an agent."""
        index = self._agent_index(fault)
        runner_id, announcement = await self._deployment.async_runner_heartbeat(index)
        heartbeats = odd_heartbeats(runner_id, announcement)
        await self._deployment.async_send_heartbeat(
            index, heartbeats[fault.index % len(heartbeats)]
        )

    async def async_restart_runner(self, fault: Fault, new_id: bool) -> None:
        """Restart a runner; a heartbeat and the DELETE of the earlier process arrive late."""
        index = self._agent_index(fault)
        runner_id, announcement = await self._deployment.async_runner_heartbeat(index)
        if new_id:
            await self.async_kill_runner(fault)
        else:
            await self._deployment.async_restart_runner(index)
            await trio.sleep(fault.duration_s / 2)
        late = Heartbeat(runner_id, json.dumps(announcement).encode())
        await self._deployment.async_send_heartbeat(index, late)
        await trio.sleep(fault.duration_s / 2)
        await self._deployment.async_deregister_runner(index, runner_id)


Action = Callable[[FaultInjector, Fault], Awaitable[None]]
PASS_THROUGH: Final = {"forward": "pass", "backward": "pass", "new": True}
FAULT_ACTIONS: Final[dict[FaultKind, Action]] = {
    FaultKind.KILL_ENTRY: lambda injector, f: injector.async_signal_entry(f, signal.SIGKILL),
    FaultKind.STOP_ENTRY: lambda injector, f: injector.async_signal_entry(f, signal.SIGTERM),
    FaultKind.FREEZE_ENTRY: lambda injector, f: injector.async_signal_entry(f, signal.SIGSTOP),
    FaultKind.KILL_AGENT: lambda injector, f: injector.async_signal_agent(f, signal.SIGKILL),
    FaultKind.STOP_AGENT: lambda injector, f: injector.async_signal_agent(f, signal.SIGTERM),
    FaultKind.FREEZE_AGENT: lambda injector, f: injector.async_signal_agent(f, signal.SIGSTOP),
    FaultKind.CUT_ONE_WAY: lambda injector, f: injector.async_relay_fault(f, {}, forward="swallow"),
    FaultKind.CUT: lambda injector, f: injector.async_relay_fault(
        f, PASS_THROUGH, forward="swallow", backward="swallow", new=True
    ),
    FaultKind.RESET: lambda injector, f: injector.async_relay_fault(
        f, {"refuse": False}, refuse=True, reset=True
    ),
    FaultKind.DELAY: lambda injector, f: injector.async_relay_fault(
        f, {"delay_s": 0.0, "new": True}, delay_s=0.1, new=True
    ),
    FaultKind.LOSE_ORDERS: lambda injector, f: injector.async_runner_fault(
        f, {}, lose_orders=4, late_s=0.6
    ),
    FaultKind.SILENT_RUNNER: lambda injector, f: injector.async_runner_fault(
        f, {"silent": False}, silent=True
    ),
    FaultKind.SLOW_RUNNER: lambda injector, f: injector.async_runner_fault(
        f, {"slowness": 1.0}, slowness=4.0
    ),
    FaultKind.FAIL_RUNS: lambda injector, f: injector.async_runner_fault(f, {}, fail_runs=5),
    FaultKind.KILL_RUNNER: FaultInjector.async_kill_runner,
    FaultKind.STORE_DOWN: lambda injector, f: injector.async_store_fault(
        f, {"down": False}, down=True
    ),
    FaultKind.STORE_SLOW: lambda injector, f: injector.async_store_fault(
        f, {"delay_s": 0.0}, delay_s=0.4
    ),
    FaultKind.STORE_LOSES: lambda injector, f: injector.async_store_fault(
        f, {}, lose_answers=2, late_s=1.5
    ),
    FaultKind.EVACUATE: FaultInjector.async_evacuate,
    FaultKind.PUBLISH: FaultInjector.async_publish,
    FaultKind.SILENCE_STORE: FaultInjector.async_silence_store,
    FaultKind.REFUSE_CONNECT: FaultInjector.async_refuse_connect,
    FaultKind.RESET_LINKS: FaultInjector.async_reset_links,
    FaultKind.HOLD_BYTES: lambda injector, f: injector.async_relay_fault(
        f, PASS_THROUGH, forward="hold", backward="hold", new=True
    ),
    FaultKind.CALLERS_LEAVE: FaultInjector.async_let_callers_leave,
    FaultKind.ODD_HEARTBEAT: FaultInjector.async_send_odd_heartbeat,
    FaultKind.REBORN_RUNNER: lambda injector, f: injector.async_restart_runner(f, new_id=False),
    FaultKind.REPLACED_RUNNER: lambda injector, f: injector.async_restart_runner(f, new_id=True),
    FaultKind.LATE_ORDERS: lambda injector, f: injector.async_runner_fault(
        f, {"late_share": 0.0}, late_share=LATE_SHARE, late_lease_moves=False
    ),
    FaultKind.SIGNAL_SERIES: FaultInjector.async_signal_series,
    FaultKind.LATE_TIMERS: FaultInjector.async_delay_timers,
    FaultKind.SUSPEND_MACHINE: FaultInjector.async_suspend_machine,
    FaultKind.LATE_GRANTS: lambda injector, f: injector.async_runner_fault(
        f, {"late_share": 0.0}, late_share=LATE_SHARE, late_lease_moves=True
    ),
}
