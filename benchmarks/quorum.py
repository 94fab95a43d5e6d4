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

REST_S = 600.0
FAILOVERS = 40
EDITS = 300
EDIT_BYTES = 300


def get_percentile(values, percent):
    """Return a percentile of the values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]


async def measure_rest(size):
    """Return messages and bytes a second of a whole quorum without edits."""
    cluster = Cluster(size)
    await cluster.start()
    await cluster.wait_until(cluster.is_healthy)
    await cluster.open_client().propose(b"first", 10.0)
    await asyncio.sleep(10)
    network = cluster.network
    messages, sent_bytes = network.messages_sent, network.bytes_sent
    began = time.process_time()
    await asyncio.sleep(REST_S)
    return (
        (network.messages_sent - messages) / REST_S,
        (network.bytes_sent - sent_bytes) / REST_S,
        (time.process_time() - began) / REST_S,
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
    began = time.process_time()
    for number in range(EDITS):
        await client.propose(b"%d" % number + bytes(EDIT_BYTES), 10.0)
    return (
        (network.messages_sent - messages) / EDITS,
        (network.bytes_sent - sent_bytes) / EDITS,
        (time.process_time() - began) / EDITS,
    )


async def measure_failover(size, seed):
    """Return seconds from the leader's power cut to the next accepted command."""
    cluster = Cluster(size, seed)
    await cluster.start()
    await cluster.wait_until(cluster.is_healthy)
    client = cluster.open_client()
    await client.propose(b"before", 10.0)
    await asyncio.sleep(cluster.rng.random())
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    cluster.crash(cluster.leader())
    await client.propose(b"after", 30.0)
    return loop.time() - began_s


def find_free_addresses(count):
    """Return loopback addresses that nobody listens on."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = [f"127.0.0.1:{s.getsockname()[1]}" for s in sockets]
    for free in sockets:
        free.close()
    return addresses


def open_peers(address):
    """Return started peers on a socket."""
    peers = Peers(ZmqEndpoint(address), address)
    peers.start()
    return peers


async def measure_real(size, folder):
    """Return latencies of edits over sockets and files, all in this process."""
    addresses = find_free_addresses(size + 1)
    hosts = addresses[:size]
    peers = [open_peers(address) for address in addresses]
    disks = [FileDisk(Path(folder) / str(number)) for number in range(size)]
    quorums = []
    for number in range(size):
        machine = ListMachine({}, 0)
        rng = random.Random(number)
        quorum = Quorum(
            peers[number], disks[number], machine, hosts, rng, bootstrap=True
        )
        await quorum.start()
        quorums.append(quorum)
    while all(quorum.get_status().role != Role.LEADER for quorum in quorums):
        await asyncio.sleep(0.05)
    client = ControlClient(peers[-1], ControlHostList(hosts), random.Random(9))
    latencies_ms = []
    for number in range(EDITS):
        began_s = time.perf_counter()
        outcome = await client.propose(b"%d" % number + bytes(EDIT_BYTES), 10.0)
        assert isinstance(outcome, Committed)
        latencies_ms.append((time.perf_counter() - began_s) * 1e3)
    for quorum, disk in zip(quorums, disks, strict=True):
        await quorum.stop()
        disk.close()
    for opened in peers:
        opened.close()
    return latencies_ms


def main():
    """Print all figures."""
    for size in (3, 5, 7):
        messages, sent_bytes, cpu_s = run_paused(measure_rest(size))
        print(
            f"{size} hosts at rest: {messages:.1f} messages/s, {sent_bytes:.0f} B/s, "
            f"{cpu_s * 1e3:.2f} ms of processor a second, all hosts together"
        )
        messages, sent_bytes, cpu_s = run_paused(measure_edits(size))
        print(
            f"{size} hosts, one edit of {EDIT_BYTES} B: {messages:.1f} messages, "
            f"{sent_bytes:.0f} B, {cpu_s * 1e3:.2f} ms of processor"
        )
        times = [run_paused(measure_failover(size, seed)) for seed in range(FAILOVERS)]
        print(
            f"{size} hosts, leader lost: next command accepted after "
            f"{statistics.median(times):.2f} s (p50), "
            f"{get_percentile(times, 99):.2f} s (worst of {FAILOVERS})"
        )
    for size in (3, 7):
        with tempfile.TemporaryDirectory() as folder:
            latencies_ms = asyncio.run(measure_real(size, folder))
        print(
            f"{size} hosts over sockets and files: an edit takes "
            f"{statistics.median(latencies_ms):.1f} ms (p50), "
            f"{get_percentile(latencies_ms, 99):.1f} ms (p99)"
        )


if __name__ == "__main__":
    main()
