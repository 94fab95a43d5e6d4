"""Token bucket that limits the rate of request starts."""

TOKEN_EPSILON = 1e-9  # of a token; a wait below the clock's resolution never ends
BURST_S = 0.15  # bucket size, as a time at the full rate


class TokenBucket:
    """Tokens that accrue at a rate, of which each start takes one.

    The bucket starts empty, so that no window of one second has more starts than the
    rate plus one burst.

    Attributes
    ----------
    per_s : float
        Rate; positive.
    """

    __slots__ = ("_refilled_s", "_tokens", "per_s")

    def __init__(self, per_s: float, now_s: float):
        self._refilled_s = now_s
        self._tokens = 0.0
        self.per_s = per_s

    def set_rate(self, per_s: float, now_s: float) -> None:
        """Change the rate from now on; the tokens are kept."""
        self._refill(now_s)
        self.per_s = per_s
        self._refill(now_s)

    def take(self, now_s: float) -> None:
        """Take one token for a started request."""
        self._refill(now_s)
        self._tokens -= 1.0

    def get_wait_s(self, now_s: float, ahead: int = 0) -> float:
        """Return the time until one more may start after `ahead` others."""
        self._refill(now_s)
        missing = ahead + 1.0 - self._tokens
        return missing / self.per_s if missing > TOKEN_EPSILON else 0.0

    def _refill(self, now_s):
        gained = (now_s - self._refilled_s) * self.per_s
        self._refilled_s = now_s
        self._tokens = min(self._tokens + gained, max(1.0, self.per_s * BURST_S))
