"""Choice of a server for an attempt, and the baselines it is measured against."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from sapphireway_coordination.routing._call import Call
from sapphireway_coordination.routing._loads import ServerLoad

Choose = Callable[[Sequence[ServerLoad], Call, random.Random, float], ServerLoad]
"""``choose(candidates, call, rng, now_s)`` returns one of the candidates."""

SAMPLE_MAX = 8
WEIGHT_MIN = 1e-6
LATENCY_PRIOR_S = 0.01
LATENCY_TOLERANCE = 1.25
EXCESS_TOLERANCE = 1.5
OWN_WEIGHT = 3.0
UTILISATION_WEIGHT = 0.5
FAILURE_PENALTY = 20.0
UNPROVEN_WEIGHT = 2.0


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


def choose_power_of_two(candidates, call, rng, now_s):
    """Choose the less loaded of two sampled servers: power of two choices (baseline).

    The load counts this node's attempts and, if there is one, the last report.
    """
    if len(candidates) == 1:
        return candidates[0]
    first, second = rng.sample(candidates, 2)
    return first if _count_load(first) <= _count_load(second) else second


def choose_predicted(candidates, call, rng, now_s):
    """Choose the server with the least predicted response time.

    Of many candidates only a random sample is weighed. The attempts of this node
    are known exactly and count in full. What the server's node reports is late,
    and the same for all entry nodes, so only bad news of it counts: a server that
    seems emptier than the rest attracts no calls by that. Calls that can't be
    repeated prefer servers that answered a moment ago; those that can explore.
    """
    if len(candidates) == 1:
        return candidates[0]
    sample = sample_near(candidates, rng)
    prior = estimate_prior(sample, now_s)
    unproven_weight = 0.0 if call.policy.idempotent else UNPROVEN_WEIGHT

    def score(load):
        unproven = 1.0 - load.get_answer_trust(now_s)
        return predict(load, prior, now_s) * (1.0 + unproven_weight * unproven)

    return min(sample, key=score)


def sample_near(candidates, rng):
    """Return the nearer half of a random sample if the candidates are many."""
    if len(candidates) <= SAMPLE_MAX:
        return rng.sample(candidates, len(candidates))
    drawn = rng.sample(candidates, min(2 * SAMPLE_MAX, len(candidates)))
    drawn.sort(key=lambda load: load.round_trip_s)
    return drawn[:SAMPLE_MAX]


@dataclass(slots=True)
class Prior:
    """What to expect of a server of which nothing fresh is known.

    Attributes
    ----------
    latency_s : float
        Server's time for an attempt.
    others : float
        Requests in flight or queued there that are not this node's.
    """

    latency_s: float
    others: float


def estimate_prior(loads: Sequence[ServerLoad], now_s: float) -> Prior:
    """Return the mean of what is known of `loads`, fresh knowledge weighing more."""
    latency_sum = latency_weight = others_sum = others_weight = 0.0
    for load in loads:
        if load.latency_s > 0.0:
            weight = WEIGHT_MIN + load.get_latency_trust(now_s)
            latency_sum += weight * load.latency_s
            latency_weight += weight
        if load.report is not None:
            weight = WEIGHT_MIN + load.get_report_trust(now_s)
            others_sum += weight * load.count_others()
            others_weight += weight
    return Prior(
        latency_sum / latency_weight if latency_weight else LATENCY_PRIOR_S,
        others_sum / others_weight if others_weight else 0.0,
    )


def predict(load: ServerLoad, prior: Prior, now_s: float) -> float:
    """Return the response time to expect of one more attempt, in seconds."""
    demand = estimate_demand(load, prior, now_s)
    slots = load.report.limit if load.report is not None else load.member.slots
    utilisation = demand / max(slots, 1)
    queueing = UTILISATION_WEIGHT * utilisation + max(0.0, utilisation - 1.0)
    server_s = estimate_latency(load, prior, now_s) * (1.0 + queueing)
    failing = 1.0 + FAILURE_PENALTY * load.get_failure_rate(now_s)
    return (load.round_trip_s + server_s) * failing


def estimate_latency(load: ServerLoad, prior: Prior, now_s: float) -> float:
    """Return the server's time for an attempt, without queueing.

    Differences that chance may explain are taken for none. The age of an attempt
    that is not answered yet is evidence too, long before its answer.
    """
    trust = load.get_latency_trust(now_s)
    latency_s = prior.latency_s + trust * (load.latency_s - prior.latency_s)
    latency_s = max(latency_s, load.get_oldest_age(now_s) - load.round_trip_s)
    if latency_s <= LATENCY_TOLERANCE * prior.latency_s:
        return prior.latency_s
    return latency_s / LATENCY_TOLERANCE


def estimate_demand(load: ServerLoad, prior: Prior, now_s: float) -> float:
    """Return the requests to expect at a server, this one included."""
    demand = 1.0 + OWN_WEIGHT * len(load.outstanding)
    if load.report is None:
        return demand
    excess = load.count_others() - EXCESS_TOLERANCE * prior.others
    return demand + load.get_report_trust(now_s) * max(excess, 0.0)


def _count_load(load):
    own = len(load.outstanding)
    if load.report is None:
        return own
    return own + load.count_others()
