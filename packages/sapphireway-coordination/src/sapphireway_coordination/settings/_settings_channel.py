"""Propagation of settings between nodes, with a copy on disk."""

import asyncio
import zlib
from collections.abc import Callable

import msgspec

from sapphireway_coordination.settings._applied_state import NO_VERSION, AppliedState
from sapphireway_protocol import (
    DECODE_ERRORS,
    Envelope,
    FetchSettings,
    FetchSettingsReply,
    Peers,
    SettingsUpdate,
)
from sapphireway_state import UpdateResult
from sapphireway_transport import Disk, DiskFailed

FETCH_TIMEOUT_S = 1.0
FETCH_RESEND_S = 0.15  # well above a round trip between failure domains
FETCH_HEDGE_DELAY_S = 0.25  # until a fetch from another peer may start as well
CONCURRENT_FETCHES_MAX = 3
COMPRESSION_LEVEL = 6
DECOMPRESSED_UPDATE_MAX_BYTES = 16 * 1024 * 1024
CACHED_UPDATES_MAX = 8
# A larger reply is sent once for each request: on a weak link, copies of it delay the
# first one by more than a lost reply would.
REPEATED_REPLY_MAX_BYTES = 4096
SETTINGS_FILE = "settings"
# Longest that a version waits for the disk before it is applied: much longer than an
# fsync, and below the second within which an edit is in force on most nodes.
SAVE_TIMEOUT_S = 0.5
SAVE_RETRY_S = 2.0  # a save compresses and writes all settings


class SettingsChannel:
    """Fetches newer settings from peers, by the version that every message carries.

    With a disk, a version is saved before it is applied, so that a restart never
    brings back an older one. A disk that fails or hangs delays versions, but does not
    block them; the latest version is saved once the disk works again.

    Parameters
    ----------
    peers : Peers
    state : AppliedState
    on_change : callable
        Called after a newer version was applied.
    wall_clock : callable
        Seconds since the epoch.
    disk : Disk or None
        Keeps the settings across restarts.
    on_save_failed : callable
        Called with the reason whenever the latest version could not be saved.
    on_fetch_failed : callable
        Called with the address of a peer that did not answer.
    on_fetched : callable
        Called with the address of a peer, the bytes of its update and the seconds that
        the fetch took.

    Attributes
    ----------
    in_force_since_s : float
        Reading of `wall_clock` when the current version was applied.
    rejected_updates : int
        Number of updates that were corrupt or invalid.
    """

    __slots__ = (
        "_answered_requests",
        "_apply_lock",
        "_closed",
        "_disk",
        "_fetch_tasks",
        "_last_fetch_s",
        "_late_tasks",
        "_latest_state",
        "_on_change",
        "_on_fetch_failed",
        "_on_fetched",
        "_on_save_failed",
        "_peers",
        "_save_retry",
        "_save_task",
        "_state",
        "_update_cache",
        "_wall_clock",
        "in_force_since_s",
        "rejected_updates",
    )

    def __init__(
        self,
        peers: Peers,
        state: AppliedState,
        on_change: Callable[[], None],
        wall_clock: Callable[[], float],
        disk: Disk | None = None,
        on_save_failed: Callable[[DiskFailed], None] = lambda failed: None,
        on_fetch_failed: Callable[[str], None] = lambda peer: None,
        on_fetched: Callable[[str, int, float], None] = lambda peer, size, took_s: None,
    ):
        self._answered_requests = {}
        self._disk = disk
        self._update_cache = {}
        self._last_fetch_s = 0.0
        self._late_tasks = set()
        self._fetch_tasks = {}
        self._on_fetch_failed = on_fetch_failed
        self._on_fetched = on_fetched
        self._on_change = on_change
        self._on_save_failed = on_save_failed
        self._peers = peers
        self._save_retry = None
        self._save_task = None
        self._state = state
        self._apply_lock = asyncio.Lock()
        self._closed = False
        self._latest_state = None
        self._wall_clock = wall_clock
        self.in_force_since_s = 0.0
        self.rejected_updates = 0
        peers.handle(FetchSettings, self._handle_fetch)
        peers.handle_late_reply(FetchSettingsReply, self._handle_late_reply)

    async def load(self) -> None:
        """Apply the settings that were saved before the last restart."""
        if self._disk is None:
            return
        content = await self._disk.read(SETTINGS_FILE)
        if isinstance(content, DiskFailed) or not content:
            return
        update = _decode(content)
        if update is not None:
            self._apply(update)

    def close(self) -> None:
        """Save nothing more; must be called before the disk is closed."""
        self._closed = True
        self._cancel_retry()

    def observe(self, sender: str, envelope: Envelope) -> None:
        """Fetch the settings of the sender if its version is newer."""
        if isinstance(envelope.message, FetchSettingsReply):
            return  # it brings the settings along
        if envelope.settings_version > self._state.version:
            self.fetch_from(sender)

    def fetch_from(self, peer: str) -> None:
        """Start to fetch the settings of a peer if they are newer.

        A peer that does not answer does not delay fetches from others.
        """
        loop = asyncio.get_running_loop()
        if (
            peer in self._fetch_tasks
            or len(self._fetch_tasks) >= CONCURRENT_FETCHES_MAX
        ):
            return
        if self._fetch_tasks and loop.time() < self._last_fetch_s + FETCH_HEDGE_DELAY_S:
            return
        self._last_fetch_s = loop.time()
        self._fetch_tasks[peer] = loop.create_task(self._fetch(peer))

    async def save_and_apply(self, update: SettingsUpdate) -> UpdateResult:
        """Save and apply an update if it is newer."""
        async with self._apply_lock:
            if self._disk is None:
                return self._apply(update)
            candidate = self._state.copy()
            if candidate.apply(update) is UpdateResult.NEW:
                await self._save(candidate)
            return self._apply(update)

    def _apply(self, update):
        before = self._state.version
        result = self._state.apply(update)
        if result is UpdateResult.BROKEN:
            self.rejected_updates += 1
        if result is UpdateResult.NEW:
            if self._state.version <= before:
                raise AssertionError(
                    f"settings version went back from {before} to {self._state.version}"
                )
            self.in_force_since_s = self._wall_clock()
            self._on_change()
        return result

    async def _fetch(self, sender):
        try:
            state = self._state
            version = state.version
            result = await self._fetch_since(sender, state.view.version, True)
            if result is UpdateResult.NEEDS_WHOLE:
                # The update of another peer may have been applied meanwhile.
                moved = state.version != version
                tree_version = state.view.version if moved else NO_VERSION
                await self._fetch_since(sender, tree_version, moved)
        finally:
            del self._fetch_tasks[sender]

    async def _fetch_since(self, sender, tree_version, accepts_patch):
        state = self._state
        request = FetchSettings(
            state.version,
            tree_version,
            state.groups_version,
            state.routes.version,
            state.rollouts_version,
            accepts_patch,
        )
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        reply = await self._peers.request(
            sender, request, FETCH_TIMEOUT_S, resend_s=FETCH_RESEND_S
        )
        if reply is None:
            self._on_fetch_failed(sender)
        if reply is None or not reply.body:
            return None
        self._on_fetched(sender, len(reply.body), loop.time() - sent_s)
        return await self._decode_and_apply(reply.body)

    async def _decode_and_apply(self, body):
        update = _decode(body)
        if update is None:
            # The next message from any peer with a newer version triggers a fetch.
            self.rejected_updates += 1
            return None
        return await self.save_and_apply(update)

    def _handle_late_reply(self, sender, envelope):
        if envelope.message.version > self._state.version and envelope.body:
            loop = asyncio.get_running_loop()
            task = loop.create_task(self._decode_and_apply(envelope.body))
            self._late_tasks.add(task)
            task.add_done_callback(self._late_tasks.discard)

    def _handle_fetch(self, sender, envelope):
        request = envelope.message
        body = b""
        if self._state.version > request.version:
            body = self._get_encoded_update(request)
        if len(body) > REPEATED_REPLY_MAX_BYTES:
            if self._answered_requests.get(sender) == envelope.request_id:
                return
        reply = FetchSettingsReply(self._state.version)
        if self._peers.reply(sender, envelope, reply, body):
            self._answered_requests[sender] = envelope.request_id

    def _get_encoded_update(self, request):
        # After an edit, hundreds of nodes fetch the same update from a control host.
        known_versions = (
            request.tree_version,
            request.groups_version,
            request.routes_version,
            request.rollouts_version,
            request.accepts_patch,
        )
        key = self._state.version, *known_versions
        encoded = self._update_cache.get(key)
        if encoded is None:
            if len(self._update_cache) >= CACHED_UPDATES_MAX:
                self._update_cache.clear()
            encoded = _encode(self._state.make_update(*known_versions))
            self._update_cache[key] = encoded
        return encoded

    async def _save(self, state):
        self._latest_state = state
        self._start_saving()
        _, pending = await asyncio.wait([self._save_task], timeout=SAVE_TIMEOUT_S)
        if pending:
            detail = f"the disk has not answered for {SAVE_TIMEOUT_S} s"
            self._on_save_failed(DiskFailed("replace", SETTINGS_FILE, detail))

    def _start_saving(self):
        if self._save_task is None:
            loop = asyncio.get_running_loop()
            self._save_task = loop.create_task(self._save_latest())

    def _retry_later(self):
        if not self._closed:
            loop = asyncio.get_running_loop()
            self._save_retry = loop.call_later(SAVE_RETRY_S, self._start_saving)

    def _cancel_retry(self):
        if self._save_retry is not None:
            self._save_retry.cancel()
            self._save_retry = None

    async def _save_latest(self):
        saved = None
        try:
            while saved is not self._latest_state:
                state = self._latest_state
                full_update = state.make_update(*[NO_VERSION] * 4)
                failed = await self._disk.replace(SETTINGS_FILE, _encode(full_update))
                self._cancel_retry()
                if failed is not None:
                    # A start before the retry fetches the settings from peers.
                    self._on_save_failed(failed)
                    self._retry_later()
                saved = state
        finally:
            self._save_task = None


def _encode(update):
    content = msgspec.msgpack.encode(update)
    return zlib.compress(content, COMPRESSION_LEVEL)


def _decode(body):
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(body, DECOMPRESSED_UPDATE_MAX_BYTES)
        return msgspec.msgpack.decode(content, type=SettingsUpdate)
    except (zlib.error, *DECODE_ERRORS):
        return None
