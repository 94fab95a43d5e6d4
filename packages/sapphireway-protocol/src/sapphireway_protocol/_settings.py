"""Messages between nodes that follow the settings tree and the claim groups."""

import msgspec

from sapphireway_protocol._claims import ClaimGroup


class FetchSettings(msgspec.Struct, frozen=True, tag="fetch_settings", array_like=True):
    """Ask for what is in force at the receiver.

    Attributes
    ----------
    version : int
        Version in force at the sender; the answer is empty unless it is newer.
    tree_version : int
        Version of the sender's settings tree; -1 asks for the whole tree.
    groups_version : int
        Version of the sender's claim groups.
    routes_version : int
        Version of the sender's routing table.
    """

    version: int
    tree_version: int
    groups_version: int
    routes_version: int = 0


class SettingsReply(
    msgspec.Struct, frozen=True, tag="settings_in_force", array_like=True
):
    """Answer to `FetchSettings`; a compressed `SettingsUpdate` is the body.

    Attributes
    ----------
    version : int
        Position in the journal of the last change that is included.
    """

    version: int


class SettingsUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What brings a node to one version of the journal.

    Attributes
    ----------
    version : int
        Position in the journal of the last change that is included.
    tree : bytes
        Update of the settings tree, whole or from the version that was named;
        empty if that version is current.
    groups_version : int
    groups : list of ClaimGroup or None
        Claim groups that changed since the version that was named; none ever ends.
        None if that version is current.
    routes_version : int
    routes : bytes
        The routing table; empty if the version that was named is current.
    """

    version: int
    tree: bytes
    groups_version: int
    groups: list[ClaimGroup] | None
    routes_version: int = 0
    routes: bytes = b""


MESSAGES = (FetchSettings, SettingsReply)
