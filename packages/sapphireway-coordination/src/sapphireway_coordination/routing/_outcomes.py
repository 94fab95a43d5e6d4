"""Outcome of a call from the outcomes of its attempts."""

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
RETRY_AFTER_JITTER = (0.5, 1.5)  # range of the random factor
STATUS_FAILURE_MIN = 500


def combine_outcomes(
    outcomes: Sequence[Outcome], call: Call, rng: random.Random
) -> Outcome:
    """Combine the outcomes of a call's attempts into the outcome of the call.

    An attempt that may have run takes precedence over attempts that did not: the
    outcome is NotRun only if no attempt can have run.
    """
    for kind in (Answered, Failed, Unknown):
        for result in reversed(outcomes):
            if isinstance(result, kind):
                return replace_failed(result, call)
    if not outcomes:
        return refuse(
            NotRunReason.NO_SERVER,
            f"no server of service {call.service} is available",
            0.0,
            rng,
        )
    last = outcomes[-1]
    return refuse(last.reason, last.detail, last.retry_after_s, rng)


def replace_failed(result: Outcome, call: Call) -> Outcome:
    """Return Unknown instead of Failed if the call must not be repeated."""
    if isinstance(result, Failed) and not call.policy.idempotent:
        return Unknown(result.detail)
    return result


def refuse(
    reason: NotRunReason, detail: str, retry_after_s: float, rng: random.Random
) -> NotRun:
    """Return NotRun with a jittered retry-after, which spreads the retries."""
    base_s = max(retry_after_s, RETRY_AFTER_MIN_S)
    return NotRun(reason, base_s * rng.uniform(*RETRY_AFTER_JITTER), detail)


def is_failure(answered: Answered) -> bool:
    """Return whether the status of an answer reports a server failure."""
    return answered.status >= STATUS_FAILURE_MIN


def reached_server(result: Outcome) -> bool:
    """Return whether the attempt reached a server, or may have."""
    return not isinstance(result, NotRun) or result.reason is NotRunReason.SHED


def is_stale(result: Outcome) -> bool:
    """Return whether a node refused an attempt for its incarnation or latest start."""
    return isinstance(result, NotRun) and result.reason is NotRunReason.STALE
