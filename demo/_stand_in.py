"""State of the stand-in server: its behaviour and the requests it has run."""

import asyncio
import collections
import random

import msgspec

RECORDED_REQUESTS_MAX = 200_000


class Behaviour(msgspec.Struct, forbid_unknown_fields=True):
    """Settings of the stand-in server that can be changed while it runs.

    Attributes
    ----------
    latency_ms, jitter_ms : float
        Fixed part of the service time and mean of its exponential part.
    slow_factor : float
        Multiplies every service time.
    shed : bool
        Answer 503 immediately, with the header that marks the request as not run.
    shed_plain : bool
        Answer 503 immediately, without that header.
    fail : bool
        Answer 500 immediately.
    frozen : bool
        Accept requests but answer none until this is reset.
    draining : bool
        Refuse new requests like a stopping server.
    crash_path : str
        Exit when a request's target contains this text.
    truncate_path : str
        Truncate the answer when a request's target contains this text.
    lie_in_flight : int or None
        Number that the load endpoint reports instead of the actual one.
    cold_requests : int
        Number of answered requests after which a started server is warm.
    cold_slots : int
        Concurrent requests that a cold server withstands; more make it exit.
    answer_bytes : int
        Size of the answer to a request without a body.
    limit_per_s : float or None
        Requests per second that its answers say it takes; it runs more all the same.
    leaving : bool
        Its answers say that it is about to stop.
    """

    latency_ms: float = 5.0
    jitter_ms: float = 1.0
    slow_factor: float = 1.0
    shed: bool = False
    shed_plain: bool = False
    fail: bool = False
    frozen: bool = False
    draining: bool = False
    crash_path: str = ""
    truncate_path: str = ""
    lie_in_flight: int | None = None
    cold_requests: int = 0
    cold_slots: int = 1
    answer_bytes: int = 200
    limit_per_s: float | None = None
    leaving: bool = False


class StandIn:
    """Behaviour of a stand-in server and the requests it has run.

    Parameters
    ----------
    slots : int
    rng : random.Random

    Attributes
    ----------
    behaviour : Behaviour
    in_flight, in_flight_max : int
    answering : int
        Answers that are still being written.
    overloads : int
        Requests that arrived while every slot was in use.
    cancelled : int
        Requests that were cancelled or timed out before their answer.
    name : str
        Server id.
    record_file : binary file or None
        Receives a line for each request when it starts to run.
    """

    __slots__ = (
        "_answered",
        "_attempt_ids",
        "_rng",
        "_slots",
        "answering",
        "behaviour",
        "cancelled",
        "in_flight",
        "in_flight_max",
        "name",
        "overloads",
        "record_file",
    )

    def __init__(self, slots: int, rng: random.Random):
        self._answered = 0
        self._attempt_ids = collections.OrderedDict()
        self._rng = rng
        self._slots = slots
        self.answering = 0
        self.behaviour = Behaviour()
        self.cancelled = 0
        self.in_flight = 0
        self.in_flight_max = 0
        self.name = ""
        self.overloads = 0
        self.record_file = None

    @property
    def cold(self) -> bool:
        """True until `cold_requests` requests have been answered."""
        return self._answered < self.behaviour.cold_requests

    @property
    def exceeds_cold_slots(self) -> bool:
        """True if the server is cold and has more requests than its cold slots."""
        return self.cold and self.in_flight > self.behaviour.cold_slots

    def begin(self, request_id: str, attempt_id: str) -> None:
        """Record that a request has started."""
        if self.in_flight >= self._slots:
            self.overloads += 1
        self.in_flight += 1
        self.in_flight_max = max(self.in_flight_max, self.in_flight)
        attempts = self._attempt_ids.setdefault(request_id, [])
        attempts.append(attempt_id)
        if len(self._attempt_ids) > RECORDED_REQUESTS_MAX:
            self._attempt_ids.popitem(last=False)

    def end(self, cancelled: bool) -> None:
        """Record that a request has ended."""
        self.in_flight -= 1
        if cancelled:
            self.cancelled += 1
        else:
            self._answered += 1

    async def work(self) -> None:
        """Sleep for the service time of one request."""
        behaviour = self.behaviour
        spread_ms = self._rng.expovariate(1.0) * behaviour.jitter_ms
        wait_ms = (behaviour.latency_ms + spread_ms) * behaviour.slow_factor
        await asyncio.sleep(wait_ms / 1000)
        while self.behaviour.frozen:
            await asyncio.sleep(0.01)

    def list_runs(self) -> dict[str, list[str]]:
        """Return the attempt ids of every request id that ran."""
        return dict(self._attempt_ids)
