"""An agent's view of the state of its own failure domain, and the age of that view.

An agent does not read the log but merges view stamps from entries. The age of a stamp is measured
from the agent's own clock reading that the entry echoed, so it depends neither on synchronized
clocks nor on how long messages are delayed.
"""

import math

from attrs import define

from ..protocol.models import ViewStamp


@define
class AgentView:
    """State of the agent's failure domain at a log offset.

    `confirmed_at_s` is a boot time of this instance; the view includes every change published
    before it.
    """

    offset: int = -1
    domain_out: bool = False
    confirmed_at_s: float = -math.inf
    max_age_s: float = 0.0

    def merge(self, stamp: ViewStamp, now_s: float) -> None:
        """Merge an entry's stamp; stamps with a lower offset than the current one are ignored."""
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
        """Return the time since the view was last confirmed."""
        return now_s - self.confirmed_at_s

    def is_fresh(self, now_s: float) -> bool:
        """Return whether the view is recent enough to start tasks."""
        return self.age_s(now_s) <= self.max_age_s
