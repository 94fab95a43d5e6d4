"""Load shedding at the entry node, for services that refuse calls for overload."""

import math
import random

DECREASE_FACTOR = 0.98
INCREASE_PER_S = 1.0
SHARE_MIN = 0.1
WEIGHTS_DECAY_S = 1.0


class Shedder:
    """Adapts the share of one service's calls that the entry node admits.

    Each refusal for overload lowers the share; it grows with time, so that it is back
    at 1 within a second after the overload ends. Failures don't lower it, as fewer
    calls would not help against them. Kinds with the lowest weight are shed first.
    """

    __slots__ = ("_calls_by_weight", "_share", "_updated_s")

    def __init__(self):
        self._calls_by_weight = {}
        self._updated_s = -math.inf
        self._share = 1.0

    def admit(self, weight: int, rng: random.Random, now_s: float) -> bool:
        """Count a call of `weight` and return whether to admit it."""
        self._advance_time(now_s)
        self._calls_by_weight[weight] = self._calls_by_weight.get(weight, 0.0) + 1.0
        probability = self.get_admit_probability(weight)
        return probability >= 1.0 or rng.random() < probability

    def record_overload(self, now_s: float) -> None:
        """Lower the admitted share after the service refused a call for overload."""
        self._advance_time(now_s)
        self._share = max(self._share * DECREASE_FACTOR, SHARE_MIN)

    def get_admit_probability(self, weight: int) -> float:
        """Return the probability that a call of `weight` is admitted."""
        if self._share >= 1.0:
            return 1.0
        calls = sum(self._calls_by_weight.values())
        heavier = sum(n for w, n in self._calls_by_weight.items() if w > weight)
        same = self._calls_by_weight.get(weight, 0.0)
        if same <= 0.0:
            return 1.0
        return min(max((self._share * calls - heavier) / same, 0.0), 1.0)

    def _advance_time(self, now_s):
        elapsed_s = now_s - self._updated_s
        self._updated_s = now_s
        self._share = min(self._share + INCREASE_PER_S * elapsed_s, 1.0)
        decay = math.exp(-elapsed_s / WEIGHTS_DECAY_S)
        for weight, count in self._calls_by_weight.items():
            self._calls_by_weight[weight] = count * decay
