import asyncio

import pytest
from tests.quorum_cluster import Cluster

from sapphireway_coordination import Committed, ReadResult, Unavailable
from sapphireway_transport.memory import run_paused


async def open_cluster():
    cluster = Cluster(3)
    await cluster.start()
    await cluster.wait_until(cluster.is_healthy)
    return cluster


def test_client_reaches_the_leader_through_any_host():
    async def run():
        cluster = await open_cluster()
        client = cluster.open_client()
        leader = cluster.leader()
        cluster.network.cut("client0", leader)
        outcome = await client.propose(b"a", 10.0)
        assert isinstance(outcome, Committed)
        assert isinstance(await client.read(b"", 10.0), ReadResult)

    run_paused(run())


def test_client_follows_a_new_leader():
    async def run():
        cluster = await open_cluster()
        client = cluster.open_client()
        await client.propose(b"a", 10.0)
        cluster.isolate(cluster.leader())
        outcome = await client.propose(b"b", 10.0)
        assert isinstance(outcome, Committed)
        assert outcome.result == b"1"

    run_paused(run())


@pytest.mark.parametrize("resend", [True, False])
def test_client_says_whether_a_command_may_be_applied(resend):
    async def run():
        cluster = await open_cluster()
        client = cluster.open_client()
        for address in cluster.addresses:
            cluster.network.cut(address, "client0")
        started_s = asyncio.get_running_loop().time()
        outcome = await client.propose(b"a", 5.0, resend=resend)
        assert isinstance(outcome, Unavailable)
        assert outcome.maybe_applied
        return asyncio.get_running_loop().time() - started_s

    assert run_paused(run()) == pytest.approx(5.0 if resend else 1.0)


def test_resent_command_gets_its_first_answer_after_a_snapshot():
    async def run():
        cluster = await open_cluster()
        client = cluster.open_client()
        first = await client.propose(b"first", 10.0)
        for i in range(80):
            await client.propose(b"%d" % i, 10.0)
        for address in cluster.addresses:
            cluster.crash(address)
        await cluster.start()
        again = await client.propose(b"first", 10.0)
        assert again.result == first.result
        assert cluster.status(cluster.leader()).snapshot_index > 0

    run_paused(run())


def test_members_are_changed_through_any_host():
    async def run():
        cluster = await open_cluster()
        client = cluster.open_client()
        cluster.network.cut("client0", cluster.leader())
        await cluster.start("c3", bootstrap=False)
        outcome = await client.change_members(["c3"], [], 20.0)
        assert isinstance(outcome, Committed)
        await cluster.wait_until(cluster.is_healthy)
        outcome = await client.change_members([], ["c3"], 20.0)
        assert isinstance(outcome, Committed)
        assert len(cluster.status(cluster.leader()).voters) == 3

    run_paused(run())
