"""Checks a settings tree: which nodes it may have, and every value in them."""

import functools
from collections.abc import Iterator
from typing import Any

from sapphireway_state._problems import Path, Problem, join_path
from sapphireway_state._rules import (
    NAME_ALLOWED,
    NAME_PATTERN,
    Rule,
    find_fault,
    show_value,
    suggest_name,
)
from sapphireway_state._schema import (
    KIND_MATCH,
    SERVICE_MATCH,
    SETTINGS,
    Scope,
)

OTHER_KIND = "other"
"""Kind of the requests that no declared kind matches."""

NODES_MAX = 100_000
"""Most named nodes in one tree."""


def check_tree(tree: Any, checked: Any = None) -> list[Problem]:
    """Return everything that is wrong with a tree of plain data.

    Parameters
    ----------
    tree : object
    checked : dict, optional
        Earlier tree that nothing was wrong with. Nodes that are the same
        objects in both are not checked again, which keeps small edits cheap.
    """
    problems = list(_check_root(tree, checked))
    if not problems:
        problems.extend(_check_conflicts(tree))
    return problems


def _check_root(tree, known):
    children = {
        "domains": _check_domain,
        "services": _check_service,
        "servers": _check_server,
    }
    yield from _check_node((), tree, known, frozenset({Scope.ROOT}), children, {})


def _check_domain(path, node, known):
    scopes = frozenset({Scope.DOMAIN})
    children = {"services": _check_service_of_domain}
    yield from _check_node(path, node, known, scopes, children, {})


def _check_service(path, node, known):
    scopes = frozenset({Scope.SERVICE})
    children = {"kinds": _check_kind}
    yield from _check_node(path, node, known, scopes, children, SERVICE_MATCH)


def _check_kind(path, node, known):
    scopes = frozenset({Scope.KIND})
    if path[-1] == OTHER_KIND:
        yield Problem(
            join_path(path),
            f"the kind name {OTHER_KIND!r} is taken",
            "another name; requests of no declared kind get the service's settings",
        )
    yield from _check_node(path, node, known, scopes, {}, KIND_MATCH)


def _check_service_of_domain(path, node, known):
    scopes = frozenset({Scope.DOMAIN, Scope.SERVICE})
    children = {"kinds": _check_kind_of_domain}
    yield from _check_node(path, node, known, scopes, children, {})


def _check_kind_of_domain(path, node, known):
    scopes = frozenset({Scope.DOMAIN, Scope.KIND})
    yield from _check_node(path, node, known, scopes, {}, {})


def _check_server(path, node, known):
    yield from _check_node(path, node, known, frozenset({Scope.SERVER}), {}, {})


def _check_node(
    path: Path,
    node: Any,
    known: Any,
    scopes: frozenset[Scope],
    children: dict[str, Any],
    match: dict[str, Rule],
) -> Iterator[Problem]:
    names = _list_settings(scopes)
    allowed = [*names, *children, *(["match"] if match else [])]
    if not isinstance(node, dict):
        yield _report_other(path, node, allowed)
        return
    for key, value in node.items():
        here = (*path, str(key))
        if key in names:
            yield from _check_value(here, SETTINGS[key].rule, value)
        elif key in children:
            yield from _check_children(
                here, value, _find_child(known, key), children[key]
            )
        elif key == "match" and match:
            yield from _check_match(here, value, match)
        else:
            yield _report_unknown(here, key, allowed)


@functools.cache
def _list_settings(scopes):
    return tuple(name for name, setting in SETTINGS.items() if scopes <= setting.scopes)


def _report_other(path, node, allowed):
    return Problem(
        join_path(path),
        f"{show_value(node)} is not a mapping",
        "a mapping with any of " + ", ".join(allowed),
    )


def _report_unknown(path, key, allowed):
    if key in SETTINGS:
        scopes = ", ".join(scope for scope in Scope if scope in SETTINGS[key].scopes)
        below = " (not below a domain)" if path[0] == "domains" else ""
        wrong = f"{key!r} cannot be set here, only at: {scopes}{below}"
    else:
        wrong = f"unknown key {show_value(key)}{suggest_name(key, allowed)}"
    return Problem(join_path(path), wrong, "any of " + ", ".join(allowed))


def _check_value(path, rule, value):
    fault = find_fault(rule, value)
    if fault is not None:
        yield Problem(join_path(path), fault, rule.allowed)


def _check_children(path, nodes, known, check):
    if not isinstance(nodes, dict):
        yield Problem(
            join_path(path),
            f"{show_value(nodes)} is not a mapping",
            f"a mapping from names to nodes; a name: {NAME_ALLOWED}",
        )
        return
    if len(nodes) > NODES_MAX:
        yield Problem(
            join_path(path), f"{len(nodes)} nodes", f"at most {NODES_MAX} nodes"
        )
        return
    for name, node in nodes.items():
        here = (*path, str(name))
        if not isinstance(name, str) or not NAME_PATTERN.fullmatch(name):
            yield Problem(
                join_path(here), f"{show_value(name)} is not a name", NAME_ALLOWED
            )
        else:
            earlier = _find_child(known, name)
            if earlier is not node:
                yield from check(here, node, earlier)


def _find_child(node, name):
    return node.get(name) if isinstance(node, dict) else None


def _check_match(path, node, rules):
    if not isinstance(node, dict):
        yield _report_other(path, node, rules)
        return
    for key, value in node.items():
        here = (*path, str(key))
        if key in rules:
            yield from _check_value(here, rules[key], value)
        else:
            yield Problem(
                join_path(here),
                f"unknown key {show_value(key)}{suggest_name(key, rules)}",
                "any of " + ", ".join(rules),
            )


def _check_conflicts(tree):
    services = tree.get("services", {})
    yield from _check_service_matches(services)
    for service, node in services.items():
        yield from _check_kind_matches(service, node.get("kinds", {}))
    yield from _check_declared(tree.get("domains", {}), services)


def _check_service_matches(services):
    owners = {}
    for service, node in services.items():
        for key, values in node.get("match", {}).items():
            for value in values:
                owner = owners.setdefault((key, value.rstrip("/")), service)
                if owner != service:
                    yield Problem(
                        f"services/{service}/match/{key}",
                        f"{value!r} is that of service {owner!r} too",
                        "values that no other service has",
                    )


def _check_kind_matches(service, kinds):
    owners = {}
    for kind, node in kinds.items():
        match = node.get("match", {})
        for path in match.get("paths", ["/**"] if match else []):
            for method in match.get("methods", ["any method"]):
                owner = owners.setdefault((method, path), kind)
                if owner != kind:
                    yield Problem(
                        f"services/{service}/kinds/{kind}/match",
                        f"{method} {path} is matched by kind {owner!r} too",
                        "a method and path that no other kind has",
                    )


def _check_declared(domains, services):
    for domain, node in domains.items():
        for service, override in node.get("services", {}).items():
            path = f"domains/{domain}/services/{service}"
            if service not in services:
                yield Problem(
                    path,
                    f"service {service!r} is not declared",
                    "a service that is declared under services",
                )
                continue
            declared = services[service].get("kinds", {})
            for kind in override.get("kinds", {}):
                if kind not in declared:
                    yield Problem(
                        f"{path}/kinds/{kind}",
                        f"kind {kind!r} is not declared",
                        f"a kind that is declared under services/{service}/kinds",
                    )
