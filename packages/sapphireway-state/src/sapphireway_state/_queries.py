"""Queries that the settings machine answers, and their encoding."""

from typing import Any

import msgspec

from sapphireway_protocol import DECODE_ERRORS, decode_msgpack
from sapphireway_state._edits import Change

DEFAULT_HISTORY_LIMIT = 100


class ReadTree(msgspec.Struct, frozen=True, tag="read_tree"):
    """Query the current tree; the result is `CurrentTree`."""


class ReadHistory(msgspec.Struct, frozen=True, tag="read_history"):
    """Query the latest edits, newest first; the result is `History`.

    Attributes
    ----------
    limit : int
    before : int
        Only edits with a version less than this one; 0 for all.
    """

    limit: int = DEFAULT_HISTORY_LIMIT
    before: int = 0


class ReadChanges(msgspec.Struct, frozen=True, tag="read_changes"):
    """Query the changes after version `since`; the result is `Changes`.

    Attributes
    ----------
    since : int
    until : int
        Last version to include; 0 for the current one.
    """

    since: int
    until: int = 0


class CurrentTree(msgspec.Struct, frozen=True, tag="current_tree"):
    """The current tree."""

    version: int
    tree: dict[str, Any]


class HistoryEntry(msgspec.Struct, frozen=True):
    """One accepted edit, with its author, time, reason and changes.

    Attributes
    ----------
    version : int
    edit_id : str
    operator : str
    reason : str
    time_s : float
        Unix time at the node that proposed the edit.
    force : bool
    changes : list of Change
    """

    version: int
    edit_id: str
    operator: str
    reason: str
    time_s: float
    force: bool
    changes: list[Change]


class History(msgspec.Struct, frozen=True, tag="history"):
    """Accepted edits, newest first.

    Attributes
    ----------
    version : int
        Current version.
    entries : list of HistoryEntry
    oldest : int
        Version of the oldest edit in the history; 0 if there is none.
    """

    version: int
    entries: list[HistoryEntry]
    oldest: int


class Changes(msgspec.Struct, frozen=True, tag="changes"):
    """Changes between two versions.

    Attributes
    ----------
    since, until : int
    changes : list of Change
    complete : bool
        False if the history does not reach back to `since`.
    """

    since: int
    until: int
    changes: list[Change]
    complete: bool = True


Query = ReadTree | ReadHistory | ReadChanges
QueryResult = CurrentTree | History | Changes

_query_decoder = msgspec.msgpack.Decoder(Query)


def encode_query(query: Query) -> bytes:
    """Encode a query for sending."""
    return msgspec.msgpack.encode(query)


def decode_query(content: bytes) -> Query | None:
    """Return the query, or None if `content` cannot be decoded."""
    try:
        return _query_decoder.decode(content)
    except DECODE_ERRORS:
        return None


def decode_result(content: bytes) -> QueryResult | None:
    """Return a result of `SettingsMachine.read`, or None if it is malformed."""
    return decode_msgpack(content, QueryResult)
