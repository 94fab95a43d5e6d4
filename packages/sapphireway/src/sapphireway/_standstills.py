"""Notices that the process stood still: frozen, suspended, or without a processor."""

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from sapphireway_transport import Instant, ReadInstant, compute_age

CHECK_INTERVAL_S = 0.2
STANDSTILL_MIN_S = 0.5  # longer than a loaded host's event loop is ever late
# What the kernel received meanwhile has been read from all connections by then.
CATCH_UP_S = 0.5


class StoodStill(msgspec.Struct, frozen=True):
    """Event: the process ran nothing for a while.

    Attributes
    ----------
    standstill_s : float
        Time on the clock that counts suspensions.
    suspended_s : float
        Part of it that the monotonic clock did not count.
    """

    standstill_s: float
    suspended_s: float


class StandstillWatch:
    """Measures how old requests can be that this process has just read.

    Parameters
    ----------
    read_instant : ReadInstant
    observe : callable
        Called with each `StoodStill`.
    """

    __slots__ = ("_before", "_last", "_observe", "_read_instant", "_woke")

    def __init__(
        self,
        read_instant: ReadInstant,
        observe: Callable[[Any], None] = lambda event: None,
    ):
        self._before = None
        self._last = self._woke = read_instant()
        self._observe = observe
        self._read_instant = read_instant

    def find_earliest_arrival(self) -> Instant:
        """Return the earliest instant at which what is read now can have arrived."""
        now = self._check()
        if self._before is not None and compute_age(self._woke, now) < CATCH_UP_S:
            return self._before
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
        """Notice a standstill that has just ended; return the current instant."""
        now = self._read_instant()
        standstill_s = compute_age(self._last, now)
        if standstill_s >= STANDSTILL_MIN_S:
            self._before, self._woke = self._last, now
            steady_s = now[0] - self._last[0]
            self._observe(StoodStill(standstill_s, max(0.0, standstill_s - steady_s)))
        self._last = now
        return now
