"""Cost of idempotency claims: ``python -m benchmarks.claims``.

Delays are simulated on the paused clock; processor time and memory are measured.
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
LOCAL_DELAY_S = 0.0001
CROSS_DOMAIN_DELAYS_S = {"be-central": 0.0015, "litoral": 0.0005}


def make_delay(names, cross_domain_s):
    """Return a function of one-way delays: `cross_domain_s` between domains."""
    domains = {name: DOMAINS[i % len(DOMAINS)] for i, name in enumerate(names)}

    def delay(sender, receiver):
        same_domain = domains.get(sender) == domains.get(receiver)
        return LOCAL_DELAY_S if same_domain else cross_domain_s

    return delay


class FixedLatencyServer(Server):
    """Answers each request after 10 ms."""

    async def _run(self, call):
        await asyncio.sleep(0.01)
        self.runs[call.key].append(call.call_id)
        return Answered(200, (), b"x" * 200)


async def start_fleet(cross_domain_s):
    """Return a fleet without faults, with holders in three domains."""
    names = [f"n{i}" for i in range(5)]
    fleet = Fleet(
        random.Random(1),
        server=FixedLatencyServer(random.Random(1)),
        delay=make_delay(names, cross_domain_s),
    )
    fleet.start(runs_group_controller=False)
    fleet.form_group("n0", "n1", "n2")
    await asyncio.sleep(1.0)
    return fleet


async def measure_keys(cross_domain_s, entries, killed=()):
    """Send each key through `entries` nodes concurrently.

    Returns
    -------
    waits_ms : list of float
        Sorted times from a call's arrival to its dispatch.
    lags_ms : list of float
        Sorted delays of a key's answers behind its first answer.
    messages : float
        Messages per key.
    kilobytes : float
        KiB per key.
    cpu_ms : float
        Processor time per key, in all processes together.
    """
    fleet = await start_fleet(cross_domain_s)
    for name in killed:
        fleet.kill_node(name)
    names = [name for name in fleet.names if name not in killed]
    fleet.events.clear()
    network = fleet.network
    messages, sent_bytes = network.messages_sent, network.bytes_sent
    started_s = time.process_time()
    for i in range(CALLS):
        entry_names = [names[(i + j) % len(names)] for j in range(entries)]
        await asyncio.gather(*(fleet.ask(f"k{i}", name) for name in entry_names))
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


async def measure_replacement(cross_domain_s):
    """Return for how many ms replacing a holder of `KEYS` keys blocks claims.

    The second value is the processor time in ms, in all processes together.
    """
    fleet = await start_fleet(cross_domain_s)
    for name in ("n0", "n1", "n2"):
        fill_table(fleet.nodes[name].holder._replicas[SERVICE].table)
    loop = asyncio.get_running_loop()
    replaced_s, cpu_s = loop.time(), time.process_time()
    fleet.form_group("n0", "n1", "n3")
    holders = [fleet.nodes[name].holder for name in ("n0", "n1", "n3")]
    while sum(h.get_state(SERVICE) is HolderState.ACTIVE for h in holders) < 2:
        await asyncio.sleep(0.001)
    pause_ms = (loop.time() - replaced_s) * 1e3
    cpu_ms = (time.process_time() - cpu_s) * 1e3
    await fleet.stop()
    return pause_ms, cpu_ms


def fill_table(table):
    """Claim `KEYS` keys."""
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
    """Return processor time in ms per simulated second while no group changes."""
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
    """Return measured and accounted bytes per key."""
    tracemalloc.start()
    claim_memory = ClaimMemory(10**9)
    table = ClaimTable(claim_memory)
    fill_table(table)
    measured, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return measured / KEYS, claim_memory.used_bytes / KEYS


def find_quantile(values, quantile):
    """Return a quantile of sorted values."""
    return values[min(len(values) - 1, int(quantile * len(values)))]


def main():
    """Print one line per case."""
    print(
        "deployment  entries dead  wait p50 p99 ms  lag p50 p99 ms  msgs   KB  cpu ms"
    )
    for deployment, cross_domain_s in CROSS_DOMAIN_DELAYS_S.items():
        for entries, killed in ((1, ()), (1, ("n1",)), (2, ()), (5, ())):
            waits, lags, messages, kilobytes, cpu = run_paused(
                measure_keys(cross_domain_s, entries, killed)
            )
            print(
                f"{deployment:12}{entries:7}{len(killed):5}"
                f"{find_quantile(waits, 0.5):10.2f}{find_quantile(waits, 0.99):6.2f}"
                f"{find_quantile(lags, 0.5):10.2f}{find_quantile(lags, 0.99):6.2f}"
                f"{messages:6.1f}{kilobytes:5.1f}{cpu:8.2f}"
            )
        pause_ms, cpu_ms = run_paused(measure_replacement(cross_domain_s))
        print(
            f"{deployment:12}replacing a holder of {KEYS} keys: claims are blocked for "
            f"{pause_ms:.0f} ms, {cpu_ms:.0f} ms of processor time in three processes"
        )
    controller_ms = run_paused(measure_group_controller(230, 10, 8))
    print(
        f"group controller: {controller_ms:.1f} ms per second for 230 services of "
        "10 nodes, 8 shards"
    )
    measured, accounted = measure_memory()
    print(
        f"memory: {measured:.0f} bytes per key without an answer, "
        f"accounted {accounted:.0f}"
    )


if __name__ == "__main__":
    main()
