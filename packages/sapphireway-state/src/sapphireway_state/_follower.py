"""The settings tree in force at a node that receives updates of it."""

import enum
from collections import deque

from sapphireway_state._operations import apply_operations
from sapphireway_state._problems import Problem, format_problem
from sapphireway_state._tree import check_tree
from sapphireway_state._updates import (
    Delta,
    Step,
    decode_update,
    digest_tree,
    encode_update,
)
from sapphireway_state._view import SettingsView

STEPS_MAX = 64


class UpdateResult(enum.Enum):
    """Result of applying an update."""

    NEW = "new"
    """A later version is now in force."""
    OLD = "old"
    """The version in force is the same or a later one; nothing changed."""
    NEEDS_WHOLE = "needs_whole"
    """The update applies to another version; the whole tree is needed."""
    BROKEN = "broken"
    """The update is corrupt, or its tree is invalid for this program version."""


class SettingsFollower:
    """Applies updates of the tree atomically and never goes back to an older version.

    Attributes
    ----------
    view : SettingsView
        Version in force.
    rejection_reason : str
        Why the last update was rejected as `BROKEN`; empty if it was not.
    """

    __slots__ = ("_digest", "_steps", "rejection_reason", "view")

    def __init__(self):
        self.rejection_reason = ""
        self._put_in_force({}, 0, digest_tree({}))
        self._steps = deque(maxlen=STEPS_MAX)

    def copy(self) -> "SettingsFollower":
        """Return an independent follower with the same version in force."""
        copy = SettingsFollower()
        copy.rejection_reason = self.rejection_reason
        copy.view = self.view
        copy._digest = self._digest
        copy._steps = self._steps.copy()
        return copy

    def apply_update(self, content: bytes) -> UpdateResult:
        """Put the update's version in force if it is later and valid."""
        self.rejection_reason = ""
        update = decode_update(content)
        if update is None:
            return self._reject("the update cannot be decoded")
        if update.version <= self.view.version:
            return UpdateResult.OLD
        if not isinstance(update, Delta):
            return self._check_and_put_in_force(update, update.tree, ())
        if update.since != self.view.version:
            return UpdateResult.NEEDS_WHOLE
        tree = apply_operations(self.view.tree, update.operations)
        if isinstance(tree, Problem):
            return self._reject(format_problem(tree))
        step = Step(update.since, update.version, tuple(update.operations))
        return self._check_and_put_in_force(update, tree, (*self._steps, step))

    def encode_changes(self, since: int) -> bytes:
        """Encode an update for a node that has version `since` in force."""
        return encode_update(
            self.view.tree, self.view.version, self._digest, self._steps, since
        )

    def encode_tree(self) -> bytes:
        """Encode the whole tree in force, to store or to send."""
        return self.encode_changes(-1)

    def _check_and_put_in_force(self, update, tree, steps):
        if digest_tree(tree) != update.digest:
            return self._reject("the digest does not match the tree")
        problems = check_tree(tree, self.view.tree)
        if problems:
            return self._reject(format_problem(problems[0]))
        self._put_in_force(tree, update.version, update.digest)
        self._steps = deque(steps, maxlen=STEPS_MAX)
        return UpdateResult.NEW

    def _put_in_force(self, tree, version, digest):
        self.view = SettingsView(tree, version)
        self._digest = digest

    def _reject(self, rejection_reason):
        self.rejection_reason = rejection_reason
        return UpdateResult.BROKEN
