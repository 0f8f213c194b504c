"""Order of the announcements at an agent: which ones replace what is known of the runner.

Announcements may be late, or come from another writer. One that does not follow the latest one is
out of order. The sequence numbers and the clock of one process grow together, so an announcement
with a later clock follows one whose number was too far ahead. One with an earlier clock, or one far
ahead of the time that has passed, does not follow, whatever its number.

If it was the latest one that was odd in another way, the runner's own announcements seem not to
follow. They go on at the pace of heartbeats, though, and nothing follows the odd one, so they are
believed again after a while.
"""

import math
from typing import Final, Self

from attrs import define, frozen

from .. import logs
from .const import HEARTBEAT_S
from .models import RunnerAnnouncement

MAX_SEQUENCE_STEP: Final = 1_000_000  # far more than heartbeats that count or name milliseconds
MAX_CLOCK_LEAD_S: Final = 5.0  # announcements are under way for up to about this long
MIN_SERIES_S: Final = 2 * HEARTBEAT_S
MAX_SERIES_GAP_S: Final = 2 * HEARTBEAT_S


@frozen
class Sender:
    """A runner process; its service and address do not change while it runs."""

    runner_id: str
    born_ms: int
    service: str
    address: str

    @classmethod
    def of(cls, announcement: RunnerAnnouncement) -> Self:
        """Return the sender of an announcement."""
        return cls(
            announcement.runner_id,
            announcement.born_ms,
            announcement.service,
            announcement.address,
        )


@define
class Series:
    """Announcements of one sender that ascend among themselves, since boot time `began_at_s`."""

    sender: Sender
    sequence: int
    began_at_s: float
    continued_at_s: float

    def is_continued_by(self, announcement: RunnerAnnouncement, now_s: float) -> bool:
        """Return whether an announcement follows the last one, without a long gap."""
        return (
            Sender.of(announcement) == self.sender
            and announcement.sequence > self.sequence
            and now_s - self.continued_at_s <= MAX_SERIES_GAP_S
        )


class AnnouncementOrder:
    """Decides whether an announcement is in order.

    Example: after sequence numbers 4, 5 and an odd 10**12, the numbers from 6 on are out of order
    at first, but in order again once they have gone on for longer than two heartbeats.
    """

    def __init__(self) -> None:
        """Initialize the order; the first announcement is in order whatever it says."""
        self._sender: Sender | None = None
        self._sequence = 0
        self._clock_s = 0.0
        self._accepted_at_s = -math.inf
        self._deregistered = False
        self._series: Series | None = None

    def accepts(self, announcement: RunnerAnnouncement, now_s: float) -> bool:
        """Return whether an announcement that arrives at boot time `now_s` is in order."""
        if not self._follows_latest(announcement, now_s):
            if not self._is_believed_as_series(announcement, now_s):
                return False
            logs.event(
                "announcements_believed_again",
                runner=announcement.runner_id,
                sequence=announcement.sequence,
                known_sequence=self._sequence,
            )
        self._sender = Sender.of(announcement)
        self._sequence = announcement.sequence
        self._clock_s = announcement.clock_s
        self._accepted_at_s = now_s
        self._deregistered = False
        self._series = None
        return True

    def deregister(self, runner_id: str) -> None:
        """Record that a runner has ended; its successor may be of another service."""
        if self._sender is not None and self._sender.runner_id == runner_id:
            self._deregistered = True

    def _follows_latest(self, announcement: RunnerAnnouncement, now_s: float) -> bool:
        known = self._sender
        if known is None:
            return True
        if Sender.of(announcement) == known:
            return self._follows_in_process(announcement, now_s)
        if announcement.service != known.service and not self._deregistered:
            return False
        return announcement.born_ms > known.born_ms

    def _follows_in_process(self, announcement: RunnerAnnouncement, now_s: float) -> bool:
        """Return whether an announcement follows the latest one of the same process."""
        if announcement.clock_s != self._clock_s:
            passed_s = announcement.clock_s - self._clock_s
            return 0.0 < passed_s < now_s - self._accepted_at_s + MAX_CLOCK_LEAD_S
        return self._sequence < announcement.sequence <= self._sequence + MAX_SEQUENCE_STEP

    def _is_believed_as_series(self, announcement: RunnerAnnouncement, now_s: float) -> bool:
        """Return whether announcements that seem late have gone on for as long as a live runner's.

        Late ones arrive alone or all together.
        """
        series = self._series
        if series is None or not series.is_continued_by(announcement, now_s):
            sender = Sender.of(announcement)
            self._series = Series(sender, announcement.sequence, now_s, now_s)
            return False
        series.sequence = announcement.sequence
        series.continued_at_s = now_s
        return now_s - series.began_at_s > MIN_SERIES_S
