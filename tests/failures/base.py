"""Base class of the failure tests: background jobs and checks against the targets' records."""

from collections import Counter
from typing import Any

import trio

from pistachiohill.client import Client, ClientError, JobComplete, JobFailed, JobResult
from pistachiohill.errors import Verdict
from standins.deployment import AgentProcess, Deployment, DeploymentSpec, TargetSpec

from ..base import TestCase

DOMAINS = ("bern-a", "solothurn-b", "aarau-c")
DOMAIN_OUT_LIMIT_S = 3.0
DEADLINE_S = 60.0


def spec(slots: int = 8, relay: bool = False, **fields: Any) -> DeploymentSpec:
    """Return the specification of a deployment with a target in each of three failure domains."""
    targets = tuple(TargetSpec(domain, slots=slots, relay=relay) for domain in DOMAINS)
    return DeploymentSpec(targets=targets, **fields)


def payloads(count: int, run_s: float) -> list[bytes]:
    """Return distinct payloads of tasks that share a run time."""
    return [b'{"run_s": %f, "n": %d}' % (run_s, index) for index in range(count)]


class Job:
    """A job that is submitted in the background, and its outcome."""

    def __init__(self, submission_id: str, payloads: list[bytes]) -> None:
        self.submission_id = submission_id
        self.payloads = payloads
        self.result: JobResult | None = None
        self.error: ClientError | None = None
        self.done = trio.Event()

    async def async_result(self) -> JobResult:
        await self.done.wait()
        assert self.result is not None, self.error
        return self.result


class FailureTest(TestCase):
    """Helpers shared by the failure tests."""

    async def async_submit_job(
        self,
        deployment: Deployment,
        nursery: trio.Nursery,
        count: int,
        run_s: float,
        entries: list[int] | None = None,
        member: str = "brunner",
        deadline_s: float = DEADLINE_S,
    ) -> Job:
        """Submit a job in the background; the client fails over between the given entries."""
        client = deployment.client(member, entries)
        (submission_id,) = await client.async_ids()
        job = Job(submission_id, payloads(count, run_s))
        nursery.start_soon(self._async_submit, client, job, deadline_s)
        return job

    async def _async_submit(self, client: Client, job: Job, deadline_s: float) -> None:
        try:
            job.result = await client.async_submit(
                job.submission_id, "clocking", job.payloads, deadline_s, first_entry=0
            )
        except ClientError as err:
            job.error = err
        job.done.set()
        await client.async_close()

    async def async_wait_for_starts(self, deployment: Deployment, count: int) -> None:
        """Wait until the targets have started at least `count` tasks."""

        async def async_check() -> bool:
            return len(deployment.recorded_starts()) >= count

        await deployment.async_wait_until(f"{count} starts", async_check)

    async def async_wait_for_accepted_jobs(self, deployment: Deployment, count: int) -> None:
        """Wait until the entries have accepted at least `count` jobs."""

        async def async_check() -> bool:
            texts = [entry.log_text() for entry in deployment.entries]
            return sum(text.count("event=job_accepted") for text in texts) >= count

        await deployment.async_wait_until(f"{count} accepted jobs", async_check)

    async def async_wait_for_target_start(
        self, agent: AgentProcess, deployment: Deployment
    ) -> None:
        """Wait until a target has started a task."""
        await deployment.async_request_json("GET", f"{agent.target_url}/waited/1", timeout_s=60.0)

    async def async_assert_new_job_completes(
        self, deployment: Deployment, entries: list[int] | None = None, count: int = 24
    ) -> None:
        """Check that a new job completes; the client retries refusals with verdict not run."""
        client = deployment.client("brunner", entries)
        result = await client.async_run("clocking", payloads(count, 0.01), 40.0)
        self.assertIsInstance(result, JobComplete, result)
        await client.async_close()

    def assert_single_starts(self, deployment: Deployment) -> None:
        """Check against the targets' records that no task has started more than once."""
        counts = Counter(start.task_id for start in deployment.recorded_starts())
        repeated = {task: count for task, count in counts.items() if count > 1}
        self.assertEqual({}, repeated)

    def assert_answer_matches_starts(
        self, deployment: Deployment, job: Job, result: JobResult
    ) -> None:
        """Check an answer against the targets' records.

        A complete job has started every task and returns its result; a job that was not run has
        started none.
        """
        prefix = job.submission_id + "/"
        starts = [s for s in deployment.recorded_starts() if s.task_id.startswith(prefix)]
        if isinstance(result, JobComplete):
            self.assertEqual([b"done " + payload for payload in job.payloads], list(result.bodies))
            self.assertEqual(len(job.payloads), len(starts))
            return
        assert isinstance(result, JobFailed)
        if result.verdict == Verdict.NOT_RUN:
            self.assertEqual([], starts)
