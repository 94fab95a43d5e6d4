"""One heartbeat from another writer hides that a server leaves."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from stand_ins import SERVICE, deploy, run_case

DRAIN_TIMEOUT_S = 2.0
SERVES_ON_S = 6.0  # after the acknowledgement that it is draining
OTHER_SERVICE = "reports"  # in no configuration
OTHER_SEQ = 1_000_000  # the other writer counts for itself


async def play(record, trouble):
    """Return the requests that reach the server too late, and those that are lost."""
    assert OTHER_SERVICE != SERVICE
    async with deploy(record, ["a", "a", "b"]) as fleet:
        leaving = fleet.servers[fleet.nodes[0]]
        load = asyncio.create_task(fleet.drive("/buy/1", 14.0, 3, 0.02))
        await asyncio.sleep(3.0)
        if trouble:
            body = leaving.make_heartbeat(service=OTHER_SERVICE, seq=OTHER_SEQ)
            leaving.seq -= 1  # it isn't one of the server's own
            await leaving.send_heartbeat(body)
        await asyncio.sleep(3.5)
        leaving.draining = True
        while await leaving.send_heartbeat() != 200:
            await asyncio.sleep(0.1)
        acknowledged_s = time.monotonic()
        record.write("draining_acknowledged", server=leaving.id)
        await asyncio.sleep(SERVES_ON_S)
        await leaving.stop()
        record.write("server_exits", server=leaving.id)
        answers = await load
    late = [
        (time_s - acknowledged_s, request_id)
        for time_s, request_id in leaving.runs
        if time_s > acknowledged_s + DRAIN_TIMEOUT_S
    ]
    statuses = [answer.status for answer in answers.values()]
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    print(f"answers by status: {counts}; {len(late)} late arrivals")
    return [
        f"DRAIN: request {request_id} reached {leaving.id} {late_s:.1f} s after it was"
        f" acknowledged as draining; its client got {answers[request_id].status}"
        for late_s, request_id in late
        if request_id in answers
    ]


if __name__ == "__main__":
    run_case(play)
