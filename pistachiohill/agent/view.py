"""An agent's view of its own failure domain, and how old it is.

An agent does not read the log. It merges stamps from entries; the age of a stamp is counted from
the agent's own clock reading that the entry echoed, so neither synchronised clocks nor the time
that a message spent in a buffer matter.
"""

import math

from attrs import define

from ..protocol.models import ViewStamp


@define
class AgentView:
    """Verdict on the agent's failure domain at a log offset.

    `confirmed_at_s` is a boot time of this instance; every change published before it is included.
    """

    offset: int = -1
    domain_out: bool = False
    confirmed_at_s: float = -math.inf
    max_age_s: float = 0.0

    def merge(self, stamp: ViewStamp, now_s: float) -> None:
        """Merge an entry's stamp; a lower offset than the applied one changes nothing."""
        if stamp.offset < self.offset:
            return
        if stamp.offset > self.offset:
            self.offset = stamp.offset
            self.domain_out = stamp.domain_out
            self.max_age_s = stamp.max_age_s
        if 0.0 <= stamp.echo_s <= now_s:
            fresh_at_s = stamp.echo_s - max(0.0, stamp.age_s)
            self.confirmed_at_s = max(self.confirmed_at_s, fresh_at_s)

    def age_s(self, now_s: float) -> float:
        """Return the age of the view."""
        return now_s - self.confirmed_at_s

    def is_fresh(self, now_s: float) -> bool:
        """Return whether the view is young enough to start tasks by."""
        return self.age_s(now_s) <= self.max_age_s
