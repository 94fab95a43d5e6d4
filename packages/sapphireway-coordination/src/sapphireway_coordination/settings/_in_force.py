"""The journal's state that one node has in force."""

from collections.abc import Callable

import msgspec

from sapphireway_protocol import ClaimGroup, SettingsUpdate
from sapphireway_state import (
    RouteTable,
    RouteView,
    SettingsFollower,
    SettingsView,
    UpdateResult,
)

WHOLE_TREE = -1


class StateInForce:
    """Settings tree, claim groups and routes as of one position of the journal.

    Parameters
    ----------
    on_groups : callable
        Called with each claim group that may have changed.

    Attributes
    ----------
    version : int
        Position in the journal; it never decreases.
    groups_version : int
    routes : RouteView
        Routing table in force.
    fault : str
        Why the last update was refused.
    """

    __slots__ = (
        "_group_versions",
        "_groups",
        "_on_groups",
        "_tree",
        "fault",
        "groups_version",
        "routes",
        "version",
    )

    def __init__(self, on_groups: Callable[[ClaimGroup], None] = lambda group: None):
        self._group_versions = {}
        self._groups = {}
        self._on_groups = on_groups
        self._tree = SettingsFollower()
        self.fault = ""
        self.groups_version = 0
        self.routes = RouteView(RouteTable(), 0)
        self.version = 0

    @property
    def view(self) -> SettingsView:
        """The settings tree in force."""
        return self._tree.view

    def get_group(self, name: str) -> ClaimGroup | None:
        """Return the claim group with this name, if there is one."""
        return self._groups.get(name)

    def copy(self) -> "StateInForce":
        """Return a state that changes on its own and tells nobody of its groups."""
        copy = StateInForce()
        copy._group_versions = dict(self._group_versions)
        copy._groups = dict(self._groups)
        copy._tree = self._tree.copy()
        copy.groups_version = self.groups_version
        copy.routes = self.routes
        copy.version = self.version
        return copy

    def make_update(
        self, tree_version: int, groups_version: int, routes_version: int = 0
    ) -> SettingsUpdate:
        """Return what a node with these versions lacks."""
        tree = b""
        if tree_version != self.view.version:
            tree = self._tree.encode_changes(tree_version)
        groups = None
        if groups_version != self.groups_version:
            groups = [
                group
                for name, group in self._groups.items()
                if self._group_versions[name] > groups_version
            ]
        return SettingsUpdate(
            self.version,
            tree,
            self.groups_version,
            groups,
            self.routes.version,
            encode_routes(self.routes.table, self.routes.version, routes_version),
        )

    def apply(self, update: SettingsUpdate) -> UpdateResult:
        """Put an update in force as a whole, or change nothing."""
        if update.version <= self.version:
            return UpdateResult.OLD
        routes = None
        if update.routes and update.routes_version > self.routes.version:
            routes = _decode_routes(update)
            if routes is None:
                self.fault = "the routing table cannot be decoded"
                return UpdateResult.BROKEN
        if update.tree:
            applied = self._tree.apply_update(update.tree)
            if applied in (UpdateResult.NEEDS_WHOLE, UpdateResult.BROKEN):
                self.fault = self._tree.rejection_reason
                return applied
        if update.groups is not None:
            # A group may have changed earlier than the update says; whoever
            # follows from here then gets it once more.
            self._groups |= {group.name: group for group in update.groups}
            self._group_versions |= dict.fromkeys(
                (group.name for group in update.groups), update.groups_version
            )
            self.groups_version = update.groups_version
        if routes is not None:
            self.routes = routes
        self.version = update.version
        for group in update.groups or ():
            self._on_groups(group)
        return UpdateResult.NEW


def encode_routes(table: RouteTable, version: int, known_version: int) -> bytes:
    """Return a table as an update carries it; empty if `known_version` is current."""
    return b"" if version == known_version else msgspec.msgpack.encode(table)


def _decode_routes(update):
    try:
        table = msgspec.msgpack.decode(update.routes, type=RouteTable)
    except msgspec.MsgspecError:
        return None
    return RouteView(table, update.routes_version)
