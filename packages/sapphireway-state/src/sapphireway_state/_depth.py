"""Bound on the nesting of values in the settings tree."""

from typing import Any

DEPTH_MAX = 8


def exceeds_depth(value: Any, depth: int = DEPTH_MAX) -> bool:
    """Return whether a value is nested more deeply than any valid tree.

    Such values must not enter the journal: the recursion limits of decoders may
    differ between hosts, but all hosts must decode an entry alike.
    """
    if not isinstance(value, dict | list | tuple):
        return False
    # Keys in msgpack can be arrays, too.
    items = (*value, *value.values()) if isinstance(value, dict) else value
    return depth == 0 or any(exceeds_depth(item, depth - 1) for item in items)
