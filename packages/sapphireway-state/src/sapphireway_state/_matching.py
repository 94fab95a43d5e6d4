"""Finds the service and the kind of a request."""

import re
from collections.abc import Callable, Iterable
from typing import Any

from sapphireway_state._tree import OTHER_KIND

SERVICE_HEADER = "sapphireway-service"

MatchRequest = Callable[
    [str, str, Iterable[tuple[str, str]]],
    tuple[str, str] | None,
]
"""Takes method, target and headers; returns service and kind."""


def make_matcher(tree: dict[str, Any]) -> MatchRequest:
    """Return the function that finds the service and kind of a request.

    The service is the one that the header ``Sapphireway-Service`` names, else
    the one with the request's host, else the one with the longest path prefix.
    Of the kinds that match, the most specific wins: segment by segment from
    the left, a literal comes before ``*`` and ``*`` before ``**``; a kind that
    names the method comes before one that does not.
    """
    services = tree.get("services", {})
    hosts = _map_hosts(services)
    prefixes = _map_prefixes(services)
    longest = max(map(len, prefixes), default=0)
    compiled = {}

    def match(method, target, headers):
        path = target.partition("?")[0]
        service = _find_service(path, headers, services, hosts, prefixes, longest)
        if service is None:
            return None
        entries = compiled.get(service)
        if entries is None:
            # Most nodes see requests of few services.
            entries = _compile_kinds(services[service].get("kinds", {}))
            compiled[service] = entries
        for methods, pattern, kind in entries:
            if (methods is None or method in methods) and pattern.fullmatch(path):
                return service, kind
        return service, OTHER_KIND

    return match


def _find_service(path, headers, services, hosts, prefixes, longest):
    host = ""
    for name, value in headers:
        lowered = name.lower()
        if lowered == SERVICE_HEADER:
            return value if value in services else None
        if lowered == "host":
            host = value
    if hosts:
        service = hosts.get(_strip_port(host).lower())
        if service is not None:
            return service
    return _find_by_prefix(path, prefixes, longest)


def _find_by_prefix(path, prefixes, longest):
    prefix = path if len(path) <= longest else path[: longest + 1].rpartition("/")[0]
    while True:
        service = prefixes.get(prefix.rstrip("/"))
        if service is not None or not prefix:
            return service
        prefix = prefix.rpartition("/")[0]


def _strip_port(host):
    if host.startswith("["):
        return host
    return host.partition(":")[0]


def _map_hosts(services):
    return {
        host: service
        for service, node in services.items()
        for host in node.get("match", {}).get("hosts", ())
    }


def _map_prefixes(services):
    return {
        prefix.rstrip("/"): service
        for service, node in services.items()
        for prefix in node.get("match", {}).get("path_prefixes", ())
    }


def _compile_kinds(kinds):
    entries = []
    for kind, node in kinds.items():
        match = node.get("match")
        if not match:
            continue
        methods = match.get("methods")
        for path in match.get("paths", ["/**"]):
            rank = (_rank_path(path), methods is None, path)
            entry = (methods and frozenset(methods), _compile_path(path), kind)
            entries.append((rank, entry))
    entries.sort(key=lambda ranked: ranked[0])
    return tuple(entry for _, entry in entries)


def _rank_path(path):
    ranks = {"*": 1, "**": 2}
    return tuple(ranks.get(segment, 0) for segment in path.split("/")[1:])


def _compile_path(path):
    parts = []
    for segment in path.split("/")[1:]:
        if segment == "**":
            parts.append("(?:/.*)?")
        elif segment == "*":
            parts.append("/[^/]+")
        else:
            parts.append("/" + re.escape(segment))
    return re.compile("".join(parts), re.DOTALL)
