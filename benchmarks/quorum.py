"""Cost and failover time of the replicated journal: ``python -m benchmarks.quorum``."""

import asyncio
import random
import socket
import statistics
import tempfile
import time
from pathlib import Path

from tests.quorum_cluster import Cluster, ListMachine

from sapphireway_coordination import (
    Committed,
    ControlClient,
    ControlHostList,
    Quorum,
    Role,
)
from sapphireway_protocol import Peers
from sapphireway_transport import FileDisk, ZmqEndpoint
from sapphireway_transport.memory import run_paused

IDLE_S = 600.0
FAILOVERS = 40
EDITS = 300
EDIT_BYTES = 300


def find_percentile(values, percentile):
    """Return a percentile of the values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, len(ordered) * percentile // 100)]


async def measure_idle(size):
    """Return messages, bytes and processor seconds per second without edits."""
    cluster = Cluster(size)
    await cluster.start()
    await cluster.wait_until(cluster.is_healthy)
    await cluster.open_client().propose(b"first", 10.0)
    await asyncio.sleep(10)
    network = cluster.network
    messages, sent_bytes = network.messages_sent, network.bytes_sent
    cpu_started_s = time.process_time()
    await asyncio.sleep(IDLE_S)
    return (
        (network.messages_sent - messages) / IDLE_S,
        (network.bytes_sent - sent_bytes) / IDLE_S,
        (time.process_time() - cpu_started_s) / IDLE_S,
    )


async def measure_edits(size):
    """Return messages, bytes and processor seconds that one edit adds."""
    cluster = Cluster(size)
    await cluster.start()
    await cluster.wait_until(cluster.is_healthy)
    client = cluster.open_client()
    await client.propose(b"first", 10.0)
    network = cluster.network
    messages, sent_bytes = network.messages_sent, network.bytes_sent
    cpu_started_s = time.process_time()
    for number in range(EDITS):
        await client.propose(b"%d" % number + bytes(EDIT_BYTES), 10.0)
    return (
        (network.messages_sent - messages) / EDITS,
        (network.bytes_sent - sent_bytes) / EDITS,
        (time.process_time() - cpu_started_s) / EDITS,
    )


async def measure_failover(size, seed):
    """Return seconds from the leader's power loss to the next accepted command."""
    cluster = Cluster(size, seed)
    await cluster.start()
    await cluster.wait_until(cluster.is_healthy)
    client = cluster.open_client()
    await client.propose(b"before", 10.0)
    await asyncio.sleep(cluster.rng.random())
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    cluster.crash(cluster.leader())
    await client.propose(b"after", 30.0)
    return loop.time() - started_s


def find_free_addresses(count):
    """Return unused loopback addresses."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = [f"127.0.0.1:{s.getsockname()[1]}" for s in sockets]
    for reserved in sockets:
        reserved.close()
    return addresses


def open_peers(address):
    """Return started peers that listen on a socket."""
    peers = Peers(ZmqEndpoint(address), address)
    peers.start()
    return peers


async def measure_sockets(size, folder):
    """Return latencies of edits with real sockets and files, all in this process."""
    addresses = find_free_addresses(size + 1)
    control_addresses = addresses[:size]
    peers = [open_peers(address) for address in addresses]
    disks = [FileDisk(Path(folder) / str(number)) for number in range(size)]
    quorums = []
    for number in range(size):
        machine = ListMachine({}, 0)
        rng = random.Random(number)
        quorum = Quorum(
            peers[number],
            disks[number],
            machine,
            control_addresses,
            rng,
            bootstrap=True,
        )
        await quorum.start()
        quorums.append(quorum)
    while all(quorum.get_status().role != Role.LEADER for quorum in quorums):
        await asyncio.sleep(0.05)
    client = ControlClient(
        peers[-1], ControlHostList(control_addresses), random.Random(9)
    )
    latencies_ms = []
    for number in range(EDITS):
        started_s = time.perf_counter()
        outcome = await client.propose(b"%d" % number + bytes(EDIT_BYTES), 10.0)
        assert isinstance(outcome, Committed)
        latencies_ms.append((time.perf_counter() - started_s) * 1e3)
    for quorum, disk in zip(quorums, disks, strict=True):
        await quorum.stop()
        disk.close()
    for endpoint_peers in peers:
        endpoint_peers.close()
    return latencies_ms


def main():
    """Print all results."""
    for size in (3, 5, 7):
        messages, sent_bytes, cpu_s = run_paused(measure_idle(size))
        print(
            f"{size} idle hosts: {messages:.1f} messages/s, {sent_bytes:.0f} B/s, "
            f"{cpu_s * 1e3:.2f} ms of processor time per second, all hosts together"
        )
        messages, sent_bytes, cpu_s = run_paused(measure_edits(size))
        print(
            f"{size} hosts, one edit of {EDIT_BYTES} B: {messages:.1f} messages, "
            f"{sent_bytes:.0f} B, {cpu_s * 1e3:.2f} ms of processor time"
        )
        times = [run_paused(measure_failover(size, seed)) for seed in range(FAILOVERS)]
        print(
            f"{size} hosts, leader lost: next command accepted after "
            f"{statistics.median(times):.2f} s (p50), "
            f"{find_percentile(times, 99):.2f} s (worst of {FAILOVERS})"
        )
    for size in (3, 7):
        with tempfile.TemporaryDirectory() as folder:
            latencies_ms = asyncio.run(measure_sockets(size, folder))
        print(
            f"{size} hosts over sockets and files: an edit takes "
            f"{statistics.median(latencies_ms):.1f} ms (p50), "
            f"{find_percentile(latencies_ms, 99):.1f} ms (p99)"
        )


if __name__ == "__main__":
    main()
