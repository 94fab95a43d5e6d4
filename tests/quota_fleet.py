"""Simulated nodes that get tokens from the leader of a simulated quorum."""

import asyncio
import bisect
import random

from sapphireway_coordination import ControlHostList, QuotaClient, QuotaOwner
from sapphireway_coordination.quotas import AgeClock
from sapphireway_protocol import NotRunReason, Peers
from tests.quorum_cluster import Cluster

WINDOW_S = 5.0
OVERAGE = 0.1
SLACK = 20
DELAY_S = 0.0014
TIMEOUT_S = 2.0


class Fleet:
    """Nodes ``n0``, ``n1``, ... and control hosts ``c0``, ``c1``, ...

    Attributes
    ----------
    workspaces : tuple of Workspace
        Of the table in force everywhere.
    passed : dict of str to list of float
        Times at which requests of a workspace were admitted.
    refusals : list of (float, NotRun)
    waits_s : list of float
        Time that each admitted request waited.
    """

    def __init__(self, nodes, workspaces, control_hosts=5, seed=0):
        self.cluster = Cluster(control_hosts, seed)
        self.network = self.cluster.network
        self.network._delay = lambda sender, receiver: DELAY_S
        self.workspaces = tuple(workspaces)
        self.passed = {workspace.name: [] for workspace in workspaces}
        self.refusals = []
        self.waits_s = []
        self.events = []
        self.clients = {}
        self.suspended_s = {}
        self.owner_tasks = {}
        self.seed = seed
        self.nodes = [f"n{i}" for i in range(nodes)]

    async def start(self):
        await self.cluster.start()
        await self.cluster.wait_until(self.cluster.is_healthy)
        for address in self.cluster.addresses:
            self.start_owner(address)
        for index, name in enumerate(self.nodes):
            peers = Peers(self.network.open_endpoint(name), name)
            peers.start()
            hosts = ControlHostList(self.cluster.addresses)
            rng = random.Random(self.seed * 1000 + index)
            clock = self.make_clock(name)
            client = QuotaClient(peers, hosts, rng, clock, self.events.append)
            self.clients[name] = client
        await asyncio.sleep(1.0)

    def make_clock(self, name):
        loop = asyncio.get_running_loop()
        self.suspended_s[name] = 0.0
        return AgeClock(lambda: (loop.time(), loop.time() + self.suspended_s[name]))

    def start_owner(self, address):
        host = self.cluster.hosts[address]
        quorum = host.quorum
        owner = QuotaOwner(
            host.peers,
            quorum.get_status,
            quorum.read_barrier,
            lambda: self.workspaces,
            self.make_clock(address),
            self.events.append,
        )
        self.owner_tasks[address] = asyncio.create_task(owner.run())

    def crash(self, address):
        self.owner_tasks.pop(address).cancel()
        self.cluster.crash(address)

    async def request(self, node, workspace=None, timeout_s=TIMEOUT_S):
        """Send one request; return whether it was admitted, or its refusal."""
        loop = asyncio.get_running_loop()
        workspace = workspace or self.workspaces[0]
        started_s = loop.time()
        refusal = await self.clients[node].admit(workspace, started_s + timeout_s)
        if refusal is None:
            self.passed[workspace.name].append(loop.time())
            self.waits_s.append(loop.time() - started_s)
        else:
            self.refusals.append((loop.time(), refusal))
        return refusal

    async def send(self, rate_per_s, duration_s, choose_node, rng, workspace=None):
        """Send requests at random times to the nodes that `choose_node` returns.

        Parameters
        ----------
        choose_node : callable
            Called with the time since the start.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        tasks = []
        while loop.time() < started_s + duration_s:
            await asyncio.sleep(rng.expovariate(rate_per_s))
            node = choose_node(loop.time() - started_s)
            tasks.append(asyncio.create_task(self.request(node, workspace)))
        await asyncio.gather(*tasks)

    def count_refusals(self, reason=NotRunReason.QUOTA, until_s=float("inf")):
        return sum(r.reason is reason and at <= until_s for at, r in self.refusals)

    def find_fullest_window(self, workspace):
        """Return the largest number of requests admitted in any window."""
        times = sorted(self.passed[workspace.name])
        return max(
            (
                bisect.bisect_right(times, start_s + WINDOW_S) - first
                for first, start_s in enumerate(times)
            ),
            default=0,
        )

    def check(self):
        for workspace in self.workspaces:
            if not workspace.rate_per_s:
                continue
            allowed = workspace.rate_per_s * WINDOW_S + workspace.burst
            allowed = allowed * (1 + OVERAGE) + SLACK
            count = self.find_fullest_window(workspace)
            assert count <= allowed, f"{count} requests of {workspace.name}"

    def stop(self):
        for task in self.owner_tasks.values():
            task.cancel()
        for client in self.clients.values():
            client.close()
