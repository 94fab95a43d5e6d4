"""Choice of the server with the lowest cost on hosts with noisy neighbours.

Made for fleets where at any moment a quarter to two fifths of the hosts are several
times slower than usual, each for about half a second. Every server reports the current
slowness of its host to its node, and the nodes report it to each other. The cost of a
request at a server is the sum of the run time at the host's current speed, the wait in
the queue, the round trip, and the transfer of bytes out of the failure domain.
"""

import random
from collections.abc import Callable, Sequence

from sapphireway_coordination.routing._call import Call
from sapphireway_coordination.routing._loads import ServerLoad
from sapphireway_coordination.routing._routing import (
    FAILURE_PENALTY,
    Choose,
    choose_predicted,
)
from sapphireway_coordination.routing._slow_host import estimate_slowed_time

WORK_DEFAULT_S = 0.05  # run time of a kind without answers yet
# Age at which a report has no effect; nodes report changes at once, and their load
# several times per second.
SLOWNESS_AGE_MAX_S = 2.0
KNEE = 0.75  # share of the slots above which servers slow down
KNEE_SLOWDOWN = 0.7  # relative increase of the run time when all slots are taken
COST_JITTER = 0.1  # of the cost; keeps equally informed entry nodes from herding
BYTES_PER_KB = 1024
MS_PER_S = 1000.0


def make_choose_lowest_cost(
    domain: str,
    get_work_s: Callable[[Call], float | None],
    get_answer_bytes: Callable[[Call], float],
) -> Choose:
    """Return a function that chooses the server with the lowest cost.

    Parameters
    ----------
    domain : str
        Failure domain of this node.
    get_work_s : callable
        Returns the usual run time of requests like a call; None if unknown.
    get_answer_bytes : callable
        Returns the usual size of the answers to a call.
    """

    def choose_lowest_cost(
        candidates: Sequence[ServerLoad], call: Call, rng: random.Random, now_s: float
    ) -> ServerLoad:
        if not any(reports_slowness(load) for load in candidates):
            return choose_predicted(candidates, call, rng, now_s)
        work_s = get_work_s(call) or WORK_DEFAULT_S
        transferred_kb = (len(call.body) + get_answer_bytes(call)) / BYTES_PER_KB
        transfer_s = transferred_kb * call.policy.crossing_ms_per_kb / MS_PER_S
        mean = estimate_mean_slowness(candidates)

        def estimate_cost(load):
            slowness = estimate_slowness(load, mean, now_s)
            cost_s = estimate_response_time(load, work_s, slowness)
            if load.member.domain != domain:
                cost_s += transfer_s
            cost_s *= 1.0 + FAILURE_PENALTY * load.get_failure_rate(now_s)
            return cost_s * rng.uniform(1.0, 1.0 + COST_JITTER)

        return min(candidates, key=estimate_cost)

    return choose_lowest_cost


def reports_slowness(load: ServerLoad) -> bool:
    """Return whether the last report of a server states the slowness of its host."""
    return load.report is not None and load.report.slowness > 0.0


def estimate_mean_slowness(loads: Sequence[ServerLoad]) -> float:
    """Return the mean of the reported slownesses; 1 if there are none."""
    slownesses = [load.report.slowness for load in loads if reports_slowness(load)]
    return sum(slownesses) / len(slownesses) if slownesses else 1.0


def estimate_slowness(load: ServerLoad, mean: float, now_s: float) -> float:
    """Return the expected slowness; old reports regress to the mean of all servers."""
    if not reports_slowness(load):
        return mean
    age_s = now_s - load.report_received_s
    confidence = max(0.0, 1.0 - age_s / SLOWNESS_AGE_MAX_S)
    return mean + confidence * (load.report.slowness - mean)


def estimate_response_time(load: ServerLoad, work_s: float, slowness: float) -> float:
    """Return the expected response time of a request, in seconds."""
    slots = max(load.report.limit if load.report is not None else load.member.slots, 1)
    demand = len(load.outstanding) + load.count_other_requests() + 1
    share = min(demand / slots, 1.0)
    beyond_knee = max(0.0, share - KNEE) / (1.0 - KNEE)
    span_s = load.report.slow_span_s if load.report is not None else 0.0
    work_s = estimate_slowed_time(work_s, slowness, span_s)
    run_s = work_s * (1.0 + KNEE_SLOWDOWN * beyond_knee)
    wait_s = max(0.0, demand - slots) / slots * work_s
    return load.round_trip_s + max(wait_s, estimate_rate_wait(load)) + run_s


def estimate_rate_wait(load: ServerLoad) -> float:
    """Return how long a rate-limited server queues another request, in seconds."""
    report = load.report
    if report is None or not report.starts_per_s:
        return 0.0
    sent_since = max(0, len(load.outstanding) - load.outstanding_at_report)
    return (report.queued + sent_since) / report.starts_per_s


def has_free_slot(load: ServerLoad) -> bool:
    """Return whether a server would run another request at once and at full speed."""
    if load.report is None:
        return False
    if estimate_rate_wait(load) > 0.0:
        return False
    demand = len(load.outstanding) + load.count_other_requests() + 1
    return demand <= load.report.limit * KNEE
