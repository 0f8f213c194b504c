"""SIGKILL of an entry, an agent or a target in the middle of a job."""

import trio

from pistachiohill.client import JobComplete, JobFailed
from pistachiohill.errors import Verdict
from standins.deployment import Deployment

from .base import FailureTest, spec


class KillTest(FailureTest):
    async def test_entry_killed_with_all_tasks_started(self) -> None:
        """The other entry seals the submission, collects the results and answers complete."""
        async with Deployment(spec()) as deployment, trio.open_nursery() as nursery:
            job = await self.async_submit_job(deployment, nursery, 24, 2.0, [0, 1])
            await self.async_wait_for_starts(deployment, 24)
            await deployment.entries[0].async_kill()
            result = await job.async_result()
            self.assertIsInstance(result, JobComplete, result)
            self.assert_answer_matches_starts(deployment, job, result)
            self.assertEqual(24, len(deployment.recorded_starts()))

    async def test_entry_killed_with_tasks_waiting(self) -> None:
        """The job fails, and its waiting tasks never start."""
        async with Deployment(spec()) as deployment, trio.open_nursery() as nursery:
            job = await self.async_submit_job(deployment, nursery, 200, 0.3, [0, 1])
            await self.async_wait_for_starts(deployment, 30)
            await deployment.entries[0].async_kill()
            result = await job.async_result()
            self.assertIsInstance(result, JobFailed)
            self.assertNotEqual(Verdict.NOT_RUN, result.verdict)
            started = len(deployment.recorded_starts())
            await self.async_assert_new_job_completes(deployment, [1])
            again = await deployment.client("brunner", [1]).async_submit(
                job.submission_id, "clocking", job.payloads, 5.0
            )
            self.assertEqual(result.verdict, again.verdict)
            self.assertEqual(started + 24, len(deployment.recorded_starts()))
            self.assert_single_starts(deployment)

    async def test_owner_killed_before_the_job_was_submitted(self) -> None:
        """The verdict is `not_run`, and no task starts; a new submission completes."""
        async with Deployment(spec()) as deployment:
            (submission_id,) = await deployment.client("brunner", [0]).async_ids()
            await deployment.entries[0].async_kill()
            client = deployment.client("brunner", [1])
            result = await client.async_submit(submission_id, "clocking", [b"{}"] * 10, 20.0)
            self.assertIsInstance(result, JobFailed)
            self.assertEqual(Verdict.NOT_RUN, result.verdict)
            self.assertEqual([], deployment.recorded_starts())
            await self.async_assert_new_job_completes(deployment, [1])

    async def test_agent_killed(self) -> None:
        """Its tasks may have run, so the job fails; the restarted agent accepts new tasks."""
        async with Deployment(spec()) as deployment, trio.open_nursery() as nursery:
            job = await self.async_submit_job(deployment, nursery, 60, 0.5)
            await self.async_wait_for_target_start(deployment.agents[0], deployment)
            await deployment.agents[0].async_kill()
            result = await job.async_result()
            self.assertIsInstance(result, JobFailed)
            self.assertNotEqual(Verdict.NOT_RUN, result.verdict)
            deployment.agents[0].start()
            await deployment.async_wait_accepting_agents(0, 3)
            await self.async_assert_new_job_completes(deployment)
            self.assert_single_starts(deployment)

    async def test_target_killed(self) -> None:
        """Requests in flight may have run, so the job fails and no task is repeated."""
        async with Deployment(spec()) as deployment, trio.open_nursery() as nursery:
            job = await self.async_submit_job(deployment, nursery, 60, 0.5)
            await self.async_wait_for_target_start(deployment.agents[0], deployment)
            await deployment.agents[0].target.async_kill()
            result = await job.async_result()
            self.assertIsInstance(result, JobFailed)
            self.assertNotEqual(Verdict.NOT_RUN, result.verdict)
            deployment.agents[0].target.start()
            await self.async_assert_new_job_completes(deployment)
            self.assert_single_starts(deployment)

    async def test_owner_and_the_only_agent_that_started_are_killed(self) -> None:
        """No remaining agent has a record of the task, so the verdict is `may_have_run`."""
        async with Deployment(spec()) as deployment, trio.open_nursery() as nursery:
            job = await self.async_submit_job(deployment, nursery, 1, 1.0, [0, 1])
            await self.async_wait_for_starts(deployment, 1)
            (start,) = deployment.recorded_starts()
            await deployment.entries[0].async_kill()
            agent = next(item for item in deployment.agents if item.domain == start.domain)
            await agent.async_kill()
            result = await job.async_result()
            self.assertIsInstance(result, JobFailed)
            self.assertEqual(Verdict.MAY_HAVE_RUN, result.verdict)
            self.assert_single_starts(deployment)

    async def test_entry_and_agent_killed_together(self) -> None:
        """The verdict of a started job is never `not_run`, even after two simultaneous faults."""
        async with Deployment(spec()) as deployment, trio.open_nursery() as nursery:
            job = await self.async_submit_job(deployment, nursery, 24, 1.0, [0, 1])
            await self.async_wait_for_starts(deployment, 24)
            await deployment.entries[0].async_kill()
            await deployment.agents[0].async_kill()
            result = await job.async_result()
            self.assertIsInstance(result, JobFailed)
            self.assertNotEqual(Verdict.NOT_RUN, result.verdict)
            self.assert_single_starts(deployment)
