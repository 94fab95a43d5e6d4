"""Rate limit for requests to a cold server."""

from sapphireway_coordination.gate._token_bucket import TokenBucket


class ColdRate:
    """Limit on request starts while a server is cold.

    A server that has just started tolerates a known rate for a known time, regardless
    of its slots, and crashes above it.

    Attributes
    ----------
    until_s : float
        Loop time until which the server is cold.
    """

    __slots__ = ("_bucket", "until_s")

    def __init__(self):
        self._bucket = None
        self.until_s = float("-inf")

    @property
    def per_s(self) -> float:
        """Rate limit of the last cold time; 0 if there was none."""
        return 0.0 if self._bucket is None else self._bucket.per_s

    def start(self, per_s: float, until_s: float, now_s: float) -> None:
        """Limit the rate until `until_s`; a rate of 0 means no known limit."""
        if not per_s:
            self._bucket = None
        elif self.is_cold(now_s):
            self._bucket.set_rate(per_s, now_s)
        else:
            self._bucket = TokenBucket(per_s, now_s)
        self.until_s = until_s

    def is_cold(self, now_s: float) -> bool:
        """Tell whether the rate is limited now."""
        return self._bucket is not None and now_s < self.until_s

    def has_room(self, now_s: float) -> bool:
        """Tell whether one more request may start now."""
        return self.get_wait_s(now_s) <= 0.0

    def take(self, now_s: float) -> None:
        """Count a started request."""
        if self.is_cold(now_s):
            self._bucket.take(now_s)

    def get_wait_s(self, now_s: float, ahead: int = 0) -> float:
        """Return the time until one more may start after `ahead` others."""
        if not self.is_cold(now_s):
            return 0.0
        return min(self._bucket.get_wait_s(now_s, ahead), self.until_s - now_s)
