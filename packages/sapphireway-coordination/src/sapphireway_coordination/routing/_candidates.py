"""Selection of candidate servers and feedback from ended attempts."""

from collections.abc import Sequence

from sapphireway_coordination.routing._attempts import Attempt
from sapphireway_coordination.routing._call import Call
from sapphireway_coordination.routing._ejection import Ejector, list_usable
from sapphireway_coordination.routing._loads import ServerLoad
from sapphireway_coordination.routing._outcomes import is_failure
from sapphireway_coordination.routing._placement import reports_slowness
from sapphireway_protocol import Answered, NotRun


def list_candidates(
    dispatcher, call: Call, tried: Sequence[ServerLoad], now_s: float
) -> Sequence[ServerLoad]:
    """Return the servers to choose from for the next attempt of `call`.

    Servers that were tried are excluded, and so are their failure domains if other
    servers remain. During a rollout of the service the servers are of one version. The
    first attempt may send a load probe.
    """
    members = dispatcher.get_members(call.service)
    loads = dispatcher.loads.list_loads(call.service, members)
    if loads and not tried:
        dispatcher.prober.probe_for_call(loads, call.policy, now_s)
    serving = [load for load in loads if load.is_serving(now_s)]
    untried = [load for load in serving if load not in tried] if tried else serving
    # Before ejected servers are left out: a version whose servers are all ejected must
    # not lose its share of the requests, and with it the evidence against it.
    allowed = dispatcher.versions.select(call, untried, dispatcher.observe)
    if allowed is untried:
        usable = list_usable(serving, call, now_s)
        untried = [load for load in usable if load not in tried]
    else:
        untried = list_usable(allowed, call, now_s)
    if not tried:
        return untried
    if any(reports_slowness(load) for load in untried):
        # The slowness of each host matters more than its failure domain.
        return untried
    domains = {load.member.domain for load in tried}
    elsewhere = [load for load in untried if load.member.domain not in domains]
    return elsewhere or untried


def record_attempt_end(attempt: Attempt, ejector: Ejector, now_s: float) -> None:
    """Update the load and ejection state of a server from an ended attempt.

    A failure adds no latency sample: a fast failure would make the server look fast.
    """
    elapsed_s = now_s - attempt.sent_s
    load = attempt.load
    result = attempt.result
    if attempt.server_s:
        load.record_round_trip(max(elapsed_s - attempt.server_s, 0.0))
    if isinstance(result, NotRun):
        return
    if isinstance(result, Answered) and not is_failure(result):
        ejector.record_success(load, now_s)
        load.record_answer(attempt.sent_s)
        load.record_latency(max(elapsed_s - load.round_trip_s, 0.0), now_s)
        return
    detail = getattr(result, "detail", "") or "failed answer"
    ejector.record_failure(load, now_s, detail)
