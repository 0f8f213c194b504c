"""Randomized soak test: injects faults into real processes and checks the service guarantees.

A seed determines the size of the deployment and a plan of faults, which repeat and overlap. During
the faults, callers submit jobs over persistent connections and resubmit a job when a connection is
lost. The guarantees are checked against the answers that the callers received and the runners' own
records of runs. Only processes started by the test are stopped. Run with `script/soak`.
"""

import json
import math
import random
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any, Final

import trio
from attrs import define, field

from standins.odd_heartbeats import Heartbeat, odd_heartbeats
from standins.platform_deployment import (
    JobResponse,
    PlatformDeployment,
    PlatformEntryProcess,
)
from standins.processes import Process

from .soak_plan import DOMAINS, Fault, FaultKind, Plan, make_plan
from .store_outage import async_check_change

JOBS_PER_S: Final = 10.0
OPERATOR_RETRY_S: Final = 0.2
QUIET_PERIOD_S: Final = 4.0  # between the last fault and the recovery check
IN_TOUCH_S: Final = 3.0  # contactMs in the users' requirements
RECOVERY_LIMIT_S: Final = 12.0  # recoverS in the users' requirements
EVACUATION_LIMIT_S: Final = 5.0  # evacuateMs in the users' requirements
# Added to a caller's deadline, because the checker may be delayed on a loaded machine.
ANSWER_TOLERANCE_S: Final = 2.0
CLOCK_TOLERANCE_S: Final = 0.05  # runner and checker read their clocks at different moments
DEADLINES_S: Final = (2.0, 4.0, 8.0)
LEAVE_SHARE: Final = 0.5  # of the new callers, while callers leave
LEAVE_AFTER_S: Final = (0.02, 0.8)
LATE_SHARE: Final = 0.3  # of the requests to a runner that carries out some of them late


@define
class Findings:
    """Results of one run; each violated guarantee is described with its evidence."""

    seed: int
    directory: str = ""
    jobs: int = 0
    completed: int = 0
    violations: list[str] = field(factory=list)


class Soak:
    """Runs one plan and checks the guarantees."""

    def __init__(self, plan: Plan) -> None:
        """Prepare the deployment without starting it."""
        self._plan = plan
        self._deployment = PlatformDeployment(plan.spec)
        self._answers: list[tuple[JobResponse, int, float]] = []
        self._evacuations: list[tuple[str, float, float]] = []
        self._evacuated_domains: set[str] = set()
        self._under_fault: set[str] = set()
        self._leave_share = 0.0
        self._added_routes: list[str] = []
        self._confirmed_routes: set[str] = set()
        self._pending = 0
        self._stopped = False

    async def async_run(self) -> Findings:
        """Run the plan and return the findings."""
        findings = Findings(self._plan.seed, str(self._deployment.directory))
        async with self._deployment as deployment, trio.open_nursery() as nursery:
            nursery.start_soon(deployment.async_poll_readiness)
            nursery.start_soon(self._async_submit_jobs, nursery)
            await self._async_inject_faults()
            await trio.sleep(QUIET_PERIOD_S)
            self._stopped = True
            await self._async_check_routes(findings)
            findings.violations += await async_check_change(deployment, self._plan.store_outage)
            await self._async_check_recovery(findings)
            await self._async_check_agents(findings)
            with trio.move_on_after(2 * max(DEADLINES_S) + ANSWER_TOLERANCE_S):
                while self._pending:
                    await trio.sleep(0.05)
            await self._async_check(findings)
            nursery.cancel_scope.cancel()
        return findings

    # Load and faults

    async def _async_submit_jobs(self, nursery: trio.Nursery) -> None:
        rng = random.Random(self._plan.seed + 1)
        leave_rng = random.Random(f"callers {self._plan.seed}")
        number = 0
        while not self._stopped:
            number += 1
            tasks, run_s = rng.randint(1, 4), rng.choice((0.05, 0.2, 0.5, 1.5))
            leaves = leave_rng.random() < self._leave_share
            leave_after_s = leave_rng.uniform(*LEAVE_AFTER_S) if leaves else math.inf
            nursery.start_soon(
                self._async_submit_job, number, tasks, run_s, rng.choice(DEADLINES_S), leave_after_s
            )
            await trio.sleep(rng.expovariate(JOBS_PER_S))

    async def _async_submit_job(
        self, number: int, tasks: int, run_s: float, deadline_s: float, leave_after_s: float
    ) -> None:
        self._pending += 1
        entry = number % len(self._deployment.entries)
        answer = await self._deployment.async_submit_job(
            tasks, run_s, deadline_s, entry, leave_after_s=leave_after_s
        )
        self._answers.append((answer, tasks, deadline_s))
        self._pending -= 1

    async def _async_inject_faults(self) -> None:
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
            self._evacuations.append((domain, out_s, back_s))
        self._evacuated_domains.discard(domain)

    async def async_publish(self, fault: Fault) -> None:
        """Publish a new version of the manifest, with one more route.

        Only a version that the store has confirmed has to be in force, with all routes up to then.
        """
        path_prefix = f"/added-{len(self._added_routes)}/"
        self._added_routes.append(path_prefix)
        routes = list(self._added_routes)
        if await self._deployment.async_add_route(path_prefix):
            self._confirmed_routes.update(routes)

    async def async_silence_store(self, fault: Fault) -> None:
        """Let the entries' open connections to the store fall silent."""
        await self._deployment.async_silence_store()

    async def async_let_callers_leave(self, fault: Fault) -> None:
        """Let a share of the new callers leave early and send their jobs again elsewhere."""
        self._leave_share = LEAVE_SHARE
        await trio.sleep(fault.duration_s)
        self._leave_share = 0.0

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

    # Checks

    async def _async_check_routes(self, findings: Findings) -> None:
        """Check that every entry serves the confirmed routes once the faults are over.

        The period without faults is longer than the time in which a change has to be in force. An
        entry that is still starting has that time from its first answer on.
        """
        for index in range(len(self._deployment.entries)):
            if not await self._deployment.async_is_up(index):
                if not await self._async_comes_up(index):
                    findings.violations.append(f"entry{index} is not up after the faults")
                    continue
                await trio.sleep(IN_TOUCH_S)
            for path_prefix in sorted(self._confirmed_routes):
                if not await self._deployment.async_has_route(index, path_prefix):
                    findings.violations.append(f"entry{index} does not serve {path_prefix}")

    async def _async_comes_up(self, index: int) -> bool:
        """Wait until an entry answers; return whether it did within the recovery limit."""
        with trio.move_on_after(RECOVERY_LIMIT_S):
            while not await self._deployment.async_is_up(index):
                await trio.sleep(0.2)
            return True
        return False

    async def _async_check_recovery(self, findings: Findings) -> None:
        """Check that a job completes within the recovery limit."""
        with trio.move_on_after(RECOVERY_LIMIT_S):
            while (await self._deployment.async_submit_job(1, 0.05, 2.0)).state != "completed":
                await trio.sleep(0.2)
            return
        findings.violations.append(
            f"no job completed within {RECOVERY_LIMIT_S:g} s after the faults"
        )

    async def _async_check_agents(self, findings: Findings) -> None:
        """Check that every agent accepts tasks again within the recovery limit."""
        missing = set(range(len(self._deployment.agents)))
        with trio.move_on_after(RECOVERY_LIMIT_S):
            while missing:
                for index in sorted(missing):
                    if await self._deployment.async_is_linked(index):
                        missing.discard(index)
                await trio.sleep(0.2)
        findings.violations += [f"agent{index} does not accept tasks" for index in sorted(missing)]

    async def _async_check(self, findings: Findings) -> None:
        findings.jobs = len(self._answers)
        findings.completed = sum(answer.state == "completed" for answer, _, _ in self._answers)
        if self._pending:
            findings.violations.append(f"{self._pending} callers received no final answer")
        histories = await self._deployment.async_run_histories()
        for pair in await self._deployment.async_overlapping_runs():
            findings.violations.append(f"two concurrent runs of a task: {pair}")
        finished_tasks: dict[str, set[str]] = {}
        started_jobs: set[str] = set()
        for run in (run for history in histories for run in history):
            job, _, index = run.task.partition(".")
            started_jobs.add(job)
            if run.outcome == "done":
                finished_tasks.setdefault(job, set()).add(index)
        for answer, tasks, deadline_s in self._answers:
            self._check_answer(findings, answer, tasks, deadline_s, finished_tasks, started_jobs)
        findings.violations += self._evacuation_violations(histories) + self._unexpected_exits()
        findings.violations += [
            text for history in histories for text in self._capacity_violations(history)
        ]

    def _check_answer(
        self,
        findings: Findings,
        answer: JobResponse,
        tasks: int,
        deadline_s: float,
        finished_tasks: dict[str, set[str]],
        started_jobs: set[str],
    ) -> None:
        if answer.state == "completed" and len(finished_tasks.get(answer.key, ())) != tasks:
            findings.violations.append(f"job completed without all of its {tasks} tasks: {answer}")
        if set(answer.statuses) <= {429, 503} and answer.key in started_jobs:
            findings.violations.append(f"job refused as not run although a task ran: {answer}")
        if answer.sent == 1 and answer.elapsed_s > deadline_s + ANSWER_TOLERANCE_S:
            findings.violations.append(
                f"answer {answer.elapsed_s:.1f} s after submission, past the deadline: {answer}"
            )

    def _evacuation_violations(self, histories: list[list[Any]]) -> list[str]:
        violations = []
        for domain, out_s, back_s in self._evacuations:
            for agent, history in zip(self._deployment.agents, histories, strict=True):
                if agent.domain != domain:
                    continue
                late = [r for r in history if out_s + EVACUATION_LIMIT_S < r.started_at_s < back_s]
                violations += [f"run started in evacuated domain {domain}: {run}" for run in late]
        return violations

    def _capacity_violations(self, history: list[Any]) -> list[str]:
        """Return the first time at which a runner exceeded its cores; each run takes one core."""
        for run in history:
            at_s = run.started_at_s + CLOCK_TOLERANCE_S
            if run.ended_at_s <= at_s:
                continue
            concurrent_runs = sum(
                other.started_at_s <= at_s < other.ended_at_s for other in history
            )
            if concurrent_runs > self._plan.spec.cores:
                return [
                    f"{concurrent_runs} concurrent runs on {self._plan.spec.cores} cores: {run}"
                ]
        return []

    def _unexpected_exits(self) -> list[str]:
        """Return the processes that exited on their own."""
        processes = (*self._deployment.entries, *self._deployment.agents)
        return [
            f"{process.name} exited unexpectedly with code {process.popen.poll()}"
            for process in processes
            if process.popen is not None and process.popen.poll() is not None
        ]


Action = Callable[[Soak, Fault], Awaitable[None]]
PASS_THROUGH: Final = {"forward": "pass", "backward": "pass", "new": True}
FAULT_ACTIONS: Final[dict[FaultKind, Action]] = {
    FaultKind.KILL_ENTRY: lambda soak, f: soak.async_signal_entry(f, signal.SIGKILL),
    FaultKind.STOP_ENTRY: lambda soak, f: soak.async_signal_entry(f, signal.SIGTERM),
    FaultKind.FREEZE_ENTRY: lambda soak, f: soak.async_signal_entry(f, signal.SIGSTOP),
    FaultKind.KILL_AGENT: lambda soak, f: soak.async_signal_agent(f, signal.SIGKILL),
    FaultKind.STOP_AGENT: lambda soak, f: soak.async_signal_agent(f, signal.SIGTERM),
    FaultKind.FREEZE_AGENT: lambda soak, f: soak.async_signal_agent(f, signal.SIGSTOP),
    FaultKind.CUT_ONE_WAY: lambda soak, f: soak.async_relay_fault(f, {}, forward="swallow"),
    FaultKind.CUT: lambda soak, f: soak.async_relay_fault(
        f, PASS_THROUGH, forward="swallow", backward="swallow", new=True
    ),
    FaultKind.RESET: lambda soak, f: soak.async_relay_fault(
        f, {"refuse": False}, refuse=True, reset=True
    ),
    FaultKind.DELAY: lambda soak, f: soak.async_relay_fault(
        f, {"delay_s": 0.0, "new": True}, delay_s=0.1, new=True
    ),
    FaultKind.LOSE_ORDERS: lambda soak, f: soak.async_runner_fault(
        f, {}, lose_orders=4, late_s=0.6
    ),
    FaultKind.SILENT_RUNNER: lambda soak, f: soak.async_runner_fault(
        f, {"silent": False}, silent=True
    ),
    FaultKind.SLOW_RUNNER: lambda soak, f: soak.async_runner_fault(
        f, {"slowness": 1.0}, slowness=4.0
    ),
    FaultKind.FAIL_RUNS: lambda soak, f: soak.async_runner_fault(f, {}, fail_runs=5),
    FaultKind.KILL_RUNNER: Soak.async_kill_runner,
    FaultKind.STORE_DOWN: lambda soak, f: soak.async_store_fault(f, {"down": False}, down=True),
    FaultKind.STORE_SLOW: lambda soak, f: soak.async_store_fault(f, {"delay_s": 0.0}, delay_s=0.4),
    FaultKind.STORE_LOSES: lambda soak, f: soak.async_store_fault(
        f, {}, lose_answers=2, late_s=1.5
    ),
    FaultKind.EVACUATE: Soak.async_evacuate,
    FaultKind.PUBLISH: Soak.async_publish,
    FaultKind.SILENCE_STORE: Soak.async_silence_store,
    FaultKind.REFUSE_CONNECT: Soak.async_refuse_connect,
    FaultKind.RESET_LINKS: Soak.async_reset_links,
    FaultKind.HOLD_BYTES: lambda soak, f: soak.async_relay_fault(
        f, PASS_THROUGH, forward="hold", backward="hold", new=True
    ),
    FaultKind.CALLERS_LEAVE: Soak.async_let_callers_leave,
    FaultKind.ODD_HEARTBEAT: Soak.async_send_odd_heartbeat,
    FaultKind.REBORN_RUNNER: lambda soak, f: soak.async_restart_runner(f, new_id=False),
    FaultKind.REPLACED_RUNNER: lambda soak, f: soak.async_restart_runner(f, new_id=True),
    FaultKind.LATE_ORDERS: lambda soak, f: soak.async_runner_fault(
        f, {"late_share": 0.0}, late_share=LATE_SHARE, late_lease_moves=False
    ),
    FaultKind.LATE_GRANTS: lambda soak, f: soak.async_runner_fault(
        f, {"late_share": 0.0}, late_share=LATE_SHARE, late_lease_moves=True
    ),
}


def run_seed(seed: int, agents: int = 0) -> Findings:
    """Run the plan of one seed."""
    return trio.run(Soak(make_plan(seed, agents)).async_run)


def main(first_seed: int = 0, count: int = 5, agents: int = 0) -> None:
    """Run `count` seeds from `first_seed` on; exit with code 1 if any guarantee was violated.

    With `first_seed` 0 the first seed is random. `agents` sets the number of agents; with 0 each
    seed determines its own.
    """
    start_seed = first_seed or random.SystemRandom().randrange(1, 2**31)
    failed_seeds = 0
    for seed in range(start_seed, start_seed + count):
        findings = run_seed(seed, agents)
        failed_seeds += bool(findings.violations)
        state = "VIOLATED" if findings.violations else "ok"
        print(f"seed {seed}: {state}, {findings.completed} of {findings.jobs} jobs completed")
        for text in findings.violations[:10]:
            print(f"  {text}")
        if findings.violations:
            print(f"  logs: {findings.directory}", flush=True)
    sys.exit(1 if failed_seeds else 0)


if __name__ == "__main__":
    import fire

    fire.Fire(main)
