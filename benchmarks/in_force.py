"""Time until an accepted edit is in force: ``python -m benchmarks.in_force``.

Fleets on the paused clock with in-memory links; the times are those of the protocol,
without the processor's part.
"""

import asyncio
import math
import sys

from benchmarks.capacity import Fleet
from sapphireway_transport.memory import run_paused

SIZES = (12, 50, 200)
CONDITIONS = ("calm", "isolated", "killed", "links")
CUT_SHARE = 1 / 3
SETTLE_S = 8.0
EDITS = 10
PATIENCE_S = 30.0
POLL_S = 0.02
MOST = 0.99


def apply_condition(fleet, condition):
    """Bring the fault about; return the addresses that nothing can reach."""
    everyone = [*fleet.control_hosts, *fleet.nodes]
    leader = fleet.find_leader().address
    if condition == "isolated":
        lost = next(c for c in fleet.control_hosts if c != leader)
        for other in everyone:
            cut_both(fleet, lost, other)
        return {lost}
    if condition == "killed":
        fleet.kill(leader)
        return {leader}
    if condition == "links":
        for number, one in enumerate(everyone):
            for other in everyone[:number]:
                if fleet.rng.random() < CUT_SHARE:
                    cut_both(fleet, one, other)
    return set()


def cut_both(fleet, one, other):
    """Cut a link in both directions."""
    fleet.network.cut(one, other)
    fleet.network.cut(other, one)


async def measure_edit(fleet, number, lost):
    """Return seconds from the answer until 99% and all have an edit."""
    loop = asyncio.get_running_loop()
    accepted = await fleet.edit(number)
    while not accepted:
        accepted = await fleet.edit(number)
    began_s = loop.time()
    version = max(
        process.machine.version
        for process in fleet.processes.values()
        if process.machine is not None and process.address not in lost
    )
    waiting = [a for a in fleet.processes if a not in lost]

    def list_times():
        times = [fleet.in_force_s.get(address, (0, 0.0)) for address in waiting]
        return sorted(when for held, when in times if held >= version)

    while len(list_times()) < len(waiting) and loop.time() < began_s + PATIENCE_S:
        await asyncio.sleep(POLL_S)
    times = [when - began_s for when in list_times()]
    missing = len(waiting) - len(times)
    times.extend([float("inf")] * missing)
    most = times[math.ceil(MOST * len(times)) - 1]
    return most, times[-1], missing


async def run(nodes, condition):
    """Print the row of one size and condition."""
    fleet = Fleet(nodes)
    fleet.start()
    await fleet.edit(0)
    await asyncio.sleep(SETTLE_S)
    lost = apply_condition(fleet, condition)
    rows = []
    for number in range(EDITS):
        rows.append(await measure_edit(fleet, number + 1, lost))
        await asyncio.sleep(1.0 + fleet.rng.random())
    most, last, missing = (max(row[i] for row in rows) for i in range(3))
    print(
        f"{nodes:>5} {condition:<9} worst of {EDITS} edits: 99% in {most:6.2f} s,"
        f" all in {last:6.2f} s, without it after {PATIENCE_S:g} s: {missing}",
        flush=True,
    )


def main(sizes=SIZES):
    """Print a row for each size and condition."""
    for size in sizes:
        for condition in CONDITIONS:
            run_paused(run(size, condition))


if __name__ == "__main__":
    main(tuple(map(int, sys.argv[1:])) or SIZES)
