import asyncio
import random

import pytest
from tests.quorum_cluster import Cluster

from sapphireway_coordination import (
    Committed,
    ControlClient,
    ControlHostList,
    ReadResult,
    Unavailable,
)
from sapphireway_coordination.settings._control_client import ATTEMPT_TIMEOUT_S
from sapphireway_protocol import ControlReply, Envelope
from sapphireway_transport.memory import run_paused

# Three tries of a second and the pauses between them, as seen on the bench.
SILENT_TRIES_S = 3.5
CONTACT_WINDOW_S = 3.0  # after which the rest of the quorum counts as calm
ACK_TIMEOUT_S = 4.0  # stated bound on the acknowledgement of an order in calm


async def start_cluster(size=3):
    cluster = Cluster(size)
    await cluster.start()
    await cluster.wait_until(cluster.is_healthy)
    return cluster


def test_propose_reaches_leader_through_other_hosts():
    async def run():
        cluster = await start_cluster()
        client = cluster.open_client()
        leader = cluster.leader()
        cluster.network.cut("client0", leader)
        outcome = await client.propose(b"a", 10.0)
        assert isinstance(outcome, Committed)
        assert isinstance(await client.read(b"", 10.0), ReadResult)

    run_paused(run())


def test_propose_after_leader_change():
    async def run():
        cluster = await start_cluster()
        client = cluster.open_client()
        await client.propose(b"a", 10.0)
        cluster.isolate(cluster.leader())
        outcome = await client.propose(b"b", 10.0)
        assert isinstance(outcome, Committed)
        assert outcome.result == b"1"

    run_paused(run())


@pytest.mark.parametrize("resend", [True, False])
def test_propose_reports_that_command_may_be_applied(resend):
    async def run():
        cluster = await start_cluster()
        client = cluster.open_client()
        for address in cluster.addresses:
            cluster.network.cut(address, "client0")
        started_s = asyncio.get_running_loop().time()
        outcome = await client.propose(b"a", 5.0, resend=resend)
        assert isinstance(outcome, Unavailable)
        assert outcome.maybe_applied
        return asyncio.get_running_loop().time() - started_s

    assert run_paused(run()) == pytest.approx(5.0 if resend else 1.0)


def test_propose_duplicate_after_snapshot_returns_first_result():
    async def run():
        cluster = await start_cluster()
        client = cluster.open_client()
        first = await client.propose(b"first", 10.0)
        for i in range(80):
            await client.propose(b"%d" % i, 10.0)
        for address in cluster.addresses:
            cluster.crash(address)
        await cluster.start()
        duplicate = await client.propose(b"first", 10.0)
        assert duplicate.result == first.result
        assert cluster.status(cluster.leader()).snapshot_index > 0

    run_paused(run())


def test_change_members_through_other_hosts():
    async def run():
        cluster = await start_cluster()
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


class StartingHosts:
    """Peers whose hosts start: refused at first, then one drops what it gets."""

    def __init__(self, refused_s):
        self.loop = asyncio.get_running_loop()
        self.refused_s = refused_s

    async def request(self, host, message, timeout_s, body=b""):
        if self.loop.time() < self.refused_s:
            return None
        if host == "silent":
            await asyncio.sleep(timeout_s)
            return None
        reply = ControlReply(True, 7, host)
        return Envelope(reply, b"state")


@pytest.mark.parametrize("seed", range(20))
def test_silent_host_after_refused_connections_takes_little_of_the_time(seed):
    async def run():
        peers = StartingHosts(refused_s=1.0)
        hosts = ControlHostList(["silent", "a", "b"])
        client = ControlClient(peers, hosts, random.Random(seed))
        result = await client.read(b"", 20.0)
        return result, peers.loop.time()

    result, elapsed_s = run_paused(run())
    assert result == ReadResult(7, b"state")
    assert elapsed_s <= 1.0 + ATTEMPT_TIMEOUT_S + 1.0


def test_unanswered_attempts_are_reported_with_host_and_wait():
    async def run():
        cluster = await start_cluster()
        client = cluster.open_client()
        reported = []
        client._on_unanswered = lambda *fields: reported.append(fields)
        for address in cluster.addresses:
            cluster.network.cut(address, "client0")
        await client.propose(b"abc", 3.0)
        return reported

    reported = run_paused(run())
    assert {host for host, *_ in reported} == {"c0", "c1", "c2"}
    assert all(fields[1:] == ("Propose", 3, 1.0) for fields in reported[:2])


@pytest.mark.parametrize("served_by", range(3))
def test_order_is_acknowledged_in_time_after_tries_at_two_silent_hosts(served_by):
    # Guards against control hosts that wait for the leader that answered last.
    async def run():
        cluster = await start_cluster(5)
        clients = {a: cluster.open_host_client(a) for a in cluster.addresses}
        for address, client in clients.items():
            await client.propose(address.encode(), 10.0)
        leader = cluster.leader()
        silent = [leader, next(a for a in cluster.addresses if a != leader)]
        for address in silent:
            cluster.isolate(address)
        await asyncio.sleep(CONTACT_WINDOW_S)
        await asyncio.sleep(SILENT_TRIES_S)
        serving = [a for a in cluster.addresses if a not in silent][served_by]
        async with asyncio.timeout(ACK_TIMEOUT_S - SILENT_TRIES_S):
            outcome = await clients[serving].propose(b"order", ACK_TIMEOUT_S)
        assert isinstance(outcome, Committed)

    run_paused(run())


@pytest.mark.parametrize("is_leader", [False, True])
def test_host_without_a_quorum_refuses_at_once(is_leader):
    # Guards against operators that wait at a host that can't carry out their order.
    async def run():
        cluster = await start_cluster(5)
        leader = cluster.leader()
        cut_off = next(a for a in cluster.addresses if (a == leader) == is_leader)
        client = cluster.open_host_client(cut_off)
        await client.propose(b"before", 10.0)
        cluster.isolate(cut_off)
        await asyncio.sleep(CONTACT_WINDOW_S)
        asked_s = asyncio.get_running_loop().time()
        outcomes = [await client.propose(b"a", 4.0), await client.read(b"", 4.0)]
        assert asyncio.get_running_loop().time() == asked_s
        assert all(o.lost_quorum and not o.maybe_applied for o in outcomes)
        cluster.network.heal_all()
        await asyncio.sleep(CONTACT_WINDOW_S)
        assert isinstance(await client.propose(b"after", 4.0), Committed)

    run_paused(run())


def test_host_that_has_stalled_waits_for_its_leader():
    async def run():
        cluster = await start_cluster(5)
        stalled = next(a for a in cluster.addresses if a != cluster.leader())
        client = cluster.open_host_client(stalled)
        cluster.isolate(stalled)
        await asyncio.sleep(CONTACT_WINDOW_S)
        cluster.network.heal_all()
        cluster.stalls_s[stalled] = CONTACT_WINDOW_S
        assert isinstance(await client.propose(b"a", 4.0), Committed)

    run_paused(run())


def test_order_waits_for_the_first_leader_after_all_hosts_were_started_again():
    async def run():
        cluster = await start_cluster(5)
        for address in cluster.addresses:
            cluster.crash(address)
        await cluster.start()
        clients = [cluster.open_host_client(a) for a in cluster.addresses]
        outcomes = await asyncio.gather(
            *(client.propose(b"a", 4.0) for client in clients)
        )
        assert all(isinstance(outcome, Committed) for outcome in outcomes)

    run_paused(run())
