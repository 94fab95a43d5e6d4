import asyncio
import random

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sapphireway_coordination import Announcement, AttemptStarted, Gate
from sapphireway_coordination.suspects._table import (
    SUSPECTS_MAX,
    RunPermission,
    SuspectTable,
)
from sapphireway_protocol import MarkSuspect, NotRunReason, Peers, Reply, Run
from sapphireway_state import Policy
from sapphireway_transport import Broken
from sapphireway_transport.memory import MemoryNetwork, MemoryServer, run_paused

CRASHING = "bad"
HEALTH_PATH = "/health"


class FaultyServer(MemoryServer):
    """A server that can lose its answers, or freeze the node before one is read."""

    __slots__ = ("freeze_s", "resets_left")

    def __init__(self, rng):
        super().__init__(rng)
        self.freeze_s = 0.0
        self.resets_left = 0

    async def send(self, request):
        result = await super().send(request)
        if self.resets_left and HEALTH_PATH not in request.url:
            self.resets_left -= 1
            return Broken("connection reset", disconnected=True)
        asyncio.get_running_loop().advance(self.freeze_s)
        self.freeze_s = 0.0
        return result


class Fleet:
    """Nodes with in-memory servers of one service, and a caller that retries."""

    def __init__(self, seed=1, nodes=5):
        self.rng = random.Random(seed)
        self.delays_s = {}
        self.network = MemoryNetwork(
            self.rng, lambda *link: self.delays_s.get(link, 0.0015)
        )
        self.nodes = [f"n{i}" for i in range(nodes)]
        self.events = []
        self.replies = {}
        self.attempts = 0
        self.entry = Peers(self.network.open_endpoint("entry"), "e")
        self.entry.handle(Reply, self.take_reply)
        self.entry.start()
        self.servers = {node: self.open_server() for node in self.nodes}
        self.gates = {node: self.open_gate(node) for node in self.nodes}

    def take_reply(self, sender, envelope):
        future = self.replies[envelope.message.attempt]
        if not future.done():
            future.set_result(envelope.message)

    def open_server(self):
        server = FaultyServer(self.rng)
        server.crash_on = lambda request: CRASHING in request.url
        server.restart_s = 0.05
        return server

    def open_gate(self, node):
        peers = Peers(self.network.open_endpoint(node), node)
        gate = Gate(
            peers,
            self.servers[node],
            self.rng,
            lambda service, kind: Policy(),
            self.events.append,
            lambda service: self.nodes,
        )
        peers.start()
        return gate

    def announce(self, **changes):
        for node, gate in self.gates.items():
            server = self.servers[node]
            announcement = Announcement(
                node, "ledger", "http://s", 6, 200, server.start_id, in_flight=0
            )
            gate.announce(msgspec.structs.replace(announcement, **changes))

    def make_run(self, attempt, digest, node, idempotent=True):
        latest_start_s = asyncio.get_running_loop().time() + 0.4
        return Run(
            attempt,
            attempt,
            "ledger",
            "k",
            "GET",
            f"/{digest}",
            [],
            idempotent,
            10,
            digest,
            500.0,
            latest_start_s,
            node,
        )

    async def call(self, node, digest, *, idempotent=True):
        self.attempts += 1
        attempt = f"a{self.attempts}"
        run = self.make_run(attempt, digest, node, idempotent)
        self.replies[attempt] = asyncio.get_running_loop().create_future()
        self.entry.send(node, run)
        try:
            async with asyncio.timeout(1.0):
                return await self.replies[attempt]
        except TimeoutError:
            return Reply(attempt, "unknown")

    async def call_in_turn(self, digest, nodes, **kwargs):
        """Send to one node after the other, as retries do."""
        for node in nodes:
            reply = await self.call(node, digest, **kwargs)
        return reply

    async def warm(self):
        self.announce()
        await asyncio.gather(
            *(self.call(n, f"w{i}") for n in self.nodes for i in range(25))
        )

    def count_crashed(self):
        return sum(server.crashes > 0 for server in self.servers.values())


def run_on_fleet(test):
    def run():
        async def main():
            fleet = Fleet()
            await fleet.warm()
            await test(fleet)

        run_paused(main())

    run.__name__ = test.__name__
    return run


@run_on_fleet
async def test_retried_request_crashes_two_servers(fleet):
    for _ in range(4):
        last = await fleet.call_in_turn(CRASHING, fleet.nodes)
        await asyncio.sleep(0.3)
        fleet.announce()
    assert fleet.count_crashed() <= 2
    assert sum(server.crashes for server in fleet.servers.values()) == 2
    assert last.reason == NotRunReason.SUSPECT


@run_on_fleet
async def test_reruns_at_several_nodes_run_one_at_a_time(fleet):
    await fleet.call("n0", CRASHING)
    await asyncio.gather(*(fleet.call(node, CRASHING) for node in fleet.nodes[1:]))
    assert fleet.count_crashed() == 2


@run_on_fleet
async def test_retry_waits_for_the_outcome_of_a_hedge(fleet):
    for server in fleet.servers.values():
        server.crash_s = 0.05
    first = asyncio.create_task(fleet.call("n0", CRASHING))
    await asyncio.sleep(0.03)
    hedge = asyncio.create_task(fleet.call("n1", CRASHING))
    await first
    assert (await fleet.call("n2", CRASHING)).reason == NotRunReason.SUSPECT
    await hedge
    await fleet.call_in_turn(CRASHING, ["n3", "n4"])
    assert fleet.count_crashed() == 2


@run_on_fleet
async def test_no_rerun_before_all_nodes_have_acknowledged(fleet):
    for server in fleet.servers.values():
        server.crash_s = 0.05
    fleet.delays_s["n1", "n0"] = 0.03
    first = asyncio.create_task(fleet.call("n0", CRASHING))
    await asyncio.sleep(0.04)
    hedge = asyncio.create_task(fleet.call("n1", CRASHING))
    await asyncio.sleep(0.03)
    assert (await fleet.call("n2", CRASHING)).reason == NotRunReason.SUSPECT
    await asyncio.gather(first, hedge)
    assert fleet.count_crashed() == 2


@run_on_fleet
async def test_hedge_that_is_answered_clears_its_digest(fleet):
    fleet.servers["n0"].crash_s = 0.002
    fleet.servers["n1"].crash_on = lambda request: False
    fleet.servers["n1"].slow_factor = 10.0
    hedge = asyncio.create_task(fleet.call("n1", CRASHING))
    await fleet.call("n0", CRASHING)
    assert (await fleet.call("n2", CRASHING)).reason == NotRunReason.SUSPECT
    assert (await hedge).outcome == "answered"
    await asyncio.sleep(0.01)
    fleet.events.clear()
    await fleet.call("n1", CRASHING)
    assert not fleet.events[0].alone


@run_on_fleet
async def test_rerun_is_alone(fleet):
    await fleet.call("n0", CRASHING)
    fleet.events.clear()
    rest = [fleet.call("n1", f"x{i}") for i in range(12)]
    await asyncio.gather(*rest[:6], fleet.call("n1", CRASHING), *rest[6:])
    alone = [e for e in fleet.events if isinstance(e, AttemptStarted) and e.alone]
    assert [event.in_flight for event in alone] == [1]
    assert fleet.servers["n1"].crashes == 1


@run_on_fleet
async def test_reset_connection_marks_no_suspect(fleet):
    """Suspects run alone, so false ones would leave a server's slots empty."""
    fleet.announce(health_path=HEALTH_PATH)
    fleet.servers["n0"].resets_left = 1
    assert (await fleet.call("n0", "x")).outcome == "failed"
    fleet.events.clear()
    assert (await fleet.call("n1", "x")).outcome == "answered"
    assert not any(isinstance(e, AttemptStarted) and e.alone for e in fleet.events)


@run_on_fleet
async def test_rerun_whose_connection_is_reset_is_not_condemned(fleet):
    fleet.announce(health_path=HEALTH_PATH)
    fleet.servers["n0"].crash_on = lambda request: "x" in request.url
    await fleet.call("n0", "x")
    fleet.servers["n1"].resets_left = 1
    await fleet.call("n1", "x")
    assert (await fleet.call("n2", "x")).outcome == "answered"


@run_on_fleet
async def test_crash_is_detected_with_health_checks(fleet):
    fleet.announce(health_path=HEALTH_PATH)
    for _ in range(4):
        last = await fleet.call_in_turn(CRASHING, fleet.nodes)
        await asyncio.sleep(0.3)
        fleet.announce(health_path=HEALTH_PATH)
    assert sum(server.crashes for server in fleet.servers.values()) == 2
    assert last.reason == NotRunReason.SUSPECT


@run_on_fleet
async def test_suspect_admitted_after_its_deadline_is_refused(fleet):
    """After a pause, the process reads an answer before it runs its due timers."""
    failures = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda loop, context: failures.append(context))
    await fleet.call("n0", CRASHING)
    fleet.servers["n1"].slow_factor = 10.0
    other = asyncio.create_task(fleet.call("n1", "x"))
    await asyncio.sleep(0.002)
    fleet.servers["n1"].freeze_s = 0.45
    reply = await fleet.call("n1", CRASHING)
    await other
    assert (reply.outcome, reply.reason) == ("not_run", NotRunReason.DEADLINE)
    assert fleet.servers["n1"].crashes == 0
    assert failures == []


@run_on_fleet
async def test_harmless_request_is_cleared_by_condemnation(fleet):
    calls = [fleet.call("n0", digest) for digest in ("harmless", CRASHING)]
    await asyncio.gather(*calls)
    assert fleet.servers["n0"].crashes == 1
    await fleet.call("n1", CRASHING)
    await asyncio.sleep(0.1)
    fleet.events.clear()
    assert (await fleet.call("n2", "harmless")).outcome == "answered"
    assert not fleet.events[0].alone


@run_on_fleet
async def test_harmless_request_is_cleared_by_answer(fleet):
    await asyncio.gather(
        *(fleet.call("n0", digest) for digest in ("harmless", CRASHING))
    )
    replies = [await fleet.call("n1", "harmless") for _ in range(2)]
    assert [reply.outcome for reply in replies] == ["answered"] * 2
    assert fleet.count_crashed() == 1


@run_on_fleet
async def test_recently_answered_request_is_not_suspected(fleet):
    await fleet.call("n0", "popular")
    await asyncio.gather(
        *(fleet.call("n0", digest) for digest in ("popular", CRASHING))
    )
    assert (await fleet.call("n1", "popular")).outcome == "answered"
    assert not any(isinstance(e, AttemptStarted) and e.alone for e in fleet.events)


@run_on_fleet
async def test_suspect_expires(fleet):
    for node in ("n0", "n1"):
        await fleet.call(node, CRASHING)
    fleet.servers["n2"].crash_on = lambda request: False
    assert (await fleet.call("n2", CRASHING)).reason == NotRunReason.SUSPECT
    await asyncio.sleep(Policy().suspect_ttl_s + 1)
    fleet.announce()
    assert (await fleet.call("n2", CRASHING)).outcome == "answered"


@run_on_fleet
async def test_restarted_node_fetches_suspects(fleet):
    for node in ("n0", "n1"):
        await fleet.call(node, CRASHING)
    fleet.gates["n2"].close()
    fleet.gates["n2"] = fleet.open_gate("n2")
    fleet.announce()
    await asyncio.sleep(0.1)
    assert (await fleet.call("n2", CRASHING)).reason == NotRunReason.SUSPECT


@run_on_fleet
async def test_mark_reaches_a_sender_that_is_not_a_member_yet(fleet):
    """A node that just started sends requests before the others list it as a member."""
    new_node, *members = fleet.nodes
    for member in members:
        fleet.gates[member]._suspect_exchange._get_nodes = lambda service: members
    sender = fleet.gates[new_node]._peers
    run = fleet.make_run("from-new", CRASHING, members[0])
    sender.handle(Reply, lambda *reply: None)
    sender.send(members[0], run)
    await asyncio.sleep(0.2)
    await fleet.call_in_turn(CRASHING, [*members[1:], new_node])
    assert fleet.count_crashed() == 2


@run_on_fleet
async def test_request_brings_its_mark_to_a_node_that_missed_it(fleet):
    new_node, *members = fleet.nodes
    for member in members:
        fleet.gates[member]._suspect_exchange._get_nodes = lambda service: members
    await fleet.call_in_turn(CRASHING, members)
    assert fleet.count_crashed() == 2
    # As an entry node, a member sends the request on to the new node.
    gate = fleet.gates[members[0]]
    gate.inform_of_suspect(new_node, "ledger", CRASHING)
    gate._peers.send(new_node, fleet.make_run("sent-on", CRASHING, new_node))
    await asyncio.sleep(0.2)
    assert fleet.count_crashed() == 2


@pytest.mark.parametrize("seed", range(5))
def test_random_resends_crash_two_servers(seed):
    async def main():
        fleet = Fleet(seed)
        fleet.network.jitter_s, fleet.network.duplicate_rate = 0.003, 0.1
        await fleet.warm()
        rng = fleet.rng
        for step in range(40):
            others = [
                fleet.call(rng.choice(fleet.nodes), f"o{step}-{i}") for i in range(4)
            ]
            crashing = fleet.call_in_turn(
                CRASHING, rng.sample(fleet.nodes, 3), idempotent=rng.random() < 0.5
            )
            await asyncio.gather(crashing, *others)
            await asyncio.sleep(rng.random() * 0.2)
            fleet.announce()
        return fleet

    fleet = run_paused(main())
    assert fleet.count_crashed() <= 2, f"seed {seed}"


class SuspectMachine(RuleBasedStateMachine):
    """Checks the table against a model: condemned digests are refused until expiry."""

    digests = st.sampled_from(["a", "b", "c"])
    origins = st.sampled_from(["here", "there", "elsewhere"])

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.refused_until_s = {}
        self.granted = set()
        self.table = SuspectTable("here", lambda: self.now_s, lambda event: None)

    @rule(digest=digests)
    def mark(self, digest):
        again = self.table.get(digest) is not None
        self.table.mark(digest, 10.0)
        self.expect_refusal(digest, again)

    @rule(digest=digests, origin=origins, condemned=st.booleans())
    def merge(self, digest, origin, condemned):
        known = self.table.get(digest)
        second = known is not None and known.origin != origin
        self.table.merge(MarkSuspect("s", digest, origin, condemned, 10.0))
        self.expect_refusal(digest, condemned or second)

    def expect_refusal(self, digest, condemned):
        if condemned or digest in self.refused_until_s:
            self.refused_until_s[digest] = self.now_s + 10.0

    @rule(digest=digests)
    def clear(self, digest):
        if self.table.clear(digest):
            self.granted.discard(digest)

    @rule(digest=digests)
    def grant(self, digest):
        if self.table.grant(digest, "there"):
            assert digest not in self.granted, "two reruns at a time"
            assert self.table.get(digest).origin == "here"
            self.granted.add(digest)

    @rule(digest=digests)
    def release_hold(self, digest):
        self.table.release_hold(digest, "there")
        self.granted.discard(digest)

    @rule(seconds=st.sampled_from([1.0, 6.0, 11.0]))
    def wait(self, seconds):
        self.now_s += seconds
        self.granted = {d for d in self.granted if self.table.get(d) is not None}

    @invariant()
    def condemned_digests_are_refused(self):
        for digest, until_s in list(self.refused_until_s.items()):
            if self.now_s < until_s:
                assert self.table.get_permission(digest) is RunPermission.REFUSED
            else:
                del self.refused_until_s[digest]


SuspectMachine.TestCase.settings = settings(
    max_examples=80, stateful_step_count=30, derandomize=True, deadline=None
)
test_suspect_machine = SuspectMachine.TestCase


def test_table_size_is_bounded():
    table = SuspectTable("here", lambda: 0.0, lambda event: None)
    for number in range(SUSPECTS_MAX + 10):
        table.mark(f"d{number}", 10.0)
    assert len(table) == SUSPECTS_MAX
