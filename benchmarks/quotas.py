"""Measure how much of a limit is used, and the messages that it costs.

Run ``python -m benchmarks.quotas [SEEDS]``; prints a row for each case, on the paused
clock, with links of 1.4 ms and five control hosts.
"""

import asyncio
import random
import statistics
import sys

from tests.quota_fleet import Fleet

from sapphireway_state import Workspace
from sapphireway_transport.memory import run_paused

WORKSPACE = Workspace("w", (), 62.0, 62.0)
WARM_UP_S = 10.0  # the burst of the start is used up
MEASURED_S = 30.0
NODES = (10, 72, 300)
MOVES_S = 1.0


def choose_first(nodes, rng):
    """Return a function that sends all requests to one node."""
    return lambda at_s: "n0"


def choose_moving(nodes, rng):
    """Return a function that sends all requests to another node each second."""
    order = {}

    def choose(at_s):
        turn = int(at_s / MOVES_S)
        return order.setdefault(turn, f"n{rng.randrange(nodes)}")

    return choose


def choose_any(nodes, rng):
    """Return a function that sends each request to a random node."""
    return lambda at_s: f"n{rng.randrange(nodes)}"


CASES = {
    "hot node, 9 times the limit": (choose_first, 9.0),
    "hot node, at the limit": (choose_first, 1.0),
    "moving, 9 times the limit": (choose_moving, 9.0),
    "moving, 1.5 times the limit": (choose_moving, 1.5),
    "moving, 0.9 of the limit": (choose_moving, 0.9),
    "any node, 1.5 times the limit": (choose_any, 1.5),
    "any node, 0.9 of the limit": (choose_any, 0.9),
    "idle": (choose_any, 0.0),
}


def count_messages(client) -> int:
    """Return the number of asks, their answers, and returns of tokens."""
    return 2 * client.counts.asks + client.counts.returns


async def measure_many(seed: int) -> dict:
    """Return the figures of 73 limited workspaces at 61 nodes, below their limits."""
    workspaces = [Workspace(f"w{i}", (), 62.0, 62.0) for i in range(73)]
    fleet = Fleet(61, workspaces, seed=seed)
    await fleet.start()
    rng = random.Random(seed)
    await asyncio.sleep(2.0)
    sending = [
        fleet.send(190 / 73, MEASURED_S, choose_any(61, rng), rng, workspace)
        for workspace in workspaces
    ]
    leader = fleet.cluster.hosts[fleet.cluster.leader()].peers
    leader_messages = leader.messages_sent
    await asyncio.gather(*sending)
    sent = [count_messages(client) for client in fleet.clients.values()]
    refused = len(fleet.refusals)
    passed = sum(map(len, fleet.passed.values()))
    fleet.check()
    fleet.stop()
    return {
        "refused": refused / (passed + refused),
        "hottest": max(sent) / MEASURED_S,
        "mean": statistics.mean(sent) / MEASURED_S,
        "owner": (leader.messages_sent - leader_messages) / MEASURED_S,
        "wait_ms": 1000 * max(fleet.waits_s),
    }


async def measure(nodes: int, make_choose, load: float, seed: int) -> dict:
    """Return the figures of one run."""
    fleet = Fleet(nodes, (WORKSPACE,), seed=seed)
    await fleet.start()
    rng = random.Random(seed)
    choose = make_choose(nodes, rng)
    rate_per_s = load * WORKSPACE.rate_per_s
    if load:
        await fleet.send(rate_per_s, WARM_UP_S, choose, rng)
    passed = len(fleet.passed["w"])
    refused = fleet.count_refusals()
    messages = {name: count_messages(c) for name, c in fleet.clients.items()}
    leader = fleet.cluster.hosts[fleet.cluster.leader()].peers
    leader_messages = leader.messages_sent
    fleet.waits_s.clear()
    if load:
        await fleet.send(rate_per_s, MEASURED_S, choose, rng)
    else:
        await asyncio.sleep(MEASURED_S)
    passed = len(fleet.passed["w"]) - passed
    refused = fleet.count_refusals() - refused
    sent = [count_messages(c) - messages[n] for n, c in fleet.clients.items()]
    allowed = WORKSPACE.rate_per_s * 5.0 + WORKSPACE.burst
    result = {
        "used": passed / (WORKSPACE.rate_per_s * MEASURED_S),
        "refused": refused / max(1, passed + refused),
        "hottest": max(sent) / MEASURED_S,
        "mean": sum(sent) / nodes / MEASURED_S,
        "owner": (leader.messages_sent - leader_messages) / MEASURED_S,
        "window": fleet.find_fullest_window(WORKSPACE) / allowed,
        "wait_ms": 1000 * max(fleet.waits_s, default=0.0),
    }
    fleet.check()
    fleet.stop()
    return result


def main(seeds: int = 3) -> None:
    """Print the mean over seeds for each case, and the worst `used` and window."""
    print(
        "case | nodes | limit used mean/min | refused | messages/s hottest node | "
        "mean node | owner | fullest window/(R*W+B) | longest wait ms"
    )
    for name, (make_choose, load) in CASES.items():
        for nodes in NODES:
            runs = [
                run_paused(measure(nodes, make_choose, load, seed))
                for seed in range(seeds)
            ]
            mean = {k: statistics.mean(run[k] for run in runs) for k in runs[0]}
            least = min(run["used"] for run in runs)
            window = max(run["window"] for run in runs)
            wait_ms = max(run["wait_ms"] for run in runs)
            print(
                f"{name} | {nodes} | {mean['used']:.3f}/{least:.3f} | "
                f"{mean['refused']:.3f} | {mean['hottest']:.1f} | {mean['mean']:.2f} | "
                f"{mean['owner']:.0f} | {window:.2f} | {wait_ms:.1f}",
                flush=True,
            )
    for seed in range(seeds):
        print(
            "73 workspaces, 61 nodes, 190 requests/s:", run_paused(measure_many(seed))
        )


if __name__ == "__main__":
    main(*map(int, sys.argv[1:]))
