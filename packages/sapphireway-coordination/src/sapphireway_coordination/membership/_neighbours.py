"""Which of the other membership directories live, as one directory sees it."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from sapphireway_protocol import HeardDirectory

DIRECTORY_TIMEOUT_S = 1.5
ADOPTION_GRACE_S = 3.0


@dataclass(slots=True)
class Neighbour:
    """Another control host's directory.

    Attributes
    ----------
    address : str
    incarnation : str
    received, sent : int
        Positions in the sequences of changes of the neighbour and of this
        directory.
    complete : bool
        True once all of its leases are known here.
    acked_incarnation : str
        Incarnation that acknowledged ``sent``.
    heard_s : float
        When the neighbour was last heard here.
    seen_s : float
        When it was last heard here or by a neighbour that is heard here.
    trusted_until_s : float
        Until when the leases that it owns are taken as alive.
    """

    address: str
    incarnation: str = ""
    received: int = 0
    complete: bool = False
    acked_incarnation: str = ""
    sent: int = 0
    heard_s: float = float("-inf")
    seen_s: float = float("-inf")
    trusted_until_s: float = float("-inf")


class Neighbours:
    """All other directories.

    Parameters
    ----------
    addresses : sequence of str
    """

    __slots__ = ("_by_address",)

    def __init__(self, addresses: Sequence[str]):
        self._by_address = {address: Neighbour(address) for address in addresses}

    def __iter__(self) -> Iterator[Neighbour]:
        return iter(self._by_address.values())

    def keep(self, addresses: Sequence[str]) -> None:
        """Follow exactly these directories from now on."""
        known = self._by_address
        self._by_address = {a: known.get(a) or Neighbour(a) for a in addresses}

    def get(self, address: str) -> Neighbour | None:
        """Return the neighbour at this address, if there is one."""
        return self._by_address.get(address)

    def hear(
        self, neighbour: Neighbour, others: Sequence[HeardDirectory], now_s: float
    ) -> None:
        """Note a sign of life of a neighbour, and whom it hears itself.

        Two directories that are cut off from each other only must not end the
        leases that the other one grants while a third one hears both.
        """
        neighbour.heard_s = neighbour.seen_s = now_s
        for other in others:
            seen = self._by_address.get(other.address)
            if seen is not None:
                seen.seen_s = max(seen.seen_s, now_s - other.age_s)

    def list_heard(self, now_s: float) -> list[HeardDirectory]:
        """Return the neighbours that are heard here, and how long ago."""
        return [
            HeardDirectory(n.address, now_s - n.heard_s)
            for n in self
            if _is_recent(n.heard_s, now_s)
        ]

    def has_complete_majority(self) -> bool:
        """Tell whether a majority's leases are known, this directory's included."""
        return self._is_majority(sum(n.complete for n in self))

    def update_trust(self, now_s: float) -> None:
        """Trust those that live; all of them, if this host may be the isolated one."""
        heard = sum(_is_recent(n.heard_s, now_s) for n in self)
        isolated = not self._is_majority(heard)
        for neighbour in self:
            # The grace begins anew after an isolation: the first neighbour heard
            # again must not end the leases of those not heard yet.
            if isolated or _is_recent(neighbour.seen_s, now_s):
                neighbour.trusted_until_s = now_s + ADOPTION_GRACE_S

    def is_trusted(self, address: str, now_s: float) -> bool:
        """Tell whether the leases that this directory owns count as alive."""
        neighbour = self._by_address.get(address)
        return neighbour is not None and now_s <= neighbour.trusted_until_s

    def are_all_trusted(self, now_s: float) -> bool:
        """Tell whether no neighbour's leases may have to end."""
        return all(now_s <= n.trusted_until_s for n in self)

    def _is_majority(self, others):
        return 2 * (others + 1) > len(self._by_address) + 1


def _is_recent(moment_s, now_s):
    return now_s < moment_s + DIRECTORY_TIMEOUT_S
