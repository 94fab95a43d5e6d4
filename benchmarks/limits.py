"""Comparison of rules for the limit of requests in flight, on the paused clock.

Run it with ``python -m benchmarks.limits``. One node with an in-memory server of 12
slots receives open-loop load; all rules run with the same seeds.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import defopt

from sapphireway_coordination import Announcement, Gate
from sapphireway_coordination.gate._limit import (
    UpdateLimit,
    make_additive_update,
    make_gradient_update,
)
from sapphireway_protocol import Peers, Reply, Run
from sapphireway_state import Policy
from sapphireway_transport.memory import MemoryNetwork, MemoryServer, run_paused

SLOTS = 12
SERVICE_TIME_S = 0.005
CAPACITY_PER_S = SLOTS / SERVICE_TIME_S
DEADLINE_MS = 250.0
WARM_UP_S = 1.0
MEASURED_S = 5.0
SEEDS = (1, 2)

InjectFault = Callable[[MemoryServer, random.Random], Awaitable[None]]


@dataclass(slots=True)
class Tally:
    """Results of one run."""

    sent: int = 0
    answered: int = 0
    latencies_s: list[float] = field(default_factory=list)
    overloads: int = 0
    crashes: int = 0


@dataclass(slots=True, frozen=True)
class Case:
    """A load and a fault of the server.

    Attributes
    ----------
    name : str
    load : float
        Share of the server's capacity.
    inject_fault : callable
    """

    name: str
    load: float
    inject_fault: InjectFault


def make_fixed_update() -> UpdateLimit:
    """Return a rule that only raises the limit; the gate caps it at the slots."""
    return lambda limit, sample: limit + 0.5 / limit if sample.ok else limit


async def _inject_nothing(server, rng):
    pass


async def _slow_at_random(server, rng):
    while True:
        await asyncio.sleep(rng.uniform(0.3, 1.0))
        server.slow_factor = 10.0
        await asyncio.sleep(rng.uniform(0.05, 0.5))
        server.slow_factor = 1.0


async def _reduce_capacity(server, rng):
    server.saturation_in_flight = 4.0


async def _relapse_to_cold(server, rng):
    server.cold_requests, server.cold_slots = 15, 2
    server.crashes_on_overload = True
    while True:
        await asyncio.sleep(1.5)
        server.slow_factor = 6.0
        server.become_cold()
        await asyncio.sleep(0.3)
        server.slow_factor = 1.0


CASES = (
    Case("calm", 0.6, _inject_nothing),
    Case("overload 2x", 2.0, _inject_nothing),
    Case("10x slow at random", 0.6, _slow_at_random),
    Case("bears 4 of 12", 0.3, _reduce_capacity),
    Case("cold relapse", 0.3, _relapse_to_cold),
)
RULES = {
    "fixed": make_fixed_update,
    "additive": make_additive_update,
    "gradient": make_gradient_update,
}


def _draw_latency(rng, request):
    return 0.8 * SERVICE_TIME_S + rng.expovariate(1.0) * 0.2 * SERVICE_TIME_S


async def _run_case(case, make_update, seed):
    rng = random.Random(seed)
    loop = asyncio.get_running_loop()
    network = MemoryNetwork(rng)
    server = MemoryServer(rng, SLOTS, _draw_latency)
    entry = Peers(network.open_endpoint("entry"), "e")
    peers = Peers(network.open_endpoint("node"), "n")
    tally, sent_s = Tally(), {}
    gate = Gate(
        peers,
        server,
        rng,
        lambda service, kind: Policy(),
        lambda event: None,
        make_update=make_update,
    )

    def handle_reply(sender, envelope):
        elapsed_s = loop.time() - sent_s.pop(envelope.message.attempt)
        if envelope.message.outcome == "answered":
            tally.answered += 1
            tally.latencies_s.append(elapsed_s)

    def announce():
        gate.announce(
            Announcement("s", "m", "http://s", SLOTS, 200, server.start_id, in_flight=0)
        )
        loop.call_later(0.5, announce)

    def send(number):
        now_s = loop.time()
        sent_s[str(number)] = now_s
        run = Run(
            str(number), str(number), "m", "k", "GET", "/", [], True, 10, "",
            DEADLINE_MS, now_s + 0.2, "n",
        )  # fmt: skip
        entry.send("node", run)

    entry.handle(Reply, handle_reply)
    entry.start()
    peers.start()
    announce()
    number = 0
    fault_task = None
    while loop.time() < WARM_UP_S + MEASURED_S:
        if fault_task is None and loop.time() >= WARM_UP_S:
            fault_task = asyncio.create_task(case.inject_fault(server, rng))
            tally.answered, tally.latencies_s = 0, []
            first_number = number
        send(number)
        number += 1
        await asyncio.sleep(rng.expovariate(case.load * CAPACITY_PER_S))
    fault_task.cancel()
    await asyncio.sleep(0.5)
    tally.sent = number - first_number
    tally.overloads, tally.crashes = server.overloads, server.crashes
    gate.close()
    return tally


def _print_row(case, name, tallies):
    latencies_ms = sorted(s * 1000 for tally in tallies for s in tally.latencies_s)
    goodput = sum(tally.answered for tally in tallies) / len(tallies) / MEASURED_S
    offered = sum(tally.sent for tally in tallies) / len(tallies) / MEASURED_S
    p50, p99 = (latencies_ms[int(len(latencies_ms) * share)] for share in (0.5, 0.99))
    overloads = sum(tally.overloads for tally in tallies)
    crashes = sum(tally.crashes for tally in tallies)
    print(
        f"{case.name:20} {name:9} {offered:8.0f} {goodput:8.0f} "
        f"{p50:8.1f} {p99:8.1f} {overloads:9} {crashes:7}"
    )


def run(*, names: str = "") -> None:
    """Print one line per case and rule.

    Parameters
    ----------
    names : str
        Comma-separated names of cases; all by default.
    """
    print(
        f"{'case':20} {'rule':9} {'sent/s':>8} {'good/s':>8} "
        f"{'p50 ms':>8} {'p99 ms':>8} {'overloads':>9} {'crashes':>7}"
    )
    chosen = [case for case in CASES if not names or case.name in names.split(",")]
    for case in chosen:
        for name, make_update in RULES.items():
            tallies = [run_paused(_run_case(case, make_update, s)) for s in SEEDS]
            _print_row(case, name, tallies)


if __name__ == "__main__":
    defopt.run(run)
