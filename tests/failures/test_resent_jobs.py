"""Jobs that are sent again to another entry while the first one still runs them."""

import secrets
import signal
from collections.abc import Awaitable, Callable

import trio

from standins.caller import CallerChannel
from standins.platform_deployment import RESEND_DELAY_S, PlatformDeployment, PlatformSpec

from ..base import TestCase

LEAVE_AFTER_S = 0.4
RUN_S = 2.5
DEADLINE_S = 8.0
JOBS = 3  # entries that choose the same agent for a task don't run it twice at once
TASKS = 2
SPEC = PlatformSpec(cores=8)


async def async_send(deployment: PlatformDeployment, entry: int, key: str) -> CallerChannel:
    channel = await CallerChannel.async_open(deployment.entries[entry].url)
    await channel.async_send_job(key, TASKS, RUN_S, DEADLINE_S)
    return channel


class ResentJobsTest(TestCase):
    async def _async_check(
        self, async_disturb: Callable[[PlatformDeployment], Awaitable[None]]
    ) -> None:
        """Send jobs to one entry, disturb it, and send them to another in the opposite order.

        The channels to the first entry stay open. All jobs have to complete at the second one, and
        no task may have had concurrent runs.
        """
        async with PlatformDeployment(SPEC) as deployment:
            keys = [secrets.token_hex(8) for _ in range(JOBS)]
            channels = [await async_send(deployment, 0, key) for key in keys]
            await trio.sleep(LEAVE_AFTER_S)
            await async_disturb(deployment)
            channels += [await async_send(deployment, 1, key) for key in reversed(keys)]
            await self._async_assert_completed(deployment, channels[JOBS:])
            for channel in channels:
                await channel.async_close()

    async def _async_assert_completed(
        self, deployment: PlatformDeployment, channels: list[CallerChannel]
    ) -> None:
        statuses = [await channel.async_read_status(DEADLINE_S) for channel in channels]
        self.assertEqual([200] * len(channels), statuses, deployment.directory)
        self.assertEqual([], await deployment.async_overlapping_runs(), deployment.directory)

    async def test_job_does_not_run_at_two_entries_if_the_first_did_not_see_its_caller_leave(
        self,
    ) -> None:
        await self._async_check(lambda _: trio.sleep(RESEND_DELAY_S))

    async def test_job_does_not_run_at_two_entries_if_the_first_is_killed_before_it_is_sent_again(
        self,
    ) -> None:
        async def async_disturb(deployment: PlatformDeployment) -> None:
            await trio.sleep(RESEND_DELAY_S - 0.1)
            await deployment.entries[0].async_kill()
            await trio.sleep(0.1)

        await self._async_check(async_disturb)

    async def test_job_does_not_run_at_two_entries_while_the_first_drains(self) -> None:
        async def async_disturb(deployment: PlatformDeployment) -> None:
            deployment.entries[0].signal(signal.SIGTERM)
            await trio.sleep(RESEND_DELAY_S)

        await self._async_check(async_disturb)

    async def test_job_does_not_run_at_two_entries_if_its_caller_pipelined_another(self) -> None:
        """The first entry reads the second job only when it has answered the first."""
        await self._async_check_pipelined(ahead_s=RUN_S)

    async def test_job_read_behind_another_does_not_run_while_a_newer_request_is_served(
        self,
    ) -> None:
        """The first entry accepts it just after the second did, which has told nobody yet."""
        await self._async_check_pipelined(ahead_s=LEAVE_AFTER_S + RESEND_DELAY_S + 0.2)

    async def _async_check_pipelined(self, ahead_s: float) -> None:
        """Send jobs behind others of `ahead_s`, and send them to the other entry later."""
        async with PlatformDeployment(SPEC) as deployment:
            keys = [secrets.token_hex(8) for _ in range(JOBS)]
            channels = []
            for key in keys:
                channel = await CallerChannel.async_open(deployment.entries[0].url)
                await channel.async_send_job(secrets.token_hex(8), 1, ahead_s, DEADLINE_S)
                await channel.async_send_job(key, TASKS, RUN_S, DEADLINE_S)
                channels.append(channel)
            await trio.sleep(LEAVE_AFTER_S + RESEND_DELAY_S)
            channels += [await async_send(deployment, 1, key) for key in reversed(keys)]
            await self._async_assert_completed(deployment, channels[JOBS:])
            await trio.sleep(RUN_S)
            self.assertEqual([], await deployment.async_overlapping_runs(), deployment.directory)
            for channel in channels:
                await channel.async_close()
