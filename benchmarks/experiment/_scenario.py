"""Scenario files."""

from pathlib import Path
from typing import Literal

import msgspec

FOLDER = Path(__file__).parent / "scenarios"


class Noise(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Slowness of hosts caused by other workloads on them.

    Attributes
    ----------
    share : float
        Expected share of hosts that are slow at any moment.
    times : float
        Factor by which work takes longer on a slow host.
    span_ms : float
        Interval after which it is drawn again whether a host is slow.
    """

    share: float = 0.0
    times: float = 1.0
    span_ms: float = 500.0


class Cold(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Behaviour of servers that have just started.

    Attributes
    ----------
    seconds : float
        Time for which a started server is cold.
    times : float
        Factor by which work takes longer.
    starts_per_s : float
        Rate of requests that a cold server sustains; it crashes if more than 1.5 times
        as many plus 5 start within one second.
    """

    seconds: float = 3.0
    times: float = 2.0
    starts_per_s: float = 17.0


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Servers of one service, distributed over the domains.

    Attributes
    ----------
    servers, slots : int
    queue : int
        Maximum number of requests that wait for a slot; more are shed.
    knee : float
        Share of slots in use above which work takes longer.
    knee_times : float
        Factor by which work takes longer with all slots in use.
    knee_step : bool
        Whether the full factor applies at once above the knee, instead of rising to it.
    reports_load : bool
        Whether answers tell how slow the host is and for how long the server is cold.
    """

    servers: int
    slots: int
    queue: int = 24
    knee: float = 1.0
    knee_times: float = 1.0
    knee_step: bool = False
    reports_load: bool = True


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of request.

    Attributes
    ----------
    service : str
    work_ms, target_ms, deadline_ms : float
    per_s : float
        Rate of client requests; 0 for a kind that only servers call.
    timeout_ms : float
        Deadline that nodes set for one try of a client; 0 for `deadline_ms`.
    spread : float
        Sigma of the log-normal distribution of the work.
    idempotent : bool
    worth, late_worth : float
        Value to the client of an answer within the target, and of a later one.
    retries : int
        Maximum number of retries of a client after a refusal; it waits for the time
        that the refusal gives.
    request_bytes : int
    calls : str
        Kind that a server calls halfway through a request of this kind.
    calls_times : int
        Number of such calls, made at the same time; the request fails if one fails.
    calls_share : float
        Share of the requests that make calls.
    weight : int
        Priority that nodes give it; 0 derives it from `worth`.
    """

    service: str
    work_ms: float
    target_ms: float
    deadline_ms: float
    per_s: float = 0.0
    timeout_ms: float = 0.0
    spread: float = 0.3
    idempotent: bool = True
    worth: float = 1.0
    late_worth: float = 0.1
    retries: int = 1
    request_bytes: int = 0
    calls: str = ""
    calls_times: int = 1
    calls_share: float = 1.0
    weight: int = 0


class Event(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault or a change of load during the run.

    Attributes
    ----------
    at_s : float
    kind : str
        ``burst`` (`times` the load for `for_s`), ``restart`` (`share` of the servers
        stop and start cold after `for_s`), ``slow`` (work takes `times` as long on
        `share` of the servers for `for_s`) or ``shed`` (all servers reject `share` of
        the requests for `for_s`).
    for_s, times, share : float
    service : str
        Service whose servers are affected; all if empty.
    """

    at_s: float
    kind: Literal["burst", "restart", "slow", "shed"]
    for_s: float = 1.0
    times: float = 2.0
    share: float = 1.0
    service: str = ""


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One experiment.

    Attributes
    ----------
    name : str
    seconds : float
    domains : list of str
    services : dict of str to Service
    kinds : dict of str to Kind
    noise : Noise
    cold : Cold
    events : list of Event
    crossing_ms : float
        One-way delay between failure domains.
    window_s : float
        Length of the windows over which worth is reported.
    crossing_ms_per_kb, retry_budget_percent, hedge_percentile : float
    cold_rate_percent : int
    retry_reserve : int
        Settings of the nodes.
    """

    name: str
    seconds: float
    domains: list[str]
    services: dict[str, Service]
    kinds: dict[str, Kind]
    noise: Noise = Noise()
    cold: Cold = Cold()
    events: list[Event] = []
    crossing_ms: float = 1.5
    window_s: float = 2.0
    crossing_ms_per_kb: float = 10.0
    retry_budget_percent: float = 10.0
    hedge_percentile: float = 90.0
    cold_rate_percent: int = 125
    retry_reserve: int = 28


def load_scenario(name: str) -> Scenario:
    """Load a scenario by its name or by the path of its file."""
    path = Path(name)
    if not path.suffix:
        path = FOLDER / f"{name}.yaml"
    return msgspec.yaml.decode(path.read_bytes(), type=Scenario)


def list_scenarios() -> list[str]:
    """Return the names of the bundled scenarios."""
    return sorted(path.stem for path in FOLDER.glob("*.yaml"))
