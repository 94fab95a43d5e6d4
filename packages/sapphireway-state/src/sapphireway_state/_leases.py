"""Leases of nodes as one membership directory holds them."""

from collections.abc import Iterator
from dataclasses import dataclass

from sapphireway_protocol import LeaseEntry, LoadReport, NodeEntry


@dataclass(slots=True)
class Lease:
    """What a directory holds of one node.

    Attributes
    ----------
    entry : NodeEntry
    counter : int
        Grows with every change of owner or liveness.
    owner : str
        Address of the directory that the node renews with.
    alive : bool
    expires_s : float
        Reading of the loop's clock.
    version : int
        Position in this directory's sequence of changes.
    settings_version : int
        Version in force at the node; only known at the owner.
    in_force_since_s : float
        Wall-clock time since when; only known at the owner.
    load : LoadReport or None
        Load of the server beside the node; only known at the owner.
    started : int
        Requests handed to that server; only known at the owner.
    services : frozenset of str or None
        Services that the node follows; only known at the owner.
    served : frozenset of str
        Services of which the node at this address ever had a server.
    """

    entry: NodeEntry
    counter: int
    owner: str
    alive: bool
    expires_s: float
    version: int = 0
    settings_version: int = 0
    in_force_since_s: float = 0.0
    load: LoadReport | None = None
    started: int = 0
    services: frozenset | None = None
    served: frozenset = frozenset()


class LeaseTable:
    """All leases by node address, and the order in which they changed.

    Parameters
    ----------
    owner : str
        Address of the directory that keeps the table.

    Attributes
    ----------
    version : int
        Position of the last change.
    """

    __slots__ = ("_changes", "_leases", "_owner", "version")

    def __init__(self, owner: str):
        self._changes = {}
        self._leases = {}
        self._owner = owner
        self.version = 0

    def get(self, node: str) -> Lease | None:
        """Return the lease of the node at this address, if there is one."""
        return self._leases.get(node)

    def list_all(self) -> list[Lease]:
        """Return all leases, ended ones included until they are forgotten."""
        return list(self._leases.values())

    def list_changed(self, since: int) -> Iterator[Lease]:
        """Yield the leases that changed after version `since`, newest first."""
        for version in reversed(self._changes):
            if version <= since:
                return
            yield self._leases[self._changes[version]]

    def grant(self, entry: NodeEntry, expires_s: float) -> Lease:
        """Grant a lease for an entry that is newer than the one held."""
        held = self._leases.get(entry.node)
        lease = Lease(
            entry,
            held.counter + 1 if held else 1,
            self._owner,
            True,
            expires_s,
            held.version if held else 0,
            services=held.services if held else None,
            served=held.served if held else frozenset(),
        )
        self._leases[entry.node] = lease
        self._note_change(lease)
        return lease

    def take_ownership(self, lease: Lease) -> None:
        """Make this directory the owner of a live lease."""
        lease.counter += 1
        lease.owner = self._owner
        lease.alive = True
        self._note_change(lease)

    def expire(self, lease: Lease) -> None:
        """Mark a lease as run out."""
        lease.counter += 1
        lease.alive = False
        self._note_change(lease)

    def remove(self, lease: Lease) -> None:
        """Drop a lease that ended long ago."""
        del self._leases[lease.entry.node]
        self._changes.pop(lease.version, None)

    def merge(self, told: LeaseEntry, now_s: float, expires_s: float) -> None:
        """Take over what another directory tells of a lease, if it is newer."""
        lease = self._leases.get(told.entry.node)
        if lease is None:
            lease = Lease(told.entry, 0, told.owner, told.alive, expires_s)
            self._leases[told.entry.node] = lease
        elif not _supersedes(told, lease):
            return
        elif self._holds_current(lease, told, now_s):
            # The node renews here; the other directory's knowledge is older.
            lease.counter = told.counter
            self.take_ownership(lease)
            return
        lease.entry = told.entry
        lease.counter = told.counter
        lease.owner = told.owner
        lease.alive = told.alive
        lease.expires_s = expires_s
        self._note_change(lease)

    def _holds_current(self, lease, told, now_s):
        return (
            lease.owner == self._owner
            and lease.alive
            and now_s <= lease.expires_s
            and _rank_entry(told.entry) <= _rank_entry(lease.entry)
        )

    def _note_change(self, lease):
        lease.served = lease.served.union(s.service for s in lease.entry.servers)
        self._changes.pop(lease.version, None)
        self.version += 1
        lease.version = self.version
        self._changes[self.version] = lease.entry.node


def is_newer_entry(entry: NodeEntry, held: NodeEntry | None) -> bool:
    """Tell whether `entry` replaces the one held of the same address."""
    return held is None or _rank_entry(entry) > _rank_entry(held)


def _rank_entry(entry):
    return (entry.started_s, entry.incarnation, entry.revision)


def _supersedes(told, lease):
    told_rank = (*_rank_entry(told.entry), told.counter, told.alive, told.owner)
    held_rank = (*_rank_entry(lease.entry), lease.counter, lease.alive, lease.owner)
    return told_rank > held_rank
