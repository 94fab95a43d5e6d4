"""A few clients of one machine upload bodies of nearly the allowed size at once."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from small_system import SmallSystem, make_route, run_case  # noqa: E402

UPLOADS = 3
UPLOAD_BYTES = 60 * 1024 * 1024  # the configuration allows 64 MiB
SMALL_UPLOAD_BYTES = 60_000
DEADLINE_MS = 5000
KEPT_CONNECTIONS = 20
WORK_S = 0.25
LOST_MAX = 3  # of the rule


async def repeat_requests(system, side, lost, stopped):
    """Send one request after the other on kept connections.

    Notes those whose connection is closed without an answer although they ran.
    """
    while not stopped.is_set():
        connection = await system.connect(side)
        if connection is None:
            await asyncio.sleep(0.1)
            continue
        sent = 0
        while not stopped.is_set():
            answer = await connection.send("POST", "/confirm/x", b"x" * 200, 2000)
            sent += 1
            if answer.status == 0:
                if sent > 1 and system.count_runs(answer.name):
                    lost.append(answer.name)
                break
        connection.close()


async def run(trouble):
    """Return 1 if more requests were lost than the rule allows."""
    system = SmallSystem(FOLDER, ["matching", "ledger", "ledger", "matching"])
    try:
        await system.start(work_s=WORK_S)
        routes = [
            make_route("up", "upload", "ledger", DEADLINE_MS),
            make_route("confirm", "non_idempotent", "matching", 2000),
        ]
        if await system.publish(routes, ["matching", "ledger"]) != 200:
            return 2
        if not await system.wait_until_ready():
            return 2
        await asyncio.sleep(4.0)
        side, lost, stopped = system.sides[0], [], asyncio.Event()
        clients = [
            asyncio.create_task(repeat_requests(system, side, lost, stopped))
            for _ in range(KEPT_CONNECTIONS)
        ]
        await asyncio.sleep(2.0)
        body = b"b" * (UPLOAD_BYTES if trouble else SMALL_UPLOAD_BYTES)
        uploads = [
            system.send(side, "POST", f"/up/{i}", body, DEADLINE_MS)
            for i in range(UPLOADS)
        ]
        answers = await asyncio.gather(*uploads)
        await asyncio.sleep(1.0)
        stopped.set()
        await asyncio.gather(*clients)
        line = (
            f"uploads of {len(body)} bytes: {[a.status for a in answers]}; "
            f"{side.name} used {side.peak_mb:.0f} MB of {side.memory_mb} MB and ended "
            f"by itself {len(side.exits)} times; {len(lost)} requests on kept "
            "connections ran and got no answer"
        )
        system.record.write(line)
        print(line)
        return 1 if len(lost) > LOST_MAX else 0
    finally:
        await system.close()


run_case(run)
