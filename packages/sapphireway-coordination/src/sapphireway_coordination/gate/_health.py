"""Health polling of the server beside a node.

Polling on the same host sees load that changes within milliseconds; the answers reach
the entry nodes in load reports. The polling interval is a setting, and rises to
`IDLE_INTERVAL_S` while the server gets no requests, or while their answers report what
health checks would. A server that limits the requests per second is polled for a share
of its limit only, as it can bear little.

Health checks share no connections with requests, so that neither's answer can be taken
for the other's. They take turns on one connection. The check whether the server is up
ends one that polls: a server may never answer that one, nor anything that follows it on
its connection.
"""

import asyncio
import contextlib
import itertools
from collections.abc import Callable

from sapphireway_coordination.gate._announcement import Announcement
from sapphireway_coordination.gate._events import HealthUnreadable, ObserveGate
from sapphireway_coordination.gate._registration import Registration
from sapphireway_coordination.gate._self_report import SelfReport
from sapphireway_coordination.gate._server_dialect import ServerDialect
from sapphireway_coordination.gate._server_limit import ReportSource
from sapphireway_transport import Broken, Responded, ServerClient, ServerRequest

HEALTH_TIMEOUT_S = 1.0
IDLE_INTERVAL_S = 0.5
IDLE_AFTER_S = 1.0
LIMIT_SHARE = 0.25  # polls per request that a server's own limit allows
LIMITED_INTERVAL_MAX_S = 2.0
HEALTH_BODY_MAX_BYTES = 64 * 1024
DISABLED_CHECK_S = 0.1


class HealthClient:
    """Asks a server for its health.

    Parameters
    ----------
    client : ServerClient
        Its connections must carry nothing but health checks.
    echo_header : str, default=""
        Header of the id that each check carries; "" for none. An answer with another
        id is dropped, one without an id is accepted.
    observe : callable, optional
        Called with a `HealthUnreadable` if what the server sends is no answer.
    """

    __slots__ = (
        "_client",
        "_echo_header",
        "_fault",
        "_lock",
        "_numbers",
        "_observe",
        "_polls",
    )

    def __init__(
        self,
        client: ServerClient,
        echo_header: str = "",
        observe: ObserveGate = lambda event: None,
    ):
        self._client = client
        self._echo_header = echo_header
        self._fault = ""
        self._observe = observe
        self._lock = asyncio.Lock()  # held during a check
        self._numbers = itertools.count(1)
        self._polls = set()  # timeouts of the calls of `fetch`, to end them early

    async def fetch(self, url: str) -> Responded | None:
        """Return the answer of a health endpoint.

        Returns None if there is none within `HEALTH_TIMEOUT_S`, or if `ask_if_up` is
        called meanwhile.

        Parameters
        ----------
        url : str
            Of the health endpoint.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(None) as poll:
                self._polls.add(poll)
                try:
                    return await self._send(url, HEALTH_TIMEOUT_S)
                finally:
                    self._polls.discard(poll)
        return None

    async def ask_if_up(self, url: str, timeout_s: float) -> bool:
        """Tell whether a health endpoint answers.

        Ends the calls of `fetch` in progress, which closes their connection.

        Parameters
        ----------
        url : str
            Of the health endpoint.
        timeout_s : float
            Time for the answer, once earlier checks have ended.
        """
        now_s = asyncio.get_running_loop().time()
        for poll in self._polls:
            poll.reschedule(now_s)
        self._polls.clear()  # a timeout that expires can't be changed again
        return await self._send(url, timeout_s) is not None

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def _send(self, url, timeout_s):
        echo = None
        if self._echo_header:
            echo = (self._echo_header, f"health-{next(self._numbers)}")
        request = ServerRequest(
            url,
            "GET",
            () if echo is None else (echo,),
            b"",
            timeout_s,
            HEALTH_BODY_MAX_BYTES,
            echo,
        )
        async with self._lock:
            result = await self._client.send(request)
        if isinstance(result, Responded):
            self._fault = ""
            return result
        if isinstance(result, Broken) and not (result.timed_out or result.disconnected):
            self._report_fault(url, result.detail)
        return None

    def _report_fault(self, url, fault):
        # A server in trouble has the same fault in each answer.
        if fault != self._fault:
            self._fault = fault
            self._observe(HealthUnreadable(url, fault))


class HealthPoller:
    """Polls the registered server, one request at a time.

    Parameters
    ----------
    client : HealthClient
    registration : Registration
    dialect : ServerDialect
    get_interval_s : callable
        Returns the polling interval of a service; 0 disables polling.
    get_last_start_s : callable
        Returns the loop time at which the last request was sent to the server.
    """

    __slots__ = (
        "_client",
        "_dialect",
        "_get_interval_s",
        "_get_last_start_s",
        "_registration",
        "_task",
    )

    def __init__(
        self,
        client: HealthClient,
        registration: Registration,
        dialect: ServerDialect,
        get_interval_s: Callable[[str], float],
        get_last_start_s: Callable[[], float],
    ):
        self._client = client
        self._dialect = dialect
        self._get_interval_s = get_interval_s
        self._get_last_start_s = get_last_start_s
        self._registration = registration
        self._task = None

    def start(self) -> None:
        """Start polling, if not yet started."""
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _run(self):
        loop = asyncio.get_running_loop()
        polled_s = float("-inf")
        report = None
        while True:
            announcement = self._registration.announcement
            interval_s = 0.0
            if announcement is not None and announcement.health_url:
                interval_s = self._get_interval_s(announcement.service)
            if not interval_s or self._registration.lease_expired:
                await asyncio.sleep(DISABLED_CHECK_S)
                continue
            unneeded_until_s = min(
                self._registration.last_answer_s + interval_s,
                polled_s + IDLE_INTERVAL_S,
            )
            if unneeded_until_s > loop.time() and self._is_told_by_answers(report):
                await asyncio.sleep(unneeded_until_s - loop.time())
                continue
            polled_s = sent_s = loop.time()
            report = await self._poll(announcement)
            if report is not None and announcement is self._registration.announcement:
                self._registration.apply_report(report, ReportSource.HEALTH, sent_s)
            await asyncio.sleep(self._stretch_interval(interval_s, loop.time()))

    def _is_told_by_answers(self, report):
        """Tell whether the last answer told all that the last health check did."""
        answered = self._registration.last_answer_report
        if report is None or report.slowness is None or answered is None:
            return False
        return all(
            getattr(answered, name) is not None
            for name in SelfReport.__struct_fields__
            if getattr(report, name) is not None
        )

    def _stretch_interval(self, interval_s, now_s):
        if now_s - self._get_last_start_s() > IDLE_AFTER_S:
            interval_s = max(interval_s, IDLE_INTERVAL_S)
        limit_per_s = self._registration.capacity.server_limit.starts_per_s
        if not limit_per_s:
            return interval_s
        limited_s = min(1.0 / (LIMIT_SHARE * limit_per_s), LIMITED_INTERVAL_MAX_S)
        return max(interval_s, limited_s)

    async def _poll(self, announcement: Announcement) -> SelfReport | None:
        result = await self._client.fetch(announcement.health_url)
        return None if result is None else self._dialect.read_report(result)
