"""Randomized soak test: injects faults into real processes and checks the service guarantees.

A seed determines the size of the deployment and a plan of faults, which repeat and overlap. During
the faults, callers submit jobs over persistent connections and resubmit a job when a connection is
lost. The guarantees are checked against the answers that the callers received and the runners' own
records of runs. Only processes started by the test are stopped. Run with `script/soak`.
"""

import math
import random
import sys
from typing import Any, Final

import trio
from attrs import define, field

from standins.platform_deployment import JobResponse, PlatformDeployment

from .soak_callers import ANSWER_TOLERANCE_S, ChannelCallers, answer_due_s
from .soak_faults import EVACUATION_LIMIT_S, FaultInjector
from .soak_plan import Plan, make_plan
from .store_outage import async_check_change

JOBS_PER_S: Final = 10.0
QUIET_PERIOD_S: Final = 4.0  # between the last fault and the recovery check
IN_TOUCH_S: Final = 3.0  # contactMs in the users' requirements
RECOVERY_LIMIT_S: Final = 12.0  # recoverS in the users' requirements
CLOCK_TOLERANCE_S: Final = 0.05  # runner and checker read their clocks at different moments
DEADLINES_S: Final = (2.0, 4.0, 8.0)
LEAVE_AFTER_S: Final = (0.02, 0.8)


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
        self._faults = FaultInjector(plan, self._deployment)
        self._callers = ChannelCallers(self._deployment, plan.seed)
        self._answers: list[tuple[JobResponse, int, float]] = []
        self._pending = 0
        self._stopped = False

    async def async_run(self) -> Findings:
        """Run the plan and return the findings."""
        findings = Findings(self._plan.seed, str(self._deployment.directory))
        async with self._deployment as deployment, trio.open_nursery() as nursery:
            nursery.start_soon(deployment.async_poll_readiness)
            nursery.start_soon(self._async_submit_jobs, nursery)
            nursery.start_soon(self._callers.async_run)
            await self._faults.async_inject()
            await trio.sleep(QUIET_PERIOD_S)
            self._stopped = self._callers.stopped = True
            await self._async_check_routes(findings)
            findings.violations += await async_check_change(deployment, self._plan.store_outage)
            await self._async_check_recovery(findings)
            await self._async_check_agents(findings)
            with trio.move_on_after(2 * max(DEADLINES_S) + ANSWER_TOLERANCE_S):
                while self._pending or self._callers.pending:
                    await trio.sleep(0.05)
            await self._async_check(findings)
            nursery.cancel_scope.cancel()
        return findings

    # Load

    async def _async_submit_jobs(self, nursery: trio.Nursery) -> None:
        rng = random.Random(self._plan.seed + 1)
        leave_rng = random.Random(f"callers {self._plan.seed}")
        number = 0
        while not self._stopped:
            number += 1
            tasks, run_s = rng.randint(1, 4), rng.choice((0.05, 0.2, 0.5, 1.5))
            leaves = leave_rng.random() < self._faults.leave_share
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
        self._answers.append((answer, tasks, answer_due_s(deadline_s)))
        self._pending -= 1

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
            for path_prefix in sorted(self._faults.confirmed_routes):
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
        answers = self._answers + self._callers.answers
        findings.jobs = len(answers)
        findings.completed = sum(answer.state == "completed" for answer, _, _ in answers)
        pending = self._pending + self._callers.pending
        if pending:
            findings.violations.append(f"{pending} callers received no final answer")
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
        for answer, tasks, due_s in answers:
            self._check_answer(findings, answer, tasks, due_s, finished_tasks, started_jobs)
        findings.violations += self._evacuation_violations(histories) + self._unexpected_exits()
        findings.violations += [
            text for history in histories for text in self._capacity_violations(history)
        ]

    def _check_answer(
        self,
        findings: Findings,
        answer: JobResponse,
        tasks: int,
        due_s: float,
        finished_tasks: dict[str, set[str]],
        started_jobs: set[str],
    ) -> None:
        if answer.state == "completed" and len(finished_tasks.get(answer.key, ())) != tasks:
            findings.violations.append(f"job completed without all of its {tasks} tasks: {answer}")
        if set(answer.statuses) <= {429, 503} and answer.key in started_jobs:
            findings.violations.append(f"job refused as not run although a task ran: {answer}")
        if answer.sent == 1 and answer.elapsed_s > due_s:
            findings.violations.append(
                f"answer {answer.elapsed_s:.1f} s after submission, past the deadline: {answer}"
            )

    def _evacuation_violations(self, histories: list[list[Any]]) -> list[str]:
        violations = []
        for domain, out_s, back_s in self._faults.evacuations:
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
