"""A start without an answer that a runner's next process carries out, on real processes."""

import time

import trio

from standins.platform_deployment import PlatformDeployment, PlatformSpec

from ..base import TestCase

LATE_S = 2.2  # after which the runner carries out starts without an answer
UP_S = 3.0  # for how long the runner has been up: a lease on its clock is far ahead on its next one
RUN_S = 4.0
DEADLINE_S = 8.0
SPEC = PlatformSpec(cores=8)
TASKS = 6  # some are placed at each agent


class LateStartsTest(TestCase):
    async def _async_wait_unanswered(self, deployment: PlatformDeployment) -> None:
        """Wait until the first agent has seen an unanswered start; it sends it again at once."""
        agent = deployment.agents[0]

        async def async_is_unanswered() -> bool:
            return "start_unanswered" in agent.log_text()

        await deployment.async_wait_until("a start is unanswered", async_is_unanswered)
        await deployment.async_set_runner_faults(0, late_share=0.0)
        await trio.sleep(0.2)

    async def test_task_runs_nowhere_else_while_its_start_may_come_after_its_agent_has_ended(
        self,
    ) -> None:
        """Guards against the entry placing it again once the agent's leases have ended."""
        async with PlatformDeployment(SPEC) as deployment, trio.open_nursery() as nursery:
            await trio.sleep(UP_S)
            await deployment.async_set_runner_faults(
                0, late_share=1.0, late_from_s=LATE_S, late_to_s=LATE_S
            )
            started_at_s = trio.current_time()
            nursery.start_soon(deployment.async_submit_job, TASKS, RUN_S, DEADLINE_S)
            await self._async_wait_unanswered(deployment)
            await deployment.agents[0].async_kill()
            restarted_at_s = time.time()
            await deployment.async_restart_runner(0)
            while trio.current_time() < started_at_s + LATE_S + RUN_S:
                await trio.sleep(0.2)
                overlapping = await deployment.async_overlapping_runs()
                self.assertEqual([], overlapping, deployment.directory)
            runs = (await deployment.async_run_histories())[0]
            late = [run for run in runs if run.started_at_s > restarted_at_s]
            self.assertTrue(late, "the runner has carried out no start")
            nursery.cancel_scope.cancel()
