"""Crowds of misbehaving clients at every address of an entry and an agent, with low limits.

Checked are only the processes' lives, their memory and descriptors, and one job afterwards.
"""

from collections.abc import Callable
from typing import Any

from standins.platform_deployment import PlatformDeployment, PlatformSpec
from standins.processes import HOST, Process

from ..base import TestCase
from . import crowds
from .crowds import Door

CROWD = 120
MAX_DESCRIPTORS = 320
FILE_DESCRIPTORS = 200  # reserved for files on the platform's machines
MAX_GROWTH_BYTES = 20 * 1024 * 1024
OPTIONS = (
    "--memory_mb=64",
    "--client_memory_share=0.1",
    f"--max_descriptors={MAX_DESCRIPTORS}",
)
JOB_PATH = "/stamp/00112233445566aa"


class CrowdTest(TestCase):
    async def async_check(self, message: Callable[[Door], bytes], **crowd: Any) -> None:
        """Play a crowd at one door after the other, and check both processes."""
        async with self._deployment() as deployment:
            entry, agent = deployment.entries[0], deployment.agents[0]
            entry_doors = [
                Door(entry.url, "POST", JOB_PATH),
                Door(entry.url, "POST", "/nowhere"),
                Door(entry.ready_url.removesuffix("/api/ready"), "GET", "/api/ready"),
                Door(entry.http_url, "GET", "/metrics"),
            ]
            agent_doors = [
                Door(agent.control_url, "PUT", "/api/instances/r1"),
                Door(agent.http_url, "GET", "/metrics"),
            ]
            found = await self.async_play(deployment, entry, entry_doors, message, crowd)
            found += await self.async_play(deployment, agent, agent_doors, message, crowd)
            self.assertEqual([], found)
            await self.async_assert_serves(deployment)

    def _deployment(self) -> PlatformDeployment:
        return PlatformDeployment(PlatformSpec(domains=("bern-a",), entries=1, options=OPTIONS))

    async def async_play(
        self,
        deployment: PlatformDeployment,
        process: Process,
        doors: list[Door],
        message: Callable[[Door], bytes],
        options: dict[str, Any],
    ) -> list[str]:
        """Play a crowd at each door of a process; return which bounds were exceeded."""
        found = []
        began_bytes = process.rss_bytes()
        for door in doors:
            where = f"{process.name} {door.method} {door.path}"
            async with crowds.crowd(door, CROWD, message, **options):
                descriptors = crowds.open_descriptors(process)
                if descriptors > MAX_DESCRIPTORS - FILE_DESCRIPTORS:
                    found.append(f"{where}: {descriptors} descriptors")
                if not await deployment.async_is_ready(0):
                    found.append(f"{where}: not ready during the crowd")
        growth_bytes = crowds.peak_rss_bytes(process) - began_bytes
        if growth_bytes > MAX_GROWTH_BYTES:
            found.append(f"{process.name}: memory grew by {growth_bytes} bytes")
        return found

    async def async_assert_serves(self, deployment: PlatformDeployment) -> None:
        """Check that the processes live and that one ordinary job is served."""
        for process in (deployment.entries[0], deployment.agents[0]):
            assert process.popen is not None
            self.assertIsNone(process.popen.poll(), process.name)
        await deployment.async_wait_until("ready", lambda: deployment.async_is_ready(0))
        answer = await deployment.async_submit_job(tasks=2, deadline_s=20.0)
        self.assertEqual("completed", answer.state, answer)

    async def test_bodies_that_stop_short_of_their_end(self) -> None:
        await self.async_check(crowds.stalled_body)

    async def test_chunks_that_stop_short_of_their_end(self) -> None:
        await self.async_check(crowds.stalled_chunks)

    async def test_bodies_far_over_the_limit(self) -> None:
        await self.async_check(crowds.oversized_body)

    async def test_whole_bodies_of_tiny_steps(self) -> None:
        await self.async_check(crowds.tiny_steps)

    async def test_many_short_header_fields(self) -> None:
        await self.async_check(crowds.many_fields)

    async def test_requests_ahead_whose_answers_are_not_read(self) -> None:
        await self.async_check(crowds.requests_ahead)

    async def test_slow_senders(self) -> None:
        await self.async_check(crowds.half_a_head, dribble=True)

    async def test_connections_without_a_request(self) -> None:
        await self.async_check(crowds.nothing)

    async def test_frames_of_unknown_peers(self) -> None:
        async with self._deployment() as deployment:
            found = []
            for process in (deployment.entries[0], deployment.agents[0]):
                option = next(arg for arg in process.args if arg.startswith("--peer_port="))
                door = Door(f"http://{HOST}:{option.partition('=')[2]}", "GET", "/")
                found += await self.async_play(deployment, process, [door], crowds.peer_frame, {})
            self.assertEqual([], found)
            await self.async_assert_serves(deployment)
