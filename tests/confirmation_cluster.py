"""Control hosts, and nodes that judge keys by confirmed tables, with fault injection.

Each command of the journal stands for a table that removes one key: command *n* makes
version *n*, and a request with key *n* is valid at a node whose version is below *n*.
"""

import asyncio
import random
from dataclasses import dataclass, field

from sapphireway_coordination import (
    Committed,
    Confirmation,
    ConfirmationSource,
    ControlHostList,
)
from sapphireway_protocol import Peers, TableConfirmed
from tests.quorum_cluster import Cluster

BOUND_S = 5.0
TABLE_DELAY_S = 0.2  # from the answer that names a version until it is in force


@dataclass(slots=True)
class KeyNode:
    """A node that judges requests with keys.

    Attributes
    ----------
    suspended_s : float
        Time for which its monotonic clock has stood still.
    """

    name: str
    peers: Peers
    version: int = 0
    suspended_s: float = 0.0
    confirmation: Confirmation = None
    events: list = field(default_factory=list)
    task: asyncio.Task = None

    def read_instant(self):
        now_s = asyncio.get_running_loop().time()
        return now_s - self.suspended_s, now_s

    def apply(self, version):
        self.version = max(self.version, version)
        self.confirmation.notify()


class ConfirmationCluster:
    """Control hosts ``c0``, ... and nodes ``n0``, ... on one memory network."""

    def __init__(self, hosts=3, nodes=2, seed=0):
        self.cluster = Cluster(hosts, seed)
        self.network = self.cluster.network
        self.rng = random.Random(seed + 2)
        self.nodes = {}
        self.node_count = nodes
        self.sources = {}
        self.acknowledged_s = {}
        self.violations = []
        self.served = 0
        self.published = 0
        self.client = None

    async def start(self):
        await self.cluster.start()
        for address in self.cluster.addresses:
            self.attach(address)
        await self.cluster.wait_until(self.cluster.is_healthy)
        self.client = self.cluster.open_client()
        for index in range(self.node_count):
            self.start_node(f"n{index}")

    def attach(self, address):
        """Let a started control host answer questions."""
        host = self.cluster.hosts[address]
        if host.quorum is None:
            return
        loop = asyncio.get_running_loop()
        source = ConfirmationSource(
            host.peers,
            host.quorum.read_barrier,
            lambda: len(host.machine.commands),
            lambda: (loop.time(), loop.time()),
        )
        self.sources[address] = source, loop.create_task(source.run())

    def kill_host(self, address):
        if address in self.sources:
            self.sources.pop(address)[1].cancel()
        self.cluster.crash(address)

    async def start_host(self, address):
        if self.cluster.hosts[address].quorum is None:
            await self.cluster.start(address)
            self.attach(address)

    def start_node(self, name):
        node = KeyNode(name, Peers(self.network.open_endpoint(name), f"{name}-1"))
        node.confirmation = Confirmation(
            node.peers,
            ControlHostList(self.cluster.addresses),
            lambda: node.version,
            BOUND_S,
            random.Random(self.rng.random()),
            node.read_instant,
            node.events.append,
        )
        loop = asyncio.get_running_loop()

        def apply_later(sender, envelope):
            if isinstance(envelope.message, TableConfirmed):
                version = envelope.message.version
                loop.call_later(TABLE_DELAY_S, node.apply, version)

        node.peers.observe = apply_later
        node.peers.start()
        node.task = loop.create_task(node.confirmation.run())
        self.nodes[name] = node

    def cut(self, first, second, *, both=True):
        self.network.cut(first, second)
        if both:
            self.network.cut(second, first)

    def cut_off(self, name):
        for address in self.cluster.addresses:
            self.cut(name, address)

    async def publish(self, timeout_s=3.0):
        """Publish a table that removes one more key; return whether it is accepted."""
        command = b"remove %d" % self.published
        self.published += 1
        result = await self.client.propose(command, timeout_s)
        if not isinstance(result, Committed):
            return False
        # The machine answers with the position of the command, from 0.
        self.acknowledged_s[int(result.result) + 1] = asyncio.get_running_loop().time()
        return True

    async def send(self, name, deadline_s=2.0, recent=False):
        """Send a request at a node and check that no removed key is accepted."""
        loop = asyncio.get_running_loop()
        node, sent_s = self.nodes[name], loop.time()
        refusal = await node.confirmation.confirm(loop.time() + deadline_s, recent)
        if refusal is not None:
            return refusal
        self.served += 1
        for number, acknowledged_s in self.acknowledged_s.items():
            if number > node.version and sent_s > acknowledged_s + BOUND_S:
                late_s = sent_s - acknowledged_s
                self.violations.append(
                    f"{name} at version {node.version} accepted key {number} "
                    f"{late_s:.2f} s after its removal"
                )
        return None

    async def stop(self):
        for node in self.nodes.values():
            node.task.cancel()
        for address in list(self.sources):
            self.sources.pop(address)[1].cancel()
        await asyncio.sleep(0)
