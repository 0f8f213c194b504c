"""Benchmark the scheduling policies.

Measures response time relative to the ideal, messages, wasted tasks, and utilization while the
deployment changes. `script/measure` runs a short mode, `script/measure --full` a longer one. It
prints a table and writes all figures to results/measure.json and a report with plots to
results/measure.html.
"""

import argparse
import json
import re
import sys
from pathlib import Path
from typing import Any

import numpy as np
import trio
from attrs import asdict, define, field

from standins.deployment import Deployment

from .ideal import IdealTarget, Speed, ideal_response_s
from .load import Sample, async_run_load
from .report import write_report
from .scenarios import (
    BASELINE_POLICIES,
    BRNO_ROUND_TRIP_S,
    BRUNNER_ROUND_TRIP_S,
    DEADLINE_S,
    PRODUCT_POLICY,
    RUN_S,
    SEED,
    SHORT_POLICIES,
    SLOTS,
    SLOWNESS,
    Event,
    Scenario,
    scenarios,
    shape_spec,
)
from .workload import Arrival, Stream, arrivals

RESULTS = Path("results")
SHORT_LOAD_S = 7.0
FULL_LOAD_S = 18.0
WARM_UP_S = 2.0
JOB = "clocking"


@define
class Counters:
    """Totals from the metrics of entries and agents, the targets and the processor clocks."""

    frames: float = 0.0
    bytes: float = 0.0
    wasted: dict[str, float] = field(factory=dict)
    entry_cpu_s: float = 0.0
    agent_cpu_s: float = 0.0
    busy_s: float = 0.0
    failed: float = 0.0


@define
class Row:
    """Results of one scenario under one policy, as written to measure.json."""

    scenario: str
    policy: str
    jobs: int
    complete: int
    tasks: int
    ratio_p50: float
    ratio_p95: float
    ratio_p99: float
    response_p99_s: float
    messages_per_task: float
    wasted: dict[str, float]
    failed_tasks_pct: float
    failed_jobs_pct: float
    entry_cpu_us_per_task: float
    agent_cpu_us_per_task: float
    work_of_possible_pct: float
    members_p99_s: dict[str, float]
    ratios: list[float]


async def async_measure(
    duration_s: float, name_filter: str, policies: frozenset[str], full: bool
) -> list[Row]:
    """Run the scenarios whose names contain `name_filter` and return their results."""
    rows: list[Row] = []
    selected = [
        item
        for item in scenarios(duration_s)
        if name_filter in item.name and (name_filter or full or not item.on_request)
    ]
    for shape in sorted({item.shape for item in selected}):
        async with Deployment(shape_spec(shape)) as deployment:
            for scenario in selected:
                if scenario.shape == shape:
                    rows += await _async_measure_scenario(deployment, scenario, policies)
    return rows


async def _async_measure_scenario(
    deployment: Deployment, scenario: Scenario, policies: frozenset[str]
) -> list[Row]:
    load = arrivals(list(scenario.streams), SEED)
    ideal_s = ideal_response_s(load, _ideal_targets(scenario), _round_trip_s(scenario))
    rows = []
    for policy in filter(policies.__contains__, scenario.policies):
        text = f'policy = "{policy}"\n{scenario.consortium_toml}'
        await deployment.async_publish("consortium", text)
        warm_up = [Stream("brunner", 3.0, 40, RUN_S, 0.0, WARM_UP_S)]
        await async_run_load(deployment, arrivals(warm_up, SEED + 1), JOB, DEADLINE_S)
        before = await async_read_counters(deployment)
        result = await _async_run_scenario(deployment, scenario, load)
        after = await async_read_counters(deployment)
        rows.append(_build_row(scenario, policy, result, ideal_s, before, after))
        _print_row(rows[-1])
    return rows


@define
class LoadResult:
    """Samples of a run, and the share of the available slot time used while jobs arrived."""

    samples: list[Sample]
    utilization: float


async def _async_run_scenario(
    deployment: Deployment, scenario: Scenario, load: list[Arrival]
) -> LoadResult:
    samples: list[Sample] = []
    utilization = [0.0]

    async def async_load() -> None:
        samples.extend(await async_run_load(deployment, load, JOB, DEADLINE_S))

    async def async_measure_utilization() -> None:
        ramp_up_s = scenario.duration_s / 6
        await trio.sleep(ramp_up_s)
        before = await async_read_counters(deployment)
        started_s = trio.current_time()
        await trio.sleep(scenario.duration_s - ramp_up_s)
        after = await async_read_counters(deployment)
        elapsed_s = trio.current_time() - started_s
        utilization[0] = (after.busy_s - before.busy_s) / _available_slot_s(
            scenario, ramp_up_s, elapsed_s
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(async_load)
        nursery.start_soon(async_measure_utilization)
        for event in scenario.events:
            nursery.start_soon(_async_apply_event, deployment, event)
        if scenario.cancel_at_s:
            nursery.start_soon(_async_cancel_jobs, deployment, scenario.cancel_at_s)
    await _async_restore_targets(deployment, scenario)
    return LoadResult(samples, utilization[0])


async def _async_apply_event(deployment: Deployment, event: Event) -> None:
    await trio.sleep(event.at_s)
    if event.kind in ("slowness", "mode"):
        url = deployment.agents[event.target].target_url + "/v1/mode"
        await deployment.async_request_json("POST", url, {event.kind: event.value})
    elif event.kind in ("out", "back"):
        await deployment.async_set_domain_out(event.domain, out=event.kind == "out")
    else:
        await deployment.async_set_store_faults(down=event.kind == "log down")


async def _async_restore_targets(deployment: Deployment, scenario: Scenario) -> None:
    """Reset the target modes and wait until every entry has all agents."""
    for event in scenario.events:
        if event.kind == "mode":
            url = deployment.agents[event.target].target_url + "/v1/mode"
            await deployment.async_request_json("POST", url, {"mode": "ok"})
    for index in range(len(deployment.entries)):
        await deployment.async_wait_accepting_agents(index, len(deployment.agents))


async def _async_cancel_jobs(deployment: Deployment, at_s: float) -> None:
    """Submit 20 jobs of one member and cancel all of them half a second later."""
    client = deployment.client("m1")
    await trio.sleep(at_s)
    ids = await client.async_ids(20)
    payloads = [b'{"run_s": 0.2}'] * 100
    async with trio.open_nursery() as nursery:
        for submission_id in ids:
            nursery.start_soon(client.async_submit, submission_id, JOB, payloads, 10.0, 0)
        await trio.sleep(0.5)
        for submission_id in ids:
            nursery.start_soon(client.async_cancel, submission_id)
    await client.async_close()


async def async_read_counters(deployment: Deployment) -> Counters:
    """Return the totals of all entries and agents."""
    totals = Counters()
    for entry in deployment.entries:
        text = await deployment.async_get_text(f"{entry.url}/metrics")
        for peer, _, value in _link_metrics(text, "pistachiohill_link_frames"):
            totals.frames += value / (2 if peer == "entry" else 1)
        for _, _, value in _link_metrics(text, "pistachiohill_link_bytes"):
            totals.bytes += value
        for kind, value in re.findall(r'wasted_tasks_total{kind="(\w+)"} ([\d.e+]+)', text):
            totals.wasted[kind] = totals.wasted.get(kind, 0.0) + float(value)
        totals.entry_cpu_s += entry.cpu_s()
    for agent in deployment.agents:
        totals.agent_cpu_s += agent.cpu_s()
        _, value = await deployment.async_request_json("GET", f"{agent.target_url}/counts")
        totals.busy_s += value["busy_s"]
        text = await deployment.async_get_text(f"{agent.url}/metrics")
        failures = re.findall(r'reports_total{reason="target_failed",\S*} ([\d.e+]+)', text)
        totals.failed += sum(map(float, failures))
    return totals


def _link_metrics(text: str, name: str) -> list[tuple[str, str, float]]:
    pattern = name + r'{direction="(\w+)",peer="(\w+)"} ([\d.e+]+)'
    return [(peer, direction, float(v)) for direction, peer, v in re.findall(pattern, text)]


def _build_row(
    scenario: Scenario,
    policy: str,
    result: LoadResult,
    ideal_s: list[float],
    before: Counters,
    after: Counters,
) -> Row:
    samples = result.samples
    pairs = zip(samples, ideal_s, strict=True)
    ratios = [sample.response_s / ideal for sample, ideal in pairs if sample.complete]
    responses = [sample.response_s for sample in samples if sample.complete]
    tasks = sum(len(sample.arrival.run_s) for sample in samples)
    kinds = set(before.wasted) | set(after.wasted)
    wasted = {k: after.wasted.get(k, 0.0) - before.wasted.get(k, 0.0) for k in sorted(kinds)}
    failed = sum(sample.reason == "target_failed" for sample in samples)
    members: dict[str, float] = {}
    for name in sorted({sample.arrival.member for sample in samples}):
        responses_of_member = [
            s.response_s for s in samples if s.arrival.member == name and s.complete
        ]
        members[name] = _percentile(responses_of_member, 99)
    return Row(
        scenario=scenario.name,
        policy=policy,
        jobs=len(samples),
        complete=sum(sample.complete for sample in samples),
        tasks=tasks,
        ratio_p50=_percentile(ratios, 50),
        ratio_p95=_percentile(ratios, 95),
        ratio_p99=_percentile(ratios, 99),
        response_p99_s=_percentile(responses, 99),
        messages_per_task=(after.frames - before.frames) / tasks,
        wasted=wasted,
        failed_tasks_pct=100 * (after.failed - before.failed) / tasks,
        failed_jobs_pct=100 * failed / len(samples),
        entry_cpu_us_per_task=1e6 * (after.entry_cpu_s - before.entry_cpu_s) / tasks,
        agent_cpu_us_per_task=1e6 * (after.agent_cpu_s - before.agent_cpu_s) / tasks,
        work_of_possible_pct=100 * result.utilization,
        members_p99_s=members,
        ratios=[round(ratio, 4) for ratio in sorted(ratios)],
    )


def _percentile(values: list[float], percentage: float) -> float:
    return float(np.percentile(values, percentage)) if values else float("nan")


def _ideal_targets(scenario: Scenario) -> list[IdealTarget]:
    targets = [IdealTarget([0.0] * SLOTS, [Speed(0.0, slowness)]) for slowness in SLOWNESS]
    domains = [spec.domain for spec in shape_spec(scenario.shape).targets]
    for event in scenario.events:
        for index, target in enumerate(targets):
            out = event.kind == "out" and domains[index] == event.domain
            failing = event.kind == "mode" and event.target == index
            if event.kind == "slowness" and event.target == index:
                target.speeds.append(Speed(event.at_s, float(event.value)))
            elif out or failing:
                target.speeds.append(Speed(event.at_s, float("inf")))
            elif event.kind == "back" and domains[index] == event.domain:
                target.speeds.append(Speed(event.at_s, SLOWNESS[index]))
    return targets


def _round_trip_s(scenario: Scenario) -> float:
    return BRUNNER_ROUND_TRIP_S if scenario.shape == "brunner" else BRNO_ROUND_TRIP_S


def _available_slot_s(scenario: Scenario, ramp_up_s: float, elapsed_s: float) -> float:
    """Return the slot seconds after `ramp_up_s` in which tasks may run."""
    total_s = SLOTS * len(SLOWNESS) * elapsed_s
    domains = [spec.domain for spec in shape_spec(scenario.shape).targets]
    out_at_s = {event.domain: event.at_s for event in scenario.events if event.kind == "out"}
    for event in scenario.events:
        if event.kind == "back":
            outage_s = event.at_s - out_at_s[event.domain]
            total_s -= SLOTS * domains.count(event.domain) * outage_s
    return total_s


def _print_row(row: Row) -> None:
    print(
        f"{row.scenario:32} {row.policy:20} jobs {row.complete:4}/{row.jobs:<4}"
        f" ratio p50 {row.ratio_p50:5.2f} p95 {row.ratio_p95:5.2f} p99 {row.ratio_p99:5.2f}"
        f" p99 {row.response_p99_s:6.3f} s  msg/task {row.messages_per_task:4.2f}"
        f" failed {row.failed_tasks_pct:5.2f}% of tasks {row.failed_jobs_pct:5.2f}% of jobs"
        f" work {row.work_of_possible_pct:5.1f}%"
        f" entry {row.entry_cpu_us_per_task:4.0f} us/task wasted"
        f" { {k: int(v) for k, v in row.wasted.items() if v} }",
        flush=True,
    )


def main() -> int:
    """Run the benchmark, print and write its results, and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--full", action="store_true", help="longer runs")
    parser.add_argument("--only", default="", help="scenarios whose name contains this text")
    arguments = parser.parse_args()
    duration_s = FULL_LOAD_S if arguments.full else SHORT_LOAD_S
    policies = frozenset((PRODUCT_POLICY, *BASELINE_POLICIES) if arguments.full else SHORT_POLICIES)
    rows = trio.run(async_measure, duration_s, arguments.only, policies, arguments.full)
    RESULTS.mkdir(exist_ok=True)
    values: list[dict[str, Any]] = [asdict(row) for row in rows]
    text = json.dumps({"seed": SEED, "seconds": duration_s, "rows": values}, indent=1)
    (RESULTS / "measure.json").write_text(text)
    write_report(values, RESULTS / "measure.html")
    return 0


if __name__ == "__main__":
    sys.exit(main())
