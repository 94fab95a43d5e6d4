"""Simulated cluster of control hosts with fault injection and invariant checks."""

import asyncio
import random
from dataclasses import dataclass
from functools import partial

import msgspec

from sapphireway_coordination import (
    ControlClient,
    ControlHostList,
    Quorum,
    QuorumSettings,
    Role,
)
from sapphireway_protocol import Peers, decode_msgpack
from sapphireway_state import JournalLimits
from sapphireway_transport.memory import MemoryDisk, MemoryNetwork, PowerCutError

SETTINGS = QuorumSettings(
    limits=JournalLimits(segment_bytes=600, compact_bytes=1_800, command_max_bytes=500)
)


class ListMachine:
    """Collects distinct commands and checks that all hosts apply the same entries."""

    def __init__(self, applied_commands, seed):
        self.applied_commands = applied_commands
        self.seed = seed
        self.commands = []
        self.last_index = 0

    def apply(self, index, command):
        known = self.applied_commands.setdefault(index, command)
        assert known == command, (
            f"seed {self.seed}: committed entry {index} differs between hosts"
        )
        assert index > self.last_index, f"seed {self.seed}: applied out of order"
        self.last_index = index
        if command not in self.commands:
            self.commands.append(command)
        return str(self.commands.index(command)).encode()

    def snapshot(self):
        return msgspec.msgpack.encode(self.commands)

    def can_restore(self, data):
        return decode_msgpack(data, list[bytes]) is not None

    def restore(self, data):
        self.commands = msgspec.msgpack.decode(data, type=list[bytes])

    def query(self, _):
        return self.snapshot()


@dataclass(slots=True)
class Host:
    disk: MemoryDisk
    peers: Peers | None = None
    quorum: Quorum | None = None
    machine: ListMachine | None = None


class Cluster:
    """Control hosts ``c0``, ``c1``, ... on a memory network and memory disks."""

    def __init__(self, size, seed=0, settings=SETTINGS, sync_delay_s=0.002):
        self.seed = seed
        self.rng = random.Random(seed)
        self.settings = settings
        self.sync_delay_s = sync_delay_s
        self.network = MemoryNetwork(random.Random(seed + 1))
        self.addresses = [f"c{i}" for i in range(size)]
        self.hosts = {a: Host(MemoryDisk(sync_delay_s)) for a in self.addresses}
        self.applied_commands = {}
        self.leaders_by_term = {}
        self.crashed_quorums = []
        self.stalls_s = {}
        self.events = []
        self.client_count = 0

    async def start(self, *addresses, bootstrap=True):
        asyncio.get_running_loop().set_exception_handler(ignore_power_cut)
        for address in addresses or self.addresses:
            host = self.hosts.setdefault(address, Host(MemoryDisk(self.sync_delay_s)))
            rng = random.Random(self.rng.random())
            incarnation = f"{self.rng.random()}"
            host.peers = Peers(self.network.open_endpoint(address), incarnation)
            host.machine = self.make_machine()
            host.quorum = Quorum(
                host.peers,
                host.disk,
                host.machine,
                self.addresses,
                rng,
                self.settings,
                bootstrap,
                partial(self.record_event, address),
                partial(self.stalls_s.get, address, 0.0),
            )
            host.quorum.serve_queries(host.machine.query)
            host.peers.start()
            try:
                await host.quorum.start()
            except PowerCutError:
                self.crash(address)

    def make_machine(self):
        return ListMachine(self.applied_commands, self.seed)

    def record_event(self, address, event):
        self.events.append((address, event))

    def list_events(self, address, event_type):
        return [e for a, e in self.events if a == address and type(e) is event_type]

    def crash(self, address):
        """Stop a host by a power cut."""
        host = self.hosts[address]
        if host.quorum is None:
            return
        self.check()
        self.crashed_quorums.append(host.quorum)
        host.peers.close()
        for task in list(host.quorum._tasks):
            task.cancel()
        host.disk = host.disk.cut_power(self.rng)
        host.quorum = None

    async def restart(self, address, disk=None, **kwargs):
        self.crash(address)
        if disk is not None:
            self.hosts[address].disk = disk
        await self.start(address, **kwargs)

    def isolate(self, address):
        for other in [*self.hosts, "client0", "client1", "client2"]:
            self.network.cut(address, other)
            self.network.cut(other, address)

    def open_client(self):
        address = f"client{self.client_count}"
        self.client_count += 1
        peers = Peers(self.network.open_endpoint(address), address)
        peers.start()
        return ControlClient(
            peers, ControlHostList(self.addresses), random.Random(self.rng.random())
        )

    def open_host_client(self, address):
        """Return the client of a control host, which asks its own quorum."""
        host = self.hosts[address]
        client = ControlClient(
            host.peers,
            ControlHostList(self.addresses),
            random.Random(self.rng.random()),
        )
        client.use_local_quorum(host.quorum.find_leader, host.quorum.has_lost_quorum)
        return client

    def status(self, address):
        return self.hosts[address].quorum.get_status()

    def running(self):
        return [h.quorum for h in self.hosts.values() if h.quorum is not None]

    def check(self):
        """Assert that no invariant broke and that each term has at most one leader."""
        for quorum in [*self.running(), *self.crashed_quorums]:
            failure = quorum.failure
            assert failure is None or isinstance(failure, PowerCutError), (
                f"seed {self.seed}: {failure!r}"
            )
        for quorum in self.running():
            status = quorum.get_status()
            if status.role == Role.LEADER:
                known = self.leaders_by_term.setdefault(status.term, status.disk_id)
                assert known == status.disk_id, (
                    f"seed {self.seed}: two leaders in term {status.term}"
                )

    def leader(self):
        """Return the address of the leader of the latest term, or None."""
        leading = [
            (status.term, address)
            for address, host in self.hosts.items()
            if host.quorum is not None
            and (status := host.quorum.get_status()).role == Role.LEADER
        ]
        return max(leading)[1] if leading else None

    def is_healthy(self):
        """Whether a leader exists and the disks of all hosts vote, without learners."""
        leader = self.leader()
        if leader is None:
            return False
        known = self.status(leader)
        if known.learners or {v.address for v in known.voters} != set(self.hosts):
            return False
        statuses = [quorum.get_status() for quorum in self.running()]
        if any(status.role == Role.STARTING for status in statuses):
            return False
        disks = {status.disk_id for status in statuses}
        return {v.disk_id for v in known.voters} == disks

    async def wait_until(self, predicate, timeout_s=60.0, poll_s=0.05):
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while not predicate():
            self.check()
            assert loop.time() < deadline_s, f"seed {self.seed}: {self.describe()}"
            await asyncio.sleep(poll_s)

    def describe(self):
        return [
            (address, host.quorum and host.quorum.get_status())
            for address, host in self.hosts.items()
        ]


def ignore_power_cut(loop, context):
    if not isinstance(context.get("exception"), PowerCutError):
        loop.default_exception_handler(context)
