"""Messages between nodes that follow the settings tree."""

import msgspec


class FetchSettings(msgspec.Struct, frozen=True, tag="fetch_settings", array_like=True):
    """Ask for the settings in force at the receiver, if newer than ``version``."""

    version: int


class SettingsInForce(
    msgspec.Struct, frozen=True, tag="settings_in_force", array_like=True
):
    """Answer to `FetchSettings`; the compressed settings are the body.

    Attributes
    ----------
    version : int
        Position in the journal of the last change that is included; the body is
        empty unless it is newer than what was asked for.
    """

    version: int


MESSAGES = (FetchSettings, SettingsInForce)
