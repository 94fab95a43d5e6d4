"""A clock for ages that protect a guarantee."""

from sapphireway_transport import ReadInstant, compute_age


class AgeClock:
    """Advances at least as far as each of two clocks between any two readings.

    During a suspension of the host the monotonic clock may stand still while the time
    since boot advances. Ages on this clock are never too small.

    Parameters
    ----------
    read_instant : ReadInstant
    """

    __slots__ = ("_elapsed_s", "_last", "_read_instant")

    def __init__(self, read_instant: ReadInstant):
        self._read_instant = read_instant
        self._last = None
        self._elapsed_s = 0.0

    def read(self) -> float:
        """Return the time in seconds since an arbitrary start."""
        now = self._read_instant()
        if self._last is not None:
            self._elapsed_s += max(0.0, compute_age(self._last, now))
        self._last = now
        return self._elapsed_s
