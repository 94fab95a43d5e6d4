"""Clients offer an upgrade to HTTP/2 with a request that has a body."""

import hashlib
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from stand_ins import Server, deploy, run_case

LOAD_S = 10.0
BODY = b'{"offer": 4711, "hours": 2}'
# As clients send it that speak HTTP/2 without TLS where a server accepts it, and go on
# with HTTP/1.1 where it ignores the offer.
OFFER = {
    "Connection": "Upgrade, HTTP2-Settings",
    "Upgrade": "h2c",
    "HTTP2-Settings": "AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA",
}


class RecordingServer(Server):
    """Records the bodies of the requests that it runs."""

    def note_run(self, request):
        """Record that a request has begun to run."""
        super().note_run(request)
        self.deployment.bodies[request.id] = request.body
        self.deployment.record.write(
            "body",
            request=request.id,
            length=len(request.body),
            sha256=hashlib.sha256(request.body).hexdigest(),
        )


async def play(record, trouble):
    """Return the requests that were run with another body."""
    offer = OFFER if trouble else {}
    async with deploy(record, ["a", "b"], RecordingServer) as fleet:
        fleet.bodies = {}
        answers = await fleet.drive("/buy/1", LOAD_S, 2, 0.1, body=BODY, **offer)
    statuses = [answer.status for answer in answers.values()]
    print(f"{len(answers)} requests, {statuses.count(200)} successes")
    return [
        f"UNASKED: request {request_id} ran with {len(body)} bytes of {len(BODY)};"
        f" its client got {answers[request_id].status}"
        for request_id, body in fleet.bodies.items()
        if request_id in answers and body != BODY
    ]


if __name__ == "__main__":
    run_case(play)
