"""How much longer attempts wait that others overtake in the admission queue.

Answers an overload in which urgent requests take most of a server. A less urgent one
that is queued behind a few others is then overtaken again and again, so its wait is
longer than the time to work off what is ahead of it now. The wait of the lower class
of a queue with priorities is that time divided by the share of the server that the
higher classes leave.
"""

import math
from collections.abc import Callable

DECAY_S = 2.0  # several service times, and shorter than most overloads
LEFT_SHARE_MIN = 0.05


class StartedWork:
    """Decaying sum of the work that was started lately, by weight.

    Parameters
    ----------
    get_time : callable
        Returns the loop time.
    """

    __slots__ = ("_get_time", "_updated_s", "_work_s_by_weight")

    def __init__(self, get_time: Callable[[], float]):
        self._get_time = get_time
        self._updated_s = get_time()
        self._work_s_by_weight = {}

    def record(self, weight: int, service_s: float) -> None:
        """Add an attempt that starts now."""
        self._decay()
        known_s = self._work_s_by_weight.get(weight, 0.0)
        self._work_s_by_weight[weight] = known_s + service_s

    def stretch_wait(self, wait_s: float, above: int | None, slots: int) -> float:
        """Return the expected wait of an attempt that others overtake.

        Parameters
        ----------
        wait_s : float
            Time until it would start if no other attempt arrived.
        above : int or None
            Attempts of a higher weight overtake it; None if all do.
        slots : int
            Requests that the server runs at once.
        """
        self._decay()
        overtaking_s = sum(
            work_s
            for weight, work_s in self._work_s_by_weight.items()
            if above is None or weight > above
        )
        left_share = 1.0 - overtaking_s / (DECAY_S * max(slots, 1))
        return wait_s / max(left_share, LEFT_SHARE_MIN)

    def _decay(self):
        now_s = self._get_time()
        factor = math.exp((self._updated_s - now_s) / DECAY_S)
        self._updated_s = now_s
        for weight in self._work_s_by_weight:
            self._work_s_by_weight[weight] *= factor
