"""Which servers an attempt may go to, and what its end tells of them."""

from collections.abc import Sequence

from sapphireway_coordination.routing._attempts import Attempt
from sapphireway_coordination.routing._call import Call
from sapphireway_coordination.routing._conclusions import is_failure
from sapphireway_coordination.routing._ejection import Ejector, list_usable
from sapphireway_coordination.routing._loads import ServerLoad
from sapphireway_coordination.routing._placement import tells_slowness
from sapphireway_protocol import Answered, NotRun


def list_candidates(
    dispatcher, call: Call, tried: Sequence[ServerLoad], now_s: float
) -> Sequence[ServerLoad]:
    """Return the servers to choose from for the next attempt of `call`.

    Servers that were tried are left out, and if others remain, their failure
    domains too. The first attempt may send a load probe.
    """
    members = dispatcher.get_members(call.service)
    loads = dispatcher.loads.list_loads(call.service, members)
    if loads and not tried:
        dispatcher.prober.take_call(loads, call.policy, now_s)
    serving = [load for load in loads if load.is_serving(now_s)]
    usable = list_usable(serving, call, now_s)
    if not tried:
        return usable
    untried = [load for load in usable if load not in tried]
    if any(tells_slowness(load) for load in untried):
        # How slow each is matters more than where it is.
        return untried
    domains = {load.member.domain for load in tried}
    elsewhere = [load for load in untried if load.member.domain not in domains]
    return elsewhere or untried


def learn_end(attempt: Attempt, ejector: Ejector, now_s: float) -> None:
    """Learn of a server from the end of an attempt.

    A fast failure adds no latency sample, which would make the server look fast.
    """
    elapsed_s = now_s - attempt.sent_s
    load = attempt.load
    result = attempt.result
    if attempt.server_s:
        load.take_round_trip(max(elapsed_s - attempt.server_s, 0.0))
    if isinstance(result, NotRun):
        return
    if isinstance(result, Answered) and not is_failure(result):
        ejector.take_success(load, now_s)
        load.take_answer(attempt.sent_s)
        load.take_latency(max(elapsed_s - load.round_trip_s, 0.0), now_s)
        return
    detail = getattr(result, "detail", "") or "failed answer"
    ejector.take_failure(load, now_s, detail)
