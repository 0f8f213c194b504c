"""Cancels of best-effort jobs that another entry may have.

A caller may cancel its job at any entry. One that doesn't have the job asks all entries that it is
linked to, since a job is announced only once it has been held for a while.
"""

from collections.abc import Callable
from enum import Enum, auto
from typing import Protocol

import trio
from attrs import define

from .. import logs
from ..protocol.link import Link
from ..protocol.models import CancelJob, JobCancelled, Message
from .const import CANCEL_ANSWER_S


class Cancellation(Enum):
    """What became of the cancel of a job."""

    CANCELLED = auto()
    NOT_FOUND = auto()
    UNANSWERED = auto()  # by an entry that may have the job


class CancelPeers(Protocol):
    """The open links to other entries, and requests over them."""

    def find_link(self, incarnation: str) -> Link | None:
        """Return an open link to an entry incarnation."""

    def incarnations(self) -> set[str]:
        """Return the incarnations of all linked entries."""

    async def async_request(
        self, link: Link, build_request: Callable[[int], Message], timeout_s: float
    ) -> Message | None:
        """Send a request and return its reply; None if the link ended or there was none."""


@define(eq=False)
class JobCancels:
    """Cancels jobs at the entries that this one is linked to."""

    _peers: CancelPeers

    async def async_cancel(self, key: str) -> Cancellation:
        """Cancel a job that this entry doesn't have."""
        found: list[Cancellation] = []

        async def async_ask(entry: str) -> None:
            found.append(await self._async_ask(entry, key))
            if found[-1] == Cancellation.CANCELLED:
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for entry in self._peers.incarnations():
                nursery.start_soon(async_ask, entry)
        for outcome in (Cancellation.CANCELLED, Cancellation.UNANSWERED):
            if outcome in found:
                logs.event("job_cancelled_elsewhere", key=key, outcome=outcome.name)
                return outcome
        return Cancellation.NOT_FOUND

    async def _async_ask(self, entry: str, key: str) -> Cancellation:
        """Ask one entry, again if the link on which it was asked is closed."""
        with trio.move_on_after(CANCEL_ANSWER_S):
            while (link := self._peers.find_link(entry)) is not None:
                reply = await self._peers.async_request(
                    link, lambda request_id: CancelJob(request_id, key), CANCEL_ANSWER_S
                )
                if isinstance(reply, JobCancelled):
                    return Cancellation.CANCELLED if reply.cancelled else Cancellation.NOT_FOUND
                await trio.lowlevel.checkpoint()
        return Cancellation.UNANSWERED
