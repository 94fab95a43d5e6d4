import asyncio
import random
from dataclasses import dataclass, field

import pytest

from sapphireway_coordination import ControlHostList, Directory, Membership
from sapphireway_coordination.membership._peer_directories import TAKEOVER_GRACE_S
from sapphireway_protocol import NodeEntry, Peers, Renewed, ServerEntry
from sapphireway_transport.memory import MemoryNetwork, run_paused

CONTROL_HOSTS = ("c0", "c1", "c2")
REMOVAL_MAX_S = 2.0
FAILOVER_MAX_S = 1.8
FIRST_VIEW_MAX_S = 0.4
MESSAGES_PER_S_MAX = 15


@dataclass
class Fleet:
    """Control hosts and nodes that a test starts, kills and partitions."""

    network: MemoryNetwork
    rng: random.Random
    starts: int = 0
    nodes: dict = field(default_factory=dict)
    tasks: dict = field(default_factory=dict)
    peers: dict = field(default_factory=dict)

    def open_peers(self, address):
        self.starts += 1
        endpoint = self.network.open_endpoint(address)
        peers = Peers(endpoint, f"{address}#{self.starts}")
        peers.start()
        self.peers[address] = peers
        return peers

    def start_control_host(self, address):
        others = [a for a in CONTROL_HOSTS if a != address]
        directory = Directory(
            self.open_peers(address), ControlHostList([address, *others])
        )
        self.tasks[address] = asyncio.ensure_future(directory.run())
        return directory

    def start_node(self, address, service="matching"):
        peers = self.open_peers(address)
        entry = NodeEntry(
            address, "bxl-a", "be", peers.incarnation, float(self.starts), 0, []
        )
        membership = Membership(peers, ControlHostList(CONTROL_HOSTS), entry, self.rng)
        server = ServerEntry(f"s-{address}", service, peers.incarnation, 6)
        membership.set_servers([server])
        membership.get_members("matching")
        self.nodes[address] = membership
        self.tasks[address] = asyncio.ensure_future(membership.run())
        return membership

    def kill(self, address):
        self.tasks.pop(address).cancel()
        self.peers.pop(address).close()
        self.nodes.pop(address, None)

    def isolate(self, address, others):
        for other in others:
            self.network.cut(address, other)
            self.network.cut(other, address)

    def get_view(self, address):
        members = self.nodes[address].get_members("matching")
        return {member.node for member in members}


async def start_fleet(count, seed=1):
    rng = random.Random(seed)
    fleet = Fleet(MemoryNetwork(rng), rng)
    for address in CONTROL_HOSTS:
        fleet.start_control_host(address)
    for i in range(count):
        fleet.start_node(f"n{i}")
    await asyncio.sleep(4)
    return fleet


async def measure_smallest_view(fleet, duration_s):
    """Return the size of the smallest view of any node during that time."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + duration_s
    smallest = len(fleet.nodes)
    while loop.time() < end_s:
        await asyncio.sleep(0.1)
        smallest = min(smallest, *(len(fleet.get_view(n)) for n in fleet.nodes))
    return smallest


def test_views_contain_all_members():
    async def run():
        fleet = await start_fleet(12)
        return [fleet.get_view(node) for node in fleet.nodes]

    views = run_paused(run())
    assert all(view == {f"n{i}" for i in range(12)} for view in views)


@pytest.mark.parametrize("fault", ["kill", "freeze"])
def test_dead_node_removed_from_all_views_within_two_seconds(fault):
    async def run():
        fleet = await start_fleet(12)
        if fault == "kill":
            fleet.kill("n3")
        else:
            fleet.network.freeze("n3")
            fleet.tasks.pop("n3").cancel()
            fleet.nodes.pop("n3")
        await asyncio.sleep(REMOVAL_MAX_S)
        return [fleet.get_view(node) for node in fleet.nodes]

    assert all("n3" not in view for view in run_paused(run()))


@pytest.mark.parametrize("frozen_s", [1.6, 4.0, 30.0])
def test_stall_of_directories_removes_no_members(frozen_s):
    """Renewals that arrived meanwhile were read after the leases had been ended."""

    async def run():
        fleet = await start_fleet(12)
        asyncio.get_running_loop().advance(frozen_s)
        assert await measure_smallest_view(fleet, 8.0) == 12

    run_paused(run())


@pytest.mark.parametrize("pause_s", [0.45, 0.55, 2.0])
def test_dead_node_is_removed_beside_pauses_that_recur(pause_s):
    async def run():
        fleet = await start_fleet(6)
        fleet.kill("n3")
        loop = asyncio.get_running_loop()
        end_s = loop.time() + 60.0
        while loop.time() < end_s:
            await asyncio.sleep(0.11)
            loop.advance(pause_s)
        return [fleet.get_view(node) for node in fleet.nodes]

    assert all("n3" not in view for view in run_paused(run()))


def test_restarted_node_has_new_incarnation():
    async def run():
        fleet = await start_fleet(6)
        before = fleet.peers["n3"].incarnation
        fleet.kill("n3")
        fleet.start_node("n3")
        await asyncio.sleep(REMOVAL_MAX_S)
        (member,) = (
            m for m in fleet.nodes["n0"].get_members("matching") if m.node == "n3"
        )
        return before, member.incarnation

    before, after = run_paused(run())
    assert before != after


def test_node_that_stops_serving_is_removed():
    async def run():
        fleet = await start_fleet(4)
        fleet.nodes["n1"].set_servers([ServerEntry("s", "ledger", "x", 6)])
        await asyncio.sleep(1)
        return fleet.get_view("n0")

    assert run_paused(run()) == {"n0", "n2", "n3"}


def test_directory_lists_members_by_service_as_they_change():
    async def run():
        fleet = await start_fleet(4)
        directory = fleet.start_control_host("c0")
        await asyncio.sleep(2)
        before = len(directory.get_members("matching"))
        fleet.nodes["n1"].set_servers([ServerEntry("s", "ledger", "x", 6)])
        fleet.kill("n2")
        await asyncio.sleep(REMOVAL_MAX_S)
        after = [m.node for m in directory.get_members("ledger")]
        return before, len(directory.get_members("matching")), after

    assert run_paused(run()) == (4, 2, ["n1"])


def test_node_receives_no_changes_of_unsubscribed_services():
    async def run():
        fleet = await start_fleet(2)
        received = []
        peers = fleet.peers["n0"]
        peers.observe = lambda sender, envelope: received.append(envelope.message)
        fleet.start_node("other", "ledger")
        await asyncio.sleep(1)
        fleet.kill("other")
        await asyncio.sleep(REMOVAL_MAX_S)
        return [
            m for m in received if isinstance(m, Renewed) and (m.nodes or m.removed)
        ]

    assert run_paused(run()) == []


@pytest.mark.parametrize("killed", [("c0",), ("c0", "c1"), CONTROL_HOSTS])
def test_views_survive_loss_of_control_hosts(killed):
    async def run():
        fleet = await start_fleet(12)
        for address in killed:
            fleet.kill(address)
        smallest = await measure_smallest_view(fleet, 10.0)
        return smallest

    assert run_paused(run()) == 12


def test_views_survive_restart_of_all_control_hosts():
    async def run():
        fleet = await start_fleet(12)
        for address in CONTROL_HOSTS:
            fleet.kill(address)
        for address in CONTROL_HOSTS:
            fleet.start_control_host(address)
        smallest = await measure_smallest_view(fleet, 10.0)
        fleet.kill("n5")
        await asyncio.sleep(REMOVAL_MAX_S)
        return smallest, fleet.get_view("n0")

    smallest, view = run_paused(run())
    assert smallest == 12
    assert "n5" not in view


def test_preliminary_views_after_full_restart():
    """After a power loss on all hosts, calls have to be served within a second."""

    async def run(seed):
        rng = random.Random(seed)
        fleet = Fleet(MemoryNetwork(rng), rng)
        for address in CONTROL_HOSTS:
            fleet.start_control_host(address)
        for i in range(12):
            fleet.start_node(f"n{i}")
        found = await asyncio.gather(
            *(m.wait_for_members("matching", 1.0) for m in fleet.nodes.values())
        )
        await asyncio.sleep(0.5)
        early = min(len(fleet.get_view(node)) for node in fleet.nodes)
        fleet.kill("n5")
        await asyncio.sleep(REMOVAL_MAX_S)
        return all(found), early, fleet.get_view("n0")

    for seed in range(5):
        found, early, view = run_paused(run(seed))
        assert found and early == 12
        assert view == {f"n{i}" for i in range(12)} - {"n5"}


def test_isolated_control_host_removes_no_members():
    async def run():
        fleet = await start_fleet(12)
        others = [*CONTROL_HOSTS[1:], *fleet.nodes]
        fleet.isolate("c0", others)
        smallest = 12
        for step in range(600):
            await asyncio.sleep(0.1)
            if step == 400:
                fleet.network.heal_all()
            smallest = min(smallest, *(len(fleet.get_view(n)) for n in fleet.nodes))
        return smallest

    assert run_paused(run()) == 12


def test_partition_between_two_control_hosts_removes_no_members():
    async def run():
        fleet = await start_fleet(12)
        fleet.isolate("c0", ["c1"])
        smallest = 12
        for step in range(300):
            await asyncio.sleep(0.1)
            if step == 200:
                fleet.network.heal_all()
            smallest = min(smallest, *(len(fleet.get_view(n)) for n in fleet.nodes))
        fleet.kill("n5")
        await asyncio.sleep(REMOVAL_MAX_S)
        return smallest, fleet.get_view("n0")

    smallest, view = run_paused(run())
    assert smallest == 12
    assert "n5" not in view


@pytest.mark.parametrize("isolated", [False, True])
def test_nodes_lost_with_their_directory_are_removed(isolated):
    async def run():
        fleet = await start_fleet(12)
        lost = {n for n, m in fleet.nodes.items() if m.directory == "c0"}
        for address in ("c0", *lost):
            fleet.kill(address)
        if isolated:
            fleet.isolate("c1", ["c2"])
        await asyncio.sleep(REMOVAL_MAX_S + TAKEOVER_GRACE_S)
        views = [fleet.get_view(node) for node in fleet.nodes]
        return lost, views

    lost, views = run_paused(run())
    assert lost
    assert all(bool(lost & view) is isolated for view in views)


def test_node_finds_only_reachable_directory_in_time():
    async def run(seed):
        fleet = await start_fleet(6, seed)
        reached = next(c for c in CONTROL_HOSTS if c != fleet.nodes["n2"].directory)
        fleet.isolate("n2", [c for c in CONTROL_HOSTS if c != reached])
        await asyncio.sleep(FAILOVER_MAX_S)
        return fleet.nodes["n2"].directory == reached

    assert all(run_paused(run(seed)) for seed in range(10))


@pytest.mark.parametrize("seed", range(5))
def test_starting_node_finds_live_directory_at_once(seed):
    async def run():
        fleet = await start_fleet(3, seed)
        fleet.kill("c0")
        fleet.kill("c1")
        return await fleet.start_node("n9").wait_for_members(
            "matching", FIRST_VIEW_MAX_S
        )

    assert run_paused(run())


def test_node_without_control_hosts_limits_its_messages():
    async def run():
        rng = random.Random(1)
        fleet = Fleet(MemoryNetwork(rng), rng)
        fleet.start_node("n0")
        await asyncio.sleep(10)
        return fleet.peers["n0"].messages_sent

    assert run_paused(run()) < 10 * MESSAGES_PER_S_MAX


def test_isolated_node_is_removed_and_returns():
    async def run():
        fleet = await start_fleet(6)
        fleet.isolate("n2", CONTROL_HOSTS)
        await asyncio.sleep(REMOVAL_MAX_S)
        during = fleet.get_view("n0")
        fleet.network.heal_all()
        await asyncio.sleep(REMOVAL_MAX_S)
        return during, fleet.get_view("n0"), fleet.get_view("n2")

    during, after, own = run_paused(run())
    assert "n2" not in during
    assert "n2" in after
    assert len(own) == 6


@pytest.mark.parametrize("seed", range(3))
def test_lossy_links_do_not_remove_member(seed):
    async def run():
        fleet = await start_fleet(12, seed)
        transmit = fleet.network.transmit

        def transmit_lossy(sender, receiver, frames):
            if "n4" in (sender, receiver) and fleet.rng.random() < 0.3:
                return True
            return transmit(sender, receiver, frames)

        for peers in fleet.peers.values():
            peers._endpoint._network = LossyNetwork(fleet.network, transmit_lossy)
        missing = 0
        for _ in range(600):
            await asyncio.sleep(0.1)
            missing += sum("n4" not in fleet.get_view(n) for n in fleet.nodes)
        return missing

    assert run_paused(run()) == 0


class LossyNetwork:
    def __init__(self, network, transmit):
        self.transmit = transmit
        self.remove = network.remove
