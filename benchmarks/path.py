"""Latency added by the path through two nodes, paired with direct requests.

Real processes on loopback addresses: three control hosts, two servers and their
nodes. Each pair sends one request directly to a server and one through a node, so
that both see the same state of the machine.
"""

import asyncio
import json
import os
import random
import tempfile
import urllib.request
from pathlib import Path

from demo._fleet import HTTP_PORT, SERVER_PORT, Fleet, Place
from demo._report import find_percentile

from sapphireway_transport import CurlServerClient, Responded, ServerRequest

PLACES = (
    Place("matching-1", "127.0.0.10", "bxl-a", "matching"),
    Place("matching-2", "127.0.0.11", "bxl-b", "matching"),
)
WARM_UP_PAIRS = 300
PAIRS = 1500
RATE_PER_S = 83.0
TIMEOUT_S = 10.0
ANSWER_MAX_BYTES = 1024 * 1024
MS_PER_S = 1000
START_TIMEOUT_S = 60.0
LOOKUP_PATH = "/matching/offers/tutoring"
CONFIRMATION_PATH = "/matching/confirmations"


async def measure_path(pairs: int = PAIRS) -> str:
    """Return a table of direct and added latency."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder), PLACES)
        fleet.start()
        client = CurlServerClient(400)
        try:
            await _wait_until_served(client)
            _remove_service_time()
            await _measure_pairs(client, WARM_UP_PAIRS, False)
            cases = {
                "lookup, one at a time": lambda: _measure_pairs(client, pairs, False),
                "confirmation, keyed": lambda: _measure_pairs(client, pairs, True),
                "lookup, 83 calls/s": lambda: _measure_rate(client, pairs),
            }
            rows = [await _measure_case(fleet, *case) for case in cases.items()]
        finally:
            client.close()
            fleet.stop()
    return _render(rows)


async def _measure_case(fleet, name, measure):
    before_s = _read_cpu_s(fleet)
    direct_s, via_node_s = await measure()
    cpu_s = (_read_cpu_s(fleet) - before_s) / len(via_node_s)
    return name, direct_s, via_node_s, cpu_s


def _read_cpu_s(fleet):
    """Return the processor time that the servers' nodes have used."""
    total_ticks = 0
    for place in PLACES:
        stat = Path(f"/proc/{fleet.get_pid(f'node-{place.name}')}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        total_ticks += int(fields[11]) + int(fields[12])
    return total_ticks / os.sysconf("SC_CLK_TCK")


async def _wait_until_served(client):
    async with asyncio.timeout(START_TIMEOUT_S):
        for place in PLACES:
            for key in (None, "warm-up"):
                while not await _send(client, place.host, HTTP_PORT, key):
                    await asyncio.sleep(0.2)


def _remove_service_time():
    for place in PLACES:
        request = urllib.request.Request(
            f"http://{place.host}:{SERVER_PORT}/control/behaviour",
            json.dumps({"latency_ms": 0.0, "jitter_ms": 0.0}).encode(),
            method="PATCH",
        )
        urllib.request.urlopen(request, timeout=TIMEOUT_S).close()


async def _measure_pairs(client, pairs, keyed):
    loop = asyncio.get_running_loop()
    direct_s, via_node_s = [], []
    for number in range(pairs):
        key = f"{'w' if pairs == WARM_UP_PAIRS else 'p'}-{number}" if keyed else None
        for port, latencies_s in ((SERVER_PORT, direct_s), (HTTP_PORT, via_node_s)):
            place = PLACES[number % len(PLACES)]
            started_s = loop.time()
            if await _send(client, place.host, port, key):
                latencies_s.append(loop.time() - started_s)
    return direct_s, via_node_s


async def _measure_rate(client, pairs):
    loop = asyncio.get_running_loop()
    rng = random.Random(1)
    results = ([], [])
    tasks = []

    async def send(host, port, latencies_s):
        started_s = loop.time()
        if await _send(client, host, port, None):
            latencies_s.append(loop.time() - started_s)

    due_s = loop.time()
    for number in range(2 * pairs):
        due_s += rng.expovariate(2 * RATE_PER_S)
        await asyncio.sleep(due_s - loop.time())
        port = (SERVER_PORT, HTTP_PORT)[number % 2]
        tasks.append(loop.create_task(send(PLACES[0].host, port, results[number % 2])))
    await asyncio.gather(*tasks)
    return results


async def _send(client, host, port, key):
    path = LOOKUP_PATH if key is None else CONFIRMATION_PATH
    headers = [("Sapphireway-Request-Id", "benchmark")]
    if key is not None:
        headers.append(("Idempotency-Key", key))
    request = ServerRequest(
        f"http://{host}:{port}{path}",
        "GET" if key is None else "POST",
        tuple(headers),
        b"" if key is None else b"200 hours",
        TIMEOUT_S,
        ANSWER_MAX_BYTES,
    )
    result = await client.send(request)
    return isinstance(result, Responded) and result.status == 200


def _render(rows):
    lines = [
        f"{'':24}{'direct p50/p99 ms':>20}{'added p50/p99 ms':>20}"
        f"{'node CPU ms':>13}{'answers':>9}"
    ]
    for name, direct_s, via_node_s, cpu_s in rows:
        direct = [find_percentile(direct_s, p) * MS_PER_S for p in (50, 99)]
        via_node = [find_percentile(via_node_s, p) * MS_PER_S for p in (50, 99)]
        added = [a - b for a, b in zip(via_node, direct, strict=True)]
        lines.append(
            f"{name:24}{direct[0]:>12.2f} /{direct[1]:6.2f}"
            f"{added[0]:>12.2f} /{added[1]:6.2f}"
            f"{cpu_s * MS_PER_S:>13.2f}{len(via_node_s):>9}"
        )
    return "\n".join(lines)


def main() -> None:
    """Print the table."""
    print(asyncio.run(measure_path()))


if __name__ == "__main__":
    main()
