"""Ages that count suspensions of the host."""

import time
from collections.abc import Callable

Instant = tuple[float, float]
"""Readings of the monotonic clock and of the clock that counts suspensions, in s."""

ReadInstant = Callable[[], Instant]
"""Returns the current `Instant`; tests replace it."""


def read_instant() -> Instant:
    """Return the current readings of the process's clocks."""
    return time.monotonic(), time.clock_gettime(time.CLOCK_BOOTTIME)


def compute_age(since: Instant, now: Instant) -> float:
    """Return the seconds from one instant to another, the larger of both clocks'."""
    return max(now[0] - since[0], now[1] - since[1])


def shift_back(instant: Instant, age_s: float) -> Instant:
    """Return the instant that is `age_s` seconds earlier."""
    return instant[0] - age_s, instant[1] - age_s
