"""The settings tree as a deterministic, replicated state machine."""

from collections import deque
from typing import Any

import msgspec

from sapphireway_state._answers import AnswerWindow, StoredAnswer
from sapphireway_state._edits import (
    ANSWER_ITEMS_MAX,
    Accepted,
    Change,
    Conflict,
    ForceNeeded,
    Refused,
    SetValue,
    TooOld,
    UnsetValue,
    decode_edit,
    digest_edit,
    encode_answer,
)
from sapphireway_state._invariants import check_invariant
from sapphireway_state._operations import (
    apply_operations,
    compare_trees,
    merge_changes,
)
from sapphireway_state._problems import Problem
from sapphireway_state._queries import (
    Changes,
    CurrentTree,
    History,
    HistoryEntry,
    ReadHistory,
    ReadTree,
    decode_query,
)
from sapphireway_state._service_loss import find_lost_services
from sapphireway_state._tree import check_tree
from sapphireway_state._updates import Step, digest_tree, encode_update

HISTORY_MAX_EDITS = 5_000
HISTORY_MAX_BYTES = 4 * 1024 * 1024
TREE_MAX_BYTES = 768 * 1024
"""Small enough for one edit to set a whole tree."""


class _HistoryRecord(msgspec.Struct, frozen=True, array_like=True):
    since: int
    entry: HistoryEntry
    operations: list[SetValue | UnsetValue]
    size: int


class _Snapshot(msgspec.Struct, frozen=True):
    index: int
    version: int
    tree: dict[str, Any]
    history: list[_HistoryRecord]
    answers: list[StoredAnswer]
    oldest_base: int
    history_floor: int


_snapshot_decoder = msgspec.msgpack.Decoder(_Snapshot)


class _NextState(msgspec.Struct, frozen=True):
    tree: dict[str, Any]
    digest: bytes
    changes: list[Change]


class SettingsMachine:
    """Applies edits in journal order; equal journals give equal states.

    The version of the tree is the journal index of its last accepted edit. An
    edit is accepted only if it is based on the current version, so an accepted
    edit cannot be accepted a second time. Answers are stored for a bounded number
    of edits; beyond them, the history still shows whether an edit was accepted.
    `TooOld` says that the answer may have been evicted.

    Attributes
    ----------
    index : int
        Journal index of the last applied command.
    version : int
        Journal index of the last accepted edit; 0 if there is none.
    tree : dict
        Current tree; must not be modified.
    """

    __slots__ = (
        "_answers",
        "_digest",
        "_history",
        "_history_bytes",
        "_history_floor",
        "index",
        "tree",
        "version",
    )

    def __init__(self):
        self._load(_Snapshot(0, 0, {}, [], [], 0, 0))

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply the command at one journal index and return its answer.

        Parameters
        ----------
        index : int
            Greater than the index of every earlier command.
        command : bytes
            An encoded `Edit`.

        Returns
        -------
        bytes
            An encoded `Answer`.

        Raises
        ------
        InvariantError
            If this command or a later one was already applied.
        """
        check_invariant(index > self.index, f"index {index} is not above {self.index}")
        self.index = index
        edit = decode_edit(command)
        if edit is None:
            return encode_answer(self._refuse("", "is not an edit", "an edit"))
        digest = digest_edit(edit)
        stored = self._answers.find(edit.edit_id)
        if stored is not None:
            return self._replay_answer(stored, digest)
        answer = self._apply_edit(edit)
        content = encode_answer(answer)
        if not isinstance(answer, TooOld):
            self._answers.add(StoredAnswer(edit.edit_id, index, digest, content))
        return content

    def read(self, query: bytes) -> bytes:
        """Answer an encoded `Query`; the result is empty if it cannot be decoded."""
        decoded = decode_query(query)
        if decoded is None:
            return b""
        if isinstance(decoded, ReadTree):
            result = CurrentTree(self.version, self.tree)
        elif isinstance(decoded, ReadHistory):
            result = self._read_history(decoded)
        else:
            until = min(decoded.until or self.version, self.version)
            result = self._read_changes(decoded.since, until)
        return msgspec.msgpack.encode(result)

    def encode_changes(self, since: int) -> bytes:
        """Encode an update for a node that has version `since` in force."""
        steps = [
            Step(record.since, record.entry.version, tuple(record.operations))
            for record in self._history
            if record.since >= since
        ]
        return encode_update(self.tree, self.version, self._digest, steps, since)

    def encode_tree(self) -> bytes:
        """Encode the whole current tree as an update for any node."""
        return encode_update(self.tree, self.version, self._digest, (), -1)

    def snapshot(self) -> bytes:
        """Encode the whole state; equal states give equal bytes."""
        return msgspec.msgpack.encode(
            _Snapshot(
                self.index,
                self.version,
                self.tree,
                list(self._history),
                self._answers.list_all(),
                self._answers.oldest_base,
                self._history_floor,
            )
        )

    def restore(self, snapshot: bytes) -> None:
        """Replace the state with a snapshot.

        Raises
        ------
        msgspec.MsgspecError
            If `snapshot` cannot be decoded; the state does not change.
        """
        self._load(_snapshot_decoder.decode(snapshot))

    def _load(self, state):
        self.index = state.index
        self.version = state.version
        self.tree = state.tree
        self._digest = digest_tree(state.tree)
        self._history = deque(state.history)
        self._history_bytes = sum(record.size for record in state.history)
        self._history_floor = state.history_floor
        self._answers = AnswerWindow(state.answers, state.oldest_base)

    def _replay_answer(self, stored, digest):
        if stored.digest == digest:
            return stored.answer
        wrong = "this edit id was used for another edit"
        return encode_answer(self._refuse("", wrong, "a new id for each edit"))

    def _refuse(self, path, wrong, allowed):
        return Refused(self.version, [Problem(path, wrong, allowed)])

    def _apply_edit(self, edit):
        base_answer = self._check_base(edit)
        if base_answer is not None:
            return base_answer
        next_state = self._build_next_state(edit)
        if isinstance(next_state, Refused):
            return next_state
        lost = find_lost_services(self.tree, next_state.tree, edit.live)
        if lost is not None and not edit.force:
            return ForceNeeded(self.version, lost)
        self._accept(edit, next_state)
        return Accepted(self.version)

    def _check_base(self, edit):
        if edit.base == self.version:
            return None
        if edit.base > self.version:
            wrong = f"version {edit.base} does not exist"
            allowed = f"the current version, {self.version}"
            return self._refuse("", wrong, allowed)
        accepted = self._find_accepted(edit)
        if accepted is not None:
            return accepted
        if edit.base < self._answers.oldest_base:
            return TooOld(self.version, self._answers.oldest_base)
        difference = self._read_changes(edit.base, self.version)
        shown = difference.changes[:ANSWER_ITEMS_MAX]
        omitted = len(difference.changes) - len(shown) if difference.complete else -1
        return Conflict(self.version, edit.base, shown, omitted)

    def _find_accepted(self, edit):
        # The history reaches further back than the stored answers.
        for record in self._history:
            if record.entry.edit_id == edit.edit_id and record.since == edit.base:
                return Accepted(record.entry.version)
        return None

    def _build_next_state(self, edit):
        if not edit.edit_id or not edit.operations or not edit.operator:
            wrong = "an edit lacks its id, operator or operations"
            return self._refuse("", wrong, "an id, an operator and operations")
        tree = apply_operations(self.tree, edit.operations)
        if isinstance(tree, Problem):
            return Refused(self.version, [tree])
        problems = check_tree(tree, self.tree)
        if problems:
            return Refused(self.version, problems[:ANSWER_ITEMS_MAX])
        if len(msgspec.msgpack.encode(tree)) > TREE_MAX_BYTES:
            allowed = f"at most {TREE_MAX_BYTES} bytes"
            return self._refuse("", "the tree is too large", allowed)
        return _NextState(tree, digest_tree(tree), compare_trees(self.tree, tree))

    def _accept(self, edit, next_state):
        entry = HistoryEntry(
            self.index,
            edit.edit_id,
            edit.operator,
            edit.reason,
            edit.time_s,
            edit.force,
            next_state.changes,
        )
        size = len(msgspec.msgpack.encode((entry, edit.operations)))
        self._history.append(_HistoryRecord(self.version, entry, edit.operations, size))
        self._history_bytes += size
        self._trim_history()
        self.version = self.index
        self.tree = next_state.tree
        self._digest = next_state.digest

    def _trim_history(self):
        while (
            len(self._history) > HISTORY_MAX_EDITS
            or self._history_bytes > HISTORY_MAX_BYTES
        ):
            record = self._history.popleft()
            self._history_bytes -= record.size
            self._history_floor = record.entry.version

    def _read_history(self, query):
        entries = [
            record.entry
            for record in reversed(self._history)
            if not query.before or record.entry.version < query.before
        ]
        oldest = self._history[0].entry.version if self._history else 0
        return History(self.version, entries[: max(0, query.limit)], oldest)

    def _read_changes(self, since, until):
        steps = [
            record.entry.changes
            for record in self._history
            if since < record.entry.version <= until
        ]
        complete = since >= self._history_floor
        return Changes(since, until, merge_changes(steps), complete)
