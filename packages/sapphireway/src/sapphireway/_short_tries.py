"""Requests to the quorum in short tries, for operators that wait only a second."""

import asyncio
from collections.abc import Awaitable, Callable

from sapphireway._operator_backend import Unavailable
from sapphireway_coordination import Committed, ReadResult

# Operators go on to another node after a second. A host that does not answer must not
# take all of it, and an order that was committed twice is acknowledged twice.
TRY_TIMEOUT_S = 0.4
RETRY_WAIT_S = 0.02


async def repeat_in_short_tries(
    request: Callable[[float], Awaitable], timeout_s: float
) -> Committed | ReadResult | Unavailable:
    """Repeat a request until it succeeds; return the last result after the timeout.

    A host that has lost the quorum leaves the next try to another host.

    Parameters
    ----------
    request : callable
        Awaited with the seconds that a try may take; must be idempotent.
    timeout_s : float
        Time for all tries together.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    maybe_applied = False
    while True:
        remaining_s = deadline_s - loop.time()
        result = await request(min(TRY_TIMEOUT_S, remaining_s))
        if isinstance(result, Committed | ReadResult):
            return result
        maybe_applied |= result.maybe_applied
        if result.lost_quorum or loop.time() + RETRY_WAIT_S >= deadline_s:
            return Unavailable(result.detail, maybe_applied)
        await asyncio.sleep(RETRY_WAIT_S)
