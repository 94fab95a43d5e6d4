"""A node's tokens of one workspace, and its estimate of the demand."""

import math

import msgspec

from sapphireway_coordination.quotas._bucket import CAPACITY_MIN
from sapphireway_protocol import ReturnedTokens, TokenGrant, TokenWant
from sapphireway_state import Workspace

# Tokens are fetched ahead for this long at most, which makes less than five asks a
# second.
AHEAD_S = 0.3
# A smaller bucket fills up in less time than this share of its size allows for.
AHEAD_CAPACITY_SHARE = 0.5
DEMAND_WINDOW_S = 0.4  # time constant of the estimate
SPARE_MIN = 2  # with less demand ahead, a token is fetched for each request
LOW_SHARE = 0.1  # of the tokens wanted ahead; at this level more are fetched
# Nodes that find the bucket empty ask again after 0.04 s, then more seldom.
EMPTY_MIN_S = 0.04
EMPTY_MAX_S = 0.2
EMPTY_COUNT_MAX = 8
# Tokens are handed back after as many mean gaps between requests without one.
UNUSED_GAPS = 3.0
UNUSED_MIN_S = 0.06
# Tokens that would soon expire are handed back too. Longer than the interval of the
# checks, plus the way to the owner.
EXPIRING_S = 0.08


class _Batch(msgspec.Struct):
    """Tokens of one grant; the next one may be used from `next_s` on."""

    number: int
    ready: int
    later: int
    next_s: float
    step_s: float
    expires_s: float

    def accrue(self, now_s):
        while self.later and self.next_s <= now_s:
            self.later -= 1
            self.ready += 1
            self.next_s += self.step_s


class TokenStock:
    """Tokens of one workspace at one node.

    Times named `now_s` are of the loop's clock, those named `age_s` of an `AgeClock`.

    Attributes
    ----------
    workspace : Workspace
    expired : int
        Tokens that expired unused.
    """

    __slots__ = (
        "_batches",
        "_demand",
        "_demand_s",
        "_empty_count",
        "_empty_until_s",
        "_refused",
        "_retry_s",
        "_retry_taken",
        "expired",
        "workspace",
    )

    def __init__(self, workspace: Workspace):
        self._batches = []
        self._demand = 0.0
        self._demand_s = -math.inf
        self._empty_count = 0
        self._empty_until_s = -math.inf
        self._refused = 0
        self._retry_s = 0.0
        self._retry_taken = 0
        self.expired = 0
        self.workspace = workspace

    @property
    def ahead_s(self) -> float:
        """Time for which tokens are fetched ahead."""
        capacity = max(self.workspace.burst, CAPACITY_MIN)
        full_s = capacity / self.workspace.rate_per_s
        return min(AHEAD_S, AHEAD_CAPACITY_SHARE * full_s)

    def count_arrival(self, now_s: float) -> None:
        """Count a request for the estimate of the demand."""
        decay = math.exp(-(now_s - self._demand_s) / DEMAND_WINDOW_S)
        self._demand = self._demand * decay + 1.0
        self._demand_s = now_s

    def take(self, now_s: float, age_s: float) -> float | None:
        """Use one token; return when it expires, or None if none may be used now."""
        self._expire(age_s)
        for batch in self._batches:
            batch.accrue(now_s)
            if batch.ready:
                batch.ready -= 1
                return batch.expires_s
        return None

    def add(
        self, number: int, grant: TokenGrant, now_s: float, expires_s: float
    ) -> None:
        """Add the tokens of a grant.

        Parameters
        ----------
        number : int
            Number of the ask.
        grant : TokenGrant
        now_s : float
        expires_s : float
            Age-clock time of the ask, plus the validity.
        """
        if grant.ready or grant.later:
            batch = _Batch(
                number,
                grant.ready,
                grant.later,
                now_s + grant.first_s,
                grant.step_s,
                expires_s,
            )
            self._batches.append(batch)
        if not grant.empty_s:
            self._empty_count = 0
            self._empty_until_s = -math.inf
            return
        pause_s = 0.0
        if not grant.ready and not grant.later:
            pause_s = min(EMPTY_MIN_S * 2**self._empty_count, EMPTY_MAX_S)
            self._empty_count = min(self._empty_count + 1, EMPTY_COUNT_MAX)
        self._empty_until_s = now_s + max(grant.empty_s, pause_s)
        self._retry_s = now_s + grant.retry_s
        self._retry_taken = 0

    def is_empty(self, now_s: float) -> bool:
        """Return whether the owner is known to have no further token now."""
        return now_s < self._empty_until_s

    def refuse(self, now_s: float, spread: float) -> float:
        """Count a refused request; return the time after which it finds a token.

        Each refused request is told a token of its own.

        Parameters
        ----------
        now_s : float
        spread : float
            Random number from 0 to 1.
        """
        self._refused += 1
        turn = self._retry_taken + spread
        self._retry_taken += 1
        return max(0.0, self._retry_s - now_s) + turn / self.workspace.rate_per_s

    def make_want(self, needed: int, now_s: float) -> TokenWant:
        """Return what to ask for, given the requests that wait."""
        spare = max(0, self._compute_ahead(now_s) - self._count())
        refused, self._refused = self._refused, 0
        return TokenWant(self.workspace.name, needed, spare, refused)

    def is_low(self, now_s: float, age_s: float) -> bool:
        """Return whether tokens should be fetched ahead."""
        self._expire(age_s)
        ahead = self._compute_ahead(now_s)
        return ahead > 0 and self._count() <= ahead * LOW_SHARE

    def take_unused(self, now_s: float, age_s: float) -> list[ReturnedTokens]:
        """Remove and return the tokens that are not expected to be used in time."""
        self._expire(age_s)
        unused = []
        kept = []
        is_idle = self._is_idle(now_s)
        for batch in self._batches:
            expiring = batch.expires_s - age_s < EXPIRING_S
            (unused if is_idle or expiring else kept).append(batch)
        self._batches = kept
        returned = [
            ReturnedTokens(b.number, self.workspace.name, b.ready + b.later)
            for b in unused
        ]
        return [tokens for tokens in returned if tokens.count]

    def _is_idle(self, now_s):
        gap_s = DEMAND_WINDOW_S / max(self._demand, 1.0)
        return now_s - self._demand_s >= max(UNUSED_MIN_S, UNUSED_GAPS * gap_s)

    def has_tokens(self, age_s: float) -> bool:
        """Return whether there is any token that has not expired."""
        self._expire(age_s)
        return self._count() > 0

    def _count(self):
        return sum(batch.ready + batch.later for batch in self._batches)

    def _compute_ahead(self, now_s):
        """Return the number of requests expected within the time to fetch for."""
        rate_per_s = self.workspace.rate_per_s
        idle_s = now_s - self._demand_s
        per_s = self._demand * math.exp(-idle_s / DEMAND_WINDOW_S) / DEMAND_WINDOW_S
        ahead = int(min(per_s, rate_per_s) * self.ahead_s)
        return ahead if ahead >= SPARE_MIN else 0

    def _expire(self, age_s):
        kept = [batch for batch in self._batches if age_s < batch.expires_s]
        if len(kept) != len(self._batches):
            expired = (b for b in self._batches if age_s >= b.expires_s)
            self.expired += sum(batch.ready + batch.later for batch in expired)
            self._batches = kept
