import asyncio

import pytest
from tests.confirmation_cluster import BOUND_S, ConfirmationCluster

from sapphireway_coordination import ConfirmationLost, ConfirmationRegained
from sapphireway_coordination.settings._confirmation import MARGIN_SHARE
from sapphireway_protocol import AskConfirmation, NotRunReason
from sapphireway_transport.memory import run_paused

VALID_S = BOUND_S * (1 - MARGIN_SHARE)
INTERVAL_S = 0.1


def run_script(script, **options):
    """Run `script` on a cluster that is healthy at first."""

    async def run():
        cluster = ConfirmationCluster(**options)
        await cluster.start()
        try:
            return await script(cluster)
        finally:
            await cluster.stop()
            assert cluster.violations == []

    return run_paused(run())


async def send_for(cluster, duration_s, name="n0"):
    """Send every `INTERVAL_S`; return for each request its time and its refusal."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    results = []
    while loop.time() < began_s + duration_s:
        sent_s = loop.time() - began_s
        results.append((sent_s, await cluster.send(name)))
        await asyncio.sleep(INTERVAL_S)
    return results


def find_refused(results):
    return [sent_s for sent_s, refusal in results if refusal is not None]


@pytest.mark.parametrize("idle_s", [0.0, 60.0])
def test_first_request_waits_for_the_proof(idle_s):
    async def script(cluster):
        await cluster.send("n0")
        await asyncio.sleep(idle_s)
        began_s = asyncio.get_running_loop().time()
        refusal = await cluster.send("n0")
        return refusal, asyncio.get_running_loop().time() - began_s

    refusal, waited_s = run_script(script)
    assert refusal is None
    assert waited_s < 0.02


@pytest.mark.parametrize("seed", range(5))
def test_killed_leader_costs_no_keyed_request(seed):
    async def script(cluster):
        await send_for(cluster, 2.0 + seed * 0.23)
        cluster.kill_host(cluster.cluster.leader())
        return await send_for(cluster, 10.0)

    assert find_refused(run_script(script, hosts=5, seed=seed)) == []


def test_node_that_is_cut_off_refuses_within_the_bound():
    async def script(cluster):
        await send_for(cluster, 3.0)
        cluster.cut_off("n0")
        results = await send_for(cluster, 12.0)
        return results, cluster.nodes["n0"].events

    results, events = run_script(script)
    refused = find_refused(results)
    # The newest proof was at most 1.2 s old at the cut.
    assert VALID_S - 1.4 <= refused[0] <= VALID_S
    assert refused == [sent_s for sent_s, _ in results if sent_s >= refused[0]]
    refusal = results[-1][1]
    assert refusal.reason is NotRunReason.UNCONFIRMED
    assert 0 < refusal.retry_after_s < 1.0
    (lost,) = events
    assert isinstance(lost, ConfirmationLost)
    assert lost.age_s == pytest.approx(VALID_S, abs=INTERVAL_S)


def test_unknown_key_needs_a_recent_proof():
    """A node that is cut off may not know a key that others have had for 2 s."""

    async def script(cluster):
        await send_for(cluster, 3.0)
        assert await cluster.send("n0", recent=True) is None
        cluster.cut_off("n0")
        assert await cluster.publish()
        await asyncio.sleep(2.0)
        refusals = [await cluster.send("n0", recent=recent) for recent in (False, True)]
        return refusals, cluster.nodes["n0"].events

    (known, unknown), events = run_script(script)
    assert known is None and unknown.reason is NotRunReason.UNCONFIRMED
    assert events == []  # known keys are still served


def test_refusals_of_a_long_outage_do_not_wait():
    async def script(cluster):
        cluster.cut_off("n0")
        await send_for(cluster, 3.0)
        began_s = asyncio.get_running_loop().time()
        assert await cluster.send("n0") is not None
        return asyncio.get_running_loop().time() - began_s

    assert run_script(script) == 0.0


def test_first_refusal_waits_for_a_small_part_of_the_time():
    async def script(cluster):
        cluster.cut_off("n0")
        began_s = asyncio.get_running_loop().time()
        assert await cluster.send("n0", deadline_s=2.0) is not None
        return asyncio.get_running_loop().time() - began_s

    assert run_script(script) == pytest.approx(0.5)


def test_node_serves_again_soon_after_contact():
    async def script(cluster):
        cluster.cut_off("n0")
        await send_for(cluster, 8.0)
        cluster.network.heal_all()
        results = await send_for(cluster, 2.0)
        return find_refused(results), cluster.nodes["n0"].events

    refused, events = run_script(script)
    assert all(sent_s < 0.3 for sent_s in refused)
    assert [type(event) for event in events] == [ConfirmationLost, ConfirmationRegained]


def test_node_without_contact_to_the_leader_asks_the_other_hosts():
    async def script(cluster):
        cluster.cut("n0", cluster.cluster.leader())
        return await send_for(cluster, 12.0)

    assert find_refused(run_script(script, hosts=5)) == []


def test_no_majority_no_proof():
    async def script(cluster):
        await send_for(cluster, 2.0)
        for address in cluster.cluster.addresses[:3]:
            cluster.kill_host(address)
        return await send_for(cluster, 12.0)

    refused = find_refused(run_script(script, hosts=5))
    assert refused and refused[0] <= VALID_S


def test_table_that_is_not_in_force_yet_does_not_displace_an_older_proof():
    # The node learns of a version before it has it, and goes on with the proof before.
    async def script(cluster):
        await send_for(cluster, 2.0)
        results = []
        for _ in range(8):
            assert await cluster.publish()
            results += await send_for(cluster, 0.7)
        return results

    assert find_refused(run_script(script)) == []


def test_proof_of_a_newer_table_does_not_serve_the_older_one():
    async def script(cluster):
        node = cluster.nodes["n0"]
        await send_for(cluster, 2.0)
        node.peers.observe = lambda sender, envelope: None  # gets no more tables
        assert await cluster.publish()
        return await send_for(cluster, 8.0)

    refused = find_refused(run_script(script))
    assert refused[0] <= VALID_S


def test_suspension_ages_the_proof():
    # The monotonic clock stood still, and CLOCK_BOOTTIME went on.
    async def script(cluster):
        node = cluster.nodes["n0"]
        await cluster.send("n0")
        cluster.cut_off("n0")
        await asyncio.sleep(VALID_S)
        node.suspended_s = VALID_S
        return await cluster.send("n0")

    assert run_script(script) is not None


@pytest.mark.parametrize(("sends", "most"), [(True, 1.3), (False, 0.0)])
def test_questions_per_second(sends, most):
    """A busy node asks about once a second, an idle one never."""

    async def script(cluster):
        asked = []
        for address in cluster.cluster.addresses:
            peers = cluster.cluster.hosts[address].peers
            receive = peers._handlers[AskConfirmation]

            def count(sender, envelope, receive=receive):
                asked.append(sender)
                receive(sender, envelope)

            peers.handle(AskConfirmation, count)
        if sends:
            await send_for(cluster, 30.0)
        else:
            await cluster.send("n0")
            await asyncio.sleep(1.0)
            asked.clear()
            await asyncio.sleep(29.0)
        return asked.count("n0") / 30

    asked_per_s = run_script(script)
    assert asked_per_s <= most
    assert bool(asked_per_s) == sends


def test_hosts_share_rounds_of_the_quorum():
    async def script(cluster):
        leader = cluster.cluster.hosts[cluster.cluster.leader()].quorum
        before = leader._replica.read_round
        await asyncio.gather(*(send_for(cluster, 20.0, name) for name in cluster.nodes))
        return (leader._replica.read_round - before) / 20

    # 72 nodes would need 60 rounds a second without sharing.
    assert run_script(script, hosts=5, nodes=72) <= 2.6
