"""The replicated state that a node has applied."""

import collections
import itertools
from collections.abc import Callable

import msgspec

from sapphireway_protocol import DECODE_ERRORS, ClaimGroup, SettingsUpdate
from sapphireway_state import (
    Rollout,
    RouteTable,
    RouteView,
    SettingsFollower,
    SettingsView,
    TablePatch,
    UpdateResult,
    apply_patch,
    decode_rollouts,
    digest_table,
    encode_rollouts,
    make_patch,
    reuse_items,
)

NO_VERSION = -1  # of a node that has nothing yet; requests the full state
# In a storm of changes, a node that is some seconds behind still gets patches.
STEPS_MAX = 32


class RoutesStep(msgspec.Struct, frozen=True, array_like=True):
    """Changes between two versions of the routing table.

    Attributes
    ----------
    since, version : int
    patch : TablePatch
    """

    since: int
    version: int
    patch: TablePatch


class RoutesPatch(msgspec.Struct, frozen=True, array_like=True):
    """Consecutive steps from one version of the routing table to another.

    The receiver passes them on to nodes that have one of the versions between.

    Attributes
    ----------
    steps : list of RoutesStep
    digest : bytes
        Digest of the resulting table.
    """

    steps: list[RoutesStep]
    digest: bytes


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
        "_routes_steps",
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
        self._routes_steps = collections.deque(maxlen=STEPS_MAX)
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
        copy._routes_steps = self._routes_steps.copy()
        copy.routes = self.routes
        copy.version = self.version
        return copy

    def make_update(
        self,
        tree_version: int,
        groups_version: int,
        routes_version: int = 0,
        rollouts_version: int = 0,
        accepts_patch: bool = False,
    ) -> SettingsUpdate:
        """Return the changes since the versions that a node has."""
        routes = encode_routes(self.routes.table, self.routes.version, routes_version)
        routes_since = 0
        if routes and routes_version > 0 and accepts_patch:
            patch = self._encode_patch(routes_version)
            if patch and len(patch) < len(routes):
                routes, routes_since = patch, routes_version
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
            routes,
            self.rollouts_version,
            b""
            if rollouts_version == self.rollouts_version
            else encode_rollouts(self._rollouts.values()),
            routes_since,
        )

    def apply(self, update: SettingsUpdate) -> UpdateResult:
        """Apply an update atomically."""
        if update.version <= self.version:
            return UpdateResult.OLD
        routes, routes_steps = None, ()
        if update.routes and update.routes_version > self.routes.version:
            decoded = self._decode_routes(update)
            if decoded is None:
                self.rejection_reason = "the routing table cannot be decoded"
                return UpdateResult.BROKEN
            if decoded is UpdateResult.NEEDS_WHOLE:
                return decoded
            routes, routes_steps = decoded
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
            if not routes_steps:
                self._routes_steps.clear()
            self._routes_steps.extend(routes_steps)
        if rollouts is not None:
            self._rollouts = rollouts
            self.rollouts_version = update.rollouts_version
        self.version = update.version
        for group in update.groups or ():
            self._on_group(group)
        return UpdateResult.NEW

    def _encode_patch(self, since):
        """Return the steps since a version; empty if they aren't known."""
        steps = list(
            itertools.dropwhile(lambda step: step.since != since, self._routes_steps)
        )
        if not steps:
            return b""
        return msgspec.msgpack.encode(
            RoutesPatch(steps, digest_table(self.routes.table))
        )

    def _decode_routes(self, update):
        """Return the view of an update's table, and the steps that lead to it.

        Returns None if the update can't be decoded, and `NEEDS_WHOLE` if its steps lead
        from another table.
        """
        try:
            if not update.routes_since:
                table = msgspec.msgpack.decode(update.routes, type=RouteTable)
                return self._compare_routes(table, update.routes_version)
            change = msgspec.msgpack.decode(update.routes, type=RoutesPatch)
        except DECODE_ERRORS:
            return None
        table, version = self.routes.table, self.routes.version
        for step in change.steps:
            if step.since != version:
                return UpdateResult.NEEDS_WHOLE
            table, version = apply_patch(table, step.patch), step.version
        if digest_table(table) != change.digest:
            return UpdateResult.NEEDS_WHOLE
        return RouteView(table, version, self.routes), change.steps

    def _compare_routes(self, table, version):
        table = reuse_items(table, self.routes.table)
        patch = make_patch(self.routes.table, table)
        steps = [RoutesStep(self.routes.version, version, patch)] if patch else []
        return RouteView(table, version, self.routes), steps


def encode_routes(table: RouteTable, version: int, known_version: int) -> bytes:
    """Return an encoded routing table; empty if `known_version` is current."""
    return b"" if version == known_version else msgspec.msgpack.encode(table)
