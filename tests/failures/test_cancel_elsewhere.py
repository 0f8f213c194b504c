"""Jobs that are cancelled at another entry than the one that runs them."""

import secrets

import trio

from standins.caller import CallerChannel
from standins.platform_deployment import CALLER_HOST, PlatformDeployment, PlatformSpec

from ..base import TestCase

RUN_S = 4.0
DEADLINE_S = 8.0
STOPPED_S = 1.0  # time in which the runs of a cancelled job have to end
ANNOUNCED_S = 1.0  # age at which the other entries have been told of a job
SPEC = PlatformSpec(domains=("bern-a",), cores=8)


class CancelElsewhereTest(TestCase):
    async def _async_cancel(self, deployment: PlatformDeployment, entry: int, key: str) -> int:
        url = f"{deployment.entries[entry].url}/stamp/{key}"
        return (await deployment.async_call("DELETE", url, None, {"Host": CALLER_HOST}))[0]

    async def test_job_is_cancelled_at_another_entry(self) -> None:
        """Whether the others have been told of it or not; its runs have to end."""
        async with PlatformDeployment(SPEC) as deployment:
            for age_s in (0.3, ANNOUNCED_S):
                key = secrets.token_hex(8)
                channel = await CallerChannel.async_open(deployment.entries[0].url)
                await channel.async_send_job(key, 2, RUN_S, DEADLINE_S)
                await trio.sleep(age_s)
                self.assertEqual(200, await self._async_cancel(deployment, 1, key))
                reply = await channel.async_read_reply(STOPPED_S)
                self.assertEqual((200, "failed"), (reply.status, reply.state), age_s)
                (runs,) = await deployment.async_run_histories()
                self.assertEqual({"stopped"}, {run.outcome for run in runs}, age_s)
                self.assertEqual(410, await self._async_cancel(deployment, 1, key))
                await channel.async_close()
            self.assertEqual(4, len(runs))
