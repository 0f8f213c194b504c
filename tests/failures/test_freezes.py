"""Processes frozen past every lease, and connections that stop delivering without a reset."""

import signal

import trio

from pistachiohill.client import JobComplete
from standins.deployment import Deployment

from .base import FailureTest, spec


class FreezeTest(FailureTest):
    async def test_agent_frozen_with_a_start_message_in_its_socket(self) -> None:
        """The agent reads the start message after the freeze; no task is lost or repeated."""
        async with Deployment(spec()) as deployment, trio.open_nursery() as nursery:
            frozen_agent = deployment.agents[0]
            frozen_agent.signal(signal.SIGSTOP)
            job = await self.async_submit_job(deployment, nursery, 24, 0.05)
            await self.async_wait_for_starts(deployment, 16)
            await self._async_wait_for_silent_link(deployment, 0)
            frozen_agent.signal(signal.SIGCONT)
            result = await job.async_result()
            self.assertIsInstance(result, JobComplete, result)
            self.assert_answer_matches_starts(deployment, job, result)
            self.assert_single_starts(deployment)

    async def test_entry_frozen_past_every_lease(self) -> None:
        """Another entry recovers the job; the owner starts none of its tasks after the freeze."""
        async with Deployment(spec()) as deployment, trio.open_nursery() as nursery:
            job = await self.async_submit_job(deployment, nursery, 300, 0.1, [0, 1])
            await self.async_wait_for_starts(deployment, 30)
            deployment.entries[0].signal(signal.SIGSTOP)
            client = deployment.client("brunner", [1])
            result = await client.async_submit(job.submission_id, "clocking", job.payloads, 40.0)
            self.assert_answer_matches_starts(deployment, job, result)
            started = len(deployment.recorded_starts())
            deployment.entries[0].signal(signal.SIGCONT)
            await self.async_assert_new_job_completes(deployment, [0])
            owner_result = await job.async_result()
            self.assert_answer_matches_starts(deployment, job, owner_result)
            self.assertEqual(type(result), type(owner_result))
            prefix = job.submission_id + "/"
            starts = [s for s in deployment.recorded_starts() if s.task_id.startswith(prefix)]
            self.assertEqual(started, len(starts))
            self.assert_single_starts(deployment)

    async def test_connection_silent_from_the_agent(self) -> None:
        """Task reports are dropped; the entry queries the tasks over a new connection."""
        await self._async_check_with_blocked_links(["backward"], [0])

    async def test_connection_silent_to_the_agent(self) -> None:
        """Start messages are dropped; the tasks are fenced and placed again."""
        await self._async_check_with_blocked_links(["forward"], [0])

    async def test_connections_of_two_agents_silent_both_ways(self) -> None:
        """Messages are dropped in both directions, for two of the three agents."""
        await self._async_check_with_blocked_links(["forward", "backward"], [0, 1])

    async def _async_check_with_blocked_links(
        self, directions: list[str], agents: list[int]
    ) -> None:
        async with Deployment(spec(relay=True)) as deployment, trio.open_nursery() as nursery:
            mode = dict.fromkeys(directions, "swallow")
            for index in agents:
                url = deployment.agents[index].relay_control_url + "/v1/mode"
                await deployment.async_request_json("POST", url, mode)
            job = await self.async_submit_job(deployment, nursery, 48, 0.05)
            result = await job.async_result()
            self.assertIsInstance(result, JobComplete, result)
            self.assert_answer_matches_starts(deployment, job, result)
            self.assert_single_starts(deployment)

    async def _async_wait_for_silent_link(self, deployment: Deployment, entry: int) -> None:
        """Wait until an entry has replaced a silent link."""

        async def async_check() -> bool:
            return "event=link_silent" in deployment.entries[entry].log_text()

        await deployment.async_wait_until("a silent link", async_check)
