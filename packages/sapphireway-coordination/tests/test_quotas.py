import asyncio
import itertools
import random

import pytest
from tests.quota_fleet import DELAY_S, Fleet

from sapphireway_coordination import QuotaClient
from sapphireway_protocol import NotRunReason
from sapphireway_state import Workspace
from sapphireway_transport.memory import run_paused

W = Workspace("w", (), 62.0, 62.0)


async def fill(fleet):
    """Let the bucket fill up, and the nodes find the owner."""
    for node in fleet.nodes:
        await fleet.request(node)
    await asyncio.sleep(2.0)
    fleet.waits_s.clear()
    fleet.refusals.clear()


def run_fleet(scenario, nodes=3, workspaces=(W,), **kwargs):
    async def run():
        fleet = Fleet(nodes, workspaces, **kwargs)
        await fleet.start()
        try:
            await scenario(fleet)
            fleet.check()
        finally:
            fleet.stop()

    run_paused(run())


def test_admit_without_limit_sends_nothing():
    """Guards against a cost for tables without limits."""

    async def scenario(fleet):
        sent = fleet.clients["n0"]._peers.messages_sent
        for _ in range(100):
            assert await fleet.request("n0") is None
        assert fleet.clients["n0"]._peers.messages_sent == sent == 0
        before = fleet.network.messages_sent
        await asyncio.sleep(10.0)
        # Heartbeats of the quorum only: four followers, four a second, both ways.
        assert fleet.network.messages_sent - before <= 4 * 4 * 10 * 2

    run_fleet(scenario, workspaces=[Workspace("w")])


def test_admit_burst_at_one_node_at_once():
    """Guards against a burst of which only a node's share may be used."""

    async def scenario(fleet):
        await fill(fleet)
        results = await asyncio.gather(*(fleet.request("n1") for _ in range(62)))
        assert results == [None] * 62
        assert max(fleet.waits_s) <= 2 * DELAY_S + 0.001

    run_fleet(scenario)


def test_admit_waits_one_round_trip_at_most():
    async def scenario(fleet):
        await fill(fleet)
        rng = random.Random(1)
        await fleet.send(50.0, 10.0, lambda at_s: f"n{rng.randrange(3)}", rng)
        assert not fleet.refusals
        assert max(fleet.waits_s) <= 2 * DELAY_S + 0.001

    run_fleet(scenario)


def test_admit_above_limit_refuses_at_once():
    async def scenario(fleet):
        loop = asyncio.get_running_loop()
        await fill(fleet)
        started_s = loop.time()
        results = await asyncio.gather(*(fleet.request("n0") for _ in range(100)))
        assert loop.time() - started_s <= 2 * DELAY_S + 0.001
        refusals = [result for result in results if result is not None]
        assert 36 <= len(refusals) <= 38
        assert {refusal.reason for refusal in refusals} == {NotRunReason.QUOTA}

    run_fleet(scenario)


def test_retry_after_finds_a_token():
    """Guards against refused callers that return at one moment, or too early."""

    async def scenario(fleet):
        await fill(fleet)

        async def retry(refusal, node):
            await asyncio.sleep(refusal.retry_after_s)
            return await fleet.request(node)

        results = await asyncio.gather(*(fleet.request("n0") for _ in range(150)))
        refusals = [result for result in results if result is not None]
        delays_s = sorted(refusal.retry_after_s for refusal in refusals)
        assert len(delays_s) > 80
        assert delays_s[-1] <= len(delays_s) / 62.0 + 0.3
        assert max(b - a for a, b in itertools.pairwise(delays_s)) < 0.1
        again = await asyncio.gather(*(retry(r, "n1") for r in refusals))
        assert again == [None] * len(refusals)

    run_fleet(scenario)


def test_demand_that_moves_is_not_refused():
    """Guards against tokens that stay behind at the node that had the demand."""

    async def scenario(fleet):
        await fill(fleet)
        rng = random.Random(2)
        await fleet.send(55.0, 20.0, lambda at_s: f"n{int(at_s) % 10}", rng)
        assert len(fleet.refusals) <= 5, len(fleet.refusals)

    run_fleet(scenario, nodes=10)


def test_owner_that_is_lost_is_replaced():
    async def scenario(fleet):
        loop = asyncio.get_running_loop()
        rng = random.Random(3)
        sending = asyncio.create_task(
            fleet.send(40.0, 12.0, lambda at_s: f"n{rng.randrange(3)}", rng)
        )
        await asyncio.sleep(5.0)
        lost_s = loop.time()
        fleet.crash(fleet.cluster.leader())
        await sending
        unconfirmed = [
            at_s for at_s, r in fleet.refusals if r.reason is NotRunReason.UNCONFIRMED
        ]
        assert unconfirmed
        assert max(unconfirmed) <= lost_s + 3.0
        assert all(lost_s <= at_s for at_s, _ in fleet.refusals)
        # A bucket of a new owner is nearly empty, which refuses some for a moment.
        assert all(at_s <= lost_s + 4.0 for at_s, _ in fleet.refusals)

    run_fleet(scenario)


def test_node_cut_off_refuses_as_unconfirmed_and_recovers():
    async def scenario(fleet):
        for address in fleet.cluster.addresses:
            fleet.network.cut("n0", address)
        await asyncio.sleep(1.0)
        refusal = await fleet.request("n0")
        assert refusal.reason is NotRunReason.UNCONFIRMED
        fleet.network.heal_all()
        assert await fleet.request("n0", timeout_s=5.0) is None

    run_fleet(scenario)


def test_node_cut_off_from_owner_asks_through_other_hosts():
    async def scenario(fleet):
        await fill(fleet)
        assert await fleet.request("n0") is None
        leader = fleet.cluster.leader()
        fleet.network.cut("n0", leader)
        await fleet.request("n0")
        for _ in range(30):
            await asyncio.sleep(0.2)
            assert await fleet.request("n0") is None

    run_fleet(scenario)


def test_owner_cut_off_from_followers_stops_granting():
    """Guards against two owners that grant at once."""

    async def scenario(fleet):
        await fill(fleet)
        leader = fleet.cluster.leader()
        for address in fleet.cluster.addresses:
            if address != leader:
                fleet.network.cut(leader, address)
                fleet.network.cut(address, leader)
        await asyncio.sleep(0.4)
        for other in fleet.cluster.addresses:
            if other != leader:
                fleet.network.cut("n0", other)
        # With this deadline the request waits for longer than the owner for a majority.
        refusal = await fleet.request("n0", timeout_s=20.0)
        assert refusal.reason is NotRunReason.UNCONFIRMED
        await asyncio.sleep(3.0)
        assert await fleet.request("n1") is None
        refusal = await fleet.request("n0")
        assert refusal.reason is NotRunReason.UNCONFIRMED

    run_fleet(scenario)


def test_suspended_node_uses_no_old_tokens():
    """Guards against a monotonic clock that stands still during a suspension."""

    async def scenario(fleet):
        await fill(fleet)
        rng = random.Random(4)
        await fleet.send(50.0, 1.0, lambda at_s: "n0", rng)
        client = fleet.clients["n0"]
        assert client._queues["w"].stock.has_tokens(client._clock.read())
        fleet.suspended_s["n0"] += 10.0
        for address in fleet.cluster.addresses:
            fleet.network.cut("n0", address)
        refusal = await fleet.request("n0")
        assert refusal.reason is NotRunReason.UNCONFIRMED

    run_fleet(scenario)


def test_freeze_between_grant_and_use_loses_the_token(monkeypatch):
    """Guards against a process that wakes with a token of long ago."""
    serve = QuotaClient._serve_waiting

    def serve_and_freeze(*arguments):
        serve(*arguments)
        asyncio.get_running_loop().advance(0.7)

    async def scenario(fleet):
        await fill(fleet)
        monkeypatch.setattr(QuotaClient, "_serve_waiting", serve_and_freeze)
        refusal = await fleet.request("n0", timeout_s=20.0)
        assert refusal.reason is NotRunReason.UNCONFIRMED

    run_fleet(scenario)


@pytest.mark.parametrize("seed", range(6))
def test_bound_holds_with_faults_of_the_network(seed):
    async def scenario(fleet):
        rng = random.Random(seed)
        fleet.network.drop_rate = 0.02
        fleet.network.duplicate_rate = 0.05
        fleet.network.jitter_s = 0.02
        sending = asyncio.create_task(
            fleet.send(200.0, 20.0, lambda at_s: f"n{rng.randrange(4)}", rng)
        )
        for _ in range(6):
            await asyncio.sleep(rng.uniform(1.0, 4.0))
            if sending.done():
                break
            fault = rng.choice(["crash", "freeze", "cut"])
            address = fleet.cluster.leader() or rng.choice(fleet.cluster.addresses)
            if fault == "crash" and len(fleet.owner_tasks) > 3:
                fleet.crash(address)
            elif fault == "freeze":
                fleet.network.freeze(address)
                await asyncio.sleep(rng.uniform(0.2, 3.0))
                fleet.network.thaw(address)
            else:
                for other in fleet.cluster.addresses:
                    fleet.network.cut(address, other)
                await asyncio.sleep(rng.uniform(0.2, 3.0))
                fleet.network.heal_all()
        await sending
        assert len(fleet.passed["w"]) > 300

    run_fleet(scenario, nodes=4, seed=seed)


def test_limit_of_new_table_starts_with_its_burst():
    """Guards against refusals below a limit that was published a moment ago."""

    async def scenario(fleet):
        await fleet.request("n0")
        fleet.workspaces = (W,)
        await asyncio.sleep(0.01)
        results = await asyncio.gather(*(fleet.request("n0") for _ in range(62)))
        assert results == [None] * 62

    run_fleet(scenario, workspaces=[Workspace("w")])


def test_limit_under_earlier_leader_starts_without_burst():
    """Guards against a burst from each new owner."""

    async def scenario(fleet):
        await fill(fleet)
        loop = asyncio.get_running_loop()
        fleet.crash(fleet.cluster.leader())
        await asyncio.sleep(0.6)
        fleet.passed["w"].clear()
        while not fleet.passed["w"] or loop.time() < fleet.passed["w"][0] + 0.3:
            await asyncio.gather(*(fleet.request("n0") for _ in range(20)))
            await asyncio.sleep(0.01)
        first_s = fleet.passed["w"][0]
        passed = sum(at_s <= first_s + 0.3 for at_s in fleet.passed["w"])
        assert 15 <= passed <= 1.6 + 62.0 * 0.3 + 1.0

    run_fleet(scenario)
