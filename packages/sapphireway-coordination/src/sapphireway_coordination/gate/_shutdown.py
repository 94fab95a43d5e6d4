"""Split of a stopping node's grace period between new requests and draining."""

from collections.abc import Iterable

SERVE_MAX_S = 3.0  # callers learn within two seconds that the node is not ready
STOP_MARGIN_S = 0.3  # to write the last answers before the process is killed
# For callers to read their last answers; the rest of the margin is for the last message
# to other nodes and the end of the process.
ANSWER_TIME_S = STOP_MARGIN_S / 2


def compute_serve_time(grace_s: float, timeouts_s: Iterable[float]) -> float:
    """Return how long a stopping node continues to accept requests, in seconds.

    Until they learn that the node leaves, callers keep using their connections and
    other nodes keep sending work to its server, which still runs. A request that is
    accepted must be able to finish before the process is killed.

    Parameters
    ----------
    grace_s : float
        Time from the signal until the process is killed; 0 if it is never killed.
    timeouts_s : iterable of float
        Timeout of each route.
    """
    longest_s = max(timeouts_s, default=0.0)
    return min(max(grace_s - STOP_MARGIN_S - longest_s, 0.0), SERVE_MAX_S)


def compute_drain_time(grace_s: float, drain_timeout_s: float) -> float:
    """Return how long a stopping node waits for requests in flight, in seconds.

    If the process is killed anyway, requests may run until shortly before that.

    Parameters
    ----------
    grace_s : float
        Time from the signal until the process is killed; 0 if it is never killed.
    drain_timeout_s : float
        Maximum time to wait if it is not killed.
    """
    return max(grace_s - STOP_MARGIN_S, 0.0) if grace_s else drain_timeout_s
