"""End-to-end test with callers, entries, agents, targets and the log in separate processes."""

from pistachiohill.client import JobComplete
from standins.deployment import Deployment, DeploymentSpec, TargetSpec

from .base import TestCase

SPEC = DeploymentSpec(
    targets=(TargetSpec("bern-a"), TargetSpec("solothurn-b"), TargetSpec("aarau-c"))
)


class EndToEndTest(TestCase):
    async def test_job_completes_and_resubmission_starts_nothing(self) -> None:
        async with Deployment(SPEC) as deployment:
            payloads = [b'{"run_s": 0.02, "n": %d}' % index for index in range(100)]
            client = deployment.client("brunner")
            (submission_id,) = await client.async_ids()
            first = await client.async_submit(submission_id, "clocking", payloads, 30.0)
            again = await client.async_submit(submission_id, "clocking", payloads, 30.0)
            self.assertIsInstance(first, JobComplete)
            self.assertIsInstance(again, JobComplete)
            self.assertEqual([b"done " + item for item in payloads], list(first.bodies))
            self.assertEqual(first.bodies, again.bodies)
            counts = await deployment.async_start_counts()
            self.assertEqual(100, len(counts))
            self.assertEqual({1}, set(counts.values()))
            await client.async_close()
