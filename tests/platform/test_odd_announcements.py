"""Announcements of another writer name no runner, and the real runner's go on being followed."""

import json
from typing import Any
from unittest import mock

from pistachiohill import clock
from pistachiohill.http.app import HttpApp
from pistachiohill.http.models import Request
from pistachiohill.platform.models import RunnerAnnouncement
from pistachiohill.platform.registry import RunnerRegistry

from ..base import TestCase

HEARTBEAT_S = 1.5
HUGE = 10**400
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
    "born": 1_700_000_000_000,
    "seq": 4,
}
NEWER_BORN_MS = ANNOUNCEMENT["born"] + 5000


class OddAnnouncementTest(TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.announcements: list[RunnerAnnouncement] = []
        self.deregistered: list[str] = []
        self.now_s = 1000.0
        self.app = HttpApp(
            RunnerRegistry(
                self._on_announcement, self._on_out_of_order, self._on_deregister
            ).routes(),
            4 * 1024 * 1024,
        )
        for name in ("boot_s", "wall_s"):
            patch = mock.patch.object(clock, name, getattr(self, f"_{name}"))
            patch.start()
            self.addCleanup(patch.stop)

    def _boot_s(self) -> float:
        return self.now_s

    def _wall_s(self) -> float:
        return ANNOUNCEMENT["born"] / 1000 + self.now_s

    def _on_announcement(self, announcement: RunnerAnnouncement, now_s: float) -> None:
        self.announcements.append(announcement)

    def _on_out_of_order(self, announcement: RunnerAnnouncement, now_s: float) -> None:
        self.assertNotIn(announcement, self.announcements)

    def _on_deregister(self, runner_id: str, now_s: float) -> None:
        self.deregistered.append(runner_id)

    async def _async_announce(self, runner_id: str = "i-1", **changes: Any) -> int:
        body = json.dumps({**ANNOUNCEMENT, **changes}).encode()
        return await self._async_put(body, runner_id)

    async def _async_put(self, body: bytes, runner_id: str = "i-1") -> int:
        request = Request("PUT", f"/api/instances/{runner_id}", {}, {}, body)
        return (await self.app.async_handle(request)).status

    async def _async_delete(self, runner_id: str) -> int:
        request = Request("DELETE", f"/api/instances/{runner_id}", {}, {}, b"")
        return (await self.app.async_handle(request)).status

    async def _async_heartbeats(self, seqs: range, **changes: Any) -> None:
        """Announce at the pace of a live runner."""
        for seq in seqs:
            await self._async_announce(seq=seq, **changes)
            self.now_s += HEARTBEAT_S

    def _sequences(self) -> list[int]:
        return [item.sequence for item in self.announcements]

    async def test_number_out_of_range_is_refused(self) -> None:
        capacity = ANNOUNCEMENT["capacity"]
        odd: list[dict[str, Any]] = [
            {name: value}
            for name in ("clockMs", "seq", "born")
            for value in (HUGE, 10**30, -1, True, 1.0, 1e300, "1")
        ]
        odd += [
            {"capacity": {**capacity, name: value}}
            for name in ("cpu", "memMb")
            for value in (HUGE, 10**18, -1, True, 0.5, None)
        ]
        for changes in odd:
            self.assertEqual(400, await self._async_announce(**changes), changes)
        for literal in (b"NaN", b"Infinity", b"-Infinity", b"1e999", b"9" * 5000):
            body = json.dumps({**ANNOUNCEMENT, "clockMs": 0}).encode()
            odd_body = body.replace(b'"clockMs": 0', b'"clockMs": ' + literal)
            self.assertNotEqual(body, odd_body)
            self.assertEqual(400, await self._async_put(odd_body), literal)
        self.assertEqual([], self.announcements)

    async def test_announcement_that_is_not_whole_is_refused(self) -> None:
        """A field is missing or of another type, also one that the agent has no use for."""
        odd: dict[str, tuple[Any, ...]] = {
            "zone": (5, None, "\ud800"),
            "version": (5, None, ["v1"]),
            "slots": ("8", -1, 1.5, True, None),
            "coldLeftMs": ("0", -1, None),
            "labels": ("a", {}, [1], None),
            "remainingMs": ("5", -1, None),
        }
        for name, values in odd.items():
            for value in values:
                self.assertEqual(400, await self._async_announce(**{name: value}), (name, value))
        capacity = ANNOUNCEMENT["capacity"]
        for gpu in ("0", -1, None):
            status = await self._async_announce(capacity={**capacity, "gpu": gpu})
            self.assertEqual(400, status, gpu)
        for name in set(ANNOUNCEMENT) - {"born"}:
            fields = {key: value for key, value in ANNOUNCEMENT.items() if key != name}
            self.assertEqual(400, await self._async_put(json.dumps(fields).encode()), name)
        for name in capacity:
            part = {key: value for key, value in capacity.items() if key != name}
            self.assertEqual(400, await self._async_announce(capacity=part), name)
        self.assertEqual([], self.announcements)
        self.assertEqual(200, await self._async_announce(remainingMs=500, state="draining"))

    async def test_sequence_number_far_ahead_does_not_silence_the_runner(self) -> None:
        """The runner's own numbers are lower, but its clock has gone on."""
        await self._async_announce(seq=4, clockMs=10_000)
        await self._async_announce(seq=90, clockMs=10_500)
        await self._async_announce(seq=5, clockMs=11_500)
        self.assertEqual(5, self._sequences()[-1])
        await self._async_announce(seq=91, clockMs=10**9)
        await self._async_announce(seq=6, clockMs=12_500)
        self.assertEqual([5, 6], self._sequences()[-2:])

    async def test_earlier_announcement_with_a_later_sequence_number_is_ignored(self) -> None:
        await self._async_announce(seq=4, clockMs=10_000)
        await self._async_announce(seq=5, clockMs=11_500)
        await self._async_announce(seq=9, clockMs=10_000)
        self.assertEqual([4, 5], self._sequences())

    async def test_deeply_nested_announcement_is_refused(self) -> None:
        for depth in (900, 1000, 100_000, 200_000):
            for start, end in ((b"[", b"]"), (b'{"a":', b"}")):
                for body in (start * depth, start * depth + b"1" + end * depth):
                    self.assertEqual(400, await self._async_put(body), (depth, start))
        self.assertEqual([], self.announcements)

    async def test_address_that_names_no_runner_is_refused(self) -> None:
        for address in (
            "",
            "x",
            "10.128.0.9",
            "10.128.0.9:",
            "10.128.0.9:abc",
            "10.128.0.9:0",
            "10.128.0.9:-1",
            "10.128.0.9:65536",
            "10.128.0.9:99999",
            "10.128.0.9:8_0",
            "10.128.0.9:\u0663",
            "10.128.0.9 :80",
            "10.128.0.9\0:80",
            "10.128.0.9:80\n",
            "10.128.0.9\r\nX: y:80",
            "10.128.0.9:80:80",
            "256.1.1.1:80",
            "1:80",
            "0.0.0.0:80",
            "255.255.255.255:80",
            "224.0.0.1:80",
            "runner.example:80",
            "[::1]:80",
            "a" * 64 + ":80",
            "\ud800:80",
            "http://10.128.0.9:80",
        ):
            self.assertEqual(400, await self._async_announce(address=address), address)
        self.assertEqual([], self.announcements)

    async def test_name_that_can_not_be_sent_on_is_refused(self) -> None:
        for service in ("", "\ud800", "s\0", "s\r\n", "s" * 65, "s" * 3_000_000):
            self.assertEqual(400, await self._async_announce(service=service), service[:9])
        for runner_id in ("i-1\r\nX: y", "i 1", "i-\0", "i-\xff", "i-\u2603", "i" * 129):
            self.assertEqual(400, await self._async_announce(runner_id), runner_id[:9])
        self.assertEqual([], self.announcements)

    async def test_deregistration_with_an_odd_id_is_refused(self) -> None:
        await self._async_announce()
        for runner_id in ("i-1\r\nX: y", "i 1", "i-\0", "i-\xff", "i" * 129):
            self.assertEqual(400, await self._async_delete(runner_id), runner_id[:9])
        self.assertEqual([], self.deregistered)
        self.assertEqual(200, await self._async_delete("i-1"))
        self.assertEqual(["i-1"], self.deregistered)

    async def test_start_time_in_the_future_is_refused(self) -> None:
        for born_ms in (int(self._wall_s() * 1000) + 120_000, 10**15, 10**18):
            self.assertEqual(400, await self._async_announce(born=born_ms), born_ms)
        self.assertEqual([], self.announcements)

    async def test_clock_stepped_back_by_seconds_does_not_refuse_a_new_process(self) -> None:
        self.assertEqual(200, await self._async_announce(born=int(self._wall_s() * 1000) + 8000))
        self.assertEqual(1, len(self.announcements))

    async def test_heartbeats_are_followed_after_one_that_was_far_ahead(self) -> None:
        await self._async_heartbeats(range(4, 7))
        await self._async_announce(seq=10**12)
        await self._async_heartbeats(range(7, 14))
        self.assertEqual(13, self._sequences()[-1])

    async def test_heartbeats_are_followed_after_one_of_a_later_start(self) -> None:
        await self._async_heartbeats(range(4, 7))
        await self._async_announce(seq=1, born=ANNOUNCEMENT["born"] + 3000)
        await self._async_heartbeats(range(7, 14))
        last = self.announcements[-1]
        self.assertEqual((ANNOUNCEMENT["born"], 13), (last.born_ms, last.sequence))

    async def test_heartbeats_are_followed_if_the_first_was_far_ahead(self) -> None:
        await self._async_announce(seq=10**12)
        await self._async_heartbeats(range(4, 11))
        self.assertEqual(10, self._sequences()[-1])

    async def test_late_heartbeats_are_ignored(self) -> None:
        await self._async_announce(seq=20, born=NEWER_BORN_MS)
        for born_ms, seq in ((ANNOUNCEMENT["born"], 90), (NEWER_BORN_MS, 19)):
            self.now_s += 10 * HEARTBEAT_S
            await self._async_announce(seq=seq, born=born_ms)
        self.assertEqual([20], self._sequences())

    async def test_late_heartbeats_that_arrive_together_are_ignored(self) -> None:
        await self._async_announce(seq=1, born=NEWER_BORN_MS)
        for _ in range(2):
            self.now_s += 10 * HEARTBEAT_S
            for seq in range(80, 90):
                await self._async_announce(seq=seq)
        self.assertEqual([1], self._sequences())

    async def test_late_heartbeats_are_ignored_while_newer_ones_arrive(self) -> None:
        for number in range(8):
            await self._async_announce(seq=number + 1, born=NEWER_BORN_MS)
            await self._async_announce(seq=80 + number)
            self.now_s += HEARTBEAT_S
        self.assertEqual(list(range(1, 9)), self._sequences())

    async def test_another_service_does_not_displace_the_runner(self) -> None:
        await self._async_heartbeats(range(4, 6))
        await self._async_announce(seq=7, service="unnamed")
        await self._async_announce("i-2", seq=1, service="unnamed", born=NEWER_BORN_MS)
        await self._async_heartbeats(range(8, 10))
        self.assertEqual([4, 5, 8, 9], self._sequences())
        self.assertEqual({"huvo11a"}, {item.service for item in self.announcements})

    async def test_another_address_does_not_displace_the_runner(self) -> None:
        await self._async_heartbeats(range(4, 6))
        await self._async_announce(seq=7, address="10.128.0.10:8080")
        await self._async_heartbeats(range(8, 10))
        self.assertEqual({"10.128.0.9:8080"}, {item.address for item in self.announcements})
        self.assertEqual([4, 5, 8, 9], self._sequences())

    async def test_runner_of_another_service_is_followed_if_it_goes_on(self) -> None:
        await self._async_heartbeats(range(4, 6))
        await self._async_heartbeats(range(1, 6), service="other", born=NEWER_BORN_MS)
        self.assertEqual("other", self.announcements[-1].service)

    async def test_new_process_is_followed_although_its_clock_was_set_back(self) -> None:
        await self._async_heartbeats(range(4, 6), born=NEWER_BORN_MS)
        await self._async_heartbeats(range(1, 6))
        last = self.announcements[-1]
        self.assertEqual((ANNOUNCEMENT["born"], 5), (last.born_ms, last.sequence))

    async def test_new_process_is_followed_at_once(self) -> None:
        await self._async_heartbeats(range(4, 6))
        await self._async_announce(seq=1, born=NEWER_BORN_MS)
        await self._async_announce("i-2", seq=1, born=NEWER_BORN_MS + 1, address="10.128.0.9:81")
        self.assertEqual([4, 5, 1, 1], self._sequences())
