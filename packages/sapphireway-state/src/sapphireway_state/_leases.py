"""Leases of nodes, as stored by one membership directory."""

from collections.abc import Iterator

import msgspec

from sapphireway_protocol import LeaseEntry, LoadReport, NodeEntry


class Lease(msgspec.Struct):
    """Lease of one node, as stored by one directory.

    Attributes
    ----------
    entry : NodeEntry
    counter : int
        Incremented with every change of owner or liveness.
    owner : str
        Address of the directory with which the node renews its lease.
    alive : bool
    expires_s : float
        Time of the event loop's clock.
    version : int
        Position of the lease's last change in this directory's sequence of changes.
    settings_version : int
        Version in force at the node; known only to the owner.
    in_force_since_s : float
        Wall-clock time at which that version came into force; known only to the
        owner.
    load : LoadReport or None
        Load of the server beside the node; known only to the owner.
    started : int
        Number of requests dispatched to that server; known only to the owner.
    services : frozenset of str or None
        Services that the node subscribes to; known only to the owner.
    served : frozenset of str
        Services for which the node at this address has ever had a server.
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
    """All leases by node address, and the order of their last changes.

    Parameters
    ----------
    owner : str
        Address of the directory that owns the table.

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
        """Return all leases, including expired ones that are not yet removed."""
        return list(self._leases.values())

    def list_changed(self, since: int) -> Iterator[Lease]:
        """Yield the leases that changed after version `since`, latest change first."""
        for version in reversed(self._changes):
            if version <= since:
                return
            yield self._leases[self._changes[version]]

    def grant(self, entry: NodeEntry, expires_s: float) -> Lease:
        """Grant a lease for an entry that is newer than the current one."""
        current = self._leases.get(entry.node)
        lease = Lease(
            entry,
            current.counter + 1 if current else 1,
            self._owner,
            True,
            expires_s,
            current.version if current else 0,
            services=current.services if current else None,
            served=current.served if current else frozenset(),
        )
        self._leases[entry.node] = lease
        self._record_change(lease)
        return lease

    def take_ownership(self, lease: Lease) -> None:
        """Make this directory the owner of a lease and mark the lease as live."""
        lease.counter += 1
        lease.owner = self._owner
        lease.alive = True
        self._record_change(lease)

    def expire(self, lease: Lease) -> None:
        """Mark a lease as expired."""
        lease.counter += 1
        lease.alive = False
        self._record_change(lease)

    def remove(self, lease: Lease) -> None:
        """Remove an expired lease."""
        del self._leases[lease.entry.node]
        self._changes.pop(lease.version, None)

    def merge(self, received: LeaseEntry, now_s: float, expires_s: float) -> None:
        """Merge a lease received from another directory, if it is newer."""
        lease = self._leases.get(received.entry.node)
        if lease is None:
            lease = Lease(received.entry, 0, received.owner, received.alive, expires_s)
            self._leases[received.entry.node] = lease
        elif not _supersedes(received, lease):
            return
        elif self._owns_current(lease, received, now_s):
            # The node renews its lease here, so the other directory is out of date.
            lease.counter = received.counter
            self.take_ownership(lease)
            return
        lease.entry = received.entry
        lease.counter = received.counter
        lease.owner = received.owner
        lease.alive = received.alive
        lease.expires_s = expires_s
        self._record_change(lease)

    def _owns_current(self, lease, received, now_s):
        return (
            lease.owner == self._owner
            and lease.alive
            and now_s <= lease.expires_s
            and _get_precedence(received.entry) <= _get_precedence(lease.entry)
        )

    def _record_change(self, lease):
        lease.served = lease.served.union(s.service for s in lease.entry.servers)
        self._changes.pop(lease.version, None)
        self.version += 1
        lease.version = self.version
        self._changes[self.version] = lease.entry.node


def is_newer_entry(entry: NodeEntry, current: NodeEntry | None) -> bool:
    """Return whether `entry` replaces the current entry of the same address."""
    return current is None or _get_precedence(entry) > _get_precedence(current)


def _get_precedence(entry):
    return (entry.started_s, entry.incarnation, entry.revision)


def _supersedes(received, lease):
    received_precedence = (
        *_get_precedence(received.entry),
        received.counter,
        received.alive,
        received.owner,
    )
    current_precedence = (
        *_get_precedence(lease.entry),
        lease.counter,
        lease.alive,
        lease.owner,
    )
    return received_precedence > current_precedence
