import asyncio
import random

import msgspec
import pytest

from sapphireway_coordination import (
    GROUP_PREFIX,
    TREE_PREFIX,
    ControlHostList,
    ControlMachine,
    Directory,
    GroupChange,
    Membership,
    SettingsChannel,
    StateInForce,
)
from sapphireway_protocol import (
    GroupHolder,
    NodeEntry,
    Peers,
    Probe,
    ServerEntry,
    SettingsUpdate,
)
from sapphireway_state import Edit, SetValue, UpdateResult
from sapphireway_transport.memory import MemoryDisk, MemoryNetwork, run_paused


@pytest.fixture
def network():
    return MemoryNetwork(random.Random(1))


@pytest.fixture
def machine():
    return ControlMachine()


def set_deadline(machine, index, deadline_ms):
    operations = [SetValue("deadline_ms", deadline_ms)]
    edit = Edit(f"edit-{index}", machine.settings.version, operations, "operator")
    machine.apply(index, TREE_PREFIX + msgspec.msgpack.encode(edit))


class Node:
    def __init__(self, network, address, disk=None):
        self.changes = 0
        self.state = StateInForce()
        self.peers = Peers(
            network.open_endpoint(address), address, lambda: self.state.version
        )
        self.channel = SettingsChannel(
            self.peers, self.state, self.note_change, lambda: 5.0, disk
        )
        self.peers.observe = self.channel.observe
        self.peers.start()

    def note_change(self):
        self.changes += 1

    async def follow(self, machine):
        update = machine.make_update(self.state.view.version, self.state.groups_version)
        return await self.channel.put_in_force(update)

    def read_deadline(self):
        return self.state.view.resolve("domain", "service", "kind").deadline_ms


def test_newer_version_spreads_along_any_message(network, machine):
    async def run():
        nodes = [Node(network, f"n{i}") for i in range(5)]
        set_deadline(machine, 7, 1234)
        await nodes[0].follow(machine)
        for i in range(4):
            nodes[i].peers.send(f"n{i + 1}", Probe("s"))
            await asyncio.sleep(0.1)
        return [(node.state.version, node.read_deadline()) for node in nodes]

    assert run_paused(run()) == [(7, 1234)] * 5


def test_update_that_many_ask_for_is_made_once(network, machine):
    async def run():
        nodes = [Node(network, f"n{i}") for i in range(5)]
        source = nodes[0]
        made = []
        make_update = StateInForce.make_update

        class CountingState(StateInForce):
            __slots__ = ()

            def make_update(self, *versions):
                made.append(versions)
                return make_update(self, *versions)

        source.state.__class__ = CountingState
        for version in (7, 8):
            set_deadline(machine, version, 100 * version)
            await source.follow(machine)
            for node in nodes[1:]:
                source.peers.send(node.peers.address, Probe("s"))
            await asyncio.sleep(0.1)
        return made, [node.read_deadline() for node in nodes]

    assert run_paused(run()) == ([(0, 0, 0), (7, 0, 0)], [800] * 5)


def test_node_that_reaches_no_control_host_follows_other_nodes(network, machine):
    async def run():
        nodes = {name: Node(network, name) for name in ("control", "a", "b")}
        directory = Directory(nodes["control"].peers, ControlHostList(["control"]))
        tasks = [asyncio.ensure_future(directory.run())]
        for name in ("a", "b"):
            entry = NodeEntry(name, "domain", "region", name, 1.0, 0, [])
            membership = Membership(
                nodes[name].peers,
                ControlHostList(["control"]),
                entry,
                random.Random(1),
                on_unserved=nodes[name].channel.ask,
            )
            membership.set_servers([ServerEntry(f"s-{name}", "s", name, 6)])
            membership.get_members("s")
            tasks.append(asyncio.ensure_future(membership.run()))
        await asyncio.sleep(3)
        network.cut("b", "control")
        network.cut("control", "b")
        set_deadline(machine, 7, 700)
        await nodes["control"].follow(machine)
        await asyncio.sleep(5)
        for task in tasks:
            task.cancel()
        return [nodes[name].read_deadline() for name in ("a", "b")]

    assert run_paused(run()) == [700, 700]


def test_older_version_is_never_applied(network, machine):
    async def run():
        node = Node(network, "n0")
        set_deadline(machine, 6, 600)
        older = machine.make_update(0, 0)
        set_deadline(machine, 7, 700)
        await node.follow(machine)
        return await node.channel.put_in_force(older), node.read_deadline()

    assert run_paused(run()) == (UpdateResult.OLD, 700)


def test_gap_is_filled_by_whole_tree(network, machine):
    async def run():
        old, new = Node(network, "old"), Node(network, "new")
        set_deadline(machine, 3, 300)
        await old.follow(machine)
        set_deadline(machine, 5, 500)
        # The new node never had version 3, so that it knows no way from there.
        await new.follow(machine)
        new.peers.send("old", Probe("s"))
        await asyncio.sleep(0.1)
        return old.state.version, old.read_deadline()

    assert run_paused(run()) == (5, 500)


@pytest.mark.parametrize("tree", [b"\xc1", b"", msgspec.msgpack.encode(["tree", 1])])
def test_unreadable_settings_change_nothing(network, machine, tree):
    async def run():
        node = Node(network, "n0")
        set_deadline(machine, 3, 300)
        await node.follow(machine)
        await node.channel.put_in_force(SettingsUpdate(4, tree or b"\x00", 0, None))
        return node.state.version, node.read_deadline(), node.channel.refused

    assert run_paused(run()) == (3, 300, 1)


def test_restarted_node_begins_with_what_it_had(network, machine):
    async def run():
        disk = MemoryDisk()
        node = Node(network, "n0", disk)
        for index in range(1, 301):
            set_deadline(machine, index, 1000 + index)
            await node.follow(machine)
        await asyncio.sleep(1.0)
        restarted = Node(network, "n0", disk.cut_power(random.Random(1)))
        await restarted.channel.load()
        return restarted.state.version, restarted.read_deadline()

    assert run_paused(run()) == (300, 1300)


@pytest.mark.parametrize("seed", range(5))
def test_version_once_in_force_survives_a_loss_of_power(network, machine, seed):
    async def run():
        disk = MemoryDisk(sync_delay_s=0.02)
        node = Node(network, "n0", disk)
        await node.channel.load()
        set_deadline(machine, 6, 600)
        await node.follow(machine)
        set_deadline(machine, 7, 700)
        following = asyncio.ensure_future(node.follow(machine))
        while node.state.version < 7:
            await asyncio.sleep(0.001)
        restarted = Node(network, "n0", disk.cut_power(random.Random(seed)))
        await restarted.channel.load()
        await following
        return restarted.state.version, restarted.read_deadline()

    assert run_paused(run()) == (7, 700)


def test_disk_that_never_answers_holds_up_no_settings(network, machine):
    async def run():
        disk = MemoryDisk(sync_delay_s=1e6)
        node = Node(network, "n0", disk)
        failures = []
        node.channel._on_save_failed = failures.append
        loop = asyncio.get_running_loop()
        begin = loop.time()
        for version in (6, 7):
            set_deadline(machine, version, 100 * version)
            await node.follow(machine)
        return loop.time() - begin, node.read_deadline(), len(failures)

    taken, deadline_ms, failures = run_paused(run())
    assert (deadline_ms, failures) == (700, 2)
    assert taken < 2.0  # an edit is in force within seconds


def test_last_of_several_versions_is_kept_once_the_disk_answers(network, machine):
    async def run():
        disk = MemoryDisk(sync_delay_s=5.0)
        node = Node(network, "n0", disk)
        for version in (6, 7, 8):
            set_deadline(machine, version, 100 * version)
            await node.follow(machine)
        await asyncio.sleep(60.0)
        restarted = Node(network, "n0", disk.copy())
        await restarted.channel.load()
        return restarted.read_deadline()

    assert run_paused(run()) == 800


def test_refused_update_is_not_kept(network, machine):
    async def run():
        disk = MemoryDisk()
        node = Node(network, "n0", disk)
        set_deadline(machine, 6, 600)
        await node.follow(machine)
        before = disk.boundaries
        await node.channel.put_in_force(SettingsUpdate(7, b"\xc1", 0, None))
        return disk.boundaries - before

    assert run_paused(run()) == 0


def test_control_machine_survives_snapshot(machine):
    set_deadline(machine, 3, 300)
    restored = ControlMachine()
    restored.restore(machine.snapshot())
    assert restored.version == 3
    assert restored.snapshot() == machine.snapshot()


def change_group(machine, index, name, epoch):
    holders = (GroupHolder(f"node-{index}", "1", "domain"),)
    change = GroupChange(name, epoch, holders)
    machine.apply(index, GROUP_PREFIX + msgspec.msgpack.encode(change))


def test_followers_get_only_the_groups_that_changed(network, machine):
    first, second, late = (StateInForce() for _ in range(3))
    sent = []

    def follow(state, source):
        update = source.make_update(state.view.version, state.groups_version)
        sent.append([group.name for group in update.groups or ()])
        state.apply(update)

    change_group(machine, 1, "a", 0)
    change_group(machine, 2, "b", 0)
    follow(first, machine)
    follow(second, first)
    change_group(machine, 3, "b", 1)
    follow(first, machine)
    follow(second, first)
    change_group(machine, 4, "c", 0)
    follow(first, machine)
    follow(second, machine)
    follow(late, second)
    assert sent == [["a", "b"], ["a", "b"], ["b"], ["b"], ["c"], ["c"], ["a", "b", "c"]]
    groups = [[state.get_group(name) for name in "abc"] for state in (first, late)]
    assert groups == [machine.groups.list_groups()] * 2


def test_restored_machine_sends_every_group_that_may_have_changed(machine):
    change_group(machine, 1, "a", 0)
    state = StateInForce()
    state.apply(machine.make_update(0, 0))
    change_group(machine, 2, "a", 1)
    restored = ControlMachine()
    restored.restore(machine.snapshot())
    state.apply(restored.make_update(0, state.groups_version))
    assert state.get_group("a") == machine.groups.get_group("a")


def test_failed_save_is_reported(network, machine):
    async def run():
        disk, failures = MemoryDisk(), []
        disk.sync_fails = True
        node = Node(network, "n0", disk)
        node.channel._on_save_failed = failures.append
        set_deadline(machine, 3, 300)
        await node.follow(machine)
        await asyncio.sleep(1.0)
        return node.read_deadline(), len(failures)

    assert run_paused(run()) == (300, 1)


def test_peer_that_does_not_answer_holds_up_no_newer_settings(network, machine):
    async def run():
        node = Node(network, "node")
        # One neighbour tells of newer settings and then is never heard again.
        silent, source = Peers(network.open_endpoint("mute"), "mute", lambda: 9), None
        silent.start()
        silent.send("node", Probe("s"))
        await asyncio.sleep(0.3)
        source = Node(network, "source")
        set_deadline(machine, 7, 700)
        await source.follow(machine)
        source.peers.send("node", Probe("s"))
        await asyncio.sleep(0.1)
        return node.read_deadline()

    assert run_paused(run()) == 700
