"""Discovery of the local server by a node that has just started.

After a power loss of the whole system, nothing is served until the servers' next
announcements, which may be seconds away. A node that is configured with the address of
its server polls it immediately, and registers it until it announces itself.
"""

import asyncio
from collections.abc import Awaitable, Callable

from sapphireway_coordination.gate._announcement import (
    HEALTH_CONNECTIONS_MAX,
    Announcement,
    compute_cold_max,
)
from sapphireway_coordination.gate._gate import Gate
from sapphireway_coordination.gate._server_dialect import ServerDialect
from sapphireway_state import ServiceSpec
from sapphireway_transport import Responded

MS_PER_S = 1000
POLL_INTERVAL_S = 0.1
DISCOVERY_TIMEOUT_S = 5.0  # the server's own announcement is due by then

FetchHealth = Callable[[str], Awaitable[Responded | None]]
"""Returns the answer at a URL, or None."""


async def discover_local_server(
    gate: Gate,
    url: str,
    get_spec: Callable[[], ServiceSpec | None],
    fetch: FetchHealth,
    dialect: ServerDialect,
) -> bool:
    """Poll the server until it is registered; return False after a timeout.

    Parameters
    ----------
    gate : Gate
    url : str
        Base URL of the server.
    get_spec : callable
        Returns the configuration of its service; None while it is not known.
    fetch : callable
    dialect : ServerDialect
        Parses the server's answers.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + DISCOVERY_TIMEOUT_S
    while gate.announcement is None and loop.time() < end_s:
        spec = get_spec()
        # The connection of the poll stays open, and must leave one for requests.
        if spec is not None and spec.connections_max > HEALTH_CONNECTIONS_MAX:
            answer = await fetch(url + spec.health_path)
            found = None if answer is None else _read_answer(answer, url, spec, dialect)
            if found is not None:
                await gate.check_departures(found.server, found.start_id)
            if found is not None and gate.announcement is None:
                gate.announce(found)
        await asyncio.sleep(POLL_INTERVAL_S)
    return gate.announcement is not None


def _read_answer(answer, url, spec, dialect):
    """Return an announcement made from a healthy answer, or None."""
    report = dialect.read_report(answer)
    if answer.status != 200 or report.leaving:
        return None
    if not report.server or not report.slots:
        return None
    if report.cold_s is None:
        # Without its warm-up time, a cold server could be overloaded.
        return None
    return Announcement(
        report.server,
        spec.name,
        url,
        report.slots,
        spec.connections_max,
        start_id="",
        in_flight=report.in_flight,
        cold_s=report.cold_s,
        cold_rate_per_s=spec.cold_rate_per_s,
        health_path=spec.health_path,
        cold_max_s=compute_cold_max(spec.cold_start_ms / MS_PER_S),
    )
