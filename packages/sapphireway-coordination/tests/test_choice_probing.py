"""Plays calls to fleets of noisy hosts by entry nodes that each send few of them."""

import asyncio
import random

import pytest

from sapphireway_coordination import Call, Member, make_choose_lowest_cost
from sapphireway_coordination.routing._choice_probing import (
    FIRST_REPLY_WAITS,
    WAIT_MAX_S,
    ChoiceProber,
    compute_probe_wait,
)
from sapphireway_coordination.routing._loads import ServerLoad
from sapphireway_protocol import LoadReport, Peers, Probe, ProbeReply, ServerState
from sapphireway_state import Policy
from sapphireway_transport.memory import MemoryNetwork, run_paused

SLOTS = 3
WORK_S = 0.2
TARGET_S = 0.8
SLOWNESS = 7.0
SLOW_SHARE = 0.25
SLOW_PERIOD_S = 0.5
CALLS_PER_HOST_AND_S = 2.4
DURATION_S = 6.0
PROBES = 4


class Host:
    """A server and its node; the host is slow at random for some time."""

    def __init__(self, network, name, rng):
        self.name, self.rng = name, rng
        self.in_flight = 0
        self.slowness = 1.0
        self.slots = asyncio.Semaphore(SLOTS)
        self.peers = Peers(network.open_endpoint(name), name)
        self.peers.handle(Probe, self.handle_probe)
        self.peers.start()

    def handle_probe(self, sender, envelope):
        self.peers.reply(sender, envelope, ProbeReply(self.get_report()))

    def get_report(self):
        running = min(self.in_flight, SLOTS)
        queued = self.in_flight - running
        return LoadReport(
            self.name,
            running,
            queued,
            SLOTS,
            WORK_S,
            ServerState.SERVING,
            "1",
            self.slowness,
            SLOW_PERIOD_S,
        )

    async def change_slowness(self):
        while True:
            self.slowness = SLOWNESS if self.rng.random() < SLOW_SHARE else 1.0
            await asyncio.sleep(SLOW_PERIOD_S * self.rng.uniform(0.9, 1.1))

    async def run(self):
        self.in_flight += 1
        async with self.slots:
            left_s = WORK_S
            while left_s > 0.0:
                await asyncio.sleep(0.02)
                left_s -= 0.02 / self.slowness
        self.in_flight -= 1


class Entry:
    """An entry node that chooses a host for each call."""

    def __init__(self, network, name, hosts, rng, probes):
        self.hosts = {host.name: host for host in hosts}
        self.rng, self.probes = rng, probes
        self.policy = Policy(idempotent=True, choice_probes=probes)
        self.loop = asyncio.get_running_loop()
        self.peers = Peers(network.open_endpoint(name), name)
        self.peers.handle(ProbeReply, self.handle_reply)
        self.peers.start()
        self.loads = {
            host.name: ServerLoad(
                Member(host.name, "x", host.name, "d", "r", "1", "1", SLOTS)
            )
            for host in hosts
        }
        self.choose = make_choose_lowest_cost("d", lambda _: WORK_S, lambda _: 0.0)
        self.prober = ChoiceProber(self.peers, self.choose, self.loop.time)

    def handle_reply(self, sender, envelope):
        self.record(envelope.message.load)

    def record(self, report):
        self.loads[report.server].record_report(report, self.loop.time())
        self.prober.record_report(report.server)

    async def call(self):
        """Return whether the call was answered within its target."""
        started_s = self.loop.time()
        load = await self.pick()
        load.outstanding[started_s] = started_s
        host = self.hosts[load.member.server]
        await host.run()
        del load.outstanding[started_s]
        self.record(host.get_report())
        return self.loop.time() <= started_s + TARGET_S

    async def pick(self):
        if self.probes is None:
            return min(self.loads.values(), key=self.get_true_cost)
        call = Call("c", "x", "k", "GET", "/", (), b"", 9.0, None, self.policy)
        candidates = list(self.loads.values())
        if self.probes:
            candidates = await self.prober.probe(candidates, call, self.rng, WAIT_MAX_S)
        return self.choose(candidates, call, self.rng, self.loop.time())

    def get_true_cost(self, load):
        host = self.hosts[load.member.server]
        return host.slowness + host.in_flight / SLOTS, self.rng.random()


def play(host_count, probes, seed=1):
    """Return the share of calls in time and the probes per call.

    With `probes` None, every choice is made with the true state of all hosts.
    """

    async def main():
        rng = random.Random(seed)
        network = MemoryNetwork(rng)
        hosts = [Host(network, f"h{i}", rng) for i in range(host_count)]
        changes = [asyncio.create_task(host.change_slowness()) for host in hosts]
        entries = [
            Entry(network, f"e{i}", hosts, rng, probes) for i in range(host_count)
        ]
        calls = []
        while entries[0].loop.time() < DURATION_S:
            await asyncio.sleep(rng.expovariate(CALLS_PER_HOST_AND_S * host_count))
            calls.append(asyncio.create_task(rng.choice(entries).call()))
        in_time = await asyncio.gather(*calls)
        for change in changes:
            change.cancel()
        sent = sum(entry.prober.sent for entry in entries)
        return sum(in_time) / len(in_time), sent / len(in_time)

    return run_paused(main())


@pytest.mark.parametrize("host_count", [30, 100])
def test_few_probes_choose_nearly_as_well_as_a_view_of_all_hosts(host_count):
    stale, _ = play(host_count, 0)
    probed, probes_per_call = play(host_count, PROBES)
    full_view, _ = play(host_count, None)
    assert 1.0 - probed <= 0.5 * (1.0 - stale)
    assert probed >= full_view - 0.01
    assert probes_per_call <= PROBES


def pick_with_silent_hosts(silent, delay_s=0.0):
    """Return how long a choice among three hosts took, and the chosen one."""

    async def main():
        rng = random.Random(1)
        network = MemoryNetwork(rng, lambda sender, receiver: 0.0015 + delay_s)
        hosts = [Host(network, f"h{i}", rng) for i in range(3)]
        entry = Entry(network, "e", hosts, rng, PROBES)
        for name in silent:
            network.freeze(name)
        started_s = entry.loop.time()
        load = await entry.pick()
        return entry.loop.time() - started_s, load.member.server

    return run_paused(main())


def test_one_silent_host_delays_a_choice_by_the_wait_for_all():
    elapsed_s, server = pick_with_silent_hosts(["h1"])
    assert elapsed_s <= WAIT_MAX_S + 0.001
    assert server != "h1"


def test_silent_hosts_delay_a_choice_by_the_wait_for_a_first_reply_at_most():
    elapsed_s, _ = pick_with_silent_hosts(["h0", "h1", "h2"])
    assert elapsed_s <= FIRST_REPLY_WAITS * WAIT_MAX_S + 0.001


def test_choice_waits_for_a_first_reply_over_new_links():
    """After a loss of power, links are made anew, on hosts that have just started."""
    elapsed_s, server = pick_with_silent_hosts(["h0", "h2"], delay_s=0.02)
    assert WAIT_MAX_S < elapsed_s <= 0.045
    assert server == "h1"


@pytest.mark.parametrize(
    ("latency_s", "wait_s"), [(None, WAIT_MAX_S), (1.0, WAIT_MAX_S), (0.002, 0.0)]
)
def test_calls_as_short_as_a_round_trip_are_not_probed(latency_s, wait_s):
    assert compute_probe_wait(latency_s) == wait_s
