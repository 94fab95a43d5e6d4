"""Execution of a call: waits for members, claims its key, records and traces it."""

import asyncio
import hashlib
from typing import Any

import msgspec

from sapphireway._callers import Arrival, ExecuteCall
from sapphireway._logs import EventLog
from sapphireway._metrics import Metrics
from sapphireway_coordination import Call, Claimant, Dispatcher, Membership
from sapphireway_protocol import Answered, NotRun, NotRunReason, Outcome

FIRST_MEMBERS_TIMEOUT_S = 1.0
TRACE_HEADER = "traceparent"
MS_PER_S = 1000
KEY_DIGEST_CHARS = 16


def make_call_executor(
    membership: Membership,
    dispatcher: Dispatcher,
    claimant: Claimant,
    metrics: Metrics,
    log: EventLog,
    domain: str,
) -> ExecuteCall:
    """Return a function that executes calls and records their latency.

    Parameters
    ----------
    membership : Membership
    dispatcher : Dispatcher
    claimant : Claimant
    metrics : Metrics
    log : EventLog
        Receives an event for each call that was not answered.
    domain : str
        Failure domain of this node, used as a metric label.
    """

    async def run_claimed_or_dispatch(call, arrival):
        if call.key is None or call.policy.idempotent:
            return await dispatcher.dispatch(call)
        log.log_submission(
            "key_read",
            call=call.call_id,
            service=call.service,
            key_digest=digest_key(call.key),
            stopping=arrival.stopping,
        )
        # A stopping node also consults the claim: the key may have run already.
        dispatch = _answer_stopping if arrival.stopping else dispatcher.dispatch
        if arrival.refusal is not None:
            dispatch = _make_answer(arrival.refusal)
        return await claimant.run_claimed(call, dispatch, arrival.fences)

    async def execute_call(call: Call, arrival: Arrival) -> Outcome:
        await membership.wait_for_members(call.service, FIRST_MEMBERS_TIMEOUT_S)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        outcome = await run_claimed_or_dispatch(call, arrival)
        metrics.record(
            "sapphireway_call_seconds",
            loop.time() - started_s,
            service=call.service,
            kind=call.kind,
            domain=domain,
            outcome=type(outcome).__name__,
        )
        if not isinstance(outcome, Answered):
            _log_unanswered(log, call, outcome, loop.time() - started_s)
        return outcome

    return execute_call


def make_traced_executor(execute_call: ExecuteCall, tracer: Any) -> ExecuteCall:
    """Return a function that wraps `execute_call` in a span for traced calls.

    Parameters
    ----------
    execute_call : ExecuteCall
    tracer : CallTracer
    """

    async def execute_traced(call: Call, arrival: Arrival) -> Outcome:
        headers, span = tracer.start_call(
            call.headers,
            call.policy.trace_percent,
            call=call.call_id,
            service=call.service,
            kind=call.kind,
        )
        if span is None:
            return await execute_call(call, arrival)
        try:
            traced = msgspec.structs.replace(call, headers=headers)
            outcome = await execute_call(traced, arrival)
            span.set_attribute("outcome", type(outcome).__name__)
            return outcome
        finally:
            span.end()

    return execute_traced


def digest_key(key: str) -> str:
    """Return a short digest of an idempotency key, for logs."""
    return hashlib.sha256(key.encode()).hexdigest()[:KEY_DIGEST_CHARS]


def _log_unanswered(log, call, outcome, elapsed_s):
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


async def _answer_stopping(call):
    return NotRun(NotRunReason.STOPPING)


def _make_answer(refusal):
    async def answer(call):
        return refusal

    return answer
