"""Keeps a node's settings at the newest version that any peer has in force."""

import asyncio
import zlib
from collections.abc import Callable

import msgspec

from sapphireway_coordination.settings._in_force import WHOLE_TREE, StateInForce
from sapphireway_protocol import (
    Envelope,
    FetchSettings,
    Peers,
    SettingsInForce,
    SettingsUpdate,
)
from sapphireway_state import UpdateResult
from sapphireway_transport import Disk, DiskFailed

FETCH_TIMEOUT_S = 1.0
FETCH_RESEND_S = 0.15  # well above a round trip between failure domains
FETCH_PATIENCE_S = 0.25  # after it another peer with newer settings is asked as well
FETCHES_MAX = 3  # at once
COMPRESSION_LEVEL = 6
UPDATE_MAX_BYTES = 16 * 1024 * 1024
ENCODED_UPDATES_KEPT = 8
FILE = "settings"
# A version waits this long for the disk before it comes into force: much longer than
# an fsync, and short of the second within which an edit is in force on most nodes.
SAVE_PATIENCE_S = 0.5


class SettingsChannel:
    """Follows the settings by the version that every message carries.

    With a disk, a version is saved before it comes into force, so that no restart
    shows an older one. A disk that fails or hangs delays a version, but stops none.

    Parameters
    ----------
    peers : Peers
    state : StateInForce
    on_change : callable
        Called after a newer version came into force.
    wall_clock : callable
        Seconds since the epoch.
    disk : Disk or None
        Keeps the version in force over a restart.
    on_save_failed : callable
        Called with the reason when a version comes into force unsaved.
    on_fetch_failed : callable
        Called with the peer that did not answer.

    Attributes
    ----------
    in_force_since_s : float
        Reading of `wall_clock` when the version came into force.
    refused : int
        Updates that were damaged or not understood.
    """

    __slots__ = (
        "_disk",
        "_encoded",
        "_fetched_s",
        "_fetching",
        "_on_change",
        "_on_fetch_failed",
        "_on_save_failed",
        "_peers",
        "_saving",
        "_state",
        "_turn",
        "_unsaved",
        "_wall_clock",
        "in_force_since_s",
        "refused",
    )

    def __init__(
        self,
        peers: Peers,
        state: StateInForce,
        on_change: Callable[[], None],
        wall_clock: Callable[[], float],
        disk: Disk | None = None,
        on_save_failed: Callable[[DiskFailed], None] = lambda failed: None,
        on_fetch_failed: Callable[[str], None] = lambda peer: None,
    ):
        self._disk = disk
        self._encoded = {}
        self._fetched_s = 0.0
        self._fetching = {}
        self._on_fetch_failed = on_fetch_failed
        self._on_change = on_change
        self._on_save_failed = on_save_failed
        self._peers = peers
        self._saving = None
        self._state = state
        self._turn = asyncio.Lock()
        self._unsaved = None
        self._wall_clock = wall_clock
        self.in_force_since_s = 0.0
        self.refused = 0
        peers.handle(FetchSettings, self._answer)

    async def load(self) -> None:
        """Put in force what the last start of this node had."""
        if self._disk is None:
            return
        content = await self._disk.read(FILE)
        if isinstance(content, DiskFailed) or not content:
            return
        update = _decode(content)
        if update is not None:
            self._apply(update)

    def observe(self, sender: str, envelope: Envelope) -> None:
        """Fetch the settings of a peer whose version is newer."""
        if envelope.settings_version > self._state.version:
            self.ask(sender)

    def ask(self, peer: str) -> None:
        """Fetch the settings of a peer if they are newer.

        A peer that does not answer holds up nobody: others are asked beside it.
        """
        loop = asyncio.get_running_loop()
        if peer in self._fetching or len(self._fetching) >= FETCHES_MAX:
            return
        if self._fetching and loop.time() < self._fetched_s + FETCH_PATIENCE_S:
            return
        self._fetched_s = loop.time()
        self._fetching[peer] = loop.create_task(self._fetch(peer))

    async def put_in_force(self, update: SettingsUpdate) -> UpdateResult:
        """Save and apply an update if it is newer."""
        async with self._turn:
            if self._disk is None:
                return self._apply(update)
            later = self._state.copy()
            if later.apply(update) is UpdateResult.NEW:
                await self._save(later)
            return self._apply(update)

    def _apply(self, update):
        before = self._state.version
        applied = self._state.apply(update)
        if applied is UpdateResult.BROKEN:
            self.refused += 1
        if applied is UpdateResult.NEW:
            if self._state.version <= before:
                raise AssertionError(f"settings went back from version {before}")
            self.in_force_since_s = self._wall_clock()
            self._on_change()
        return applied

    async def _fetch(self, sender):
        try:
            state = self._state
            applied = await self._fetch_since(sender, state.view.version)
            if applied is UpdateResult.NEEDS_WHOLE:
                await self._fetch_since(sender, WHOLE_TREE)
        finally:
            del self._fetching[sender]

    async def _fetch_since(self, sender, tree_version):
        state = self._state
        request = FetchSettings(
            state.version, tree_version, state.groups_version, state.routes.version
        )
        reply = await self._peers.request(
            sender, request, FETCH_TIMEOUT_S, resend_s=FETCH_RESEND_S
        )
        if reply is None:
            self._on_fetch_failed(sender)
        if reply is None or not reply.body:
            return None
        update = _decode(reply.body)
        if update is None:
            # Another peer's message starts the next attempt.
            self.refused += 1
            return None
        return await self.put_in_force(update)

    def _answer(self, sender, envelope):
        request = envelope.message
        body = b""
        if self._state.version > request.version:
            body = self._get_encoded(request)
        self._peers.reply(sender, envelope, SettingsInForce(self._state.version), body)

    def _get_encoded(self, request):
        # After an edit, hundreds of nodes ask a control host for the same update.
        known = request.tree_version, request.groups_version, request.routes_version
        key = self._state.version, *known
        encoded = self._encoded.get(key)
        if encoded is None:
            if len(self._encoded) >= ENCODED_UPDATES_KEPT:
                self._encoded.clear()
            encoded = _encode(self._state.make_update(*known))
            self._encoded[key] = encoded
        return encoded

    async def _save(self, state):
        self._unsaved = state
        if self._saving is None:
            loop = asyncio.get_running_loop()
            self._saving = loop.create_task(self._save_until_current())
        _, late = await asyncio.wait([self._saving], timeout=SAVE_PATIENCE_S)
        if late:
            detail = f"the disk has not answered for {SAVE_PATIENCE_S} s"
            self._on_save_failed(DiskFailed("replace", FILE, detail))

    async def _save_until_current(self):
        saved = None
        try:
            while saved is not self._unsaved:
                state = self._unsaved
                whole = state.make_update(WHOLE_TREE, WHOLE_TREE, WHOLE_TREE)
                failed = await self._disk.replace(FILE, _encode(whole))
                if failed is not None:
                    # A node without a disk fetches the settings at its next start.
                    self._on_save_failed(failed)
                saved = state
        finally:
            self._saving = None


def _encode(update):
    content = msgspec.msgpack.encode(update)
    return zlib.compress(content, COMPRESSION_LEVEL)


def _decode(body):
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(body, UPDATE_MAX_BYTES)
        return msgspec.msgpack.decode(content, type=SettingsUpdate)
    except (zlib.error, msgspec.MsgspecError):
        return None
