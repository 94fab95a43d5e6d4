"""Time since boot, including time during which the host was suspended."""

import time


def get_boottime_s() -> float:
    """Return `CLOCK_BOOTTIME` in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
