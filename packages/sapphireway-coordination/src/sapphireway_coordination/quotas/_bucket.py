"""The owner's token bucket of one workspace."""

import collections
import math

import msgspec

# Tokens may be used for this long after the ask. In a window of W seconds a bucket of
# rate R then lets at most R * (W + 0.5) + burst pass, which for W = 5 is the allowed
# overage of a tenth.
TOKEN_VALIDITY_S = 0.5
# A smaller bucket would overflow between two asks. The bound's slack of 20 requests
# covers these 4 and `START_TOKENS` for ten changes of the owner in a window.
CAPACITY_MIN = 4.0
START_TOKENS = 1.6
# How far ahead tokens are promised before they have accrued; less than the validity
# that is left under the oldest confirmation of the owner's leadership.
HORIZON_S = 0.25
# A caller that is told to wait for longer gives up instead.
RETRY_MAX_S = 5.0
EPSILON = 1e-9


class BucketGrant(msgspec.Struct, frozen=True):
    """Tokens taken from a bucket.

    Attributes
    ----------
    ready : int
        Tokens that have accrued.
    later : int
        Tokens that have not; the first one accrues after `first_s`.
    first_s : float
    """

    ready: int
    later: int
    first_s: float


class TokenBucket:
    """Tokens that accrue at a rate; some are granted before they have accrued.

    Parameters
    ----------
    rate_per_s, burst : float
        The rate is positive.
    now_s : float
    level : float, optional
        Tokens at the start; a full bucket by default.

    Attributes
    ----------
    rate_per_s, capacity : float
    """

    __slots__ = (
        "_askers",
        "_backlog",
        "_issued",
        "_issued_total",
        "_level",
        "_updated_s",
        "capacity",
        "rate_per_s",
    )

    def __init__(
        self,
        rate_per_s: float,
        burst: float,
        now_s: float,
        level: float = math.inf,
    ):
        self._askers = {}
        self._backlog = 0.0
        self._issued = collections.deque()
        self._issued_total = 0
        self._updated_s = now_s
        self.rate_per_s = rate_per_s
        self.capacity = max(burst, CAPACITY_MIN)
        self._level = min(level, self.capacity)

    def set_limit(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Change the limit from now on; tokens above the new burst are dropped."""
        self._update(now_s)
        self.rate_per_s = rate_per_s
        self.capacity = max(burst, CAPACITY_MIN)
        self._update(now_s)

    def grant(self, node: str, needed: int, spare: int, now_s: float) -> BucketGrant:
        """Take the needed tokens that have accrued, and a share for later.

        A node gets an equal share of what has accrued and what accrues within
        `HORIZON_S`, among the nodes that have asked for spare tokens lately.
        """
        self._update(now_s)
        ready = min(needed, self._count_accrued())
        self._level -= ready
        pool = self._level + self.rate_per_s * HORIZON_S
        extra = max(0, min(spare, int(pool / self._count_askers(node, spare, now_s))))
        ready_extra = min(extra, self._count_accrued())
        self._level -= ready_extra
        first_s = max(0.0, (1.0 - self._level) / self.rate_per_s)
        later = extra - ready_extra
        self._level -= later
        count = ready + extra
        if count:
            self._issued.append([now_s, count])
            self._issued_total += count
        return BucketGrant(ready + ready_extra, later, first_s)

    def give_back(self, count: int, granted_s: float, now_s: float) -> None:
        """Take back unused tokens that were granted at `granted_s`.

        Tokens whose validity has passed are ignored.
        """
        self._update(now_s)
        for issued in self._issued:
            if issued[0] == granted_s:
                returned = min(count, issued[1])
                issued[1] -= returned
                count -= returned
                self._issued_total -= returned
                self._level += returned
        self._update(now_s)

    def add_refusals(self, count: int, now_s: float) -> None:
        """Expect `count` refused requests to return."""
        self._update(now_s)
        most = self.rate_per_s * RETRY_MAX_S
        self._backlog = min(self._backlog + count, most)

    def get_empty_s(self, now_s: float) -> float:
        """Return the time until the next token accrues that is not granted yet."""
        self._update(now_s)
        return max(0.0, (1.0 - self._level) / self.rate_per_s)

    def get_retry_s(self, now_s: float) -> float:
        """Return the time until a request behind the backlog finds a token."""
        self._update(now_s)
        missing = self._backlog + 1.0 - self._level
        return min(max(0.0, missing / self.rate_per_s), RETRY_MAX_S)

    def _update(self, now_s):
        gained = max(0.0, now_s - self._updated_s) * self.rate_per_s
        self._updated_s = max(self._updated_s, now_s)
        self._backlog = max(0.0, self._backlog - gained)
        while self._issued and now_s - self._issued[0][0] > TOKEN_VALIDITY_S:
            self._issued_total -= self._issued.popleft()[1]
        # With tokens handed back and granted again, those in the bucket and those that
        # may still be used must not exceed what they can reach without any return.
        reachable = self.capacity + self.rate_per_s * TOKEN_VALIDITY_S
        most = min(self.capacity, reachable - self._issued_total)
        self._level = min(self._level + gained, most)

    def _count_accrued(self):
        return max(0, int(self._level + EPSILON))

    def _count_askers(self, node, spare, now_s):
        if spare:
            self._askers[node] = now_s
        oldest_s = now_s - TOKEN_VALIDITY_S
        self._askers = {n: s for n, s in self._askers.items() if s >= oldest_s}
        return max(1, len(self._askers))
