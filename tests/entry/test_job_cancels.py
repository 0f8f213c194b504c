"""Cancels that other entries are asked for, and what their silence means."""

from collections.abc import Callable

import trio.testing
from attrs import define, field

from pistachiohill.entry.job_cancels import Cancellation, JobCancels
from pistachiohill.protocol.models import CancelJob, JobCancelled, Message

from ..base import TestCase

KEY = "5c0e7a21d94b36f8"


@define(eq=False)
class FakePeers:
    """Linked entries by name: whether each has the job, None for one that is silent.

    The first `broken` requests end with their link, after which there is a new one.
    """

    has_job: dict[str, bool | None]
    broken: int = 0
    asked: list[str] = field(factory=list)

    def incarnations(self) -> set[str]:
        return set(self.has_job)

    def find_link(self, incarnation: str) -> str | None:
        return incarnation if incarnation in self.has_job else None

    async def async_request(
        self, link: str, build_request: Callable[[int], Message], timeout_s: float
    ) -> Message | None:
        request = build_request(7)
        assert isinstance(request, CancelJob)
        self.asked.append(request.key)
        if self.broken:
            self.broken -= 1
            return None
        found = self.has_job[link]
        if found is None:
            await trio.sleep(timeout_s)
            return None
        return JobCancelled(7, found)


class JobCancelsTest(TestCase):
    async def _async_check(self, expected: Cancellation, peers: FakePeers) -> None:
        cancels = JobCancels(peers)  # type: ignore[arg-type]
        self.assertEqual(expected, await cancels.async_cancel(KEY))
        self.assertTrue(set(peers.asked) <= {KEY})

    async def test_one_of_the_others_has_the_job_though_a_further_one_is_silent(self) -> None:
        await self._async_check(
            Cancellation.CANCELLED, FakePeers({"a": False, "b": True, "c": None})
        )

    async def test_job_that_nobody_has_is_not_found(self) -> None:
        await self._async_check(Cancellation.NOT_FOUND, FakePeers({"a": False, "b": False}))
        await self._async_check(Cancellation.NOT_FOUND, FakePeers({}))

    async def test_job_is_not_denied_while_an_entry_that_may_have_it_is_silent(self) -> None:
        await self._async_check(Cancellation.UNANSWERED, FakePeers({"a": False, "b": None}))

    async def test_entry_is_asked_again_over_a_new_link(self) -> None:
        peers = FakePeers({"a": True}, broken=1)
        await self._async_check(Cancellation.CANCELLED, peers)
        self.assertEqual(2, len(peers.asked))
