"""An older manifest whose write is carried out late, and entries that start afterwards."""

import json
import signal

import trio

from pistachiohill.platform.const import TOPIC_OPERATORS
from pistachiohill.platform.store import StoreClient
from standins.platform_deployment import ROUTE, SERVICE, PlatformDeployment, PlatformSpec

from ..base import TestCase

SPEC = PlatformSpec(domains=("bern-a",), entries=2)
ADDED_PATH = "/later/"
IN_FORCE_S = 2.0  # configApplyMs in the users' requirements
KEPT_S = 3.0  # contactMs in the users' requirements


class OlderManifestTest(TestCase):
    async def _async_write_first_version_late(self, deployment: PlatformDeployment) -> None:
        value = {"version": 3, "routes": [ROUTE], "services": [{"name": SERVICE}], "limits": {}}
        store = StoreClient(deployment.store_url)
        await store.async_append(TOPIC_OPERATORS, "config", json.dumps(value).encode())
        await trio.sleep(0.2)

    async def _async_restart_in_turn(self, deployment: PlatformDeployment) -> None:
        for index, entry in enumerate(deployment.entries):
            entry.signal(signal.SIGTERM)
            await entry.async_wait()
            await self._async_start(deployment, index)

    async def _async_start(self, deployment: PlatformDeployment, index: int) -> None:
        deployment.entries[index].start()
        await deployment.async_wait_until("ready", lambda: deployment.async_is_ready(index))
        served = await deployment.async_has_route(index, ADDED_PATH)
        self.assertTrue(served, deployment.directory)

    async def test_entries_restarted_in_turn_keep_the_newer_manifest(self) -> None:
        async with PlatformDeployment(SPEC) as deployment:
            await deployment.async_add_route(ADDED_PATH)
            await trio.sleep(IN_FORCE_S)
            await self._async_write_first_version_late(deployment)
            await self._async_restart_in_turn(deployment)
            self.assertTrue(await deployment.async_has_route(0, ADDED_PATH), deployment.directory)
            deployment.routes.pop()  # operators may return to older routes by a newer version
            await deployment.async_publish()
            await trio.sleep(IN_FORCE_S)
            self.assertFalse(await deployment.async_has_route(0, ADDED_PATH))

    async def test_entries_that_all_start_after_a_late_write_take_the_newer_manifest(self) -> None:
        async with PlatformDeployment(SPEC) as deployment:
            await deployment.async_add_route(ADDED_PATH)
            await trio.sleep(IN_FORCE_S)
            for entry in deployment.entries:
                await entry.async_kill()
            await self._async_write_first_version_late(deployment)
            for index in range(SPEC.entries):
                await self._async_start(deployment, index)

    async def test_newer_manifest_is_kept_though_the_store_was_away_before_the_restarts(
        self,
    ) -> None:
        async with PlatformDeployment(SPEC) as deployment:
            await deployment.async_add_route(ADDED_PATH)
            await self._async_write_first_version_late(deployment)
            await deployment.async_set_store_faults(down=True)
            await trio.sleep(1.0)
            await deployment.async_set_store_faults(down=False)
            await trio.sleep(KEPT_S)
            await self._async_restart_in_turn(deployment)
