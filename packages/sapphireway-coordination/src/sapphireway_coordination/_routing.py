"""Choice of a server for an attempt, and the baselines it is measured against."""

import math
import random
from collections.abc import Callable, Sequence

from sapphireway_coordination._call import Call
from sapphireway_coordination._loads import ServerLoad

Choose = Callable[[Sequence[ServerLoad], Call, random.Random, float], ServerLoad]
"""``choose(candidates, call, rng, now_s)`` returns one of the candidates."""

SAMPLE_SHARE = 0.6
SAMPLE_MIN = 2
LATENCY_TRUST_S = 0.3
REPORT_TRUST_S = 0.1
UTILISATION_WEIGHT = 0.5
FAILURE_PENALTY = 20.0
PRIOR_S = 0.01


def choose_random(candidates, call, rng, now_s):
    """Choose any server with equal chance (baseline)."""
    return candidates[rng.randrange(len(candidates))]


def make_choose_round_robin() -> Choose:
    """Return a function that chooses servers in turn (baseline)."""
    turn = 0

    def choose_round_robin(candidates, call, rng, now_s):
        nonlocal turn
        turn += 1
        return candidates[turn % len(candidates)]

    return choose_round_robin


def choose_least_in_flight(candidates, call, rng, now_s):
    """Choose a server with the fewest attempts of this node (baseline)."""
    fewest = min(len(load.outstanding) for load in candidates)
    return rng.choice([x for x in candidates if len(x.outstanding) == fewest])


def choose_two(candidates, call, rng, now_s):
    """Choose the less loaded of two sampled servers: power of two choices (baseline).

    The load counts this node's attempts and, if there is one, the last report.
    """
    if len(candidates) == 1:
        return candidates[0]
    first, second = rng.sample(candidates, 2)
    return first if _count_load(first) <= _count_load(second) else second


def choose_predicted(candidates, call, rng, now_s):
    """Choose the sampled server with the least predicted response time."""
    size = max(SAMPLE_MIN, math.ceil(SAMPLE_SHARE * len(candidates)))
    if size >= len(candidates):
        sample = list(candidates)
        rng.shuffle(sample)
    else:
        sample = rng.sample(candidates, size)
    if len(sample) == 1:
        return sample[0]
    prior = estimate_prior(candidates, now_s)
    return min(sample, key=lambda load: predict(load, prior, now_s))


class Prior:
    """What to expect of a server of which nothing fresh is known.

    Attributes
    ----------
    latency_s : float
    others : float
        Requests in flight or queued there that are not this node's.
    """

    __slots__ = ("latency_s", "others")

    def __init__(self, latency_s: float, others: float):
        self.latency_s = latency_s
        self.others = others


def estimate_prior(loads: Sequence[ServerLoad], now_s: float) -> Prior:
    """Return the mean of what is known of `loads`, fresh knowledge weighing more."""
    latency_sum = latency_weight = others_sum = others_weight = 0.0
    for load in loads:
        if load.latency_s > 0.0:
            weight = 1e-6 + load.get_latency_trust(now_s, LATENCY_TRUST_S)
            latency_sum += weight * load.latency_s
            latency_weight += weight
        if load.report is not None:
            weight = 1e-6 + math.exp((load.heard_s - now_s) / REPORT_TRUST_S)
            others_sum += weight * count_others(load)
            others_weight += weight
    return Prior(
        latency_sum / latency_weight if latency_weight else PRIOR_S,
        others_sum / others_weight if others_weight else 0.0,
    )


def predict(load: ServerLoad, prior: Prior, now_s: float) -> float:
    """Return the response time to expect of one more attempt, in seconds."""
    trust = load.get_latency_trust(now_s, LATENCY_TRUST_S)
    latency_s = prior.latency_s + trust * (load.latency_s - prior.latency_s)
    latency_s = max(latency_s, load.get_oldest_age(now_s))
    queue = count_expected(load, prior, now_s) + 1.0
    limit = load.report.limit if load.report is not None else load.member.slots
    limit = max(limit, 1)
    latency_s *= 1.0 + UTILISATION_WEIGHT * queue / limit + max(0.0, queue / limit - 1)
    return latency_s * (1.0 + FAILURE_PENALTY * load.get_failure_rate(now_s))


def count_expected(load: ServerLoad, prior: Prior, now_s: float) -> float:
    """Return the requests expected at a server: this node's and, fading, others'."""
    own = len(load.outstanding)
    if load.report is None:
        return own + prior.others
    trust = math.exp((load.heard_s - now_s) / REPORT_TRUST_S)
    return own + prior.others + trust * (count_others(load) - prior.others)


def count_others(load: ServerLoad) -> int:
    """Return the requests of other nodes when the last report was made."""
    reported = load.report.in_flight + load.report.queued
    return max(reported - load.own_at_report, 0)


def _count_load(load):
    own = len(load.outstanding)
    if load.report is None:
        return own
    return own + count_others(load)
