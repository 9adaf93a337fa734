"""Clocks of the host process."""

import time


def now_s() -> float:
    """Return monotonic seconds, including time spent suspended (CLOCK_BOOTTIME)."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> float:
    """Return Unix time in milliseconds; it jumps when the clock is set."""
    return time.time() * 1000
