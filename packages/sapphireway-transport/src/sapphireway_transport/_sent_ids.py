"""Request ids that the connections to a server have carried."""

import math

SENT_IDS_MAX = 8192  # two full generations take 1.6 MB


class SentIds:
    """Remembers which ids were sent, and after which time it has forgotten none.

    The ids are kept in two generations; a full one replaces the older.

    Parameters
    ----------
    now_s : float
        Time of the clock by which the ages of connections are measured.
    ids_max : int, default=8192
        Ids of one generation.

    Attributes
    ----------
    complete_since_s : float
        Time after which all ids are remembered; minus infinity until one is
        forgotten.
    """

    __slots__ = ("_ids_max", "_newer", "_newer_since_s", "_older", "complete_since_s")

    def __init__(self, now_s: float, ids_max: int = SENT_IDS_MAX):
        self._ids_max = ids_max
        self._newer = set()
        self._newer_since_s = now_s
        self._older = set()
        self.complete_since_s = -math.inf

    def __contains__(self, value: str) -> bool:
        """Tell whether an id was sent; rarely true for one that was not."""
        digest = hash(value)
        return digest in self._newer or digest in self._older

    def add(self, value: str, now_s: float) -> None:
        """Record an id that is sent at time `now_s`."""
        # Ids of callers may be long, so only hashes are kept.
        self._newer.add(hash(value))
        if len(self._newer) < self._ids_max:
            return
        if self._older:
            self.complete_since_s = self._newer_since_s
        self._older, self._newer = self._newer, set()
        self._newer_since_s = now_s
