"""Starts of servers that have left or are leaving."""

from collections.abc import Callable

from sapphireway_protocol import Departure

# A server may run for many seconds after its departure, and announcements that it sent
# before arrive late; this is far above both.
RETENTION_S = 600.0
DEPARTURES_MAX = 4096
STARTS_MAX = 64  # of one server
NAME_MAX_CHARACTERS = 400  # of a server or a start
# How long announcements are refused after the departure of a server whose start was not
# known: they may have been sent before it.
UNKNOWN_START_S = 10.0


class DepartureTable:
    """Departures by server and start.

    Parameters
    ----------
    get_time : callable
        Returns the time of the event loop in seconds.
    """

    __slots__ = ("_departures", "_get_time")

    def __init__(self, get_time: Callable[[], float]):
        self._departures = {}  # server to times of departure by start id
        self._get_time = get_time

    def record(self, departure: Departure) -> None:
        """Remember a departure; the earliest of one start counts."""
        names = departure.server, departure.start_id
        if max(map(len, names)) > NAME_MAX_CHARACTERS or not departure.server:
            return
        if not 0.0 <= departure.age_s < RETENTION_S:
            return
        now_s = self._get_time()
        left_s = now_s - departure.age_s
        starts = self._departures.pop(departure.server, {})
        if departure.start_id:
            left_s = min(left_s, starts.get(departure.start_id, left_s))
        else:
            left_s = max(left_s, starts.get("", left_s))
        starts.pop(departure.start_id, None)
        starts[departure.start_id] = left_s
        if len(starts) > STARTS_MAX:
            del starts[next(iter(starts))]
        self._departures[departure.server] = starts
        self._forget_old(now_s)

    def has_left(self, server: str, start_id: str) -> bool:
        """Tell whether a start of a server has left.

        If its start is not known, any departure of the server counts.
        """
        now_s = self._get_time()
        starts = self._departures.get(server, {})
        if not start_id:
            return any(now_s - left_s < RETENTION_S for left_s in starts.values())
        if start_id in starts:
            return now_s - starts[start_id] < RETENTION_S
        return "" in starts and now_s - starts[""] < UNKNOWN_START_S

    def list_departures(self, server: str = "") -> list[Departure]:
        """Return the departures of a server, or of all servers."""
        now_s = self._get_time()
        self._forget_old(now_s)
        if server:
            selected = {server: self._departures.get(server, {})}
        else:
            selected = self._departures
        return [
            Departure(name, start_id, now_s - left_s)
            for name, starts in selected.items()
            for start_id, left_s in starts.items()
        ]

    def _forget_old(self, now_s):
        for server, starts in list(self._departures.items()):
            kept = {s: at_s for s, at_s in starts.items() if now_s - at_s < RETENTION_S}
            if kept:
                self._departures[server] = kept
            else:
                del self._departures[server]
        while len(self._departures) > DEPARTURES_MAX:
            del self._departures[next(iter(self._departures))]
