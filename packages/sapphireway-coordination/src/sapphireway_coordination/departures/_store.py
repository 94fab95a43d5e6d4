"""Control host's part in remembering departures."""

import asyncio
from collections.abc import Callable

import msgspec

from sapphireway_coordination.departures._client import GetHosts
from sapphireway_coordination.departures._table import DepartureTable
from sapphireway_protocol import (
    DECODE_ERRORS,
    Departure,
    DepartureList,
    DepartureRecorded,
    ListDepartures,
    Peers,
    RecordDeparture,
)
from sapphireway_transport import Disk, DiskFailed

DEPARTURES_FILE = "departures"
# The other hosts remember a departure too, so a disk that hangs delays no server.
DISK_WAIT_S = 0.1  # below the time in which nodes expect a reply
COPY_TRIES = 5
COPY_TRY_S = 0.5
SAVE_RETRY_S = 2.0


class DepartureStore:
    """Remembers departures for all nodes, also while all control hosts are down.

    Parameters
    ----------
    peers : Peers
    get_hosts : callable
        Returns the addresses of the control hosts.
    disk : Disk or None
        Keeps the departures across restarts.
    on_disk_failed : callable
        Called with `DiskFailed` if they can't be read or saved.
    """

    __slots__ = (
        "_disk",
        "_get_hosts",
        "_has_unsaved",
        "_on_disk_failed",
        "_peers",
        "_replies",
        "_retry",
        "_save",
        "_table",
    )

    def __init__(
        self,
        peers: Peers,
        get_hosts: GetHosts,
        disk: Disk | None = None,
        on_disk_failed: Callable[[DiskFailed], None] = lambda failed: None,
    ):
        self._disk = disk
        self._get_hosts = get_hosts
        self._has_unsaved = False
        self._on_disk_failed = on_disk_failed
        self._peers = peers
        self._replies = set()
        self._retry = None
        self._save = None
        self._table = DepartureTable(asyncio.get_running_loop().time)
        peers.handle(RecordDeparture, self._handle_record)

    async def run(self) -> None:
        """Load, copy, save and list departures until cancelled."""
        try:
            await self._load()
            # A majority must not count a host that hasn't read its departures yet.
            self._peers.handle(ListDepartures, self._handle_list)
            for _ in range(COPY_TRIES):
                if await self._copy_from_others():
                    break
            await asyncio.Event().wait()
        finally:
            self._disk = None
            self._cancel_retry()
            if self._save is not None:
                self._save.cancel()

    async def _load(self):
        if self._disk is None:
            return
        names = await self._disk.list()
        if not isinstance(names, DiskFailed) and DEPARTURES_FILE not in names:
            return
        content = await self._disk.read(DEPARTURES_FILE)
        if isinstance(content, DiskFailed):
            self._on_disk_failed(content)
            return
        try:
            departures = msgspec.msgpack.decode(content, type=list[Departure])
        except DECODE_ERRORS as error:
            self._on_disk_failed(DiskFailed("decode", DEPARTURES_FILE, str(error)))
            return
        for departure in departures:
            # The time for which this host was down is not known.
            self._table.record(Departure(departure.server, departure.start_id))

    async def _copy_from_others(self):
        """Copy the departures of the other hosts; return whether one has answered."""
        others = [host for host in self._get_hosts() if host != self._peers.address]
        replies = await asyncio.gather(
            *(self._peers.request(o, ListDepartures(), COPY_TRY_S) for o in others)
        )
        lists = [
            reply.message.departures
            for reply in replies
            if reply is not None and isinstance(reply.message, DepartureList)
        ]
        for departure in (each for departures in lists for each in departures):
            self._table.record(departure)
        if lists:
            self._start_saving()
        elif others:
            await asyncio.sleep(COPY_TRY_S)
        return bool(lists) or not others

    def _handle_record(self, sender, envelope):
        self._table.record(envelope.message.departure)
        self._start_saving()
        if self._save is None:
            self._peers.reply(sender, envelope, DepartureRecorded())
            return
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._reply_when_saved(sender, envelope, self._save))
        self._replies.add(task)
        task.add_done_callback(self._replies.discard)

    async def _reply_when_saved(self, sender, envelope, save):
        await asyncio.wait([save], timeout=DISK_WAIT_S)
        self._peers.reply(sender, envelope, DepartureRecorded())

    def _handle_list(self, sender, envelope):
        departures = self._table.list_departures(envelope.message.server)
        self._peers.reply(sender, envelope, DepartureList(departures))

    def _start_saving(self):
        if self._disk is None:
            return
        self._has_unsaved = True
        if self._save is None or self._save.done():
            self._save = asyncio.get_running_loop().create_task(self._save_latest())

    def _cancel_retry(self):
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None

    async def _save_latest(self):
        self._cancel_retry()
        while self._has_unsaved:
            self._has_unsaved = False
            content = msgspec.msgpack.encode(self._table.list_departures())
            failed = await self._disk.replace(DEPARTURES_FILE, content)
            if failed is not None:
                self._on_disk_failed(failed)
                loop = asyncio.get_running_loop()
                self._retry = loop.call_later(SAVE_RETRY_S, self._start_saving)
                return
