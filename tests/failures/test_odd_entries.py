"""Odd entries of another writer in real processes: all go on, and later entries are followed."""

import json
import time
from typing import Any

import cbor2
import trio

from pistachiohill.consortium.const import TOPIC_PROCESSES
from pistachiohill.platform.const import TOPIC_OPERATORS
from pistachiohill.platform.store import StoreClient
from pistachiohill.protocol.models import MESSAGE_TAGS, AnnounceRecord
from standins.platform_deployment import ROUTE, PlatformDeployment, PlatformSpec

from ..base import TestCase

HUGE = 10**400
OBSERVED_S = 3.0
SPEC = PlatformSpec(domains=("bern-a",), entries=1)
ANNOUNCEMENT: dict[str, Any] = {
    "service": "odd",
    "address": "127.0.0.1:1",
    "state": "ready",
    "capacity": {"cpu": 1000, "memMb": 1000, "gpu": 0},
    "clockMs": 1,
    "seq": 1,
}


class OddEntriesTest(TestCase):
    async def _async_assert_all_go_on(self, deployment: PlatformDeployment) -> None:
        await trio.sleep(OBSERVED_S)
        for process in (*deployment.entries, *deployment.agents):
            assert process.popen is not None
            self.assertIsNone(process.popen.poll(), process.log_text()[-2000:])
        await deployment.async_add_route("/later/")
        await deployment.async_wait_until(
            "the later route", lambda: deployment.async_has_route(0, "/later/"), 5.0
        )
        self.assertEqual("completed", (await deployment.async_submit_job()).state)

    async def test_odd_manifests_do_not_end_the_entries(self) -> None:
        async with PlatformDeployment(SPEC) as deployment:
            store = StoreClient(deployment.store_url)
            odd = {"version": 1, "routes": [{**ROUTE, "slackFactor": HUGE}]}
            for body in (json.dumps(odd).encode(), b"[" * 200_000, b'{"version":%d}' % HUGE):
                await store.async_append(TOPIC_OPERATORS, "config", body)
                await trio.sleep(0.2)
            await self._async_assert_all_go_on(deployment)

    async def test_odd_process_records_do_not_end_the_entries(self) -> None:
        async with PlatformDeployment(SPEC) as deployment:
            store = StoreClient(deployment.store_url)
            for number, (role, host, port) in enumerate(
                (("agent", "a" * 64, 80), ("entry", "a" * 64, 80), ("agent", "127.0.0.1", HUGE))
            ):
                fields = [role, f"odd{number}", "bern-a", host, port]
                record = cbor2.dumps([[MESSAGE_TAGS[AnnounceRecord], fields]])
                await store.async_append(TOPIC_PROCESSES, f"odd{number}", record)
            await self._async_assert_all_go_on(deployment)

    async def test_odd_announcements_do_not_end_the_agent(self) -> None:
        async with PlatformDeployment(SPEC) as deployment:
            (argument,) = (
                item for item in deployment.agents[0].runner.args if item.startswith("--agent_url=")
            )
            url = f"{argument.removeprefix('--agent_url=')}/api/instances/odd"
            born_ms = int(time.time() * 1000)
            for changes in (
                {"address": "a" * 64 + ":80"},
                {"address": "x"},
                {"clockMs": HUGE},
                {"capacity": {"cpu": HUGE, "memMb": HUGE}},
                {"born": 10**18},
                {"seq": 10**30},
            ):
                body = json.dumps({**ANNOUNCEMENT, "born": born_ms, **changes}).encode()
                await deployment.async_call("PUT", url, body, {})
                await trio.sleep(0.1)
            await self._async_assert_all_go_on(deployment)
