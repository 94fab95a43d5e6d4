"""Settings and commands over links whose transfer times exceed the request timeouts."""

import asyncio
import random

import pytest
from tests.quorum_cluster import Cluster

from sapphireway_coordination import (
    ROUTE_PREFIX,
    AppliedState,
    Committed,
    ControlMachine,
    QuorumSettings,
    SettingsChannel,
)
from sapphireway_protocol import Peers, Probe
from sapphireway_state import (
    JournalLimits,
    Publish,
    RequestKind,
    Route,
    RouteTable,
    RouteTarget,
    ServiceSpec,
    encode_publish,
)
from sapphireway_transport.memory import MemoryNetwork, run_paused

NODES = 69
NODE_LINK_BYTES_PER_S = 250_000  # 2 Mbit/s
OTHER_TRAFFIC_BYTES = 5_000  # 0.3 of a link, in 15 messages a second
OTHER_TRAFFIC_PER_S = 15.0
CHANGE_APPLY_S = 2.0  # stated bound from acknowledgement to use on all nodes
CONTROL_HOSTS = 5
CONTROL_DELAY_S = 0.0045
ACK_TIMEOUT_S = 4.0  # stated bound on the acknowledgement of a change
ACK_PER_ROUTE_S = 0.003  # added to it for each route of the change
ROUTE_BYTES = 80  # of an encoded route


class Node:
    """A node that records when each settings version came into force."""

    def __init__(self, network, address):
        self.applied_s = {}
        self.state = AppliedState()
        self.peers = Peers(
            network.open_endpoint(address), address, lambda: self.state.version
        )
        self.channel = SettingsChannel(
            self.peers, self.state, self._record, lambda: 0.0
        )
        self.peers.observe = self.channel.observe
        self.peers.start()

    def _record(self):
        self.applied_s[self.state.version] = asyncio.get_running_loop().time()

    def get_delay(self, version, published_s):
        times = [at_s for known, at_s in self.applied_s.items() if known >= version]
        return min(times, default=float("inf")) - published_s


class Fleet:
    """Nodes behind weak links that exchange messages, and one host without them."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.network = MemoryNetwork(self.rng, lambda sender, receiver: 0.005)
        self.nodes = [Node(self.network, f"n{i}") for i in range(NODES)]
        for node in self.nodes:
            self.network.rates[node.peers.address] = NODE_LINK_BYTES_PER_S
        self.control_host = Node(self.network, "control")
        self.machine = ControlMachine()
        self.routes = []
        self.delays = []

    async def run_traffic(self, node):
        payload = bytes(OTHER_TRAFFIC_BYTES)
        while True:
            await asyncio.sleep(self.rng.expovariate(OTHER_TRAFFIC_PER_S))
            other = self.rng.choice(self.nodes)
            node.peers.send(other.peers.address, Probe("s"), payload)

    async def run_renewals(self, node):
        while True:
            await asyncio.sleep(0.4 * self.rng.uniform(0.9, 1.1))
            self.control_host.peers.send(node.peers.address, Probe("s"))

    async def publish(self, added_routes):
        """Publish a table with more routes; return its version and the time."""
        self.routes += [make_route(self.rng) for _ in range(added_routes)]
        current = self.machine.routes.table.number
        table = RouteTable(
            current + 1, (ServiceSpec("s"),), ("host",), tuple(self.routes)
        )
        order = Publish(self.rng.randbytes(16), current, table)
        index = self.machine.routes.version + 1
        self.machine.apply(index, ROUTE_PREFIX + encode_publish(order))
        assert self.machine.routes.version == index
        state = self.control_host.state
        update = self.machine.make_update(0, 0, state.routes.version)
        await self.control_host.channel.save_and_apply(update)
        return index, asyncio.get_running_loop().time()


def make_route(rng):
    name = rng.randbytes(5).hex()
    return Route(
        f"r-{name}",
        "host",
        f"/{rng.randbytes(5).hex()}/",
        RequestKind.IDEMPOTENT,
        1000.0,
        (RouteTarget("s"),),
        400.0,
        2,
        2,
    )


@pytest.mark.parametrize(("routes", "seed"), [(1900, 1), (1900, 2), (5000, 1)])
def test_storm_of_changes_over_many_routes_is_in_force_in_time(routes, seed):
    # Guards against whole tables, one for each copy of a request, that fill links.
    async def run():
        fleet = Fleet(seed)
        tasks = [
            asyncio.ensure_future(run_for(node))
            for node in fleet.nodes
            for run_for in (fleet.run_traffic, fleet.run_renewals)
        ]
        await fleet.publish(8)
        await asyncio.sleep(3.0)
        published = [await fleet.publish(routes)]
        await asyncio.sleep(4.0)
        for _ in range(12):
            published.append(await fleet.publish(1))
            await asyncio.sleep(0.33)
        await asyncio.sleep(6.0)
        for task in tasks:
            task.cancel()
        return [
            max(node.get_delay(*change) for node in fleet.nodes) for change in published
        ]

    delays_s = run_paused(run())
    assert max(delays_s) < CHANGE_APPLY_S, [round(d, 2) for d in delays_s]


@pytest.mark.parametrize(("routes", "link_bytes_per_s"), [(5000, 1e6), (12_000, 4e6)])
def test_large_command_is_committed_over_slow_links(routes, link_bytes_per_s):
    # Guards against entries sent again without end as their replies come late.
    async def run():
        settings = QuorumSettings(limits=JournalLimits())
        cluster = Cluster(CONTROL_HOSTS, settings=settings)
        cluster.network._delay = lambda sender, receiver: CONTROL_DELAY_S
        await cluster.start()
        await cluster.wait_until(cluster.is_healthy)
        for address in cluster.addresses:
            cluster.network.rates[address] = link_bytes_per_s
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        bound_s = ACK_TIMEOUT_S + routes * ACK_PER_ROUTE_S
        client = cluster.open_client()
        outcome = await client.propose(bytes(routes * ROUTE_BYTES), bound_s)
        return outcome, loop.time() - started_s, bound_s

    outcome, took_s, bound_s = run_paused(run())
    assert isinstance(outcome, Committed), outcome
    assert took_s < bound_s
