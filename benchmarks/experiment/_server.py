"""A model of a server and its host, used by a gate in place of a server client."""

import asyncio
import math

from benchmarks.experiment._scenario import Cold, Noise, Service
from sapphireway_coordination import SelfReport, ServerDialect
from sapphireway_transport import Broken, NotSent, Responded

HEALTH_PATH = "/health"
HEALTH_CHECK_S = 0.001
PROGRESS_STEP_S = 0.01  # interval at which the speed of a running request is updated
SLOWNESS_HEADER = "Model-Slowness"
COLD_HEADER = "Model-Cold-S"
NOT_RUN_HEADER = "Model-Not-Run"
CRASH_RATE_FACTOR = 1.5  # a cold server crashes above this multiple of its rate
CRASH_BURST_REQUESTS = 5  # and this many more within one second
DOWN_AFTER_CRASH_S = 1.0
MS_PER_S = 1000.0


def _read_report(answer):
    headers = dict(answer.headers)
    if SLOWNESS_HEADER not in headers:
        return SelfReport()
    return SelfReport(float(headers[SLOWNESS_HEADER]), float(headers[COLD_HEADER]))


MODEL_DIALECT = ServerDialect(
    own_headers=frozenset(),
    make_headers=lambda run, server, remaining_s: (("Model-Kind", run.kind),),
    says_not_run=lambda answer: NOT_RUN_HEADER in dict(answer.headers),
    read_report=_read_report,
)
"""HTTP conventions between nodes and modelled servers."""


class ModelServer:
    """Runs requests in slots, slowed by its host, its load and a cold start.

    Parameters
    ----------
    service : Service
    noise : Noise
    cold : Cold
    rng : random.Random
        Draws the host's slow intervals and the work.
    kinds : dict of str to Kind
    call : callable
        ``await call(kind, deadline_s)`` calls another kind and returns whether it
        was answered; it is made for a request that must end by `deadline_s`.

    Attributes
    ----------
    runs, falls : int
        Requests that were run, and crashes of the cold server under load.
    start_id : int
    down_until_s : float
        Time on the event loop's clock until which connections are refused.
    """

    def __init__(self, service: Service, noise: Noise, cold: Cold, rng, kinds, call):
        self._service, self._noise, self._cold = service, noise, cold
        self._rng, self._kinds, self._call = rng, kinds, call
        self._loop = asyncio.get_running_loop()
        self._slots = asyncio.Semaphore(service.slots)
        self._waiting = 0
        self._running = 0
        self._recent_starts_s = []
        self._noise_drawn_s = -rng.uniform(0.0, noise.span_ms / MS_PER_S)
        self._noise_factor = 1.0
        self._slowdown = (0.0, 1.0)
        self._shedding = (0.0, 0.0)
        self._cold_until_s = -math.inf
        self.runs = 0
        self.falls = 0
        self.start_id = 1
        self.down_until_s = -math.inf

    def restart(self, down_s: float) -> None:
        """Stop, and start cold after `down_s`."""
        self.down_until_s = self._loop.time() + down_s
        self._cold_until_s = self.down_until_s + self._cold.seconds
        self.start_id += 1
        self._slots = asyncio.Semaphore(self._service.slots)
        self._waiting = self._running = 0

    def slow_down(self, factor: float, for_s: float) -> None:
        """Multiply the time that work takes by a factor for `for_s`."""
        self._slowdown = (self._loop.time() + for_s, factor)

    def shed(self, share: float, for_s: float) -> None:
        """Reject a share of the requests for `for_s`."""
        self._shedding = (self._loop.time() + for_s, share)

    def get_cold_s(self) -> float:
        """Return for how much longer the server is cold."""
        return max(0.0, self._cold_until_s - self._loop.time())

    async def send(self, request):
        """Handle one request of the node."""
        if self._loop.time() < self.down_until_s:
            return NotSent("connection refused")
        if request.url.endswith(HEALTH_PATH):
            await asyncio.sleep(HEALTH_CHECK_S)
            return self._respond(200)
        try:
            async with asyncio.timeout(request.timeout_s):
                kind = dict(request.headers)["Model-Kind"]
                return await self._run(kind, self._loop.time() + request.timeout_s)
        except TimeoutError:
            return Broken("no answer in time", timed_out=True)

    def set_connections_max(self, connections_max):
        """Ignore the limit, as the model opens no connections."""

    def close(self):
        """Do nothing, as the model opens no connections."""

    async def _run(self, kind_name, deadline_s):
        start_id = self.start_id
        if self._crash_if_overloaded():
            return Broken("connection reset", disconnected=True)
        until_s, shed_share = self._shedding
        if self._loop.time() < until_s and self._rng.random() < shed_share:
            return self._respond(503, ((NOT_RUN_HEADER, "shed"),))
        if self._waiting >= self._service.queue:
            return self._respond(503, ((NOT_RUN_HEADER, "full"),))
        slots = self._slots
        self._waiting += 1
        try:
            await slots.acquire()
        finally:
            if start_id == self.start_id:
                self._waiting -= 1
        self._running += 1
        try:
            succeeded = await self._work(kind_name, start_id, deadline_s)
        finally:
            slots.release()
            if start_id == self.start_id:
                self._running -= 1
        if start_id != self.start_id:
            return Broken("connection reset", disconnected=True)
        return self._respond(200 if succeeded else 500)

    async def _work(self, kind_name, start_id, deadline_s):
        kind = self._kinds[kind_name]
        self.runs += 1
        mu = math.log(kind.work_ms / MS_PER_S) - kind.spread**2 / 2
        work_s = self._rng.lognormvariate(mu, kind.spread)
        if not kind.calls or self._rng.random() >= kind.calls_share:
            await self._compute(work_s, start_id)
            return True
        await self._compute(work_s / 2, start_id)
        calls = (self._call(kind.calls, deadline_s) for _ in range(kind.calls_times))
        succeeded = all(await asyncio.gather(*calls))
        await self._compute(work_s / 2, start_id)
        return succeeded

    async def _compute(self, left_s, start_id):
        while left_s > 0.0 and start_id == self.start_id:
            factor = self._get_slowness() * self._get_load_factor()
            step_s = min(PROGRESS_STEP_S, left_s * factor)
            await asyncio.sleep(step_s)
            left_s -= step_s / factor + 1e-9

    def _crash_if_overloaded(self):
        now_s = self._loop.time()
        if now_s >= self._cold_until_s:
            return False
        self._recent_starts_s = [
            start_s for start_s in self._recent_starts_s if start_s > now_s - 1.0
        ]
        self._recent_starts_s.append(now_s)
        starts_max = self._cold.starts_per_s * CRASH_RATE_FACTOR + CRASH_BURST_REQUESTS
        if len(self._recent_starts_s) <= starts_max:
            return False
        self.falls += 1
        self.restart(DOWN_AFTER_CRASH_S)
        return True

    def _get_slowness(self):
        """Return the factor by which host and cold start slow work down."""
        now_s = self._loop.time()
        span_s = self._noise.span_ms / MS_PER_S
        while now_s >= self._noise_drawn_s + span_s:
            self._noise_drawn_s += span_s
            slow = self._rng.random() < self._noise.share
            self._noise_factor = self._noise.times if slow else 1.0
        until_s, factor = self._slowdown
        slowness = self._noise_factor * (factor if now_s < until_s else 1.0)
        return slowness * (self._cold.times if self.get_cold_s() else 1.0)

    def _get_load_factor(self):
        share = self._running / self._service.slots
        if share <= self._service.knee:
            return 1.0
        if self._service.knee_step:
            return self._service.knee_times
        excess = (share - self._service.knee) / (1.0 - self._service.knee)
        return 1.0 + excess * (self._service.knee_times - 1.0)

    def _respond(self, status, headers=()):
        if not self._service.reports_load:
            return Responded(status, tuple(headers), b"")
        report_headers = (
            (SLOWNESS_HEADER, str(self._get_slowness())),
            (COLD_HEADER, str(self.get_cold_s())),
        )
        return Responded(status, (*headers, *report_headers), b"")
