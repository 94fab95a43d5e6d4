"""Cost of idempotency claims: ``python -m benchmarks.claims``.

Delays are those of a paused clock; processor time and memory are this machine's.
"""

import asyncio
import random
import time
import tracemalloc

from tests.claims.fleet import DOMAINS, SERVICE, Fleet, Server

from sapphireway_coordination import (
    ClaimEnd,
    ClaimEnded,
    ClaimGroupController,
    ClaimGroupMachine,
    GroupControllerSettings,
    HolderState,
    Member,
)
from sapphireway_protocol import Answered, Peers
from sapphireway_state import ClaimMemory, ClaimTable
from sapphireway_transport.memory import MemoryNetwork, run_paused

CALLS = 400
KEYS = 20_000
WITHIN_DOMAIN_S = 0.0001
DEPLOYMENTS = {"be-central": 0.0015, "litoral": 0.0005}


def make_delay(names, between_s):
    """Return one-way delays: short within a domain, `between_s` between two."""
    domains = {name: DOMAINS[i % len(DOMAINS)] for i, name in enumerate(names)}

    def delay(sender, receiver):
        same = domains.get(sender) == domains.get(receiver)
        return WITHIN_DOMAIN_S if same else between_s

    return delay


class FixedServer(Server):
    """Answers each request after 10 ms."""

    async def _run(self, call):
        await asyncio.sleep(0.01)
        self.runs[call.key].append(call.call_id)
        return Answered(200, (), b"x" * 200)


async def open_fleet(between_s):
    """Return a calm fleet with holders in three domains."""
    names = [f"n{i}" for i in range(5)]
    fleet = Fleet(
        random.Random(1),
        server=FixedServer(random.Random(1)),
        delay=make_delay(names, between_s),
    )
    fleet.start(runs_group_controller=False)
    fleet.form_group("n0", "n1", "n2")
    await asyncio.sleep(1.0)
    return fleet


async def measure_keys(between_s, entries, dead=()):
    """Send keys through `entries` nodes at once.

    Returns
    -------
    waits_ms : list of float
        Sorted times from a call's arrival to its dispatch.
    lags_ms : list of float
        Sorted times by which the others' answers came after the first one's.
    messages : float
        Messages a key.
    kilobytes : float
        Bytes a key, in units of 1024.
    cpu_ms : float
        Processor time a key in all processes together.
    """
    fleet = await open_fleet(between_s)
    for name in dead:
        fleet.kill_node(name)
    names = [name for name in fleet.names if name not in dead]
    fleet.events.clear()
    network = fleet.network
    messages, sent_bytes = network.messages_sent, network.bytes_sent
    started_s = time.process_time()
    for i in range(CALLS):
        at = [names[(i + j) % len(names)] for j in range(entries)]
        await asyncio.gather(*(fleet.ask(f"k{i}", name) for name in at))
        await asyncio.sleep(0.05)
    cpu_ms = (time.process_time() - started_s) * 1e3 / CALLS
    ends = [event for event in fleet.events if isinstance(event, ClaimEnded)]
    waits_ms = sorted(e.elapsed_s * 1e3 for e in ends if e.end is ClaimEnd.DISPATCHED)
    lags_ms = sorted(
        (s.ended_s - min(t.ended_s for t in sent)) * 1e3
        for sent in fleet.submissions.values()
        for s in sent
    )
    assert all(len(runs) == 1 for runs in fleet.server.runs.values())
    messages = (network.messages_sent - messages) / CALLS
    kilobytes = (network.bytes_sent - sent_bytes) / CALLS / 1024
    await fleet.stop()
    return waits_ms, lags_ms, messages, kilobytes, cpu_ms


async def measure_take_over(between_s):
    """Return how long claims stand still while a holder with many keys is replaced."""
    fleet = await open_fleet(between_s)
    for name in ("n0", "n1", "n2"):
        fill_table(fleet.nodes[name].holder._replicas[SERVICE].table)
    loop = asyncio.get_running_loop()
    decided_s, cpu_s = loop.time(), time.process_time()
    fleet.form_group("n0", "n1", "n3")
    holders = [fleet.nodes[name].holder for name in ("n0", "n1", "n3")]
    while sum(h.get_state(SERVICE) is HolderState.ACTIVE for h in holders) < 2:
        await asyncio.sleep(0.001)
    pause_ms = (loop.time() - decided_s) * 1e3
    cpu_ms = (time.process_time() - cpu_s) * 1e3
    await fleet.stop()
    return pause_ms, cpu_ms


def fill_table(table):
    """Claim many keys."""
    for i in range(KEYS):
        table.claim(
            0.0,
            f"key-{i:016d}",
            "d" * 32,
            f"call-{i:016d}",
            1,
            budget_s=1.0,
            ttl_s=3_600.0,
            seen_fence=0,
        )


async def measure_group_controller(services, nodes, shards):
    """Return processor time in ms of one check of all groups while nothing happens."""
    members = {
        f"s{i}": [
            Member(f"{i}.{j}", f"s{i}", f"n{i}.{j}", f"d{j % 4}", "r", "1", "1", 6)
            for j in range(nodes)
        ]
        for i in range(services)
    }
    network = MemoryNetwork(random.Random(1))
    machine = ClaimGroupMachine()

    async def propose(command):
        return machine.apply(0, command)

    group_controller = ClaimGroupController(
        Peers(network.open_endpoint("control"), "control"),
        lambda: members,
        members.__getitem__,
        machine.get_group,
        lambda service: 1.0,
        propose,
        lambda: True,
        GroupControllerSettings(),
        shards,
    )
    running = asyncio.create_task(group_controller.run())
    await asyncio.sleep(1.5)
    started_s = time.process_time()
    await asyncio.sleep(20.0)
    running.cancel()
    return (time.process_time() - started_s) * 1e3 / 20


def measure_memory():
    """Return measured and counted bytes a key."""
    tracemalloc.start()
    space = ClaimMemory(10**9)
    table = ClaimTable(space)
    fill_table(table)
    measured, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return measured / KEYS, space.used_bytes / KEYS


def pick(values, share):
    """Return the value that `share` of the sorted values do not exceed."""
    return values[min(len(values) - 1, int(share * len(values)))]


def main():
    """Print one line a case."""
    print(
        "place       entries dead  wait p50 p99 ms  lag p50 p99 ms  msgs   KB  cpu ms"
    )
    for place, between_s in DEPLOYMENTS.items():
        for entries, dead in ((1, ()), (1, ("n1",)), (2, ()), (5, ())):
            waits, lags, messages, kilobytes, cpu = run_paused(
                measure_keys(between_s, entries, dead)
            )
            print(
                f"{place:12}{entries:7}{len(dead):5}"
                f"{pick(waits, 0.5):10.2f}{pick(waits, 0.99):6.2f}"
                f"{pick(lags, 0.5):10.2f}{pick(lags, 0.99):6.2f}"
                f"{messages:6.1f}{kilobytes:5.1f}{cpu:8.2f}"
            )
        pause_ms, cpu_ms = run_paused(measure_take_over(between_s))
        print(
            f"{place:12}replacing a holder of {KEYS} keys: claims stand still for "
            f"{pause_ms:.0f} ms, {cpu_ms:.0f} ms of processor time in three processes"
        )
    pass_ms = run_paused(measure_group_controller(230, 10, 8))
    print(f"keeper: {pass_ms:.1f} ms a second for 230 services of 10 nodes, 8 shards")
    measured, counted = measure_memory()
    print(
        f"memory: {measured:.0f} bytes a key without an answer, counted {counted:.0f}"
    )


if __name__ == "__main__":
    main()
