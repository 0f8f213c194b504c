"""A node that was frozen starts jobs whose clients have left and sent them again elsewhere.

A node is frozen for 4 s. Clients whose requests wait there give up at their time limit and send the
jobs again to other nodes, which run them. `TROUBLE=0` freezes nothing.
"""

import asyncio
import secrets
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.harness.deployment import (
    PREFIX,
    RESEND_S,
    ZONES,
    Deployment,
    Outcome,
    job_body,
    run_case,
)
from review.harness.http import NO_RESPONSE
from review.harness.runner import find_overlaps

SIDES = 11
FREEZE_S = 4.0
TIME_LIMIT_S = 1.5
CLIENTS = 20  # of the frozen node's zone, one job each
FIRST_JOB_S = 0.1  # after the beginning of the freeze
LAST_JOB_S = 1.1  # the balancer drops a node after two missed checks, a second apart
TASKS = 2
RUN_S = 0.9
OTHER_CLIENTS = 3  # in each of the other zones, one job after the other
OTHER_RUN_S = 0.12
MAX_SENDS = 3
LOST = (NO_RESPONSE, 502, 504)


async def async_submit(deployment: Deployment, client: str, zone: str, run_s: float) -> None:
    """Submit a job, and send it again after a loss, like the platform's clients."""
    path = PREFIX + secrets.token_hex(8)
    for _ in range(MAX_SENDS):
        node = deployment.node_of(client, zone)
        body = job_body(TASKS, run_s)
        answer = await deployment.async_request(node, "POST", path, body, TIME_LIMIT_S)
        if answer.status not in LOST:
            return
        await asyncio.sleep(RESEND_S)


async def async_submit_always(deployment: Deployment, client: str, zone: str) -> None:
    """Submit one job after the other until cancelled."""
    while True:
        await async_submit(deployment, client, zone, OTHER_RUN_S)


async def async_submit_later(deployment: Deployment, number: int) -> None:
    """Submit a job of the frozen node's zone at its time."""
    await asyncio.sleep(FIRST_JOB_S + (LAST_JOB_S - FIRST_JOB_S) * number / CLIENTS)
    await async_submit(deployment, f"loft-{number}", ZONES[0], RUN_S)


async def async_run(deployment: Deployment, trouble: bool) -> Outcome:
    """Freeze a node while clients submit jobs there, and look for runs that overlap."""
    background = [
        asyncio.ensure_future(async_submit_always(deployment, f"clerk-{zone}-{number}", zone))
        for zone in ZONES[1:]
        for number in range(OTHER_CLIENTS)
    ]
    await asyncio.sleep(2.0)
    node = deployment.node_of("loft-0", ZONES[0])
    jobs = [
        asyncio.ensure_future(async_submit_later(deployment, number)) for number in range(CLIENTS)
    ]
    if trouble:
        deployment.signal(node, signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    if trouble:
        deployment.signal(node, signal.SIGCONT)
    await asyncio.gather(*jobs)
    for task in background:
        task.cancel()
    await asyncio.sleep(2.0)
    overlaps = find_overlaps(deployment.runners)
    for first, second, overlap_s in overlaps:
        deployment.record("two_runs", task=first.task, runs=(first.run, second.run), s=overlap_s)
    deployment.record("check", overlaps=len(overlaps))
    return Outcome.BROKEN if overlaps else Outcome.HELD


if __name__ == "__main__":
    run_case(Path(__file__).parent, async_run, SIDES)
