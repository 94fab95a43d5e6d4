"""Counts of a server's answers during a rollout, and their reports."""

import asyncio
import bisect
from collections.abc import Callable

import msgspec

from sapphireway_coordination.rollouts._evidence import LATENCY_BOUNDS_MS
from sapphireway_protocol import KindCounts, VersionReport
from sapphireway_state import Rollout

REPORT_INTERVAL_S = 0.25
# Each takes some 65 bytes, four times a second to each of five control hosts.
KINDS_MAX = 16
OTHER_KINDS = "other kinds"
MS_PER_S = 1000.0


class ReportedServer(msgspec.Struct, frozen=True):
    """The server beside the node.

    Attributes
    ----------
    server, service, version : str
    in_flight : int
        Requests that run or wait.
    cold : bool
        Whether it is slower than usual after a start.
    ready : bool
        Whether it may get its share of the requests.
    """

    server: str
    service: str
    version: str
    in_flight: int
    cold: bool
    ready: bool


class _Counts:
    __slots__ = ("answers", "failures", "latencies")

    def __init__(self):
        self.answers = self.failures = 0
        self.latencies = [0] * (len(LATENCY_BOUNDS_MS) + 1)


class VersionReporter:
    """Counts the answers of the server beside the node while a rollout runs.

    Without a running rollout of the server's service it counts and sends nothing.

    Parameters
    ----------
    get_server : callable
        Returns the `ReportedServer`, or None.
    get_rollout : callable
        Returns the last rollout of a service, or None.
    send : callable
        Sends a `VersionReport` to all control hosts.
    """

    __slots__ = (
        "_counted",
        "_counts",
        "_get_rollout",
        "_get_server",
        "_send",
        "_timer",
    )

    def __init__(
        self,
        get_server: Callable[[], ReportedServer | None],
        get_rollout: Callable[[str], Rollout | None],
        send: Callable[[VersionReport], None],
    ):
        self._counted = None
        self._counts = {}
        self._get_rollout = get_rollout
        self._get_server = get_server
        self._send = send
        self._timer = None

    def record(
        self, service: str, kind: str, failed: bool, elapsed_s: float | None
    ) -> None:
        """Count a request that the server ran.

        Parameters
        ----------
        service, kind : str
        failed : bool
        elapsed_s : float or None
            None if the request ended without an answer.
        """
        rollout = self._get_rollout(service)
        if rollout is None or not rollout.running:
            return
        server = self._get_server()
        if server is None:
            return
        self._select(rollout, server)
        counts = self._find_counts(kind)
        counts.answers += 1
        counts.failures += failed
        if elapsed_s is not None and not server.cold:
            bucket = bisect.bisect_left(LATENCY_BOUNDS_MS, elapsed_s * MS_PER_S)
            counts.latencies[bucket] += 1

    def update(self) -> None:
        """Start to report if a rollout of the server's service runs."""
        if self._timer is None:
            self._report()

    def close(self) -> None:
        """Stop reporting."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _report(self):
        self._timer = None
        server = self._get_server()
        rollout = None if server is None else self._get_rollout(server.service)
        if rollout is None or not rollout.running:
            self._counts = {}
            self._counted = None
            return
        self._select(rollout, server)
        kinds = {kind: _encode(counts) for kind, counts in self._counts.items()}
        self._send(
            VersionReport(
                server.service,
                rollout.order,
                server.version,
                server.server,
                server.in_flight,
                kinds,
                not server.ready,
            )
        )
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(REPORT_INTERVAL_S, self._report)

    def _select(self, rollout, server):
        """Start counting anew for another rollout, server or version."""
        counted = rollout.order, server.server, server.version
        if counted != self._counted:
            self._counted = counted
            self._counts = {}

    def _find_counts(self, kind):
        if kind not in self._counts and len(self._counts) >= KINDS_MAX:
            kind = OTHER_KINDS
        return self._counts.setdefault(kind, _Counts())


def _encode(counts):
    used = len(counts.latencies)
    while used and not counts.latencies[used - 1]:
        used -= 1
    return KindCounts(counts.answers, counts.failures, counts.latencies[:used])
