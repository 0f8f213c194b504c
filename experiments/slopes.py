"""Measure what agents, tasks, settings and remembered starts cost, and fit straight lines.

Agents are the product's own code, many in a process, with targets that only wait. Figures go to
standard output and results/slopes.json; docs/CAPACITY.md is worked out from them.
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

from .measure import async_counters

AGENT_COUNTS = (50, 200, 500, 1100)
AGENTS_PER_PROCESS = 275
IDLE_S = 8.0
FIRST_AGENT_PORT = 10000
MEMBER_COUNTS = (0, 100, 400, 800)
REMEMBERED = (0, 20_000, 60_000)
LOAD_S = 6.0
TASK_RUN_S = 0.05
BODY_BYTES = 32
RESULTS = Path("results")


@frozen
class Line:
    """A straight line through measured points; `residual` is the largest distance from it."""

    name: str
    unit: str
    points: list[tuple[float, float]]
    slope: float
    intercept: float
    residual: float


@define
class LoadFigures:
    """What one entry carried at full load."""

    agents: int
    job_tasks: int
    tasks_per_s: float
    entry_cpu_us_per_task: float
    entry_cores: float
    messages_per_task: float
    bytes_per_task: float


def fit(name: str, unit: str, points: list[tuple[float, float]]) -> Line:
    """Return the least-squares line through points."""
    x, y = np.array(points).T
    slope, intercept = np.polyfit(x, y, 1)
    residual = float(np.max(np.abs(y - (slope * x + intercept))))
    return Line(name, unit, points, float(slope), float(intercept), residual)


async def async_agents() -> tuple[list[Line], list[LoadFigures]]:
    """Measure an entry with growing numbers of agents, idle and under load."""
    memory, cpu, traffic, loads = [], [], [], []
    for count in AGENT_COUNTS:
        async with Deployment(DeploymentSpec(targets=(), entries=1)) as deployment:
            entry = deployment.entries[0]
            base = entry.rss_bytes()
            await _async_start_agents(deployment, count)
            before, cpu_before = await async_counters(deployment), entry.cpu_s()
            await trio.sleep(IDLE_S)
            after, cpu_after = await async_counters(deployment), entry.cpu_s()
            memory.append((count, (entry.rss_bytes() - base) / 1e3))
            cpu.append((count, 100 * (cpu_after - cpu_before) / IDLE_S))
            traffic.append((count, (after.bytes - before.bytes) / IDLE_S))
            print(f"{count} agents: {memory[-1][1]:.0f} KB, {cpu[-1][1]:.2f}% of a core,"
                  f" {traffic[-1][1]:.0f} B/s idle", flush=True)  # fmt: skip
            if count in (200, 1100):
                for tasks in (1400, 100):
                    loads.append(await _async_load(deployment, count, tasks))
    lines = [
        fit("entry memory by agents", "KB", memory),
        fit("entry idle processor time by agents", "% of a core", cpu),
        fit("entry idle traffic by agents", "B/s", traffic),
    ]
    return lines, loads


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


async def _async_load(deployment: Deployment, agents: int, tasks: int) -> LoadFigures:
    """Keep enough jobs in flight to fill the entry, and count."""
    client = deployment.client("brunner")
    entry = deployment.entries[0]
    answered = 0
    payloads = [b"x" * BODY_BYTES] * tasks

    async def async_jobs() -> None:
        nonlocal answered
        while True:
            result = await client.async_run("clocking", payloads, 30.0)
            answered += len(getattr(result, "bodies", ()))

    async with trio.open_nursery() as nursery:
        for _ in range(max(4, 5600 // tasks)):
            nursery.start_soon(async_jobs)
        await trio.sleep(2.0)
        before, began_s, base = await async_counters(deployment), time.monotonic(), answered
        await trio.sleep(LOAD_S)
        after, count = await async_counters(deployment), answered - base
        elapsed_s = time.monotonic() - began_s
        nursery.cancel_scope.cancel()
    cpu_s = after.entry_cpu_s - before.entry_cpu_s
    figures = LoadFigures(
        agents=agents,
        job_tasks=tasks,
        tasks_per_s=count / elapsed_s,
        entry_cpu_us_per_task=1e6 * cpu_s / max(1, count),
        entry_cores=cpu_s / elapsed_s,
        messages_per_task=(after.frames - before.frames) / max(1, count),
        bytes_per_task=(after.bytes - before.bytes) / max(1, count),
    )
    print(figures, f"rss {entry.rss_bytes() / 1e6:.0f} MB", flush=True)
    return figures


async def async_members() -> list[Line]:
    """Measure an entry with growing numbers of members, each with one job."""
    memory, snapshot = [], []
    async with Deployment(DeploymentSpec(targets=(), entries=1)) as deployment:
        entry = deployment.entries[0]
        made = 0
        for count in MEMBER_COUNTS:
            for number in range(made, count):
                await deployment.async_publish(f"consortium/x{number}", "weight = 2.0\n")
                await deployment.async_publish(f"consortium/x{number}/j", 'service = "s"\n')
            made = count
            _, value = await deployment.async_call_operator("GET", "/v1/operator/settings")
            memory.append((count, entry.rss_bytes() / 1e3))
            snapshot.append((count, len(json.dumps(value))))
    return [
        fit("entry memory by members", "KB", memory),
        fit("settings size by members", "B", snapshot),
    ]


def remembered_starts() -> Line:
    """Measure a start table's memory by remembered tasks, in jobs of 20 here."""
    table = StartTable(1e9)
    points, made = [], 0
    for count in REMEMBERED:
        for number in range(made, count):
            entry = table.get_or_create(f"{number // 20:016x}.1.1.1.0000000000000000", 0.0)
            ref = TaskRef(number % 20, 1)
            table.admit(entry, ref)
            table.start(entry, ref)
            body = os.urandom(BODY_BYTES)
            table.settle(entry, TaskReport(ref.index, 1, TaskState.SETTLED, Verdict.RAN, 200, body))
        made = count
        pages = int(Path("/proc/self/statm").read_text().split()[1])
        points.append((count, pages * os.sysconf("SC_PAGE_SIZE") / 1e3))
    return fit("agent memory by remembered tasks", "KB", points)


async def async_main() -> None:
    """Measure everything and write the figures."""
    remembered = remembered_starts()
    agent_lines, loads = await async_agents()
    lines = [remembered, *agent_lines, *await async_members()]
    for line in lines:
        print(f"{line.name}: {line.slope:.4g} {line.unit} each + {line.intercept:.4g},"
              f" largest residual {line.residual:.3g}")  # fmt: skip
    RESULTS.mkdir(exist_ok=True)
    value = {"lines": [asdict(line) for line in lines], "loads": [asdict(item) for item in loads]}
    (RESULTS / "slopes.json").write_text(json.dumps(value, indent=1))


if __name__ == "__main__":
    print(f"host {HOST}, {os.cpu_count()} cores")
    sys.exit(trio.run(async_main))
