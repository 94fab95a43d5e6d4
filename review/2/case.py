"""A server breaks off some of its answers; some of them in the head."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import Server, deploy, run_case

SERVERS_SHARE = 0.5  # of the servers are faulty at a time
BROKEN_OFF_SHARE = 0.02  # of the answers of a faulty server
FAULTY_S, SOUND_S, SPANS = 5.0, 1.0, 12
BODY_BYTES = 200


def make_body(request_id):
    """Return the whole answer to a request."""
    return f"confirmed {request_id} ".encode().ljust(BODY_BYTES, b".")


class BreakingServer(Server):
    """Breaks off some answers at any byte, and closes the connection."""

    faulty = False
    rng = random.Random()

    def answer(self, request, status, body, headers=None):
        """Write an answer, or a part of it."""
        if request.path == "/health" or status != 200:
            super().answer(request, status, body, headers)
            return
        headers = {
            "Date": "Fri, 04 Dec 2026 12:00:00 GMT",
            "Content-Type": "application/octet-stream",
        }
        content = self.format_answer(request, status, make_body(request.id), headers)
        if not self.faulty or self.rng.random() >= BROKEN_OFF_SHARE:
            request.writer.write(content)
            return
        sent = content[: self.rng.randrange(1, len(content))]
        self.deployment.record.write(
            "broken_off", server=self.id, request=request.id, sent=sent
        )
        request.writer.write(sent)
        request.writer.close()


async def disturb(fleet):
    """Let other servers be faulty in each span."""
    servers = list(fleet.servers.values())
    for _ in range(SPANS):
        chosen = random.sample(servers, int(len(servers) * SERVERS_SHARE))
        fleet.record.write("faulty", servers=[server.id for server in chosen])
        for server in chosen:
            server.faulty = True
        await asyncio.sleep(FAULTY_S)
        for server in chosen:
            server.faulty = False
        await asyncio.sleep(SOUND_S)


async def play(record, trouble):
    """Return the successes whose body is not the server's whole body."""
    options = {"work_s": 0.02}
    async with deploy(record, ["a", "a", "b", "b"], BreakingServer, options) as fleet:
        load = asyncio.create_task(
            fleet.drive("/buy/1", SPANS * (FAULTY_S + SOUND_S), 4)
        )
        if trouble:
            await disturb(fleet)
        answers = await load
    served = [a for a in answers.values() if a.status == 200]
    print(f"{len(answers)} requests, {len(served)} successes")
    return [
        f"MIXED: request {request_id} got 200 with {len(answer.body)} bytes"
        f" of {BODY_BYTES}, headers {answer.headers}"
        for request_id, answer in answers.items()
        if 200 <= answer.status < 300 and answer.body != make_body(request_id)
    ]


if __name__ == "__main__":
    run_case(play)
