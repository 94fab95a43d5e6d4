import asyncio
import collections
import random

import pytest

from sapphireway_coordination import Call, Member, make_choose_lowest_cost
from sapphireway_coordination.routing._loads import ServerLoad
from sapphireway_coordination.routing._routing import choose_least_in_flight
from sapphireway_protocol import LoadReport, ServerState
from sapphireway_state import Policy
from sapphireway_transport.memory import run_paused

DOMAINS = ("a", "b", "c")
SLOTS = 6
WORK_S = 0.06
SLOW = 7.0
NEWS_AFTER_WORK_S = 3.0


def make_load(name="s", domain="a", slowness=1.0, in_flight=0, received_s=0.0):
    member = Member(name, "x", name, domain, "r", "1", "1", SLOTS)
    load = ServerLoad(member)
    report = LoadReport(
        name, in_flight, 0, SLOTS, 0.0, ServerState.SERVING, "1", slowness
    )
    load.record_report(report, received_s)
    return load


def make_call(body=b"", crossing_ms_per_kb=0.0):
    policy = Policy(idempotent=True, crossing_ms_per_kb=crossing_ms_per_kb)
    return Call("c", "x", "k", "GET", "/", (), body, 1.0, None, policy)


choose = make_choose_lowest_cost("a", lambda call: WORK_S, lambda call: 0.0)


@pytest.mark.parametrize(
    ("loads", "chosen"),
    [
        ([make_load("fast"), make_load("slow", slowness=SLOW)], "fast"),
        ([make_load("full", in_flight=12), make_load("free")], "free"),
        # Still better behind a short queue than on a host that is seven times slower.
        ([make_load("busy", in_flight=8), make_load("slow", slowness=SLOW)], "busy"),
        # News this old tell nothing more of a host that changes twice a second.
        (
            [
                make_load("old", slowness=SLOW, received_s=-9.0),
                make_load("slow", slowness=SLOW),
            ],
            "old",
        ),
    ],
)
def test_cheapest_server_is_chosen(loads, chosen):
    load = choose(loads, make_call(), random.Random(1), 0.0)
    assert load.member.server == chosen


@pytest.mark.parametrize(
    ("slowness", "in_flight", "chosen"), [(1.0, 4, "near"), (SLOW, 0, "far")]
)
def test_large_body_leaves_the_domain_only_if_staying_is_slow(
    slowness, in_flight, chosen
):
    near = make_load("near", "a", slowness, in_flight)
    far = make_load("far", "b")
    call = make_call(bytes(60_000), crossing_ms_per_kb=5.0)
    assert choose([near, far], call, random.Random(1), 0.0).member.server == chosen


class NoisyHost:
    """A server whose host is slow for half a second at a time."""

    def __init__(self, name, rng, slow_share=0.3):
        self.name, self.rng, self.slow_share = name, rng, slow_share
        self.slowness = 1.0
        self.running = set()

    async def change(self, tell=lambda host: None):
        await asyncio.sleep(self.rng.uniform(0.0, 0.5))
        while True:
            self.slowness = SLOW if self.rng.random() < self.slow_share else 1.0
            tell(self)
            await asyncio.sleep(0.5)

    async def run(self, request):
        self.running.add(request)
        done_s = 0.0
        while done_s < WORK_S:
            await asyncio.sleep(0.01)
            done_s += 0.01 / self.slowness
        self.running.discard(request)

    def make_load(self, now_s):
        return make_load(self.name, "a", self.slowness, len(self.running), now_s)


def play_noisy_hosts(choose, seed, requests=600, per_s=70.0):
    """Return the latencies of requests on five hosts, three in ten of them slow."""

    async def play():
        rng = random.Random(seed)
        hosts = {f"s{i}": NoisyHost(f"s{i}", rng) for i in range(5)}
        changing = [asyncio.ensure_future(h.change()) for h in hosts.values()]
        loop = asyncio.get_running_loop()
        latencies = []
        running = set()

        async def call(number):
            started_s = loop.time()
            loads = [host.make_load(loop.time()) for host in hosts.values()]
            for load in loads:
                count = len(hosts[load.member.server].running)
                load.outstanding = dict.fromkeys(range(count), loop.time())
                load.outstanding_at_report = count
            chosen = choose(loads, make_call(), rng, loop.time())
            await hosts[chosen.member.server].run(number)
            latencies.append(loop.time() - started_s)

        for number in range(requests):
            running.add(asyncio.ensure_future(call(number)))
            await asyncio.sleep(rng.expovariate(per_s))
        await asyncio.gather(*running)
        for task in changing:
            task.cancel()
        return latencies

    return run_paused(play())


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_noisy_hosts_make_few_requests_late(seed):
    aim_s = 3.3 * WORK_S
    late = collections.Counter()
    for name, way in (("placed", choose), ("least", choose_least_in_flight)):
        late[name] = sum(x > aim_s for x in play_noisy_hosts(way, seed))
    # Only a host that turns slow under a request can make it late: that is three in
    # ten of the requests that meet a change, of which there are two a second.
    assert late["placed"] <= 600 * 0.3 * 2 * WORK_S * 1.5
    # The target of docs/design/routing.md: half of the best baseline.
    assert late["placed"] * 2 <= late["least"]


class Entry:
    """What one of many entry nodes knows of the servers."""

    def __init__(self, hosts):
        self.loads = {
            name: ServerLoad(Member(name, "x", name, "a", "r", "1", "1", SLOTS))
            for name in hosts
        }
        self.sent_s = {}


async def play_sparse_fleet(choose, seed, entries=60, servers=40, requests=1500):
    """Return the latencies of a fleet where each node sees little of each server.

    A quarter of the slots would do if no host were slow; two in five are. Servers
    tell changes to the nodes that sent them work lately, as `Gate` does.
    """
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    hosts = {f"s{i}": NoisyHost(f"s{i}", rng, slow_share=0.4) for i in range(servers)}
    nodes = [Entry(hosts) for _ in range(entries)]

    def report(host, node):
        load = node.loads[host.name]
        load.record_report(host.make_load(loop.time()).report, loop.time())

    def tell(host):
        for node in nodes:
            if loop.time() - node.sent_s.get(host.name, -9.0) < NEWS_AFTER_WORK_S:
                report(host, node)

    changing = [asyncio.ensure_future(h.change(tell)) for h in hosts.values()]
    latencies = []

    async def call(number):
        started_s = loop.time()
        node = rng.choice(nodes)
        load = choose(list(node.loads.values()), make_call(), rng, started_s)
        host = hosts[load.member.server]
        load.outstanding[number] = started_s
        node.sent_s[host.name] = started_s
        while len(host.running) >= SLOTS:
            await asyncio.sleep(0.01)
        await host.run(number)
        del load.outstanding[number]
        report(host, node)
        latencies.append(loop.time() - started_s)

    running = set()
    per_s = 0.25 * servers * SLOTS / WORK_S
    for number in range(requests):
        running.add(asyncio.ensure_future(call(number)))
        await asyncio.sleep(rng.expovariate(per_s))
    await asyncio.gather(*running)
    for task in changing:
        task.cancel()
    return latencies


def test_nodes_that_see_little_of_each_server_find_fast_hosts():
    aim_s = 3.3 * WORK_S
    late = {
        name: sum(x > aim_s for x in run_paused(play_sparse_fleet(way, 1)))
        for name, way in (("placed", choose), ("least", choose_least_in_flight))
    }
    # The target of docs/design/routing.md: half of the best baseline.
    assert late["placed"] * 2 <= late["least"], late
