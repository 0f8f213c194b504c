"""Leases of entries at an agent: how long ago each has surely heard this agent.

An agent sends its clock with every message and entries echo it, so a lease is measured on the
agent's own clock from before the entry heard of it, however long messages were under way.
"""

import math

from attrs import define, field

AGING_FRACTION = 0.5  # an echo takes milliseconds, so half a lease is ample time to ask for one
FORGET_S = 60.0  # long after a lease has ended, so that its age can still be logged


@define
class EntryLeases:
    """The latest clock reading of this agent that each entry incarnation has echoed."""

    lease_s: float
    _echoes_s: dict[str, float] = field(factory=dict)

    def extend(self, entry: str, echo_s: float, now_s: float) -> None:
        """Note an echo; one from the future is not this agent's and changes nothing."""
        if 0.0 <= echo_s <= now_s:
            self._echoes_s[entry] = max(echo_s, self._echoes_s.get(entry, -math.inf))

    def age_s(self, entry: str, now_s: float) -> float:
        """Return how long ago the entry has surely heard this agent."""
        return now_s - self._echoes_s.get(entry, -math.inf)

    def holds(self, entry: str, now_s: float) -> bool:
        """Return whether the tasks of an entry may go on."""
        return self.age_s(entry, now_s) <= self.lease_s

    def is_aging(self, entry: str, now_s: float) -> bool:
        """Return whether a lease has ended or will soon without an echo."""
        return self.age_s(entry, now_s) > AGING_FRACTION * self.lease_s

    def expire(self, now_s: float) -> None:
        """Forget entries that were not heard for long."""
        for entry in list(self._echoes_s):
            if self.age_s(entry, now_s) > FORGET_S:
                del self._echoes_s[entry]
