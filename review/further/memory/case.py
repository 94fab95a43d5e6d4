"""A few uploads within the configured limit take more memory than a machine has."""

import asyncio
import contextlib
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from stand_ins import (
    OUTBOUND_PORT,
    RESTART_S,
    deploy,
    format_request,
    make_id,
    make_route,
    read_answer,
    run_case,
)

MEMORY_MB = 300
CHECK_S = 0.01
LARGE_BYTES, SMALL_BYTES = 60 * 2**20, 60_000  # the limit is 64 MiB
UPLOADERS = 4
KEPT_CONNECTIONS = 10
ROUNDS, ROUND_S = 3, 8.0
LOST_MAX = 3


def read_memory_mb(pid):
    """Return the resident memory of a process."""
    with contextlib.suppress(OSError, IndexError):
        status = Path(f"/proc/{pid}/status").read_text()
        return int(status.split("VmRSS:")[1].split()[0]) / 1024
    return 0.0


async def limit_memory(fleet):
    """Kill and restart processes beside servers that use too much memory."""
    kills = 0
    try:
        while True:
            await asyncio.sleep(CHECK_S)
            for node in fleet.nodes:
                used_mb = read_memory_mb(fleet.processes[node].pid)
                if used_mb > MEMORY_MB:
                    kills += 1
                    fleet.record.write("over_memory_limit", node=node, mb=used_mb)
                    fleet.kill_process(node)
                    await asyncio.sleep(RESTART_S)
                    fleet.start_process(node)
    finally:
        print(f"{kills} processes used more than {MEMORY_MB} MB")


async def call_on_kept_connection(fleet, node, end_s, cut):
    """Send small requests on one connection after the other."""
    reader = writer = None
    while time.monotonic() < end_s:
        request_id = make_id()
        headers = {"Request-Id": request_id, "Deadline-Remaining-Ms": "2000"}
        content = format_request("POST", "/order/1", headers, b"order")
        try:
            async with asyncio.timeout(3.0):
                if writer is None:
                    reader, writer = await asyncio.open_connection(node, OUTBOUND_PORT)
                    is_kept = False
                fleet.record.write("sent", request=request_id, node=node, kept=is_kept)
                writer.write(content)
                answer = await read_answer(reader)
        except OSError:
            writer = None
            await asyncio.sleep(0.1)
            continue
        fleet.record.write("answered", request=request_id, answer=answer)
        if not answer.status and is_kept:
            cut.append(request_id)
        is_kept = True
        if not answer.status or answer.headers.get("connection") == "close":
            writer.close()
            writer = None


async def play(record, trouble):
    """Return the requests that ran and whose kept connections ended without answer."""
    routes = [
        make_route("photo", "upload", timeout="5000ms"),
        make_route("order", "non_idempotent"),
    ]
    server = {"work_s": 0.15, "slots": 12}
    async with deploy(record, ["a", "a", "b"], routes=routes, server=server) as fleet:
        node = fleet.nodes[0]
        watching = asyncio.create_task(limit_memory(fleet))
        end_s = time.monotonic() + ROUNDS * ROUND_S
        cut = []
        load = asyncio.gather(
            *(
                call_on_kept_connection(fleet, node, end_s, cut)
                for _ in range(KEPT_CONNECTIONS)
            )
        )
        body = b"p" * (LARGE_BYTES if trouble else SMALL_BYTES)
        for _ in range(ROUNDS):
            await asyncio.sleep(2.0)
            uploads = (
                fleet.call(node, "/photo/1", body=body, timeout_ms=5000)
                for _ in range(UPLOADERS)
            )
            answers = await asyncio.gather(*uploads)
            print(f"uploads: {[answer.status for _, answer in answers]}")
            await asyncio.sleep(2.0)
        await load
        watching.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await watching
        ran = {request_id for _, _, request_id in fleet.list_runs()}
    lost = [request_id for request_id in cut if request_id in ran]
    if len(lost) <= LOST_MAX:
        return []
    return [f"LOST: request {r} ran, and its connection ended" for r in lost]


if __name__ == "__main__":
    run_case(play)
