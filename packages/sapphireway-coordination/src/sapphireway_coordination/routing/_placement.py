"""Choice of a server where hosts are shared with noisy neighbours.

Answers the load of a day on which a quarter to two fifths of the hosts are several
times slower than usual at any moment, each for about half a second. Every server tells
its node, and the nodes tell each other, how slow its host is now; placing a request is
then a choice among what it would cost everywhere: the work at the host's present speed,
the wait behind what is there, the way, and the bytes that leave the failure domain.
"""

import random
from collections.abc import Callable, Sequence

from sapphireway_coordination.routing._call import Call
from sapphireway_coordination.routing._loads import ServerLoad
from sapphireway_coordination.routing._routing import Choose, choose_predicted
from sapphireway_coordination.routing._slow_host import estimate_slowed_time

WORK_UNKNOWN_S = 0.05  # of a kind that was not answered yet
SLOWNESS_TRUST_S = (
    2.0  # nodes tell changes at once, and their load several times a second
)
KNEE = 0.75  # share of the slots above which servers slow down
KNEE_SLOWDOWN = 0.7  # what the last slot adds to the time of a request
SPREAD = 0.1  # of the cost, so that entry nodes with equal knowledge don't herd
FAILURE_PENALTY = 20.0
BYTES_PER_KB = 1024
MS_PER_S = 1000.0


def make_choose_lowest_cost(
    domain: str,
    get_work_s: Callable[[Call], float | None],
    get_answer_bytes: Callable[[Call], float],
) -> Choose:
    """Return a choice of the server where a request costs least.

    Parameters
    ----------
    domain : str
        Failure domain of this node.
    get_work_s : callable
        Returns the usual time of requests like a call; None if it is not known.
    get_answer_bytes : callable
        Returns the usual size of answers to a call.
    """

    def choose_lowest_cost(
        candidates: Sequence[ServerLoad], call: Call, rng: random.Random, now_s: float
    ) -> ServerLoad:
        if not any(tells_slowness(load) for load in candidates):
            return choose_predicted(candidates, call, rng, now_s)
        work_s = get_work_s(call) or WORK_UNKNOWN_S
        moved_kb = (len(call.body) + get_answer_bytes(call)) / BYTES_PER_KB
        crossing_s = moved_kb * call.policy.crossing_ms_per_kb / MS_PER_S
        mean = estimate_mean_slowness(candidates)

        def estimate_cost(load):
            slowness = estimate_slowness(load, mean, now_s)
            cost_s = estimate_time(load, work_s, slowness)
            if load.member.domain != domain:
                cost_s += crossing_s
            cost_s *= 1.0 + FAILURE_PENALTY * load.get_failure_rate(now_s)
            return cost_s * rng.uniform(1.0, 1.0 + SPREAD)

        return min(candidates, key=estimate_cost)

    return choose_lowest_cost


def tells_slowness(load: ServerLoad) -> bool:
    """Tell whether a server's node has said how slow its host is."""
    return load.report is not None and load.report.slowness > 0.0


def estimate_mean_slowness(loads: Sequence[ServerLoad]) -> float:
    """Return the mean slowness of the servers that tell it; 1 if none does."""
    told = [load.report.slowness for load in loads if tells_slowness(load)]
    return sum(told) / len(told) if told else 1.0


def estimate_slowness(load: ServerLoad, mean: float, now_s: float) -> float:
    """Return how slow a server is to be expected; old news fade to the mean."""
    if not tells_slowness(load):
        return mean
    age_s = now_s - load.heard_s
    trust = max(0.0, 1.0 - age_s / SLOWNESS_TRUST_S)
    return mean + trust * (load.report.slowness - mean)


def estimate_time(load: ServerLoad, work_s: float, slowness: float) -> float:
    """Return the time until a request would be answered, in seconds."""
    slots = max(load.report.limit if load.report is not None else load.member.slots, 1)
    demand = len(load.outstanding) + load.count_others() + 1
    share = min(demand / slots, 1.0)
    knee = max(0.0, share - KNEE) / (1.0 - KNEE)
    span_s = load.report.slow_span_s if load.report is not None else 0.0
    work_s = estimate_slowed_time(work_s, slowness, span_s)
    run_s = work_s * (1.0 + KNEE_SLOWDOWN * knee)
    wait_s = max(0.0, demand - slots) / slots * work_s
    return load.round_trip_s + max(wait_s, estimate_cold_wait(load)) + run_s


def estimate_cold_wait(load: ServerLoad) -> float:
    """Return the time until a cold server may start another request, in seconds."""
    report = load.report
    if report is None or not report.starts_per_s:
        return 0.0
    sent_since = max(0, len(load.outstanding) - load.own_at_report)
    return (report.queued + sent_since) / report.starts_per_s


def has_free_slot(load: ServerLoad) -> bool:
    """Tell whether a server would run another request at once and at full speed."""
    if load.report is None:
        return False
    if estimate_cold_wait(load) > 0.0:
        return False
    demand = len(load.outstanding) + load.count_others() + 1
    return demand <= load.report.limit * KNEE
