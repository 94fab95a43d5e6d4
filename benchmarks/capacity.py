"""Costs of control as slopes over size: ``python -m benchmarks.capacity``.

The real membership, settings, claims and quorum code of all nodes runs in one
process on the paused clock, over in-memory links and through the real codec. Each
callback's processor time counts for the process that would have run it; sockets and
the event loop itself are not in it (see `benchmarks.processes`).
"""

import asyncio
import contextvars
import gc
import random
import sys
import time
import tracemalloc
from asyncio import events
from collections import Counter
from dataclasses import dataclass, field

import msgspec

from benchmarks.settings_tree import build_tree
from sapphireway_coordination import (
    GROUP_PREFIX,
    TREE_PREFIX,
    AppliedState,
    ClaimGroupController,
    ClaimHolder,
    ControlClient,
    ControlHostList,
    ControlMachine,
    Directory,
    GroupControllerSettings,
    HolderSettings,
    Membership,
    Quorum,
    ReadResult,
    Role,
    SettingsChannel,
    index_members,
)
from sapphireway_protocol import ClaimGroup, NodeEntry, Peers, ServerEntry
from sapphireway_state import Edit, LeaseTable, SetValue
from sapphireway_transport.memory import MemoryDisk, MemoryNetwork, run_paused

SIZES = (12, 50, 200, 800, 2400)
CONTROL_HOSTS = 7
DOMAINS = 16
REGIONS = 5
SERVICES_MAX = 230
SERVERS_PER_SERVICE = 10
FOLLOWED_SERVICES = 9
SETTLE_S = 8.0
REST_S = 5.0
EDITS = 5
EDIT_SPACING_S = 2.0
RESTART_S = 5.0
CUT_S = 5.0
HEAL_S = 5.0
YOUNG_OBJECTS = 200_000
YOUNG_COLLECTIONS = 20
MIDDLE_COLLECTIONS = 1_000

_process = contextvars.ContextVar("process", default="")


class CountingNetwork(MemoryNetwork):
    """Counts messages, bytes and processor seconds for each address."""

    def __init__(self, rng):
        super().__init__(rng)
        self.contexts = {}
        self.messages = Counter()
        self.bytes = Counter()
        self.processor_s = Counter()

    def carry(self, sender, receiver, frames):
        """Count a message for its sender."""
        self.messages[sender] += 1
        self.bytes[sender] += sum(map(len, frames))
        return super().carry(sender, receiver, frames)

    def _deliver(self, sender, receiver, frames):
        context = self.contexts.get(receiver)
        if context is None:
            return
        began_s = time.thread_time()
        context.copy().run(super()._deliver, sender, receiver, frames)
        took_s = time.thread_time() - began_s
        # The timer of a delivery belongs to the sender.
        self.processor_s[receiver] += took_s
        self.processor_s[sender] -= took_s

    def time_callbacks(self):
        """Count the time of each callback for the process of its context."""
        run = events.Handle._run

        def run_timed(handle):
            began_s = time.thread_time()
            run(handle)
            process = handle._context.get(_process, "")
            self.processor_s[process] += time.thread_time() - began_s

        events.Handle._run = run_timed
        return lambda: setattr(events.Handle, "_run", run)


@dataclass(slots=True)
class Process:
    """The parts of one node or control host that belong to control."""

    address: str
    peers: Peers
    state: AppliedState
    holder: ClaimHolder
    membership: Membership
    machine: ControlMachine | None = None
    quorum: Quorum | None = None
    directory: Directory | None = None
    tasks: list[asyncio.Task] = field(default_factory=list)


class Fleet:
    """Nodes and control hosts.

    Parameters
    ----------
    nodes : int
    seed : int
    """

    def __init__(self, nodes: int, seed: int = 1):
        self.rng = random.Random(seed)
        self.network = CountingNetwork(random.Random(seed + 1))
        self.control_hosts = [f"c{i}" for i in range(CONTROL_HOSTS)]
        self.nodes = [f"n{i}" for i in range(nodes)]
        self.services = max(1, min(SERVICES_MAX, -(-nodes // SERVERS_PER_SERVICE)))
        self.processes = {}
        self.disks = {}
        self.starts = 0
        self.in_force_s = {}

    def start(self) -> None:
        """Start every process."""
        for address in (*self.control_hosts, *self.nodes):
            self.start_process(address)

    def start_process(self, address: str) -> None:
        """Start or restart one process."""
        self.kill(address)
        context = contextvars.copy_context()
        context.run(_process.set, address)
        self.network.contexts[address] = context
        context.run(self._build, address)

    def kill(self, address: str) -> None:
        """End a process without notice."""
        process = self.processes.pop(address, None)
        if process is None:
            return
        self.network.contexts.pop(address, None)
        process.peers.close()
        quorum_tasks = list(process.quorum._tasks) if process.quorum else []
        for task in (*process.tasks, *quorum_tasks):
            task.cancel()

    def locate(self, address: str) -> tuple[int, int]:
        """Return the numbers of an address's domain and region."""
        domain = int(address[1:]) % DOMAINS
        return domain, domain % REGIONS

    def find_leader(self) -> Process | None:
        """Return the control host that leads."""
        for address in self.control_hosts:
            process = self.processes.get(address)
            if process and process.quorum.get_status().role is Role.LEADER:
                return process
        return None

    async def edit(self, number: int) -> bool:
        """Commit one small edit; the first one sets the whole tree."""
        leader = self.find_leader()
        while leader is None or leader.quorum.get_status().commit_index == 0:
            await asyncio.sleep(0.1)
            leader = self.find_leader()
        version = leader.machine.settings.version
        operations = [SetValue("deadline_ms", 1000 + number)]
        if version == 0:
            operations = [SetValue("", build_tree())]
        edit = Edit(f"e{number}-{version}", version, operations, "operator")
        command = TREE_PREFIX + msgspec.msgpack.encode(edit)
        result = await leader.quorum.propose(command)
        return type(result).__name__ == "Committed"

    def _build(self, address):
        self.starts += 1
        incarnation = f"{self.starts:016x}"
        state = None
        peers = Peers(
            self.network.open_endpoint(address), incarnation, lambda: state.version
        )
        client = ControlClient(peers, ControlHostList(self.control_hosts), self.rng)
        holder = ClaimHolder(
            peers, _make_read_group(client), self.rng, HolderSettings()
        )
        state = AppliedState(holder.apply_group)

        def note():
            now_s = asyncio.get_running_loop().time()
            self.in_force_s[address] = (state.version, now_s)

        channel = SettingsChannel(peers, state, note, lambda: 0.0)
        peers.observe = channel.observe
        domain, region = self.locate(address)
        entry = NodeEntry(
            address,
            f"domain-{domain}",
            f"region-{region}",
            incarnation,
            float(self.starts),
            0,
            [],
        )
        membership = Membership(
            peers,
            ControlHostList(self.control_hosts),
            entry,
            self.rng,
            on_failover=channel.fetch_from,
        )
        process = Process(address, peers, state, holder, membership)
        self.processes[address] = process
        if address in self.control_hosts:
            self._build_control(process, channel)
        else:
            self._follow(process)
        peers.start()
        process.tasks.append(asyncio.ensure_future(membership.run()))

    def _follow(self, process):
        number = int(process.address[1:])
        own = number // SERVERS_PER_SERVICE % self.services
        server = ServerEntry(f"s{number}", f"s{own}", process.peers.incarnation, 6)
        process.membership.set_servers([server])
        for step in range(min(FOLLOWED_SERVICES, self.services)):
            process.membership.get_members(f"s{(own + step) % self.services}")

    def _build_control(self, process, channel):
        peers, state = process.peers, process.state
        process.directory = Directory(peers, ControlHostList(self.control_hosts))

        def note_change():
            asyncio.get_running_loop().call_soon(update)

        def update():
            versions = state.view.version, state.groups_version
            channel.save_and_apply(machine.make_update(*versions))

        process.machine = machine = ControlMachine(note_change)
        disk = self.disks.setdefault(process.address, MemoryDisk())
        process.quorum = Quorum(
            peers, disk, machine, self.control_hosts, self.rng, bootstrap=True
        )
        process.quorum.serve_queries(machine.read)
        process.tasks.append(asyncio.ensure_future(self._run_control(process)))

    async def _run_control(self, process):
        machine, quorum = process.machine, process.quorum

        def is_leader():
            return quorum.get_status().role is Role.LEADER

        async def propose(command):
            result = await quorum.propose(GROUP_PREFIX + command)
            return getattr(result, "result", None)

        group_controller = ClaimGroupController(
            process.peers,
            lambda: list(machine.settings.tree.get("services", {})),
            process.directory.get_members,
            machine.groups.get_group,
            lambda service: 3600.0,
            propose,
            is_leader,
            GroupControllerSettings(),
        )
        await quorum.start()
        async with asyncio.TaskGroup() as group:
            group.create_task(process.directory.run())
            group.create_task(group_controller.run())


def _make_read_group(client):
    async def read_group(name):
        answer = await client.read(GROUP_PREFIX + name.encode(), 1.0)
        if not isinstance(answer, ReadResult):
            return None
        return msgspec.msgpack.decode(answer.data, type=ClaimGroup | None)

    return read_group


@dataclass(slots=True)
class Usage:
    """Counts at one moment."""

    messages: Counter
    bytes: Counter
    processor_s: Counter


def read_usage(fleet):
    """Return the counts so far."""
    network = fleet.network
    return Usage(
        network.messages.copy(), network.bytes.copy(), network.processor_s.copy()
    )


def show(fleet, phase, before, per_s, note=""):
    """Print what each role used since `before`, divided by `per_s`."""
    after = read_usage(fleet)
    for role, addresses in (("node", fleet.nodes), ("control", fleet.control_hosts)):
        rows = []
        for name in ("messages", "bytes", "processor_s"):
            later, earlier = getattr(after, name), getattr(before, name)
            used = [(later[a] - earlier[a]) / per_s for a in addresses]
            rows.append((sum(used) / len(used), max(used)))
        (messages, _), (sent, sent_max), (busy, busy_max) = rows
        print(
            f"{len(fleet.nodes):>5} {phase:<8} {role:<8} {messages:9.2f} messages"
            f" {sent:10.0f} B (max {sent_max:10.0f}) {busy * 1000:9.3f} ms"
            f" (max {busy_max * 1000:9.3f}) {note}",
            flush=True,
        )


async def run_phases(nodes):
    """Run all phases at one size and print their rows."""
    fleet = Fleet(nodes)
    stop_timing = fleet.network.time_callbacks()
    # A full collection walks the objects of all nodes and would be counted for
    # the one that runs at that moment.
    gc.set_threshold(YOUNG_OBJECTS, YOUNG_COLLECTIONS, MIDDLE_COLLECTIONS)
    try:
        fleet.start()
        await fleet.edit(0)
        await asyncio.sleep(SETTLE_S)
        gc.collect()
        gc.freeze()
        await measure_rest(fleet)
        await measure_edits(fleet)
        await measure_restart(fleet)
        await measure_directory_restart(fleet)
        await measure_cut(fleet)
    finally:
        stop_timing()
        gc.unfreeze()


async def measure_rest(fleet):
    """Print what a second at rest costs."""
    before = read_usage(fleet)
    await asyncio.sleep(REST_S)
    show(fleet, "rest", before, REST_S, "per second")


async def measure_edits(fleet):
    """Print what the time around an edit costs, rest included."""
    before = read_usage(fleet)
    for number in range(EDITS):
        await fleet.edit(number + 1)
        await asyncio.sleep(EDIT_SPACING_S)
    note = f"per edit with {EDIT_SPACING_S:g} s of rest"
    show(fleet, "edit", before, EDITS, note)


async def measure_restart(fleet):
    """Print what the restart of all nodes of one domain costs."""
    before = read_usage(fleet)
    for address in fleet.nodes:
        if fleet.locate(address)[0] == 0:
            fleet.start_process(address)
    await asyncio.sleep(RESTART_S)
    show(fleet, "restart", before, 1, f"one domain's nodes, {RESTART_S:g} s")


async def measure_directory_restart(fleet):
    """Print what the restart of one control host costs."""
    before = read_usage(fleet)
    fleet.disks["c1"] = fleet.disks["c1"].cut_power(fleet.rng)
    fleet.start_process("c1")
    await asyncio.sleep(RESTART_S)
    show(fleet, "dir", before, 1, f"one control host's restart, {RESTART_S:g} s")


async def measure_cut(fleet):
    """Print what it costs that two regions lose each other and find again."""
    everyone = [*fleet.control_hosts, *fleet.nodes]
    first = [a for a in everyone if fleet.locate(a)[1] == 0]
    second = [a for a in everyone if fleet.locate(a)[1] == 1]
    for one in first:
        for other in second:
            fleet.network.cut(one, other)
            fleet.network.cut(other, one)
    before = read_usage(fleet)
    await asyncio.sleep(CUT_S)
    show(fleet, "cut", before, CUT_S, "per second, two regions cut")
    fleet.network.heal_all()
    before = read_usage(fleet)
    await asyncio.sleep(HEAL_S)
    show(fleet, "heal", before, HEAL_S, "per second after healing")


def show_memory(what, build):
    """Print the memory that the result of `build` holds."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"memory {held / 1024:10.1f} KB  {what}", flush=True)
    return kept


def build_leases(count):
    """Return a directory's table of leases as decoded from renewals."""
    table = LeaseTable("c0")
    for number in range(count):
        server = ServerEntry(f"s{number}", f"s{number % SERVICES_MAX}", f"{number}", 6)
        entry = NodeEntry(
            f"n{number}", "domain-0", "region-0", f"{number:016x}", 1.0, 1, [server]
        )
        content = msgspec.msgpack.encode(entry)
        entry = msgspec.msgpack.decode(content, type=NodeEntry)
        lease = table.grant(entry, 0.0)
        lease.services = frozenset(f"s{number + i}" for i in range(FOLLOWED_SERVICES))
    return table


def build_members(count):
    """Return what a node keeps of the members that it follows."""
    leases = build_leases(count).list_all()
    entries = {lease.entry.node: lease.entry for lease in leases}
    return entries, index_members(entries.values())


def build_state():
    """Return the settings tree that a node has in force, used once."""
    machine = ControlMachine()
    edit = Edit("e", 0, [SetValue("", build_tree())], "operator")
    machine.apply(1, TREE_PREFIX + msgspec.msgpack.encode(edit))
    state = AppliedState()
    state.apply(machine.make_update(0, 0))
    for service in range(FOLLOWED_SERVICES):
        state.view.resolve("domain-0", f"s{service}", "k0")
    return state, machine


def measure_memory():
    """Print the memory of each role's state at the target size."""
    count = SERVICES_MAX * SERVERS_PER_SERVICE
    show_memory(f"{count} leases of a directory", lambda: build_leases(count))
    followed = FOLLOWED_SERVICES * SERVERS_PER_SERVICE
    show_memory(f"{followed} members of a node", lambda: build_members(followed))
    show_memory("tree of a node", lambda: build_state()[0])
    show_memory("tree of a node and a control host's machine", build_state)


def main(sizes=SIZES):
    """Print the rows of each size, and the memory of each role's state."""
    measure_memory()
    for size in sizes:
        run_paused(run_phases(size))


if __name__ == "__main__":
    main(tuple(map(int, sys.argv[1:])) or SIZES)
