"""The queue of attempts that wait for a slot of one server."""

import asyncio
import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from sapphireway_protocol import NotRunReason

RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 5.0


@dataclass(slots=True)
class Waiter:
    """An attempt that wants a slot.

    Attributes
    ----------
    attempt : str
    weight : int
        Importance of its kind.
    deadline_s : float
        Reading of the loop's clock by which it must have ended.
    latest_start_s : float
        Reading of the loop's clock by which it must have started.
    service_s : float
        Time that the server is expected to take.
    decided : Future of NotRunReason or None
        None grants the slot.
    """

    attempt: str
    weight: int
    deadline_s: float
    latest_start_s: float
    service_s: float
    decided: asyncio.Future = field(repr=False)

    @property
    def start_by_s(self) -> float:
        """Last reading of the loop's clock at which starting it makes sense."""
        return min(self.deadline_s - self.service_s, self.latest_start_s)

    def decide(self, refusal: NotRunReason | None) -> bool:
        """Grant or refuse; False if that was done already."""
        if self.decided.done():
            return False
        self.decided.set_result(refusal)
        return True


class AdmissionQueue:
    """Waiting attempts: heavy kinds first, then the earliest deadline.

    Parameters
    ----------
    get_time : callable
        Returns the loop's clock.
    """

    __slots__ = ("_count", "_get_time", "_heap", "_sequence")

    def __init__(self, get_time: Callable[[], float]):
        self._get_time = get_time
        self._heap = []
        self._sequence = itertools.count()
        self._count = 0

    def __len__(self):
        return self._count

    def push(
        self, waiter: Waiter, queue_limit: int, slots: int, slot_s: float
    ) -> NotRunReason | None:
        """Queue a waiter, or return why it is refused at once.

        Parameters
        ----------
        waiter : Waiter
        queue_limit : int
            Attempts that may wait.
        slots : int
            Requests that may be in flight.
        slot_s : float
            Expected time until a slot gets free.
        """
        ahead = self._list_ahead(waiter)
        expected_s = slot_s + sum(a.service_s for a in ahead) / max(slots, 1)
        if self._get_time() + expected_s > waiter.start_by_s:
            return NotRunReason.DEADLINE
        if self._count >= queue_limit and not self._evict_lighter(waiter):
            return NotRunReason.OVERLOADED
        entry = (-waiter.weight, waiter.deadline_s, next(self._sequence), waiter)
        heapq.heappush(self._heap, entry)
        self._count += 1
        return None

    def pop(self) -> Waiter | None:
        """Remove and return the next waiter that can still make its deadline."""
        now_s = self._get_time()
        while self._heap:
            waiter = heapq.heappop(self._heap)[-1]
            if waiter.decided.done():
                continue
            if now_s <= waiter.start_by_s:
                self._count -= 1
                return waiter
            self.refuse(waiter, NotRunReason.DEADLINE)
        return None

    def refuse(self, waiter: Waiter, reason: NotRunReason) -> bool:
        """Refuse a queued waiter; False if it was decided already."""
        if not waiter.decide(reason):
            return False
        self._count -= 1
        return True

    def refuse_all(self, reason: NotRunReason) -> None:
        """Refuse every waiting attempt."""
        for entry in self._heap:
            self.refuse(entry[-1], reason)
        self._heap.clear()

    def _list_ahead(self, waiter):
        rank = (-waiter.weight, waiter.deadline_s)
        return [
            entry[-1]
            for entry in self._heap
            if entry[:2] <= rank and not entry[-1].decided.done()
        ]

    def _evict_lighter(self, waiter):
        waiting = [entry for entry in self._heap if not entry[-1].decided.done()]
        if not waiting:
            return False
        last = max(waiting)[-1]
        if last.weight >= waiter.weight:
            return False
        return self.refuse(last, NotRunReason.OVERLOADED)
