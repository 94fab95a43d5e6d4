"""Refusal at the entry node of calls that their service would refuse anyway."""

import math
import random

TRUST_S = 1.0
ACCEPTS_FACTOR = 2.0
CALLS_MIN = 10.0


class Shedder:
    """Adaptive throttle of one service: sheds what exceeds twice its accepts.

    The lightest request kinds are shed first. A trickle always passes, so that
    the service's return is seen.
    """

    __slots__ = ("_accepts", "_by_weight", "_calls", "_faded_s")

    def __init__(self):
        self._accepts = 0.0
        self._by_weight = {}
        self._calls = 0.0
        self._faded_s = -math.inf

    def admit(self, weight: int, rng: random.Random, now_s: float) -> bool:
        """Count a call of `weight`; False if it is to be refused."""
        self._fade(now_s)
        self._calls += 1.0
        self._by_weight[weight] = self._by_weight.get(weight, 0.0) + 1.0
        chance = self.get_chance(weight)
        return chance >= 1.0 or rng.random() < chance

    def take_accept(self, now_s: float) -> None:
        """Count a call that the service answered well."""
        self._fade(now_s)
        self._accepts += 1.0

    def get_chance(self, weight: int) -> float:
        """Return the chance of a call of `weight` to be admitted."""
        excess = self._calls - ACCEPTS_FACTOR * self._accepts
        if excess <= 0.0 or self._calls < CALLS_MIN:
            return 1.0
        # One call of those counted passes even if none was accepted.
        room = max(self._calls - excess, 1.0)
        heavier = sum(n for w, n in self._by_weight.items() if w > weight)
        same = max(self._by_weight.get(weight, 0.0), 1.0)
        return min(max((room - heavier) / same, 1.0 / (self._calls + 1.0)), 1.0)

    def _fade(self, now_s):
        keep = math.exp((self._faded_s - now_s) / TRUST_S)
        self._faded_s = now_s
        self._accepts *= keep
        self._calls *= keep
        for weight, count in list(self._by_weight.items()):
            self._by_weight[weight] = count * keep
