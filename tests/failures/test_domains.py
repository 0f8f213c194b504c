"""Failure domains taken out and brought back, leaving targets, shutdown and cancellation."""

import signal
import time

import trio

from pistachiohill.client import JobComplete, JobFailed
from pistachiohill.errors import Verdict
from standins.deployment import Deployment

from .base import DOMAIN_OUT_LIMIT_S, FailureTest, spec


class DomainTest(FailureTest):
    async def test_no_start_in_a_domain_that_is_out(self) -> None:
        async with Deployment(spec()) as deployment, trio.open_nursery() as nursery:
            job = await self.async_submit_job(deployment, nursery, 1000, 0.1)
            await self.async_wait_for_starts(deployment, 40)
            status, _ = await deployment.async_set_domain_out("bern-a", out=True)
            out_at_s = time.time()
            self.assertEqual(200, status)
            result = await job.async_result()
            self.assertIsInstance(result, JobComplete, result)
            self.assert_no_starts_after(deployment, "bern-a", out_at_s + DOMAIN_OUT_LIMIT_S)
            back, _ = await deployment.async_set_domain_out("bern-a", out=False, entry=1)
            self.assertEqual(200, back)
            await deployment.async_wait_accepting_agents(0, 3)
            await self.async_assert_new_job_completes(deployment)
            self.assert_single_starts(deployment)

    async def test_domain_out_while_an_agent_cannot_be_reached(self) -> None:
        """The agent receives no updates; once its view is stale it refuses its queued tasks."""
        deployment_spec = spec(slots=2, relay=True, consortium_toml="view_max_age_s = 2.0\n")
        async with Deployment(deployment_spec) as deployment, trio.open_nursery() as nursery:
            job = await self.async_submit_job(deployment, nursery, 60, 0.5)
            await self.async_wait_for_starts(deployment, 6)
            url = deployment.agents[0].relay_control_url + "/v1/mode"
            await deployment.async_request_json("POST", url, {"forward": "swallow", "new": True})
            status, _ = await deployment.async_set_domain_out("bern-a", out=True)
            out_at_s = time.time()
            self.assertEqual(200, status)
            result = await job.async_result()
            self.assert_answer_matches_starts(deployment, job, result)
            self.assert_no_starts_after(deployment, "bern-a", out_at_s + DOMAIN_OUT_LIMIT_S)
            self.assert_single_starts(deployment)

    async def test_domain_out_while_an_agent_is_frozen_with_a_start_message(self) -> None:
        """After the freeze the agent reads a queued start message and must not start its tasks."""
        settings_toml = "view_max_age_s = 1.0\ndeadline_s = 20.0\n"
        deployment_spec = spec(consortium_toml=settings_toml, entries=1)
        async with Deployment(deployment_spec) as deployment, trio.open_nursery() as nursery:
            frozen_agent = deployment.agents[0]
            frozen_agent.signal(signal.SIGSTOP)
            job = await self.async_submit_job(deployment, nursery, 24, 0.05)
            await self.async_wait_for_starts(deployment, 16)
            status, _ = await deployment.async_set_domain_out("bern-a", out=True)
            self.assertEqual(200, status)
            await deployment.async_wait_views_expired(1.0)
            frozen_agent.signal(signal.SIGCONT)
            result = await job.async_result()
            self.assertIsInstance(result, JobComplete, result)
            self.assertNotIn("bern-a", {start.domain for start in deployment.recorded_starts()})
            self.assert_single_starts(deployment)

    async def test_domain_out_while_the_log_is_slow(self) -> None:
        async with Deployment(spec()) as deployment, trio.open_nursery() as nursery:
            await deployment.async_set_store_faults(delay_s=0.5)
            job = await self.async_submit_job(deployment, nursery, 1000, 0.1)
            await self.async_wait_for_starts(deployment, 40)
            status, _ = await deployment.async_set_domain_out("bern-a", out=True)
            out_at_s = time.time()
            self.assertEqual(200, status)
            self.assertIsInstance(await job.async_result(), JobComplete)
            self.assert_no_starts_after(deployment, "bern-a", out_at_s + DOMAIN_OUT_LIMIT_S)

    async def test_leaving_target_receives_no_new_work(self) -> None:
        async with Deployment(spec()) as deployment, trio.open_nursery() as nursery:
            job = await self.async_submit_job(deployment, nursery, 1000, 0.1)
            await self.async_wait_for_target_start(deployment.agents[0], deployment)
            url = deployment.agents[0].target_url + "/v1/mode"
            await deployment.async_request_json("POST", url, {"leaving": True})
            left_at_s = time.time()
            result = await job.async_result()
            self.assertIsInstance(result, JobComplete, result)
            self.assert_no_starts_after(deployment, "bern-a", left_at_s + DOMAIN_OUT_LIMIT_S)
            self.assert_single_starts(deployment)

    async def test_entry_finishes_requests_on_sigterm(self) -> None:
        async with Deployment(spec()) as deployment, trio.open_nursery() as nursery:
            jobs = [
                await self.async_submit_job(deployment, nursery, 30, 0.2, [0]) for _ in range(4)
            ]
            await self.async_wait_for_starts(deployment, 24)
            await self.async_wait_for_accepted_jobs(deployment, 4)
            deployment.entries[0].signal(signal.SIGTERM)
            self.assertEqual(0, await deployment.entries[0].async_wait())
            for job in jobs:
                result = await job.async_result()
                self.assertIsInstance(result, JobComplete, result)
                self.assert_answer_matches_starts(deployment, job, result)
            self.assert_single_starts(deployment)

    async def test_agent_finishes_tasks_on_sigterm(self) -> None:
        async with Deployment(spec()) as deployment, trio.open_nursery() as nursery:
            job = await self.async_submit_job(deployment, nursery, 120, 0.2)
            await self.async_wait_for_target_start(deployment.agents[0], deployment)
            deployment.agents[0].signal(signal.SIGTERM)
            self.assertEqual(0, await deployment.agents[0].async_wait())
            result = await job.async_result()
            self.assertIsInstance(result, JobComplete, result)
            self.assert_answer_matches_starts(deployment, job, result)
            self.assert_single_starts(deployment)

    async def test_second_sigterm_stops_immediately(self) -> None:
        async with Deployment(spec()) as deployment, trio.open_nursery() as nursery:
            job = await self.async_submit_job(deployment, nursery, 24, 30.0, [0, 1])
            await self.async_wait_for_starts(deployment, 24)
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

    async def test_many_jobs_cancelled_at_once(self) -> None:
        """Cancelled jobs get a correct verdict, and their waiting tasks never start."""
        async with Deployment(spec()) as deployment, trio.open_nursery() as nursery:
            jobs = [await self.async_submit_job(deployment, nursery, 20, 0.3) for _ in range(30)]
            await self.async_wait_for_starts(deployment, 24)
            async with trio.open_nursery() as cancels:
                for index, job in enumerate(jobs):
                    client = deployment.client("brunner", [index % 2])
                    cancels.start_soon(client.async_cancel, job.submission_id)
            for job in jobs:
                result = await job.async_result()
                self.assert_answer_matches_starts(deployment, job, result)
            started = len(deployment.recorded_starts())
            await self.async_assert_new_job_completes(deployment)
            self.assertEqual(started + 24, len(deployment.recorded_starts()))
            self.assert_single_starts(deployment)

    async def test_non_idempotent_request_runs_at_most_once(self) -> None:
        """A request that hangs starts once; a failing idempotent request is retried once."""
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
        """A 503 response of a target is retried only if `refusal_is_not_run` is set."""
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
            await self.async_assert_new_job_completes(deployment, [0])

    def assert_no_starts_after(self, deployment: Deployment, domain: str, limit_s: float) -> None:
        """Check that no task started in a domain after a time, while others started elsewhere."""
        late = [start for start in deployment.recorded_starts() if start.at_s > limit_s]
        self.assertNotEqual([], late, "the job must run past the limit")
        self.assertEqual([], [start for start in late if start.domain == domain])
