"""Decides which connections may hold memory and descriptors, and which are closed for others.

A budget covers the connections of one listener. When it is used up, the slowest connection gives
way: of those that aren't being served, the one whose present request began first, from the address
that holds the most. An ordinary request is complete within milliseconds, so it stays.
"""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from typing import Final

from attrs import define, frozen

CONNECTION_BYTES: Final = 16 * 1024  # of an open connection without a request

# What an ordinary request holds; it finds room even if requests that are being served hold all.
ORDINARY_BYTES: Final = 8 * 1024


class Limit(StrEnum):
    """Which limit a client has met."""

    CONNECTIONS = "connections"
    MEMORY = "memory"
    SIZE = "size"
    TIME = "time"


@frozen
class ClientLimits:
    """The largest number of connections, and of bytes that their requests may hold."""

    max_connections: int
    max_bytes: int


@define(eq=False)
class ClientAccount:
    """What one connection holds.

    Fields:
        address: The client's address, without its port.
        since_s: When its present request began to arrive; without one, when it was last served
            or opened.
        evict: Closes the connection and frees what it holds at once.
        used_bytes: What its requests hold.
        busy: Whether a whole request is being served; such a connection is not closed for others.
        served: Whether a request has been answered.
    """

    address: str
    since_s: float
    evict: Callable[[], None]
    used_bytes: int = 0
    busy: bool = False
    served: bool = False


class ClientBudget:
    """Accounts of the connections of one listener."""

    def __init__(
        self, limits: ClientLimits, on_limit: Callable[[Limit], None] = lambda _limit: None
    ) -> None:
        """Initialize without connections; `on_limit` is called for each one that is turned away."""
        self.limits = limits
        self.on_limit = on_limit
        self.used_bytes = 0
        self._accounts: set[ClientAccount] = set()
        self._bytes_by_address: Counter[str] = Counter()
        self._connections_by_address: Counter[str] = Counter()

    @property
    def connections(self) -> int:
        """Return the number of connections."""
        return len(self._accounts)

    def open(self, address: str, evict: Callable[[], None], now_s: float) -> ClientAccount | None:
        """Return the account of a new connection, None if there is no room for it."""
        while len(self._accounts) >= self.limits.max_connections:
            self.on_limit(Limit.CONNECTIONS)
            slowest = self._slowest_connection()
            if slowest is None:
                return None
            self._evict(slowest)
        account = ClientAccount(address, now_s, evict)
        self._accounts.add(account)
        self._connections_by_address[address] += 1
        return account

    def hold(self, account: ClientAccount, used_bytes: int) -> bool:
        """Set what a connection holds; return whether there is room for it.

        Slower connections are closed to make room. If that is not enough, the caller has to free
        what the connection holds.
        """
        if account not in self._accounts:
            return False
        self._charge(account, used_bytes)
        while self.used_bytes > self.limits.max_bytes:
            slowest = self._slowest_holder(account)
            if slowest is None and used_bytes <= ORDINARY_BYTES:
                return True
            self.on_limit(Limit.MEMORY)
            if slowest is None:
                return False
            self._evict(slowest)
        return True

    def close(self, account: ClientAccount) -> None:
        """Remove a connection."""
        if account not in self._accounts:
            return
        self._charge(account, 0)
        self._accounts.discard(account)
        self._connections_by_address[account.address] -= 1
        if not self._connections_by_address[account.address]:
            del self._connections_by_address[account.address]
            del self._bytes_by_address[account.address]

    def _charge(self, account: ClientAccount, used_bytes: int) -> None:
        change = used_bytes - account.used_bytes
        account.used_bytes = used_bytes
        self.used_bytes += change
        self._bytes_by_address[account.address] += change

    def _evict(self, account: ClientAccount) -> None:
        self.close(account)
        account.evict()

    def _slowest_connection(self) -> ClientAccount | None:
        """Return the connection that gives way to a new one, None if all are being served."""
        return max(
            (item for item in self._accounts if not item.busy),
            key=lambda item: (
                self._connections_by_address[item.address],
                not item.served,
                -item.since_s,
            ),
            default=None,
        )

    def _slowest_holder(self, account: ClientAccount) -> ClientAccount | None:
        """Return the connection that frees its memory for another one, None if there is none."""
        return max(
            (
                item
                for item in self._accounts
                if item.used_bytes and not item.busy and item is not account
            ),
            key=lambda item: (self._bytes_by_address[item.address], -item.since_s),
            default=None,
        )
