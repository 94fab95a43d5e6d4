"""The event loop of a process."""

import asyncio
import time


class BootTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock counts suspensions of the host.

    The monotonic clock may stand still during one, so that leases and deadlines that
    have passed elsewhere would still hold here.
    """

    def time(self) -> float:
        """Return the time in seconds since the host was booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
