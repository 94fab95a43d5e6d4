"""The outcome of a call whose attempts have all ended."""

import random
from collections.abc import Sequence

from sapphireway_coordination.routing._call import Call
from sapphireway_protocol import (
    Answered,
    Failed,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
)

RETRY_AFTER_MIN_S = 0.5
RETRY_AFTER_SPREAD = (0.5, 1.5)
STATUS_FAILURE_MIN = 500


def conclude(ended: Sequence[Outcome], call: Call, rng: random.Random) -> Outcome:
    """Return what the ends of a call's attempts amount to.

    An attempt that may have run outweighs any that did not: NotRun is said only
    if it is true of all.
    """
    for kind in (Answered, Failed, Unknown):
        for result in reversed(ended):
            if isinstance(result, kind):
                return hide_failed(result, call)
    if not ended:
        return refuse(NotRunReason.NO_SERVER, "no server of the service", 0.0, rng)
    last = ended[-1]
    return refuse(last.reason, last.detail, last.retry_after_s, rng)


def hide_failed(result: Outcome, call: Call) -> Outcome:
    """Return Unknown for a failed run that must not be repeated."""
    if isinstance(result, Failed) and not call.policy.idempotent:
        return Unknown(result.detail)
    return result


def refuse(
    reason: NotRunReason, detail: str, retry_after_s: float, rng: random.Random
) -> NotRun:
    """Return NotRun with a spread retry-after, so that callers return one by one."""
    base_s = max(retry_after_s, RETRY_AFTER_MIN_S)
    return NotRun(reason, base_s * rng.uniform(*RETRY_AFTER_SPREAD), detail)


def is_failure(answered: Answered) -> bool:
    """Tell whether a server's answer says that the server failed."""
    return answered.status >= STATUS_FAILURE_MIN


def reached_server(result: Outcome) -> bool:
    """Tell whether a server was given the attempt, or may have been."""
    return not isinstance(result, NotRun) or result.reason is NotRunReason.SHED


def is_stale(result: Outcome) -> bool:
    """Tell whether a node refused as it was named wrongly or its clock not known."""
    return isinstance(result, NotRun) and result.reason is NotRunReason.STALE
