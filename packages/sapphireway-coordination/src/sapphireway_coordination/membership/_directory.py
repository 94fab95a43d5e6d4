"""The membership directory of a control host."""

import asyncio
from collections.abc import Callable, Sequence

import msgspec

from sapphireway_coordination.membership._control_host_list import ControlHostList
from sapphireway_coordination.membership._members import Member, index_members
from sapphireway_coordination.membership._peer_directories import (
    TAKEOVER_GRACE_S,
    PeerDirectories,
)
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

LEASE_DURATION_S = 1.3
EXPIRY_CHECK_INTERVAL_S = 0.1
# After a longer pause, renewals that arrived meanwhile may not have been read yet. A
# shorter one leaves each lease time for another renewal.
PAUSE_MAX_S = 0.5
SYNC_INTERVAL_S = 0.1
HEARTBEAT_INTERVAL_S = 0.5
SYNC_TIMEOUT_S = 0.5
SYNC_BATCH_MAX_LEASES = 200
EXPIRED_LEASE_RETENTION_S = 600.0
WARM_UP_MIN_S = 1.5
WARM_UP_MAX_S = 5.0
PRELIMINARY_SUFFIX = "-preliminary"


class Directory:
    """Grants leases to nodes and replicates them to the other control hosts.

    Directories hold soft state only. A node's lease is owned by the directory that
    the node renews with, and every directory learns all leases from the others.

    Parameters
    ----------
    peers : Peers
    hosts : ControlHostList
        Checked for changes at every heartbeat.
    get_host_state : callable
        Returns this host's state in the control quorum, for operators.
    """

    __slots__ = (
        "_get_host_state",
        "_hosts",
        "_indexed_version",
        "_members",
        "_next_expiry_s",
        "_peer_directories",
        "_peers",
        "_started_s",
        "_sync_tasks",
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
        self._next_expiry_s = float("-inf")
        self._peers = peers
        self._peer_directories = PeerDirectories(self._list_other_hosts())
        self._sync_tasks = {}
        self._started_s = asyncio.get_running_loop().time()
        self._table = LeaseTable(peers.address)
        peers.handle(Renew, self._handle_renew)
        peers.handle(SyncLeases, self._handle_sync)
        peers.handle(ListNodes, self._handle_list_nodes)
        peers.handle(ReadControlHost, self._handle_read_host)

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
        """Expire leases and sync with the other directories until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._check_expiry())
            while True:
                self._update_sync_tasks(tasks)
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _update_sync_tasks(self, tasks):
        """Start and cancel sync tasks to match the current control hosts."""
        peer_addresses = self._list_other_hosts()
        self._peer_directories.set_addresses(peer_addresses)
        for address in set(self._sync_tasks).difference(peer_addresses):
            self._sync_tasks.pop(address).cancel()
        for peer in self._peer_directories:
            if peer.address not in self._sync_tasks:
                task = tasks.create_task(self._sync_with(peer))
                self._sync_tasks[peer.address] = task

    def _list_other_hosts(self):
        return [a for a in self._hosts.addresses if a != self._peers.address]

    def _handle_renew(self, sender, envelope):
        message = envelope.message
        lease = self._table.get(sender)
        now_s = asyncio.get_running_loop().time()
        if _has_newer_entry(sender, message.entry, lease):
            lease = self._table.grant(message.entry, now_s + LEASE_DURATION_S)
        if not _holds_entry(lease, envelope.incarnation, message.revision):
            self._reply(
                sender, envelope, _make_unchanged_reply(message, wants_entry=True)
            )
            return
        if not lease.alive or lease.owner != self._peers.address:
            self._table.take_ownership(lease)
        lease.expires_s = now_s + LEASE_DURATION_S
        lease.settings_version = envelope.settings_version
        lease.in_force_since_s = message.in_force_since_s
        lease.load = message.load
        lease.started = message.started
        if message.services is not None:
            lease.services = frozenset(message.services)
        self._reply(sender, envelope, self._make_reply(message, lease, now_s))

    def _reply(self, sender, envelope, renewed):
        hosts = self._hosts
        if hosts.version > envelope.message.hosts_version:
            renewed = msgspec.structs.replace(
                renewed, hosts_version=hosts.version, hosts=list(hosts.addresses)
            )
        self._peers.reply(sender, envelope, renewed)

    def _make_reply(self, message, lease, now_s):
        if lease.services is None:
            return _make_unchanged_reply(message, wants_services=True)
        if not self._is_warm(now_s):
            return self._make_preliminary_reply(message, lease)
        incarnation = self._peers.incarnation
        if message.directory != incarnation or message.services is not None:
            nodes = self._list_nodes_serving(lease.services)
            version = self._table.version
            return Renewed(incarnation, version, True, nodes, [], False, False)
        return self._make_delta_reply(message, lease, incarnation)

    def _make_preliminary_reply(self, message, lease):
        """Answer a node that has no view with the members known so far.

        A node that has a view keeps it, as it is more complete than this directory's.
        """
        directory_id = self._peers.incarnation + PRELIMINARY_SUFFIX
        if message.directory and not message.directory.endswith(PRELIMINARY_SUFFIX):
            return _make_unchanged_reply(message)
        if message.directory != directory_id or message.services is not None:
            message = msgspec.structs.replace(message, version=0)
        return self._make_delta_reply(message, lease, directory_id)

    def _make_delta_reply(self, message, lease, directory_id):
        nodes, removed = [], []
        for changed in self._table.list_changed(message.version):
            if changed.alive and _serves_any(changed.entry, lease.services):
                nodes.append(_filter_servers(changed.entry, lease.services))
            elif not changed.served.isdisjoint(lease.services):
                removed.append(changed.entry.node)
        version = self._table.version
        return Renewed(directory_id, version, False, nodes, removed, False, False)

    def _list_nodes_serving(self, services):
        return [
            _filter_servers(lease.entry, services)
            for lease in self._table.list_all()
            if lease.alive and _serves_any(lease.entry, services)
        ]

    def _is_warm(self, now_s):
        # Until the peers' leases have arrived and nodes have had time to renew, a
        # view from this directory would lack live members.
        age_s = now_s - self._started_s
        if age_s < WARM_UP_MIN_S:
            return False
        return self._peer_directories.has_complete_majority() or age_s >= WARM_UP_MAX_S

    async def _check_expiry(self):
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        while True:
            checked_s = now_s
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
            now_s = loop.time()
            if now_s - checked_s > PAUSE_MAX_S:
                self._extend_leases(now_s - checked_s)
            self._peer_directories.update_trust(now_s)
            trusted = self._peer_directories.are_all_trusted(now_s)
            # Renewals only postpone expiry, so no lease is due before the earliest
            # expiry that the last pass found.
            if now_s > self._next_expiry_s or not trusted:
                self._expire_leases(now_s)

    def _extend_leases(self, pause_s):
        # By the pause alone, so that leases also end beside pauses that recur.
        for lease in self._table.list_all():
            if lease.alive and lease.owner == self._peers.address:
                lease.expires_s += pause_s

    def _expire_leases(self, now_s):
        self._next_expiry_s = now_s + LEASE_DURATION_S
        for lease in self._table.list_all():
            if not lease.alive:
                if now_s > lease.expires_s + EXPIRED_LEASE_RETENTION_S:
                    self._table.remove(lease)
            elif now_s > lease.expires_s and not self._is_owner_trusted(lease, now_s):
                # Either it was not renewed in time, or its owner is down and the
                # node has not renewed with another directory.
                lease.expires_s = now_s
                self._table.expire(lease)
            elif lease.owner == self._peers.address:
                self._next_expiry_s = min(self._next_expiry_s, lease.expires_s)

    def _is_owner_trusted(self, lease, now_s):
        return self._peer_directories.is_trusted(lease.owner, now_s)

    async def _sync_with(self, peer):
        idle_s = 0.0
        while True:
            await asyncio.sleep(SYNC_INTERVAL_S)
            idle_s += SYNC_INTERVAL_S
            if (
                peer.acked_version < self._table.version
                or idle_s >= HEARTBEAT_INTERVAL_S
            ):
                idle_s = 0.0
                await self._send_changes(peer)

    async def _send_changes(self, peer):
        message = self._make_sync_message(peer.acked_version)
        reply = await self._peers.request(peer.address, message, SYNC_TIMEOUT_S)
        if reply is None or not isinstance(reply.message, SyncedLeases):
            return
        if peer.acked_incarnation != reply.incarnation:
            # A restarted directory has lost the leases that were sent to it.
            peer.acked_incarnation = reply.incarnation
            peer.acked_version = 0
            return
        peer.acked_version = reply.message.version

    def _make_sync_message(self, since):
        changed = list(self._table.list_changed(since))
        changed.reverse()
        complete = len(changed) <= SYNC_BATCH_MAX_LEASES
        changed = changed[:SYNC_BATCH_MAX_LEASES]
        version = self._table.version if complete else changed[-1].version
        leases = [
            LeaseEntry(lease.entry, lease.counter, lease.owner, lease.alive)
            for lease in changed
        ]
        reachable = self._peer_directories.list_heard(asyncio.get_running_loop().time())
        return SyncLeases(
            self._peers.incarnation, since, version, complete, leases, reachable
        )

    def _handle_sync(self, sender, envelope):
        peer = self._peer_directories.get(sender)
        if peer is None:
            return
        message = envelope.message
        now_s = asyncio.get_running_loop().time()
        self._peer_directories.record_heard(peer, message.reachable, now_s)
        if peer.incarnation != message.directory:
            peer.incarnation = message.directory
            peer.received_version = 0
            peer.complete = False
        if message.since <= peer.received_version:
            for lease_entry in message.leases:
                self._table.merge(lease_entry, now_s, now_s + TAKEOVER_GRACE_S)
            peer.received_version = max(peer.received_version, message.version)
            peer.complete |= message.complete
        reply = SyncedLeases(self._peers.incarnation, peer.received_version)
        self._peers.reply(sender, envelope, reply)

    def _handle_list_nodes(self, sender, envelope):
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
            if self._reports_leases_of(lease.owner, now_s)
        ]
        self._peers.reply(sender, envelope, NodeList(nodes, self._get_host_state()))

    def _reports_leases_of(self, owner, now_s):
        # Nodes whose owner is down are reported too: they must not disappear from
        # the status together with their directory.
        if owner == self._peers.address:
            return True
        return not self._peer_directories.is_trusted(owner, now_s)

    def _handle_read_host(self, sender, envelope):
        state = self._get_host_state()
        if state is not None:
            self._peers.reply(sender, envelope, state)


def _has_newer_entry(sender, entry, lease):
    if entry is None or entry.node != sender:
        return False
    return is_newer_entry(entry, lease.entry if lease else None)


def _holds_entry(lease, incarnation, revision):
    return (
        lease is not None
        and lease.entry.incarnation == incarnation
        and lease.entry.revision == revision
    )


def _make_unchanged_reply(message, wants_entry=False, wants_services=False):
    # Echoes the directory and version of the node's view, so that it keeps its view.
    return Renewed(
        message.directory,
        message.version,
        False,
        [],
        [],
        wants_entry,
        wants_entry or wants_services,
    )


def _serves_any(entry, services):
    return any(server.service in services for server in entry.servers)


def _filter_servers(entry, services):
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
