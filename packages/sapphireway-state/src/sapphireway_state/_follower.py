"""The tree as a node that follows it has it in force."""

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

STEPS_KEPT = 64


class UpdateResult(enum.Enum):
    """What became of an update."""

    NEW = "new"
    """A later version is in force now."""
    OLD = "old"
    """The version in force is the same or later; nothing changed."""
    NEEDS_WHOLE = "needs_whole"
    """The update begins at another version; the whole tree is needed."""
    BROKEN = "broken"
    """The update is damaged or this program does not understand its tree."""


class SettingsFollower:
    """Applies whole versions of the tree, never an older one.

    Attributes
    ----------
    view : SettingsView
        Version in force.
    rejection_reason : str
        Why the last broken update was refused.
    """

    __slots__ = ("_digest", "_steps", "rejection_reason", "view")

    def __init__(self):
        self.rejection_reason = ""
        self._adopt({}, 0, digest_tree({}))
        self._steps = deque(maxlen=STEPS_KEPT)

    def copy(self) -> "SettingsFollower":
        """Return a follower of the same version that changes on its own."""
        copy = SettingsFollower()
        copy.rejection_reason = self.rejection_reason
        copy.view = self.view
        copy._digest = self._digest
        copy._steps = self._steps.copy()
        return copy

    def apply_update(self, content: bytes) -> UpdateResult:
        """Put a version in force if it is later and whole."""
        update = decode_update(content)
        if update is None:
            return self._refuse("the update cannot be decoded")
        if update.version <= self.view.version:
            return UpdateResult.OLD
        if not isinstance(update, Delta):
            return self._check_and_adopt(update, update.tree, ())
        if update.since != self.view.version:
            return UpdateResult.NEEDS_WHOLE
        tree = apply_operations(self.view.tree, update.operations)
        if isinstance(tree, Problem):
            return self._refuse(format_problem(tree))
        step = Step(update.since, update.version, tuple(update.operations))
        return self._check_and_adopt(update, tree, (*self._steps, step))

    def encode_changes(self, since: int) -> bytes:
        """Return an update for a node that has version `since` in force."""
        return encode_update(
            self.view.tree, self.view.version, self._digest, self._steps, since
        )

    def encode_tree(self) -> bytes:
        """Return the whole version in force, to keep or to send."""
        return self.encode_changes(-1)

    def _check_and_adopt(self, update, tree, steps):
        if digest_tree(tree) != update.digest:
            return self._refuse("the digest does not fit the tree")
        problems = check_tree(tree, self.view.tree)
        if problems:
            return self._refuse(format_problem(problems[0]))
        self._adopt(tree, update.version, update.digest)
        self._steps = deque(steps, maxlen=STEPS_KEPT)
        return UpdateResult.NEW

    def _adopt(self, tree, version, digest):
        self.view = SettingsView(tree, version)
        self._digest = digest

    def _refuse(self, rejection_reason):
        self.rejection_reason = rejection_reason
        return UpdateResult.BROKEN
