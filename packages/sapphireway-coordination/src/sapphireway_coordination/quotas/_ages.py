"""A clock for ages that protect a guarantee."""

from collections.abc import Callable


class AgeClock:
    """Advances at least as far as each of two clocks between any two readings.

    During a suspension of the host the monotonic clock may stand still while the time
    since boot advances. Ages on this clock are never too small.

    Parameters
    ----------
    get_monotonic_s, get_boottime_s : callable
        Return the time in seconds.
    """

    __slots__ = ("_elapsed_s", "_get_readings", "_last")

    def __init__(
        self,
        get_monotonic_s: Callable[[], float],
        get_boottime_s: Callable[[], float],
    ):
        self._get_readings = (get_monotonic_s, get_boottime_s)
        self._last = None
        self._elapsed_s = 0.0

    def read(self) -> float:
        """Return the time in seconds since an arbitrary start."""
        readings = [get_reading() for get_reading in self._get_readings]
        if self._last is not None:
            gains = (now - last for now, last in zip(readings, self._last, strict=True))
            self._elapsed_s += max(0.0, *gains)
        self._last = readings
        return self._elapsed_s
