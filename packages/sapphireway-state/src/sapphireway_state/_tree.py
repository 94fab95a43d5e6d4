"""Validates the structure and all values of a settings tree."""

import functools
from collections.abc import Iterator
from typing import Any

from sapphireway_state._problems import Problem, TreePath, join_path
from sapphireway_state._rules import (
    NAME_ALLOWED,
    NAME_PATTERN,
    Rule,
    find_violation,
    format_value,
    suggest_name,
)
from sapphireway_state._schema import (
    KIND_MATCH,
    SERVICE_MATCH,
    SETTINGS,
    Scope,
)

OTHER_KIND = "other"
"""Kind of requests that match no declared kind."""

NODES_MAX = 100_000
"""Maximum number of named nodes in one mapping of the tree."""


def check_tree(tree: Any, checked: Any = None) -> list[Problem]:
    """Return all problems of a tree, given as plain data.

    Parameters
    ----------
    tree : object
    checked : dict, optional
        Earlier tree that is known to be valid. Nodes that are the same objects in
        both trees are not checked again, which keeps small edits cheap.
    """
    problems = list(_check_root(tree, checked))
    if not problems:
        problems.extend(_check_conflicts(tree))
    return problems


def _check_root(tree, checked_node):
    children = {
        "domains": _check_domain,
        "services": _check_service,
        "servers": _check_server,
    }
    yield from _check_node(
        (), tree, checked_node, frozenset({Scope.ROOT}), children, {}
    )


def _check_domain(path, node, checked_node):
    scopes = frozenset({Scope.DOMAIN})
    children = {"services": _check_service_of_domain}
    yield from _check_node(path, node, checked_node, scopes, children, {})


def _check_service(path, node, checked_node):
    scopes = frozenset({Scope.SERVICE})
    children = {"kinds": _check_kind}
    yield from _check_node(path, node, checked_node, scopes, children, SERVICE_MATCH)


def _check_kind(path, node, checked_node):
    scopes = frozenset({Scope.KIND})
    if path[-1] == OTHER_KIND:
        yield Problem(
            join_path(path),
            f"the kind name {OTHER_KIND!r} is taken",
            "another name; requests of no declared kind get the service's settings",
        )
    yield from _check_node(path, node, checked_node, scopes, {}, KIND_MATCH)


def _check_service_of_domain(path, node, checked_node):
    scopes = frozenset({Scope.DOMAIN, Scope.SERVICE})
    children = {"kinds": _check_kind_of_domain}
    yield from _check_node(path, node, checked_node, scopes, children, {})


def _check_kind_of_domain(path, node, checked_node):
    scopes = frozenset({Scope.DOMAIN, Scope.KIND})
    yield from _check_node(path, node, checked_node, scopes, {}, {})


def _check_server(path, node, checked_node):
    yield from _check_node(path, node, checked_node, frozenset({Scope.SERVER}), {}, {})


def _check_node(
    path: TreePath,
    node: Any,
    checked_node: Any,
    scopes: frozenset[Scope],
    children: dict[str, Any],
    match: dict[str, Rule],
) -> Iterator[Problem]:
    names = _list_settings(scopes)
    allowed = [*names, *children, *(["match"] if match else [])]
    if not isinstance(node, dict):
        yield _make_type_problem(path, node, allowed)
        return
    for key, value in node.items():
        child_path = (*path, str(key))
        if key in names:
            yield from _check_value(child_path, SETTINGS[key].rule, value)
        elif key in children:
            yield from _check_children(
                child_path, value, _find_child(checked_node, key), children[key]
            )
        elif key == "match" and match:
            yield from _check_match(child_path, value, match)
        else:
            yield _make_unknown_key_problem(child_path, key, allowed)


@functools.cache
def _list_settings(scopes):
    return tuple(name for name, setting in SETTINGS.items() if scopes <= setting.scopes)


def _make_type_problem(path, node, allowed):
    return Problem(
        join_path(path),
        f"{format_value(node)} is not a mapping",
        "a mapping with any of " + ", ".join(allowed),
    )


def _make_unknown_key_problem(path, key, allowed):
    if key in SETTINGS:
        scopes = ", ".join(scope for scope in Scope if scope in SETTINGS[key].scopes)
        below = " (not below a domain)" if path[0] == "domains" else ""
        wrong = f"{key!r} cannot be set here, only at: {scopes}{below}"
    else:
        wrong = f"unknown key {format_value(key)}{suggest_name(key, allowed)}"
    return Problem(join_path(path), wrong, "any of " + ", ".join(allowed))


def _check_value(path, rule, value):
    violation = find_violation(rule, value)
    if violation is not None:
        yield Problem(join_path(path), violation, rule.allowed)


def _check_children(path, nodes, checked_node, check):
    if not isinstance(nodes, dict):
        yield Problem(
            join_path(path),
            f"{format_value(nodes)} is not a mapping",
            f"a mapping from names to nodes; a name: {NAME_ALLOWED}",
        )
        return
    if len(nodes) > NODES_MAX:
        yield Problem(
            join_path(path), f"{len(nodes)} nodes", f"at most {NODES_MAX} nodes"
        )
        return
    for name, node in nodes.items():
        child_path = (*path, str(name))
        if not isinstance(name, str) or not NAME_PATTERN.fullmatch(name):
            yield Problem(
                join_path(child_path),
                f"{format_value(name)} is not a name",
                NAME_ALLOWED,
            )
        else:
            checked_child = _find_child(checked_node, name)
            if checked_child is not node:
                yield from check(child_path, node, checked_child)


def _find_child(node, name):
    return node.get(name) if isinstance(node, dict) else None


def _check_match(path, node, rules):
    if not isinstance(node, dict):
        yield _make_type_problem(path, node, rules)
        return
    for key, value in node.items():
        child_path = (*path, str(key))
        if key in rules:
            yield from _check_value(child_path, rules[key], value)
        else:
            yield Problem(
                join_path(child_path),
                f"unknown key {format_value(key)}{suggest_name(key, rules)}",
                "any of " + ", ".join(rules),
            )


def _check_conflicts(tree):
    services = tree.get("services", {})
    yield from _check_service_matches(services)
    for service, node in services.items():
        yield from _check_kind_matches(service, node.get("kinds", {}))
    yield from _check_overrides(tree.get("domains", {}), services)


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


def _check_overrides(domains, services):
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
