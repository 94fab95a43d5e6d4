"""Replicated state machine: settings tree, claim groups, routes and rollouts."""

import msgspec

from sapphireway_coordination.claims import ClaimGroupMachine
from sapphireway_coordination.settings._applied_state import encode_routes
from sapphireway_protocol import DECODE_ERRORS, SettingsUpdate
from sapphireway_state import (
    RolloutMachine,
    RouteMachine,
    SettingsMachine,
    encode_rollouts,
)

TREE_PREFIX = b"t"
GROUP_PREFIX = b"g"
ROUTE_PREFIX = b"r"
ROLLOUT_PREFIX = b"v"


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    tree: bytes
    groups: bytes
    groups_version: int
    routes: bytes = b""
    rollouts: bytes = b""


class ControlMachine:
    """Dispatches the journal's commands to the state machine named by their prefix.

    Attributes
    ----------
    settings : SettingsMachine
    groups : ClaimGroupMachine
    groups_version : int
        Journal position of the last change to a claim group.
    rollouts : RolloutMachine
    routes : RouteMachine
    """

    __slots__ = (
        "_group_versions",
        "_on_change",
        "groups",
        "groups_version",
        "rollouts",
        "routes",
        "settings",
    )

    def __init__(self, on_change=lambda: None):
        self._group_versions = {}
        self._on_change = on_change
        self.groups = ClaimGroupMachine()
        self.groups_version = 0
        self.rollouts = RolloutMachine()
        self.routes = RouteMachine()
        self.settings = SettingsMachine()

    @property
    def version(self) -> int:
        """Journal position of the last change to any part."""
        return max(
            self.settings.version,
            self.groups_version,
            self.routes.version,
            self.rollouts.version,
        )

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a prefixed command; the result is empty if the prefix is unknown."""
        before = self.version
        prefix, content = command[:1], command[1:]
        result = b""
        if prefix == TREE_PREFIX:
            result = self.settings.apply(index, content)
        elif prefix == GROUP_PREFIX:
            result = self._apply_group(index, content)
        elif prefix == ROUTE_PREFIX:
            result = self.routes.apply(index, content)
        elif prefix == ROLLOUT_PREFIX:
            result = self.rollouts.apply(index, content, self._list_services())
        if self.version != before:
            self._on_change()
        return result

    def read(self, query: bytes) -> bytes:
        """Answer a query for the tree, a claim group, the routes or a rollout."""
        prefix, content = query[:1], query[1:]
        if prefix == TREE_PREFIX:
            return self.settings.read(content)
        if prefix == GROUP_PREFIX:
            group = self.groups.get_group(content.decode(errors="replace"))
            return msgspec.msgpack.encode(group)
        if prefix == ROUTE_PREFIX:
            return self.routes.read(content)
        if prefix == ROLLOUT_PREFIX:
            return self.rollouts.read(content)
        return b""

    def make_update(
        self,
        tree_version: int,
        groups_version: int,
        routes_version: int = 0,
        rollouts_version: int = 0,
    ) -> SettingsUpdate:
        """Return the changes since the versions that a node has."""
        tree = b""
        if tree_version != self.settings.version:
            tree = self.settings.encode_changes(tree_version)
        groups = None
        if groups_version != self.groups_version:
            versions = self._group_versions
            groups = [
                group
                for group in self.groups.list_groups()
                if versions[group.name] > groups_version
            ]
        routes, rollouts = self.routes, self.rollouts
        return SettingsUpdate(
            self.version,
            tree,
            self.groups_version,
            groups,
            routes.version,
            encode_routes(routes.table, routes.version, routes_version),
            rollouts.version,
            b""
            if rollouts_version == rollouts.version
            else encode_rollouts(rollouts.rollouts.values()),
        )

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return msgspec.msgpack.encode(
            _Snapshot(
                self.settings.snapshot(),
                self.groups.snapshot(),
                self.groups_version,
                self.routes.snapshot(),
                self.rollouts.snapshot(),
            )
        )

    def can_restore(self, data: bytes) -> bool:
        """Return whether `data` is a snapshot; the state doesn't change."""
        try:
            ControlMachine().restore(data)
        except DECODE_ERRORS:
            return False
        return True

    def restore(self, data: bytes) -> None:
        """Replace the whole state with that of a snapshot."""
        snapshot = msgspec.msgpack.decode(data, type=_Snapshot)
        self.settings.restore(snapshot.tree)
        self.groups.restore(snapshot.groups)
        self.groups_version = snapshot.groups_version
        if snapshot.routes:
            self.routes.restore(snapshot.routes)
        if snapshot.rollouts:
            self.rollouts.restore(snapshot.rollouts)
        # Snapshots lack the groups' own versions. With the latest for all, some groups
        # are sent again.
        self._group_versions = {
            group.name: self.groups_version for group in self.groups.list_groups()
        }
        self._on_change()

    def _list_services(self):
        tabled = {service.name for service in self.routes.table.services}
        return tabled | set(self.settings.tree.get("services", {}))

    def _apply_group(self, index, content):
        before = {group.name: group for group in self.groups.list_groups()}
        result = self.groups.apply(index, content)
        for group in self.groups.list_groups():
            if group != before.get(group.name):
                self._group_versions[group.name] = self.groups_version = index
        return result
