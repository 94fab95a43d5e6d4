"""Time until an accepted edit is in force: ``python -m benchmarks.in_force``.

Fleets run on the paused clock with in-memory links, so the times are those of the
protocol, without processor time.
"""

import asyncio
import math
import sys

from benchmarks.capacity import Fleet
from sapphireway_transport.memory import run_paused

SIZES = (12, 50, 200)
CONDITIONS = ("calm", "isolated", "killed", "links")
CUT_LINK_SHARE = 1 / 3
SETTLE_S = 8.0
EDITS = 10
EDIT_TIMEOUT_S = 30.0
POLL_S = 0.02
QUANTILE = 0.99


def apply_condition(fleet, condition):
    """Inject the fault and return the addresses that cannot be reached any more."""
    all_addresses = [*fleet.control_hosts, *fleet.nodes]
    leader = fleet.find_leader().address
    if condition == "isolated":
        unreachable = next(c for c in fleet.control_hosts if c != leader)
        for other in all_addresses:
            cut_both(fleet, unreachable, other)
        return {unreachable}
    if condition == "killed":
        fleet.kill(leader)
        return {leader}
    if condition == "links":
        for number, one in enumerate(all_addresses):
            for other in all_addresses[:number]:
                if fleet.rng.random() < CUT_LINK_SHARE:
                    cut_both(fleet, one, other)
    return set()


def cut_both(fleet, one, other):
    """Cut a link in both directions."""
    fleet.network.cut(one, other)
    fleet.network.cut(other, one)


async def measure_edit(fleet, number, unreachable):
    """Return seconds from acceptance until 99% and all processes have applied an edit.

    The third value is the number of processes that have not applied it in time.
    """
    loop = asyncio.get_running_loop()
    accepted = await fleet.edit(number)
    while not accepted:
        accepted = await fleet.edit(number)
    accepted_s = loop.time()
    version = max(
        process.machine.version
        for process in fleet.processes.values()
        if process.machine is not None and process.address not in unreachable
    )
    expected = [a for a in fleet.processes if a not in unreachable]

    def list_applied_times():
        times = [fleet.applied_versions.get(address, (0, 0.0)) for address in expected]
        return sorted(
            applied_s
            for applied_version, applied_s in times
            if applied_version >= version
        )

    while (
        len(list_applied_times()) < len(expected)
        and loop.time() < accepted_s + EDIT_TIMEOUT_S
    ):
        await asyncio.sleep(POLL_S)
    times = [applied_s - accepted_s for applied_s in list_applied_times()]
    missing = len(expected) - len(times)
    times.extend([float("inf")] * missing)
    p99_s = times[math.ceil(QUANTILE * len(times)) - 1]
    return p99_s, times[-1], missing


async def run(nodes, condition):
    """Measure one size and condition and print its row."""
    fleet = Fleet(nodes)
    fleet.start()
    await fleet.edit(0)
    await asyncio.sleep(SETTLE_S)
    unreachable = apply_condition(fleet, condition)
    rows = []
    for number in range(EDITS):
        rows.append(await measure_edit(fleet, number + 1, unreachable))
        await asyncio.sleep(1.0 + fleet.rng.random())
    p99_s, all_s, missing = (max(row[i] for row in rows) for i in range(3))
    print(
        f"{nodes:>5} {condition:<9} worst of {EDITS} edits: 99% in {p99_s:6.2f} s,"
        f" all in {all_s:6.2f} s, not applied after {EDIT_TIMEOUT_S:g} s: {missing}",
        flush=True,
    )


def main(sizes=SIZES):
    """Print one row per size and condition."""
    for size in sizes:
        for condition in CONDITIONS:
            run_paused(run(size, condition))


if __name__ == "__main__":
    main(tuple(map(int, sys.argv[1:])) or SIZES)
