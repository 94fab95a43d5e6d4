"""Adaptive limit of the requests in flight at one server."""

import math
from collections.abc import Callable

import msgspec

INCREASE_PER_ROUND = 0.5
DECREASE_FACTOR = 0.7
SLOW_RATIO = 3.0
GRADIENT_TOLERANCE = 1.5
GRADIENT_MIN = 0.5
GRADIENT_SMOOTHING = 0.2
LIMIT_MIN = 1.0
COLD_ANSWERS_MIN = 20
SLOW_ANSWERS_MIN = 5


class Sample(msgspec.Struct, frozen=True):
    """Outcome of one finished attempt, as input of the limit algorithm.

    Attributes
    ----------
    ok : bool
        The server answered without shedding.
    saturated : bool
        The limit was reached when it started.
    latency_ratio : float
        Response time relative to the baseline of its kind; not used unless `ok`.
    """

    ok: bool
    saturated: bool
    latency_ratio: float = 1.0


UpdateLimit = Callable[[float, Sample], float]
"""Returns the new limit, given the current one and a sample."""


def make_additive_update() -> UpdateLimit:
    """Return an additive increase, multiplicative decrease update (AIMD).

    A round has as many samples as the limit. Each has at most one decrease, because all
    requests of a round saw the same overload.
    """
    samples_to_wait = 0

    def update(limit, sample):
        nonlocal samples_to_wait
        samples_to_wait = max(0, samples_to_wait - 1)
        if not sample.ok or sample.latency_ratio > SLOW_RATIO:
            if samples_to_wait:
                return limit
            samples_to_wait = math.ceil(limit)
            return limit * DECREASE_FACTOR
        if sample.saturated:
            return limit + INCREASE_PER_ROUND / limit
        return limit

    return update


def make_gradient_update() -> UpdateLimit:
    """Return an update that follows the ratio of baseline to current response time."""
    smoothed_ratio = 1.0

    def update(limit, sample):
        nonlocal smoothed_ratio
        if not sample.ok:
            return limit * DECREASE_FACTOR ** (1.0 / limit)
        smoothed_ratio += GRADIENT_SMOOTHING * (sample.latency_ratio - smoothed_ratio)
        gradient = GRADIENT_TOLERANCE / max(smoothed_ratio, GRADIENT_TOLERANCE)
        gradient = max(GRADIENT_MIN, gradient)
        headroom = math.sqrt(limit) if sample.saturated else 0.0
        target = limit * gradient + headroom
        return limit + (target - limit) * GRADIENT_SMOOTHING / limit

    return update


class ConcurrencyLimit:
    """The current limit, between one and a ceiling.

    Parameters
    ----------
    make_update : callable
        Creates the algorithm that adapts the limit to the samples.

    Attributes
    ----------
    ceiling : int
        The minimum of the server's slots and connections.
    cold : bool
        True until the limit has risen from the cold limit to the ceiling.
    """

    __slots__ = (
        "_good_answers_left",
        "_good_answers_min",
        "_make_update",
        "_update",
        "_value",
        "ceiling",
        "cold",
    )

    def __init__(self, make_update: Callable[[], UpdateLimit] = make_additive_update):
        self._good_answers_min = 0
        self._good_answers_left = 0
        self._make_update = make_update
        self._update = make_update()
        self._value = 0.0
        self.ceiling = 0
        self.cold = True

    @property
    def value(self) -> int:
        """Maximum number of requests in flight."""
        return int(self._value)

    def set_ceiling(self, ceiling: int) -> None:
        """Set the upper bound and lower the limit to it if needed."""
        self.ceiling = ceiling
        self._value = min(self._value, float(ceiling))

    def start_cold(
        self, cold_limit: int, good_answers_min: int = COLD_ANSWERS_MIN
    ) -> None:
        """Restart at the cold limit.

        The limit does not rise before `good_answers_min` consecutive good answers.
        """
        self._good_answers_min = good_answers_min
        self._good_answers_left = good_answers_min
        self._update = self._make_update()
        self._value = float(min(cold_limit, self.ceiling))
        self.cold = True

    def record(self, sample: Sample) -> None:
        """Update the limit with one finished attempt."""
        if self._good_answers_left:
            good = sample.ok and sample.latency_ratio <= SLOW_RATIO
            left = self._good_answers_left - 1
            self._good_answers_left = left if good else self._good_answers_min
            if good:
                return
        updated = self._update(self._value, sample)
        self._value = min(max(updated, LIMIT_MIN), float(self.ceiling))
        if self._value >= self.ceiling:
            self.cold = False
