"""One call from the callers' interface to its outcome: members, trace, claim."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any

from sapphireway._metrics import Metrics
from sapphireway_coordination import Call, Claimant, Dispatcher, Membership
from sapphireway_protocol import NotRun, NotRunReason, Outcome

FIRST_MEMBERS_TIMEOUT_S = 1.0

Conduct = Callable[[Call, Any], Awaitable[Outcome]]
"""Conducts a call; gets the claimant's fences of the moment when it arrived."""


def make_conduct(
    membership: Membership,
    dispatcher: Dispatcher,
    claimant: Claimant,
    metrics: Metrics,
    is_stopping: Callable[[], bool],
) -> Conduct:
    """Return a function that conducts calls and records how long they took."""

    async def run_call(call, fences):
        if call.key is None or call.policy.idempotent:
            return await dispatcher.dispatch(call)
        # The claim tells also a stopping node whether the key has run.
        dispatch = _refuse_stopping if is_stopping() else dispatcher.dispatch
        return await claimant.run_claimed(call, dispatch, fences)

    async def conduct(call: Call, fences: Any) -> Outcome:
        await membership.follow(call.service, FIRST_MEMBERS_TIMEOUT_S)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        outcome = await run_call(call, fences)
        metrics.record(
            "sapphireway_call_seconds",
            loop.time() - started_s,
            service=call.service,
            kind=call.kind,
            outcome=type(outcome).__name__,
        )
        return outcome

    return conduct


def make_traced_conduct(conduct: Conduct, tracer: Any) -> Conduct:
    """Return `conduct` inside of a span for the calls that are traced.

    Parameters
    ----------
    conduct : Conduct
    tracer : CallTracer
    """

    async def conduct_traced(call: Call, fences: Any) -> Outcome:
        headers, span = tracer.start_call(
            call.headers,
            call.policy.trace_percent,
            call=call.call_id,
            service=call.service,
            kind=call.kind,
        )
        if span is None:
            return await conduct(call, fences)
        try:
            outcome = await conduct(dataclasses.replace(call, headers=headers), fences)
            span.set_attribute("outcome", type(outcome).__name__)
            return outcome
        finally:
            span.end()

    return conduct_traced


async def _refuse_stopping(call):
    return NotRun(NotRunReason.STOPPING)
