"""Announcements of a runner: those that are late or malformed are not passed on."""

import json
import math
from typing import Any

from pistachiohill.http.app import HttpApp
from pistachiohill.http.models import Request
from pistachiohill.platform.models import RunnerAnnouncement
from pistachiohill.platform.registry import RunnerRegistry
from pistachiohill.scheduling.models import Demand

from ..base import TestCase

ANNOUNCEMENT: dict[str, Any] = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "bern-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldLeftMs": 0,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clockMs": 482113,
    "born": 1000,
    "seq": 4,
}


class RegistryTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.announcements: list[RunnerAnnouncement] = []
        self.deregistered: list[str] = []
        self.app = HttpApp(
            RunnerRegistry(
                self._on_announcement, self._on_out_of_order, self._on_deregister
            ).routes(),
            65536,
        )

    def _on_announcement(self, announcement: RunnerAnnouncement, now_s: float) -> None:
        self.assertGreater(now_s, 0.0)
        self.announcements.append(announcement)

    def _on_out_of_order(self, announcement: RunnerAnnouncement, now_s: float) -> None:
        self.assertNotIn(announcement, self.announcements)

    def _on_deregister(self, runner_id: str, now_s: float) -> None:
        self.assertGreater(now_s, 0.0)
        self.deregistered.append(runner_id)

    async def _async_announce(self, **changes: Any) -> int:
        body = json.dumps({**ANNOUNCEMENT, **changes}).encode()
        return await self._async_call("PUT", body)

    async def _async_call(self, method: str, body: bytes = b"") -> int:
        request = Request(method, "/api/instances/i-1", {}, {}, body)
        return (await self.app.async_handle(request)).status

    async def test_announcement_is_decoded(self) -> None:
        self.assertEqual(200, await self._async_announce())
        expected = RunnerAnnouncement(
            "i-1", 1000, 4, "huvo11a", "10.128.0.9:8080", Demand(16000, 32768), False, 482.113
        )
        self.assertEqual([expected], self.announcements)
        self.assertEqual(200, await self._async_announce(seq=5, state="draining"))
        self.assertTrue(self.announcements[-1].leaving)

    async def test_the_notice_of_a_leaving_runner_is_read(self) -> None:
        await self._async_announce(seq=5, state="draining")
        for seq, notice in enumerate((1800, 0), 6):
            await self._async_announce(seq=seq, state="draining", remainingMs=notice)
        expected = [math.inf, 1.8, 0.0]
        self.assertEqual(expected, [item.remaining_s for item in self.announcements])
        self.assertTrue(all(item.leaving for item in self.announcements))
        for notice in (None, "soon", -5):
            status = await self._async_announce(seq=9, state="draining", remainingMs=notice)
            self.assertEqual(400, status, notice)

    async def test_late_announcements_are_acknowledged_and_ignored(self) -> None:
        await self._async_announce(seq=9)
        self.assertEqual(200, await self._async_announce(seq=8, state="draining"))
        await self._async_announce(seq=1, born=2000)
        self.assertEqual(200, await self._async_announce(seq=10, born=1000))
        self.assertEqual(
            [(1000, 9), (2000, 1)], [(a.born_ms, a.sequence) for a in self.announcements]
        )

    async def test_malformed_announcements_are_refused(self) -> None:
        for changes in (
            {"state": "resting"},
            {"seq": "4"},
            {"address": 5},
            {"service": None},
            {"capacity": {"cpu": "many", "memMb": 1}},
            {"capacity": None},
            {"born": 1.5},
        ):
            self.assertEqual(400, await self._async_announce(**changes))
        for body in (b"", b"\xff\xfe", b"[]", b"{}", b'{"seq":1'):
            self.assertEqual(400, await self._async_call("PUT", body))
        self.assertEqual([], self.announcements)
        self.assertEqual(200, await self._async_announce())

    async def test_runner_is_deregistered(self) -> None:
        self.assertEqual(200, await self._async_call("DELETE"))
        self.assertEqual(["i-1"], self.deregistered)
