"""Run a job of 1,400 tasks, resubmitted at a second entry, while a domain is out of service."""

import sys

import trio

from pistachiohill.client import Client, JobComplete, JobResult
from standins.deployment import Deployment, DeploymentSpec, TargetSpec

TASK_COUNT = 1400
TASK_RUN_S = 0.1
DEADLINE_S = 60.0
DOMAIN = "solothurn-b"
SPEC = DeploymentSpec(
    targets=(
        TargetSpec("bern-a"),
        TargetSpec("bern-a", slowness=1.5),
        TargetSpec(DOMAIN),
        TargetSpec(DOMAIN, slowness=0.7),
        TargetSpec("aarau-c"),
        TargetSpec("aarau-c", slowness=2.0),
    )
)


async def async_main() -> int:
    """Run the demo and return the exit code."""
    async with Deployment(SPEC) as deployment:
        print(f"{len(deployment.entries)} entries and {len(deployment.agents)} agents are ready")
        client = deployment.client("brunner")
        (submission_id,) = await client.async_ids()
        results: dict[str, JobResult] = {}
        started_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_async_submit, deployment, submission_id, 0, results)
            await _async_wait_started(deployment, TASK_COUNT // 10)
            nursery.start_soon(_async_submit, deployment, submission_id, 1, results)
            status, _ = await deployment.async_set_domain_out(DOMAIN, out=True)
            print(f"domain {DOMAIN} out: status {status}")
            await _async_wait_started(deployment, TASK_COUNT // 2)
            status, _ = await deployment.async_set_domain_out(DOMAIN, out=False)
            print(f"domain {DOMAIN} back in: status {status}")
        elapsed_s = trio.current_time() - started_s
        await client.async_close()
        return await _async_report(deployment, results, elapsed_s)


async def _async_submit(
    deployment: Deployment, submission_id: str, entry: int, results: dict[str, JobResult]
) -> None:
    client: Client = deployment.client("brunner", [entry])
    payloads = [b'{"run_s": %f, "n": %d}' % (TASK_RUN_S, index) for index in range(TASK_COUNT)]
    name = f"entry {entry}"
    results[name] = await client.async_submit(submission_id, "clocking", payloads, DEADLINE_S)
    await client.async_close()


async def _async_wait_started(deployment: Deployment, tasks: int) -> None:
    async def async_check() -> bool:
        return len(await deployment.async_start_counts()) >= tasks

    await deployment.async_wait_until(f"{tasks} tasks started", async_check)


async def _async_report(
    deployment: Deployment, results: dict[str, JobResult], elapsed_s: float
) -> int:
    counts = await deployment.async_start_counts()
    restarted = sum(count > 1 for count in counts.values())
    complete = True
    for name, result in sorted(results.items()):
        ok = isinstance(result, JobComplete) and len(result.bodies) == TASK_COUNT
        complete = complete and ok
        print(f"answer through {name}: {'complete' if ok else result}")
    print(f"job of {TASK_COUNT} tasks answered in {elapsed_s:.2f} s")
    print(
        f"counted by the targets: {len(counts)} tasks started, {restarted} started more than once"
    )
    for process in (deployment.entries[0], deployment.agents[0]):
        print(f"resident memory of {process.name}: {process.rss_bytes() / 1e6:.1f} MB")
    ok = complete and len(counts) == TASK_COUNT and restarted == 0
    print("ok" if ok else "NOT ok")
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(trio.run(async_main))
