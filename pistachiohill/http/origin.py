"""How old a received request may be, and whether its client still waits.

Neither is written in a request. After a pause of this process a request may have waited in the
socket for as long as the pause, or in the listener's queue before its connection was accepted. The
only proof of a request's age is the latest time at which the socket was seen without any bytes:

    100.0  the socket is empty, the reader waits
    100.1  the event loop polls all sockets; this one has no bytes
           (the process is paused; the request arrives)
    104.1  the event loop polls again, and the request is read: it arrived after 100.1
"""

import math
import select
from collections import deque
from collections.abc import Callable
from typing import Final, Protocol

import trio
from attrs import define, frozen

from .. import clock

_POLLS_KEPT: Final = 2  # the latest one, and the one before it


class PollTimes(trio.abc.Instrument):
    """Records when the event loop polled the sockets.

    A poll can return without having looked at the sockets again since it began, if the process was
    paused in it. So only its beginning is a time at which they were looked at.
    """

    def __init__(self) -> None:
        """Initialize without polls."""
        self._starts_s: deque[float] = deque(maxlen=_POLLS_KEPT)

    def before_io_wait(self, timeout: float) -> None:
        """Record the beginning of a poll; called by the event loop."""
        self._starts_s.append(clock.boot_s())

    @property
    def previous_start_s(self) -> float:
        """Return the boot time at which the last poll but one began, -inf if there was none.

        A socket that is reported by the last poll had no bytes then, if its reader waited already.
        """
        return self._starts_s[0] if len(self._starts_s) == _POLLS_KEPT else -math.inf


_POLL_TIMES: trio.lowlevel.RunVar[PollTimes] = trio.lowlevel.RunVar("poll_times")


def poll_times() -> PollTimes:
    """Return the poll times of the running event loop, which are recorded from the first call."""
    try:
        return _POLL_TIMES.get()
    except LookupError:
        times = PollTimes()
        trio.lowlevel.add_instrument(times)
        _POLL_TIMES.set(times)
        return times


class _HasFileno(Protocol):
    """A socket, of Trio or of the standard library."""

    def fileno(self) -> int:
        """Return the file descriptor, -1 if the socket is closed."""


def is_readable(socket: _HasFileno) -> bool:
    """Return whether a socket has bytes or connections that wait to be read."""
    return _has_event(socket, select.POLLIN)


def has_peer_closed(socket: _HasFileno) -> bool:
    """Return whether the peer has closed its connection, even if bytes before that are unread."""
    return socket.fileno() < 0 or _has_event(socket, select.POLLRDHUP)


def _has_event(socket: _HasFileno, events: int) -> bool:
    poller = select.poll()
    poller.register(socket.fileno(), events)
    return bool(poller.poll(0))


@define
class EmptySince:
    """The latest boot time at which a socket is known to have been empty.

    What is read from it afterwards arrived after that time.
    """

    seen_at_s: float

    async def async_wait_readable(self, socket: _HasFileno, now_s: float) -> None:
        """Wait until an empty socket can be read; `now_s` is when it was seen to be empty."""
        self.seen_at_s = max(self.seen_at_s, now_s)
        await trio.lowlevel.wait_readable(socket.fileno())
        self.seen_at_s = max(self.seen_at_s, poll_times().previous_start_s)


def _never() -> bool:
    return False


@frozen(eq=False)
class RequestOrigin:
    """Where a request came from.

    Fields:
        arrived_after_s: Boot time after which the request arrived; inf if it is not known, for a
            request that was not read from a socket.
        has_left: Returns whether its client has closed the connection.
    """

    arrived_after_s: float = math.inf
    has_left: Callable[[], bool] = _never

    def age_s(self, now_s: float) -> float:
        """Return how old the request may be."""
        return max(0.0, now_s - self.arrived_after_s)


UNKNOWN_ORIGIN: Final = RequestOrigin()
