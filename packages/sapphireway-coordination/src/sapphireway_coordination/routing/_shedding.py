"""Refusal at the entry node of calls that their service would refuse anyway."""

import math
import random

DECREASE = 0.98
INCREASE_PER_S = 1.0
SHARE_MIN = 0.1
WEIGHTS_TRUST_S = 1.0


class Shedder:
    """Adapts the share of one service's calls that the entry node lets through.

    The share falls with each refusal for overload and rises with time, so that
    it is whole again within a second of the overload's end. Failures do not
    lower it: fewer calls would not mend them. The lightest kinds are shed first.
    """

    __slots__ = ("_by_weight", "_faded_s", "_share")

    def __init__(self):
        self._by_weight = {}
        self._faded_s = -math.inf
        self._share = 1.0

    def admit(self, weight: int, rng: random.Random, now_s: float) -> bool:
        """Count a call of `weight`; False if it is to be refused."""
        self._pass_time(now_s)
        self._by_weight[weight] = self._by_weight.get(weight, 0.0) + 1.0
        chance = self.get_chance(weight)
        return chance >= 1.0 or rng.random() < chance

    def take_overload(self, now_s: float) -> None:
        """Count a refusal because the service bears no more."""
        self._pass_time(now_s)
        self._share = max(self._share * DECREASE, SHARE_MIN)

    def get_chance(self, weight: int) -> float:
        """Return the chance of a call of `weight` to be admitted."""
        if self._share >= 1.0:
            return 1.0
        calls = sum(self._by_weight.values())
        heavier = sum(n for w, n in self._by_weight.items() if w > weight)
        same = self._by_weight.get(weight, 0.0)
        if same <= 0.0:
            return 1.0
        return min(max((self._share * calls - heavier) / same, 0.0), 1.0)

    def _pass_time(self, now_s):
        passed_s = now_s - self._faded_s
        self._faded_s = now_s
        self._share = min(self._share + INCREASE_PER_S * passed_s, 1.0)
        keep = math.exp(-passed_s / WEIGHTS_TRUST_S)
        for weight, count in self._by_weight.items():
            self._by_weight[weight] = count * keep
