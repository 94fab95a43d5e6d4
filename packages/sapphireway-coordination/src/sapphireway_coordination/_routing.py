"""Choice of a server for an attempt, and the baselines it is measured against."""

import random
from collections.abc import Callable, Sequence

from sapphireway_coordination._loads import ServerLoad

Choose = Callable[[Sequence[ServerLoad], random.Random, float], ServerLoad]
"""``choose(candidates, rng, now_s)`` returns one of the candidates."""


def choose_random(candidates, rng, now_s):
    """Choose any server with equal chance (baseline)."""
    return candidates[rng.randrange(len(candidates))]


def make_choose_round_robin() -> Choose:
    """Return a function that chooses servers in turn (baseline)."""
    turn = 0

    def choose_round_robin(candidates, rng, now_s):
        nonlocal turn
        turn += 1
        return candidates[turn % len(candidates)]

    return choose_round_robin


def choose_least_in_flight(candidates, rng, now_s):
    """Choose a server with the fewest attempts of this node (baseline)."""
    fewest = min(len(load.outstanding) for load in candidates)
    return rng.choice([x for x in candidates if len(x.outstanding) == fewest])


def choose_two(candidates, rng, now_s):
    """Choose the less loaded of two sampled servers: power of two choices (baseline).

    The load counts this node's attempts and, if there is one, the last report.
    """
    if len(candidates) == 1:
        return candidates[0]
    first, second = rng.sample(candidates, 2)
    return first if _count_load(first) <= _count_load(second) else second


def _count_load(load):
    own = len(load.outstanding)
    if load.report is None:
        return own
    others = load.report.in_flight + load.report.queued - load.own_at_report
    return own + max(others, 0)
