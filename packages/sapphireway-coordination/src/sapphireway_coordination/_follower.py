"""Keeps a node's settings at the newest version that any peer has in force."""

import asyncio
import zlib
from collections.abc import Callable

from sapphireway_protocol import (
    Envelope,
    FetchSettings,
    Peers,
    SettingsInForce,
)

FETCH_TIMEOUT_S = 1.0
COMPRESSION_LEVEL = 6


class SettingsFollower:
    """Follows the settings by the version that every message carries.

    Parameters
    ----------
    peers : Peers
    apply : callable
        Called with the version and the serialized settings; raises ValueError if
        they can't be read, and then nothing has changed.

    Attributes
    ----------
    version : int
        Version in force; it never decreases.
    in_force_since_s : float
        Reading of `wall_clock` when that version came into force.
    """

    __slots__ = (
        "_apply",
        "_compressed",
        "_fetching",
        "_peers",
        "_wall_clock",
        "in_force_since_s",
        "version",
    )

    def __init__(
        self,
        peers: Peers,
        apply: Callable[[int, bytes], None],
        wall_clock: Callable[[], float],
    ):
        self._apply = apply
        self._compressed = b""
        self._fetching = None
        self._peers = peers
        self._wall_clock = wall_clock
        self.in_force_since_s = 0.0
        self.version = 0
        peers.handle(FetchSettings, self._answer)

    def observe(self, sender: str, envelope: Envelope) -> None:
        """Fetch the settings of a peer whose version is newer."""
        if envelope.settings_version <= self.version or self._fetching is not None:
            return
        loop = asyncio.get_running_loop()
        self._fetching = loop.create_task(self._fetch(sender))

    def put_in_force(self, version: int, data: bytes) -> bool:
        """Apply whole settings if they are newer; True if they were."""
        if version <= self.version:
            return False
        self._apply(version, data)
        self._compressed = zlib.compress(data, COMPRESSION_LEVEL)
        self._mark(version)
        return True

    def _mark(self, version):
        if version < self.version:
            raise AssertionError(f"settings went back: {self.version} to {version}")
        self.version = version
        self.in_force_since_s = self._wall_clock()

    async def _fetch(self, sender):
        try:
            request = FetchSettings(self.version)
            reply = await self._peers.request(sender, request, FETCH_TIMEOUT_S)
            if reply is None or not isinstance(reply.message, SettingsInForce):
                return
            if reply.body:
                self._accept(reply.message.version, reply.body)
        finally:
            self._fetching = None

    def _accept(self, version, compressed):
        if version <= self.version:
            return
        try:
            self._apply(version, zlib.decompress(compressed))
        except (ValueError, zlib.error):
            # The sender's copy is damaged or of a later release; another peer's
            # message starts the next attempt.
            return
        self._compressed = compressed
        self._mark(version)

    def _answer(self, sender, envelope):
        newer = self.version > envelope.message.version
        body = self._compressed if newer else b""
        self._peers.reply(sender, envelope, SettingsInForce(self.version), body)
