"""Clients send paths with percent-encoded bytes in lower-case hexadecimal."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from stand_ins import Server, deploy, make_route, run_case

LOAD_S = 10.0
PLAIN_PATH = "/buy/offers/plumbing%20and%20heating/%C3%A9t%C3%A9"
LOWER_PATH = "/buy/offers/plumbing%20and%20heating/%c3%a9t%c3%a9"


class RecordingServer(Server):
    """Records the paths of the requests that it runs."""

    def note_run(self, request):
        """Record that a request has begun to run."""
        super().note_run(request)
        self.deployment.paths[request.id] = request.path


async def play(record, trouble):
    """Return the requests that were run with another path."""
    path = LOWER_PATH if trouble else PLAIN_PATH
    routes = [make_route("buy", "non_idempotent")]
    async with deploy(record, ["a", "b"], RecordingServer, routes=routes) as fleet:
        fleet.paths = {}
        answers = await fleet.drive(path, LOAD_S, 2, 0.1)
    statuses = [answer.status for answer in answers.values()]
    print(f"{len(answers)} requests, {statuses.count(200)} successes")
    return [
        f"UNASKED: request {request_id} was sent to {path} and run as {run_path}"
        for request_id, run_path in fleet.paths.items()
        if request_id in answers and run_path != path
    ]


if __name__ == "__main__":
    run_case(play)
