"""Cancels that other entries are asked for, and what their silence means."""

from collections.abc import Callable

import trio
from attrs import define

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

    def incarnations(self) -> set[str]:
        return set(self.has_job)

    def find_link(self, incarnation: str) -> str:
        return incarnation

    async def async_request(
        self, link: str, build_request: Callable[[int], Message], timeout_s: float
    ) -> Message | None:
        assert build_request(7) == CancelJob(7, KEY)
        self.broken -= 1
        found = self.has_job[link]
        if self.broken >= 0:
            return None
        if found is None:
            await trio.sleep(timeout_s)
            return None
        return JobCancelled(7, found)


CASES: tuple[tuple[dict[str, bool | None], int, Cancellation], ...] = (
    ({"a": False, "b": True, "c": None}, 0, Cancellation.CANCELLED),
    ({"a": True}, 1, Cancellation.CANCELLED),
    ({"a": False, "b": False}, 0, Cancellation.NOT_FOUND),
    ({}, 0, Cancellation.NOT_FOUND),
    ({"a": False, "b": None}, 0, Cancellation.UNANSWERED),  # the silent one may have the job
)


class JobCancelsTest(TestCase):
    async def test_answers_of_the_others_decide(self) -> None:
        for has_job, broken, expected in CASES:
            cancels = JobCancels(FakePeers(has_job, broken))  # type: ignore[arg-type]
            self.assertEqual(expected, await cancels.async_cancel(KEY), has_job)
