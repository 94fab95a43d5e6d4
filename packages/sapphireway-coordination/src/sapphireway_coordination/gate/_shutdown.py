"""How a stopping node shares its time between new requests and those in flight."""

from collections.abc import Iterable

SERVE_MAX_S = 3.0  # callers hear within two seconds that the node is not ready
MARGIN_S = 0.3  # for the last answers to be written before the process is killed


def compute_serve_time(grace_s: float, timeouts_s: Iterable[float]) -> float:
    """Return for how many seconds a stopping node goes on taking requests.

    Callers keep using their connections until they learn that the node leaves, other
    nodes the server beside it, which goes on; and a request that is taken must be
    able to end before the process is killed.

    Parameters
    ----------
    grace_s : float
        Time from the signal until the process is killed; 0 if it never is.
    timeouts_s : iterable of float
        Longest time that each route keeps a caller waiting.
    """
    longest_s = max(timeouts_s, default=0.0)
    return min(max(grace_s - MARGIN_S - longest_s, 0.0), SERVE_MAX_S)
