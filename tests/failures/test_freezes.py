"""SIGSTOP past every lease, and connections that go silent without a reset."""

import signal

import trio

from pistachiohill.client import JobComplete
from standins.deployment import Deployment

from .base import FailureTest, spec


class FreezeTest(FailureTest):
    async def test_agent_frozen_with_a_start_message_in_its_socket(self) -> None:
        """The start message is read after the freeze; no task starts twice, nothing is lost."""
        async with Deployment(spec()) as deployment, trio.open_nursery() as nursery:
            frozen = deployment.agents[0]
            frozen.signal(signal.SIGSTOP)
            job = await self.async_job(deployment, nursery, 24, 0.05)
            await self.async_started(deployment, 16)
            await self._async_silent(deployment, 0)
            frozen.signal(signal.SIGCONT)
            result = await job.async_result()
            self.assertIsInstance(result, JobComplete, result)
            self.assert_true_answer(deployment, job, result)
            self.assert_single_starts(deployment)

    async def test_entry_frozen_past_every_lease(self) -> None:
        """The other entry decides; the frozen owner, once awake, starts nothing more."""
        async with Deployment(spec()) as deployment, trio.open_nursery() as nursery:
            job = await self.async_job(deployment, nursery, 300, 0.1, [0, 1])
            await self.async_started(deployment, 30)
            deployment.entries[0].signal(signal.SIGSTOP)
            client = deployment.client("brunner", [1])
            result = await client.async_submit(job.submission_id, "clocking", job.bodies, 40.0)
            self.assert_true_answer(deployment, job, result)
            started = len(deployment.recorded_starts())
            deployment.entries[0].signal(signal.SIGCONT)
            await self.async_new_job_completes(deployment, [0])
            own = await job.async_result()
            self.assert_true_answer(deployment, job, own)
            self.assertEqual(type(result), type(own))
            prefix = job.submission_id + "/"
            starts = [s for s in deployment.recorded_starts() if s.task_id.startswith(prefix)]
            self.assertEqual(started, len(starts))
            self.assert_single_starts(deployment)

    async def test_connection_silent_from_the_agent(self) -> None:
        """Reports are swallowed; the entry asks again over a new connection."""
        await self._async_swallow(["backward"], [0])

    async def test_connection_silent_to_the_agent(self) -> None:
        """Start messages are swallowed; the tasks are fenced and placed again."""
        await self._async_swallow(["forward"], [0])

    async def test_all_connections_of_a_domain_silent_both_ways(self) -> None:
        """Both directions at once, for every agent of a failure domain."""
        await self._async_swallow(["forward", "backward"], [0, 1])

    async def _async_swallow(self, directions: list[str], agents: list[int]) -> None:
        async with Deployment(spec(relay=True)) as deployment, trio.open_nursery() as nursery:
            mode = dict.fromkeys(directions, "swallow")
            for index in agents:
                url = deployment.agents[index].relay_control_url + "/v1/mode"
                await deployment.async_request_json("POST", url, mode)
            job = await self.async_job(deployment, nursery, 48, 0.05)
            result = await job.async_result()
            self.assertIsInstance(result, JobComplete, result)
            self.assert_true_answer(deployment, job, result)
            self.assert_single_starts(deployment)

    async def _async_silent(self, deployment: Deployment, entry: int) -> None:
        """Wait until an entry has replaced a silent link."""

        async def async_check() -> bool:
            return "event=link_silent" in deployment.entries[entry].log_text()

        await deployment.async_wait_until("a silent link", async_check)
