"""A node's own lease and its view of the members of the services that it calls."""

import asyncio
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

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
EARLY_INTERVAL_S = 0.1  # while the directory itself does not know all nodes yet
RENEW_RESEND_S = 0.1
RENEW_TIMEOUT_S = 0.4
RENEW_SPACING_S = 0.01
RENEWALS_UNTIL_MOVE = 2
FIRST_TIMEOUT_S = 0.15  # of a node that knows nobody, once for each directory


@dataclass(slots=True, frozen=True)
class NodeReport:
    """What operators see of a node.

    Attributes
    ----------
    in_force_since_s : float
        Wall-clock time at which the settings in force were applied.
    load : LoadReport or None
        Load of the server beside the node.
    started : int
        Requests handed to that server since the node started.
    """

    in_force_since_s: float = 0.0
    load: LoadReport | None = None
    started: int = 0


class Membership:
    """Renews this node's lease with a directory and follows its changes.

    Parameters
    ----------
    peers : Peers
    directories : ControlHostList
        The control hosts; kept up to date from their answers.
    entry : NodeEntry
        This node without servers.
    rng : random.Random
    get_report : callable
        Returns what operators see of this node.
    on_renewal_timeout : callable
        Called with a directory that did not answer a renewal.
    on_no_directory : callable
        Called with a known node's address, another one each time, while no
        directory that was tried answers.

    Attributes
    ----------
    directory : str
        Address of the directory in use.
    last_renewed_s : float
        Reading of the loop's clock at the last answer of a directory.
    revision : int
        Grows whenever the members change.
    """

    __slots__ = (
        "_directories",
        "_directory_incarnation",
        "_entry",
        "_get_report",
        "_has_whole_view",
        "_members",
        "_nodes",
        "_on_silence",
        "_on_unserved",
        "_peers",
        "_rng",
        "_send_entry",
        "_send_services",
        "_services",
        "_untried",
        "_version",
        "_view_changed",
        "_viewed",
        "_wake",
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
        on_no_directory: Callable[[str], None] = lambda node: None,
        on_renewal_timeout: Callable[[str], None] = lambda directory: None,
    ):
        self._on_silence = on_renewal_timeout
        self._directories = directories
        self._directory_incarnation = ""
        self._entry = entry
        self._get_report = get_report
        self._has_whole_view = False
        self._members = {}
        self._nodes = {}
        self._on_unserved = on_no_directory
        self._peers = peers
        self._rng = rng
        self._send_entry = True
        self._send_services = True
        self._services = set()
        self._untried = None
        self._version = 0
        self._view_changed = asyncio.Event()
        self._viewed = frozenset()
        self._wake = asyncio.Event()
        self.directory = rng.choice(directories.addresses)
        self.last_renewed_s = float("-inf")
        self.revision = 0

    def get_members(self, service: str) -> Sequence[Member]:
        """Return the live members of `service` and follow it from now on."""
        if service not in self._services:
            self._services.add(service)
            self._send_services = True
            self._wake.set()
        return self._members.get(service, ())

    def count_nodes(self) -> int:
        """Return the nodes known here, this one included."""
        return max(1, len(self._nodes))

    async def wait_for_members(self, service: str, timeout_s: float) -> bool:
        """Wait until members of `service` are known; False on timeout.

        From a directory that has just started these may not be all.
        """
        if service in self._viewed:
            return True
        self.get_members(service)
        try:
            async with asyncio.timeout(timeout_s):
                while service not in self._viewed:
                    await self._view_changed.wait()
        except TimeoutError:
            return False
        return True

    def set_servers(self, servers: Sequence[ServerEntry]) -> None:
        """Present these servers as the ones beside this node."""
        self._entry = _replace_servers(self._entry, servers)
        self._nodes[self._entry.node] = self._entry
        self._rebuild()
        self._send_entry = True
        self._wake.set()

    async def run(self) -> None:
        """Renew until cancelled."""
        await self._find_first()
        failures = 0
        while True:
            if await self._renew():
                failures = 0
                self._untried = None
                await self._pause()
                continue
            failures += 1
            self._on_silence(self.directory)
            # One that has not answered yet gets a single try: the lease runs out
            # while the node looks for a directory that it can reach.
            if self._untried is not None or failures >= RENEWALS_UNTIL_MOVE:
                self._move()
                self._report_unserved()

    async def _find_first(self):
        """Ask each directory once, briefly: after a loss of power some start late."""
        for _ in range(len(self._directories.addresses)):
            if await self._renew(FIRST_TIMEOUT_S):
                self._untried = None
                return
            self._on_silence(self.directory)
            self._move()

    async def _pause(self):
        await asyncio.sleep(RENEW_SPACING_S)
        if self._send_entry or self._send_services:
            return
        # Spread keeps the renewals of nodes that start together apart.
        interval_s = RENEW_INTERVAL_S if self._has_whole_view else EARLY_INTERVAL_S
        pause_s = interval_s * self._rng.uniform(0.9, 1.1)
        try:
            async with asyncio.timeout(pause_s):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()

    def _report_unserved(self):
        others = [node for node in self._nodes if node != self._entry.node]
        if others:
            self._on_unserved(self._rng.choice(others))

    def _move(self):
        if not self._untried:
            self._untried = [
                d for d in self._directories.addresses if d != self.directory
            ]
            self._rng.shuffle(self._untried)
        if self._untried:
            self.directory = self._untried.pop()
        self._send_entry = True
        self._send_services = True

    async def _renew(self, timeout_s=RENEW_TIMEOUT_S):
        started_s = asyncio.get_running_loop().time()
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
            waited_s = asyncio.get_running_loop().time() - started_s
            await asyncio.sleep(max(0.0, timeout_s - waited_s))
            return False
        self._send_entry = reply.message.wants_entry or (
            revision != self._entry.revision
        )
        self._send_services = reply.message.wants_services or (
            services != self._services
        )
        self._accept(reply.message)
        self._note_view(reply.message, services)
        self.last_renewed_s = asyncio.get_running_loop().time()
        return True

    def _note_view(self, renewed, services):
        viewed = services
        if renewed.whole:
            self._has_whole_view = True
        else:
            told = {s.service for entry in renewed.nodes for s in entry.servers}
            viewed = self._viewed | told
        if viewed != self._viewed:
            self._viewed = viewed
            self._view_changed.set()
            self._view_changed = asyncio.Event()

    def _accept(self, renewed):
        self._directories.update(renewed.hosts_version, renewed.hosts)
        self._directory_incarnation = renewed.directory
        self._version = renewed.version
        if not (renewed.whole or renewed.gone or renewed.nodes):
            return
        if renewed.whole:
            self._nodes = {}
        for node in renewed.gone:
            self._nodes.pop(node, None)
        for entry in renewed.nodes:
            self._nodes[entry.node] = entry
        self._nodes[self._entry.node] = self._entry
        self._rebuild()

    def _rebuild(self):
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
