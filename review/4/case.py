"""Extra answers take the place of health answers, which then answer requests."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import Server, deploy, run_case

EXTRA_SHARE = 0.03  # of the answers of a doubling server are sent twice
DOUBLING_SERVERS = 4  # of 7
DOUBLING_S, LYING_S, PAUSE_S, SPANS = 5.0, 6.5, 0.5, 10


class DoublingServer(Server):
    """Sends some answers twice, the second where the next one is expected."""

    doubling = False
    rng = random.Random()

    async def _serve(self, reader, writer):
        extra = None
        self.connections.add(writer)
        try:
            while (request := await self._read(reader, writer)) is not None:
                if extra is not None:
                    writer.write(extra)
                    self.deployment.record.write(
                        "extra_answer", server=self.id, instead_of=request.path
                    )
                    extra = None
                await self.handle(request)
                await writer.drain()
                if request.path == "/health" or not self.doubling:
                    continue
                if self.rng.random() < EXTRA_SHARE:
                    body = f"ran {request.id}".encode()
                    extra = self.format_answer(request, 200, body)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()


async def disturb(fleet):
    """Let servers send answers twice, one of which says that it is ill and is well."""
    servers = list(fleet.servers.values())
    for _ in range(SPANS):
        doubling = random.sample(servers, DOUBLING_SERVERS)
        lying = doubling[0]
        ids = [server.id for server in doubling]
        fleet.record.write("faulty", doubling=ids, lying=lying.id)
        lying.healthy = False
        for server in doubling:
            server.doubling = True
        await asyncio.sleep(DOUBLING_S)
        for server in doubling:
            server.doubling = False
        await asyncio.sleep(LYING_S - DOUBLING_S)
        lying.healthy = True
        await asyncio.sleep(PAUSE_S)


async def play(record, trouble):
    """Return the requests that ran and were answered with 429 or 503."""
    server = {"tells_load": False, "work_s": 0.06, "slots": 3}
    places = ["a", "a", "a", "b", "b", "c", "c"]
    async with deploy(record, places, DoublingServer, server) as fleet:
        load = asyncio.create_task(
            fleet.drive("/buy/1", SPANS * (LYING_S + PAUSE_S), 4, 0.02)
        )
        if trouble:
            await disturb(fleet)
        answers = await load
        runs = {request_id for _, _, request_id in fleet.list_runs()}
    statuses = [answer.status for answer in answers.values()]
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    print(f"answers by status: {counts}")
    return [
        f"REFUSED: request {request_id} ran and got {answer.status}"
        for request_id, answer in answers.items()
        if answer.status in (408, 421, 429, 503) and request_id in runs
    ]


if __name__ == "__main__":
    run_case(play)
