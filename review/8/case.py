"""A node is killed after it has acknowledged that its server leaves."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from small_system import (  # noqa: E402
    RESTART_S,
    SmallSystem,
    call,
    make_route,
    run_case,
)

CONTACT_WINDOW_S = 3.0
KILL_S = 0.1  # all from the acknowledgement on
LATE_BEAT_S = 1.5
SERVES_S = 10.0  # a server that leaves may serve "at times many seconds"
IN_TOUCH_S = KILL_S + RESTART_S + CONTACT_WINDOW_S + 0.3  # over drain_timeout, 2 s
RATE_PER_S = 75.0  # more than one server takes


async def send_requests(system, side, answers, stopped):
    """Send requests at a fixed rate, each over a new connection."""
    tasks = set()
    while not stopped.is_set():
        send = system.send(side, "POST", "/confirm/x", b"x" * 100, 1000)
        tasks.add(asyncio.create_task(send))
        await asyncio.sleep(1.0 / RATE_PER_S)
    for task in tasks:
        answers.append(await task)


async def run(trouble):
    """Return 1 if the leaving server got requests later than the rule allows."""
    system = SmallSystem(FOLDER, ["matching", "ledger", "ledger"])
    try:
        await system.start(work_s=0.1)
        routes = [make_route("confirm", "non_idempotent", "ledger")]
        if await system.publish(routes, ["matching", "ledger"]) != 200:
            return 2
        if not await system.wait_until_ready():
            return 2
        await asyncio.sleep(4.0)
        answers, stopped = [], asyncio.Event()
        client = asyncio.create_task(
            send_requests(system, system.sides[1], answers, stopped)
        )
        await asyncio.sleep(3.0)

        server, node = system.servers[1], system.sides[1]
        address = node.get_address("control_plane")
        late_beat = json.dumps(server.make_heartbeat()).encode()
        server.leave()
        body = json.dumps({"born": server.born}).encode()
        status, _ = await call(address, f"/Instances.Deregister/{server.name}", body)
        acknowledged_s = time.monotonic()
        system.record.write(f"{server.name} says that it is gone: {status}")
        if status != 200:
            return 2
        await asyncio.sleep(KILL_S)
        if trouble:
            node.kill()
        await asyncio.sleep(LATE_BEAT_S - KILL_S)
        path = f"/Instances.Heartbeat/{server.name}"
        status, _ = await call(address, path, late_beat)
        system.record.write(f"a heartbeat of {server.name} arrives late: {status}")
        await asyncio.sleep(SERVES_S - LATE_BEAT_S)
        running = server.busy
        await server.stop()
        system.record.write(f"{server.name} ends with {running} requests at work")
        await asyncio.sleep(1.0)
        stopped.set()
        await client

        arrivals = [at_s - acknowledged_s for at_s, _ in server.arrivals]
        # Those before are sent on by a machine that isn't in touch yet.
        late = [at_s for at_s in arrivals if at_s > IN_TOUCH_S]
        cut = [a for a in answers if a.status != 200 and system.count_runs(a.name)]
        line = (
            f"{len(late)} requests reached {server.name} from {IN_TOUCH_S:.1f} s after "
            f"the acknowledgement on, the last one at {max(late, default=0.0):.1f} s; "
            f"{len(cut)} requests ran and got no success"
        )
        system.record.write(line)
        print(line)
        return 1 if late else 0
    finally:
        await system.close()


run_case(run)
