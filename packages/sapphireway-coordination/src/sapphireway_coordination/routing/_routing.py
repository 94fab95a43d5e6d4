"""Choice of a server for an attempt, and baselines to compare it with."""

import random
from collections.abc import Callable, Sequence

import msgspec

from sapphireway_coordination.routing._call import Call
from sapphireway_coordination.routing._loads import ServerLoad

Choose = Callable[[Sequence[ServerLoad], Call, random.Random, float], ServerLoad]
"""``choose(candidates, call, rng, now_s)`` returns one of the candidates."""

SAMPLE_MAX = 8
WEIGHT_MIN = 1e-6
LATENCY_PRIOR_S = 0.01
LATENCY_TOLERANCE = 1.25
EXCESS_TOLERANCE = 1.5
OUTSTANDING_WEIGHT = 3.0
UTILISATION_WEIGHT = 0.5
FAILURE_PENALTY = 20.0
NO_RECENT_ANSWER_WEIGHT = 2.0


def choose_random(candidates, call, rng, now_s):
    """Choose a server uniformly at random (baseline)."""
    return candidates[rng.randrange(len(candidates))]


def make_choose_round_robin() -> Choose:
    """Return a function that chooses servers round robin (baseline)."""
    turn = 0

    def choose_round_robin(candidates, call, rng, now_s):
        nonlocal turn
        turn += 1
        return candidates[turn % len(candidates)]

    return choose_round_robin


def choose_least_in_flight(candidates, call, rng, now_s):
    """Choose a server with the fewest outstanding attempts of this node (baseline)."""
    fewest = min(len(load.outstanding) for load in candidates)
    return rng.choice([x for x in candidates if len(x.outstanding) == fewest])


def choose_power_of_two(candidates, call, rng, now_s):
    """Choose the less loaded of two random servers: power of two choices (baseline).

    The load is the number of outstanding attempts of this node, plus the requests of
    other nodes in the last report.
    """
    if len(candidates) == 1:
        return candidates[0]
    first, second = rng.sample(candidates, 2)
    return first if _count_load(first) <= _count_load(second) else second


def choose_predicted(candidates, call, rng, now_s):
    """Choose the server with the least predicted response time.

    Only a random sample of many candidates is scored. The attempts of this node are
    known exactly and get a high weight. Load reports are delayed and the same for all
    entry nodes, so only above-average load in them counts: a server that seems less
    loaded than the rest attracts no herd. Calls that can't be repeated prefer servers
    that answered a moment ago; idempotent calls may explore.
    """
    if len(candidates) == 1:
        return candidates[0]
    sample = sample_nearest(candidates, rng)
    prior = estimate_prior(sample, now_s)
    no_recent_answer_weight = 0.0 if call.policy.idempotent else NO_RECENT_ANSWER_WEIGHT

    def score(load):
        uncertainty = 1.0 - load.get_answer_confidence(now_s)
        return predict(load, prior, now_s) * (
            1.0 + no_recent_answer_weight * uncertainty
        )

    return min(sample, key=score)


def sample_nearest(candidates, rng):
    """Return the `SAMPLE_MAX` nearest of twice as many random candidates."""
    if len(candidates) <= SAMPLE_MAX:
        return rng.sample(candidates, len(candidates))
    drawn = rng.sample(candidates, min(2 * SAMPLE_MAX, len(candidates)))
    drawn.sort(key=lambda load: load.round_trip_s)
    return drawn[:SAMPLE_MAX]


class Prior(msgspec.Struct):
    """Expected state of a server without recent data.

    Attributes
    ----------
    latency_s : float
        Server's part of the latency of an attempt.
    other_requests : float
        Requests of other nodes, in flight or queued.
    """

    latency_s: float
    other_requests: float


def estimate_prior(loads: Sequence[ServerLoad], now_s: float) -> Prior:
    """Return the mean over `loads`, weighted by the confidence in their data."""
    latency_sum = latency_weight = other_sum = other_weight = 0.0
    for load in loads:
        if load.latency_s > 0.0:
            weight = WEIGHT_MIN + load.get_latency_confidence(now_s)
            latency_sum += weight * load.latency_s
            latency_weight += weight
        if load.report is not None:
            weight = WEIGHT_MIN + load.get_report_confidence(now_s)
            other_sum += weight * load.count_other_requests()
            other_weight += weight
    return Prior(
        latency_sum / latency_weight if latency_weight else LATENCY_PRIOR_S,
        other_sum / other_weight if other_weight else 0.0,
    )


def predict(load: ServerLoad, prior: Prior, now_s: float) -> float:
    """Return the predicted response time of one more attempt, in seconds."""
    demand = estimate_demand(load, prior, now_s)
    slots = load.report.limit if load.report is not None else load.member.slots
    utilisation = demand / max(slots, 1)
    queueing = UTILISATION_WEIGHT * utilisation + max(0.0, utilisation - 1.0)
    server_s = estimate_latency(load, prior, now_s) * (1.0 + queueing)
    failure_factor = 1.0 + FAILURE_PENALTY * load.get_failure_rate(now_s)
    return (load.round_trip_s + server_s) * failure_factor


def estimate_latency(load: ServerLoad, prior: Prior, now_s: float) -> float:
    """Return the server's part of the latency of an attempt, without queueing.

    Differences within `LATENCY_TOLERANCE` are treated as noise. The age of an
    unanswered attempt is a lower bound of the latency, long before its answer.
    """
    confidence = load.get_latency_confidence(now_s)
    latency_s = prior.latency_s + confidence * (load.latency_s - prior.latency_s)
    latency_s = max(latency_s, load.get_oldest_age(now_s) - load.round_trip_s)
    if latency_s <= LATENCY_TOLERANCE * prior.latency_s:
        return prior.latency_s
    return latency_s / LATENCY_TOLERANCE


def estimate_demand(load: ServerLoad, prior: Prior, now_s: float) -> float:
    """Return the expected number of requests at a server, including this one."""
    demand = 1.0 + OUTSTANDING_WEIGHT * len(load.outstanding)
    if load.report is None:
        return demand
    excess = load.count_other_requests() - EXCESS_TOLERANCE * prior.other_requests
    return demand + load.get_report_confidence(now_s) * max(excess, 0.0)


def _count_load(load):
    own = len(load.outstanding)
    if load.report is None:
        return own
    return own + load.count_other_requests()
