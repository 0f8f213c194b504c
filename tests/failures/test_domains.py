"""Failure domains taken out and brought back; targets that leave; planned stops."""

import signal
import time

import trio

from pistachiohill.client import JobComplete, JobFailed
from pistachiohill.errors import Verdict
from standins.deployment import Deployment

from .base import DOMAIN_OUT_BOUND_S, FailureTest, spec


class DomainTest(FailureTest):
    async def test_no_start_in_a_domain_that_is_out(self) -> None:
        async with Deployment(spec()) as deployment, trio.open_nursery() as nursery:
            job = await self.async_job(deployment, nursery, 1000, 0.1)
            await self.async_started(deployment, 40)
            status, _ = await deployment.async_set_domain_out("bern-a", out=True)
            out_at_s = time.time()
            self.assertEqual(200, status)
            result = await job.async_result()
            self.assertIsInstance(result, JobComplete, result)
            self.assert_none_later(deployment, "bern-a", out_at_s + DOMAIN_OUT_BOUND_S)
            back, _ = await deployment.async_set_domain_out("bern-a", out=False, entry=1)
            self.assertEqual(200, back)
            await deployment.async_wait_accepting_agents(0, 3)
            await self.async_new_job_completes(deployment)
            self.assert_single_starts(deployment)

    async def test_domain_out_while_an_agent_cannot_be_reached(self) -> None:
        """The agent hears nothing any more; its view ages and it refuses its queue by itself."""
        deployment_spec = spec(slots=2, relay=True, consortium_toml="view_max_age_s = 2.0\n")
        async with Deployment(deployment_spec) as deployment, trio.open_nursery() as nursery:
            job = await self.async_job(deployment, nursery, 60, 0.5)
            await self.async_started(deployment, 6)
            url = deployment.agents[0].relay_control_url + "/v1/mode"
            await deployment.async_request_json("POST", url, {"forward": "swallow", "new": True})
            status, _ = await deployment.async_set_domain_out("bern-a", out=True)
            out_at_s = time.time()
            self.assertEqual(200, status)
            result = await job.async_result()
            self.assert_true_answer(deployment, job, result)
            self.assert_none_later(deployment, "bern-a", out_at_s + DOMAIN_OUT_BOUND_S)
            self.assert_single_starts(deployment)

    async def test_domain_out_while_an_agent_is_frozen_with_a_start_message(self) -> None:
        """Awake again, the agent finds the message in its socket and must not start by it."""
        lease = "view_max_age_s = 1.0\ndeadline_s = 20.0\n"
        deployment_spec = spec(consortium_toml=lease, entries=1)
        async with Deployment(deployment_spec) as deployment, trio.open_nursery() as nursery:
            frozen = deployment.agents[0]
            frozen.signal(signal.SIGSTOP)
            job = await self.async_job(deployment, nursery, 24, 0.05)
            await self.async_started(deployment, 16)
            status, _ = await deployment.async_set_domain_out("bern-a", out=True)
            self.assertEqual(200, status)
            await deployment.async_wait_views_expired(1.0)
            frozen.signal(signal.SIGCONT)
            result = await job.async_result()
            self.assertIsInstance(result, JobComplete, result)
            self.assertNotIn("bern-a", {start.domain for start in deployment.recorded_starts()})
            self.assert_single_starts(deployment)

    async def test_domain_out_while_the_log_is_slow(self) -> None:
        async with Deployment(spec()) as deployment, trio.open_nursery() as nursery:
            await deployment.async_set_store_faults(delay_s=0.5)
            job = await self.async_job(deployment, nursery, 1000, 0.1)
            await self.async_started(deployment, 40)
            status, _ = await deployment.async_set_domain_out("bern-a", out=True)
            out_at_s = time.time()
            self.assertEqual(200, status)
            self.assertIsInstance(await job.async_result(), JobComplete)
            self.assert_none_later(deployment, "bern-a", out_at_s + DOMAIN_OUT_BOUND_S)

    async def test_leaving_target_receives_no_new_work(self) -> None:
        async with Deployment(spec()) as deployment, trio.open_nursery() as nursery:
            job = await self.async_job(deployment, nursery, 1000, 0.1)
            await self.async_target_started(deployment.agents[0], deployment)
            url = deployment.agents[0].target_url + "/v1/mode"
            await deployment.async_request_json("POST", url, {"leaving": True})
            left_at_s = time.time()
            result = await job.async_result()
            self.assertIsInstance(result, JobComplete, result)
            self.assert_none_later(deployment, "bern-a", left_at_s + DOMAIN_OUT_BOUND_S)
            self.assert_single_starts(deployment)

    async def test_planned_stop_of_an_entry_cuts_no_request(self) -> None:
        async with Deployment(spec()) as deployment, trio.open_nursery() as nursery:
            jobs = [await self.async_job(deployment, nursery, 30, 0.2, [0]) for _ in range(4)]
            await self.async_started(deployment, 24)
            await self.async_accepted(deployment, 4)
            deployment.entries[0].signal(signal.SIGTERM)
            self.assertEqual(0, await deployment.entries[0].async_wait())
            for job in jobs:
                result = await job.async_result()
                self.assertIsInstance(result, JobComplete, result)
                self.assert_true_answer(deployment, job, result)
            self.assert_single_starts(deployment)

    async def test_planned_stop_of_an_agent_cuts_no_task(self) -> None:
        async with Deployment(spec()) as deployment, trio.open_nursery() as nursery:
            job = await self.async_job(deployment, nursery, 120, 0.2)
            await self.async_target_started(deployment.agents[0], deployment)
            deployment.agents[0].signal(signal.SIGTERM)
            self.assertEqual(0, await deployment.agents[0].async_wait())
            result = await job.async_result()
            self.assertIsInstance(result, JobComplete, result)
            self.assert_true_answer(deployment, job, result)
            self.assert_single_starts(deployment)

    async def test_second_signal_ends_at_once(self) -> None:
        async with Deployment(spec()) as deployment, trio.open_nursery() as nursery:
            job = await self.async_job(deployment, nursery, 24, 30.0, [0, 1])
            await self.async_started(deployment, 24)
            entry = deployment.entries[0]
            entry.signal(signal.SIGTERM)

            async def async_stopping() -> bool:
                return "event=stopping" in entry.log_text()

            await deployment.async_wait_until("stopping", async_stopping)
            entry.signal(signal.SIGTERM)
            with trio.fail_after(10):
                await entry.async_wait()
            self.assertFalse(job.done.is_set())
            nursery.cancel_scope.cancel()

    async def test_cancellation_wave(self) -> None:
        """Cancelled jobs answer with a true verdict, and what had not started never starts."""
        async with Deployment(spec()) as deployment, trio.open_nursery() as nursery:
            jobs = [await self.async_job(deployment, nursery, 20, 0.3) for _ in range(30)]
            await self.async_started(deployment, 24)
            async with trio.open_nursery() as cancels:
                for index, job in enumerate(jobs):
                    client = deployment.client("brunner", [index % 2])
                    cancels.start_soon(client.async_cancel, job.submission_id)
            for job in jobs:
                result = await job.async_result()
                self.assert_true_answer(deployment, job, result)
            started = len(deployment.recorded_starts())
            await self.async_new_job_completes(deployment)
            self.assertEqual(started + 24, len(deployment.recorded_starts()))
            self.assert_single_starts(deployment)

    async def test_non_idempotent_request_runs_at_most_once(self) -> None:
        """A target that starts and never answers: one start; an idempotent one is repeated."""
        async with Deployment(spec()) as deployment:
            for agent in deployment.agents:
                await deployment.async_request_json(
                    "POST", agent.target_url + "/v1/mode", {"mode": "hang"}
                )
            url = f"{deployment.entries[0].url}/v1/jobs/clocking/requests"
            status, value = await deployment.async_request_json(
                "POST", url + "?timeout_s=1", {}, "token-brunner"
            )
            self.assertEqual((504, "may_have_run"), (status, value["verdict"]))
            self.assertEqual(1, len(deployment.recorded_starts()))
            for agent in deployment.agents:
                await deployment.async_request_json(
                    "POST", agent.target_url + "/v1/mode", {"mode": "fail"}
                )
            await deployment.async_request_json(
                "POST", url + "?idempotent=true", {}, "token-brunner"
            )
            self.assertEqual(3, len(deployment.recorded_starts()))
            self.assert_single_starts(deployment)

    async def test_target_refusal_is_not_run_only_by_contract(self) -> None:
        """HTTP 503 from the target is placed again only where the settings say nothing ran."""
        async with Deployment(spec()) as deployment:
            agent = deployment.agents[0]
            await deployment.async_request_json(
                "POST", agent.target_url + "/v1/mode", {"mode": "refuse"}
            )
            client = deployment.client("brunner")
            (submission_id,) = await client.async_ids()
            result = await client.async_submit(submission_id, "clocking", [b"{}"] * 24, 20.0)
            self.assertIsInstance(result, JobFailed)
            self.assertEqual("target_refused", result.reason)
            self.assertNotEqual(Verdict.NOT_RUN, result.verdict)
            text = 'service = "clocking"\nrefusal_is_not_run = true\n'
            await deployment.async_publish("consortium/brunner/clocking", text)
            await self.async_new_job_completes(deployment, [0])

    def assert_none_later(self, deployment: Deployment, domain: str, limit_s: float) -> None:
        """Check that no task started in a domain after a time."""
        late = [start for start in deployment.recorded_starts() if start.at_s > limit_s]
        self.assertNotEqual([], late, "the job must outlast the bound")
        self.assertEqual([], [start for start in late if start.domain == domain])
