"""Uploads to processes that have just been killed and started again get 404."""

import asyncio
import contextlib
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from stand_ins import (
    OUTBOUND_PORT,
    RESTART_S,
    Answer,
    deploy,
    format_request,
    make_id,
    make_route,
    read_answer,
    run_case,
)

KILLED_SHARE = 0.6
LOAD_S = 12.0
KILL_AFTER_S = 4.0
UPLOADERS = 8  # at each machine
BODY_BYTES = 60_000
PIECE_BYTES, PIECE_S = 4_000, 0.02  # 200 KB a second
MISSES_MAX = 2  # then the clients of a machine get no new work
WRONG_STATUSES = (401, 403, 404)
WRONG_MAX = 10


class Platform:
    """Asks each node once a second whether it is ready, and directs its clients."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.misses = dict.fromkeys(fleet.nodes, 0)

    def is_in(self, node):
        """Return whether the clients of a node get new work."""
        return self.misses[node] < MISSES_MAX

    async def run(self):
        """Ask until cancelled."""
        await asyncio.gather(*map(self._watch, self._fleet.nodes))

    async def _watch(self, node):
        while True:
            ready = await self._fleet.is_ready(node)
            self.misses[node] = 0 if ready else self.misses[node] + 1
            await asyncio.sleep(1.0)


async def upload(fleet, node):
    """Send one upload as a client on a slow line does; return its id and answer."""
    request_id = make_id()
    headers = {"Request-Id": request_id, "Deadline-Remaining-Ms": "2000"}
    content = format_request("POST", "/photo/1", headers, b"p" * BODY_BYTES)
    fleet.record.write("sent", request=request_id, node=node)
    answer, writer = Answer(), None
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(2.5):
            reader, writer = await asyncio.open_connection(node, OUTBOUND_PORT)
            for start in range(0, len(content), PIECE_BYTES):
                writer.write(content[start : start + PIECE_BYTES])
                await writer.drain()
                await asyncio.sleep(PIECE_S)
            answer = await read_answer(reader)
    if writer is not None:
        writer.close()
    fleet.record.write("answered", request=request_id, answer=answer)
    return request_id, answer


async def play(record, trouble):
    """Return the wrong refusals if there are more than the rule allows."""
    routes = [make_route("photo", "upload")]
    places = ["a", "a", "a", "b", "b", "b", "c", "c", "c", "c"]
    async with deploy(record, places, routes=routes) as fleet:
        platform = Platform(fleet)
        watching = asyncio.create_task(platform.run())
        end_s = time.monotonic() + LOAD_S
        answers = {}

        async def repeat(node):
            while time.monotonic() < end_s:
                if platform.is_in(node):
                    request_id, answer = await upload(fleet, node)
                    answers[request_id] = answer
                await asyncio.sleep(0.05)

        load = asyncio.gather(*(repeat(n) for n in fleet.nodes * UPLOADERS))
        await asyncio.sleep(KILL_AFTER_S)
        if trouble:
            killed = random.sample(fleet.nodes, int(len(fleet.nodes) * KILLED_SHARE))
            for node in killed:
                fleet.kill_process(node)
            await asyncio.sleep(RESTART_S)
            for node in killed:
                fleet.start_process(node)
        await load
        watching.cancel()
    statuses = [answer.status for answer in answers.values()]
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    print(f"answers by status (0: connection ended): {counts}")
    wrong = [r for r, answer in answers.items() if answer.status in WRONG_STATUSES]
    if len(wrong) <= WRONG_MAX:
        return []
    return [
        f"DENIED: upload {request_id} got {answers[request_id].status}"
        f" {answers[request_id].body!r}"
        for request_id in wrong
    ]


if __name__ == "__main__":
    run_case(play)
