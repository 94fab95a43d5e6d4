import asyncio
import random

import msgspec
from tests.claims.fleet import SERVICE, Fleet, Server

from sapphireway_coordination import GroupProposed
from sapphireway_protocol import Answered
from sapphireway_transport.memory import run_paused


def run_with_controller(script, seed=1, **options):
    """Run `script` on a fleet whose controller has had time to form the group."""

    async def run():
        fleet = Fleet(random.Random(seed), **options)
        fleet.start()
        await asyncio.sleep(5.0)
        result = await script(fleet)
        await fleet.stop()
        assert not fleet.errors
        return result

    return run_paused(run())


def list_proposed(fleet):
    return [event for event in fleet.events if isinstance(event, GroupProposed)]


def test_group_spreads_its_holders_over_domains():
    async def script(fleet):
        return fleet.machine.get_group(SERVICE)

    group = run_with_controller(script)
    assert len(group.holders) == 3
    assert len({holder.domain for holder in group.holders}) == 3


def test_group_size_follows_the_tolerated_losses():
    async def script(fleet):
        sizes = []
        for losses_max in (2, 1):
            fleet.losses_max = losses_max
            await asyncio.sleep(5.0)
            sizes.append(len(fleet.machine.get_group(SERVICE).holders))
        return sizes

    assert run_with_controller(script) == [5, 3]


def test_group_without_faults_sends_nothing():
    async def script(fleet):
        before = len(list_proposed(fleet))
        sent = fleet.network.messages_sent
        await asyncio.sleep(300.0)
        size = len(fleet.machine.get_group(SERVICE).holders)
        proposed = len(list_proposed(fleet)) - before
        return proposed, fleet.network.messages_sent - sent, size

    assert run_with_controller(script) == (0, 0, 3)


def test_group_grows_as_servers_announce_themselves():
    async def script(fleet):
        sizes = [len(fleet.machine.get_group(SERVICE).holders)]
        for name in ("n1", "n2", "n3"):
            fleet.start_node(name)
            await asyncio.sleep(3.0)
            sizes.append(len(fleet.machine.get_group(SERVICE).holders))
        return sizes

    class GrowingFleet(Fleet):
        def start_node(self, name):
            if name == "n0" or self.tasks:
                super().start_node(name)

    async def run():
        fleet = GrowingFleet(random.Random(1))
        fleet.start()
        await asyncio.sleep(5.0)
        sizes = await script(fleet)
        await fleet.stop()
        assert not fleet.errors
        return sizes

    assert run_paused(run()) == [1, 1, 3, 3]


def test_dead_holder_is_replaced_without_loss_of_claims():
    async def script(fleet):
        first = await fleet.ask("k", "n3")
        dead = fleet.machine.get_group(SERVICE).holders[0]
        fleet.kill_node(dead.node)
        before = len(list_proposed(fleet))
        await asyncio.sleep(3.0)
        group = fleet.machine.get_group(SERVICE)
        entry = next(iter(fleet.nodes))
        resent = await fleet.ask("k", entry)
        return first, resent, dead, group, list_proposed(fleet)[before:]

    server = Server(random.Random(1), refuse_rate=0.0)
    first, resent, dead, group, proposed = run_with_controller(script, server=server)
    assert first == resent
    assert dead not in group.holders
    assert len(group.holders) == 3
    assert [event.accepted for event in proposed] == [True]


def test_two_holders_leaving_at_once_lose_no_claims():
    async def script(fleet):
        first = await fleet.ask("k", "n3")
        leaving = [h.node for h in fleet.machine.get_group(SERVICE).holders[:2]]
        for name in leaving:
            node = fleet.nodes[name]
            node.member = msgspec.structs.replace(node.member, leaving=True)
        started_s = asyncio.get_running_loop().time()
        while any(fleet.nodes[name].holder.active_group_count for name in leaving):
            await asyncio.sleep(0.01)
        elapsed_s = asyncio.get_running_loop().time() - started_s
        for name in leaving:
            fleet.kill_node(name)
        resent = await fleet.ask("k", next(iter(fleet.nodes)))
        lost = any(event.lost for event in list_proposed(fleet))
        return first, resent, lost, elapsed_s

    server = Server(random.Random(1), refuse_rate=0.0)
    first, resent, lost, elapsed_s = run_with_controller(script, server=server)
    assert first == resent
    assert not lost
    assert elapsed_s < 2.0


def test_holder_missing_for_a_short_time_is_not_replaced():
    async def script(fleet):
        before = fleet.machine.get_group(SERVICE)
        name = before.holders[0].node
        for _ in range(10):
            node = fleet.nodes.pop(name)
            await asyncio.sleep(0.8)
            fleet.nodes[name] = node
            await asyncio.sleep(0.8)
        return before, fleet.machine.get_group(SERVICE)

    before, after = run_with_controller(script)
    assert before == after


def test_restarted_holder_counts_as_a_new_holder():
    async def script(fleet):
        before = fleet.machine.get_group(SERVICE)
        name = before.holders[0].node
        fleet.kill_node(name)
        fleet.start_node(name)
        await asyncio.sleep(4.0)
        return before, fleet.machine.get_group(SERVICE)

    before, after = run_with_controller(script)
    assert after.epoch == before.epoch + 1
    assert before.holders[0] not in after.holders
    assert len({holder.domain for holder in after.holders}) == 3


def test_shards_have_groups_of_their_own():
    async def script(fleet):
        keys = [f"k{i}" for i in range(20)]
        first = await asyncio.gather(*(fleet.ask(key, "n3") for key in keys))
        await asyncio.sleep(0.1)
        second = await asyncio.gather(*(fleet.ask(key, "n4") for key in keys))
        used = [node.holder.used_bytes for node in fleet.nodes.values()]
        return first, second, used, len(fleet.machine.list_groups())

    server = Server(random.Random(1), refuse_rate=0.0)
    first, second, used, groups = run_with_controller(script, server=server, shards=4)
    assert first == second
    assert groups == 4
    assert all(used)


def test_loss_of_a_domain_keeps_claims_and_availability():
    async def script(fleet):
        keys = [f"k{i}" for i in range(40)]
        first = await asyncio.gather(*(fleet.ask(key, "n3") for key in keys))
        await asyncio.sleep(0.1)
        for name in ("n2", "n5", "n8"):
            fleet.kill_node(name)
        new = await asyncio.gather(*(fleet.ask(f"new {key}", "n3") for key in keys))
        await asyncio.sleep(5.0)
        dead = [g for g in fleet.machine.list_groups() if has_dead(fleet, g)]
        second = await asyncio.gather(*(fleet.ask(key, "n4") for key in keys))
        lost = any(event.lost for event in list_proposed(fleet))
        return first, second, new, dead, lost

    def has_dead(fleet, group):
        return any(holder.node not in fleet.nodes for holder in group.holders)

    server = Server(random.Random(1), refuse_rate=0.0, answer_loss_rate=0.0)
    first, second, new, dead, lost = run_with_controller(
        script, server=server, size=9, shards=8
    )
    assert first == second
    assert {type(outcome) for outcome in new} == {Answered}
    assert not dead
    assert not lost
