import asyncio
import random
import zlib

import msgspec
import pytest

from sapphireway_coordination import (
    GROUP_PREFIX,
    ROUTE_PREFIX,
    TREE_PREFIX,
    AppliedState,
    ControlHostList,
    ControlMachine,
    Directory,
    GroupChange,
    Membership,
    SettingsChannel,
)
from sapphireway_protocol import (
    FetchSettings,
    GroupHolder,
    NodeEntry,
    Peers,
    Probe,
    ServerEntry,
    SettingsUpdate,
)
from sapphireway_state import (
    Edit,
    Publish,
    RequestKind,
    Route,
    RouteTable,
    RouteTarget,
    ServiceSpec,
    SetValue,
    UpdateResult,
    encode_publish,
)
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
        self.state = AppliedState()
        self.peers = Peers(
            network.open_endpoint(address), address, lambda: self.state.version
        )
        self.channel = SettingsChannel(
            self.peers, self.state, self.count_change, lambda: 5.0, disk
        )
        self.peers.observe = self.channel.observe
        self.peers.start()

    def count_change(self):
        self.changes += 1

    async def sync_from(self, machine):
        update = machine.make_update(self.state.view.version, self.state.groups_version)
        return await self.channel.save_and_apply(update)

    def read_deadline(self):
        return self.state.view.resolve("domain", "service", "kind").deadline_ms


def test_newer_version_propagates_with_any_message(network, machine):
    async def run():
        nodes = [Node(network, f"n{i}") for i in range(5)]
        set_deadline(machine, 7, 1234)
        await nodes[0].sync_from(machine)
        for i in range(4):
            nodes[i].peers.send(f"n{i + 1}", Probe("s"))
            await asyncio.sleep(0.1)
        return [(node.state.version, node.read_deadline()) for node in nodes]

    assert run_paused(run()) == [(7, 1234)] * 5


def test_update_fetched_by_many_peers_is_encoded_once(network, machine):
    async def run():
        nodes = [Node(network, f"n{i}") for i in range(5)]
        source = nodes[0]
        requested = []
        make_update = AppliedState.make_update

        class CountingState(AppliedState):
            __slots__ = ()

            def make_update(self, *versions):
                requested.append(versions)
                return make_update(self, *versions)

        source.state.__class__ = CountingState
        for version in (7, 8):
            set_deadline(machine, version, 100 * version)
            await source.sync_from(machine)
            for node in nodes[1:]:
                source.peers.send(node.peers.address, Probe("s"))
            await asyncio.sleep(0.1)
        return requested, [node.read_deadline() for node in nodes]

    expected = [(0, 0, 0, 0, True), (7, 0, 0, 0, True)]
    assert run_paused(run()) == (expected, [800] * 5)


def test_fetch_reports_peer_size_and_duration(network, machine):
    async def run():
        source, node = Node(network, "source"), Node(network, "node")
        fetched = []
        node.channel._on_fetched = lambda *fields: fetched.append(fields)
        set_deadline(machine, 7, 700)
        await source.sync_from(machine)
        source.peers.send("node", Probe("s"))
        await asyncio.sleep(0.1)
        return fetched

    ((peer, size, took_s),) = run_paused(run())
    assert peer == "source"
    assert size > 0
    assert took_s == pytest.approx(0.001)  # one round trip


def test_settings_fetched_from_nodes_without_control_host(network, machine):
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
                on_failover=nodes[name].channel.fetch_from,
            )
            membership.set_servers([ServerEntry(f"s-{name}", "s", name, 6)])
            membership.get_members("s")
            tasks.append(asyncio.ensure_future(membership.run()))
        await asyncio.sleep(3)
        network.cut("b", "control")
        network.cut("control", "b")
        set_deadline(machine, 7, 700)
        await nodes["control"].sync_from(machine)
        await asyncio.sleep(5)
        for task in tasks:
            task.cancel()
        return [nodes[name].read_deadline() for name in ("a", "b")]

    assert run_paused(run()) == [700, 700]


def test_older_version_is_not_applied(network, machine):
    async def run():
        node = Node(network, "n0")
        set_deadline(machine, 6, 600)
        older = machine.make_update(0, 0)
        set_deadline(machine, 7, 700)
        await node.sync_from(machine)
        return await node.channel.save_and_apply(older), node.read_deadline()

    assert run_paused(run()) == (UpdateResult.OLD, 700)


def test_missing_steps_are_replaced_by_whole_tree(network, machine):
    async def run():
        old, new = Node(network, "old"), Node(network, "new")
        set_deadline(machine, 3, 300)
        await old.sync_from(machine)
        set_deadline(machine, 5, 500)
        # The new node never had version 3, so it cannot send the changes since then.
        await new.sync_from(machine)
        new.peers.send("old", Probe("s"))
        await asyncio.sleep(0.1)
        return old.state.version, old.read_deadline()

    assert run_paused(run()) == (5, 500)


@pytest.mark.parametrize("tree", [b"\xc1", b"", msgspec.msgpack.encode(["tree", 1])])
def test_malformed_update_changes_nothing(network, machine, tree):
    async def run():
        node = Node(network, "n0")
        set_deadline(machine, 3, 300)
        await node.sync_from(machine)
        await node.channel.save_and_apply(SettingsUpdate(4, tree or b"\x00", 0, None))
        return node.state.version, node.read_deadline(), node.channel.rejected_updates

    assert run_paused(run()) == (3, 300, 1)


def test_restarted_node_loads_saved_settings(network, machine):
    async def run():
        disk = MemoryDisk()
        node = Node(network, "n0", disk)
        for index in range(1, 301):
            set_deadline(machine, index, 1000 + index)
            await node.sync_from(machine)
        await asyncio.sleep(1.0)
        restarted = Node(network, "n0", disk.cut_power(random.Random(1)))
        await restarted.channel.load()
        return restarted.state.version, restarted.read_deadline()

    assert run_paused(run()) == (300, 1300)


@pytest.mark.parametrize("seed", range(5))
def test_applied_version_survives_power_loss(network, machine, seed):
    async def run():
        disk = MemoryDisk(sync_delay_s=0.02)
        node = Node(network, "n0", disk)
        await node.channel.load()
        set_deadline(machine, 6, 600)
        await node.sync_from(machine)
        set_deadline(machine, 7, 700)
        syncing = asyncio.ensure_future(node.sync_from(machine))
        while node.state.version < 7:
            await asyncio.sleep(0.001)
        restarted = Node(network, "n0", disk.cut_power(random.Random(seed)))
        await restarted.channel.load()
        await syncing
        return restarted.state.version, restarted.read_deadline()

    assert run_paused(run()) == (7, 700)


def test_hanging_disk_does_not_block_settings(network, machine):
    async def run():
        disk = MemoryDisk(sync_delay_s=1e6)
        node = Node(network, "n0", disk)
        failures = []
        node.channel._on_save_failed = failures.append
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        for version in (6, 7):
            set_deadline(machine, version, 100 * version)
            await node.sync_from(machine)
        return loop.time() - started_s, node.read_deadline(), len(failures)

    elapsed_s, deadline_ms, failures = run_paused(run())
    assert (deadline_ms, failures) == (700, 2)
    assert elapsed_s < 2.0  # an edit has to be in force within seconds


def test_slow_disk_saves_latest_version(network, machine):
    async def run():
        disk = MemoryDisk(sync_delay_s=5.0)
        node = Node(network, "n0", disk)
        for version in (6, 7, 8):
            set_deadline(machine, version, 100 * version)
            await node.sync_from(machine)
        await asyncio.sleep(60.0)
        restarted = Node(network, "n0", disk.copy())
        await restarted.channel.load()
        return restarted.read_deadline()

    assert run_paused(run()) == 800


def test_rejected_update_is_not_saved(network, machine):
    async def run():
        disk = MemoryDisk()
        node = Node(network, "n0", disk)
        set_deadline(machine, 6, 600)
        await node.sync_from(machine)
        before = disk.boundaries
        await node.channel.save_and_apply(SettingsUpdate(7, b"\xc1", 0, None))
        return disk.boundaries - before

    assert run_paused(run()) == 0


@pytest.mark.parametrize(
    "query",
    [GROUP_PREFIX + b"\xff", ROUTE_PREFIX + b"\xff", TREE_PREFIX + b"\xff", b""],
)
def test_malformed_query_is_answered(machine, query):
    """An exception in a query stops the control host, and its process."""
    assert isinstance(machine.read(query), bytes)


def test_control_machine_snapshot_round_trip(machine):
    set_deadline(machine, 3, 300)
    restored = ControlMachine()
    restored.restore(machine.snapshot())
    assert restored.version == 3
    assert restored.snapshot() == machine.snapshot()


def change_group(machine, index, name, epoch):
    holders = (GroupHolder(f"node-{index}", "1", "domain"),)
    change = GroupChange(name, epoch, holders)
    machine.apply(index, GROUP_PREFIX + msgspec.msgpack.encode(change))


def test_update_contains_only_changed_groups(network, machine):
    first, second, late = (AppliedState() for _ in range(3))
    sent = []

    def sync(state, source):
        update = source.make_update(state.view.version, state.groups_version)
        sent.append([group.name for group in update.groups or ()])
        state.apply(update)

    change_group(machine, 1, "a", 0)
    change_group(machine, 2, "b", 0)
    sync(first, machine)
    sync(second, first)
    change_group(machine, 3, "b", 1)
    sync(first, machine)
    sync(second, first)
    change_group(machine, 4, "c", 0)
    sync(first, machine)
    sync(second, machine)
    sync(late, second)
    assert sent == [["a", "b"], ["a", "b"], ["b"], ["b"], ["c"], ["c"], ["a", "b", "c"]]
    groups = [[state.get_group(name) for name in "abc"] for state in (first, late)]
    assert groups == [machine.groups.list_groups()] * 2


def test_restored_machine_sends_groups_changed_before_snapshot(machine):
    change_group(machine, 1, "a", 0)
    state = AppliedState()
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
        await node.sync_from(machine)
        await asyncio.sleep(1.0)
        return node.read_deadline(), len(failures)

    assert run_paused(run()) == (300, 1)


@pytest.mark.parametrize("fault", ["full", "failing"])
def test_version_is_saved_once_the_disk_works_again(network, machine, fault):
    """Else a restart brings back older settings until the next edit."""

    async def run():
        disk = MemoryDisk()
        node = Node(network, "n0", disk)
        set_deadline(machine, 3, 300)
        await node.sync_from(machine)
        if fault == "full":
            disk.capacity_bytes = 0
        else:
            disk.sync_fails = True
        set_deadline(machine, 4, 400)
        await node.sync_from(machine)
        await asyncio.sleep(5.0)
        disk.capacity_bytes, disk.sync_fails = None, False
        await asyncio.sleep(3.0)
        restarted = Node(network, "n1", disk.cut_power(random.Random(0)))
        await restarted.channel.load()
        return node.state.version, restarted.state.version

    assert run_paused(run()) == (4, 4)


class CountingDisk(MemoryDisk):
    replaced = 0

    async def replace(self, name, data):
        self.replaced += 1
        return await super().replace(name, data)


def test_save_that_fails_after_the_close_is_not_tried_again(network, machine):
    async def run():
        disk = CountingDisk(sync_delay_s=1.0)
        disk.sync_fails = True
        node = Node(network, "n0", disk)
        set_deadline(machine, 3, 300)
        await node.sync_from(machine)  # waits for half a second
        node.channel.close()
        await asyncio.sleep(10.0)
        return disk.replaced

    assert run_paused(run()) == 1


def test_silent_peer_does_not_block_fetch_from_others(network, machine):
    async def run():
        node = Node(network, "node")
        # One peer announces newer settings and then never answers.
        silent, source = Peers(network.open_endpoint("mute"), "mute", lambda: 9), None
        silent.start()
        silent.send("node", Probe("s"))
        await asyncio.sleep(0.3)
        source = Node(network, "source")
        set_deadline(machine, 7, 700)
        await source.sync_from(machine)
        source.peers.send("node", Probe("s"))
        await asyncio.sleep(0.1)
        return node.read_deadline()

    assert run_paused(run()) == 700


def publish_routes(machine, index, count):
    routes = tuple(
        Route(
            f"r{i:x}-{random.Random(i).randbytes(6).hex()}",
            "host",
            f"/{i:x}/",
            RequestKind.IDEMPOTENT,
            1000.0,
            (RouteTarget("s"),),
        )
        for i in range(count)
    )
    current = machine.routes.table.number
    table = RouteTable(current + 1, (ServiceSpec("s"),), ("host",), routes)
    order = Publish(b"%d" % index, current, table)
    machine.apply(index, ROUTE_PREFIX + encode_publish(order))


def test_copies_of_a_request_get_one_large_reply(network, machine):
    # Guards against copies of a table that fill the link of a slow node.
    async def run():
        source, node = Node(network, "source"), Node(network, "node")
        publish_routes(machine, 3, 2000)
        await source.sync_from(machine)
        network.rates["node"] = 25_000  # the table takes longer than a request waits
        before = network.bytes_sent
        source.peers.send("node", Probe("s"))
        await asyncio.sleep(5.0)
        size = len(zlib.compress(msgspec.msgpack.encode(machine.make_update(0, 0))))
        return node.state.version, size, network.bytes_sent - before

    version, size, sent = run_paused(run())
    assert version == 3
    assert size > 25_000
    assert sent < 1.5 * size


def test_change_of_one_route_sends_that_route_only(network, machine):
    # Guards against tables of thousands of routes that are sent whole for each change.
    async def run():
        source, node = Node(network, "source"), Node(network, "node")
        sent = []
        for index, count in ((3, 2000), (4, 2001)):
            publish_routes(machine, index, count)
            update = machine.make_update(0, 0, source.state.routes.version)
            await source.channel.save_and_apply(update)
            before = network.bytes_sent
            source.peers.send("node", Probe("s"))
            await asyncio.sleep(1.0)
            sent.append(network.bytes_sent - before)
        return node.state.routes.table, sent

    table, (whole, change) = run_paused(run())
    assert table == machine.routes.table
    assert change < whole / 20


def test_patch_of_another_table_is_replaced_by_the_whole_one(network, machine):
    async def run():
        source, node = Node(network, "source"), Node(network, "node")
        other = ControlMachine()
        publish_routes(other, 3, 5)
        await node.channel.save_and_apply(other.make_update(0, 0))
        for index, count in ((3, 7), (4, 8)):
            publish_routes(machine, index, count)
            update = machine.make_update(0, 0, source.state.routes.version)
            await source.channel.save_and_apply(update)
        source.peers.send("node", Probe("s"))
        await asyncio.sleep(1.0)
        return node.state.routes.table

    assert run_paused(run()) == machine.routes.table


def test_peer_of_an_earlier_release_gets_the_whole_table(machine):
    state = AppliedState()
    for index, count in ((3, 7), (4, 8)):
        publish_routes(machine, index, count)
        state.apply(machine.make_update(0, 0, state.routes.version))
    content = msgspec.msgpack.encode(["fetch_settings", 3, 0, 0, 3])
    request = msgspec.msgpack.decode(content, type=FetchSettings)
    update = state.make_update(0, 0, 3, 0, request.accepts_patch)
    assert update.routes_since == 0
    assert msgspec.msgpack.decode(update.routes, type=RouteTable) == state.routes.table
