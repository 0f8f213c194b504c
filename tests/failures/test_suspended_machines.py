"""Machines that are suspended: an agent and its runner, whose clock stands still meanwhile."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio

from standins.platform_deployment import PlatformDeployment, PlatformSpec

from ..base import TestCase

SUSPENDED_S = 4.0
BRIEFLY_S = 0.9  # shorter than the time after which entries take the runs for ended
CALM_S = 3.0
UNTIL_PLACED_S = 1.0
CUT_S = 3.0
RUN_S = 4.0
DEADLINE_S = 15.0
SPEC = PlatformSpec(cores=4)
TASKS = 9  # some are placed at each agent


class SuspendedMachinesTest(TestCase):
    @asynccontextmanager
    async def _jobs(self, deployment: PlatformDeployment) -> AsyncIterator[None]:
        """Check that no task of a job has two runs at once after the machine has resumed."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(deployment.async_submit_job, TASKS, RUN_S, DEADLINE_S)
            await trio.sleep(UNTIL_PLACED_S)
            yield
            await trio.sleep(CUT_S)
            await deployment.async_set_runner_faults(0, silent=False)
            await trio.sleep(RUN_S)
            pairs = await deployment.async_overlapping_runs()
            resumed_at_s = deployment.resumed_at_s
            after = [pair for pair in pairs if min(run.ended_at_s for run in pair) > resumed_at_s]
            self.assertEqual([], after, deployment.directory)
            nursery.cancel_scope.cancel()

    async def test_runs_go_on_for_no_longer_than_the_agent_assumes_after_a_suspension(self) -> None:
        """Guards against leases that are too long by the time of a suspension before them."""
        async with PlatformDeployment(SPEC) as deployment:
            await deployment.async_suspend_machine(0, SUSPENDED_S, cut_off=False)
            await trio.sleep(CALM_S)
            async with self._jobs(deployment):
                await deployment.async_set_runner_faults(0, silent=True)

    async def test_lease_has_not_ended_when_a_machine_resumes(self) -> None:
        """Guards against counting a suspension as time in which the runner's lease ran out."""
        async with PlatformDeployment(SPEC) as deployment, self._jobs(deployment):
            await deployment.async_suspend_machine(0, BRIEFLY_S, cut_off=True)

    async def test_runs_do_not_go_on_beside_others_after_a_suspension_of_seconds(self) -> None:
        """Entries place the tasks elsewhere meanwhile, as they can't tell it from a loss."""
        async with PlatformDeployment(SPEC) as deployment, self._jobs(deployment):
            await deployment.async_suspend_machine(0, SUSPENDED_S, cut_off=False)
