"""Cost of the control plane by cluster size: ``python -m benchmarks.capacity``.

The real membership, settings, claims and quorum code of all nodes runs in one
process on the paused clock, over in-memory links and through the real codec. The
processor time of each callback is attributed to the process that would have run it;
it includes neither sockets nor the event loop (see `benchmarks.processes`).
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
IDLE_S = 5.0
EDITS = 5
EDIT_SPACING_S = 2.0
RESTART_S = 5.0
PARTITION_S = 5.0
HEAL_S = 5.0
GC_THRESHOLD_0 = 200_000
GC_THRESHOLD_1 = 20
GC_THRESHOLD_2 = 1_000

_current_process = contextvars.ContextVar("process", default="")


class CountingNetwork(MemoryNetwork):
    """Counts messages, bytes and processor seconds by address."""

    def __init__(self, rng):
        super().__init__(rng)
        self.contexts = {}
        self.messages = Counter()
        self.bytes = Counter()
        self.processor_s = Counter()

    def transmit(self, sender, receiver, frames):
        """Attribute a message to its sender."""
        self.messages[sender] += 1
        self.bytes[sender] += sum(map(len, frames))
        return super().transmit(sender, receiver, frames)

    def _deliver(self, sender, receiver, frames):
        context = self.contexts.get(receiver)
        if context is None:
            return
        started_s = time.thread_time()
        context.copy().run(super()._deliver, sender, receiver, frames)
        took_s = time.thread_time() - started_s
        # The timer of a delivery runs in the context of the sender.
        self.processor_s[receiver] += took_s
        self.processor_s[sender] -= took_s

    def time_callbacks(self):
        """Attribute the time of each callback to the process of its context.

        Returns a function that stops the attribution.
        """
        run = events.Handle._run

        def run_timed(handle):
            started_s = time.thread_time()
            run(handle)
            process = handle._context.get(_current_process, "")
            self.processor_s[process] += time.thread_time() - started_s

        events.Handle._run = run_timed
        return lambda: setattr(events.Handle, "_run", run)


@dataclass(slots=True)
class Process:
    """Control plane components of one node or control host."""

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
    """Simulated nodes and control hosts.

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
        self.applied_versions = {}

    def start(self) -> None:
        """Start every process."""
        for address in (*self.control_hosts, *self.nodes):
            self.start_process(address)

    def start_process(self, address: str) -> None:
        """Start or restart one process."""
        self.kill(address)
        context = contextvars.copy_context()
        context.run(_current_process.set, address)
        self.network.contexts[address] = context
        context.run(self._build, address)

    def kill(self, address: str) -> None:
        """Kill a process."""
        process = self.processes.pop(address, None)
        if process is None:
            return
        self.network.contexts.pop(address, None)
        process.peers.close()
        quorum_tasks = list(process.quorum._tasks) if process.quorum else []
        for task in (*process.tasks, *quorum_tasks):
            task.cancel()

    def locate(self, address: str) -> tuple[int, int]:
        """Return the numbers of the domain and region of an address."""
        domain = int(address[1:]) % DOMAINS
        return domain, domain % REGIONS

    def find_leader(self) -> Process | None:
        """Return the control host that is the leader."""
        for address in self.control_hosts:
            process = self.processes.get(address)
            if process and process.quorum.get_status().role is Role.LEADER:
                return process
        return None

    async def edit(self, number: int) -> bool:
        """Propose a small edit, or the whole tree if there is none yet.

        Returns whether it was committed.
        """
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

        def record_version():
            now_s = asyncio.get_running_loop().time()
            self.applied_versions[address] = (state.version, now_s)

        channel = SettingsChannel(peers, state, record_version, lambda: 0.0)
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
            self._follow_services(process)
        peers.start()
        process.tasks.append(asyncio.ensure_future(membership.run()))

    def _follow_services(self, process):
        number = int(process.address[1:])
        own_service = number // SERVERS_PER_SERVICE % self.services
        server = ServerEntry(
            f"s{number}", f"s{own_service}", process.peers.incarnation, 6
        )
        process.membership.set_servers([server])
        for step in range(min(FOLLOWED_SERVICES, self.services)):
            process.membership.get_members(f"s{(own_service + step) % self.services}")

    def _build_control(self, process, channel):
        peers, state = process.peers, process.state
        process.directory = Directory(peers, ControlHostList(self.control_hosts))

        def schedule_update():
            asyncio.get_running_loop().call_soon(update)

        def update():
            versions = state.view.version, state.groups_version
            applying = channel.save_and_apply(machine.make_update(*versions))
            task = asyncio.ensure_future(applying)
            process.tasks.append(task)
            task.add_done_callback(process.tasks.remove)

        process.machine = machine = ControlMachine(schedule_update)
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
    """Snapshot of the counters, by address."""

    messages: Counter
    bytes: Counter
    processor_s: Counter


def read_usage(fleet):
    """Return a snapshot of the counters."""
    network = fleet.network
    return Usage(
        network.messages.copy(), network.bytes.copy(), network.processor_s.copy()
    )


def print_usage(fleet, phase, before, divisor, note=""):
    """Print the usage of each role since `before`, divided by `divisor`."""
    after = read_usage(fleet)
    for role, addresses in (("node", fleet.nodes), ("control", fleet.control_hosts)):
        rows = []
        for name in ("messages", "bytes", "processor_s"):
            later, earlier = getattr(after, name), getattr(before, name)
            used = [(later[a] - earlier[a]) / divisor for a in addresses]
            rows.append((sum(used) / len(used), max(used)))
        (messages, _), (sent, sent_max), (busy, busy_max) = rows
        print(
            f"{len(fleet.nodes):>5} {phase:<8} {role:<8} {messages:9.2f} messages"
            f" {sent:10.0f} B (max {sent_max:10.0f}) {busy * 1000:9.3f} ms"
            f" (max {busy_max * 1000:9.3f}) {note}",
            flush=True,
        )


async def run_phases(nodes):
    """Run all phases at one cluster size and print their rows."""
    fleet = Fleet(nodes)
    stop_timing = fleet.network.time_callbacks()
    # A full collection traverses the objects of all nodes, and its time would be
    # attributed to the process that runs at that moment.
    gc.set_threshold(GC_THRESHOLD_0, GC_THRESHOLD_1, GC_THRESHOLD_2)
    try:
        fleet.start()
        await fleet.edit(0)
        await asyncio.sleep(SETTLE_S)
        gc.collect()
        gc.freeze()
        await measure_idle(fleet)
        await measure_edits(fleet)
        await measure_restart(fleet)
        await measure_control_host_restart(fleet)
        await measure_partition(fleet)
    finally:
        stop_timing()
        gc.unfreeze()


async def measure_idle(fleet):
    """Print the usage per second without edits."""
    before = read_usage(fleet)
    await asyncio.sleep(IDLE_S)
    print_usage(fleet, "idle", before, IDLE_S, "per second")


async def measure_edits(fleet):
    """Print the usage per edit, including the idle time around it."""
    before = read_usage(fleet)
    for number in range(EDITS):
        await fleet.edit(number + 1)
        await asyncio.sleep(EDIT_SPACING_S)
    note = f"per edit with {EDIT_SPACING_S:g} s of idle time"
    print_usage(fleet, "edit", before, EDITS, note)


async def measure_restart(fleet):
    """Print the usage after a restart of all nodes of one domain."""
    before = read_usage(fleet)
    for address in fleet.nodes:
        if fleet.locate(address)[0] == 0:
            fleet.start_process(address)
    await asyncio.sleep(RESTART_S)
    print_usage(fleet, "restart", before, 1, f"one domain's nodes, {RESTART_S:g} s")


async def measure_control_host_restart(fleet):
    """Print the usage after a restart of one control host."""
    before = read_usage(fleet)
    fleet.disks["c1"] = fleet.disks["c1"].cut_power(fleet.rng)
    fleet.start_process("c1")
    await asyncio.sleep(RESTART_S)
    print_usage(fleet, "dir", before, 1, f"one control host's restart, {RESTART_S:g} s")


async def measure_partition(fleet):
    """Print the usage during a partition between two regions and after it."""
    all_addresses = [*fleet.control_hosts, *fleet.nodes]
    first = [a for a in all_addresses if fleet.locate(a)[1] == 0]
    second = [a for a in all_addresses if fleet.locate(a)[1] == 1]
    for one in first:
        for other in second:
            fleet.network.cut(one, other)
            fleet.network.cut(other, one)
    before = read_usage(fleet)
    await asyncio.sleep(PARTITION_S)
    print_usage(
        fleet, "cut", before, PARTITION_S, "per second, two regions partitioned"
    )
    fleet.network.heal_all()
    before = read_usage(fleet)
    await asyncio.sleep(HEAL_S)
    print_usage(fleet, "heal", before, HEAL_S, "per second after healing")


def print_memory(label, build):
    """Print the memory that the result of `build` occupies."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(f"memory {held_bytes / 1024:10.1f} KB  {label}", flush=True)
    return built


def build_leases(count):
    """Return a directory's lease table with entries decoded from renewals."""
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
    """Return the entries and the index that a node stores of followed members."""
    leases = build_leases(count).list_all()
    entries = {lease.entry.node: lease.entry for lease in leases}
    return entries, index_members(entries.values())


def build_state():
    """Return a node's applied settings after some lookups, and the control machine."""
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
    print_memory(f"directory with {count} leases", lambda: build_leases(count))
    followed = FOLLOWED_SERVICES * SERVERS_PER_SERVICE
    print_memory(f"node with {followed} members", lambda: build_members(followed))
    print_memory("settings tree of a node", lambda: build_state()[0])
    print_memory("settings tree of a node and machine of a control host", build_state)


def main(sizes=SIZES):
    """Print the memory of each role's state and the rows of each size."""
    measure_memory()
    for size in sizes:
        run_paused(run_phases(size))


if __name__ == "__main__":
    main(tuple(map(int, sys.argv[1:])) or SIZES)
