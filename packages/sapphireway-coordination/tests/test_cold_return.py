"""Simulates recovery from a power loss: cold servers, and all callers at once."""

import asyncio
import random
import statistics

import pytest

from sapphireway_coordination import Call, Member, make_choose_lowest_cost
from sapphireway_coordination.gate._admission import AdmissionQueue, Waiter
from sapphireway_coordination.gate._announcement import Announcement
from sapphireway_coordination.gate._capacity import RunningRequest, ServerCapacity
from sapphireway_coordination.routing._loads import ServerLoad
from sapphireway_protocol import LoadReport, NotRunReason, ServerState
from sapphireway_state import Policy
from sapphireway_transport import Responded
from sapphireway_transport.memory import run_paused

SERVERS = 5
SLOTS = 12
COLD_S = 3.0
STARTS_PER_S = 20.0
WORK_S = 0.15
CALLS_PER_S = 90.0  # nine tenths of the cold servers' total start rate
LIGHT_CALLS_PER_S = 60.0
BACKLOG = 60  # calls that arrive at once when the nodes are back
TARGET_S = 0.4
DEADLINE_S = 1.0
NETWORK_DELAY_S = 0.002
ENTRIES = 8


class ColdServer:
    """A cold server with the admission logic of its gate."""

    def __init__(self, name, domain):
        self.name, self.domain = name, domain
        self.loop = asyncio.get_running_loop()
        announcement = Announcement(
            name,
            "x",
            "http://127.0.0.1:1",
            SLOTS,
            100,
            "1",
            0,
            cold_s=COLD_S,
            cold_rate_per_s=STARTS_PER_S,
        )
        self.capacity = ServerCapacity(
            announcement, SLOTS, self.loop.time, lambda event: None, self.dispatch
        )
        self.queue = AdmissionQueue(self.loop.time)
        self.starts = 0
        self.refused = 0
        self.refused_late = 0

    async def run(self, attempt, arrived_s, deadline_s):
        """Tell whether the attempt was answered before its deadline."""
        if not self.capacity.has_room() or self.queue:
            waiter = Waiter(
                attempt,
                1,
                deadline_s,
                deadline_s,
                WORK_S,
                self.loop.create_future(),
                arrived_s=arrived_s,
            )
            refusal = self.push(waiter)
            if refusal is None:
                self.dispatch()
                timer = self.loop.call_at(
                    waiter.start_by_s, self.queue.refuse, waiter, NotRunReason.DEADLINE
                )
                refusal = await waiter.decision
                timer.cancel()
                self.refused_late += refusal is not None
            if refusal is not None:
                self.refused += 1
                return None
        else:
            self.start(attempt)
        await asyncio.sleep(WORK_S)
        self.capacity.end(attempt, Responded(200, (), b""))
        return self.loop.time() <= deadline_s

    def push(self, waiter):
        wait_s = self.capacity.estimate_wait_s(*self.queue.sum_ahead(waiter))
        return self.queue.push(waiter, 64, wait_s)

    def dispatch(self):
        while self.capacity.has_room():
            waiter = self.queue.pop()
            if waiter is None:
                return
            self.start(waiter.attempt)
            waiter.decide(None)

    def start(self, attempt):
        self.starts += 1
        running = RunningRequest(attempt, "k", "", self.loop.time(), False, False)
        self.capacity.start(running)

    def get_report(self):
        return LoadReport(
            self.name,
            self.capacity.in_flight,
            len(self.queue),
            self.capacity.limit,
            WORK_S * 1000,
            ServerState.COLD if self.capacity.cold else ServerState.SERVING,
            "1",
            1.0,
            starts_per_s=self.capacity.starts_per_s,
        )


class Fleet:
    """Entry nodes that place calls on cold servers by their last load reports."""

    def __init__(self, seed, calls_per_s=CALLS_PER_S, backlog=BACKLOG):
        self.calls_per_s = calls_per_s
        self.backlog = backlog
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        domains = ("a", "a", "b", "b", "c")
        self.servers = {f"s{i}": ColdServer(f"s{i}", d) for i, d in enumerate(domains)}
        self.entries = [self.make_entry() for _ in range(ENTRIES)]
        self.choose = make_choose_lowest_cost(
            "a", lambda call: WORK_S, lambda call: 4 * 1024.0
        )
        self.results = []

    def make_entry(self):
        return {
            name: ServerLoad(Member(name, "x", name, s.domain, "r", "1", "1", SLOTS))
            for name, s in self.servers.items()
        }

    async def call(self, number):
        arrived_s = self.loop.time()
        deadline_s = arrived_s + DEADLINE_S
        policy = Policy(idempotent=True, crossing_ms_per_kb=10.0)
        call = Call("c", "x", "k", "GET", "/", (), b"", deadline_s, None, policy)
        candidates = dict(self.rng.choice(self.entries))
        answered = None
        while candidates and answered is None and self.loop.time() < deadline_s:
            loads = list(candidates.values())
            load = self.choose(loads, call, self.rng, self.loop.time())
            del candidates[load.member.server]
            answered = await self.attempt(load, number, deadline_s)
        self.results.append((answered, self.loop.time() - arrived_s))

    async def attempt(self, load, number, deadline_s):
        server = self.servers[load.member.server]
        load.outstanding[number] = self.loop.time()
        await asyncio.sleep(NETWORK_DELAY_S)
        answered = await server.run(str(number), self.loop.time(), deadline_s)
        report = server.get_report()
        await asyncio.sleep(NETWORK_DELAY_S)
        del load.outstanding[number]
        load.record_report(report, self.loop.time())
        return answered

    async def simulate(self):
        for entry in self.entries:
            for load in entry.values():
                report = self.servers[load.member.server].get_report()
                load.record_report(report, self.loop.time())
        calls = {asyncio.ensure_future(self.call(n)) for n in range(self.backlog)}
        number = self.backlog
        while self.loop.time() < COLD_S:
            await asyncio.sleep(self.rng.expovariate(self.calls_per_s))
            calls.add(asyncio.ensure_future(self.call(number)))
            number += 1
        await asyncio.gather(*calls)
        return self


def run_cold_period(seed, **load):
    """Return a fleet after the three seconds in which its servers are cold."""

    async def simulate():
        return await Fleet(seed, **load).simulate()

    return run_paused(simulate())


@pytest.fixture(params=[1, 2, 3, 4])
def recovered_fleet(request):
    """Return a fleet after all callers have come back at once."""
    return run_cold_period(request.param)


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_cold_servers_meet_target_latency_below_start_rate(seed):
    # The start rate suffices for all calls, so an answer is late only if its call was
    # placed in a longer queue than another server's.
    fleet = run_cold_period(seed, calls_per_s=LIGHT_CALLS_PER_S, backlog=0)
    in_time = sum(bool(ok) and s <= TARGET_S for ok, s in fleet.results)
    assert in_time >= 0.95 * len(fleet.results)


def test_cold_servers_use_their_start_rate_under_backlog(recovered_fleet):
    # The backlog and the new calls exceed the start rate, but no start is wasted.
    answered = sum(bool(ok) for ok, _ in recovered_fleet.results)
    starts_max = SERVERS * STARTS_PER_S * COLD_S
    assert answered >= 0.9 * min(starts_max, len(recovered_fleet.results))


def test_cold_servers_share_load_evenly(recovered_fleet):
    starts = [server.starts for server in recovered_fleet.servers.values()]
    assert min(starts) >= 0.8 * statistics.mean(starts)


def test_cold_servers_refuse_on_arrival_what_cannot_start_in_time(recovered_fleet):
    refused = sum(server.refused for server in recovered_fleet.servers.values())
    late = sum(server.refused_late for server in recovered_fleet.servers.values())
    assert late <= 0.1 * max(refused, 1)
