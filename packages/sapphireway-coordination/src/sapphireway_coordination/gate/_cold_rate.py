"""Rate limit for requests to a cold server."""

TOKEN_EPSILON = 1e-9  # of a token; a wait below the clock's resolution never ends
BURST_S = 0.15  # bucket size, as a time at the full rate


class ColdRate:
    """Token bucket that limits request starts while a server is cold.

    A server that has just started tolerates a known rate for a known time, regardless
    of its slots, and crashes above it. The bucket starts empty, so that no window of
    one second has more starts than the rate plus one burst.

    Attributes
    ----------
    until_s : float
        Loop time until which the server is cold.
    """

    __slots__ = ("_refilled_s", "_tokens", "per_s", "until_s")

    def __init__(self):
        self._refilled_s = 0.0
        self._tokens = 0.0
        self.per_s = 0.0
        self.until_s = float("-inf")

    def start(self, per_s: float, until_s: float, now_s: float) -> None:
        """Limit the rate until `until_s`; a rate of 0 means no known limit."""
        if not self.is_cold(now_s):
            self._tokens = 0.0
            self._refilled_s = now_s
        self.per_s = per_s
        self.until_s = until_s

    def is_cold(self, now_s: float) -> bool:
        """Tell whether the rate is limited now."""
        return self.per_s > 0.0 and now_s < self.until_s

    def has_room(self, now_s: float) -> bool:
        """Tell whether one more request may start now."""
        if not self.is_cold(now_s):
            return True
        self._refill(now_s)
        return self._tokens >= 1.0 - TOKEN_EPSILON

    def take(self, now_s: float) -> None:
        """Take one token for a started request."""
        if self.is_cold(now_s):
            self._refill(now_s)
            self._tokens -= 1.0

    def get_wait_s(self, now_s: float, ahead: int = 0) -> float:
        """Return the time until one more may start after `ahead` others."""
        if not self.is_cold(now_s) or (not ahead and self.has_room(now_s)):
            return 0.0
        self._refill(now_s)
        wait_s = max(0.0, ahead + 1.0 - self._tokens) / self.per_s
        return min(wait_s, self.until_s - now_s)

    def _refill(self, now_s):
        gained = (now_s - self._refilled_s) * self.per_s
        self._refilled_s = now_s
        self._tokens = min(self._tokens + gained, max(1.0, self.per_s * BURST_S))
