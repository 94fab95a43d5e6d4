"""Time as the requests at one server experience it: load and speed of the host."""

import msgspec


class LoadReading(msgspec.Struct, frozen=True):
    """Integrals over the time since the clock was created.

    Attributes
    ----------
    at_s : float
    load_s : float
        Integral of the number of requests in flight.
    work_s : float
        Time that the same work would have taken on an undisturbed host.
    """

    at_s: float
    load_s: float
    work_s: float


class LoadClock:
    """Integrates the requests in flight and the speed of the host.

    The slowness of a host changes several times while a request runs there, so a
    request's own start and end don't tell how long it would usually have taken.
    """

    __slots__ = ("_at_s", "_load_s", "_work_s")

    def __init__(self, now_s: float):
        self._at_s = now_s
        self._load_s = self._work_s = 0.0

    def advance(self, now_s: float, in_flight: int, slowness: float) -> None:
        """Add the time since the last call, with what held during it."""
        elapsed_s = now_s - self._at_s
        self._at_s = now_s
        self._load_s += elapsed_s * in_flight
        self._work_s += elapsed_s / max(slowness, 1.0)

    def read(self) -> LoadReading:
        """Return the integrals at the last call of `advance`."""
        return LoadReading(self._at_s, self._load_s, self._work_s)
