"""Rollouts on a simulated fleet with one fault each."""

import asyncio

import msgspec
import pytest

from sapphireway_protocol import VersionReport
from sapphireway_state import RolloutAccepted, RolloutState
from tests.rollout_fleet import HOSTS, SERVICE
from tests.test_rollouts import DURATION_S, fail, list_unanswered, simulate

ELECTION_S = 5.0  # excused for an unstable quorum


async def start_rollout(fleet, share):
    """Order a rollout, start the new servers and wait until they have a share."""
    await fleet.order(duration_s=DURATION_S)
    await asyncio.sleep(3.0)
    await fleet.start_new_servers()
    return await fleet.wait_for_share(share)


@pytest.mark.parametrize(
    ("behave", "share", "state"),
    [
        (None, 0.2, RolloutState.COMPLETED),
        # It may be rolled back before it gets a larger share.
        (fail(0.1), 0.05, RolloutState.ROLLED_BACK),
    ],
    ids=["good", "bad"],
)
def test_leader_killed_between_two_steps_is_continued(behave, share, state):
    """The next leader has the share from the journal and the reports of all gates."""

    async def scenario(fleet):
        before = await start_rollout(fleet, share)
        killed = fleet.find_leader().name
        fleet.kill(killed)
        rollout, _ = await fleet.wait_for_end(DURATION_S + ELECTION_S)
        assert (rollout.state, rollout.order) == (state, before.order)
        shares = [decision.share for decision in fleet.decided if decision.accepted]
        assert shares.count(share) == 1
        await asyncio.sleep(2.0)
        other = "v1" if state is RolloutState.COMPLETED else "v2"
        now_s = asyncio.get_running_loop().time()
        assert fleet.count_sent(other, now_s - 0.5) == 0

    simulate(scenario, **({"behave": behave} if behave else {}))


def test_leader_frozen_and_woken_changes_nothing_after_the_end():
    """It still believes to lead, and its reports are those of before the freeze."""

    async def scenario(fleet):
        await start_rollout(fleet, 0.2)
        frozen = fleet.find_leader()
        fleet.network.freeze(frozen.name)
        for other in fleet.nodes:
            # What it sends while it is frozen is lost.
            fleet.network.cut(frozen.name, other)
        others = [fleet.nodes[name] for name in HOSTS if name != frozen.name]

        def get_rollout(host):
            return host.machine.rollouts.rollouts[SERVICE]

        async with asyncio.timeout(DURATION_S + ELECTION_S):
            while get_rollout(others[0]).running:
                await asyncio.sleep(0.05)
        ended = get_rollout(others[0])
        fleet.network.heal_all()
        fleet.network.thaw(frozen.name)
        await asyncio.sleep(3.0)
        assert get_rollout(frozen) == get_rollout(others[0]) == ended
        return ended.state

    assert simulate(scenario) is RolloutState.COMPLETED


def test_node_cut_off_with_an_old_share_is_refused_after_the_end():
    """It would send to the new version for as long as it is cut off."""

    async def scenario(fleet):
        await start_rollout(fleet, 0.05)
        cut = fleet.nodes["n0"]
        while not cut.state.get_rollout(SERVICE).share:
            await asyncio.sleep(0.01)
        # It reaches the servers, but hears nothing of the settings.
        for host in HOSTS:
            fleet.network.cut(host, "n0")
            fleet.network.cut("n0", host)
        cut.peers.observe = lambda sender, envelope: None
        cut.membership._on_failover = lambda node: None
        rollout, _ = await fleet.wait_for_end(DURATION_S)
        assert rollout.state is RolloutState.ROLLED_BACK
        await asyncio.sleep(1.0)
        settled_s = asyncio.get_running_loop().time()
        assert cut.state.get_rollout(SERVICE).running
        await asyncio.sleep(8.0)
        new = [n for name, n in fleet.nodes.items() if name.startswith("m")]
        assert fleet.count_sent("v2", settled_s) > 0
        assert all(at_s < settled_s for n in new for at_s in n.server.runs)
        return list_unanswered(fleet, settled_s)

    assert simulate(scenario, behave=fail(1.0), nodes=4) == []


def test_node_that_missed_the_order_does_not_expose_the_new_version():
    async def scenario(fleet):
        cut = fleet.nodes["n0"]
        cut.peers.observe = lambda sender, envelope: None
        await start_rollout(fleet, 0.05)
        assert cut.state.get_rollout(SERVICE) is None
        await asyncio.sleep(1.0)
        served = sum(len(fleet.nodes[f"m{i}"].server.runs) for i in range(4))
        by_cut = sum(v == "v2" and name == "n0" for _, v, name in fleet.sent)
        by_others = fleet.count_sent("v2") - by_cut
        assert by_cut > 0 and served <= by_others

    simulate(scenario, nodes=4, load_per_s=80.0)


def test_order_whose_acknowledgement_is_lost_starts_one_rollout():
    async def scenario(fleet):
        first = fleet.make_client()
        address = first._peers.address
        for host in HOSTS:
            fleet.network.cut(host, address)
        fleet.make_client = lambda: first
        lost = asyncio.create_task(fleet.order(duration_s=DURATION_S))
        await asyncio.sleep(1.0)
        lost.cancel()
        del fleet.make_client
        result = await fleet.order(duration_s=DURATION_S)
        rollout = await fleet.read()
        return result, rollout.order, rollout.running

    result, order, running = simulate(scenario, load_per_s=20.0)
    assert result == RolloutAccepted(order) and running


def test_order_survives_a_loss_of_power_right_after_its_acknowledgement():
    async def scenario(fleet):
        result = await fleet.order(duration_s=DURATION_S)
        fleet.cut_power(*list(fleet.nodes))
        for name in HOSTS:
            await fleet.start_host(name)
        for number in range(4):
            await fleet.start_node(f"n{number}", "v1")
        await asyncio.sleep(1.0)
        await fleet.start_new_servers()
        rollout, _ = await fleet.wait_for_end(DURATION_S + ELECTION_S)
        return result.order, rollout.order, rollout.state

    before, after, state = simulate(scenario, nodes=4, load_per_s=80.0)
    assert before == after and state is RolloutState.COMPLETED


def test_verdict_survives_a_loss_of_power_right_after_it_was_read():
    async def scenario(fleet):
        await start_rollout(fleet, 0.05)
        await fleet.wait_for_end(DURATION_S)
        before = await fleet.read()
        fleet.cut_power(*list(fleet.nodes))
        for name in HOSTS:
            await fleet.start_host(name)
        await asyncio.sleep(2.0)
        return before, await fleet.read()

    before, after = simulate(scenario, behave=fail(1.0), nodes=4, load_per_s=80.0)
    assert before == after and after.state is RolloutState.ROLLED_BACK


def test_gate_restarted_during_a_rollout_does_not_hide_its_failures():
    """Its counts start at zero; those of its earlier start still count."""

    async def scenario(fleet):
        await start_rollout(fleet, 0.05)
        ledgers = fleet.find_leader().controller._cases[SERVICE].ledger
        async with asyncio.timeout(5.0):
            while True:
                leader = fleet.find_leader()
                rollout = leader.machine.rollouts.rollouts[SERVICE]
                _, new = ledgers.make_samples(rollout, 0.0)
                failures = sum(s.failures for s in new.total.values())
                if failures or not rollout.running:
                    break
                await asyncio.sleep(0.05)
        for number in range(4):
            fleet.kill(f"m{number}")
        await fleet.start_new_servers()
        await asyncio.sleep(1.0)
        _, new = ledgers.make_samples(rollout, 0.0)
        assert sum(s.failures for s in new.total.values()) >= failures > 0

    simulate(scenario, behave=fail(0.5), nodes=4)


def test_request_in_flight_at_an_old_server_delays_the_end():
    """Old servers are stopped at the end without a drain."""

    async def scenario(fleet):
        await start_rollout(fleet, 0.5)
        node = fleet.nodes["n1"]
        busy_until_s = asyncio.get_running_loop().time() + 6.0
        get_server = node.reporter._get_server

        def get_busy_server():
            busy = asyncio.get_running_loop().time() < busy_until_s
            return msgspec.structs.replace(get_server(), in_flight=int(busy))

        node.reporter._get_server = get_busy_server
        rollout, _ = await fleet.wait_for_end(DURATION_S)
        assert rollout.state is RolloutState.COMPLETED
        assert asyncio.get_running_loop().time() >= busy_until_s

    simulate(scenario, nodes=4, load_per_s=80.0)


def test_leader_without_reports_does_not_raise_the_share():
    """Silence must not pass for the absence of evidence."""

    async def scenario(fleet):
        await start_rollout(fleet, 0.05)
        for host in HOSTS:
            peers = fleet.nodes[host].peers
            peers.handle(VersionReport, lambda sender, envelope: None)
        rollout, _ = await fleet.wait_for_end(DURATION_S + 3.0)
        return rollout

    rollout = simulate(scenario, nodes=4, load_per_s=80.0)
    assert rollout.state is RolloutState.ROLLED_BACK and rollout.share <= 0.2


def test_wall_clock_that_jumps_neither_ends_nor_extends_a_rollout():
    async def scenario(fleet, jump_s):
        await fleet.order(duration_s=DURATION_S)
        for host in HOSTS:
            fleet.nodes[host].wall_jump_s = jump_s
        await asyncio.sleep(3.0)
        await fleet.start_new_servers()
        rollout, took_s = await fleet.wait_for_end(DURATION_S)
        return rollout.state, took_s + 3.0 < DURATION_S

    for jump_s in (3600.0, -3600.0):
        result = simulate(
            lambda fleet, jump_s=jump_s: scenario(fleet, jump_s),
            nodes=4,
            load_per_s=80.0,
        )
        assert result == (RolloutState.COMPLETED, True)
