"""The clocks of the process."""

import time


def now_s() -> float:
    """Return steady seconds that go on while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> float:
    """Return Unix milliseconds, which may jump."""
    return time.time() * 1000
