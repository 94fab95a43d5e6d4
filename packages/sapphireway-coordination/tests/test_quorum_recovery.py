"""Faults that pass leave no lasting state: the quorum gets all of its voters back."""

import asyncio

import msgspec
import pytest
from tests.quorum_cluster import SETTINGS, Cluster

from sapphireway_coordination import Committed, ReadResult
from sapphireway_transport.memory import MemoryDisk, run_paused

SILENT_VOTER_TIMEOUT_S = 3.0
CATCH_UP_S = 4.0


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
