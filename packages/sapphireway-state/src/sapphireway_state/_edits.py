"""Edits of the settings tree, the answers to them, and their encoding."""

import hashlib
from typing import Any

import msgspec

from sapphireway_state._problems import Problem

CHANGES_SHOWN = 50
"""Most changes that the answer to a lost race carries."""


class SetValue(msgspec.Struct, frozen=True, tag="set", tag_field="op"):
    """Put a value or a whole node at a path; the empty path is the whole tree."""

    path: str
    value: Any


class UnsetValue(msgspec.Struct, frozen=True, tag="unset", tag_field="op"):
    """Remove what is set at a path, so that it is inherited again."""

    path: str


Operation = SetValue | UnsetValue


class LiveServers(msgspec.Struct, frozen=True, array_like=True):
    """Live servers of one service in one failure domain, as a node knows them."""

    service: str
    domain: str
    servers: list[str]


class Edit(msgspec.Struct, frozen=True, tag="edit", array_like=True):
    """Operations that are applied together or not at all.

    Attributes
    ----------
    edit_id : str
        Unique; an edit that is sent again carries the same one.
    base : int
        Version of the tree that the operator saw.
    operations : list of SetValue or UnsetValue
    operator : str
    reason : str
    time_s : float
        Seconds since the epoch at the node that proposed the edit.
    force : bool
        Whether a service may lose its last failure domain.
    live : list of LiveServers or None
        Servers of every service that the edit may take out of service.
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
    """One value before and after; None where nothing is set."""

    path: str
    before: Any
    after: Any


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """The edit is part of the tree from `version` on."""

    version: int


class Conflict(msgspec.Struct, frozen=True, tag="conflict"):
    """The tree is no longer the one that the edit is based on.

    Attributes
    ----------
    version : int
        Current version.
    base : int
    changes : list of Change
        What changed between them.
    omitted : int
        Changes beyond those; -1 if the history does not reach back to `base`.
    """

    version: int
    base: int
    changes: list[Change]
    omitted: int = 0


class Refused(msgspec.Struct, frozen=True, tag="refused"):
    """The edit is wrong in itself, or would make the tree so."""

    version: int
    problems: list[Problem]


class TooOld(msgspec.Struct, frozen=True, tag="too_old"):
    """The answer that the edit may once have had is forgotten; see the history.

    Attributes
    ----------
    version : int
        Current version.
    oldest_base : int
        Least base whose edits are all remembered.
    """

    version: int
    oldest_base: int


class LostService(msgspec.Struct, frozen=True):
    """A service that would have no failure domain left, and those it has now."""

    service: str
    domains: list[str]


class ForceNeeded(msgspec.Struct, frozen=True, tag="force_needed"):
    """The edit takes out the last failure domain of a service.

    Attributes
    ----------
    version : int
    lost : list of LostService
        Empty if the node that proposed the edit knows no live server.
    """

    version: int
    lost: list[LostService]


Answer = Accepted | Conflict | Refused | TooOld | ForceNeeded

_edit_decoder = msgspec.msgpack.Decoder(Edit)
_answer_decoder = msgspec.msgpack.Decoder(Answer)


def encode_edit(edit: Edit) -> bytes:
    """Return the journal's form of an edit."""
    return msgspec.msgpack.encode(edit)


def decode_edit(command: bytes) -> Edit | None:
    """Return the edit, or None if `command` is none."""
    try:
        return _edit_decoder.decode(command)
    except (msgspec.MsgspecError, RecursionError, ValueError, TypeError):
        return None


def encode_answer(answer: Answer) -> bytes:
    """Return the form in which an answer is kept and sent."""
    return msgspec.msgpack.encode(answer)


def decode_answer(content: bytes) -> Answer:
    """Return an answer of `SettingsMachine.apply`."""
    return _answer_decoder.decode(content)


def digest_edit(edit: Edit) -> bytes:
    """Return what stays the same whenever an edit is sent again.

    The time and the live servers are added by the node that proposes the edit
    and differ if it is sent again through another.
    """
    fixed = (
        edit.base,
        edit.operations,
        edit.operator,
        edit.reason,
        edit.force,
    )
    return hashlib.sha256(msgspec.msgpack.encode(fixed)).digest()[:16]
