"""Measure the cost of agents, tasks, members and remembered tasks, and fit straight lines.

Agents run the product's code, many in one process, with targets that only sleep. The results are
printed and written to results/slopes.json; the figures of docs/CAPACITY.md are derived from them.
"""

import json
import os
import sys
import time
from pathlib import Path

import numpy as np
import trio
from attrs import asdict, define, frozen

from pistachiohill.agent.start_table import StartTable
from pistachiohill.const import TaskState
from pistachiohill.errors import Verdict
from pistachiohill.protocol.models import TaskRef, TaskReport
from standins.deployment import HOST, SECRET, Deployment, DeploymentSpec, Process

from .measure import async_read_counters

AGENT_COUNTS = (50, 200, 500, 1100)
AGENTS_PER_PROCESS = 275
IDLE_WINDOW_S = 8.0
FIRST_AGENT_PORT = 10000
MEMBER_COUNTS = (0, 100, 400, 800)
REMEMBERED_TASK_COUNTS = (0, 20_000, 60_000)
LOAD_WINDOW_S = 6.0
TASK_RUN_S = 0.05
BODY_BYTES = 32
RESULTS = Path("results")


@frozen
class LinearFit:
    """A straight line fitted to measured points; `residual` is the largest absolute error."""

    name: str
    unit: str
    points: list[tuple[float, float]]
    slope: float
    intercept: float
    residual: float


@define
class LoadMeasurement:
    """Throughput and cost of one entry at full load."""

    agents: int
    job_tasks: int
    tasks_per_s: float
    entry_cpu_us_per_task: float
    entry_cores: float
    messages_per_task: float
    bytes_per_task: float


def fit_line(name: str, unit: str, points: list[tuple[float, float]]) -> LinearFit:
    """Return the least-squares line through the points."""
    x, y = np.array(points).T
    slope, intercept = np.polyfit(x, y, 1)
    residual = float(np.max(np.abs(y - (slope * x + intercept))))
    return LinearFit(name, unit, points, float(slope), float(intercept), residual)


async def async_measure_agents() -> tuple[list[LinearFit], list[LoadMeasurement]]:
    """Measure an entry with increasing numbers of agents, idle and under load."""
    memory, cpu, traffic, load_measurements = [], [], [], []
    for count in AGENT_COUNTS:
        async with Deployment(DeploymentSpec(targets=(), entries=1)) as deployment:
            entry = deployment.entries[0]
            baseline_bytes = entry.rss_bytes()
            await _async_start_agents(deployment, count)
            before, cpu_before = await async_read_counters(deployment), entry.cpu_s()
            await trio.sleep(IDLE_WINDOW_S)
            after, cpu_after = await async_read_counters(deployment), entry.cpu_s()
            memory.append((count, (entry.rss_bytes() - baseline_bytes) / 1e3))
            cpu.append((count, 100 * (cpu_after - cpu_before) / IDLE_WINDOW_S))
            traffic.append((count, (after.bytes - before.bytes) / IDLE_WINDOW_S))
            print(f"{count} agents: {memory[-1][1]:.0f} KB, {cpu[-1][1]:.2f}% of a core,"
                  f" {traffic[-1][1]:.0f} B/s idle", flush=True)  # fmt: skip
            if count in (200, 1100):
                for tasks in (1400, 100):
                    load_measurements.append(await _async_measure_load(deployment, count, tasks))
    lines = [
        fit_line("entry memory by agents", "KB", memory),
        fit_line("entry idle processor time by agents", "% of a core", cpu),
        fit_line("entry idle traffic by agents", "B/s", traffic),
    ]
    return lines, load_measurements


async def _async_start_agents(deployment: Deployment, count: int) -> list[Process]:
    processes = []
    for first in range(0, count, AGENTS_PER_PROCESS):
        size = min(AGENTS_PER_PROCESS, count - first)
        processes.append(
            deployment.spawn(
                f"agents{first}",
                "agents",
                f"--port={FIRST_AGENT_PORT + first}",
                f"--count={size}",
                f"--store_url={deployment.store_url}",
                f"--secret={SECRET}",
                f"--run_s={TASK_RUN_S}",
                kind="standins",
            )
        )
    await deployment.async_wait_accepting_agents(0, count)
    return processes


async def _async_measure_load(deployment: Deployment, agents: int, tasks: int) -> LoadMeasurement:
    """Keep enough jobs in flight to saturate the entry, and measure throughput and cost."""
    client = deployment.client("brunner")
    entry = deployment.entries[0]
    answered = 0
    payloads = [b"x" * BODY_BYTES] * tasks

    async def async_submit_jobs() -> None:
        nonlocal answered
        while True:
            result = await client.async_run("clocking", payloads, 30.0)
            answered += len(getattr(result, "bodies", ()))

    async with trio.open_nursery() as nursery:
        for _ in range(max(4, 5600 // tasks)):
            nursery.start_soon(async_submit_jobs)
        await trio.sleep(2.0)
        before, started_s, baseline = (
            await async_read_counters(deployment),
            time.monotonic(),
            answered,
        )
        await trio.sleep(LOAD_WINDOW_S)
        after, count = await async_read_counters(deployment), answered - baseline
        elapsed_s = time.monotonic() - started_s
        nursery.cancel_scope.cancel()
    cpu_s = after.entry_cpu_s - before.entry_cpu_s
    measurement = LoadMeasurement(
        agents=agents,
        job_tasks=tasks,
        tasks_per_s=count / elapsed_s,
        entry_cpu_us_per_task=1e6 * cpu_s / max(1, count),
        entry_cores=cpu_s / elapsed_s,
        messages_per_task=(after.frames - before.frames) / max(1, count),
        bytes_per_task=(after.bytes - before.bytes) / max(1, count),
    )
    print(measurement, f"rss {entry.rss_bytes() / 1e6:.0f} MB", flush=True)
    return measurement


async def async_measure_members() -> list[LinearFit]:
    """Measure an entry with increasing numbers of members, each with one job."""
    memory, snapshot = [], []
    async with Deployment(DeploymentSpec(targets=(), entries=1)) as deployment:
        entry = deployment.entries[0]
        created = 0
        for count in MEMBER_COUNTS:
            for number in range(created, count):
                await deployment.async_publish(f"consortium/x{number}", "weight = 2.0\n")
                await deployment.async_publish(f"consortium/x{number}/j", 'service = "s"\n')
            created = count
            _, value = await deployment.async_call_operator("GET", "/v1/operator/settings")
            memory.append((count, entry.rss_bytes() / 1e3))
            snapshot.append((count, len(json.dumps(value))))
    return [
        fit_line("entry memory by members", "KB", memory),
        fit_line("settings size by members", "B", snapshot),
    ]


def measure_remembered_tasks() -> LinearFit:
    """Measure the memory of a start table by remembered tasks, in jobs of 20 tasks."""
    table = StartTable(1e9)
    points, created = [], 0
    for count in REMEMBERED_TASK_COUNTS:
        for number in range(created, count):
            entry = table.get_or_create(f"{number // 20:016x}.1.1.1.0000000000000000", 0.0)
            ref = TaskRef(number % 20, 1)
            table.admit(entry, ref)
            table.start(entry, ref)
            body = os.urandom(BODY_BYTES)
            table.settle(entry, TaskReport(ref.index, 1, TaskState.SETTLED, Verdict.RAN, 200, body))
        created = count
        pages = int(Path("/proc/self/statm").read_text().split()[1])
        points.append((count, pages * os.sysconf("SC_PAGE_SIZE") / 1e3))
    return fit_line("agent memory by remembered tasks", "KB", points)


async def async_main() -> None:
    """Run all measurements, print and write the results."""
    remembered_line = measure_remembered_tasks()
    agent_lines, load_measurements = await async_measure_agents()
    lines = [remembered_line, *agent_lines, *await async_measure_members()]
    for line in lines:
        print(f"{line.name}: {line.slope:.4g} {line.unit} each + {line.intercept:.4g},"
              f" largest residual {line.residual:.3g}")  # fmt: skip
    RESULTS.mkdir(exist_ok=True)
    value = {
        "lines": [asdict(line) for line in lines],
        "loads": [asdict(item) for item in load_measurements],
    }
    (RESULTS / "slopes.json").write_text(json.dumps(value, indent=1))


if __name__ == "__main__":
    print(f"host {HOST}, {os.cpu_count()} cores")
    sys.exit(trio.run(async_main))
