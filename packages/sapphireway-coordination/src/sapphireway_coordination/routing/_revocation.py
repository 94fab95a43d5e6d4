"""When to ask that a silent attempt never starts."""

from sapphireway_coordination.routing._attempts import Attempt, Progress

SILENCE_DEFAULT_S = 0.1
HEDGES_BEFORE_REVOKE = 4
PAUSE_MIN_S = 0.01
PAUSE_MAX_S = 0.25
PAUSE_ROUND_TRIPS = 4
PAUSE_DOUBLINGS = 10
FINAL_SHARE = 0.25
FINAL_S = 0.005
FINAL_ROUND_TRIPS = 2


def get_first_revoke(
    attempt: Attempt, idempotent: bool, silence_s: float | None
) -> float:
    """Return when an attempt has been silent for long enough to be moved elsewhere.

    An idempotent one is hedged first.

    Parameters
    ----------
    attempt : Attempt
    idempotent : bool
    silence_s : float or None
        Time within which nearly all attempts are answered, if it is known.
    """
    silence_s = silence_s or SILENCE_DEFAULT_S
    if idempotent:
        silence_s *= HEDGES_BEFORE_REVOKE
    return attempt.sent_s + silence_s


def get_final_revoke(attempt: Attempt, deadline_s: float) -> float:
    """Return when to ask at last, so that the answer arrives by the deadline."""
    margin_s = FINAL_S + FINAL_ROUND_TRIPS * attempt.load.round_trip_s
    total_s = deadline_s - attempt.sent_s
    return deadline_s - min(margin_s, FINAL_SHARE * total_s)


def get_next_revoke(attempt: Attempt) -> float:
    """Return when to ask again.

    A started attempt is asked too: a lost reply is sent again by that, and a
    restart of the node is noticed.
    """
    if attempt.progress is Progress.STARTED:
        return attempt.revoked_s + PAUSE_MAX_S
    pause_s = max(PAUSE_MIN_S, PAUSE_ROUND_TRIPS * attempt.load.round_trip_s)
    pause_s *= 2 ** min(attempt.revokes - 1, PAUSE_DOUBLINGS)
    return attempt.revoked_s + min(pause_s, PAUSE_MAX_S)
