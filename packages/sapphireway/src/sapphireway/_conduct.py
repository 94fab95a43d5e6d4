"""One call from the callers' interface to its outcome: members, trace, claim."""

import asyncio
import dataclasses
from typing import Any

from sapphireway._callers import Arrival, Dispatch
from sapphireway._logs import EventLog
from sapphireway._metrics import Metrics
from sapphireway_coordination import Call, Claimant, Dispatcher, Membership
from sapphireway_protocol import Answered, NotRun, NotRunReason, Outcome

FIRST_MEMBERS_TIMEOUT_S = 1.0
TRACE_HEADER = "traceparent"
MS_PER_S = 1000


def make_conduct(
    membership: Membership,
    dispatcher: Dispatcher,
    claimant: Claimant,
    metrics: Metrics,
    log: EventLog,
    domain: str,
) -> Dispatch:
    """Return a function that conducts calls and records how long they took.

    Parameters
    ----------
    membership : Membership
    dispatcher : Dispatcher
    claimant : Claimant
    metrics : Metrics
    log : EventLog
        Gets the calls that were not answered.
    domain : str
        Failure domain of this node, a label of the metrics.
    """

    async def run_call(call, arrival):
        if call.key is None or call.policy.idempotent:
            return await dispatcher.dispatch(call)
        # The claim tells also a stopping node whether the key has run.
        dispatch = _refuse_stopping if arrival.stopping else dispatcher.dispatch
        return await claimant.run_claimed(call, dispatch, arrival.fences)

    async def conduct(call: Call, arrival: Arrival) -> Outcome:
        await membership.wait_for_members(call.service, FIRST_MEMBERS_TIMEOUT_S)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        outcome = await run_call(call, arrival)
        metrics.record(
            "sapphireway_call_seconds",
            loop.time() - started_s,
            service=call.service,
            kind=call.kind,
            domain=domain,
            outcome=type(outcome).__name__,
        )
        if not isinstance(outcome, Answered):
            _log_end(log, call, outcome, loop.time() - started_s)
        return outcome

    return conduct


def make_traced_conduct(conduct: Dispatch, tracer: Any) -> Dispatch:
    """Return `conduct` inside of a span for the calls that are traced.

    Parameters
    ----------
    conduct : Dispatch
    tracer : CallTracer
    """

    async def conduct_traced(call: Call, arrival: Arrival) -> Outcome:
        headers, span = tracer.start_call(
            call.headers,
            call.policy.trace_percent,
            call=call.call_id,
            service=call.service,
            kind=call.kind,
        )
        if span is None:
            return await conduct(call, arrival)
        try:
            traced = dataclasses.replace(call, headers=headers)
            outcome = await conduct(traced, arrival)
            span.set_attribute("outcome", type(outcome).__name__)
            return outcome
        finally:
            span.end()

    return conduct_traced


def _log_end(log, call, outcome, elapsed_s):
    trace = next((v for k, v in call.headers if k.lower() == TRACE_HEADER), "")
    log.warning(
        "call_not_answered",
        call=call.call_id,
        trace=trace,
        service=call.service,
        kind=call.kind,
        outcome=type(outcome).__name__.lower(),
        reason=str(getattr(outcome, "reason", "")),
        elapsed_ms=round(elapsed_s * MS_PER_S),
        detail=outcome.detail,
    )


async def _refuse_stopping(call):
    return NotRun(NotRunReason.STOPPING)
