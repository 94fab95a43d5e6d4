"""Liveness of the other membership directories, as one directory sees it."""

from collections.abc import Iterator, Sequence

import msgspec

from sapphireway_protocol import ReachableDirectory

DIRECTORY_TIMEOUT_S = 1.5
TAKEOVER_GRACE_S = 3.0


class PeerDirectory(msgspec.Struct):
    """The directory of another control host.

    Attributes
    ----------
    address : str
    incarnation : str
    received_version : int
        Last change of the peer's table that this directory has applied.
    complete : bool
        True once all of the peer's leases are known here.
    acked_incarnation : str
        Incarnation that acknowledged ``acked_version``.
    acked_version : int
        Last change of this directory's table that the peer has acknowledged.
    last_heard_s : float
        When this directory last received a message from the peer.
    last_alive_s : float
        When this directory, or a peer that it hears from, last heard the peer.
    trusted_until_s : float
        Until when the leases that the peer owns count as alive.
    """

    address: str
    incarnation: str = ""
    received_version: int = 0
    complete: bool = False
    acked_incarnation: str = ""
    acked_version: int = 0
    last_heard_s: float = float("-inf")
    last_alive_s: float = float("-inf")
    trusted_until_s: float = float("-inf")


class PeerDirectories:
    """The directories of all other control hosts.

    Parameters
    ----------
    addresses : sequence of str
    """

    __slots__ = ("_by_address",)

    def __init__(self, addresses: Sequence[str]):
        self._by_address = {address: PeerDirectory(address) for address in addresses}

    def __iter__(self) -> Iterator[PeerDirectory]:
        return iter(self._by_address.values())

    def set_addresses(self, addresses: Sequence[str]) -> None:
        """Replace the set of peers; the state of those that remain is kept."""
        known = self._by_address
        self._by_address = {a: known.get(a) or PeerDirectory(a) for a in addresses}

    def get(self, address: str) -> PeerDirectory | None:
        """Return the peer at this address, if there is one."""
        return self._by_address.get(address)

    def record_heard(
        self, peer: PeerDirectory, others: Sequence[ReachableDirectory], now_s: float
    ) -> None:
        """Record a message from a peer, and which directories that peer hears.

        Two directories that are cut off only from each other must not expire each
        other's leases while a third one hears both.
        """
        peer.last_heard_s = peer.last_alive_s = now_s
        for other in others:
            third = self._by_address.get(other.address)
            if third is not None:
                third.last_alive_s = max(third.last_alive_s, now_s - other.age_s)

    def list_heard(self, now_s: float) -> list[ReachableDirectory]:
        """Return the peers heard within the timeout, and how long ago."""
        return [
            ReachableDirectory(peer.address, now_s - peer.last_heard_s)
            for peer in self
            if _is_recent(peer.last_heard_s, now_s)
        ]

    def has_complete_majority(self) -> bool:
        """Return whether the leases of a majority, this host included, are known."""
        return self._is_majority(sum(peer.complete for peer in self))

    def update_trust(self, now_s: float) -> None:
        """Extend the trust in live peers; in all if this host may be isolated."""
        heard_count = sum(_is_recent(peer.last_heard_s, now_s) for peer in self)
        isolated = not self._is_majority(heard_count)
        for peer in self:
            # The grace period restarts after an isolation: hearing from the first
            # peer again must not expire the leases of those not heard yet.
            if isolated or _is_recent(peer.last_alive_s, now_s):
                peer.trusted_until_s = now_s + TAKEOVER_GRACE_S

    def is_trusted(self, address: str, now_s: float) -> bool:
        """Return whether the leases owned by the peer at `address` count as alive."""
        peer = self._by_address.get(address)
        return peer is not None and now_s <= peer.trusted_until_s

    def are_all_trusted(self, now_s: float) -> bool:
        """Return whether the leases of every peer count as alive."""
        return all(now_s <= peer.trusted_until_s for peer in self)

    def _is_majority(self, other_count):
        return 2 * (other_count + 1) > len(self._by_address) + 1


def _is_recent(time_s, now_s):
    return now_s < time_s + DIRECTORY_TIMEOUT_S
