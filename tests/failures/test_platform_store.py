"""Faults of the platform's store, concurrent operator changes and invalid records."""

from typing import Any

import trio

from pistachiohill.client import JobComplete, JobFailed
from pistachiohill.consortium.const import TOPIC_SETTINGS
from pistachiohill.errors import Verdict
from standins.deployment import Deployment, TargetSpec

from .base import FailureTest, payloads, spec

SHORT_VIEW_AGE_S = 1.0
SHORT_VIEW_AGE_TOML = f"view_max_age_s = {SHORT_VIEW_AGE_S}\n"
START_THROUGH_OUTAGE_TOML = "view_max_age_s = 1.0\nstart_through_outage = true\n"


class PlatformStoreTest(FailureTest):
    async def test_outage_longer_than_the_view_age_refuses_as_not_run(self) -> None:
        """By default no task starts on a stale view; service resumes with the log."""
        async with Deployment(spec(consortium_toml=SHORT_VIEW_AGE_TOML)) as deployment:
            await deployment.async_set_store_faults(down=True)
            await self._async_wait_for_stale_views(deployment)
            client = deployment.client("brunner")
            (submission_id,) = await client.async_ids()
            result = await client.async_submit(submission_id, "clocking", [b"{}"], 5.0)
            self.assertIsInstance(result, JobFailed)
            self.assertEqual((Verdict.NOT_RUN, "stale_view"), (result.verdict, result.reason))
            self.assertEqual([], deployment.recorded_starts())
            await deployment.async_set_store_faults(down=False)
            await self.async_assert_new_job_completes(deployment)

    async def test_start_through_outage_keeps_serving(self) -> None:
        async with Deployment(spec(consortium_toml=START_THROUGH_OUTAGE_TOML)) as deployment:
            await deployment.async_set_store_faults(down=True)
            await self._async_wait_for_stale_views(deployment)
            await self.async_assert_new_job_completes(deployment, [0])
            await self.async_assert_new_job_completes(deployment, [1])

    async def test_outage_in_the_middle_of_a_job(self) -> None:
        """Waiting tasks do not start on a stale view, and all complete after the outage."""
        async with (
            Deployment(spec(consortium_toml=SHORT_VIEW_AGE_TOML)) as deployment,
            trio.open_nursery() as nursery,
        ):
            job = await self.async_submit_job(deployment, nursery, 120, 0.3)
            await self.async_wait_for_starts(deployment, 24)
            await deployment.async_set_store_faults(down=True)
            await self._async_wait_for_stale_views(deployment)
            await deployment.async_set_store_faults(down=False)
            result = await job.async_result()
            self.assertIsInstance(result, JobComplete, result)
            self.assert_answer_matches_starts(deployment, job, result)
            self.assert_single_starts(deployment)
            await trio.sleep(1.5 * SHORT_VIEW_AGE_S)
            await self.async_assert_new_job_completes(deployment)

    async def test_change_is_published_once_despite_lost_answers(self) -> None:
        async with Deployment(spec()) as deployment:
            await deployment.async_set_store_faults(lose_answers=1)
            status, fate = await deployment.async_publish(
                "consortium/brunner/clocking", 'service = "clocking"\n', change_id="change-1"
            )
            self.assertEqual((200, True), (status, fate["accepted"]))
            status, again = await deployment.async_publish(
                "consortium/brunner/clocking",
                'service = "clocking"\n',
                change_id="change-1",
                entry=1,
            )
            self.assertEqual((200, fate["offset"]), (status, again["offset"]))

    async def test_late_append_is_not_applied_twice(self) -> None:
        """The store applies an unanswered append only after its retry has been published."""
        async with Deployment(spec()) as deployment:
            await deployment.async_set_store_faults(lose_answers=1, late_s=3.0)
            status, fate = await deployment.async_publish(
                "consortium/brunner/clocking", 'service = "clocking"\n', change_id="change-1"
            )
            self.assertEqual((200, True), (status, fate["accepted"]))
            status, later = await deployment.async_publish("consortium", "weight = 2.0\n")
            self.assertEqual(200, status)
            await trio.sleep(3.5)
            self.assertEqual(later["offset"], (await deployment.async_status(0))["offset"])

    async def test_concurrent_changes_conflict(self) -> None:
        """Of two concurrent changes that expect the same version, one is accepted."""
        async with Deployment(spec()) as deployment:
            outcomes: list[int] = []

            async def async_publish(entry: int, text: str) -> None:
                status, _ = await deployment.async_publish(
                    "consortium/new", text, entry=entry, expected_version=0
                )
                outcomes.append(status)

            async def async_domain(entry: int) -> None:
                status, _ = await deployment.async_set_domain_out(
                    "bern-a", out=entry == 0, entry=entry, expected_version=0
                )
                outcomes.append(status)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(async_publish, 0, "weight = 2.0\n")
                nursery.start_soon(async_publish, 1, "weight = 3.0\n")
            self.assertEqual([200, 409], sorted(outcomes))
            outcomes.clear()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(async_domain, 0)
                nursery.start_soon(async_domain, 1)
            self.assertEqual([200, 409], sorted(outcomes))
            await self._async_wait_for_equal_offsets(deployment)
            _, first = await deployment.async_call_operator("GET", "/v1/operator/settings", entry=0)
            _, second = await deployment.async_call_operator(
                "GET", "/v1/operator/settings", entry=1
            )
            self.assertEqual(first, second)

    async def test_new_instances_during_an_outage(self) -> None:
        """A new entry adopts its peers' state; a new agent waits for the end of the outage."""
        async with Deployment(spec(consortium_toml=START_THROUGH_OUTAGE_TOML)) as deployment:
            before = (await deployment.async_status(0))["offset"]
            await deployment.async_set_store_faults(down=True)
            entry = deployment.new_entry(2)
            entry.start()
            deployment.entries.append(entry)
            agent = deployment.new_agent(3, TargetSpec("bern-a"))
            agent.start()
            agent.target.start()
            deployment.agents.append(agent)
            await deployment.async_wait_accepting_agents(2, 3)
            self.assertEqual(before, (await deployment.async_status(2))["offset"])
            await self.async_assert_new_job_completes(deployment, [0, 1, 2])

            async def async_count() -> Any:
                url = f"{agent.target_url}/counts"
                return (await deployment.async_request_json("GET", url))[1]

            counts = await deployment.async_wait_until("the new target runs", async_count)
            self.assertEqual({}, counts["starts"])
            await deployment.async_set_store_faults(down=False)
            await deployment.async_wait_accepting_agents(2, 4)
            await self.async_assert_new_job_completes(deployment, [2])

    async def test_domain_out_while_the_log_is_down(self) -> None:
        """The change is refused as not run, and no task starts on a stale view."""
        async with Deployment(spec(consortium_toml=SHORT_VIEW_AGE_TOML)) as deployment:
            await deployment.async_set_store_faults(down=True)
            await self._async_wait_for_stale_views(deployment)
            status, problem = await deployment.async_set_domain_out(
                "bern-a", out=True, change_id="out-1"
            )
            self.assertEqual((503, "not_run"), (status, problem["verdict"]))
            client = deployment.client("brunner")
            (submission_id,) = await client.async_ids()
            result = await client.async_submit(submission_id, "clocking", [b"{}"] * 24, 5.0)
            self.assertEqual(Verdict.NOT_RUN, getattr(result, "verdict", None))
            self.assertEqual([], deployment.recorded_starts())
            await deployment.async_set_store_faults(down=False)
            status, fate = await deployment.async_set_domain_out(
                "bern-a", out=True, change_id="out-1"
            )
            self.assertEqual((200, True), (status, fate["accepted"]))
            await self.async_assert_new_job_completes(deployment)
            self.assertNotIn("bern-a", {start.domain for start in deployment.recorded_starts()})

    async def test_records_expired_before_a_process_starts(self) -> None:
        """A restarted entry reads the newest record of each key after older ones have expired."""
        async with Deployment(spec(entries=1)) as deployment:
            _, before = await deployment.async_call_operator("GET", "/v1/operator/settings")
            await deployment.async_expire_history()
            await deployment.entries[0].async_kill()
            deployment.entries[0].start()
            await deployment.async_wait_accepting_agents(0, 3)
            _, after = await deployment.async_call_operator("GET", "/v1/operator/settings")
            self.assertEqual(before["nodes"], after["nodes"])
            await self.async_assert_new_job_completes(deployment)

    async def test_invalid_record_does_not_stop_the_tail(self) -> None:
        async with Deployment(spec()) as deployment:
            for record in (b"garbage", b"\x01x\x81\x82\x18\x2a\x80", b"\x01y" + b"z" * 9, b""):
                await deployment.async_append_raw(TOPIC_SETTINGS, record)
            status, _ = await deployment.async_publish("consortium", "weight = 2.0\n")
            self.assertEqual(200, status)
            await self.async_assert_new_job_completes(deployment)

    async def test_slow_log(self) -> None:
        """Responses delayed by 0.4 s do not stop jobs, since a log read waits 1 s at most."""
        async with Deployment(spec(consortium_toml="view_max_age_s = 4.0\n")) as deployment:
            await deployment.async_set_store_faults(delay_s=0.4)
            client = deployment.client("brunner")
            for _ in range(3):
                result = await client.async_run("clocking", payloads(24, 0.2), 20.0)
                self.assertIsInstance(result, JobComplete, result)
            await client.async_close()

    async def _async_wait_for_stale_views(self, deployment: Deployment) -> None:
        async def async_check() -> bool:
            ages = [(await deployment.async_status(entry))["view_age_s"] for entry in (0, 1)]
            return min(ages) > 1.5

        await deployment.async_wait_until("stale views", async_check)

    async def _async_wait_for_equal_offsets(self, deployment: Deployment) -> None:
        async def async_check() -> bool:
            offsets = {(await deployment.async_status(entry))["offset"] for entry in (0, 1)}
            return len(offsets) == 1

        await deployment.async_wait_until("one offset", async_check)
