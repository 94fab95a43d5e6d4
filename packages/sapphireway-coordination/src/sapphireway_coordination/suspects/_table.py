"""The table of digests of requests that may crash the servers that run them."""

import collections
import enum
import math
from collections.abc import Callable, Iterable, Sequence

import msgspec

from sapphireway_coordination.suspects._events import (
    ObserveSuspects,
    SuspectChange,
    SuspectMarked,
)
from sapphireway_protocol import MarkSuspect

SUSPECTS_MAX = 1024
ANSWERED_MAX = 4096
ANSWERED_TTL_S = 60.0


class RunPermission(enum.StrEnum):
    """How a request of a digest may run."""

    FREE = "free"
    ALONE = "alone"
    REFUSED = "refused"


class Suspect(msgspec.Struct):
    """The state of one suspect digest.

    Attributes
    ----------
    digest : str
    origin : str
        Address of the node that grants reruns.
    condemned : bool
    ttl_s, expires_s : float
    co_suspects : tuple of str
        Other digests marked for the same crash; known at the origin only.
    holders : set of str
        Addresses of the nodes that may be running it, and a placeholder until the
        other nodes have acknowledged the mark; known at the origin only.
    """

    digest: str
    origin: str
    condemned: bool
    ttl_s: float
    expires_s: float
    co_suspects: tuple[str, ...] = ()
    holders: set[str] = msgspec.field(default_factory=set)


class SuspectTable:
    """Suspect digests of one service, limited in number and with a TTL each.

    Parameters
    ----------
    address : str
        Address of this node.
    get_time : callable
        Returns the loop's time in seconds.
    observe : callable
    """

    __slots__ = ("_address", "_answered_s", "_get_time", "_observe", "_suspects")

    def __init__(
        self, address: str, get_time: Callable[[], float], observe: ObserveSuspects
    ):
        self._address = address
        self._get_time = get_time
        self._observe = observe
        self._answered_s = collections.OrderedDict()
        self._suspects = {}

    def __len__(self):
        return len(self._suspects)

    def get(self, digest: str) -> Suspect | None:
        """Return the suspect with a digest; None if there is none or it expired."""
        suspect = self._suspects.get(digest)
        if suspect is not None and suspect.expires_s <= self._get_time():
            del self._suspects[digest]
            return None
        return suspect

    def get_permission(self, digest: str) -> RunPermission:
        """Return how a request of `digest` may run."""
        suspect = self.get(digest) if digest else None
        if suspect is None:
            return RunPermission.FREE
        return RunPermission.REFUSED if suspect.condemned else RunPermission.ALONE

    def record_answered(self, digest: str) -> None:
        """Record that a request of `digest` was answered."""
        if not digest:
            return
        self._answered_s[digest] = self._get_time()
        self._answered_s.move_to_end(digest)
        if len(self._answered_s) > ANSWERED_MAX:
            self._answered_s.popitem(last=False)

    def pick_suspects(self, digests: Iterable[str]) -> tuple[str, ...]:
        """Return which of the digests in flight at a crash to suspect.

        Digests that are suspect already are the likely cause. If there are none,
        digests answered within `ANSWERED_TTL_S` are left out, unless all were.
        """
        digests = {digest for digest in digests if digest}
        known = {digest for digest in digests if self.get(digest) is not None}
        if known:
            return tuple(sorted(known))
        earliest_s = self._get_time() - ANSWERED_TTL_S
        not_answered = {
            d for d in digests if self._answered_s.get(d, -math.inf) < earliest_s
        }
        return tuple(sorted(not_answered or digests))

    def mark(
        self, digest: str, ttl_s: float, co_suspects: Sequence[str] = ()
    ) -> Suspect:
        """Mark a digest for a crash of this node's server; condemn a marked one."""
        known = self.get(digest)
        if known is None:
            return self._add(digest, self._address, False, ttl_s, tuple(co_suspects))
        return self._condemn(known, ttl_s)

    def merge(self, mark: MarkSuspect) -> Suspect:
        """Merge a mark from another node."""
        known = self.get(mark.digest)
        if known is None:
            return self._add(mark.digest, mark.origin, mark.condemned, mark.ttl_s)
        # Marks from two origins mean that two servers crashed.
        if mark.condemned or mark.origin != known.origin:
            return self._condemn(known, mark.ttl_s)
        self._extend(known, mark.ttl_s)
        return known

    def clear(self, digest: str) -> bool:
        """Remove a digest found harmless; False if it was not suspect, or condemned."""
        suspect = self.get(digest)
        if suspect is None or suspect.condemned:
            return False
        del self._suspects[digest]
        self._observe(SuspectMarked(digest, SuspectChange.CLEARED, suspect.origin))
        return True

    def is_cleared(self, digest: str) -> bool:
        """Tell whether a digest was answered recently and is not suspect."""
        answered_s = self._answered_s.get(digest, -math.inf)
        recent = answered_s >= self._get_time() - ANSWERED_TTL_S
        return recent and self.get(digest) is None

    def hold(self, digest: str, holder: str) -> None:
        """Record that `holder` may be running a digest, which blocks further reruns."""
        suspect = self.get(digest)
        if suspect is not None:
            suspect.holders.add(holder)

    def grant(self, digest: str, holder: str) -> bool:
        """Grant an isolated rerun; only the origin grants, one at a time."""
        suspect = self.get(digest)
        if suspect is None or suspect.condemned or suspect.holders:
            return False
        if suspect.origin != self._address:
            return False
        suspect.holders.add(holder)
        return True

    def release_hold(self, digest: str, holder: str) -> None:
        """Remove a holder; the digest can be rerun once it has none."""
        suspect = self.get(digest)
        if suspect is not None:
            suspect.holders.discard(holder)

    def renew(self, digest: str) -> Suspect | None:
        """Extend a condemned digest that is still being sent.

        Returns
        -------
        Suspect or None
            The suspect, to be shared, if at most half of its TTL was left.
        """
        suspect = self.get(digest)
        if suspect is None or not suspect.condemned:
            return None
        if suspect.expires_s - self._get_time() > suspect.ttl_s / 2:
            return None
        self._extend(suspect, suspect.ttl_s)
        return suspect

    def list_all(self) -> list[Suspect]:
        """Return every suspect that has not expired."""
        return [s for d in list(self._suspects) if (s := self.get(d)) is not None]

    def _add(self, digest, origin, condemned, ttl_s, co_suspects=()):
        if len(self._suspects) >= SUSPECTS_MAX:
            first_to_expire = min(self._suspects.values(), key=lambda s: s.expires_s)
            del self._suspects[first_to_expire.digest]
        expires_s = self._get_time() + ttl_s
        suspect = Suspect(digest, origin, condemned, ttl_s, expires_s, co_suspects)
        self._suspects[digest] = suspect
        change = SuspectChange.CONDEMNED if condemned else SuspectChange.MARKED
        self._observe(SuspectMarked(digest, change, origin))
        return suspect

    def _condemn(self, suspect, ttl_s):
        self._extend(suspect, ttl_s)
        if not suspect.condemned:
            suspect.condemned = True
            self._observe(
                SuspectMarked(suspect.digest, SuspectChange.CONDEMNED, suspect.origin)
            )
        return suspect

    def _extend(self, suspect, ttl_s):
        suspect.ttl_s = ttl_s
        suspect.expires_s = max(suspect.expires_s, self._get_time() + ttl_s)
