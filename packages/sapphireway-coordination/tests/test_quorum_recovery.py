"""Faults that pass leave no lasting state: the quorum gets all of its voters back."""

import asyncio
import os
import random

import msgspec
import pytest
from tests.quorum_cluster import SETTINGS, Cluster, Host

from sapphireway_coordination import Committed, DiskFailureSeen, ReadResult
from sapphireway_state._snapshot import SNAPSHOT_NAME
from sapphireway_transport import DiskFailed
from sapphireway_transport.memory import MemoryDisk, run_paused

SEED_COUNT = int(os.environ.get("SAPPHIREWAY_SEEDS", "2"))
FIRST_SEED = int(os.environ.get("SAPPHIREWAY_FIRST_SEED", "0"))
SILENT_VOTER_TIMEOUT_S = 3.0
CATCH_UP_S = 4.0
HEAL_TIMEOUT_S = 20.0
FAULT_ROUNDS = 8


def make_settings(losses_max):
    return msgspec.structs.replace(
        SETTINGS,
        admit_unknown_hosts=True,
        silent_voter_timeout_s=SILENT_VOTER_TIMEOUT_S,
        losses_max=losses_max,
    )


async def start_cluster(size, losses_max, seed=0):
    cluster = Cluster(size, seed, make_settings(losses_max))
    await cluster.start()
    await cluster.wait_until(cluster.is_healthy)
    return cluster


async def wipe(cluster, address):
    await cluster.restart(address, MemoryDisk(0.002), bootstrap=False)


def votes(cluster, address):
    leader = cluster.leader()
    disk_id = cluster.status(address).disk_id
    return leader is not None and any(
        voter.disk_id == disk_id for voter in cluster.status(leader).voters
    )


async def propose(cluster, *commands):
    client = cluster.open_client()
    for command in commands:
        assert isinstance(await client.propose(command, 30.0), Committed)


async def read(cluster):
    answer = await cluster.open_client().read(b"", 15.0)
    assert isinstance(answer, ReadResult), answer
    return msgspec.msgpack.decode(answer.data, type=list[bytes])


@pytest.mark.parametrize("away", ["cut", "unpowered", "full"])
@pytest.mark.parametrize("wiped_count", [3, 4])
def test_host_takes_part_after_other_members_lost_their_disks(away, wiped_count):
    """The members that its own journal names no longer exist."""

    async def run():
        cluster = await start_cluster(5, 2)
        await propose(cluster, b"before")
        absent, *others = cluster.addresses
        if away == "cut":
            cluster.isolate(absent)
        elif away == "unpowered":
            cluster.crash(absent)
        else:
            cluster.hosts[absent].disk.capacity_bytes = 0
        for address in others[:wiped_count]:
            await wipe(cluster, address)
            await cluster.wait_until(lambda a=address: votes(cluster, a))
            await asyncio.sleep(CATCH_UP_S)
            await propose(cluster, address.encode())
        cluster.network.heal_all()
        cluster.hosts[absent].disk.capacity_bytes = None
        if away == "cut":
            await cluster.restart(absent, bootstrap=False)
        elif away == "unpowered":
            await cluster.start(absent, bootstrap=False)
        await cluster.wait_until(cluster.is_healthy, timeout_s=15.0)
        assert len(cluster.status(cluster.leader()).voters) == 5
        cluster.check()
        return await read(cluster), others[:wiped_count]

    commands, wiped = run_paused(run())
    assert commands == [b"before", *(address.encode() for address in wiped)]


@pytest.mark.parametrize(("size", "lost"), [(5, 2), (7, 2), (7, 3)])
@pytest.mark.parametrize("pause_s", [0.0, 1.5, 3.5])
def test_hosts_that_were_replaced_together_keep_no_votes(size, lost, pause_s):
    """With their votes, the quorum bears fewer losses than it has to, for good."""

    async def run():
        cluster = await start_cluster(size, (size - 1) // 2)
        await propose(cluster, b"kept")
        gone = [a for a in cluster.addresses if a != cluster.leader()][:lost]
        for address in gone:
            cluster.crash(address)
            del cluster.hosts[address]
        await asyncio.sleep(pause_s)
        await cluster.start(*[f"{a}n" for a in gone], bootstrap=False)
        await cluster.wait_until(cluster.is_healthy, timeout_s=20.0)
        assert len(cluster.status(cluster.leader()).voters) == size
        return await read(cluster)

    assert run_paused(run()) == [b"kept"]


class SnapshotRefusingDisk(MemoryDisk):
    """A disk with room for the journal's entries, but not for a snapshot."""

    __slots__ = ()

    async def replace(self, name, data):
        if name == SNAPSHOT_NAME:
            return DiskFailed("replace", name, "no space left on device")
        return await super().replace(name, data)


@pytest.mark.parametrize("disk_count", [1, 3])
def test_refused_snapshot_leaves_a_host_in_the_quorum(disk_count):
    """Hosts that try it again at once would be out of the quorum most of the time."""

    async def run():
        cluster = Cluster(3, 0, make_settings(1))
        for address in cluster.addresses[:disk_count]:
            cluster.hosts[address].disk = SnapshotRefusingDisk(0.002)
        await cluster.start()
        await cluster.wait_until(cluster.is_healthy)
        client = cluster.open_client()
        committed = 0
        for number in range(60):
            command = b"%d" % number + bytes(100)
            committed += isinstance(await client.propose(command, 1.0), Committed)
            await asyncio.sleep(0.5)
        cluster.check()
        return committed, len(cluster.list_events("c0", DiskFailureSeen))

    committed, failures = run_paused(run())
    assert failures <= 2
    assert committed >= 57


class Faults:
    """Random faults of which never more than `losses_max` hosts are lost at once.

    A host stays lost until the cluster has caught up behind its return. Where
    more than one may be lost, one is away until the end once it was lost. With
    `replace`, empty hosts at new addresses take the place of some.
    """

    def __init__(self, cluster, losses_max, rng, replace):
        self.cluster = cluster
        self.losses_max = losses_max
        self.replace = replace
        self.rng = rng
        self.away = {}
        self.acked = []
        self.count = 0
        self.long_away = rng.choice(cluster.addresses) if losses_max > 1 else ""
        self.steps = []
        self.voters_min = min(len(cluster.addresses), 2 * losses_max + 1)

    async def run(self):
        for _ in range(FAULT_ROUNDS):
            await self.run_round()
        await self.heal()

    async def run_round(self):
        network = self.cluster.network
        network.drop_rate = self.rng.choice([0.0, 0.0, 0.05, 0.2])
        self.steps.append(("drop", network.drop_rate))
        addresses = sorted(set(self.cluster.addresses) - set(self.away))
        lost = self.rng.randint(0, self.losses_max - len(self.away))
        if self.rng.random() < 0.4 and self.cluster.leader() in addresses:
            addresses.remove(self.cluster.leader())
            addresses.insert(0, self.cluster.leader())
        else:
            self.rng.shuffle(addresses)
        for address in addresses[:lost]:
            await self.lose(address)
        if self.rng.random() < 0.15:
            await self.cut_all_power()
        elif self.rng.random() < 0.3:
            await self.fill_all_disks()
        await asyncio.sleep(self.rng.uniform(0.0, 2.0 * SILENT_VOTER_TIMEOUT_S))
        for address in self.rng.sample(sorted(self.away), len(self.away)):
            if address != self.long_away and self.rng.random() < 0.8:
                await self.bring_back(address)
        # Heavy loss delays a quorum that needs every voter that is left.
        network.drop_rate = min(network.drop_rate, 0.02)
        await self.wait_until_caught_up()
        await self.propose()

    async def lose(self, address):
        kinds = ["cut", "unpowered", "full", "failing"]
        if address != self.long_away:
            kinds += ["wiped"] * len(kinds)
            kinds += ["replaced"] * 2 * self.replace
        kind = self.rng.choice(kinds)
        self.steps.append((kind, address))
        host = self.cluster.hosts[address]
        if kind == "cut":
            self.isolate(address)
        elif kind == "full":
            host.disk.capacity_bytes = 0
        elif kind == "failing":
            host.disk.sync_fails = True
        else:
            self.cluster.crash(address)
            if kind == "wiped":
                host.disk = MemoryDisk(0.002)
            elif kind == "replaced":
                address = self.take_place(address)
        self.away[address] = kind

    def take_place(self, address):
        del self.cluster.hosts[address]
        new = f"{address}n"
        self.cluster.hosts[new] = Host(MemoryDisk(0.002))
        self.cluster.addresses[self.cluster.addresses.index(address)] = new
        return new

    def isolate(self, address):
        for other in [*self.cluster.hosts, *self.list_clients()]:
            if other != address:
                self.cluster.network.cut(address, other)
                self.cluster.network.cut(other, address)

    def list_clients(self):
        return [f"client{i}" for i in range(self.cluster.client_count + 1)]

    async def bring_back(self, address):
        kind = self.away.pop(address)
        self.steps.append(("back", address))
        host = self.cluster.hosts[address]
        host.disk.capacity_bytes = None
        host.disk.sync_fails = False
        for other in [*self.cluster.hosts, *self.list_clients()]:
            if self.away.get(other) != "cut":
                self.cluster.network.heal(address, other)
                self.cluster.network.heal(other, address)
        if host.quorum is None:
            await self.cluster.start(address, bootstrap=False)
        elif kind == "cut" and self.rng.random() < 0.5:
            await self.cluster.restart(address, bootstrap=False)

    async def cut_all_power(self):
        self.steps.append(("all power", ""))
        running = [a for a, h in self.cluster.hosts.items() if h.quorum is not None]
        for address in running:
            self.cluster.crash(address)
        for address in self.rng.sample(running, len(running)):
            await self.cluster.start(address, bootstrap=False)
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            if self.away.get(address) in ("full", "failing"):
                self.away[address] = "unpowered"

    async def fill_all_disks(self):
        self.steps.append(("all full", ""))
        hosts = self.cluster.hosts
        usable = [a for a in hosts if self.away.get(a) not in ("full", "failing")]
        for address in usable:
            hosts[address].disk.capacity_bytes = 0
        await asyncio.sleep(self.rng.uniform(0.1, 4.0))
        for address in self.rng.sample(usable, len(usable)):
            hosts[address].disk.capacity_bytes = None
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))

    async def wait_until_caught_up(self):
        present = [a for a in self.cluster.addresses if a not in self.away]
        await self.cluster.wait_until(
            lambda: all(votes(self.cluster, address) for address in present),
            timeout_s=HEAL_TIMEOUT_S,
        )
        await asyncio.sleep(CATCH_UP_S)
        await self.cluster.wait_until(lambda: self.cluster.leader() is not None)
        voters = self.cluster.status(self.cluster.leader()).voters
        assert len(voters) >= self.voters_min, (self.cluster.seed, self.steps)

    async def propose(self):
        self.count += 1
        command = f"command-{self.count}".encode()
        await propose(self.cluster, command)
        self.acked.append(command)

    async def heal(self):
        self.cluster.network.drop_rate = 0.0
        for address in sorted(self.away):
            await self.bring_back(address)
        self.cluster.network.heal_all()
        await self.cluster.wait_until(self.cluster.is_healthy, timeout_s=HEAL_TIMEOUT_S)
        self.cluster.check()


async def run_faults(size, losses_max, seed, replace=False):
    cluster = await start_cluster(size, losses_max, seed)
    await propose(cluster, b"first")
    faults = Faults(cluster, losses_max, random.Random(seed), replace)
    try:
        await faults.run()
        leader = cluster.leader()
        assert len(cluster.status(leader).voters) == size
        assert set(faults.acked) <= set(await read(cluster))
    except AssertionError as error:
        raise AssertionError(f"seed {seed}: {faults.steps}: {error}") from error


@pytest.mark.parametrize(
    ("size", "losses_max"), [(3, 1), (4, 1), (5, 1), (5, 2), (6, 2), (7, 2), (7, 3)]
)
@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEED_COUNT))
def test_all_voters_are_back_after_random_faults(size, losses_max, seed):
    """Lost disks, full disks, cuts and power cuts leave no host out for good."""
    run_paused(run_faults(size, losses_max, seed))


@pytest.mark.parametrize(("size", "losses_max"), [(3, 1), (5, 2), (7, 3)])
@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEED_COUNT))
def test_all_voters_are_there_after_hosts_were_replaced(size, losses_max, seed):
    """No voter of a host that is gone stays, and none that is away is given up."""
    run_paused(run_faults(size, losses_max, seed, replace=True))
