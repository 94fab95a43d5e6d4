"""Disks that are full in turn, one at a time, beside elections and replaced hosts."""

import asyncio
import os
import random

import msgspec
import pytest
from tests.quorum_cluster import SETTINGS, Cluster

from sapphireway_coordination import Committed, ReadResult, Role
from sapphireway_state import SNAPSHOT_NAME
from sapphireway_transport.memory import MemoryDisk, run_paused

SEED_COUNT = int(os.environ.get("SAPPHIREWAY_SEEDS", "3"))
FIRST_SEED = int(os.environ.get("SAPPHIREWAY_FIRST_SEED", "0"))
ROUNDS = 8
ANSWER_TIMEOUT_S = 8.0  # of the first change and read after the last fault
HEAL_TIMEOUT_S = 25.0
CATCH_UP_S = 4.0
CLIENTS = 3
WRITES = (
    ("append",),
    ("replace",),
    ("snapshot",),
    ("sync",),
    ("append", "replace", "snapshot", "sync"),
)


class FullDisk(MemoryDisk):
    """A disk that refuses kinds of writes, from one of the next ones on.

    A refused append writes a part of its data, as on a disk that becomes full.
    """

    def __init__(self, sync_delay_s):
        super().__init__(sync_delay_s)
        self.refused = ()
        self.writes_left = 0
        self.free_bytes = 0

    def fill(self, refused, writes_left=0, free_bytes=0):
        self.refused, self.writes_left = refused, writes_left
        self.free_bytes = free_bytes

    def empty(self):
        self.refused = ()

    def _prepare(self, operation):
        self.capacity_bytes, self.sync_fails = None, False
        if operation not in self.refused:
            return
        if self.writes_left > 0:
            self.writes_left -= 1
        elif operation == "sync":
            self.sync_fails = True
        else:
            used = sum(len(file.data) for file in self._names.values())
            self.capacity_bytes = used + self.free_bytes

    async def append(self, name, data):
        self._prepare("append")
        return await super().append(name, data)

    async def sync(self, name):
        self._prepare("sync")
        return await super().sync(name)

    async def replace(self, name, data):
        self._prepare("snapshot" if name == SNAPSHOT_NAME else "replace")
        return await super().replace(name, data)

    def cut_power(self, rng):
        survivor = super().cut_power(rng)
        disk = FullDisk(self.sync_delay_s)
        disk._names, disk._durable_names = survivor._names, survivor._durable_names
        disk.refused, disk.writes_left = self.refused, self.writes_left
        disk.free_bytes = self.free_bytes
        return disk


class Fleet:
    """A cluster with full disks, and clients whose acknowledged commands it keeps."""

    def __init__(self, size, losses_max, seed, settings=SETTINGS):
        self.rng = random.Random(seed)
        settings = msgspec.structs.replace(
            settings,
            admit_unknown_hosts=True,
            silent_voter_timeout_s=3.0,
            losses_max=losses_max,
        )
        self.cluster = Cluster(size, seed, settings)
        for host in self.cluster.hosts.values():
            host.disk = FullDisk(self.cluster.sync_delay_s)
        self.acked = set()
        self.losses_max = losses_max
        self.lost = set()  # hosts whose new disks don't vote yet
        self.tasks = []

    async def start(self):
        await self.cluster.start()
        await self.cluster.wait_until(self.cluster.is_healthy)
        for number in range(CLIENTS):
            client = self.cluster.open_client()
            self.tasks.append(asyncio.create_task(self._send_commands(client, number)))

    async def _send_commands(self, client, number):
        for count in range(100_000):
            # Some are large, so that the disk becomes full at different bytes.
            command = f"{number}-{count}-{'x' * self.rng.choice([0, 50, 300])}".encode()
            if isinstance(await client.propose(command, 3.0), Committed):
                self.acked.add(command)
            await asyncio.sleep(self.rng.expovariate(5))

    async def stop_clients(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def get_disk(self, address):
        return self.cluster.hosts[address].disk

    def choose_host(self):
        """Return a host, often the leader."""
        leader = self.cluster.leader()
        if leader is not None and self.rng.random() < 0.4:
            return leader
        return self.rng.choice(self.cluster.addresses)

    def can_lose_a_disk(self, address):
        """Return whether no more disks are lost then than the quorum tolerates."""
        leader = self.cluster.leader()
        if leader is None:
            return False
        voters = {member.disk_id for member in self.cluster.status(leader).voters}
        self.lost = {
            lost
            for lost in self.lost
            if self.cluster.hosts[lost].quorum is None
            or self.cluster.status(lost).disk_id not in voters
        }
        return len(self.lost | {address}) <= self.losses_max

    async def fill_a_disk(self):
        """Let a disk be full for a while, and bring about another write meanwhile."""
        rng = self.rng
        address = self.choose_host()
        refused = rng.choice(WRITES)
        self.get_disk(address).fill(refused, rng.randrange(4), rng.randrange(80))
        await asyncio.sleep(rng.uniform(0.0, 1.5))
        other = rng.choice([a for a in self.cluster.addresses if a != address])
        action = rng.randrange(6)
        if action == 0:
            await self.cluster.restart(address)
        elif action == 1:
            await self.cluster.restart(other)
        elif action == 2:
            self.cluster.isolate(other)
        elif action == 3 and self.can_lose_a_disk(other):
            self.cluster.crash(other)
            self.cluster.hosts[other].disk = FullDisk(self.cluster.sync_delay_s)
            self.lost.add(other)
            await self.cluster.start(other, bootstrap=False)
        elif action == 4 and self.cluster.leader() is not None:
            await self.cluster.restart(self.cluster.leader())
        await asyncio.sleep(rng.uniform(0.0, 4.0))
        for host in self.cluster.hosts.values():
            host.disk.empty()
        self.cluster.network.heal_all()

    async def check_answers(self):
        """Check that a change and a read are answered within seconds."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + ANSWER_TIMEOUT_S
        client = self.cluster.open_client()
        committed = await client.propose(b"after the last fault", ANSWER_TIMEOUT_S)
        assert isinstance(committed, Committed), self.describe(committed)
        answer = await client.read(b"", end_s - loop.time())
        assert isinstance(answer, ReadResult), self.describe(answer)
        commands = set(msgspec.msgpack.decode(answer.data, type=list[bytes]))
        assert self.acked <= commands, self.describe("acknowledged commands are lost")
        await self.cluster.wait_until(self.cluster.is_healthy, HEAL_TIMEOUT_S)

    def describe(self, outcome):
        return f"seed {self.cluster.seed}: {outcome} {self.cluster.describe()}"


async def run_full_disks(size, losses_max, seed):
    fleet = Fleet(size, losses_max, seed)
    await fleet.start()
    for _ in range(ROUNDS):
        await fleet.fill_a_disk()
        fleet.cluster.check()
        pause_s = fleet.rng.choice([0.0, fleet.rng.uniform(0, 2), CATCH_UP_S])
        await asyncio.sleep(pause_s)
    await fleet.stop_clients()
    await fleet.check_answers()
    fleet.cluster.check()


@pytest.mark.parametrize(("size", "losses_max"), [(3, 1), (5, 2)])
@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SEED_COUNT))
def test_answers_come_soon_after_disks_were_full_in_turn(size, losses_max, seed):
    """Changes were refused to the end of the day, while all processes ran."""
    run_paused(run_full_disks(size, losses_max, seed))


async def start_with_full_journal():
    """Return a fleet whose leader has a full journal, and stop that leader.

    The next leader has entries that are not committed and no room for another one.
    """
    limits = msgspec.structs.replace(SETTINGS.limits, journal_max_bytes=700)
    limits = msgspec.structs.replace(limits, compact_bytes=10_000)
    fleet = Fleet(3, 1, 1, msgspec.structs.replace(SETTINGS, limits=limits))
    await fleet.cluster.start()
    await fleet.cluster.wait_until(fleet.cluster.is_healthy)
    client = fleet.cluster.open_client()
    for number in range(20):
        await client.propose(b"%d" % number + b"x" * 60, 1.0)
    return fleet


def test_leader_with_a_full_journal_answers_reads():
    """Without an entry of its term, a leader answers no read and commits nothing."""

    async def run():
        fleet = await start_with_full_journal()
        cluster = fleet.cluster
        for _ in range(3):
            await cluster.restart(cluster.leader())
            await cluster.wait_until(lambda: cluster.leader() is not None, 10.0)
            answer = await cluster.open_client().read(b"", ANSWER_TIMEOUT_S)
            assert isinstance(answer, ReadResult), fleet.describe(answer)
        cluster.check()

    run_paused(run())


def test_commands_are_accepted_once_a_full_journal_is_compacted():
    """The snapshot was tried again half a minute after a disk had no room for it."""

    async def run():
        limits = msgspec.structs.replace(
            SETTINGS.limits, journal_max_bytes=2_500, segment_bytes=300
        )
        fleet = Fleet(3, 1, 1, msgspec.structs.replace(SETTINGS, limits=limits))
        await fleet.cluster.start()
        await fleet.cluster.wait_until(fleet.cluster.is_healthy)
        for address in fleet.cluster.addresses:
            fleet.get_disk(address).fill(("snapshot",))
        client = fleet.cluster.open_client()
        for number in range(60):
            await client.propose(b"%d" % number + b"x" * 60, 0.5)
        for address in fleet.cluster.addresses:
            fleet.get_disk(address).empty()
        await fleet.check_answers()
        roles = [status.role for _, status in fleet.cluster.describe()]
        assert roles.count(Role.LEADER) == 1

    run_paused(run())
