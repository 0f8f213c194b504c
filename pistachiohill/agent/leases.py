"""Leases that entries hold at an agent, renewed by echoes of the agent's clock.

An agent sends its clock with every message. Entries send back an echo: a time that this clock had
certainly reached when they sent their message (`peer_clock`). A lease therefore starts, on
the agent's own clock, before the entry sent that message, whatever the network delay.
"""

import math

from attrs import define, field

# An echo takes milliseconds, so half a lease leaves enough time to request one.
RENEWAL_FRACTION = 0.5
# Much longer than a lease, so that the age of an ended lease can still be logged.
EXPIRED_LEASE_RETENTION_S = 60.0


@define
class EntryLeases:
    """Latest clock reading of this agent that each entry incarnation has echoed."""

    lease_s: float
    _last_echo_s: dict[str, float] = field(factory=dict)

    def renew(self, entry: str, echo_s: float, now_s: float) -> None:
        """Renew a lease by an echo, unless the echoed time is negative or in the future."""
        if 0.0 <= echo_s <= now_s:
            self._last_echo_s[entry] = max(echo_s, self._last_echo_s.get(entry, -math.inf))

    def age_s(self, entry: str, now_s: float) -> float:
        """Return the age of the latest clock reading that the entry echoed."""
        return now_s - self._last_echo_s.get(entry, -math.inf)

    def is_valid(self, entry: str, now_s: float) -> bool:
        """Return whether an entry's lease is valid, so that its best-effort tasks may run."""
        return now_s <= self.ends_at_s(entry)

    def ends_at_s(self, entry: str) -> float:
        """Return the boot time at which an entry's lease ends unless it is renewed."""
        return self._last_echo_s.get(entry, -math.inf) + self.lease_s

    def needs_renewal(self, entry: str, now_s: float) -> bool:
        """Return whether a lease has ended or will end soon unless an echo arrives."""
        return self.age_s(entry, now_s) > RENEWAL_FRACTION * self.lease_s

    def expire(self, now_s: float) -> None:
        """Remove leases that ended long ago."""
        for entry in list(self._last_echo_s):
            if self.age_s(entry, now_s) > EXPIRED_LEASE_RETENTION_S:
                del self._last_echo_s[entry]
