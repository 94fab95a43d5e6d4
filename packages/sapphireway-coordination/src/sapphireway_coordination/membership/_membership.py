"""A node's own lease and its view of the members of the services that it calls."""

import asyncio
import random
from collections.abc import Callable, Sequence

import msgspec

from sapphireway_coordination.membership._control_host_list import ControlHostList
from sapphireway_coordination.membership._members import Member, index_members
from sapphireway_protocol import (
    LoadReport,
    NodeEntry,
    Peers,
    Renew,
    Renewed,
    ServerEntry,
)

RENEW_INTERVAL_S = 0.4
PRELIMINARY_RENEW_INTERVAL_S = 0.1  # while the directory does not know all nodes yet
RENEW_RESEND_S = 0.1
RENEW_TIMEOUT_S = 0.4
RENEW_INTERVAL_MIN_S = 0.01
FAILURES_UNTIL_FAILOVER = 2
INITIAL_RENEW_TIMEOUT_S = 0.15  # at start, for one try with each directory


class NodeReport(msgspec.Struct, frozen=True):
    """Status of a node that is shown to operators.

    Attributes
    ----------
    in_force_since_s : float
        Wall-clock time at which the settings in force were applied.
    load : LoadReport or None
        Load of the server beside the node.
    started : int
        Number of requests dispatched to that server since the node started.
    """

    in_force_since_s: float = 0.0
    load: LoadReport | None = None
    started: int = 0


class Membership:
    """Renews this node's lease with a directory and tracks the reported members.

    Parameters
    ----------
    peers : Peers
    directories : ControlHostList
        The control hosts; updated from their replies.
    entry : NodeEntry
        This node's entry, without servers.
    rng : random.Random
    get_report : callable
        Returns the status that is shown to operators.
    on_renewal_timeout : callable
        Called with the address of a directory that did not answer a renewal.
    on_failover : callable
        Called with the address of a random known node whenever this node switches
        directory because the last one did not answer.

    Attributes
    ----------
    directory : str
        Address of the directory in use.
    last_renewed_s : float
        Event loop time of the last reply of a directory.
    revision : int
        Increases whenever the members change.
    """

    __slots__ = (
        "_directories",
        "_directory_incarnation",
        "_entry",
        "_get_report",
        "_has_full_view",
        "_known_services",
        "_known_services_changed",
        "_members",
        "_nodes",
        "_on_failover",
        "_on_renewal_timeout",
        "_peers",
        "_renew_early",
        "_rng",
        "_send_entry",
        "_send_services",
        "_services",
        "_untried_directories",
        "_version",
        "directory",
        "last_renewed_s",
        "revision",
    )

    def __init__(
        self,
        peers: Peers,
        directories: ControlHostList,
        entry: NodeEntry,
        rng: random.Random,
        get_report: Callable[[], NodeReport] = NodeReport,
        on_failover: Callable[[str], None] = lambda node: None,
        on_renewal_timeout: Callable[[str], None] = lambda directory: None,
    ):
        self._on_renewal_timeout = on_renewal_timeout
        self._directories = directories
        self._directory_incarnation = ""
        self._entry = entry
        self._get_report = get_report
        self._has_full_view = False
        self._members = {}
        self._nodes = {}
        self._on_failover = on_failover
        self._peers = peers
        self._rng = rng
        self._send_entry = True
        self._send_services = True
        self._services = set()
        self._untried_directories = None
        self._version = 0
        self._known_services_changed = asyncio.Event()
        self._known_services = frozenset()
        self._renew_early = asyncio.Event()
        peers.add_departure_listener(self._handle_departed)
        self.directory = rng.choice(directories.addresses)
        self.last_renewed_s = float("-inf")
        self.revision = 0

    def get_members(self, service: str) -> Sequence[Member]:
        """Return the live members of `service` and subscribe to their changes."""
        if service not in self._services:
            self._services.add(service)
            self._send_services = True
            self._renew_early.set()
        return self._members.get(service, ())

    def count_nodes(self) -> int:
        """Return the number of known nodes, this one included."""
        return max(1, len(self._nodes))

    async def wait_for_members(self, service: str, timeout_s: float) -> bool:
        """Wait until members of `service` are known; False on timeout.

        A directory that has just started may not report all of them yet.
        """
        if service in self._known_services:
            return True
        self.get_members(service)
        try:
            async with asyncio.timeout(timeout_s):
                while service not in self._known_services:
                    await self._known_services_changed.wait()
        except TimeoutError:
            return False
        return True

    def set_servers(self, servers: Sequence[ServerEntry]) -> None:
        """Announce these servers as the ones beside this node."""
        self._entry = _replace_servers(self._entry, servers)
        self._nodes[self._entry.node] = self._entry
        self._rebuild_members()
        self._send_entry = True
        self._renew_early.set()

    async def run(self) -> None:
        """Renew until cancelled."""
        await self._find_initial_directory()
        failures = 0
        while True:
            directory = self.directory
            if await self._renew():
                failures = 0
                self._untried_directories = None
                await self._wait_until_next_renewal()
                continue
            if directory != self.directory:
                # It has departed, and another one is in use already.
                continue
            failures += 1
            self._on_renewal_timeout(self.directory)
            # A directory that has not answered yet gets a single try, because the
            # lease expires while the node looks for one that it can reach.
            if (
                self._untried_directories is not None
                or failures >= FAILURES_UNTIL_FAILOVER
            ):
                self._switch_directory()
                self._report_failover()

    async def _find_initial_directory(self):
        """Try each directory once, briefly: after a power loss some start late."""
        for _ in range(len(self._directories.addresses)):
            if await self._renew(INITIAL_RENEW_TIMEOUT_S):
                self._untried_directories = None
                return
            self._on_renewal_timeout(self.directory)
            self._switch_directory()

    def _handle_departed(self, sender, envelope):
        # A directory that stops no longer passes on the leases that it grants.
        if sender == self.directory and self._peers.clocks.has_departed(sender):
            self._switch_directory()
            self._renew_early.set()

    async def _wait_until_next_renewal(self):
        await asyncio.sleep(RENEW_INTERVAL_MIN_S)
        if self._send_entry or self._send_services:
            return
        # Jitter spreads the renewals of nodes that start together.
        interval_s = (
            RENEW_INTERVAL_S if self._has_full_view else PRELIMINARY_RENEW_INTERVAL_S
        )
        pause_s = interval_s * self._rng.uniform(0.9, 1.1)
        try:
            async with asyncio.timeout(pause_s):
                await self._renew_early.wait()
        except TimeoutError:
            pass
        self._renew_early.clear()

    def _report_failover(self):
        others = [node for node in self._nodes if node != self._entry.node]
        if others:
            self._on_failover(self._rng.choice(others))

    def _switch_directory(self):
        if not self._untried_directories:
            self._untried_directories = [
                address
                for address in self._directories.addresses
                if address != self.directory
            ]
            self._rng.shuffle(self._untried_directories)
        if self._untried_directories:
            self.directory = self._untried_directories.pop()
        self._send_entry = True
        self._send_services = True

    async def _renew(self, timeout_s=RENEW_TIMEOUT_S):
        sent_s = asyncio.get_running_loop().time()
        report = self._get_report()
        message = Renew(
            self._entry.revision,
            self._entry if self._send_entry else None,
            sorted(self._services) if self._send_services else None,
            self._directory_incarnation,
            self._version,
            report.in_force_since_s,
            report.load,
            report.started,
            self._directories.version,
        )
        revision, services = self._entry.revision, frozenset(self._services)
        reply = await self._peers.request(
            self.directory, message, timeout_s, resend_s=RENEW_RESEND_S
        )
        if reply is None or not isinstance(reply.message, Renewed):
            waited_s = asyncio.get_running_loop().time() - sent_s
            await asyncio.sleep(max(0.0, timeout_s - waited_s))
            return False
        self._send_entry = reply.message.wants_entry or (
            revision != self._entry.revision
        )
        self._send_services = reply.message.wants_services or (
            services != self._services
        )
        self._apply_renewal(reply.message)
        self._update_known_services(reply.message, services)
        self.last_renewed_s = asyncio.get_running_loop().time()
        return True

    def _update_known_services(self, renewed, services):
        known = services
        if renewed.is_full:
            self._has_full_view = True
        else:
            reported = {s.service for entry in renewed.nodes for s in entry.servers}
            known = self._known_services | reported
        if known != self._known_services:
            self._known_services = known
            self._known_services_changed.set()
            self._known_services_changed = asyncio.Event()

    def _apply_renewal(self, renewed):
        self._directories.update(renewed.hosts_version, renewed.hosts)
        self._directory_incarnation = renewed.directory
        self._version = renewed.version
        if not (renewed.is_full or renewed.removed or renewed.nodes):
            return
        if renewed.is_full:
            self._nodes = {}
        for node in renewed.removed:
            self._nodes.pop(node, None)
        for entry in renewed.nodes:
            self._nodes[entry.node] = entry
        self._nodes[self._entry.node] = self._entry
        self._rebuild_members()

    def _rebuild_members(self):
        self._members = index_members(self._nodes.values())
        self.revision += 1


def _replace_servers(entry, servers):
    return NodeEntry(
        entry.node,
        entry.domain,
        entry.region,
        entry.incarnation,
        entry.started_s,
        entry.revision + 1,
        list(servers),
    )
