"""An in-memory server that records which attempts it ran."""

import asyncio
import random
from collections.abc import Callable

from sapphireway_transport._server import (
    ATTEMPT_ID_HEADER,
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
    Broken,
    NotSent,
    Responded,
    ServerRequest,
    ServerResult,
)

CONNECT_LATENCY_S = 0.001
SHED_LATENCY_S = 0.0005
CRASH_S = 0.001
CLOSE_DETECTION_MIN_S = 0.001
CLOSE_DETECTION_MEAN_S = 0.005

DrawLatency = Callable[[random.Random, ServerRequest], float]
"""Returns the service time of a request in seconds."""


def _draw_default_latency(rng, request):
    return 0.004 + rng.expovariate(1.0) * 0.001


def _match_nothing(request):
    return False


class MemoryServer:
    """A server together with its client, with simulated faults.

    Parameters
    ----------
    rng : random.Random
    slots : int, default=6
    draw_latency : callable, default=4 ms plus an exponential term of mean 1 ms

    Attributes
    ----------
    saturation_in_flight : float
        Requests in flight above which service times grow proportionally.
    slow_factor : float
        Multiplies every service time.
    cold_requests, cold_slots : int
        After a start, the concurrency limit is `cold_slots` until the server has
        answered `cold_requests` requests.
    crashes_on_overload : bool
        Crash when the concurrency limit is exceeded.
    shed, shed_unmarked : bool
        Answer 503, with or without the header that says that the request was not run.
    refuse : bool
        Refuse connections.
    crash_on : callable
        Returns whether a request crashes the server.
    crash_s : float
        Time from the start of such a request to the crash.
    restart_s : float
        Time from a crash until connections are accepted again.
    connections_max : int
        Limit last set by `set_connections_max`.
    in_flight_override : int or None
        Wrong number that the server reports instead of `in_flight`.
    runs : dict of str to list of str
        Ids of the attempts that ran, by request id.
    overloads : int
        Requests that arrived when the concurrency limit was already reached.
    crashes : int
    answer_headers : tuple of (str, str)
        Headers of every answer.
    arrivals_s : list of float
        Loop times at which requests arrived, including those it did not run.
    start_id : str
    """

    __slots__ = (
        "_answered_count",
        "_crashed",
        "_draw_latency",
        "_idle_connections",
        "_rng",
        "_start_count",
        "_thawed",
        "answer_headers",
        "arrivals_s",
        "cold_requests",
        "cold_slots",
        "connections_max",
        "crash_on",
        "crash_s",
        "crashes",
        "crashes_on_overload",
        "in_flight",
        "in_flight_max",
        "in_flight_override",
        "overloads",
        "refuse",
        "restart_s",
        "runs",
        "saturation_in_flight",
        "shed",
        "shed_unmarked",
        "slots",
        "slow_factor",
    )

    def __init__(
        self,
        rng: random.Random,
        slots: int = 6,
        draw_latency: DrawLatency = _draw_default_latency,
    ):
        self._answered_count = 0
        self._crashed = asyncio.Event()
        self._draw_latency = draw_latency
        self._idle_connections = 0
        self._rng = rng
        self._start_count = 1
        self._thawed = asyncio.Event()
        self._thawed.set()
        self.answer_headers = ()
        self.arrivals_s = []
        self.saturation_in_flight = float(slots)
        self.cold_requests = 0
        self.cold_slots = 1
        self.crash_on = _match_nothing
        self.crash_s = CRASH_S
        self.connections_max = 0
        self.crashes = 0
        self.crashes_on_overload = False
        self.in_flight = 0
        self.in_flight_max = 0
        self.in_flight_override = None
        self.overloads = 0
        self.refuse = False
        self.restart_s = 0.2
        self.runs = {}
        self.shed = False
        self.shed_unmarked = False
        self.slots = slots
        self.slow_factor = 1.0

    @property
    def start_id(self) -> str:
        """Id of the current start of the server."""
        return f"start-{self._start_count}"

    @property
    def reported_in_flight(self) -> int:
        """Number of requests in flight that the server reports."""
        return (
            self.in_flight
            if self.in_flight_override is None
            else self.in_flight_override
        )

    @property
    def concurrency_limit(self) -> int:
        """Requests that the server can currently run at once."""
        cold = self._answered_count < self.cold_requests
        return min(self.cold_slots, self.slots) if cold else self.slots

    def freeze(self) -> None:
        """Accept requests, but answer none until `thaw`."""
        self._thawed.clear()

    def thaw(self) -> None:
        """Resume after `freeze`."""
        self._thawed.set()

    def become_cold(self) -> None:
        """Become cold again without a restart."""
        self._answered_count = 0

    def crash(self) -> None:
        """Drop every connection and refuse new ones for `restart_s`."""
        self.crashes += 1
        self._idle_connections = 0
        self._answered_count = 0
        self._crashed.set()
        self._crashed = asyncio.Event()
        self._start_count += 1
        self.in_flight = 0
        if not self.refuse:
            self.refuse = True
            asyncio.get_running_loop().call_later(self.restart_s, self._restart)

    async def send(self, request: ServerRequest) -> ServerResult:
        """Run one request."""
        if self.refuse:
            return NotSent("connection refused")
        crashed = self._crashed
        try:
            async with asyncio.timeout(request.timeout_s):
                await self._connect()
                if crashed.is_set() or self.refuse:
                    return NotSent("connection refused")
                result = await self._answer(request, crashed)
        except TimeoutError:
            return Broken("no answer in time", timed_out=True)
        if isinstance(result, Responded):
            self._idle_connections += 1
        return result

    def set_connections_max(self, connections_max: int) -> None:
        """Record the limit; it is not enforced."""
        self.connections_max = connections_max

    def close(self) -> None:
        """Do nothing: there are no connections."""

    def _restart(self):
        self.refuse = False

    async def _connect(self):
        if self._idle_connections:
            self._idle_connections -= 1
        else:
            await asyncio.sleep(CONNECT_LATENCY_S)

    async def _answer(self, request, crashed):
        self.arrivals_s.append(asyncio.get_running_loop().time())
        if self.shed or self.shed_unmarked:
            await asyncio.sleep(SHED_LATENCY_S)
            shed_headers = ((NOT_RUN_HEADER, "shedding"),) if self.shed else ()
            return Responded(503, (*shed_headers, *self.answer_headers), b"")
        self._record_start(request)
        if self.crashes_on_overload and self.in_flight > self.concurrency_limit:
            self.crash()
        elif self.crash_on(request):
            asyncio.get_running_loop().call_later(
                self.crash_s, self._crash_once, crashed
            )
        return await self._process(request, crashed)

    def _record_start(self, request):
        headers = {name.lower(): value for name, value in request.headers}
        request_id = headers.get(REQUEST_ID_HEADER.lower(), "")
        attempt = headers.get(ATTEMPT_ID_HEADER.lower(), "")
        self.runs.setdefault(request_id, []).append(attempt)
        if self.in_flight >= self.concurrency_limit:
            self.overloads += 1
        self.in_flight += 1
        self.in_flight_max = max(self.in_flight_max, self.in_flight)

    def _crash_once(self, crashed):
        if not crashed.is_set():
            self.crash()

    async def _process(self, request, crashed):
        latency_s = self._draw_latency(self._rng, request) * self.slow_factor
        latency_s *= max(1.0, self.in_flight / self.saturation_in_flight)
        if self.crash_on(request):
            latency_s = max(latency_s, 2 * self.crash_s)
        try:
            async with asyncio.timeout(latency_s):
                await crashed.wait()
            return Broken("connection closed", disconnected=True)
        except TimeoutError:
            pass
        except asyncio.CancelledError:
            self._end_after_detection(crashed)
            raise
        try:
            await self._thawed.wait()
        except asyncio.CancelledError:
            self._end_after_detection(crashed)
            raise
        if crashed.is_set():
            return Broken("connection closed", disconnected=True)
        self.in_flight -= 1
        self._answered_count += 1
        return Responded(200, self.answer_headers, request.body)

    def _end_after_detection(self, crashed):
        # A server needs some time to notice that the connection was closed.
        detection_s = (
            CLOSE_DETECTION_MIN_S + self._rng.expovariate(1.0) * CLOSE_DETECTION_MEAN_S
        )
        detection_s = min(detection_s, 3 * CLOSE_DETECTION_MEAN_S)

        def end():
            if not crashed.is_set():
                self.in_flight -= 1

        asyncio.get_running_loop().call_later(detection_s, end)
