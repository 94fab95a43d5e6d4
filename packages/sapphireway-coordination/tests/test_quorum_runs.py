"""Seeded random fault runs: every acked command is in all later reads."""

import asyncio
import os
import random

import msgspec
import pytest
from tests.quorum_cluster import Cluster

from sapphireway_coordination import Committed, ReadResult
from sapphireway_transport.memory import MemoryDisk, run_paused

SEED_COUNT = int(os.environ.get("SAPPHIREWAY_SEEDS", "2"))
FAULTS_DURATION_S = 30.0
CLIENT_COUNT = 3


class History:
    """Checks linearizability of the operations of concurrent clients."""

    def __init__(self, seed):
        self.seed = seed
        self.acked = {}
        self.longest_read = []
        self.read_count = 0

    def record_commit(self, command, position, earlier_commands):
        """Check that commands acked before this one was sent precede it."""
        for other in earlier_commands:
            assert self.acked[other] < position, f"seed {self.seed}: commands reordered"
        self.acked[command] = position

    def record_read(self, commands, earlier_commands, min_length):
        self.read_count += 1
        assert len(commands) == len(set(commands)), (
            f"seed {self.seed}: command applied twice"
        )
        missing = set(earlier_commands) - set(commands)
        assert not missing, f"seed {self.seed}: read misses {missing}"
        assert len(commands) >= min_length, f"seed {self.seed}: stale read"
        shorter, longer = sorted([commands, self.longest_read], key=len)
        assert longer[: len(shorter)] == shorter, f"seed {self.seed}: reads diverge"
        self.longest_read = longer


async def run_client(client, name, history, rng):
    for number in range(1_000_000):
        earlier_commands = list(history.acked)
        min_length = len(history.longest_read)
        if rng.random() < 0.6:
            command = f"{name}-{number}".encode()
            outcome = await client.propose(command, timeout_s=3.0)
            if isinstance(outcome, Committed):
                history.record_commit(command, int(outcome.result), earlier_commands)
        else:
            outcome = await client.read(b"", timeout_s=3.0)
            if isinstance(outcome, ReadResult):
                commands = msgspec.msgpack.decode(outcome.data, type=list[bytes])
                history.record_read(commands, earlier_commands, min_length)
        await asyncio.sleep(rng.expovariate(8))


async def inject_faults(cluster, rng):
    """Inject random crashes and link faults, and disk losses while all is healthy."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + FAULTS_DURATION_S
    while loop.time() < end_s:
        await asyncio.sleep(rng.expovariate(1.2))
        address, other = rng.sample(cluster.addresses, 2)
        action = rng.randrange(9)
        if action <= 1:
            cluster.crash(address)
        elif action == 2:
            cluster.network.cut(address, other)
        elif action == 3:
            cluster.isolate(address)
        elif action == 4:
            cluster.network.jitter_s = rng.choice([0.0, 0.005, 0.1])
            cluster.network.drop_rate = rng.choice([0.0, 0.0, 0.1])
            cluster.network.duplicate_rate = rng.choice([0.0, 0.2])
        elif action == 5 and cluster.is_healthy():
            cluster.crash(address)
            cluster.hosts[address].disk = MemoryDisk(cluster.sync_delay_s)
            await cluster.start(address)
        else:
            cluster.network.heal_all()
            for name, host in cluster.hosts.items():
                if host.quorum is None and rng.random() < 0.7:
                    await cluster.start(name)


async def restore_cluster(cluster):
    cluster.network.heal_all()
    cluster.network.jitter_s = cluster.network.drop_rate = 0.0
    for name, host in cluster.hosts.items():
        if host.quorum is None:
            await cluster.start(name)
    await cluster.wait_until(cluster.is_healthy)


async def run_random_faults(size, seed):
    rng = random.Random(seed)
    cluster = Cluster(size, seed)
    history = History(seed)
    await cluster.start()
    await cluster.wait_until(cluster.is_healthy)
    clients = [
        run_client(cluster.open_client(), f"{i}", history, random.Random(rng.random()))
        for i in range(CLIENT_COUNT)
    ]
    tasks = [asyncio.create_task(client) for client in clients]
    faults = asyncio.create_task(inject_faults(cluster, rng))
    while not faults.done():
        await asyncio.sleep(0.1)
        cluster.check()
        for task in tasks:
            if task.done():
                task.result()
    faults.result()
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await restore_cluster(cluster)
    answer = await cluster.open_client().read(b"", timeout_s=10.0)
    commands = msgspec.msgpack.decode(answer.data, type=list[bytes])
    history.record_read(commands, list(history.acked), len(history.longest_read))
    cluster.check()
    return history


@pytest.mark.parametrize("size", [3, 5, 7])
@pytest.mark.parametrize("seed", range(SEED_COUNT))
def test_acked_commands_survive_random_faults(size, seed):
    history = run_paused(run_random_faults(size, seed))
    assert len(history.acked) > 20, f"seed {seed}: too few commands were acked"
    assert history.read_count > 10, f"seed {seed}: too few reads succeeded"
