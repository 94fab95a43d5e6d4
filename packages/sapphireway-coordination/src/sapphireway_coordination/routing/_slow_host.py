"""Run time of work on a temporarily slow host."""


def estimate_slowed_time(work_s: float, slowness: float, slow_span_s: float) -> float:
    """Return the run time of work on a temporarily slow host, in seconds.

    A slow period of `slow_span_s` delays the work by less than its own length.
    """
    if slowness <= 1.0:
        return work_s
    slow_s = work_s * slowness
    if not slow_span_s:
        return slow_s
    return min(slow_s, work_s + slow_span_s * (1.0 - 1.0 / slowness))
