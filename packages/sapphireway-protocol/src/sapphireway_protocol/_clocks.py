"""Clocks and incarnations of peers, derived from the messages they send."""

from collections.abc import Callable

import msgspec

from sapphireway_protocol._codec import Envelope

CLOCK_DRIFT_MAX = 0.001  # relative to the elapsed time
SUPERSEDED_PER_PEER_MAX = 4
REBOOT_MIN_S = 30.0

RestartListener = Callable[[str, "PeerClock"], None]
"""Called with a peer's address and its new clock after a restart was detected."""


class PeerClock(msgspec.Struct, frozen=True):
    """The last clock reading received from one incarnation of a peer.

    Attributes
    ----------
    incarnation : str
        Incarnation to which the reading belongs.
    started_s : float
        Start time of the peer's process, on the peer's clock.
    clock_s : float
        Time at which the message was sent, on the peer's clock.
    received_s : float
        Time at which the message arrived, on this process's clock.
    """

    incarnation: str
    started_s: float
    clock_s: float
    received_s: float

    def compute_lower_bound(self, now_s: float) -> float:
        """Return a time that the peer's clock has certainly reached at `now_s`."""
        age_s = now_s - self.received_s
        return self.clock_s + age_s * (1.0 - CLOCK_DRIFT_MAX)

    def was_running(self, at_s: float) -> bool:
        """Tell whether this incarnation had certainly started by `at_s`.

        `at_s` is a time on this process's clock.
        """
        uptime_s = self.clock_s - self.started_s
        return self.received_s - uptime_s * (1.0 - CLOCK_DRIFT_MAX) <= at_s


class PeerClocks:
    """The clocks of all peers from which a message was received.

    Late messages of a superseded incarnation are ignored.
    """

    __slots__ = ("_clocks", "_listeners", "_superseded")

    def __init__(self):
        self._clocks = {}
        self._listeners = []
        self._superseded = {}

    def add_restart_listener(self, listener: RestartListener) -> None:
        """Call `listener` whenever a known peer sends with a new incarnation."""
        self._listeners.append(listener)

    def get(self, peer: str) -> PeerClock | None:
        """Return the clock of `peer`, or None if it has not sent any message."""
        return self._clocks.get(peer)

    def has_departed(self, peer: str) -> bool:
        """Tell whether the last known incarnation of `peer` has ended."""
        if peer not in self._superseded:
            return False
        clock = self._clocks.get(peer)
        return clock is not None and self.is_superseded(peer, clock.incarnation)

    def list_recent(self, since_s: float) -> list[str]:
        """Return the peers from which a message was received since `since_s`."""
        return [
            peer for peer, clock in self._clocks.items() if clock.received_s >= since_s
        ]

    def is_superseded(self, peer: str, incarnation: str) -> bool:
        """Tell whether `incarnation` is known to have ended."""
        return incarnation in self._superseded.get(peer, ())

    def forget(self, peer: str) -> None:
        """Drop the state of a peer that has left."""
        self._clocks.pop(peer, None)
        self._superseded.pop(peer, None)

    def record(self, peer: str, envelope: Envelope, now_s: float) -> None:
        """Record the clock reading of an envelope that arrived at `now_s`."""
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
            if is_from_earlier_start(clock, known):
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
        if incarnation not in ended:
            ended.append(incarnation)
        del ended[:-SUPERSEDED_PER_PEER_MAX]


def is_from_earlier_start(clock: PeerClock, known: PeerClock) -> bool:
    """Tell whether `clock` is a late reading from an incarnation before `known`.

    An incarnation starts after the last clock reading of its predecessor, unless the
    host has rebooted: its clock then restarts, but only after a silence of at least
    `REBOOT_MIN_S`.
    """
    if clock.started_s >= known.clock_s:
        return False
    return clock.received_s - known.received_s < REBOOT_MIN_S
