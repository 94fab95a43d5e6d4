"""Edits of the settings tree, their answers, and the encoding of both."""

import hashlib
from typing import Any

import msgspec

from sapphireway_protocol import decode_msgpack
from sapphireway_state._depth import exceeds_depth
from sapphireway_state._problems import Problem

ANSWER_ITEMS_MAX = 50
"""Maximum number of changes or problems in one answer."""


class SetValue(msgspec.Struct, frozen=True, tag="set", tag_field="op"):
    """Set a value or a whole node at a path; the empty path is the whole tree."""

    path: str
    value: Any


class UnsetValue(msgspec.Struct, frozen=True, tag="unset", tag_field="op"):
    """Remove the value or node at a path, so that settings are inherited again."""

    path: str


Operation = SetValue | UnsetValue


class LiveServers(msgspec.Struct, frozen=True, array_like=True):
    """Live servers of one service in one failure domain, as known to one node."""

    service: str
    domain: str
    servers: list[str]


class Edit(msgspec.Struct, frozen=True, tag="edit", array_like=True):
    """Operations that are applied atomically.

    Attributes
    ----------
    edit_id : str
        Unique; a resent edit keeps its id.
    base : int
        Version of the tree that the edit is based on.
    operations : list of SetValue or UnsetValue
    operator : str
    reason : str
    time_s : float
        Unix time at the node that proposed the edit.
    force : bool
        Whether the edit may take out the last failure domain of a service.
    live : list of LiveServers or None
        Live servers of all services, if the edit may take a domain or server out of
        service.
    """

    edit_id: str
    base: int
    operations: list[SetValue | UnsetValue]
    operator: str
    reason: str = ""
    time_s: float = 0.0
    force: bool = False
    live: list[LiveServers] | None = None


class Change(msgspec.Struct, frozen=True):
    """One value before and after; None if no value is set."""

    path: str
    before: Any
    after: Any


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """The edit was applied; the tree contains it from `version` on."""

    version: int


class Conflict(msgspec.Struct, frozen=True, tag="conflict"):
    """The tree has changed since the version that the edit is based on.

    Attributes
    ----------
    version : int
        Current version.
    base : int
    changes : list of Change
        Changes from `base` to `version`.
    omitted : int
        Number of changes left out; -1 if the history does not reach back to `base`.
    """

    version: int
    base: int
    changes: list[Change]
    omitted: int = 0


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """The edit is invalid, or would make the tree invalid."""

    version: int
    problems: list[Problem]


class TooOld(msgspec.Struct, frozen=True, tag="too_old"):
    """The edit may have been answered before, but that answer was evicted.

    The history shows whether the edit was accepted.

    Attributes
    ----------
    version : int
        Current version.
    oldest_base : int
        Oldest base for which the answers to all edits are still stored.
    """

    version: int
    oldest_base: int


class LostService(msgspec.Struct, frozen=True):
    """A service that would lose its last failure domains, and those domains."""

    service: str
    domains: list[str]


class ForceNeeded(msgspec.Struct, frozen=True, tag="force_needed"):
    """The edit would take out the last failure domain of a service.

    Attributes
    ----------
    version : int
    lost : list of LostService
        Empty if the node that proposed the edit knows no live server.
    """

    version: int
    lost: list[LostService]


Answer = Accepted | Conflict | Refused | TooOld | ForceNeeded


def encode_edit(edit: Edit) -> bytes:
    """Encode an edit as a journal command."""
    return msgspec.msgpack.encode(edit)


def decode_edit(command: bytes) -> Edit | None:
    """Return the edit, or None if `command` cannot be decoded."""
    edit = decode_msgpack(command, Edit)
    if edit is None or any(map(_nests_too_deeply, edit.operations)):
        return None
    return edit


def _nests_too_deeply(operation):
    return isinstance(operation, SetValue) and exceeds_depth(operation.value)


def encode_answer(answer: Answer) -> bytes:
    """Encode an answer as it is stored and sent."""
    return msgspec.msgpack.encode(answer)


def decode_answer(content: bytes) -> Answer | None:
    """Return an answer of `SettingsMachine.apply`, or None if it is malformed."""
    return decode_msgpack(content, Answer)


def digest_edit(edit: Edit) -> bytes:
    """Return a digest of the fields that do not change when an edit is resent.

    The time and the live servers are added by the node that proposes the edit,
    and differ if the edit is resent through another node.
    """
    fixed = (
        edit.base,
        edit.operations,
        edit.operator,
        edit.reason,
        edit.force,
    )
    return hashlib.sha256(msgspec.msgpack.encode(fixed)).digest()[:16]
