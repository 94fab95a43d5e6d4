"""Evidence of how servers of two versions answer the same load."""

import bisect
from collections.abc import Mapping, Sequence

import msgspec

LATENCY_BOUNDS_MS = tuple(round(2 ** (step / 2), 3) for step in range(33))
"""Upper bounds of the latency buckets, 1 ms to 65 s; the last bucket has none."""

SLOW_SHARE_MAX = 0.1
"""Share of the old version's answers that may count as slow.

Hosts with noisy neighbours answer several times slower for half a second at a time, so
a smaller share would move the bound far into the old version's tail.
"""

LatencyCounts = Sequence[int]
"""Answers in each latency bucket; one more item than `LATENCY_BOUNDS_MS`."""


class KindStats(msgspec.Struct, frozen=True):
    """Answers to requests of one kind.

    Attributes
    ----------
    answers : int
        Requests that ended, whether well or not.
    failures : int
        Server errors, broken answers and missing answers.
    slow : int
        Answers slower than the bound from the old version's own latencies.
    """

    answers: int = 0
    failures: int = 0
    slow: int = 0


class Sample(msgspec.Struct, frozen=True):
    """Answers of the servers of one version, by kind.

    Attributes
    ----------
    total : mapping of str to KindStats
        Since the rollout was ordered.
    recent : mapping of str to KindStats
        Of the last seconds, so that a version that turns bad later is not hidden by
        the good answers before.
    """

    total: Mapping[str, KindStats]
    recent: Mapping[str, KindStats]


class Evidence(msgspec.Struct, frozen=True):
    """What is known of a running rollout.

    Attributes
    ----------
    old, new : Sample
    share : float
        Share of the service's requests that the new version may get now.
    step_s : float
        Time since that share was set.
    age_s, remaining_s : float
        Time since the rollout was ordered, and until its deadline.
    new_servers, old_servers : int
        Servers of each version that take requests at full speed.
    """

    old: Sample
    new: Sample
    share: float
    step_s: float
    age_s: float
    remaining_s: float
    new_servers: int
    old_servers: int


def find_slow_bound(old: LatencyCounts) -> float | None:
    """Return the latency in ms above which answers count as slow, None if unknown.

    It is the smallest bucket bound that at most `SLOW_SHARE_MAX` of the old version's
    answers exceed.
    """
    above = sum(old)
    allowed = SLOW_SHARE_MAX * above
    if not above:
        return None
    for bound_ms, count in zip(LATENCY_BOUNDS_MS, old, strict=False):
        above -= count
        if above <= allowed:
            return bound_ms
    return None


def count_slow(counts: LatencyCounts, bound_ms: float | None) -> int:
    """Return how many answers are slower than `bound_ms`."""
    if bound_ms is None:
        return 0
    return sum(counts[bisect.bisect_left(LATENCY_BOUNDS_MS, bound_ms) + 1 :])
