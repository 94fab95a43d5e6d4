"""State of the stand-in server: how it behaves and what it has run."""

import asyncio
import collections
import random

import msgspec

RECORD_MAX = 200_000


class Behaviour(msgspec.Struct, forbid_unknown_fields=True):
    """Switches of the stand-in server, each changeable while it runs.

    Attributes
    ----------
    latency_ms, jitter_ms : float
        Service time and the mean of its exponential spread.
    slow_factor : float
        Multiplies every service time.
    shed : bool
        Answer 503 at once and say that the request was not run.
    shed_plain : bool
        Answer 503 without saying so.
    fail : bool
        Answer 500 at once.
    frozen : bool
        Accept requests and answer none until it is switched off.
    draining : bool
        Refuse new requests, as a server that stops.
    crash_path : str
        End the process when a request's target holds this text.
    truncate_path : str
        Cut the answer short when a request's target holds this text.
    lie_in_flight : int or None
        Number that the load endpoint tells instead of the truth.
    cold_requests : int
        Requests answered after a start until the server is warm.
    cold_slots : int
        Requests that a cold server bears at once; more end its process.
    answer_bytes : int
        Size of an answer to a request without a body.
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


class StandIn:
    """Counts and records what the stand-in server runs.

    Parameters
    ----------
    slots : int
    rng : random.Random

    Attributes
    ----------
    behaviour : Behaviour
    in_flight, in_flight_max : int
    answering : int
        Answers that are being written.
    overloads : int
        Requests that came while every slot was taken.
    cancelled : int
        Requests whose connection was closed before the answer.
    name : str
        Server id.
    record_file : binary file or None
        Gets a line for each request when it begins to run.
    """

    __slots__ = (
        "_answered",
        "_counts",
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
        self._counts = collections.OrderedDict()
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
        """True until enough requests were answered since the start."""
        return self._answered < self.behaviour.cold_requests

    @property
    def overwhelmed(self) -> bool:
        """True if a cold server has been given more than it bears."""
        return self.cold and self.in_flight > self.behaviour.cold_slots

    def begin(self, request_id: str, attempt_id: str) -> None:
        """Record that a request runs."""
        if self.in_flight >= self._slots:
            self.overloads += 1
        self.in_flight += 1
        self.in_flight_max = max(self.in_flight_max, self.in_flight)
        attempts = self._counts.setdefault(request_id, [])
        attempts.append(attempt_id)
        if len(self._counts) > RECORD_MAX:
            self._counts.popitem(last=False)

    def end(self, cancelled: bool) -> None:
        """Record that a request has ended."""
        self.in_flight -= 1
        if cancelled:
            self.cancelled += 1
        else:
            self._answered += 1

    async def work(self) -> None:
        """Take as long as a request does."""
        behaviour = self.behaviour
        spread_ms = self._rng.expovariate(1.0) * behaviour.jitter_ms
        wait_ms = (behaviour.latency_ms + spread_ms) * behaviour.slow_factor
        await asyncio.sleep(wait_ms / 1000)
        while self.behaviour.frozen:
            await asyncio.sleep(0.01)

    def list_runs(self) -> dict[str, list[str]]:
        """Return the attempt ids of every request id that ran."""
        return dict(self._counts)
