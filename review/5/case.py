"""A frozen control host carries out an order that later orders have overtaken."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import CaseNotRunError, deploy, run_case

FROZEN_S = 4.0
EVACUATION_DEADLINE_S = 5.0
OUTER_BOUND_S = 5.0  # the core was unstable
ORDER_TIMEOUT_S = 1.0  # then the operator goes on to another node
ORDER_MAX_S = 4.0  # an order is resent for this long at most
ZONE = "b"


async def order(fleet, verb, hosts):
    """Send an order of the operator until it is acknowledged; return when that was."""
    end_s = time.monotonic() + ORDER_MAX_S
    for host in hosts:
        path = f"/Evacuation.{verb}/{ZONE}"
        answer = await fleet.send_order(path, control=host, timeout_s=ORDER_TIMEOUT_S)
        if 200 <= answer.status < 300:
            return time.monotonic()
        if time.monotonic() > end_s:
            break
    raise CaseNotRunError(f"{verb} was not acknowledged")


async def play(record, trouble):
    """Return the requests that reach the zone too late."""
    async with deploy(record, ["a", "a", "b", "b"]) as fleet:
        frozen, other, third = fleet.controls
        load = asyncio.create_task(fleet.drive("/buy/1", 24.0, 2, 0.05))
        await asyncio.sleep(1.0)
        await order(fleet, "Start", [other, third])
        await asyncio.sleep(3.0)
        frozen_s = time.monotonic()
        if trouble:
            fleet.signal_process(frozen, signal.SIGSTOP)
        finished_s = await order(fleet, "Finish", [frozen, other, third])
        await asyncio.sleep(0.5)
        evacuated_s = await order(fleet, "Start", [other, third, other])
        if trouble:
            if evacuated_s > frozen_s + FROZEN_S:
                raise CaseNotRunError("the orders took longer than the freeze")
            await asyncio.sleep(frozen_s + FROZEN_S - time.monotonic())
            fleet.signal_process(frozen, signal.SIGCONT)
        bound_s = evacuated_s + EVACUATION_DEADLINE_S + OUTER_BOUND_S
        record.write("evacuated", after_finish_s=evacuated_s - finished_s)
        await load
        late = [
            (time_s - evacuated_s, server, request_id)
            for time_s, server, request_id in fleet.list_runs()
            if time_s > bound_s
            and any(s.id == server and s.zone == ZONE for s in fleet.servers.values())
        ]
    print(f"{len(late)} late arrivals in zone {ZONE}")
    return [
        f"EVAC: request {request_id} reached {server} {late_s:.1f} s after the"
        f" evacuation of its zone was acknowledged"
        for late_s, server, request_id in late
    ]


if __name__ == "__main__":
    run_case(play)
