"""Admission queue of the attempts that wait for a slot of one server.

Under overload, attempts that can still meet their target latency start first, and
among those the ones with the highest weight. Attempts that can only be late wait behind
them, because a late answer is worth little to its caller. No attempt is queued for
longer than a fixed share of its time budget.
"""

import asyncio
import itertools
import math
from collections.abc import Callable

import msgspec

from sapphireway_protocol import NotRunReason

RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 5.0
# A request waits as long as it can still meet its target, and otherwise for this share
# of its budget: the caller can use the rest elsewhere, or come back.
WAIT_SHARE_MAX = 0.15
WAIT_SHARE_IN_TIME_MAX = 0.5


class Waiter(msgspec.Struct):
    """An attempt that waits for a slot.

    Attributes
    ----------
    attempt : str
    weight : int
        Priority of its kind.
    deadline_s : float
        Loop time by which it must have ended.
    latest_start_s : float
        Loop time by which it must have started.
    service_s : float
        Expected service time.
    decision : Future of NotRunReason or None
        None grants the slot.
    target_s : float
        Loop time by which an answer meets the target latency.
    arrived_s : float
        Loop time of its arrival.
    """

    attempt: str
    weight: int
    deadline_s: float
    latest_start_s: float
    service_s: float
    decision: asyncio.Future
    target_s: float = math.inf
    arrived_s: float = -math.inf

    @property
    def start_by_s(self) -> float:
        """Latest loop time at which it may still be started."""
        if self.arrived_s == -math.inf or self.target_s == math.inf:
            return self.give_up_s
        in_time_s = self.target_s - self.service_s
        wait_s = WAIT_SHARE_MAX * (self.deadline_s - self.arrived_s)
        return min(self.give_up_s, max(in_time_s, self.arrived_s + wait_s))

    @property
    def give_up_s(self) -> float:
        """Loop time after which waiting has no use, whatever the estimates are worth.

        An estimate that is a little too long must not refuse what can be in time.
        """
        give_up_s = min(self.deadline_s - self.service_s, self.latest_start_s)
        if self.arrived_s == -math.inf:
            return give_up_s
        wait_s = WAIT_SHARE_IN_TIME_MAX * (self.deadline_s - self.arrived_s)
        return min(give_up_s, self.arrived_s + wait_s)

    def rank(self, now_s: float) -> tuple[bool, int, float]:
        """Return the sort key in the queue: lower ranks start first."""
        late = self.is_late(now_s)
        by_s = self.deadline_s if late or self.target_s == math.inf else self.target_s
        return late, -self.weight, by_s

    def is_late(self, now_s: float) -> bool:
        """Return whether it can no longer meet its target latency."""
        return now_s + self.service_s > self.target_s

    def decide(self, refusal: NotRunReason | None) -> bool:
        """Grant or refuse the slot; False if that was decided before."""
        if self.decision.done():
            return False
        self.decision.set_result(refusal)
        return True


EstimateWait = Callable[[Waiter, int, float], float]
"""Returns the expected wait of a waiter in seconds, given the number of attempts ahead
of it and their total service time."""


class AdmissionQueue:
    """Priority queue: attempts in time first, then by weight, then by deadline.

    Parameters
    ----------
    get_time : callable
        Returns the loop time.
    """

    __slots__ = ("_get_time", "_sequence", "_waiting")

    def __init__(self, get_time: Callable[[], float]):
        self._get_time = get_time
        self._sequence = itertools.count()
        self._waiting = {}

    def __len__(self):
        return len(self._waiting)

    def sum_ahead(self, waiter: Waiter) -> tuple[int, float]:
        """Return how many would start before a waiter, and their total service time."""
        now_s = self._get_time()
        rank = waiter.rank(now_s)
        times = [w.service_s for w in self._waiting.values() if w.rank(now_s) <= rank]
        return len(times), sum(times)

    def push(
        self, waiter: Waiter, queue_limit: int, wait_s: float
    ) -> NotRunReason | None:
        """Queue a waiter, or return why it is refused at once.

        Parameters
        ----------
        waiter : Waiter
        queue_limit : int
            Maximum number of queued attempts.
        wait_s : float
            Expected time until it would start.
        """
        now_s = self._get_time()
        if now_s + wait_s > waiter.start_by_s:
            return NotRunReason.DEADLINE
        if len(self._waiting) >= queue_limit and not self._evict_lower_priority(
            waiter, now_s
        ):
            return NotRunReason.OVERLOADED
        self._waiting[next(self._sequence)] = waiter
        return None

    def refuse_hopeless(self, estimate_wait_s: EstimateWait) -> None:
        """Refuse the waiters that are no longer expected to start in time.

        A waiter that was expected to start in time may be overtaken since, or the
        server may have become slower. Its caller can use the time elsewhere.
        """
        now_s = self._get_time()
        ahead, ahead_s = 0, 0.0
        for waiter in self._list_in_order(now_s):
            wait_s = estimate_wait_s(waiter, ahead, ahead_s)
            if now_s + wait_s > waiter.give_up_s:
                self.refuse(waiter, NotRunReason.DEADLINE)
                continue
            ahead += 1
            ahead_s += waiter.service_s

    def _list_in_order(self, now_s):
        # The sort is stable, so waiters of the same rank keep the order of arrival.
        return sorted(self._waiting.values(), key=lambda waiter: waiter.rank(now_s))

    def pop(self) -> Waiter | None:
        """Remove and return the next waiter; refuse those too late to start."""
        now_s = self._get_time()
        for waiter in list(self._waiting.values()):
            if now_s > waiter.start_by_s:
                self.refuse(waiter, NotRunReason.DEADLINE)
        if not self._waiting:
            return None
        key = min(self._waiting, key=lambda k: (self._waiting[k].rank(now_s), k))
        return self._waiting.pop(key)

    def refuse(self, waiter: Waiter, reason: NotRunReason) -> bool:
        """Refuse a queued waiter; False if it was decided before."""
        if not waiter.decide(reason):
            return False
        self._waiting = {k: w for k, w in self._waiting.items() if w is not waiter}
        return True

    def refuse_all(self, reason: NotRunReason) -> None:
        """Refuse every waiting attempt."""
        waiting, self._waiting = self._waiting, {}
        for waiter in waiting.values():
            waiter.decide(reason)

    def _evict_lower_priority(self, waiter, now_s):
        """Refuse the last in the queue if `waiter` has a higher priority class."""
        if not self._waiting:
            return False
        last = max(self._waiting.values(), key=lambda w: w.rank(now_s))
        # Compares lateness and weight only: no waiter evicts another of the same class.
        if last.rank(now_s)[:2] <= waiter.rank(now_s)[:2]:
            return False
        return self.refuse(last, NotRunReason.OVERLOADED)
