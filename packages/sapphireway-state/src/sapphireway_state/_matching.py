"""Matches requests to a service and a request kind."""

import re
from collections.abc import Callable, Iterable
from typing import Any

from sapphireway_state._tree import OTHER_KIND

SERVICE_HEADER = "sapphireway-service"

RequestMatcher = Callable[
    [str, str, Iterable[tuple[str, str]]],
    tuple[str, str] | None,
]
"""Takes method, target and headers; returns service and kind, or None."""


def make_matcher(tree: dict[str, Any]) -> RequestMatcher:
    """Return a function that finds the service and kind of a request.

    The service is the one named in the header ``Sapphireway-Service``, else the
    one with the request's host, else the one with the longest matching path
    prefix. Of the matching kinds, the most specific wins: segment by segment from
    the left, a literal takes precedence over ``*`` and ``*`` over ``**``; for
    equal paths, a kind with methods takes precedence over one without.
    """
    services = tree.get("services", {})
    hosts = _map_hosts(services)
    prefixes = _map_prefixes(services)
    prefix_length_max = max(map(len, prefixes), default=0)
    compiled = {}

    def match(method, target, headers):
        path = target.partition("?")[0]
        service = _find_service(
            path, headers, services, hosts, prefixes, prefix_length_max
        )
        if service is None:
            return None
        patterns = compiled.get(service)
        if patterns is None:
            # Compiled on first use, as most nodes see requests of few services.
            patterns = _compile_kinds(services[service].get("kinds", {}))
            compiled[service] = patterns
        for methods, pattern, kind in patterns:
            if (methods is None or method in methods) and pattern.fullmatch(path):
                return service, kind
        return service, OTHER_KIND

    return match


def _find_service(path, headers, services, hosts, prefixes, prefix_length_max):
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
    return _find_by_prefix(path, prefixes, prefix_length_max)


def _find_by_prefix(path, prefixes, prefix_length_max):
    prefix = (
        path
        if len(path) <= prefix_length_max
        else path[: prefix_length_max + 1].rpartition("/")[0]
    )
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
    patterns = []
    for kind, node in kinds.items():
        match = node.get("match")
        if not match:
            continue
        methods = match.get("methods")
        for path in match.get("paths", ["/**"]):
            rank = (_rank_path(path), methods is None, path)
            entry = (methods and frozenset(methods), _compile_path(path), kind)
            patterns.append((rank, entry))
    patterns.sort(key=lambda ranked: ranked[0])
    return tuple(entry for _, entry in patterns)


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
