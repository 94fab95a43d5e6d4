"""Questions that the settings machine answers, and their encoding."""

from typing import Any

import msgspec

from sapphireway_state._edits import Change

HISTORY_LIMIT = 100


class ReadTree(msgspec.Struct, frozen=True, tag="read_tree"):
    """Ask for the current tree; the answer is `CurrentTree`."""


class ReadHistory(msgspec.Struct, frozen=True, tag="read_history"):
    """Ask for the last edits, newest first; the answer is `History`.

    Attributes
    ----------
    limit : int
    before : int
        Only edits of earlier versions; 0 for all.
    """

    limit: int = HISTORY_LIMIT
    before: int = 0


class ReadChanges(msgspec.Struct, frozen=True, tag="read_changes"):
    """Ask what changed after version `since`; the answer is `Changes`.

    Attributes
    ----------
    since : int
    until : int
        Last version that counts; 0 for the current one.
    """

    since: int
    until: int = 0


class CurrentTree(msgspec.Struct, frozen=True, tag="current_tree"):
    """The current tree."""

    version: int
    tree: dict[str, Any]


class HistoryEntry(msgspec.Struct, frozen=True):
    """One accepted edit: who, when, why and what.

    Attributes
    ----------
    version : int
    edit_id : str
    operator : str
    reason : str
    time_s : float
        Seconds since the epoch at the node that proposed the edit.
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
        Version of the oldest edit that is kept; 0 if there is none.
    """

    version: int
    entries: list[HistoryEntry]
    oldest: int


class Changes(msgspec.Struct, frozen=True, tag="changes"):
    """What changed between two versions.

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
_result_decoder = msgspec.msgpack.Decoder(QueryResult)


def encode_query(query: Query) -> bytes:
    """Return the form in which a query is sent."""
    return msgspec.msgpack.encode(query)


def decode_query(content: bytes) -> Query | None:
    """Return the query, or None if `content` is none."""
    try:
        return _query_decoder.decode(content)
    except (msgspec.MsgspecError, ValueError):
        return None


def decode_result(content: bytes) -> QueryResult:
    """Return the answer of `SettingsMachine.read`."""
    return _result_decoder.decode(content)
