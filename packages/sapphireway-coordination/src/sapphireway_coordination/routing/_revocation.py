"""Timing of the requests that revoke attempts without a reply."""

from sapphireway_coordination.routing._attempts import Attempt, Progress

SILENCE_DEFAULT_S = 0.1
IDEMPOTENT_SILENCE_FACTOR = 4
REVOKE_INTERVAL_MIN_S = 0.01
REVOKE_INTERVAL_MAX_S = 0.25
REVOKE_INTERVAL_ROUND_TRIPS = 4
REVOKE_DOUBLINGS_MAX = 10
FINAL_MARGIN_SHARE_MAX = 0.25
FINAL_MARGIN_S = 0.005
FINAL_MARGIN_ROUND_TRIPS = 2


def get_first_revoke_time(
    attempt: Attempt, idempotent: bool, silence_s: float | None
) -> float:
    """Return when to revoke an attempt first, so that another server can run the call.

    An attempt of an idempotent call is revoked later, as it is hedged first.

    Parameters
    ----------
    attempt : Attempt
    idempotent : bool
    silence_s : float or None
        Time within which nearly all attempts are answered; None if unknown.
    """
    silence_s = silence_s or SILENCE_DEFAULT_S
    if idempotent:
        silence_s *= IDEMPOTENT_SILENCE_FACTOR
    return attempt.sent_s + silence_s


def get_final_revoke_time(attempt: Attempt, deadline_s: float) -> float:
    """Return the latest time to revoke, so that the reply arrives by the deadline."""
    margin_s = FINAL_MARGIN_S + FINAL_MARGIN_ROUND_TRIPS * attempt.load.round_trip_s
    total_s = deadline_s - attempt.sent_s
    return deadline_s - min(margin_s, FINAL_MARGIN_SHARE_MAX * total_s)


def get_next_revoke_time(attempt: Attempt) -> float:
    """Return when to revoke again.

    Started attempts are revoked too: the node then resends a lost reply, and a
    restart of the node is detected.
    """
    if attempt.progress is Progress.STARTED:
        return attempt.revoked_s + REVOKE_INTERVAL_MAX_S
    interval_s = max(
        REVOKE_INTERVAL_MIN_S, REVOKE_INTERVAL_ROUND_TRIPS * attempt.load.round_trip_s
    )
    interval_s *= 2 ** min(attempt.revokes - 1, REVOKE_DOUBLINGS_MAX)
    return attempt.revoked_s + min(interval_s, REVOKE_INTERVAL_MAX_S)
