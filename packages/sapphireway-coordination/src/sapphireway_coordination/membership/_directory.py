"""The membership directory that a control host keeps for all nodes."""

import asyncio
from collections.abc import Callable, Sequence

import msgspec

from sapphireway_coordination.membership._control_host_list import ControlHostList
from sapphireway_coordination.membership._members import Member, index_members
from sapphireway_coordination.membership._neighbours import ADOPTION_GRACE_S, Neighbours
from sapphireway_protocol import (
    ControlHostState,
    LeaseEntry,
    ListNodes,
    NodeEntry,
    NodeList,
    NodeStatus,
    Peers,
    ReadControlHost,
    Renew,
    Renewed,
    SyncedLeases,
    SyncLeases,
)
from sapphireway_state import LeaseTable, is_newer_entry

LEASE_S = 1.3
CHECK_INTERVAL_S = 0.1
SYNC_INTERVAL_S = 0.1
HEARTBEAT_INTERVAL_S = 0.5
SYNC_TIMEOUT_S = 0.5
SYNC_BATCH_LEASES = 200
FORGET_AFTER_S = 600.0
WARM_UP_S = 1.5
WARM_UP_MAX_S = 5.0
PRELIMINARY_SUFFIX = "-preliminary"


class Directory:
    """Grants leases to nodes and shares them with the other control hosts.

    The directories hold soft state: a node's lease is owned by the one that it
    renews with, and every directory learns all leases from the others.

    Parameters
    ----------
    peers : Peers
    hosts : ControlHostList
        The control hosts; the directory follows its changes.
    get_host_state : callable
        Returns this host's state in the control quorum, for operators.
    """

    __slots__ = (
        "_get_host_state",
        "_hosts",
        "_indexed_version",
        "_members",
        "_neighbours",
        "_next_scan_s",
        "_peers",
        "_sharing",
        "_started_s",
        "_table",
    )

    def __init__(
        self,
        peers: Peers,
        hosts: ControlHostList,
        get_host_state: Callable[[], ControlHostState | None] = lambda: None,
    ):
        self._get_host_state = get_host_state
        self._indexed_version = 0
        self._members = {}
        self._hosts = hosts
        self._next_scan_s = float("-inf")
        self._peers = peers
        self._neighbours = Neighbours(self._list_others())
        self._sharing = {}
        self._started_s = asyncio.get_running_loop().time()
        self._table = LeaseTable(peers.address)
        peers.handle(Renew, self._renew)
        peers.handle(SyncLeases, self._receive)
        peers.handle(ListNodes, self._list_nodes)
        peers.handle(ReadControlHost, self._tell_host)

    def list_entries(self) -> list[NodeEntry]:
        """Return the entries of all live nodes."""
        return [lease.entry for lease in self._table.list_all() if lease.alive]

    def get_members(self, service: str) -> Sequence[Member]:
        """Return the live members of a service."""
        if self._indexed_version != self._table.version:
            self._indexed_version = self._table.version
            self._members = index_members(self.list_entries())
        return self._members.get(service, ())

    async def run(self) -> None:
        """Expire leases and follow the other directories until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._expire())
            while True:
                self._follow_hosts(group)
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _follow_hosts(self, group):
        """Share leases with every control host that there is now."""
        others = self._list_others()
        self._neighbours.keep(others)
        for address in set(self._sharing).difference(others):
            self._sharing.pop(address).cancel()
        for neighbour in self._neighbours:
            if neighbour.address not in self._sharing:
                task = group.create_task(self._share(neighbour))
                self._sharing[neighbour.address] = task

    def _list_others(self):
        return [a for a in self._hosts.addresses if a != self._peers.address]

    def _renew(self, sender, envelope):
        message = envelope.message
        lease = self._table.get(sender)
        now_s = asyncio.get_running_loop().time()
        if _presents_newer(sender, message.entry, lease):
            lease = self._table.grant(message.entry, now_s + LEASE_S)
        if not _is_held(lease, envelope.incarnation, message.revision):
            self._reply(sender, envelope, _hold(message, wants_entry=True))
            return
        if not lease.alive or lease.owner != self._peers.address:
            self._table.take_ownership(lease)
        lease.expires_s = now_s + LEASE_S
        lease.settings_version = envelope.settings_version
        lease.in_force_since_s = message.in_force_since_s
        lease.load = message.load
        lease.started = message.started
        if message.services is not None:
            lease.services = frozenset(message.services)
        self._reply(sender, envelope, self._answer(message, lease, now_s))

    def _reply(self, sender, envelope, renewed):
        hosts = self._hosts
        if hosts.version > envelope.message.hosts_version:
            renewed = msgspec.structs.replace(
                renewed, hosts_version=hosts.version, hosts=list(hosts.addresses)
            )
        self._peers.reply(sender, envelope, renewed)

    def _answer(self, message, lease, now_s):
        if lease.services is None:
            return _hold(message, wants_services=True)
        if not self._is_warm(now_s):
            return self._answer_early(message, lease)
        incarnation = self._peers.incarnation
        if message.directory != incarnation or message.services is not None:
            nodes = self._list_followed(lease.services)
            version = self._table.version
            return Renewed(incarnation, version, True, nodes, [], False, False)
        return self._tell_changes(message, lease, incarnation)

    def _answer_early(self, message, lease):
        """Tell a node that knows nobody who is known so far.

        A node that has a view keeps it: it is more complete than this directory's.
        """
        position = self._peers.incarnation + PRELIMINARY_SUFFIX
        if message.directory and not message.directory.endswith(PRELIMINARY_SUFFIX):
            return _hold(message)
        if message.directory != position or message.services is not None:
            message = msgspec.structs.replace(message, version=0)
        return self._tell_changes(message, lease, position)

    def _tell_changes(self, message, lease, position):
        nodes, gone = [], []
        for changed in self._table.list_changed(message.version):
            if changed.alive and _serves(changed.entry, lease.services):
                nodes.append(_narrow(changed.entry, lease.services))
            elif not changed.served.isdisjoint(lease.services):
                gone.append(changed.entry.node)
        version = self._table.version
        return Renewed(position, version, False, nodes, gone, False, False)

    def _list_followed(self, services):
        return [
            _narrow(lease.entry, services)
            for lease in self._table.list_all()
            if lease.alive and _serves(lease.entry, services)
        ]

    def _is_warm(self, now_s):
        # Until the others' leases are here and nodes had time to renew, a view
        # from this directory would lack live members.
        age_s = now_s - self._started_s
        if age_s < WARM_UP_S:
            return False
        return self._neighbours.has_complete_majority() or age_s >= WARM_UP_MAX_S

    async def _expire(self):
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_s = asyncio.get_running_loop().time()
            self._neighbours.update_trust(now_s)
            trusted = self._neighbours.are_all_trusted(now_s)
            # Renewals only put an expiry off, so that none is due before the
            # earliest that the last scan met.
            if now_s > self._next_scan_s or not trusted:
                self._scan(now_s)

    def _scan(self, now_s):
        self._next_scan_s = now_s + LEASE_S
        for lease in self._table.list_all():
            if not lease.alive:
                if now_s > lease.expires_s + FORGET_AFTER_S:
                    self._table.remove(lease)
            elif now_s > lease.expires_s and not self._is_kept(lease, now_s):
                # It was not renewed in time; or its owner is gone and the node
                # has renewed with no other directory.
                lease.expires_s = now_s
                self._table.expire(lease)
            elif lease.owner == self._peers.address:
                self._next_scan_s = min(self._next_scan_s, lease.expires_s)

    def _is_kept(self, lease, now_s):
        return self._neighbours.is_trusted(lease.owner, now_s)

    async def _share(self, neighbour):
        idle_s = 0.0
        while True:
            await asyncio.sleep(SYNC_INTERVAL_S)
            idle_s += SYNC_INTERVAL_S
            if neighbour.sent < self._table.version or idle_s >= HEARTBEAT_INTERVAL_S:
                idle_s = 0.0
                await self._push(neighbour)

    async def _push(self, neighbour):
        message = self._collect(neighbour.sent)
        reply = await self._peers.request(neighbour.address, message, SYNC_TIMEOUT_S)
        if reply is None or not isinstance(reply.message, SyncedLeases):
            return
        if neighbour.acked_incarnation != reply.incarnation:
            # A restarted directory has forgotten all that it was told.
            neighbour.acked_incarnation = reply.incarnation
            neighbour.sent = 0
            return
        neighbour.sent = reply.message.version

    def _collect(self, since):
        changed = list(self._table.list_changed(since))
        changed.reverse()
        complete = len(changed) <= SYNC_BATCH_LEASES
        changed = changed[:SYNC_BATCH_LEASES]
        version = self._table.version if complete else changed[-1].version
        leases = [
            LeaseEntry(lease.entry, lease.counter, lease.owner, lease.alive)
            for lease in changed
        ]
        heard = self._neighbours.list_heard(asyncio.get_running_loop().time())
        return SyncLeases(
            self._peers.incarnation, since, version, complete, leases, heard
        )

    def _receive(self, sender, envelope):
        neighbour = self._neighbours.get(sender)
        if neighbour is None:
            return
        message = envelope.message
        now_s = asyncio.get_running_loop().time()
        self._neighbours.hear(neighbour, message.heard, now_s)
        if neighbour.incarnation != message.directory:
            neighbour.incarnation = message.directory
            neighbour.received = 0
            neighbour.complete = False
        if message.since <= neighbour.received:
            for told in message.leases:
                self._table.merge(told, now_s, now_s + ADOPTION_GRACE_S)
            neighbour.received = max(neighbour.received, message.version)
            neighbour.complete |= message.complete
        reply = SyncedLeases(self._peers.incarnation, neighbour.received)
        self._peers.reply(sender, envelope, reply)

    def _list_nodes(self, sender, envelope):
        now_s = asyncio.get_running_loop().time()
        nodes = [
            NodeStatus(
                lease.entry,
                lease.alive,
                lease.settings_version,
                lease.in_force_since_s,
                lease.load,
                lease.started,
            )
            for lease in self._table.list_all()
            if self._speaks_for(lease.owner, now_s)
        ]
        self._peers.reply(sender, envelope, NodeList(nodes, self._get_host_state()))

    def _speaks_for(self, owner, now_s):
        # A node must not vanish from the status together with its directory.
        if owner == self._peers.address:
            return True
        return not self._neighbours.is_trusted(owner, now_s)

    def _tell_host(self, sender, envelope):
        state = self._get_host_state()
        if state is not None:
            self._peers.reply(sender, envelope, state)


def _presents_newer(sender, entry, lease):
    if entry is None or entry.node != sender:
        return False
    return is_newer_entry(entry, lease.entry if lease else None)


def _is_held(lease, incarnation, revision):
    return (
        lease is not None
        and lease.entry.incarnation == incarnation
        and lease.entry.revision == revision
    )


def _hold(message, wants_entry=False, wants_services=False):
    # The node keeps its position and its view.
    return Renewed(
        message.directory,
        message.version,
        False,
        [],
        [],
        wants_entry,
        wants_entry or wants_services,
    )


def _serves(entry, services):
    return any(server.service in services for server in entry.servers)


def _narrow(entry, services):
    servers = [server for server in entry.servers if server.service in services]
    return NodeEntry(
        entry.node,
        entry.domain,
        entry.region,
        entry.incarnation,
        entry.started_s,
        entry.revision,
        servers,
    )
