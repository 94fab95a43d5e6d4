"""Routing tables that operators publish whole, and what makes one invalid."""

import enum
from collections.abc import Iterable

import msgspec

from sapphireway_state._problems import Problem

TIMEOUT_MAX_MS = 600_000.0  # the longest that operators may keep a caller waiting
SPLIT_MAX = 64
PROBLEMS_SHOWN = 50


class RequestKind(enum.StrEnum):
    """What may be done with a request of a route."""

    IDEMPOTENT = "idempotent"
    """It may run more than once."""
    ONCE = "once"
    """It may run at most once."""
    UPLOAD = "upload"
    """It may run at most once and has a large body."""


class RouteTarget(msgspec.Struct, frozen=True, array_like=True):
    """A service that requests of a route go to.

    Attributes
    ----------
    service : str
    weight : int, float or None
        Share of the route's requests; None where the route has a single service.
    """

    service: str
    weight: int | float | None = None


class Route(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one host whose paths begin alike.

    Attributes
    ----------
    name : str
    host, path_prefix : str
    kind : RequestKind
    timeout_ms : float
        Longest time that a caller is kept waiting.
    targets : tuple of RouteTarget
    target_latency_ms : float
        Time within which an answer is worth most; 0 if none is named.
    attempts_max : int
        Most servers that one request is given to.
    priority : int
        Rank; 0 is the most urgent.
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


class ServiceSpec(msgspec.Struct, frozen=True, array_like=True):
    """What operators say of a service's servers.

    Attributes
    ----------
    name : str
    health_path : str
    connections_max : int
        Connections that a server accepts from all callers together.
    cold_start_ms : float
        How long a server stays cold after its start.
    cold_rate_per_s : float
        Requests a second that a cold server bears; 0 if it is not named.
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
    """What callers may send and how long they may take."""

    header_max_bytes: int = 65_536
    body_max_bytes: int = 32 * 1024 * 1024
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 120_000.0


class RouteTable(msgspec.Struct, frozen=True, array_like=True):
    """All routes and services, as published under one number.

    Attributes
    ----------
    number : int
        Chosen by operators; it grows with every publication.
    services : tuple of ServiceSpec
    hosts : tuple of str
        Hosts in the order in which they were published.
    routes : tuple of Route
    limits : CallerLimits
    """

    number: int = 0
    services: tuple[ServiceSpec, ...] = ()
    hosts: tuple[str, ...] = ()
    routes: tuple[Route, ...] = ()
    limits: CallerLimits = CallerLimits()


class TablePatch(msgspec.Struct, frozen=True):
    """Named items to add, replace or remove.

    Attributes
    ----------
    number : int
        Number of the table that results.
    services, routes : tuple
        Added, or put in place of those with the same name.
    limits : CallerLimits or None
    removed_services, removed_routes, removed_hosts : tuple of str
    """

    number: int
    services: tuple[ServiceSpec, ...] = ()
    routes: tuple[Route, ...] = ()
    limits: CallerLimits | None = None
    removed_services: tuple[str, ...] = ()
    removed_routes: tuple[str, ...] = ()
    removed_hosts: tuple[str, ...] = ()


def apply_patch(table: RouteTable, patch: TablePatch) -> RouteTable:
    """Return the table that a patch makes of `table`."""
    services = {
        s.name: s for s in table.services if s.name not in patch.removed_services
    }
    services |= {service.name: service for service in patch.services}
    routes = {
        route.name: route
        for route in table.routes
        if route.name not in patch.removed_routes
        and route.host not in patch.removed_hosts
    }
    routes |= {route.name: route for route in patch.routes}
    hosts = dict.fromkeys(h for h in table.hosts if h not in patch.removed_hosts)
    hosts |= dict.fromkeys(route.host for route in patch.routes)
    return RouteTable(
        patch.number,
        tuple(services.values()),
        tuple(hosts),
        tuple(routes.values()),
        patch.limits or table.limits,
    )


def check_table(table: RouteTable) -> list[Problem]:
    """Return what is wrong with a table, the first `PROBLEMS_SHOWN` of it."""
    problems = []
    services = [service.name for service in table.services]
    problems += _find_repeated("services", services)
    problems += _find_repeated("routes", [route.name for route in table.routes])
    places = [f"{route.host}{route.path_prefix}" for route in table.routes]
    problems += _find_repeated("routes", places)
    for host in table.hosts:
        if not host:
            problems.append(Problem("hosts", "is empty", "a host name"))
    for route in table.routes:
        problems += _check_route(route, frozenset(services))
    return problems[:PROBLEMS_SHOWN]


def _find_repeated(path: str, names: Iterable[str]):
    seen = set()
    for name in names:
        if name in seen:
            yield Problem(path, f"{name!r} stands twice", "each one once")
        seen.add(name)


def _check_route(route, services):
    path = f"routes/{route.name}"
    if not route.name:
        yield Problem("routes", "a route has no name", "a name")
    if not route.host:
        yield Problem(path, "its host is empty", "a host name")
    if not route.path_prefix.startswith("/"):
        yield Problem(path, f"prefix {route.path_prefix!r}", "a path from / on")
    if not 0 < route.timeout_ms <= TIMEOUT_MAX_MS:
        allowed = f"more than 0 and at most {TIMEOUT_MAX_MS:g} ms"
        yield Problem(path, f"timeout {route.timeout_ms:g} ms", allowed)
    if route.attempts_max < 1:
        yield Problem(path, f"{route.attempts_max} attempts", "at least 1")
    yield from _check_targets(path, route.targets, services)


def _check_targets(path, targets, services):
    if not 1 <= len(targets) <= SPLIT_MAX:
        yield Problem(path, f"{len(targets)} services", f"1 to {SPLIT_MAX}")
        return
    for target in targets:
        if target.service not in services:
            yield Problem(path, f"unknown service {target.service!r}", "a service")
        if target.weight is not None and target.weight < 0:
            yield Problem(path, f"weight {target.weight:g}", "0 or more")
    if len(targets) > 1:
        if any(target.weight is None for target in targets):
            yield Problem(path, "a service has no weight", "a weight for each")
        elif not any(target.weight > 0 for target in targets):
            yield Problem(path, "all weights are 0", "one weight above 0")
