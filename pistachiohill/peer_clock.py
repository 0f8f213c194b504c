"""Lower bounds of another process's clock, and detection of stalls of this process.

An agent lets an entry's tasks run only while it hears from the entry. The proof is a reading of the
agent's own clock that is certainly not later than the time at which the entry sent its message. An
entry has such a reading without asking for it: the latest one it received, plus the time that has
passed since then on its own clock, reduced by the clocks' largest drift. The delay of the received
message makes the bound lower, and therefore safe.

    agent sends clock reading 100.0 -> received by the entry at 7.3 on its own clock
    entry sends a message at 7.8: the agent's clock shows at least 100.0 + 0.5 * 0.98 = 100.49

After this process was paused, the time that has passed is no proof that it has kept working: its
callers may have gone elsewhere in the meantime. Readings from before the pause are then returned as
they were received, so that the agent asks for a new one before it starts anything.
"""

import math
from typing import Final

from attrs import define

from . import logs
from .agent.const import MAX_CLOCK_DRIFT

MAX_STALL_S: Final = 0.3  # far below the time after which a caller sends a job again
NO_READING_S: Final = -1.0


@define
class PeerClock:
    """The best known lower bound of a peer's clock.

    Fields:
        reading_s: Clock reading of the peer, NO_READING_S if none was received.
        received_at_s: Boot time of this process at which the reading was received.
    """

    reading_s: float = NO_READING_S
    received_at_s: float = -math.inf

    def record(self, reading_s: float, now_s: float, running_since_s: float) -> None:
        """Keep a new reading, unless the one that is known gives a higher bound."""
        if reading_s >= self.lower_bound_s(now_s, running_since_s):
            self.reading_s = reading_s
            self.received_at_s = now_s

    def lower_bound_s(self, now_s: float, running_since_s: float) -> float:
        """Return a time that the peer's clock has reached, NO_READING_S if none is known.

        `running_since_s` is the boot time since which this process has run without a stall. The
        time that is asked for may be before the reading.
        """
        if self.reading_s < 0.0 or self.received_at_s < running_since_s:
            return self.reading_s
        passed_s = now_s - self.received_at_s
        drift = -MAX_CLOCK_DRIFT if passed_s > 0.0 else MAX_CLOCK_DRIFT
        return self.reading_s + passed_s * (1.0 + drift)


@define
class StallDetector:
    """Notices that this process was paused or did not get to run for a while.

    `tick` is to be called at short intervals.
    """

    _last_tick_s: float
    _resumed_at_s: float = -math.inf

    def tick(self, now_s: float) -> float:
        """Record that the process runs; return for how long it did not, 0 if it was not stalled."""
        stalled_s = now_s - self._last_tick_s
        self._resumed_at_s = self.running_since_s(now_s)
        self._last_tick_s = now_s
        if self._resumed_at_s != now_s:
            return 0.0
        logs.warning("process_stalled", stalled_s=stalled_s)
        return stalled_s

    def running_since_s(self, now_s: float) -> float:
        """Return the boot time since which the process has run without a stall."""
        if now_s - self._last_tick_s > MAX_STALL_S:
            return now_s
        return self._resumed_at_s
