"""Scenario files."""

from pathlib import Path
from typing import Literal

import msgspec

FOLDER = Path(__file__).parent / "scenarios"


class Noise(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Neighbours that make a host slow for a while.

    Attributes
    ----------
    share : float
        Of the hosts that are slow at any moment.
    times : float
        How many times longer work takes there.
    span_ms : float
        After which each host is drawn anew.
    """

    share: float = 0.0
    times: float = 1.0
    span_ms: float = 500.0


class Cold(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Servers that have just started.

    Attributes
    ----------
    seconds : float
    times : float
        How many times longer work takes.
    starts_per_s : float
        Requests that they bear; half as many more and some make them fall over.
    """

    seconds: float = 3.0
    times: float = 2.0
    starts_per_s: float = 17.0


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Servers of one service, spread over the domains.

    Attributes
    ----------
    servers, slots : int
    queue : int
        Requests beyond the slots that a server keeps; more are shed.
    knee : float
        Share of the slots above which work takes longer.
    knee_times : float
        How many times longer work takes with all slots in use.
    """

    servers: int
    slots: int
    queue: int = 24
    knee: float = 1.0
    knee_times: float = 1.0


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One kind of request.

    Attributes
    ----------
    service : str
    work_ms, target_ms, deadline_ms : float
    per_s : float
        From clients; 0 for a kind that only servers call.
    timeout_ms : float
        Time that the system may take for one try of a client; 0 for the deadline.
    spread : float
        Of the work, as the sigma of a log-normal distribution.
    idempotent : bool
    worth, late_worth : float
        Of an answer within its target and after it.
    retries : int
        Tries that a client adds; it waits as long as it is told.
    request_bytes : int
    calls : str
        Kind that a server calls while it runs such a request.
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


class Event(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Trouble at one moment.

    Attributes
    ----------
    at_s : float
    kind : str
        ``burst`` (`times` the load for `for_s`), ``restart`` (`share` of the servers
        start anew after `for_s`, cold) or ``slow`` (`share` of them work `times` as
        long for `for_s`).
    for_s, times, share : float
    """

    at_s: float
    kind: Literal["burst", "restart", "slow"]
    for_s: float = 1.0
    times: float = 2.0
    share: float = 1.0


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
        One way between failure domains.
    window_s : float
        Length of the windows of which the worst are told.
    crossing_ms_per_kb, retry_budget_percent, hedge_percentile : float
    cold_rate_percent : int
    retry_reserve : int
        Settings of the product under test.
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
    """Read a scenario by its name, or by the path of its file."""
    path = Path(name)
    if not path.suffix:
        path = FOLDER / f"{name}.yaml"
    return msgspec.yaml.decode(path.read_bytes(), type=Scenario)


def list_scenarios() -> list[str]:
    """Return the names of the scenarios that come with the tool."""
    return sorted(path.stem for path in FOLDER.glob("*.yaml"))
