"""Applies operations to trees, and compares trees."""

from collections.abc import Iterable, Sequence
from typing import Any

from sapphireway_state._depth import DEPTH_MAX
from sapphireway_state._edits import Change, Operation, SetValue, UnsetValue
from sapphireway_state._problems import Problem

DECLARED_DEPTHS = (2, 4)
"""Depths at which paths below ``services`` name services and kinds."""


def apply_operations(
    tree: dict[str, Any], operations: Iterable[Operation]
) -> dict[str, Any] | Problem:
    """Return the tree after all operations; `tree` itself is not modified."""
    for operation in operations:
        result = _apply_operation(tree, operation)
        if isinstance(result, Problem):
            return result
        tree = result
    return tree


def compare_trees(before: Any, after: Any, path: str = "") -> list[Change]:
    """Return all values that differ, ordered by path."""
    if before is after or (type(before) is type(after) and before == after):
        return []
    before_node = _as_mapping(before, after)
    after_node = _as_mapping(after, before)
    if before_node is None or after_node is None:
        return [Change(path, before, after)]
    changes = []
    for name in sorted(before_node.keys() | after_node.keys()):
        child_path = f"{path}/{name}" if path else name
        changes.extend(
            compare_trees(before_node.get(name), after_node.get(name), child_path)
        )
    return changes


def _as_mapping(value, other):
    """Return `value` if it is a mapping, else None.

    None counts as an empty mapping if `other` is not empty.
    """
    if value is None and other:
        value = {}
    return value if isinstance(value, dict) else None


def list_operations(before: Any, after: Any, path: str = "") -> list[Operation]:
    """Return the operations that change one tree into another."""
    operations = []
    for name in sorted(before.keys() | after.keys()):
        child_path = f"{path}/{name}" if path else name
        if name not in after:
            operations.append(UnsetValue(child_path))
        elif name not in before:
            operations.append(SetValue(child_path, after[name]))
        elif isinstance(before[name], dict) and isinstance(after[name], dict):
            operations.extend(list_operations(before[name], after[name], child_path))
        elif before[name] != after[name]:
            operations.append(SetValue(child_path, after[name]))
    return operations


def list_out_of_service(tree: dict[str, Any], level: str) -> set[str]:
    """Return the names of the ``domains`` or ``servers`` that are out of service."""
    return {name for name, node in tree.get(level, {}).items() if node.get("out")}


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
    # A misspelt name must not silently declare a service or kind.
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
            return _make_leaf_problem(operation.path, name)
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
            return _make_unset_problem(operation.path)
        node[name] = dict(child)
        node = node[name]
    if names[-1] not in node:
        return _make_unset_problem(operation.path)
    del node[names[-1]]
    return root


def _make_leaf_problem(path, name):
    return Problem(path, f"{name!r} is a value, not a node", "a path below nodes")


def _make_unset_problem(path):
    return Problem(path, "nothing is set there", "a path at which a value is set")


def merge_changes(steps: Sequence[Sequence[Change]]) -> list[Change]:
    """Return the combined changes of several edits, given in their order."""
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
