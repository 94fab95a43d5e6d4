"""Simulated fleet with control hosts and servers of two versions of one service."""

import asyncio
import random

from sapphireway._rollout_reports import (
    count_answer,
    make_report_sender,
    make_version_reporter,
)
from sapphireway_coordination import (
    ROLLOUT_PREFIX,
    ROUTE_PREFIX,
    Announcement,
    AppliedState,
    AttemptSent,
    AttemptServed,
    Call,
    Committed,
    ControlClient,
    ControlHostList,
    ControlMachine,
    Directory,
    Dispatcher,
    Gate,
    Membership,
    Quorum,
    QuorumSettings,
    Role,
    RolloutController,
    RolloutDecided,
    SettingsChannel,
    VersionSplit,
)
from sapphireway_protocol import (
    ListNodes,
    NodeEntry,
    NodeList,
    Peers,
    ServerEntry,
)
from sapphireway_state import (
    Policy,
    Publish,
    RequestKind,
    Route,
    RouteTable,
    RouteTarget,
    ServiceSpec,
    StartRollout,
    decode_current_rollout,
    decode_rollout_result,
    encode_publish,
    encode_rollout_command,
)
from sapphireway_transport import Responded
from sapphireway_transport.memory import MemoryDisk, MemoryNetwork, PowerCutError

SERVICE = "ledger"
HOSTS = ("c0", "c1", "c2")
KINDS = ("balance", "entry")
POLICY = Policy(idempotent=True, choice_probes=2)


class VersionedServer:
    """A server whose answers depend on its version and the time.

    Attributes
    ----------
    runs : list of float
        Loop times at which requests arrived.
    """

    def __init__(self, rng, version, behave):
        self.behave = behave
        self.rng = rng
        self.runs = []
        self.version = version

    async def send(self, request):
        now_s = asyncio.get_running_loop().time()
        self.runs.append(now_s)
        status, factor = self.behave(self.version, self.rng, now_s, request)
        await asyncio.sleep((0.02 + self.rng.expovariate(1.0) * 0.01) * factor)
        return Responded(status, (), b"")

    def set_connections_max(self, connections_max):
        pass

    def close(self):
        pass


def behave_well(version, rng, now_s, request):
    """Return status and slowness of an answer."""
    return 200, 1.0


class Node:
    """A node of the fleet, perhaps with a server or with the control role."""

    def __init__(self, fleet, name, version=None, disk=None):
        self.fleet, self.name, self.version = fleet, name, version
        rng = self.rng = random.Random(fleet.rng.random())
        self.incarnation = f"{name}-{rng.random()}"
        self.peers = Peers(
            fleet.network.open_endpoint(name),
            self.incarnation,
            lambda: self.state.version,
        )
        self.hosts = ControlHostList(HOSTS)
        self.state = AppliedState()
        self.channel = SettingsChannel(
            self.peers, self.state, self.apply_rollouts, fleet.read_wall_clock, disk
        )
        self.peers.observe = self.channel.observe
        self.domain = f"d{rng.randrange(3)}"
        entry = NodeEntry(
            name, self.domain, "r", self.incarnation, fleet.read_wall_clock(), 0, []
        )
        self.membership = Membership(
            self.peers, self.hosts, entry, rng, on_failover=self.channel.fetch_from
        )
        self.versions = VersionSplit(
            self.state.get_rollout, lambda: self.state.rollouts_version
        )
        self.dispatcher = Dispatcher(
            self.peers,
            self.membership.get_members,
            rng,
            self.observe,
            versions=self.versions,
        )
        self.gate = self.reporter = self.server = None
        if version is not None:
            self.open_gate()
        self.tasks = []
        self.calls = 0

    def open_gate(self):
        self.server = VersionedServer(self.rng, self.version, self.fleet.behave)
        self.gate = Gate(
            self.peers,
            self.server,
            self.rng,
            lambda service, kind: POLICY,
            self.observe,
            get_rollout=self.state.get_rollout,
        )
        self.reporter = make_version_reporter(
            self.gate,
            self.state.get_rollout,
            make_report_sender(self.peers, self.hosts),
        )

    def announce(self):
        start_id = f"{self.name}-s"
        self.gate.announce(
            Announcement(
                f"{self.name}-s",
                SERVICE,
                "http://x",
                12,
                200,
                start_id,
                cold_s=0.0,
                version=self.version,
            )
        )
        self.membership.set_servers(
            [ServerEntry(f"{self.name}-s", SERVICE, start_id, 12, False, self.version)]
        )
        self.apply_rollouts()

    def observe(self, event):
        if isinstance(event, AttemptServed):
            count_answer(self.reporter, event)
        if isinstance(event, AttemptSent):
            now_s = asyncio.get_running_loop().time()
            version = self.fleet.versions[event.server]
            self.fleet.sent.append((now_s, version, self.name))
        if isinstance(event, RolloutDecided):
            self.fleet.decided.append(event)

    def apply_rollouts(self):
        self.versions.notify()
        if self.gate is not None:
            self.gate.apply_rollout()
            self.reporter.update()

    async def start(self, load_per_s):
        await self.channel.load()
        self.peers.start()
        self.spawn(self.membership.run())
        self.membership.get_members(SERVICE)
        if self.gate is not None:
            self.fleet.versions[f"{self.name}-s"] = self.version
            self.spawn(self.renew())
        if load_per_s:
            self.spawn(self.send_load(load_per_s))

    async def renew(self):
        while self.state.version == 0:
            await asyncio.sleep(0.05)
        self.announce()
        while True:
            await asyncio.sleep(1.0)
            self.announce()

    async def send_load(self, per_s):
        while True:
            await asyncio.sleep(self.rng.expovariate(per_s))
            if self.state.version:
                self.calls += 1
                self.spawn(self.call(f"{self.incarnation}-{self.calls}"))

    async def call(self, call_id):
        now_s = asyncio.get_running_loop().time()
        kind = KINDS[self.rng.random() < 0.3]
        call = Call(
            call_id, SERVICE, kind, "GET", "/", (), b"", now_s + 2.0, None, POLICY
        )
        outcome = await self.dispatcher.dispatch(call)
        self.fleet.outcomes.append((now_s, outcome))

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append(task)
        if len(self.tasks) > 64:
            self.tasks = [task for task in self.tasks if not task.done()]

    def kill(self):
        for task in self.tasks:
            task.cancel()
        if self.reporter is not None:
            self.reporter.close()
            self.gate.close()
        self.peers.close()


class Host(Node):
    """A control host."""

    def __init__(self, fleet, name, disk):
        super().__init__(fleet, name)
        self.changed = asyncio.Event()
        self.machine = ControlMachine(self.changed.set)
        self.directory = Directory(self.peers, self.hosts)
        self.disk = disk
        self.quorum = Quorum(
            self.peers,
            disk,
            self.machine,
            HOSTS,
            self.rng,
            QuorumSettings(),
            bootstrap=True,
        )
        self.quorum.serve_queries(self.machine.read)
        self.controller = RolloutController(
            self.peers,
            lambda: self.machine.rollouts.rollouts.values(),
            self.directory.get_members,
            self.list_settings_versions,
            self.propose,
            lambda: self.leads,
            self.read_wall_clock,
            self.observe,
        )
        self.wall_jump_s = 0.0

    def read_wall_clock(self):
        return self.fleet.read_wall_clock() + self.wall_jump_s

    @property
    def leads(self):
        return self.quorum.get_status().role is Role.LEADER

    async def start(self, load_per_s):
        await super().start(load_per_s)
        await self.quorum.start()
        self.spawn(self.directory.run())
        self.spawn(self.controller.run())
        self.spawn(self.apply_journal())

    async def apply_journal(self):
        while True:
            await self.changed.wait()
            self.changed.clear()
            state = self.state
            await self.channel.save_and_apply(
                self.machine.make_update(
                    state.view.version,
                    state.groups_version,
                    state.routes.version,
                    state.rollouts_version,
                )
            )

    async def propose(self, command):
        result = await self.quorum.propose(ROLLOUT_PREFIX + command)
        return result.result if isinstance(result, Committed) else None

    async def list_settings_versions(self):
        entries = {e.node: e for e in self.directory.list_entries()}
        versions = dict.fromkeys(entries, 0)
        replies = await asyncio.gather(
            *(self.peers.request(host, ListNodes(), 0.3) for host in HOSTS)
        )
        for reply in replies:
            if reply is None or not isinstance(reply.message, NodeList):
                continue
            for status in reply.message.nodes:
                node = status.entry.node
                if node in entries:
                    versions[node] = max(versions[node], status.settings_version)
        return versions

    def kill(self):
        super().kill()
        for task in list(self.quorum._tasks):
            task.cancel()


class Fleet:
    """Three control hosts and nodes with servers of version v1; v2 comes later.

    Attributes
    ----------
    sent : list of (float, str, str)
        Time, version of the server and entry node of each attempt that was sent.
    outcomes : list of (float, Outcome)
    decided : list of RolloutDecided
    """

    def __init__(self, seed=1, behave=behave_well, nodes=6, load_per_s=120.0):
        self.rng = random.Random(seed)
        self.network = MemoryNetwork(random.Random(seed + 1))
        self.behave = behave
        self.node_count = nodes
        self.load_per_s = load_per_s
        self.sent, self.outcomes, self.decided = [], [], []
        self.versions = {}
        self.nodes = {}
        self.disks = {}

    def read_wall_clock(self):
        return 1_000_000.0 + asyncio.get_running_loop().time()

    async def start(self):
        asyncio.get_running_loop().set_exception_handler(_ignore_closed_disk)
        for name in HOSTS:
            await self.start_host(name)
        for number in range(self.node_count):
            await self.start_node(f"n{number}", "v1")
        await asyncio.sleep(2.0)
        await self.publish_table()
        await asyncio.sleep(3.0)

    async def start_host(self, name):
        disk = self.disks.setdefault(name, MemoryDisk(0.002))
        host = self.nodes[name] = Host(self, name, disk)
        await host.start(0.0)

    async def start_node(self, name, version):
        node = self.nodes[name] = Node(self, name, version)
        await node.start(self.load_per_s / self.node_count)

    async def start_new_servers(self, count=None):
        for number in range(count or self.node_count):
            node = self.nodes[f"m{number}"] = Node(self, f"m{number}", "v2")
            await node.start(0.0)

    async def publish_table(self):
        route = Route("r", "a", "/", RequestKind.ONCE, 800.0, (RouteTarget(SERVICE),))
        table = RouteTable(1, (ServiceSpec(SERVICE),), ("a",), (route,))
        command = ROUTE_PREFIX + encode_publish(Publish(b"1", 0, table))
        result = await self.make_client().propose(command, 5.0)
        assert isinstance(result, Committed), result

    def make_client(self):
        name = f"operator-{self.rng.random()}"
        peers = Peers(self.network.open_endpoint(name), name)
        peers.start()
        return ControlClient(peers, ControlHostList(HOSTS), self.rng)

    async def order(self, version="v2", duration_s=12.0):
        command = StartRollout(
            SERVICE, version, duration_s * 1000.0, self.read_wall_clock()
        )
        content = ROLLOUT_PREFIX + encode_rollout_command(command)
        result = await self.make_client().propose(content, 4.0)
        return decode_rollout_result(result.result)

    async def read(self):
        query = ROLLOUT_PREFIX + SERVICE.encode()
        result = await self.make_client().read(query, 5.0)
        return decode_current_rollout(result.data).rollout

    def find_leader(self):
        return next(
            (self.nodes[n] for n in HOSTS if n in self.nodes and self.nodes[n].leads),
            None,
        )

    async def wait_for_end(self, timeout_s):
        """Return the rollout once it has ended, with the time that it took."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        while loop.time() < start_s + timeout_s:
            rollouts = [
                self.nodes[n].machine.rollouts.rollouts.get(SERVICE)
                for n in HOSTS
                if n in self.nodes
            ]
            ended = [r for r in rollouts if r is not None and not r.running]
            if ended:
                return ended[0], loop.time() - start_s
            await asyncio.sleep(0.05)
        raise AssertionError(f"not ended after {timeout_s} s: {rollouts}")

    async def wait_for_share(self, share, timeout_s=20.0):
        async with asyncio.timeout(timeout_s):
            while True:
                leader = self.find_leader()
                if leader is not None:
                    rollout = leader.machine.rollouts.rollouts.get(SERVICE)
                    if rollout is not None and rollout.share >= share:
                        return rollout
                await asyncio.sleep(0.02)

    def count_sent(self, version, since_s=0.0, until_s=1e9):
        return sum(v == version and since_s <= t < until_s for t, v, _ in self.sent)

    def kill(self, name):
        self.nodes.pop(name).kill()

    def cut_power(self, *names):
        """Kill hosts; what their disks have not synchronized is lost."""
        for name in names:
            self.kill(name)
            if name in self.disks:
                self.disks[name] = self.disks[name].cut_power(self.rng)

    def isolate(self, name):
        for other in self.nodes:
            if other != name:
                self.network.cut(name, other)
                self.network.cut(other, name)

    def close(self):
        for name in list(self.nodes):
            self.kill(name)


def _ignore_closed_disk(loop, context):
    """Ignore exceptions of tasks that were using a disk when its power was cut."""
    if not isinstance(context.get("exception"), PowerCutError):
        loop.default_exception_handler(context)
