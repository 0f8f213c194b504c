"""Sockets that listen before the modules of a process are loaded.

Loading the modules takes a process up to a second on a small machine. Callers that connect in the
meantime would be refused, and those of best-effort jobs return only much later, most of them past
their latency goals. With a socket that already listens, their connections wait in its queue.

This module imports little, so that the sockets can be opened first. A server takes the socket of
its address with `take`; those that no server has taken are closed with `close_untaken`.
"""

import contextlib
import socket
from collections.abc import Iterable

from . import clock

BACKLOG = 1024

_untaken: dict[str, "EarlyListener"] = {}


class EarlyListener:
    """A listening socket; `opened_at_s` is the boot time since which connections may wait in it."""

    def __init__(self, listening: socket.socket, opened_at_s: float) -> None:
        """Initialize with a socket that listens."""
        self.socket = listening
        self.opened_at_s = opened_at_s


def open_all(addresses: Iterable[str]) -> None:
    """Listen at the addresses ("host:port") that can be used.

    An address that can't be used is left to its server, which reports the error.
    """
    for address in addresses:
        with contextlib.suppress(OSError, ValueError, OverflowError):
            _untaken[address] = EarlyListener(_listen(address), clock.boot_s())


def take(address: str) -> EarlyListener | None:
    """Return the listener of an address to the server that uses it from now on, None if none."""
    return _untaken.pop(address, None)


def close_untaken() -> None:
    """Close the listeners that no server has taken."""
    while _untaken:
        _untaken.popitem()[1].socket.close()


def _listen(address: str) -> socket.socket:
    host, _, port = address.rpartition(":")
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind((host, int(port)))
        listening.listen(BACKLOG)
    except BaseException:
        listening.close()
        raise
    return listening
