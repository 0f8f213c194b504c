"""A search of all logs by a caller's id or a task's name shows what became of its runs."""

import secrets

from pistachiohill.explain.reader import parse_line
from standins.caller import CallerChannel
from standins.platform_deployment import PlatformDeployment, PlatformSpec

from ..base import TestCase


def find_events(deployment: PlatformDeployment, text: str) -> dict[str, dict[str, str]]:
    """Return the fields of the last event of each name, from all lines that contain a text."""
    found = {}
    for process in (*deployment.entries, *deployment.agents):
        for row in process.log_text().splitlines():
            line = parse_line(row)
            if line is not None and text in row:
                found[line.event] = dict(line.fields)
    return found


class RunLogsTest(TestCase):
    async def test_one_search_finds_the_placement_start_and_end_of_a_run(self) -> None:
        async with PlatformDeployment(PlatformSpec()) as deployment:
            key = secrets.token_hex(8)
            channel = await CallerChannel.async_open(deployment.entries[0].url)
            await channel.async_send_job(key, 2, 0.2, 5.0)
            self.assertEqual(200, await channel.async_read_status(5.0))
            await channel.async_close()

            async def async_is_logged() -> bool:
                return "tasks_settled" in find_events(deployment, key)

            await deployment.async_wait_until("the log lines are written", async_is_logged)
            for name in (f"{key}.0.0.0", f"{key}.0.0.1"):
                events = find_events(deployment, name)
                for event in ("tasks_placed", "tasks_settled"):
                    self.assertIn("agent", events[event])
                self.assertIn("entry", events["tasks_received"])
                for event in ("run_started", "run_ended"):
                    self.assertEqual("1", events[event]["run"])
                    self.assertTrue(events[event]["runner"])
            self.assertIn("job_accepted", find_events(deployment, key))

    async def test_one_search_finds_why_a_run_was_stopped(self) -> None:
        async with PlatformDeployment(PlatformSpec()) as deployment:
            key = secrets.token_hex(8)
            channel = await CallerChannel.async_open(deployment.entries[0].url)
            await channel.async_send_job(key, 1, 2.0, 5.0)

            async def async_has_started() -> bool:
                return "run_started" in find_events(deployment, key)

            async def async_has_ended() -> bool:
                return "tasks_settled" in find_events(deployment, key)

            await deployment.async_wait_until("the run has started", async_has_started)
            await channel.async_close()
            await deployment.async_wait_until("the run has ended", async_has_ended)
            events = find_events(deployment, f"{key}.0.0.0")
            self.assertEqual("cancelled", events["task_stopped"]["reason"])
            self.assertTrue(events["run_stopped"]["runner"])
            self.assertEqual("cancelled", events["run_ended"]["reason"])
            self.assertIn("agent", events["tasks_cancelled"])
            self.assertIn("caller_left", find_events(deployment, key))
