"""How long work takes on a host that is slow for a while."""


def estimate_slowed_time(work_s: float, slowness: float, slow_span_s: float) -> float:
    """Return how long work takes on a host that is slow for a while, in seconds.

    A slow time that lasts `slow_span_s` holds up no more than that much.
    """
    if slowness <= 1.0:
        return work_s
    slow_s = work_s * slowness
    if not slow_span_s:
        return slow_s
    return min(slow_s, work_s + slow_span_s * (1.0 - 1.0 / slowness))
