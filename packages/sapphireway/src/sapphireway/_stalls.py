"""Notices that the process stalled: frozen, suspended, or without a processor."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from sapphireway_transport import Instant, ReadInstant, compute_age

CHECK_INTERVAL_S = 0.2
STALL_MIN_S = 0.5  # longer than a loaded host's event loop is ever late
# What the kernel received meanwhile has been read from all connections by then.
CATCH_UP_S = 0.5


class ProcessStalled(msgspec.Struct, frozen=True):
    """Event: the process ran nothing for a while.

    Attributes
    ----------
    stall_s : float
        Time on the clock that counts suspensions.
    suspended_s : float
        Part of it that the monotonic clock did not count.
    """

    stall_s: float
    suspended_s: float


class StallWatch:
    """Measures how old requests can be that this process has just read.

    Parameters
    ----------
    read_instant : ReadInstant
    observe : callable
        Called with each `ProcessStalled`.
    """

    __slots__ = ("_last", "_observe", "_read_instant", "_stall_end", "_stall_start")

    def __init__(
        self,
        read_instant: ReadInstant,
        observe: Callable[[Any], None] = lambda event: None,
    ):
        self._stall_start = None
        self._last = self._stall_end = read_instant()
        self._observe = observe
        self._read_instant = read_instant

    def find_earliest_arrival(self) -> Instant:
        """Return the earliest instant at which what is read now can have arrived."""
        now = self._check()
        if (
            self._stall_start is not None
            and compute_age(self._stall_end, now) < CATCH_UP_S
        ):
            return self._stall_start
        return now

    def compute_read_delay(self) -> float:
        """Return how many seconds ago what is read now can have arrived."""
        return self.compute_age(self.find_earliest_arrival())

    def compute_age(self, since: Instant) -> float:
        """Return the seconds since an instant, including suspensions."""
        return compute_age(since, self._read_instant())

    async def run(self) -> None:
        """Check regularly, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._check()

    def _check(self):
        """Notice a stall that has just ended; return the current instant."""
        now = self._read_instant()
        stall_s = compute_age(self._last, now)
        if stall_s >= STALL_MIN_S:
            self._stall_start, self._stall_end = self._last, now
            steady_s = now[0] - self._last[0]
            self._observe(ProcessStalled(stall_s, max(0.0, stall_s - steady_s)))
        self._last = now
        return now
