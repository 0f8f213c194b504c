"""Jobs that are sent again to another entry while the first one still runs them."""

import secrets
import signal

import trio

from standins.caller import CallerChannel
from standins.platform_deployment import RESEND_DELAY_S, PlatformDeployment, PlatformSpec

from ..base import TestCase

LEAVE_AFTER_S = 0.4
RUN_S = 2.5
DEADLINE_S = 8.0
TASKS = 6


class ResentJobsTest(TestCase):
    async def _async_send(
        self, deployment: PlatformDeployment, entry: int, key: str
    ) -> CallerChannel:
        channel = await CallerChannel.async_open(deployment.entries[entry].url)
        await channel.async_send_job(key, TASKS, RUN_S, DEADLINE_S)
        return channel

    async def _async_assert_completes(
        self, deployment: PlatformDeployment, channel: CallerChannel
    ) -> None:
        """Check that a job completes on a channel, and that no task had concurrent runs."""
        self.assertEqual(200, await channel.async_read_status(DEADLINE_S), deployment.directory)
        self.assertEqual([], await deployment.async_overlapping_runs(), deployment.directory)

    async def test_job_does_not_run_at_two_entries_if_the_first_did_not_see_its_caller_leave(
        self,
    ) -> None:
        async with PlatformDeployment(PlatformSpec(cores=8)) as deployment:
            key = secrets.token_hex(8)
            first = await self._async_send(deployment, 0, key)
            await trio.sleep(LEAVE_AFTER_S + RESEND_DELAY_S)
            second = await self._async_send(deployment, 1, key)
            await self._async_assert_completes(deployment, second)
            await first.async_close()
            await second.async_close()

    async def test_job_does_not_run_at_two_entries_if_the_first_is_killed_before_it_is_sent_again(
        self,
    ) -> None:
        async with PlatformDeployment(PlatformSpec(cores=8)) as deployment:
            key = secrets.token_hex(8)
            first = await self._async_send(deployment, 0, key)
            await trio.sleep(LEAVE_AFTER_S + RESEND_DELAY_S - 0.1)
            await deployment.entries[0].async_kill()
            await trio.sleep(0.1)
            second = await self._async_send(deployment, 1, key)
            await self._async_assert_completes(deployment, second)
            await first.async_close()
            await second.async_close()

    async def test_job_does_not_run_at_two_entries_while_the_first_drains(self) -> None:
        async with PlatformDeployment(PlatformSpec(cores=8)) as deployment:
            key = secrets.token_hex(8)
            first = await self._async_send(deployment, 0, key)
            await trio.sleep(LEAVE_AFTER_S)
            deployment.entries[0].signal(signal.SIGTERM)
            await trio.sleep(RESEND_DELAY_S)
            second = await self._async_send(deployment, 1, key)
            await self._async_assert_completes(deployment, second)
            await first.async_close()
            await second.async_close()

    async def test_job_does_not_run_at_two_entries_if_its_caller_pipelined_another(self) -> None:
        """The first entry reads the second job only when it has answered the first."""
        async with PlatformDeployment(PlatformSpec(cores=8)) as deployment:
            ahead, key = secrets.token_hex(8), secrets.token_hex(8)
            first = await self._async_send(deployment, 0, ahead)
            await first.async_send_job(key, TASKS, RUN_S, DEADLINE_S)
            await trio.sleep(LEAVE_AFTER_S + RESEND_DELAY_S)
            second = await self._async_send(deployment, 1, key)
            await self._async_assert_completes(deployment, second)
            await trio.sleep(RUN_S)
            self.assertEqual([], await deployment.async_overlapping_runs(), deployment.directory)
            await first.async_close()
            await second.async_close()

    async def test_job_read_behind_another_does_not_run_while_a_newer_request_is_served(
        self,
    ) -> None:
        """The first entry accepts it just after the second did, which has told nobody yet."""
        async with PlatformDeployment(PlatformSpec(cores=8)) as deployment:
            ahead, key = secrets.token_hex(8), secrets.token_hex(8)
            first = await CallerChannel.async_open(deployment.entries[0].url)
            await first.async_send_job(ahead, 1, LEAVE_AFTER_S + RESEND_DELAY_S + 0.2, DEADLINE_S)
            await first.async_send_job(key, TASKS, RUN_S, DEADLINE_S)
            await trio.sleep(LEAVE_AFTER_S + RESEND_DELAY_S)
            second = await self._async_send(deployment, 1, key)
            await self._async_assert_completes(deployment, second)
            await first.async_close()
            await second.async_close()
