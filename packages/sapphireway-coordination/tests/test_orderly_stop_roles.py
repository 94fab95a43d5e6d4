"""Requests to claim holders and control hosts at each moment of their stop."""

import asyncio
import random

import msgspec
import pytest
from tests.claims.fleet import SERVICE, Fleet, Server
from tests.quorum_cluster import Cluster

from sapphireway_coordination import Committed, ControlHostList, Directory, Membership
from sapphireway_coordination.gate._attempt_memory import AttemptMemory
from sapphireway_coordination.gate._departure import DepartureNotice
from sapphireway_protocol import Answered, Departed, NodeEntry, Peers, Probe
from sapphireway_transport.memory import MemoryNetwork, run_paused

ELECTION_MAX_S = 0.9  # without a leader; a client that waits in vain takes 1 s more


async def close_peers(peers, network):
    """Close the links of a stopping process, and lose what arrives afterwards."""
    loop = asyncio.get_running_loop()
    notice = DepartureNotice(peers, AttemptMemory())
    others = [p for p in peers.clocks.list_recent(0.0) if p != peers.address]
    await notice.send(others, loop.time() + 1.0)
    peers.close()
    network.open_endpoint(peers.address)


@pytest.mark.parametrize("role", ["leader", "follower"])
def test_proposal_does_not_wait_for_a_control_host_that_stops(role):
    """A stopping host drops requests, and its client used to wait a second for it."""

    async def propose_at(moment_s):
        cluster = Cluster(3)
        await cluster.start()
        await cluster.wait_until(cluster.is_healthy)
        client = cluster.open_client()
        for host in cluster.addresses:
            client._leader = host
            await client.propose(b"first", 10.0)
        leader = cluster.leader()
        followers = [a for a in cluster.addresses if a != leader]
        address = leader if role == "leader" else followers[0]
        client._leader = address
        loop = asyncio.get_running_loop()

        async def stop():
            await asyncio.sleep(0.01)
            await cluster.hosts[address].quorum.stop()
            await close_peers(cluster.hosts[address].peers, cluster.network)

        stopping = asyncio.ensure_future(stop())
        await asyncio.sleep(moment_s)
        sent_s = loop.time()
        outcome = await client.propose(b"second", 10.0)
        elapsed_s = loop.time() - sent_s
        await stopping
        return outcome, elapsed_s

    failed = []
    for moment_s in [0.0005 * step for step in range(15, 30)]:
        outcome, elapsed_s = run_paused(propose_at(moment_s))
        if not isinstance(outcome, Committed) or elapsed_s > ELECTION_MAX_S:
            failed.append((moment_s, outcome, elapsed_s))
    assert not failed, failed


def test_node_leaves_a_directory_that_stops_at_once():
    """A stopping directory grants leases that the others do not learn of."""

    async def main():
        network = MemoryNetwork(random.Random(1))
        hosts = ControlHostList(["c0", "c1"])
        directories = {}
        for address in hosts.addresses:
            peers = Peers(network.open_endpoint(address), address)
            peers.start()
            directories[address] = (peers, Directory(peers, hosts))
        tasks = {a: asyncio.ensure_future(d.run()) for a, (_, d) in directories.items()}
        peers = Peers(network.open_endpoint("node"), "node")
        peers.start()
        entry = NodeEntry("node", "bxl-a", "be", "node", 1.0, 0, [])
        silent = []
        membership = Membership(
            peers, hosts, entry, random.Random(1), on_renewal_timeout=silent.append
        )
        renewing = asyncio.ensure_future(membership.run())
        await asyncio.sleep(3.05)
        first = membership.directory
        tasks[first].cancel()
        await close_peers(directories[first][0], network)
        await asyncio.sleep(0.02)
        assert membership.directory != first
        assert asyncio.get_running_loop().time() - membership.last_renewed_s < 0.02
        assert not silent
        renewing.cancel()

    run_paused(main())


def test_keyed_calls_are_served_throughout_the_stop_of_a_holder():
    """Claims go on while a holder hands over, and around the moment it closes."""

    async def main():
        server = Server(random.Random(1), refuse_rate=0.0, answer_loss_rate=0.0)
        fleet = Fleet(random.Random(1), server=server)
        fleet.start()
        await asyncio.sleep(3.0)
        group = fleet.machine.get_group(SERVICE)
        node = fleet.nodes[group.holders[0].node]
        entry = next(n for n in fleet.names if n != node.name)

        async def stop():
            node.member = msgspec.structs.replace(node.member, leaving=True)
            while node.holder.active_group_count:
                await asyncio.sleep(0.1)
            await node.holder.close()
            await close_peers(node.peers, fleet.network)
            fleet.nodes.pop(node.name)

        stopping = asyncio.ensure_future(stop())
        keys = [f"k{number}" for number in range(600)]
        for key in keys:
            fleet.submit(key, entry)
            await asyncio.sleep(0.005)
        await stopping
        await asyncio.sleep(1.5)
        submissions = [fleet.submissions[key][0] for key in keys]
        await fleet.stop()
        assert not list(fleet.find_violations())
        failed = [s for s in submissions if not isinstance(s.outcome, Answered)]
        assert not failed, (len(failed), failed[:3])

    run_paused(main())


def test_departure_ends_requests_but_not_those_to_a_successor():
    """A late or repeated message of an earlier start must not end new requests."""

    async def main():
        network = MemoryNetwork(random.Random(1))
        requester = Peers(network.open_endpoint("a"), "a")
        requester.start()
        loop = asyncio.get_running_loop()
        first = Peers(network.open_endpoint("b"), "b1")
        first.start()
        first.send("a", Probe("s"))
        request = asyncio.ensure_future(requester.request("b", Probe("s"), 5.0))
        await asyncio.sleep(0.1)
        first.send("a", Departed([], 0.0))
        assert await request is None
        assert loop.time() < 0.2
        second = Peers(network.open_endpoint("b"), "b2")
        second.start()
        second.send("a", Probe("s"))
        await asyncio.sleep(0.1)
        request = asyncio.ensure_future(requester.request("b", Probe("s"), 1.0))
        for _ in range(2):
            first.send("a", Departed([], 0.0))
        await asyncio.sleep(0.5)
        assert not request.done()
        await request

    run_paused(main())
