"""One version of the settings tree, indexed for the data path."""

from collections.abc import Iterable
from typing import Any

import msgspec

from sapphireway_state._matching import make_matcher
from sapphireway_state._policy import Policy
from sapphireway_state._schema import SETTINGS

DEFAULT_SOURCE = "(default)"
"""Source of a value that no node of the tree sets."""


class Source(msgspec.Struct, frozen=True):
    """A value in force and the node of the tree that sets it.

    Attributes
    ----------
    name : str
        Name of the setting.
    value : bool, int or float
    node : str
        Path of the node; empty for the root, ``(default)`` if no node sets it.
    """

    name: str
    value: bool | int | float
    node: str


class SettingsView:
    """Read-only view of one version of a valid tree.

    Parameters
    ----------
    tree : dict
        Tree in which `check_tree` finds no problem; must not be modified afterwards.
    version : int
        Journal index of the tree's last edit; 0 for an empty tree.
    """

    __slots__ = (
        "_domains_out",
        "_match",
        "_policies",
        "_servers_out",
        "tree",
        "version",
    )

    def __init__(self, tree: dict[str, Any], version: int):
        self.tree = tree
        self.version = version
        self._match = make_matcher(tree)
        self._domains_out = _find_out_of_service(tree.get("domains", {}))
        self._servers_out = _find_out_of_service(tree.get("servers", {}))
        self._policies = {}

    def resolve(self, domain: str, service: str, kind: str) -> Policy:
        """Return the settings in force for a request in a failure domain."""
        key = (domain, service, kind)
        policy = self._policies.get(key)
        if policy is None:
            policy = self._build_policy(domain, service, kind)
            if self._is_declared(service, kind):
                self._policies[key] = policy
        return policy

    def explain(self, domain: str, service: str, kind: str) -> list[Source]:
        """Return all settings in force, with the nodes that they come from."""
        sources = {
            name: Source(name, setting.default, DEFAULT_SOURCE)
            for name, setting in SETTINGS.items()
        }
        for path, node in self._list_nodes(domain, service, kind):
            for name in SETTINGS:
                if name in node:
                    sources[name] = Source(name, node[name], path)
        maximum = sources["deadline_max_ms"]
        if sources["deadline_ms"].value > maximum.value:
            sources["deadline_ms"] = Source("deadline_ms", maximum.value, maximum.node)
        return list(sources.values())

    def is_out(self, domain: str, server: str) -> bool:
        """Return whether the failure domain or the server is out of service."""
        return domain in self._domains_out or server in self._servers_out

    def match(
        self, method: str, target: str, headers: Iterable[tuple[str, str]]
    ) -> tuple[str, str] | None:
        """Return the service and kind of a request, or None if no service matches."""
        return self._match(method, target, headers)

    def list_domains(self) -> list[str]:
        """Return the failure domains that have a node in the tree."""
        return list(self.tree.get("domains", {}))

    def list_services(self) -> list[str]:
        """Return the declared services."""
        return list(self.tree.get("services", {}))

    def _build_policy(self, domain, service, kind):
        values = {}
        for _, node in self._list_nodes(domain, service, kind):
            values.update((name, node[name]) for name in SETTINGS if name in node)
        policy = Policy(**values)
        if policy.deadline_ms <= policy.deadline_max_ms:
            return policy
        return Policy(**(values | {"deadline_ms": policy.deadline_max_ms}))

    def _is_declared(self, service, kind):
        node = self.tree.get("services", {}).get(service)
        # Undeclared names come from requests and must not fill the cache.
        return node is not None and (kind == "other" or kind in node.get("kinds", {}))

    def _list_nodes(self, domain, service, kind):
        """Return paths and nodes in increasing order of precedence."""
        paths = (
            (),
            ("domains", domain),
            ("services", service),
            ("domains", domain, "services", service),
            ("services", service, "kinds", kind),
            ("domains", domain, "services", service, "kinds", kind),
        )
        nodes = (("/".join(path), find_node(self.tree, path)) for path in paths)
        return [(path, node) for path, node in nodes if node]


def find_node(tree: Any, path: Iterable[str]) -> Any:
    """Return the value at a path, or None if there is none."""
    for name in path:
        if not isinstance(tree, dict) or name not in tree:
            return None
        tree = tree[name]
    return tree


def _find_out_of_service(nodes):
    return frozenset(name for name, node in nodes.items() if node.get("out"))
