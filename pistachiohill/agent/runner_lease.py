"""Lease of the runs at a runner, on the runner's own clock.

A runner ends its runs when its clock reaches the time that the agent sent last. The agent adds the
duration of a lease to a time that the runner's clock has certainly reached, so that no lease lasts
longer than intended, however old the latest reading of that clock is:

    runner's clock read as 100.0, 10 s ago: it shows at least 100.0 + 10 * 0.98 = 109.8 now
    lease of 0.7 s: until 110.5 on that clock, which is at most 0.7 / 0.98 s away

The runner's clock stands still while its machine is suspended, and so does this process. So time in
which this process was stalled counts neither for the runner's clock nor for the end of a lease:

    lease granted at 20.0 until 20.6; suspended from 20.1 to 24.1: the lease ends at 24.6

If the runner's clock went on meanwhile, the bound is too low, and the next reading raises it. A
reading below the bound proves the bound wrong. The bound is dropped then, and the leases that were
granted by it count as the longest that a runner accepts.
"""

import math

from attrs import define, field

from ..peer_clock import PeerClock, StallDetector
from .const import LEASE_S, MAX_CLOCK_DRIFT, MAX_LEASE_S, RUNNER_CLOCK_STEP_S, RUNNER_STOP_S

ALWAYS_RUNNING_S = -math.inf  # time in which this process was stalled is left out instead


@define
class RunnerLease:
    """Computes leases for a runner, and when the runs under them have certainly ended.

    Fields:
        expires_at_s: Boot time at which every lease granted so far has expired.
        granted_until_clock_s: Time on the runner's clock at which the latest lease ends, None if
            there is none.
        stalled_s: For how long this process was stalled, in all.
    """

    expires_at_s: float = -math.inf
    granted_until_clock_s: float | None = None
    stalled_s: float = 0.0
    _clock: PeerClock = field(factory=PeerClock)
    _read_at_s: float = -math.inf
    _stalls: StallDetector = field(factory=lambda: StallDetector(math.inf))

    def tick(self, now_s: float) -> None:
        """Record that this process runs, and leave out the time in which it was stalled.

        To be called at short intervals. All other methods that take the present time do the same,
        so that none of them counts a stall that was not noticed yet.
        """
        stalled_s = self._stalls.tick(now_s)
        self.stalled_s += stalled_s
        self.expires_at_s += stalled_s
        self._clock.received_at_s += stalled_s

    def reset(self, now_s: float) -> None:
        """Forget the clock and the leases of a runner incarnation that has ended."""
        self.tick(now_s)
        self.expires_at_s = now_s
        self.granted_until_clock_s = None
        self._clock = PeerClock()
        self._read_at_s = -math.inf

    def record_clock(self, clock_s: float, sent_at_s: float, now_s: float) -> None:
        """Record a reading of the runner's clock from the response to a request.

        `sent_at_s` is the boot time at which the request was sent.
        """
        self.tick(now_s)
        self._read_at_s = now_s
        if self.is_reset_clock(clock_s, sent_at_s):
            self._clock = PeerClock()
            self.granted_until_clock_s = None
            self.record_unknown_lease(now_s)
        self._clock.record(clock_s, now_s, ALWAYS_RUNNING_S)

    def clock_bound_s(self, now_s: float) -> float:
        """Return a time that the runner's clock should have reached, negative if none is known."""
        return self._clock.lower_bound_s(now_s, ALWAYS_RUNNING_S)

    def is_reset_clock(self, clock_s: float, sent_at_s: float) -> bool:
        """Return whether a response's clock is before a time that the clock should have reached.

        `sent_at_s` is the boot time at which the request was sent.
        """
        return clock_s < self.clock_bound_s(sent_at_s) - RUNNER_CLOCK_STEP_S

    def clock_age_s(self, now_s: float) -> float:
        """Return how long ago the runner's clock was read, infinity if never."""
        return now_s - self._read_at_s

    def grant(self, now_s: float) -> float | None:
        """Return the end of a new lease on the runner's clock, None if that clock is not known."""
        self.tick(now_s)
        clock_s = self.clock_bound_s(now_s)
        if clock_s < 0.0:
            return None
        longest_s = (LEASE_S + RUNNER_CLOCK_STEP_S) / (1.0 - MAX_CLOCK_DRIFT)
        self.expires_at_s = max(self.expires_at_s, now_s + longest_s)
        self.granted_until_clock_s = clock_s + LEASE_S
        return self.granted_until_clock_s

    def record_unknown_lease(self, now_s: float) -> None:
        """Allow for a lease that was granted just now to an unknown time: the longest there is."""
        self.tick(now_s)
        self.expires_at_s = max(self.expires_at_s, now_s + MAX_LEASE_S / (1.0 - MAX_CLOCK_DRIFT))

    def runs_have_ended(self, now_s: float) -> bool:
        """Return whether all runs have ended, if the runner has executed no other request."""
        self.tick(now_s)
        return now_s > self.expires_at_s + RUNNER_STOP_S
