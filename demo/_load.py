"""The demonstration's callers, which send open-loop load to all entry nodes."""

import asyncio
import random
import uuid
from collections.abc import Sequence
from dataclasses import dataclass, field

from demo._fleet import HTTP_PORT, SERVER_PORT, Place
from demo._kinds import Kind
from sapphireway_transport import (
    Broken,
    CurlServerClient,
    NotSent,
    Responded,
    ServerRequest,
)

TIMEOUT_S = 20.0
ANSWER_MAX_BYTES = 64 * 1024 * 1024
DIRECT_SHARE = 0.1
RESEND_SHARE = 0.1
CONNECTIONS_MAX = 400
OUTCOME_HEADER = "sapphireway-outcome"
REASON_HEADER = "Sapphireway-Reason"


@dataclass(slots=True)
class Tally:
    """Outcomes and latencies of the requests of one kind.

    Attributes
    ----------
    outcomes : dict of str to int
        Requests by outcome; ``lost`` counts those without an answer of a node.
    latencies_s, direct_s : list of float
        Of answered requests sent through a node, and directly to a server.
    not_run_keys : list of str
        Keys of requests that were answered as not run.
    reasons : dict of str to int
        Refused requests by reason.
    mismatched : int
        Answers whose body belongs to another request.
    differing_resends : int
        Resends with the same key whose answer differed from the first one.
    """

    outcomes: dict = field(default_factory=dict)
    latencies_s: list = field(default_factory=list)
    direct_s: list = field(default_factory=list)
    not_run_keys: list = field(default_factory=list)
    reasons: dict = field(default_factory=dict)
    mismatched: int = 0
    differing_resends: int = 0


class Callers:
    """Sends requests of every kind as a Poisson process at its rate.

    Parameters
    ----------
    kinds : sequence of Kind
    places : sequence of Place
    rng : random.Random
    """

    __slots__ = ("_client", "_kinds", "_places", "_rng", "_tasks", "tallies")

    def __init__(self, kinds: Sequence[Kind], places: Sequence[Place], rng):
        self._client = CurlServerClient(CONNECTIONS_MAX)
        self._kinds = kinds
        self._places = places
        self._rng: random.Random = rng
        self._tasks = set()
        self.tallies = {kind.name: Tally() for kind in kinds}

    async def run(self, duration_s: float) -> None:
        """Send requests for `duration_s` and wait for all answers."""
        async with asyncio.TaskGroup() as group:
            for kind in self._kinds:
                group.create_task(self._send_kind(kind, duration_s))
        if self._tasks:
            await asyncio.wait(self._tasks)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def _send_kind(self, kind, duration_s):
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        due_s = loop.time()
        while due_s < end_s:
            due_s += self._rng.expovariate(kind.rate_per_s)
            await asyncio.sleep(due_s - loop.time())
            send = self._send
            if self._rng.random() < DIRECT_SHARE:
                send = self._send_direct
            task = loop.create_task(send(kind))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _send(self, kind):
        tally = self.tallies[kind.name]
        key = uuid.UUID(int=self._rng.getrandbits(128)).hex
        outcome, result = await self._exchange(kind, key, tally.latencies_s)
        tally.outcomes[outcome] = tally.outcomes.get(outcome, 0) + 1
        if outcome == "not-run":
            tally.not_run_keys.append(key)
            reason = dict(result.headers).get(REASON_HEADER, "")
            tally.reasons[reason] = tally.reasons.get(reason, 0) + 1
        if outcome != "answered":
            return
        if kind.body_bytes and result.body != _make_body(kind, key):
            tally.mismatched += 1
        if not kind.idempotent and self._rng.random() < RESEND_SHARE:
            second_outcome, second_result = await self._exchange(kind, key, [])
            if second_outcome == "answered" and second_result.body != result.body:
                tally.differing_resends += 1

    async def _exchange(self, kind, key, latencies_s):
        loop = asyncio.get_running_loop()
        entry = self._rng.choice(self._places)
        request = _make_request(kind, key, f"http://{entry.host}:{HTTP_PORT}")
        started_s = loop.time()
        result = await self._client.send(request)
        match result:
            case Responded():
                headers = {name.lower(): value for name, value in result.headers}
                outcome = headers.get(OUTCOME_HEADER, "lost")
            case Broken() | NotSent():
                outcome = "lost"
        if outcome == "answered":
            latencies_s.append(loop.time() - started_s)
        return outcome, result

    async def _send_direct(self, kind):
        loop = asyncio.get_running_loop()
        places = [p for p in self._places if p.service == kind.service]
        place = self._rng.choice(places)
        key = "direct-" + uuid.UUID(int=self._rng.getrandbits(128)).hex
        request = _make_request(kind, key, f"http://{place.host}:{SERVER_PORT}")
        started_s = loop.time()
        result = await self._client.send(request)
        if isinstance(result, Responded) and result.status == 200:
            self.tallies[kind.name].direct_s.append(loop.time() - started_s)


def _make_request(kind, key, base_url):
    headers = [("Idempotency-Key", key), ("Sapphireway-Request-Id", key)]
    return ServerRequest(
        base_url + kind.path,
        kind.method,
        tuple(headers),
        _make_body(kind, key),
        TIMEOUT_S,
        ANSWER_MAX_BYTES,
    )


def _make_body(kind, key):
    if not kind.body_bytes:
        return b""
    return key.encode().ljust(kind.body_bytes, b".")
