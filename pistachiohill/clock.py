"""Clocks read at the edges; deciding functions take the time as an argument."""

import time


def boot_s() -> float:
    """Return seconds since boot, counting time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_s() -> float:
    """Return seconds since the epoch."""
    return time.time()
