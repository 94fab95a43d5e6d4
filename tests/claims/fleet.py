"""A simulated fleet of claimants and holders with one control host, and faults."""

import asyncio
import contextlib
import gc
import random
from collections import defaultdict
from dataclasses import dataclass, field

import msgspec

from sapphireway_coordination import (
    Call,
    Claimant,
    ClaimGroupController,
    ClaimGroupMachine,
    ClaimHolder,
    GroupChange,
    GroupControllerSettings,
    HolderSettings,
    Member,
)
from sapphireway_protocol import (
    Answered,
    GroupHolder,
    NotRun,
    NotRunReason,
    Peers,
    Unknown,
)
from sapphireway_state import Policy
from sapphireway_transport.memory import MemoryNetwork

SERVICE = "ledger"
CONTROL = "control"
DOMAINS = ("bxl-a", "mech-a", "lvn-a")
POLICY = Policy(claim_ttl_s=8, deadline_max_ms=2_000)
LEASE_S = 4.0
UNSURE_S = POLICY.claim_ttl_s + LEASE_S + 0.5
RESEND_WITHIN_S = 5.5
CALL_ID_BYTES = 13


class KillableEndpoint:
    """An endpoint that drops everything its process sends after it was killed."""

    def __init__(self, endpoint):
        self.address = endpoint.address
        self.start, self.connect = endpoint.start, endpoint.connect
        self.disconnect, self.close = endpoint.disconnect, endpoint.close
        self.is_dead = False
        self._endpoint = endpoint

    def send(self, peer, frames):
        return not self.is_dead and self._endpoint.send(peer, frames)


class Server:
    """Records the calls that it ran, also if the entry node dies meanwhile."""

    def __init__(self, rng, refuse_rate=0.2, answer_loss_rate=0.1):
        self.rng = rng
        self.refuse_rate = refuse_rate
        self.answer_loss_rate = answer_loss_rate
        self.runs = defaultdict(list)

    async def run(self, call):
        return await asyncio.shield(asyncio.ensure_future(self._run(call)))

    async def _run(self, call):
        await asyncio.sleep(self.rng.random() * 0.05)
        if self.rng.random() < self.refuse_rate:
            return NotRun(NotRunReason.OVERLOADED, 0.01)
        self.runs[call.key].append(call.call_id)
        await asyncio.sleep(self.rng.choice((0.005, 0.05, 0.5)))
        if self.rng.random() < self.answer_loss_rate:
            return Unknown("answer lost")
        return Answered(200, (), call.call_id.encode())


class Node:
    def __init__(self, fleet, name, start):
        self.endpoint = KillableEndpoint(fleet.network.open_endpoint(name))
        incarnation = name if fleet.reuses_incarnation else f"{name}/{start}"
        self.peers = Peers(self.endpoint, incarnation)
        self.name = name
        self.groups = {}
        self.no_updates_until_s = 0.0
        self.calls = set()
        rng = random.Random(fleet.rng.random())
        self.holder = ClaimHolder(
            self.peers,
            self.read_group,
            rng,
            fleet.holder_settings,
            fleet.observe,
            lambda service: fleet.run_when_unsure,
        )
        self.claimant = Claimant(
            self.peers, self.groups.get, rng, fleet.shards, fleet.observe
        )
        self.fleet = fleet
        domain = DOMAINS[fleet.names.index(name) % len(DOMAINS)]
        self.member = Member(
            name, SERVICE, name, domain, "be", incarnation, incarnation, 6
        )
        self.peers.start()

    def as_holder(self):
        member = self.member
        return GroupHolder(member.node, member.incarnation, member.domain)

    async def read_group(self, service):
        await asyncio.sleep(0.002)
        if asyncio.get_running_loop().time() < self.no_updates_until_s:
            return None
        return self.fleet.machine.get_group(service)

    def receive_group(self, group):
        if asyncio.get_running_loop().time() < self.no_updates_until_s:
            return
        known = self.groups.get(group.name)
        if known is None or known.epoch < group.epoch:
            self.groups[group.name] = group
        if not self.endpoint.is_dead:
            self.holder.apply_group(group)

    def kill(self):
        self.endpoint.is_dead = True
        self.endpoint.close()
        for call in set(self.calls):
            call.cancel()
        self.fleet.spawn(self.claimant.close())
        self.fleet.spawn(self.holder.close())


@dataclass
class Submission:
    call: Call
    started_s: float
    outcome: object = None
    ended_s: float = 0.0


@dataclass
class Fleet:
    rng: random.Random
    size: int = 5
    server: Server = None
    holder_settings: HolderSettings = field(
        default_factory=lambda: HolderSettings(lease_s=LEASE_S)
    )
    policy: Policy = POLICY
    losses_max: int = 1
    run_when_unsure: bool = False
    loses_majorities: bool = False
    reuses_incarnation: bool = False
    shards: int = 1
    delay: object = None
    events: list = field(default_factory=list)
    errors: list = field(default_factory=list)
    submissions: dict = field(default_factory=lambda: defaultdict(list))

    def __post_init__(self):
        options = {} if self.delay is None else {"delay": self.delay}
        self.network = MemoryNetwork(random.Random(self.rng.random()), **options)
        self.names = [f"n{i}" for i in range(self.size)]
        self.server = self.server or Server(random.Random(self.rng.random()))
        self.machine = ClaimGroupMachine()
        self.observe = self.events.append
        self.nodes = {}
        self.starts = 0
        self.tasks = set()
        self.last_crash_s = 0.0

    def record_error(self, loop, context):
        self.errors.append(context.get("exception") or context["message"])

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.finish_task)
        return task

    def finish_task(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.errors.append(task.exception())

    def start(self, runs_group_controller=True):
        # Broken invariants raise in handlers and tasks, where they would go unnoticed.
        asyncio.get_running_loop().set_exception_handler(self.record_error)
        for name in self.names:
            self.start_node(name)
        peers = Peers(self.network.open_endpoint(CONTROL), CONTROL)
        peers.start()
        self.group_controller = ClaimGroupController(
            peers,
            lambda: [SERVICE],
            lambda service: [node.member for node in self.nodes.values()],
            self.machine.get_group,
            lambda service: UNSURE_S,
            self.propose,
            lambda: True,
            GroupControllerSettings(
                interval_s=0.5,
                replace_after_s=1.0,
                lost_after_s=3.0,
                rebalance_interval_s=10.0,
            ),
            self.shards,
            self.observe,
            lambda service: self.losses_max,
        )
        if runs_group_controller:
            self.spawn(self.group_controller.run())
        self.spawn(self.distribute_groups())

    async def stop(self):
        for node in list(self.nodes.values()):
            node.kill()
        tasks = set(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        gc.collect()  # reports tasks whose exception was never retrieved

    def start_node(self, name):
        self.starts += 1
        self.nodes[name] = Node(self, name, self.starts)

    def form_group(self, *names, lost=False):
        """Set the group as the controller would, and inform every node at once."""
        group = self.machine.get_group(SERVICE)
        epoch = 0 if group is None else group.epoch
        holders = tuple(self.nodes[name].as_holder() for name in names)
        unsure_s = UNSURE_S if lost else 0.0
        change = GroupChange(SERVICE, epoch, holders, lost, unsure_s)
        self.machine.apply(0, msgspec.msgpack.encode(change))
        for node in self.nodes.values():
            node.receive_group(self.machine.get_group(SERVICE))

    def kill_node(self, name):
        node = self.nodes.pop(name, None)
        if node is not None:
            node.kill()

    async def propose(self, command):
        await asyncio.sleep(0.005)
        return self.machine.apply(0, command)

    async def distribute_groups(self):
        while True:
            await asyncio.sleep(0.1)
            for group in self.machine.list_groups():
                for node in self.nodes.values():
                    if self.rng.random() < 0.5:
                        node.receive_group(group)

    def submit(self, key, name, deadline_s=1.0, body=b"x"):
        """Send a request through a node as a caller; None if the node is down."""
        node = self.nodes.get(name)
        if node is None:
            return None
        now_s = asyncio.get_running_loop().time()
        call_id = f"c{self.rng.getrandbits(48):012x}"
        call = Call(
            call_id,
            SERVICE,
            "confirm",
            "POST",
            "/",
            (),
            body,
            now_s + deadline_s,
            key,
            self.policy,
        )
        submission = Submission(call, now_s)
        self.submissions[key].append(submission)
        task = self.spawn(self._run_submission(node, submission))
        node.calls.add(task)
        task.add_done_callback(node.calls.discard)
        return task

    async def _run_submission(self, node, submission):
        outcome = await node.claimant.run_claimed(submission.call, self.server.run)
        if not node.endpoint.is_dead:
            submission.outcome = outcome
            submission.ended_s = asyncio.get_running_loop().time()
        return outcome

    async def ask(self, key, name, **options):
        """Send a request and return its outcome."""
        return await self.submit(key, name, **options)

    async def send_keys(self, count, duration_s):
        """Send and resend keys at random times through random nodes."""
        senders = [self.send_key(f"k{i}", duration_s) for i in range(count)]
        await asyncio.gather(*senders)

    async def send_key(self, key, duration_s):
        await asyncio.sleep(self.rng.random() * duration_s)
        first_s = asyncio.get_running_loop().time()
        for _ in range(self.rng.randint(2, 5)):
            self.submit(key, self.rng.choice(self.names))
            await asyncio.sleep(self.rng.choice((0.0, 0.0, 0.003, 0.1, 1.0, 3.0)))
            if asyncio.get_running_loop().time() > first_s + RESEND_WITHIN_S:
                break
        await asyncio.sleep(1.5)

    async def inject_faults(self, duration_s):
        """Start random faults at random intervals."""
        loop = asyncio.get_running_loop()
        faults = (
            self.crash_one,
            self.crash_one,
            self.crash_two,
            self.cut_one_way,
            self.cut_one_way,
            self.freeze_one,
            self.withhold_updates,
            self.lose_messages,
            self.move_holder,
            self.move_holder,
        )
        while loop.time() < duration_s:
            await asyncio.sleep(self.rng.random() * 1.5)
            self.spawn(self.rng.choice(faults)())

    async def crash_one(self):
        now_s = asyncio.get_running_loop().time()
        if now_s < self.last_crash_s + 4.0 and not self.loses_majorities:
            return
        self.last_crash_s = now_s
        name = self.rng.choice(self.names)
        self.kill_node(name)
        await asyncio.sleep(self.rng.choice((0.01, 0.5, 3.0)))
        if name not in self.nodes:
            self.start_node(name)

    async def crash_two(self):
        if self.loses_majorities and self.rng.random() < 0.3:
            await asyncio.gather(self.crash_one(), self.crash_one())

    async def cut_one_way(self):
        sender, receiver = self.rng.sample([*self.names, CONTROL], 2)
        self.network.cut(sender, receiver)
        await asyncio.sleep(self.rng.random() * 3)
        self.network.heal(sender, receiver)

    async def freeze_one(self):
        name = self.rng.choice(self.names)
        self.network.freeze(name)
        await asyncio.sleep(self.rng.random() * 2)
        self.network.thaw(name)

    async def withhold_updates(self):
        node = self.nodes.get(self.rng.choice(self.names))
        if node is not None:
            now_s = asyncio.get_running_loop().time()
            node.no_updates_until_s = now_s + self.rng.random() * 8

    async def move_holder(self):
        """Replace a healthy holder, which keeps running and may not learn of it."""
        group = self.machine.get_group(SERVICE)
        outside = [
            node.as_holder()
            for name, node in self.nodes.items()
            if name not in {holder.node for holder in group.holders}
        ]
        if not outside or not await self.group_controller._is_active(group):
            return
        holders = list(group.holders)
        holders[self.rng.randrange(len(holders))] = self.rng.choice(outside)
        change = GroupChange(SERVICE, group.epoch, tuple(holders))
        self.machine.apply(0, msgspec.msgpack.encode(change))

    async def lose_messages(self):
        network = self.network
        network.drop_rate, network.duplicate_rate = 0.2, 0.2
        network.jitter_s = 0.05
        await asyncio.sleep(self.rng.random() * 2)
        network.drop_rate = network.duplicate_rate = network.jitter_s = 0.0

    def find_violations(self):
        """Compare the outcomes that callers got with what the server ran."""
        yield from map(repr, self.errors)
        for key, submissions in self.submissions.items():
            runs = self.server.runs[key]
            if len(runs) > 1:
                yield f"{key} ran {len(runs)} times"
            sent = {s.call.call_id: s for s in submissions}
            for submission in submissions:
                match submission.outcome:
                    case NotRun() if any(
                        _contradicts(submission, sent[run]) for run in runs
                    ):
                        yield f"{key} ran, but a caller was told that it did not"
                    case Answered(_, _, body):
                        if body[:CALL_ID_BYTES].decode() not in runs:
                            yield f"{key} got the answer of another request"


def _contradicts(refused, ran):
    """Whether a call that was open when the refusal was returned ran nevertheless."""
    same_request = refused.call.body == ran.call.body
    return same_request and ran.started_s <= refused.ended_s


async def run_fleet(seed, duration_s=40.0, keys=150, **options):
    """Run one fleet with faults; return it and its violations."""
    fleet = Fleet(random.Random(seed), **options)
    fleet.start()
    await asyncio.sleep(1.0)
    injecting = fleet.spawn(fleet.inject_faults(duration_s))
    await fleet.send_keys(keys, duration_s)
    injecting.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await injecting
    await fleet.stop()
    return fleet, list(fleet.find_violations())


async def run_contended(seed, keys=40):
    """Send each key through all nodes at once, over links that reorder messages."""
    fleet = Fleet(random.Random(seed))
    fleet.start(runs_group_controller=False)
    fleet.form_group("n0", "n1", "n2")
    await asyncio.sleep(0.1)
    fleet.network.jitter_s = 0.03
    fleet.network.duplicate_rate = 0.2
    await asyncio.gather(
        *(fleet.ask(f"k{i}", name) for i in range(keys) for name in fleet.names)
    )
    await fleet.stop()
    return list(fleet.find_violations())
