"""An in-memory data folder that can lose unsynced data."""

import asyncio
import random
from collections.abc import Sequence

from sapphireway_transport._disk import DiskFailed


class PowerCutError(Exception):
    """The simulated host lost power during a disk operation."""


class _File:
    __slots__ = ("data", "synced")

    def __init__(self, data=b""):
        self.data = bytearray(data)
        self.synced = b""


class MemoryDisk:
    """A `Disk` that simulates faults.

    Parameters
    ----------
    sync_delay_s : float, default=0
        Duration of each fsync.

    Attributes
    ----------
    boundaries : int
        Points within operations, after each write and fsync, at which the power can
        be cut; the number passed so far.
    cut_at : int or None
        Boundary at which the power is cut; every later operation fails too.
    capacity_bytes : int or None
        Total size of all files above which writes fail.
    sync_fails, unreadable : bool
        Whether fsyncs or reads fail.
    """

    __slots__ = (
        "_durable_names",
        "_names",
        "boundaries",
        "capacity_bytes",
        "cut_at",
        "sync_delay_s",
        "sync_fails",
        "unreadable",
    )

    def __init__(self, sync_delay_s: float = 0.0):
        self._durable_names = {}
        self._names = {}
        self.boundaries = 0
        self.capacity_bytes = None
        self.cut_at = None
        self.sync_delay_s = sync_delay_s
        self.sync_fails = False
        self.unreadable = False

    async def list(self) -> Sequence[str] | DiskFailed:
        """Return the names of all files, sorted."""
        if self.unreadable:
            return DiskFailed("list", "", "permission denied")
        return sorted(self._names)

    async def read(self, name: str) -> bytes | DiskFailed:
        """Return the content of a file."""
        if self.unreadable or name not in self._names:
            return DiskFailed("read", name, "cannot be read")
        return bytes(self._names[name].data)

    async def append(self, name: str, data: bytes) -> DiskFailed | None:
        """Append to a file; a full disk accepts only part of the data."""
        file = self._names.setdefault(name, _File())
        free = self._get_free_bytes()
        file.data += data[:free]
        self._pass_boundary()
        if len(data) > free:
            return DiskFailed("append", name, "no space left on device")
        return None

    async def sync(self, name: str) -> DiskFailed | None:
        """Make a file and its directory entry durable."""
        await asyncio.sleep(self.sync_delay_s)
        if self.sync_fails:
            return DiskFailed("sync", name, "input/output error")
        self._sync_file(self._names[name])
        self._pass_boundary()
        self._durable_names[name] = self._names[name]
        self._pass_boundary()
        return None

    async def truncate(self, name: str, size: int) -> DiskFailed | None:
        """Truncate a file to `size` bytes."""
        del self._names[name].data[size:]
        self._pass_boundary()
        return None

    async def replace(self, name: str, data: bytes) -> DiskFailed | None:
        """Replace the content of a file atomically."""
        await asyncio.sleep(2 * self.sync_delay_s)
        if len(data) > self._get_free_bytes():
            return DiskFailed("replace", name, "no space left on device")
        if self.sync_fails:
            return DiskFailed("replace", name, "input/output error")
        file = _File(data)
        self._pass_boundary()
        self._sync_file(file)
        self._pass_boundary()
        self._names[name] = file
        self._pass_boundary()
        self._durable_names[name] = file
        self._pass_boundary()
        return None

    async def remove(self, name: str) -> DiskFailed | None:
        """Remove a file."""
        del self._names[name]
        self._pass_boundary()
        self._durable_names.pop(name, None)
        self._pass_boundary()
        return None

    def close(self) -> None:
        """Do nothing: there is nothing to release."""

    def cut_power(self, rng: random.Random) -> "MemoryDisk":
        """Return the disk after a power cut; this object fails from now on."""
        survivor = MemoryDisk(self.sync_delay_s)
        for name in sorted({*self._names, *self._durable_names}):
            candidates = [self._names.get(name), self._durable_names.get(name)]
            file = rng.choice(candidates)
            if file is not None:
                survivor._names[name] = _File(_tear(file, rng))
                self._sync_file(survivor._names[name])
        survivor._durable_names = dict(survivor._names)
        self.cut_at = 0
        return survivor

    def corrupt(self, name: str, offset: int) -> None:
        """Flip the bits of one byte in the current content."""
        self._names[name].data[offset] ^= 0xFF

    def copy(self) -> "MemoryDisk":
        """Return a copy of the durable files, as from a backup."""
        copy = MemoryDisk(self.sync_delay_s)
        for name, file in self._durable_names.items():
            copy._names[name] = _File(file.synced)
            self._sync_file(copy._names[name])
        copy._durable_names = dict(copy._names)
        return copy

    def _get_free_bytes(self):
        if self.capacity_bytes is None:
            return 1 << 62
        used = sum(len(file.data) for file in self._names.values())
        return max(0, self.capacity_bytes - used)

    def _sync_file(self, file):
        file.synced = bytes(file.data)

    def _pass_boundary(self):
        if self.cut_at is not None and self.boundaries >= self.cut_at:
            raise PowerCutError
        self.boundaries += 1


def _tear(file, rng):
    """Return the content that survives a power cut."""
    if not file.data.startswith(file.synced):
        return rng.choice([bytes(file.data), file.synced])
    tail = bytearray(file.data[len(file.synced) :])
    del tail[rng.randint(0, len(tail)) :]
    # Blocks are written in any order, so part of the tail may be zeros.
    start = rng.randint(0, len(tail))
    end = rng.randint(start, len(tail)) if rng.random() < 0.5 else start
    tail[start:end] = bytes(end - start)
    return file.synced + bytes(tail)
