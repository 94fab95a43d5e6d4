"""Messages that propagate settings, claim groups and routes between nodes."""

import msgspec

from sapphireway_protocol._claims import ClaimGroup


class FetchSettings(msgspec.Struct, frozen=True, tag="fetch_settings", array_like=True):
    """Request for the state in force at the receiver.

    Attributes
    ----------
    version : int
        Version in force at the sender; the answer is empty unless the receiver's is
        newer.
    tree_version : int
        Version of the sender's settings tree; -1 requests the complete tree.
    groups_version : int
        Version of the sender's claim groups.
    routes_version : int
        Version of the sender's routing table.
    rollouts_version : int
        Version of the sender's rollouts.
    accepts_patch : bool
        Whether the reply may hold the changes to the sender's routing table instead of
        the whole one.
    """

    version: int
    tree_version: int
    groups_version: int
    routes_version: int = 0
    rollouts_version: int = 0
    accepts_patch: bool = False


class FetchSettingsReply(
    msgspec.Struct, frozen=True, tag="settings_in_force", array_like=True
):
    """Answer to `FetchSettings`; the body is a compressed `SettingsUpdate`.

    Attributes
    ----------
    version : int
        Journal position of the last change included.
    """

    version: int


class SettingsUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Update that brings a node to a version of the journal.

    Attributes
    ----------
    version : int
        Journal position of the last change included.
    tree : bytes
        Update of the settings tree, complete or relative to the requester's version;
        empty if that version is current.
    groups_version : int
    groups : list of ClaimGroup or None
        Claim groups changed since the requester's version; groups are never removed.
        None if that version is current.
    routes_version : int
    routes : bytes
        The routing table, or a `RoutesPatch`; empty if the requester's version is
        current.
    rollouts_version : int
    rollouts : bytes
        The rollouts; empty if the requester's version is current.
    routes_since : int
        Version of the table that the steps in `routes` lead from; 0 if `routes` is a
        whole table.
    """

    version: int
    tree: bytes
    groups_version: int
    groups: list[ClaimGroup] | None
    routes_version: int = 0
    routes: bytes = b""
    rollouts_version: int = 0
    rollouts: bytes = b""
    routes_since: int = 0


class AskConfirmation(
    msgspec.Struct, frozen=True, tag="ask_confirmation", array_like=True
):
    """Request to a control host for the version of the newest routing table.

    Attributes
    ----------
    forwarded : bool
        Whether another control host has passed the question on.
    """

    forwarded: bool = False


class TableConfirmed(
    msgspec.Struct, frozen=True, tag="table_confirmed", array_like=True
):
    """Answer to `AskConfirmation`: no newer table had been acknowledged at an instant.

    Attributes
    ----------
    version : int
        Journal index of the publication.
    age_s : float
        Age of that instant when the answer was made, on the clocks of the sender.
    """

    version: int
    age_s: float


MESSAGES = (FetchSettings, FetchSettingsReply, AskConfirmation, TableConfirmed)
