"""A quorum whose hosts join by themselves and give way when they are gone."""

import asyncio
import dataclasses

import msgspec
import pytest
from tests.quorum_cluster import SETTINGS, Cluster

from sapphireway_coordination import Committed, ReadResult, Role
from sapphireway_transport.memory import MemoryDisk, run_paused

SILENT_S = 3.0
OPEN = dataclasses.replace(
    SETTINGS, admit_unknown_hosts=True, silent_voter_timeout_s=SILENT_S
)


async def open_cluster(settings=OPEN):
    """Form a quorum of three seeds, then let two more hosts join."""
    cluster = Cluster(3, settings=settings)
    await cluster.start()
    await cluster.wait_until(lambda: cluster.leader() is not None)
    await cluster.start("c3", "c4", bootstrap=False)
    return cluster


def count_voters(cluster):
    leader = cluster.leader()
    return len(cluster.status(leader).voters) if leader else 0


async def propose(cluster, *commands):
    client = cluster.open_client()
    for command in commands:
        assert isinstance(await client.propose(command, 30.0), Committed)


async def read(cluster):
    answer = await cluster.open_client().read(b"", 15.0)
    assert isinstance(answer, ReadResult), answer
    return msgspec.msgpack.decode(answer.data, type=list[bytes])


def test_hosts_that_know_only_seeds_become_voters_by_themselves():
    async def run():
        cluster = await open_cluster()
        started_s = asyncio.get_running_loop().time()
        await cluster.wait_until(cluster.is_healthy, timeout_s=10.0)
        assert count_voters(cluster) == 5
        return asyncio.get_running_loop().time() - started_s

    assert run_paused(run()) < 5.0


def test_unknown_host_is_refused_where_operators_add_hosts():
    async def run():
        cluster = await open_cluster(SETTINGS)
        await asyncio.sleep(20.0)
        assert count_voters(cluster) == 3
        assert "operators add it" in cluster.status("c3").detail

    run_paused(run())


@pytest.mark.parametrize("seed_lost", [True, False])
def test_empty_host_at_another_address_takes_the_place_of_one_that_is_gone(seed_lost):
    async def run():
        cluster = await open_cluster()
        await cluster.wait_until(cluster.is_healthy)
        await propose(cluster, b"kept")
        gone = "c0" if seed_lost else "c4"
        cluster.crash(gone)
        del cluster.hosts[gone]
        await cluster.start("c5", bootstrap=False)
        await cluster.wait_until(cluster.is_healthy)
        assert count_voters(cluster) == 5
        # The place of the one that is gone counts for nothing any more.
        # Clients of these tests know the seeds only, so the others are lost.
        others = sorted(a for a in cluster.hosts if a != cluster.leader())
        for address in others[-2:]:
            cluster.crash(address)
        await propose(cluster, b"after")
        return await read(cluster)

    assert run_paused(run()) == [b"kept", b"after"]


def test_even_number_of_voters_loses_the_one_that_is_gone():
    async def run():
        cluster = await open_cluster()
        await cluster.wait_until(cluster.is_healthy)
        await cluster.start("c5", bootstrap=False)
        await cluster.wait_until(lambda: count_voters(cluster) == 6)
        gone = next(a for a in cluster.hosts if a != cluster.leader())
        cluster.crash(gone)
        del cluster.hosts[gone]
        await cluster.wait_until(lambda: count_voters(cluster) == 5)

    run_paused(run())


def test_odd_number_of_voters_keeps_those_that_are_silent():
    """Two of five may be lost for long; their places must not be given up."""

    async def run():
        cluster = await open_cluster()
        await cluster.wait_until(cluster.is_healthy)
        lost = [a for a in cluster.hosts if a != cluster.leader()][:2]
        for address in lost:
            cluster.crash(address)
        await asyncio.sleep(10 * SILENT_S)
        assert count_voters(cluster) == 5
        await cluster.start(*lost, bootstrap=False)
        await cluster.wait_until(cluster.is_healthy)

    run_paused(run())


def test_host_that_lost_its_disk_replaces_itself():
    async def run():
        cluster = await open_cluster()
        await cluster.wait_until(cluster.is_healthy)
        await propose(cluster, b"kept")
        for address in ("c1", "c4"):
            await cluster.restart(address, MemoryDisk(0.002), bootstrap=False)
        await cluster.wait_until(cluster.is_healthy)
        assert count_voters(cluster) == 5
        return await read(cluster)

    assert run_paused(run()) == [b"kept"]


def test_cut_off_minority_takes_nobody_out():
    async def run():
        cluster = await open_cluster()
        await cluster.wait_until(cluster.is_healthy)
        leader = cluster.leader()
        other = next(a for a in cluster.hosts if a != leader)
        for address in cluster.hosts:
            if address not in (leader, other):
                for inside in (leader, other):
                    cluster.network.cut(address, inside)
                    cluster.network.cut(inside, address)
        await asyncio.sleep(10 * SILENT_S)
        assert len(cluster.status(other).voters) == 5
        assert cluster.status(leader).role is not Role.LEADER

    run_paused(run())
