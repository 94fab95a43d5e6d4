"""Clients that offer another protocol send requests with a body."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from small_system import Server, SmallSystem, make_route, run_case  # noqa: E402

REQUESTS = 40
INTERVAL_S = 0.1
BODY = b'{"offer": 4711, "hours": 2}'
# As clients send it that speak HTTP/2 without TLS where the peer takes it, and go on
# with HTTP/1.1 where it doesn't.
OFFER = (
    ("Connection", "Upgrade, HTTP2-Settings"),
    ("Upgrade", "h2c"),
    ("HTTP2-Settings", "AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA"),
)


async def run(trouble):
    """Return 1 if a request ran with another body than its client sent."""
    system = SmallSystem(FOLDER, ["matching"] * 2)
    bodies = {}

    class BodyServer(Server):
        """Notes the body of each request."""

        async def _answer(self, request, reader, writer):
            if request.target != "/health":
                name = request.headers.get("request-id", "")
                bodies[name] = request.body
                size = len(request.body)
                system.record.write(f"{self.name} gets {name} with {size} bytes")
            await super()._answer(request, reader, writer)

    try:
        await system.start(make_server=BodyServer)
        routes = [make_route("confirm", "non_idempotent", "matching")]
        if await system.publish(routes, ["matching"]) != 200:
            return 2
        if not await system.wait_until_ready():
            return 2
        await asyncio.sleep(4.0)
        headers = OFFER if trouble else ()
        sends = []
        for i in range(REQUESTS):
            side = system.sides[i % 2]
            path = f"/confirm/{i}"
            send = system.send(side, "POST", path, BODY, 1000, headers=headers)
            sends.append(asyncio.create_task(send))
            await asyncio.sleep(INTERVAL_S)
        answers = await asyncio.gather(*sends)
        changed = [
            answer.status
            for answer in answers
            if system.count_runs(answer.name) and bodies[answer.name] != BODY
        ]
        line = (
            f"{len(changed)} of {len(answers)} requests ran with another body than "
            f"was sent; {changed.count(200)} of these were answered with 200"
        )
        system.record.write(line)
        print(line)
        return 1 if changed else 0
    finally:
        await system.close()


run_case(run)
