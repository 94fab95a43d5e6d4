"""Token buckets that limit retries, hedges and probes."""

from sapphireway_state import check_invariant

RETRY_TOKENS_INITIAL = 10.0
RETRY_TOKENS_MAX = 100.0
PROBE_BURST_S = 0.25


class RetryBudget:
    """Limits the retries and hedges of one service to a percentage of its calls.

    Every call deposits a fraction of a token; every retry or hedge withdraws a whole
    one. The initial tokens let a rarely called service retry at all.

    Attributes
    ----------
    calls : int
        Calls that made a deposit.
    spent : int
        Tokens withdrawn.
    """

    __slots__ = ("_allowed", "_tokens", "calls", "spent")

    def __init__(self):
        self._tokens = RETRY_TOKENS_INITIAL
        self._allowed = RETRY_TOKENS_INITIAL
        self.calls = 0
        self.spent = 0

    def deposit(self, percent: float, tokens_max: float = RETRY_TOKENS_MAX) -> None:
        """Add the fraction of a token that one call earns.

        Parameters
        ----------
        percent : float
        tokens_max : float
            Capacity of the bucket, which limits the size of a burst.
        """
        self.calls += 1
        self._allowed += percent / 100.0
        self._tokens = min(self._tokens + percent / 100.0, tokens_max)

    def can_withdraw(self) -> bool:
        """Return whether a token is left."""
        return self._tokens >= 1.0

    def withdraw(self) -> bool:
        """Take one token; return False if there is none."""
        if not self.can_withdraw():
            return False
        self._tokens -= 1.0
        self.spent += 1
        check_invariant(self.spent <= self._allowed + 1e-6, "retry budget exceeded")
        return True


class RateBudget:
    """Limits messages per second, and counts the bytes sent.

    No time window sees more messages than the rate times its length plus the burst.

    Attributes
    ----------
    spent : int
        Messages sent.
    bytes_spent : int
    """

    __slots__ = ("_allowed", "_refilled_s", "_tokens", "bytes_spent", "spent")

    def __init__(self):
        self._tokens = None
        self._allowed = 0.0
        self._refilled_s = 0.0
        self.spent = 0
        self.bytes_spent = 0

    def withdraw(self, rate_per_s: float, now_s: float) -> bool:
        """Take one message's token at `now_s`; return False if there is none.

        Parameters
        ----------
        rate_per_s : float
            Maximum messages per second. The bucket holds the tokens of
            `PROBE_BURST_S`, but at least one.
        now_s : float
            The event loop's clock.
        """
        burst = max(1.0, rate_per_s * PROBE_BURST_S)
        if self._tokens is None:
            self._tokens = self._allowed = burst
        else:
            gained = (now_s - self._refilled_s) * rate_per_s
            self._allowed += gained
            self._tokens = min(self._tokens + gained, burst)
        self._refilled_s = now_s
        if rate_per_s <= 0 or self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        self.spent += 1
        check_invariant(self.spent <= self._allowed + 1e-6, "probe budget exceeded")
        return True
