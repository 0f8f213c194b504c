"""System clocks; functions that make decisions take the time as an argument instead."""

import time


def boot_s() -> float:
    """Return seconds since boot, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_s() -> float:
    """Return seconds since the Unix epoch."""
    return time.time()
