"""Calls whose `Run` arrives at any moment of the graceful stop of a node."""

import asyncio
import random

import msgspec
import pytest
from tests.gate_bench import NODE, Bench, make_attempt

from sapphireway_coordination import (
    DEPARTURE_SPREAD_S,
    Announcement,
    Call,
    DepartureNotified,
    Dispatcher,
    Gate,
    Member,
)
from sapphireway_coordination.routing._attempts import excludes_run
from sapphireway_protocol import Answered, Departed, Peers, Reply, Run, Unknown
from sapphireway_state import Policy
from sapphireway_transport.memory import MemoryNetwork, MemoryServer, run_paused

DELAY_S = 0.005  # one way; long, so that several moments fall into one trip
SERVICE_S = 0.02  # more than a run of the in-memory server takes
BUDGET_S = 10.0
POLICIES = {
    "idempotent": Policy(idempotent=True, hedge_percentile=0.0),
    "once": Policy(idempotent=False),
    "upload": Policy(idempotent=False),
}
BODIES = {"idempotent": b"", "once": b"", "upload": bytes(200_000)}


class Place:
    """A gate with an in-memory server."""

    def __init__(self, network, address, seed, incarnation="1"):
        rng = random.Random(seed)
        self.network = network
        self.server = MemoryServer(rng)
        self.peers = Peers(network.open_endpoint(address), incarnation)
        self.gate = Gate(
            self.peers, self.server, rng, lambda service, kind: Policy(), lambda e: None
        )
        self.peers.start()
        self.gate.announce(
            Announcement(address, "s", f"http://{address}", 6, 200, "1", in_flight=0)
        )

    async def stop(self, deadline_s):
        """Stop like the process does, and lose what arrives afterwards."""
        await self.gate.drain(deadline_s)
        await self.gate.wait_until_unused(deadline_s)
        await self.gate.notify_peers(deadline_s)
        self.gate.close()
        self.peers.close()
        # A link whose other end has closed accepts messages until it notices.
        self.network.open_endpoint(self.peers.address)


class Fleet:
    """An entry node that prefers the stopping node and has not heard of its stop."""

    def __init__(self):
        self.network = MemoryNetwork(random.Random(1), lambda sender, to: DELAY_S)
        self.earlier = None
        self.leaving = Place(self.network, "leaving", 2)
        self.other = Place(self.network, "other", 3)
        self.entry = Peers(self.network.open_endpoint("entry"), "e")
        self.entry.start()
        self.members = [
            Member(name, "s", name, name, "r", "1", "1", 6)
            for name in ("leaving", "other")
        ]
        self.dispatcher = Dispatcher(
            self.entry,
            lambda service: self.members,
            random.Random(4),
            choose=lambda candidates, call, rng, now_s: candidates[0],
        )

    async def call(self, call_id, kind="idempotent", budget_s=BUDGET_S):
        """Dispatch a call; return its outcome and how long it took."""
        sent_s = asyncio.get_running_loop().time()
        call = Call(
            call_id,
            "s",
            kind,
            "POST",
            "/",
            (),
            BODIES[kind],
            sent_s + budget_s,
            None,
            POLICIES[kind],
        )
        outcome = await self.dispatcher.dispatch(call)
        return outcome, asyncio.get_running_loop().time() - sent_s

    async def warm(self):
        for number in range(30):
            await self.call(f"warm{number}")

    def count_runs(self, call_id):
        return sum(
            len(place.server.runs.get(call_id, ()))
            for place in (self.earlier, self.leaving, self.other)
            if place is not None
        )

    def stop_leaving(self):
        """Begin the stop of the preferred node; return its task."""
        loop = asyncio.get_running_loop()
        return loop.create_task(self.leaving.stop(loop.time() + 5.0))

    def replace_leaving(self, learns):
        """Start the stopped node again; the entry node may learn of it at once."""
        self.earlier = self.leaving
        self.leaving = Place(self.network, "leaving", 5, "2")
        if learns:
            first, *others = self.members
            first = msgspec.structs.replace(first, incarnation="2")
            self.members = [first, *others]

    def close(self):
        self.other.gate.close()
        self.leaving.gate.close()


def list_moments():
    """Return times after the start of the stop, close together around its end."""
    coarse = [0.1 * step for step in range(10)]
    fine = [DEPARTURE_SPREAD_S + 0.001 * step for step in range(-20, 41)]
    return [-0.002, *coarse, *fine, DEPARTURE_SPREAD_S + 0.7]


async def call_at(moment_s, kind):
    """Stop a node; return what became of a call sent `moment_s` after that began."""
    fleet = Fleet()
    await fleet.warm()
    stopping_s = asyncio.get_running_loop().time() + 0.01
    calls = []

    def send():
        calls.append(asyncio.ensure_future(fleet.call("c", kind)))

    loop = asyncio.get_running_loop()
    loop.call_at(stopping_s + moment_s, send)
    await asyncio.sleep(0.01)
    stopping = fleet.stop_leaving()
    await asyncio.sleep(max(moment_s, 0.0) + 0.001)
    outcome, elapsed_s = await calls[0]
    await stopping
    fleet.close()
    return outcome, elapsed_s, fleet.count_runs("c")


@pytest.mark.parametrize("kind", POLICIES)
def test_call_is_served_elsewhere_at_each_moment_of_a_stop(kind):
    """A `Run` that a closing node left unread kept its call until the deadline."""
    failed = []
    for moment_s in list_moments():
        outcome, elapsed_s, runs = run_paused(call_at(moment_s, kind))
        # Two round trips and a run, one round trip more than an undisturbed call.
        in_time = elapsed_s <= 4 * DELAY_S + SERVICE_S
        if not (isinstance(outcome, Answered) and in_time and runs == 1):
            failed.append((round(moment_s, 4), outcome, round(elapsed_s, 4), runs))
    assert not failed, failed


async def call_at_replacement(moment_s, kind, learns):
    """Replace a stopping node at its address; return what became of a call.

    The links repeat and reorder messages, also those of the earlier incarnation.
    """
    fleet = Fleet()
    await fleet.warm()
    fleet.network.jitter_s, fleet.network.duplicate_rate = 0.004, 0.5
    loop = asyncio.get_running_loop()
    calls = []

    def send():
        calls.append(asyncio.ensure_future(fleet.call("c", kind)))

    async def replace():
        await fleet.stop_leaving()
        fleet.replace_leaving(learns)

    loop.call_later(moment_s, send)
    replacing = asyncio.ensure_future(replace())
    await asyncio.sleep(moment_s + 0.001)
    outcome, elapsed_s = await calls[0]
    await replacing
    runs = fleet.count_runs("c")
    fleet.close()
    return outcome, elapsed_s, runs


@pytest.mark.parametrize("learns", [False, True])
@pytest.mark.parametrize("kind", POLICIES)
def test_call_is_served_while_a_node_is_replaced_at_its_address(kind, learns):
    """Messages of the earlier incarnation must not end attempts at the later one."""
    failed = []
    for moment_s in list_moments()[1:]:
        outcome, elapsed_s, runs = run_paused(
            call_at_replacement(moment_s, kind, learns)
        )
        # A refusal for the earlier incarnation costs one more round trip.
        in_time = elapsed_s <= 6 * (DELAY_S + 0.004) + SERVICE_S
        if not (isinstance(outcome, Answered) and in_time and runs == 1):
            failed.append((round(moment_s, 4), outcome, round(elapsed_s, 4), runs))
    assert not failed, failed


async def call_after_fault(duration_s, kind, begin, end):
    """Stop a node while the entry node has a fault, and call at the fault's end."""
    fleet = Fleet()
    await fleet.warm()
    begin(fleet.network)
    stopping = fleet.stop_leaving()
    await asyncio.sleep(duration_s)
    call = asyncio.ensure_future(fleet.call("c", kind))
    await asyncio.sleep(0.0)
    end(fleet.network)
    outcome, elapsed_s = await call
    await stopping
    fleet.close()
    return outcome, elapsed_s, fleet.count_runs("c")


def check_calls_after_fault(kind, durations_s, begin, end, wait_max_s):
    failed = []
    for duration_s in durations_s:
        outcome, elapsed_s, runs = run_paused(
            call_after_fault(duration_s, kind, begin, end)
        )
        in_time = elapsed_s <= wait_max_s + 4 * DELAY_S + SERVICE_S
        if not (isinstance(outcome, Answered) and in_time and runs == 1):
            failed.append((duration_s, outcome, round(elapsed_s, 4), runs))
    assert not failed, failed


@pytest.mark.parametrize("kind", POLICIES)
def test_sender_that_was_frozen_during_the_announcement_is_told(kind):
    """A sender that wakes sends to the closed node before it reads its messages."""
    check_calls_after_fault(
        kind,
        [0.2, 0.99, 1.0, 1.01, 1.2, 3.0],
        lambda network: network.freeze("entry"),
        lambda network: network.thaw("entry"),
        0.0,
    )


def cut_entry(network):
    network.cut("entry", "leaving")
    network.cut("leaving", "entry")


@pytest.mark.parametrize("kind", POLICIES)
def test_sender_that_was_cut_off_during_the_announcement_is_told(kind):
    """The last message is sent again until a cut of less than its wait has healed."""
    check_calls_after_fault(
        kind,
        [0.2, 0.99, 1.0, 1.1, 1.3],
        cut_entry,
        lambda network: network.heal_all(),
        0.1,
    )


@pytest.mark.parametrize("drain_s", [0.0, 0.004, 1.0])
def test_departure_excludes_no_attempt_that_runs(drain_s):
    """Attempts arrive twice, every 0.5 ms before, during and after a stop.

    One that is in flight at the end of the drain, and one that arrives while the node
    waits for acknowledgements, must not be taken for one that never ran.
    """

    async def main():
        bench = Bench()
        await bench.warm()
        departures = []
        bench.entry.handle(Departed, lambda sender, e: departures.append(e))
        loop = asyncio.get_running_loop()
        stopping_s = loop.time() + 0.03
        for number in range(150):
            sent_s = stopping_s + 0.0005 * (number - 55)
            loop.call_at(sent_s, bench.send, f"a{number}")
            loop.call_at(sent_s + 0.003, resend, bench, f"a{number}")
        await asyncio.sleep(0.03)
        await bench.gate.drain(loop.time() + drain_s)
        await bench.gate.notify_peers(loop.time() + 0.05)
        bench.gate.close()
        bench.peers.close()
        await asyncio.sleep(0.1)
        excluded = {
            run.attempt
            for run in bench.sent.values()
            for envelope in departures
            if excludes_run(envelope, make_attempt(run))
        }
        ran = {attempt for attempt in bench.sent if bench.count_runs(attempt)}
        assert not excluded & ran
        assert excluded | ran >= {f"a{number}" for number in range(150)}
        assert 50 < len(excluded) < 120

    run_paused(main())


def resend(bench, attempt):
    bench.entry.send(NODE, bench.sent[attempt])


async def receive_departed(message, incarnation="1", times=1):
    """Return the outcome of a call whose silent node sends `Departed`."""
    fleet = Fleet()
    fleet.leaving.gate.close()
    fleet.leaving.peers.close()
    silent = Peers(fleet.network.open_endpoint("leaving"), incarnation)
    silent.start()
    silent.handle(Run, lambda sender, e: [silent.send(sender, message)] * times)
    outcome, elapsed_s = await fleet.call("c", "once", budget_s=1.0)
    fleet.close()
    return outcome, elapsed_s, fleet.count_runs("c")


def test_departed_ends_attempts_that_it_does_not_name():
    outcome, elapsed_s, runs = run_paused(receive_departed(Departed([], 0.0), times=2))
    assert (type(outcome), runs) == (Answered, 1)
    assert elapsed_s <= 4 * DELAY_S + SERVICE_S


@pytest.mark.parametrize(
    ("message", "incarnation"),
    [
        (Departed(["e-1"], 0.0), "1"),
        (Departed([], 0.0), "0"),
    ],
    ids=["started", "other-incarnation"],
)
def test_departed_of_other_starts_or_attempts_ends_nothing(message, incarnation):
    """Only the incarnation that an attempt names can tell that it did not start it."""
    outcome, _, runs = run_paused(receive_departed(message, incarnation))
    assert (type(outcome), runs) == (Unknown, 0)


def test_departed_excludes_only_what_it_covers():
    """A node may have forgotten an attempt that it started long ago."""

    async def main():
        bench = Bench()
        departures = []
        bench.entry.handle(Departed, lambda sender, e: departures.append(e))
        await bench.call("old", latest_start_s=asyncio.get_running_loop().time() + 0.5)
        await asyncio.sleep(100.0)
        bench.send("late", latest_start_s=asyncio.get_running_loop().time() + 0.5)
        await bench.gate.drain(0.0)
        await bench.gate.notify_peers(0.0)
        await asyncio.sleep(0.01)
        return [
            excludes_run(departures[0], make_attempt(bench.sent[attempt]))
            for attempt in ("old", "late")
        ]

    assert run_paused(main()) == [False, True]


def test_reply_that_comes_after_departed_is_delivered():
    """A named attempt stays open for an answer that was overtaken."""

    async def main():
        fleet = Fleet()
        fleet.leaving.gate.close()
        fleet.leaving.peers.close()
        node = Peers(fleet.network.open_endpoint("leaving"), "1")
        node.start()

        def reply(sender, envelope):
            attempt = envelope.message.attempt
            node.send(sender, Departed([attempt], 0.0))
            node.send(sender, Reply(attempt, "answered", 200), b"late")

        node.handle(Run, reply)
        outcome, _ = await fleet.call("c", "once")
        fleet.close()
        return outcome

    assert run_paused(main()) == Answered(200, (), b"late")


def test_stop_does_not_wait_for_silent_senders_for_long():
    async def main():
        bench = Bench()
        await bench.call("a")
        bench.entry.close()
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await bench.gate.drain(started_s + 5.0)
        await bench.gate.notify_peers(started_s + 5.0)
        assert 0.4 < loop.time() - started_s < 0.6
        notified = bench.list_events(DepartureNotified)
        assert [(e.nodes, e.acknowledged) for e in notified] == [(1, 0)]
        await bench.gate.notify_peers(loop.time())

    run_paused(main())
