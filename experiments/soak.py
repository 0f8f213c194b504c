"""Randomized soak: real processes, faults from outside, and the promises checked from outside.

A seed gives the size of the deployment and a plan of faults, which come in series and overlap.
Callers submit jobs all the while over connections that they keep, and send a job again after a
loss. What they got and the runners' own records of runs decide. Only processes started here are
ended. Run through `script/soak`.
"""

import random
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import Any, Final

import trio
from attrs import define, field, frozen

from standins.platform_deployment import (
    JobResponse,
    PlatformDeployment,
    PlatformEntryProcess,
    PlatformSpec,
)
from standins.processes import Process

LENGTH_S: Final = 12.0
JOBS_PER_S: Final = 10.0
CALM_S: Final = 4.0  # after the last fault
RECOVER_BOUND_S: Final = 12.0  # recoverS of the users' pages
EVACUATE_BOUND_S: Final = 5.0  # evacuateMs
ANSWER_SLACK_S: Final = 2.0  # beyond a caller's own limit, for a loaded machine's checker
CLOCK_SLACK_S: Final = 0.05  # a runner's clock is read at another moment than the checker's
DOMAINS: Final = ("bern-a", "solothurn-b", "aarau-c")
DEADLINES_S: Final = (2.0, 4.0, 8.0)


class Kind(StrEnum):
    """What a fault does."""

    KILL_ENTRY = "kill_entry"
    STOP_ENTRY = "stop_entry"
    FREEZE_ENTRY = "freeze_entry"
    KILL_AGENT = "kill_agent"
    STOP_AGENT = "stop_agent"
    FREEZE_AGENT = "freeze_agent"
    CUT_ONE_WAY = "cut_one_way"
    CUT = "cut"
    RESET = "reset"
    DELAY = "delay"
    LOSE_ORDERS = "lose_orders"
    SILENT_RUNNER = "silent_runner"
    SLOW_RUNNER = "slow_runner"
    FAIL_RUNS = "fail_runs"
    KILL_RUNNER = "kill_runner"
    STORE_DOWN = "store_down"
    STORE_SLOW = "store_slow"
    STORE_LOSES = "store_loses"
    EVACUATE = "evacuate"
    PUBLISH = "publish"


@frozen
class Fault:
    """One fault: when it begins, how long it lasts, and which process it hits."""

    at_s: float
    for_s: float
    kind: Kind
    index: int


@frozen
class Plan:
    """What a seed stands for."""

    seed: int
    spec: PlatformSpec
    faults: tuple[Fault, ...]


@define
class Findings:
    """Promises that were broken, each with what shows it."""

    seed: int
    directory: str = ""
    jobs: int = 0
    completed: int = 0
    broken: list[str] = field(factory=list)


def make_plan(seed: int, agents: int = 0, length_s: float = LENGTH_S) -> Plan:
    """Return the plan of a seed; `agents` replaces the number that the seed would give."""
    draw = random.Random(seed)
    count = agents or draw.randint(3, 6)
    domains = tuple(DOMAINS[number % len(DOMAINS)] for number in range(count))
    rates = tuple(draw.choice((0.98, 1.0, 1.02)) for _ in range(count))
    spec = PlatformSpec(domains, draw.randint(2, 3), 4, rates, relay_agents=True)
    faults: list[Fault] = []
    for _ in range(draw.randint(3, 7)):
        kind = draw.choice(list(Kind))
        at_s, for_s = draw.uniform(0.0, length_s * 0.7), draw.uniform(0.2, 3.0)
        index, repeats = draw.randrange(1000), draw.choice((1, 1, 1, 3))
        gap_s = draw.uniform(0.1, 1.5)
        for turn in range(repeats):
            faults.append(Fault(at_s + turn * (for_s + gap_s), for_s, kind, index + turn))
    return Plan(seed, spec, tuple(sorted(faults, key=lambda fault: fault.at_s)))


class Soak:
    """One run of a plan."""

    def __init__(self, plan: Plan) -> None:
        """Prepare; nothing is started."""
        self._plan = plan
        self._deployment = PlatformDeployment(plan.spec)
        self._answers: list[tuple[JobResponse, int, float]] = []
        self._evacuations: list[tuple[str, float, float]] = []
        self._evacuated: set[str] = set()
        self._busy: set[str] = set()
        self._pending = 0
        self._stopped = False

    async def async_run(self) -> Findings:
        """Play the plan and return what was found."""
        findings = Findings(self._plan.seed, str(self._deployment.directory))
        async with self._deployment as deployment, trio.open_nursery() as nursery:
            nursery.start_soon(deployment.async_poll_readiness)
            nursery.start_soon(self._async_load, nursery)
            await self._async_play()
            await trio.sleep(CALM_S)
            self._stopped = True
            await self._async_check_recovery(findings)
            with trio.move_on_after(2 * max(DEADLINES_S) + ANSWER_SLACK_S):
                while self._pending:
                    await trio.sleep(0.05)
            await self._async_check(findings)
            nursery.cancel_scope.cancel()
        return findings

    # Load and faults

    async def _async_load(self, nursery: trio.Nursery) -> None:
        draw = random.Random(self._plan.seed + 1)
        number = 0
        while not self._stopped:
            number += 1
            tasks, run_s = draw.randint(1, 4), draw.choice((0.05, 0.2, 0.5, 1.5))
            nursery.start_soon(self._async_job, number, tasks, run_s, draw.choice(DEADLINES_S))
            await trio.sleep(draw.expovariate(JOBS_PER_S))

    async def _async_job(self, number: int, tasks: int, run_s: float, deadline_s: float) -> None:
        self._pending += 1
        entry = number % len(self._deployment.entries)
        answer = await self._deployment.async_job(tasks, run_s, deadline_s, entry)
        self._answers.append((answer, tasks, deadline_s))
        self._pending -= 1

    async def _async_play(self) -> None:
        async with trio.open_nursery() as nursery:
            for fault in self._plan.faults:
                nursery.start_soon(self._async_fault, fault)

    async def _async_fault(self, fault: Fault) -> None:
        await trio.sleep(fault.at_s)
        name = f"{fault.kind.split('_')[-1]}{fault.index}"
        if name in self._busy:
            return
        self._busy.add(name)
        await ACTIONS[fault.kind](self, fault)
        self._busy.discard(name)

    def _entry(self, fault: Fault) -> PlatformEntryProcess:
        return self._deployment.entries[fault.index % len(self._deployment.entries)]

    def _agent_index(self, fault: Fault) -> int:
        return fault.index % len(self._deployment.agents)

    async def async_signal(self, fault: Fault, process: Process, number: signal.Signals) -> None:
        """End or freeze a process, and have it back after the fault's time."""
        if process.name in self._busy:
            return
        self._busy.add(process.name)
        process.signal(number)
        if number == signal.SIGSTOP:
            await trio.sleep(fault.for_s)
            process.signal(signal.SIGCONT)
        else:
            await process.async_wait()
            await trio.sleep(fault.for_s / 4)
            process.start()
        self._busy.discard(process.name)

    async def async_signal_entry(self, fault: Fault, number: signal.Signals) -> None:
        """Signal an entry."""
        await self.async_signal(fault, self._entry(fault), number)

    async def async_signal_agent(self, fault: Fault, number: signal.Signals) -> None:
        """Signal an agent."""
        agent = self._deployment.agents[self._agent_index(fault)]
        await self.async_signal(fault, agent, number)

    async def async_kill_runner(self, fault: Fault) -> None:
        """Kill a runner; all that it runs ends with it."""
        runner = self._deployment.agents[self._agent_index(fault)].runner
        await self.async_signal(fault, runner, signal.SIGKILL)

    async def async_relay(self, fault: Fault, calm: dict[str, Any], **mode: Any) -> None:
        """Change a path to an agent, and back."""
        index = self._agent_index(fault)
        await self._deployment.async_set_relay_mode(index, **mode)
        await trio.sleep(fault.for_s)
        await self._deployment.async_set_relay_mode(index, **calm)

    async def async_runner(self, fault: Fault, calm: dict[str, Any], **mode: Any) -> None:
        """Change how a runner behaves, and back, unless it is dead at the time."""
        index = self._agent_index(fault)
        runner = self._deployment.agents[index].runner
        if runner.name in self._busy:
            return
        self._busy.add(runner.name)
        await self._deployment.async_set_runner_faults(index, **mode)
        await trio.sleep(fault.for_s)
        if calm:
            await self._deployment.async_set_runner_faults(index, **calm)
        self._busy.discard(runner.name)

    async def async_store(self, fault: Fault, calm: dict[str, Any], **mode: Any) -> None:
        """Change how the store behaves, and back."""
        await self._deployment.async_set_store_faults(**mode)
        await trio.sleep(fault.for_s)
        await self._deployment.async_set_store_faults(**calm)

    async def async_evacuate(self, fault: Fault) -> None:
        """Take a failure domain out for longer than the bound, and back."""
        domain = DOMAINS[fault.index % len(DOMAINS)]
        if domain in self._evacuated:
            return
        self._evacuated.add(domain)
        await self._deployment.async_evacuate(domain, True)
        out_s = time.time()
        await trio.sleep(EVACUATE_BOUND_S + fault.for_s)
        back_s = time.time()
        await self._deployment.async_evacuate(domain, False)
        self._evacuations.append((domain, out_s, back_s))
        self._evacuated.discard(domain)

    async def async_publish(self, fault: Fault) -> None:
        """Publish a manifest."""
        await self._deployment.async_publish()

    # Checks

    async def _async_check_recovery(self, findings: Findings) -> None:
        """Check that jobs are served again within the bound after the last fault."""
        with trio.move_on_after(RECOVER_BOUND_S):
            while (await self._deployment.async_job(1, 0.05, 2.0)).state != "completed":
                await trio.sleep(0.2)
            return
        findings.broken.append(f"no job completes within {RECOVER_BOUND_S:g} s of the last fault")

    async def _async_check(self, findings: Findings) -> None:
        findings.jobs = len(self._answers)
        findings.completed = sum(answer.state == "completed" for answer, _, _ in self._answers)
        if self._pending:
            findings.broken.append(f"{self._pending} callers got no end")
        histories = await self._deployment.async_run_histories()
        for pair in await self._deployment.async_overlapping_runs():
            findings.broken.append(f"two runs of a task at a time: {pair}")
        ended: dict[str, set[str]] = {}
        seen: set[str] = set()
        for run in (run for history in histories for run in history):
            job, _, index = run.task.partition(".")
            seen.add(job)
            if run.outcome == "done":
                ended.setdefault(job, set()).add(index)
        for answer, tasks, deadline_s in self._answers:
            self._check_answer(findings, answer, tasks, deadline_s, ended, seen)
        findings.broken += self._late_starts(histories) + self._exits()
        findings.broken += [text for history in histories for text in self._over_room(history)]

    def _check_answer(
        self,
        findings: Findings,
        answer: JobResponse,
        tasks: int,
        deadline_s: float,
        ended: dict[str, set[str]],
        seen: set[str],
    ) -> None:
        if answer.state == "completed" and len(ended.get(answer.key, ())) != tasks:
            findings.broken.append(f"completed without all of its {tasks} tasks: {answer}")
        if set(answer.statuses) <= {429, 503} and answer.key in seen:
            findings.broken.append(f"refused as not run, and a task ran: {answer}")
        if answer.sent == 1 and answer.elapsed_s > deadline_s + ANSWER_SLACK_S:
            findings.broken.append(f"an answer after {answer.elapsed_s:.1f} s: {answer}")

    def _late_starts(self, histories: list[list[Any]]) -> list[str]:
        found = []
        for domain, out_s, back_s in self._evacuations:
            for agent, history in zip(self._deployment.agents, histories, strict=True):
                if agent.domain != domain:
                    continue
                late = [r for r in history if out_s + EVACUATE_BOUND_S < r.started_at_s < back_s]
                found += [f"a start in {domain}, which was out: {run}" for run in late]
        return found

    def _over_room(self, history: list[Any]) -> list[str]:
        """Return the moments at which a runner held more than its room; tasks take a core each."""
        for run in history:
            at_s = run.started_at_s + CLOCK_SLACK_S
            if run.ended_at_s <= at_s:
                continue
            held = sum(other.started_at_s <= at_s < other.ended_at_s for other in history)
            if held > self._plan.spec.cores:
                return [f"{held} runs of a core each on {self._plan.spec.cores}: {run}"]
        return []

    def _exits(self) -> list[str]:
        """Return the processes that ended though nobody ended them."""
        processes = (*self._deployment.entries, *self._deployment.agents)
        return [
            f"{process.name} ended by itself with {process.popen.poll()}"
            for process in processes
            if process.popen is not None and process.popen.poll() is not None
        ]


Action = Callable[[Soak, Fault], Awaitable[None]]
PASS: Final = {"forward": "pass", "backward": "pass", "new": True}
ACTIONS: Final[dict[Kind, Action]] = {
    Kind.KILL_ENTRY: lambda soak, f: soak.async_signal_entry(f, signal.SIGKILL),
    Kind.STOP_ENTRY: lambda soak, f: soak.async_signal_entry(f, signal.SIGTERM),
    Kind.FREEZE_ENTRY: lambda soak, f: soak.async_signal_entry(f, signal.SIGSTOP),
    Kind.KILL_AGENT: lambda soak, f: soak.async_signal_agent(f, signal.SIGKILL),
    Kind.STOP_AGENT: lambda soak, f: soak.async_signal_agent(f, signal.SIGTERM),
    Kind.FREEZE_AGENT: lambda soak, f: soak.async_signal_agent(f, signal.SIGSTOP),
    Kind.CUT_ONE_WAY: lambda soak, f: soak.async_relay(f, {}, forward="swallow"),
    Kind.CUT: lambda soak, f: soak.async_relay(
        f, PASS, forward="swallow", backward="swallow", new=True
    ),
    Kind.RESET: lambda soak, f: soak.async_relay(f, {"refuse": False}, refuse=True, reset=True),
    Kind.DELAY: lambda soak, f: soak.async_relay(
        f, {"delay_s": 0.0, "new": True}, delay_s=0.1, new=True
    ),
    Kind.LOSE_ORDERS: lambda soak, f: soak.async_runner(f, {}, lose_orders=4, late_s=0.6),
    Kind.SILENT_RUNNER: lambda soak, f: soak.async_runner(f, {"silent": False}, silent=True),
    Kind.SLOW_RUNNER: lambda soak, f: soak.async_runner(f, {"slowness": 1.0}, slowness=4.0),
    Kind.FAIL_RUNS: lambda soak, f: soak.async_runner(f, {}, fail_runs=5),
    Kind.KILL_RUNNER: Soak.async_kill_runner,
    Kind.STORE_DOWN: lambda soak, f: soak.async_store(f, {"down": False}, down=True),
    Kind.STORE_SLOW: lambda soak, f: soak.async_store(f, {"delay_s": 0.0}, delay_s=0.4),
    Kind.STORE_LOSES: lambda soak, f: soak.async_store(f, {}, lose_answers=2, late_s=1.5),
    Kind.EVACUATE: Soak.async_evacuate,
    Kind.PUBLISH: Soak.async_publish,
}


def run_seed(seed: int, agents: int = 0) -> Findings:
    """Play one seed."""
    return trio.run(Soak(make_plan(seed, agents)).async_run)


def main(first_seed: int = 0, count: int = 5, agents: int = 0) -> None:
    """Play `count` seeds from `first_seed` on (0: fresh ones); exit code 1 if any finds something.

    `agents` sets the size; by default a seed gives a few.
    """
    first = first_seed or random.SystemRandom().randrange(1, 2**31)
    red = 0
    for seed in range(first, first + count):
        findings = run_seed(seed, agents)
        red += bool(findings.broken)
        state = "BROKEN" if findings.broken else "kept"
        print(f"seed {seed}: {state}, {findings.completed} of {findings.jobs} jobs completed")
        for text in findings.broken[:10]:
            print(f"  {text}")
        if findings.broken:
            print(f"  logs: {findings.directory}", flush=True)
    sys.exit(1 if red else 0)


if __name__ == "__main__":
    import fire

    fire.Fire(main)
