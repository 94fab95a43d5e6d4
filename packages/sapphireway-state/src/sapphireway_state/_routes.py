"""Routing tables, which operators publish as a whole, and their validation."""

import enum
import hashlib
from collections.abc import Iterable

import msgspec

from sapphireway_state._problems import Problem

TIMEOUT_MAX_MS = 600_000.0  # bounds `Route.timeout_ms`
TARGETS_MAX = 64
PROBLEMS_MAX = 50
ACCESS_DIGEST_CHARS = 12


class RequestKind(enum.StrEnum):
    """How requests of a route may be executed."""

    IDEMPOTENT = "idempotent"
    """It may run more than once."""
    ONCE = "once"
    """It may run at most once."""
    UPLOAD = "upload"
    """It may run at most once and has a large body."""


class RouteTarget(msgspec.Struct, frozen=True, array_like=True):
    """A service that gets requests of a route.

    Attributes
    ----------
    service : str
    weight : int, float or None
        Weight of the service among the route's targets; may be None for a single
        target.
    """

    service: str
    weight: int | float | None = None


class Route(msgspec.Struct, frozen=True, array_like=True):
    """Routing of the requests for one host whose paths start with one prefix.

    Attributes
    ----------
    name : str
    host, path_prefix : str
    kind : RequestKind
    timeout_ms : float
        Maximum time that a caller waits for the answer.
    targets : tuple of RouteTarget
    target_latency_ms : float
        Latency within which an answer has its full value; 0 if there is no target.
    attempts_max : int
        Maximum number of servers to which one request is sent.
    priority : int
        0 is the highest priority.
    open_access : bool
        Whether requests need no API key even if the table has workspaces.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_ms: float
    targets: tuple[RouteTarget, ...]
    target_latency_ms: float = 0.0
    attempts_max: int = 1
    priority: int = 0
    open_access: bool = False


class Workspace(msgspec.Struct, frozen=True, array_like=True):
    """A group of callers who share API keys and a rate limit.

    Attributes
    ----------
    name : str
    keys : tuple of str
        API keys; never logged.
    rate_per_s : float
        Requests per second that all nodes together admit; 0 for no limit.
    burst : float
        Requests that they admit beyond the rate at once.
    priority : int or None
        Overrides the priority of the route; None to keep it.
    """

    name: str
    keys: tuple[str, ...] = ()
    rate_per_s: float = 0.0
    burst: float = 0.0
    priority: int | None = None

    def __repr__(self) -> str:
        # Tracebacks and messages of errors may hold it.
        digests = ", ".join(map(digest_access_key, self.keys))
        return f"Workspace({self.name!r}, keys with SHA-256 {digests or 'none'})"


class ServiceSpec(msgspec.Struct, frozen=True, array_like=True):
    """Configuration of the servers of one service.

    Attributes
    ----------
    name : str
    health_path : str
    connections_max : int
        Maximum number of connections that a server accepts in total. One is kept for
        health checks, so fewer than its slots + 1 leave slots unused; with 1, it is
        not asked for its health.
    cold_start_ms : float
        How long a server counts as cold after its start.
    cold_rate_per_s : float
        Requests per second that a cold server sustains; 0 if not configured.
    protocol : str
    tls : bool
    """

    name: str
    health_path: str = "/health"
    connections_max: int = 200
    cold_start_ms: float = 0.0
    cold_rate_per_s: float = 0.0
    protocol: str = "h1"
    tls: bool = False


class CallerLimits(msgspec.Struct, frozen=True, array_like=True):
    """Limits on the size and duration of callers' requests."""

    header_max_bytes: int = 65_536
    body_max_bytes: int = 32 * 1024 * 1024
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 120_000.0


class RouteTable(msgspec.Struct, frozen=True, array_like=True):
    """All routes and services, published under one number.

    Attributes
    ----------
    number : int
        Chosen by operators; increases with every publication.
    services : tuple of ServiceSpec
    hosts : tuple of str
        Host names in the order of publication.
    routes : tuple of Route
    limits : CallerLimits
    workspaces : tuple of Workspace
        If there are any, requests on routes without open access need an API key.
    """

    number: int = 0
    services: tuple[ServiceSpec, ...] = ()
    hosts: tuple[str, ...] = ()
    routes: tuple[Route, ...] = ()
    limits: CallerLimits = CallerLimits()
    workspaces: tuple[Workspace, ...] = ()


def digest_access_key(key: str) -> str:
    """Return the start of an API key's SHA-256, which may be logged."""
    return hashlib.sha256(key.encode()).hexdigest()[:ACCESS_DIGEST_CHARS]


def check_table(table: RouteTable) -> list[Problem]:
    """Return up to `PROBLEMS_MAX` problems of a table."""
    problems = []
    services = [service.name for service in table.services]
    problems += _find_repeated("services", services)
    problems += _find_repeated("routes", [route.name for route in table.routes])
    route_keys = [f"{route.host}{route.path_prefix}" for route in table.routes]
    problems += _find_repeated("routes", route_keys)
    for host in table.hosts:
        if not host:
            problems.append(Problem("hosts", "is empty", "a host name"))
    for route in table.routes:
        problems += _check_route(route, frozenset(services))
    problems += _check_workspaces(table.workspaces)
    return problems[:PROBLEMS_MAX]


def _find_repeated(path: str, names: Iterable[str]):
    seen = set()
    for name in names:
        if name in seen:
            yield Problem(path, f"{name!r} is listed twice", "each one once")
        seen.add(name)


def _check_route(route, services):
    path = f"routes/{route.name}"
    if not route.name:
        yield Problem("routes", "a route has no name", "a name")
    if not route.host:
        yield Problem(path, "its host is empty", "a host name")
    if not route.path_prefix.startswith("/"):
        yield Problem(
            path, f"prefix {route.path_prefix!r}", "a path that begins with /"
        )
    if not 0 < route.timeout_ms <= TIMEOUT_MAX_MS:
        allowed = f"more than 0 and at most {TIMEOUT_MAX_MS:g} ms"
        yield Problem(path, f"timeout {route.timeout_ms:g} ms", allowed)
    if route.attempts_max < 1:
        yield Problem(path, f"{route.attempts_max} attempts", "at least 1")
    yield from _check_targets(path, route.targets, services)


def _check_targets(path, targets, services):
    if not 1 <= len(targets) <= TARGETS_MAX:
        yield Problem(path, f"{len(targets)} services", f"1 to {TARGETS_MAX}")
        return
    for target in targets:
        if target.service not in services:
            yield Problem(
                path, f"unknown service {target.service!r}", "a service of the table"
            )
        if target.weight is not None and target.weight < 0:
            yield Problem(path, f"weight {target.weight:g}", "0 or more")
    if len(targets) > 1:
        if any(target.weight is None for target in targets):
            yield Problem(path, "a service has no weight", "a weight for each service")
        elif not any(target.weight > 0 for target in targets):
            yield Problem(path, "all weights are 0", "at least one weight above 0")


def _check_workspaces(workspaces):
    yield from _find_repeated("workspaces", [w.name for w in workspaces])
    owners = {}
    for index, workspace in enumerate(workspaces):
        path = f"workspaces/{workspace.name or index}"
        if not workspace.name:
            yield Problem(path, "a workspace has no name", "a name")
        elif not workspace.name.isprintable():
            # Servers get the name in a header.
            yield Problem(path, "its name has control characters", "printable text")
        if not workspace.rate_per_s >= 0:
            yield Problem(path, f"rate {workspace.rate_per_s:g}", "0 or more")
        if not workspace.burst >= 0:
            yield Problem(path, f"burst {workspace.burst:g}", "0 or more")
        for key in workspace.keys:
            owner = owners.setdefault(key, index)
            if owner != index:
                # Problems are logged and must not contain the key.
                other = workspaces[owner].name
                wrong = f"shares key {digest_access_key(key)} with {other!r}"
                yield Problem(path, wrong, "keys of its own")
