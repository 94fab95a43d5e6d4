"""Clocks and incarnations of other nodes, learnt from whatever they send."""

from collections.abc import Callable
from dataclasses import dataclass

from sapphireway_protocol._codec import Envelope

CLOCK_DRIFT = 0.001
SUPERSEDED_KEPT = 4
REBOOT_S = 30.0

RestartListener = Callable[[str, "PeerClock"], None]
"""Called with a peer's address and its new clock after it was seen restarted."""


@dataclass(slots=True, frozen=True)
class PeerClock:
    """The last clock reading heard from one start of a peer.

    Attributes
    ----------
    incarnation : str
        Start of the peer's process that the reading belongs to.
    started_s : float
        The peer's clock when its process started.
    clock_s : float
        The peer's clock when it sent the message.
    received_s : float
        This process's clock when the message arrived.
    """

    incarnation: str
    started_s: float
    clock_s: float
    received_s: float

    def compute_lower_bound(self, now_s: float) -> float:
        """Return a reading that the peer's clock has certainly reached at `now_s`."""
        age_s = now_s - self.received_s
        return self.clock_s + age_s * (1.0 - CLOCK_DRIFT)

    def was_running(self, at_s: float) -> bool:
        """Tell whether this start of the peer certainly preceded `at_s`, our clock."""
        uptime_s = self.clock_s - self.started_s
        return self.received_s - uptime_s * (1.0 - CLOCK_DRIFT) <= at_s


class PeerClocks:
    """The clocks of all peers that were heard.

    A message of an incarnation that was superseded arrives late and is ignored.
    """

    __slots__ = ("_clocks", "_listeners", "_superseded")

    def __init__(self):
        self._clocks = {}
        self._listeners = []
        self._superseded = {}

    def add_restart_listener(self, listener: RestartListener) -> None:
        """Call `listener` whenever a known peer is heard with a new incarnation."""
        self._listeners.append(listener)

    def get(self, peer: str) -> PeerClock | None:
        """Return the clock of `peer`, or None if nothing was heard of it."""
        return self._clocks.get(peer)

    def is_superseded(self, peer: str, incarnation: str) -> bool:
        """Tell whether `incarnation` is known to have ended."""
        return incarnation in self._superseded.get(peer, ())

    def forget(self, peer: str) -> None:
        """Drop what is known of a peer that left."""
        self._clocks.pop(peer, None)
        self._superseded.pop(peer, None)

    def record(self, peer: str, envelope: Envelope, now_s: float) -> None:
        """Take the reading that came with `envelope` at `now_s`."""
        known = self._clocks.get(peer)
        if self.is_superseded(peer, envelope.incarnation):
            return
        clock = PeerClock(
            envelope.incarnation, envelope.started_s, envelope.clock_s, now_s
        )
        if known is None:
            self._clocks[peer] = clock
            return
        if known.incarnation != clock.incarnation:
            if is_late(clock, known):
                return
            self.supersede(peer, known.incarnation)
            self._clocks[peer] = clock
            for listener in self._listeners:
                listener(peer, clock)
            return
        if clock.compute_lower_bound(now_s) > known.compute_lower_bound(now_s):
            self._clocks[peer] = clock

    def supersede(self, peer: str, incarnation: str) -> None:
        """Remember that `incarnation` of `peer` has ended."""
        ended = self._superseded.setdefault(peer, [])
        ended.append(incarnation)
        del ended[:-SUPERSEDED_KEPT]


def is_late(clock: PeerClock, known: PeerClock) -> bool:
    """Tell whether `clock` came late, from a start of the peer before `known`.

    A successor starts after the last reading of its predecessor. A host that was
    rebooted begins its clock anew, but is silent for a while first.
    """
    if clock.started_s >= known.clock_s:
        return False
    return clock.received_s - known.received_s < REBOOT_S
