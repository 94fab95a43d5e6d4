"""Applies operations to a tree and compares trees."""

from collections.abc import Iterable, Sequence
from typing import Any

from sapphireway_state._edits import Change, Operation, SetValue, UnsetValue
from sapphireway_state._problems import Problem

DECLARED_DEPTHS = (2, 4)
"""Depths of the names of services and kinds in paths below ``services``."""

DEPTH_MAX = 8


def apply_operations(
    tree: dict[str, Any], operations: Iterable[Operation]
) -> dict[str, Any] | Problem:
    """Return the tree after all operations; `tree` itself is not changed."""
    for operation in operations:
        result = _apply_operation(tree, operation)
        if isinstance(result, Problem):
            return result
        tree = result
    return tree


def compare_trees(before: Any, after: Any, path: str = "") -> list[Change]:
    """Return every value that differs, in the order of the paths."""
    if before is after or (type(before) is type(after) and before == after):
        return []
    before_node = _view_as_node(before, after)
    after_node = _view_as_node(after, before)
    if before_node is None or after_node is None:
        return [Change(path, before, after)]
    changes = []
    for name in sorted(before_node.keys() | after_node.keys()):
        here = f"{path}/{name}" if path else name
        changes.extend(compare_trees(before_node.get(name), after_node.get(name), here))
    return changes


def _view_as_node(value, other):
    """Return a mapping, with nothing beside a filled one seen as empty."""
    if value is None and other:
        value = {}
    return value if isinstance(value, dict) else None


def list_operations(before: Any, after: Any, path: str = "") -> list[Operation]:
    """Return the operations that lead from one tree to another."""
    operations = []
    for name in sorted(before.keys() | after.keys()):
        here = f"{path}/{name}" if path else name
        if name not in after:
            operations.append(UnsetValue(here))
        elif name not in before:
            operations.append(SetValue(here, after[name]))
        elif isinstance(before[name], dict) and isinstance(after[name], dict):
            operations.extend(list_operations(before[name], after[name], here))
        elif before[name] != after[name]:
            operations.append(SetValue(here, after[name]))
    return operations


def list_out_of_service(tree: dict[str, Any], level: str) -> set[str]:
    """Return names of the ``domains`` or ``servers`` that are out of service."""
    return {name for name, node in tree.get(level, {}).items() if node.get("out")}


def exceeds_depth(value: Any, depth: int = DEPTH_MAX) -> bool:
    """Return whether a value nests deeper than a tree can.

    Such values are kept out of the journal: how deeply a decoder may nest
    differs between hosts, and they must all decode the same.
    """
    if not isinstance(value, (dict, list)):
        return False
    items = value.values() if isinstance(value, dict) else value
    return depth == 0 or any(exceeds_depth(item, depth - 1) for item in items)


def _apply_operation(tree, operation):
    path = operation.path
    if not path:
        return _replace_root(operation)
    names = path.split("/")
    if not all(names) or len(names) > DEPTH_MAX:
        return Problem(path, "is not a path", "names joined by /, such as domains/a")
    if isinstance(operation, SetValue):
        undeclared = _find_undeclared(tree, names)
        if undeclared is not None:
            return undeclared
        return _set_value(tree, names, operation)
    return _unset_value(tree, names, operation)


def _replace_root(operation):
    if isinstance(operation, SetValue) and isinstance(operation.value, dict):
        return operation.value
    return Problem("", "the root is a mapping", "set with a whole tree")


def _find_undeclared(tree, names):
    # A misspelt name must not quietly declare a service or kind.
    if names[0] != "services":
        return None
    node = tree
    for depth, name in enumerate(names[:-1], 1):
        node = node.get(name)
        if node is None and depth in DECLARED_DEPTHS:
            path = "/".join(names[:depth])
            return Problem(path, "is not declared", f"set {path} to a mapping first")
        if not isinstance(node, dict):
            return None
    return None


def _set_value(tree, names, operation):
    root = dict(tree)
    node = root
    for name in names[:-1]:
        child = node.get(name, {})
        if not isinstance(child, dict):
            return _report_leaf(operation.path, name)
        node[name] = dict(child)
        node = node[name]
    node[names[-1]] = operation.value
    return root


def _unset_value(tree, names, operation):
    root = dict(tree)
    node = root
    for name in names[:-1]:
        child = node.get(name)
        if not isinstance(child, dict):
            return _report_unset(operation.path)
        node[name] = dict(child)
        node = node[name]
    if names[-1] not in node:
        return _report_unset(operation.path)
    del node[names[-1]]
    return root


def _report_leaf(path, name):
    return Problem(path, f"{name!r} is a value, not a node", "a path below nodes")


def _report_unset(path):
    return Problem(path, "nothing is set there", "a path at which a value is set")


def merge_changes(steps: Sequence[Sequence[Change]]) -> list[Change]:
    """Return what several edits changed together, from the first to the last."""
    before = {}
    after = {}
    for changes in steps:
        for change in changes:
            before.setdefault(change.path, change.before)
            after[change.path] = change.after
    return [
        Change(path, before[path], after[path])
        for path in sorted(before)
        if type(before[path]) is not type(after[path]) or before[path] != after[path]
    ]
