"""The replicated state that a node has applied."""

from collections.abc import Callable

import msgspec

from sapphireway_protocol import ClaimGroup, SettingsUpdate
from sapphireway_state import (
    Rollout,
    RouteTable,
    RouteView,
    SettingsFollower,
    SettingsView,
    UpdateResult,
    decode_rollouts,
    encode_rollouts,
)

NO_VERSION = -1  # of a node that has nothing yet; requests the full state


class AppliedState:
    """Settings tree, claim groups and routes as of one journal position.

    Parameters
    ----------
    on_group : callable
        Called with each claim group that may have changed.

    Attributes
    ----------
    version : int
        Journal position; it never decreases.
    groups_version : int
    routes : RouteView
        The current routing table.
    rollouts_version : int
    rejection_reason : str
        Why the last rejected update could not be applied.
    """

    __slots__ = (
        "_group_versions",
        "_groups",
        "_on_group",
        "_rollouts",
        "_tree",
        "groups_version",
        "rejection_reason",
        "rollouts_version",
        "routes",
        "version",
    )

    def __init__(self, on_group: Callable[[ClaimGroup], None] = lambda group: None):
        self._group_versions = {}
        self._groups = {}
        self._on_group = on_group
        self._rollouts = {}
        self._tree = SettingsFollower()
        self.rejection_reason = ""
        self.groups_version = 0
        self.rollouts_version = 0
        self.routes = RouteView(RouteTable(), 0)
        self.version = 0

    @property
    def view(self) -> SettingsView:
        """The current settings tree."""
        return self._tree.view

    def get_group(self, name: str) -> ClaimGroup | None:
        """Return the claim group with this name, if there is one."""
        return self._groups.get(name)

    def get_rollout(self, service: str) -> Rollout | None:
        """Return the last rollout of a service, if there was one."""
        return self._rollouts.get(service)

    def copy(self) -> "AppliedState":
        """Return an independent copy that does not call `on_group`."""
        copy = AppliedState()
        copy._group_versions = dict(self._group_versions)
        copy._groups = dict(self._groups)
        copy._tree = self._tree.copy()
        copy.groups_version = self.groups_version
        copy._rollouts = self._rollouts
        copy.rollouts_version = self.rollouts_version
        copy.routes = self.routes
        copy.version = self.version
        return copy

    def make_update(
        self,
        tree_version: int,
        groups_version: int,
        routes_version: int = 0,
        rollouts_version: int = 0,
    ) -> SettingsUpdate:
        """Return the changes since the versions that a node has."""
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
            self.rollouts_version,
            b""
            if rollouts_version == self.rollouts_version
            else encode_rollouts(self._rollouts.values()),
        )

    def apply(self, update: SettingsUpdate) -> UpdateResult:
        """Apply an update atomically."""
        if update.version <= self.version:
            return UpdateResult.OLD
        routes = None
        if update.routes and update.routes_version > self.routes.version:
            routes = _decode_routes(update)
            if routes is None:
                self.rejection_reason = "the routing table cannot be decoded"
                return UpdateResult.BROKEN
        rollouts = None
        if update.rollouts and update.rollouts_version > self.rollouts_version:
            rollouts = decode_rollouts(update.rollouts)
            if rollouts is None:
                self.rejection_reason = "the rollouts cannot be decoded"
                return UpdateResult.BROKEN
        if update.tree:
            result = self._tree.apply_update(update.tree)
            if result in (UpdateResult.NEEDS_WHOLE, UpdateResult.BROKEN):
                self.rejection_reason = self._tree.rejection_reason
                return result
        if update.groups is not None:
            # A group may have changed before the update's version. Nodes that fetch
            # from this one then receive it once more.
            self._groups |= {group.name: group for group in update.groups}
            self._group_versions |= dict.fromkeys(
                (group.name for group in update.groups), update.groups_version
            )
            self.groups_version = update.groups_version
        if routes is not None:
            self.routes = routes
        if rollouts is not None:
            self._rollouts = rollouts
            self.rollouts_version = update.rollouts_version
        self.version = update.version
        for group in update.groups or ():
            self._on_group(group)
        return UpdateResult.NEW


def encode_routes(table: RouteTable, version: int, known_version: int) -> bytes:
    """Return an encoded routing table; empty if `known_version` is current."""
    return b"" if version == known_version else msgspec.msgpack.encode(table)


def _decode_routes(update):
    try:
        table = msgspec.msgpack.decode(update.routes, type=RouteTable)
    except msgspec.MsgspecError:
        return None
    return RouteView(table, update.routes_version)
