"""A runner's announcements: the latest life and call count, garbage names no runner."""

import json
from typing import Any

from pistachiohill.http.models import Request
from pistachiohill.http.server import HttpApp
from pistachiohill.platform.models import RunnerBeat
from pistachiohill.platform.registry import RunnerRegistry
from pistachiohill.scheduling.models import Demand

from ..base import TestCase

BEAT: dict[str, Any] = {
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
        self.beats: list[RunnerBeat] = []
        self.gone: list[str] = []
        self.app = HttpApp(RunnerRegistry(self._announced, self._gone).routes(), 65536)

    def _announced(self, beat: RunnerBeat, now_s: float) -> None:
        self.assertGreater(now_s, 0.0)
        self.beats.append(beat)

    def _gone(self, runner_id: str, now_s: float) -> None:
        self.assertGreater(now_s, 0.0)
        self.gone.append(runner_id)

    async def _async_beat(self, **changes: Any) -> int:
        body = json.dumps({**BEAT, **changes}).encode()
        return await self._async_call("PUT", body)

    async def _async_call(self, method: str, body: bytes = b"") -> int:
        request = Request(method, "/api/instances/i-1", {}, {}, body)
        return (await self.app.async_handle(request)).status

    async def test_a_beat_is_decoded(self) -> None:
        self.assertEqual(200, await self._async_beat())
        expected = RunnerBeat(
            "i-1", 1000, 4, "huvo11a", "10.128.0.9:8080", Demand(16000, 32768), False, 482.113
        )
        self.assertEqual([expected], self.beats)
        self.assertEqual(200, await self._async_beat(seq=5, state="draining"))
        self.assertTrue(self.beats[-1].leaving)

    async def test_late_beats_are_acknowledged_and_passed_over(self) -> None:
        await self._async_beat(seq=9)
        self.assertEqual(200, await self._async_beat(seq=8, state="draining"))
        await self._async_beat(seq=1, born=2000)
        self.assertEqual(200, await self._async_beat(seq=10, born=1000))
        self.assertEqual([(1000, 9), (2000, 1)], [(b.born_ms, b.sequence) for b in self.beats])

    async def test_what_another_writer_sends_names_no_runner(self) -> None:
        for changes in (
            {"state": "resting"},
            {"seq": "4"},
            {"address": 5},
            {"service": None},
            {"capacity": {"cpu": "many", "memMb": 1}},
            {"capacity": None},
            {"born": 1.5},
        ):
            self.assertEqual(400, await self._async_beat(**changes))
        for body in (b"", b"\xff\xfe", b"[]", b"{}", b'{"seq":1'):
            self.assertEqual(400, await self._async_call("PUT", body))
        self.assertEqual([], self.beats)
        self.assertEqual(200, await self._async_beat())

    async def test_a_runner_that_ends_is_gone(self) -> None:
        self.assertEqual(200, await self._async_call("DELETE"))
        self.assertEqual(["i-1"], self.gone)
