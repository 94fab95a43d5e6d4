"""Access to the data folder of a control host."""

import asyncio
import fcntl
import os
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, Protocol

import msgspec

LOCK_NAME = "lock"
TEMPORARY_SUFFIX = ".tmp"


class DiskFailed(msgspec.Struct, frozen=True):
    """An operation on the data folder failed; its effect is unknown.

    Attributes
    ----------
    operation : str
    name : str
        File name relative to the data folder; empty for the folder itself.
    detail : str
        Error message of the operating system.
    """

    operation: str
    name: str
    detail: str


class Disk(Protocol):
    """Files in a data folder; appended and truncated data is durable only after `sync`.

    No operation blocks the event loop. Callers must run one operation at a time.
    """

    async def list(self) -> Sequence[str] | DiskFailed:
        """Return the sorted names of all files except temporary ones."""

    async def read(self, name: str) -> bytes | DiskFailed:
        """Return the content of a file."""

    async def append(self, name: str, data: bytes) -> DiskFailed | None:
        """Append to a file, which is created if it does not exist."""

    async def sync(self, name: str) -> DiskFailed | None:
        """Make the content of a file and its directory entry durable."""

    async def truncate(self, name: str, size: int) -> DiskFailed | None:
        """Truncate a file to `size` bytes."""

    async def replace(self, name: str, data: bytes) -> DiskFailed | None:
        """Replace the content of a file atomically and durably."""

    async def remove(self, name: str) -> DiskFailed | None:
        """Remove a file durably."""

    def close(self) -> None:
        """Release the folder."""


class FileDisk:
    """A data folder in the file system, locked against a second process.

    All operations run on a dedicated thread, so that a slow fsync does not block the
    event loop.

    Parameters
    ----------
    folder : Path
        Created if necessary, and locked, by the first operation.
    """

    __slots__ = ("_executor", "_folder", "_folder_fd", "_lock_fd", "_new_names")

    def __init__(self, folder: Path):
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="disk")
        self._folder = Path(folder)
        self._folder_fd = None
        self._lock_fd = None
        self._new_names = set()

    async def list(self) -> Sequence[str] | DiskFailed:
        """Return the names of all files."""
        return await self._run("list", "", self._list)

    async def read(self, name: str) -> bytes | DiskFailed:
        """Return the content of a file."""
        return await self._run("read", name, (self._folder / name).read_bytes)

    async def append(self, name: str, data: bytes) -> DiskFailed | None:
        """Append to a file, which is created if it does not exist."""
        return await self._run("append", name, lambda: self._append(name, data))

    async def sync(self, name: str) -> DiskFailed | None:
        """Sync a file, and the folder if the file is new."""
        return await self._run("sync", name, lambda: self._sync(name))

    async def truncate(self, name: str, size: int) -> DiskFailed | None:
        """Truncate a file to `size` bytes."""
        path = self._folder / name
        return await self._run("truncate", name, lambda: os.truncate(path, size))

    async def replace(self, name: str, data: bytes) -> DiskFailed | None:
        """Write a temporary file, sync it, rename it and sync the folder."""
        return await self._run("replace", name, lambda: self._replace(name, data))

    async def remove(self, name: str) -> DiskFailed | None:
        """Remove a file and sync the folder."""
        return await self._run("remove", name, lambda: self._remove(name))

    def close(self) -> None:
        """Wait for the current operation and release the folder."""
        self._executor.shutdown(wait=True)
        for fd in (self._folder_fd, self._lock_fd):
            if fd is not None:
                os.close(fd)
        self._folder_fd = self._lock_fd = None

    async def _run(self, operation: str, name: str, function: Callable[[], Any]):
        loop = asyncio.get_running_loop()
        try:
            return await loop.run_in_executor(
                self._executor, self._open_and_call, function
            )
        except OSError as error:
            return DiskFailed(operation, name, str(error))

    def _open_and_call(self, function):
        self._open_folder()
        return function()

    def _list(self):
        names = (entry.name for entry in self._folder.iterdir() if entry.is_file())
        return sorted(
            name
            for name in names
            if name != LOCK_NAME and not name.endswith(TEMPORARY_SUFFIX)
        )

    def _open_folder(self):
        if self._lock_fd is not None:
            return
        self._folder.mkdir(parents=True, exist_ok=True)
        lock_fd = os.open(self._folder / LOCK_NAME, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            for temporary in self._folder.glob("*" + TEMPORARY_SUFFIX):
                temporary.unlink()
            self._folder_fd = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY)
        except OSError:
            os.close(lock_fd)
            raise
        self._lock_fd = lock_fd

    def _append(self, name, data):
        path = self._folder / name
        if not path.exists():
            self._new_names.add(name)
        with open(path, "ab", buffering=0) as file:
            _write_all(file, data)

    def _sync(self, name):
        with open(self._folder / name, "rb") as file:
            os.fsync(file.fileno())
        if name in self._new_names:
            os.fsync(self._folder_fd)
            self._new_names.discard(name)

    def _replace(self, name, data):
        temporary = self._folder / (name + TEMPORARY_SUFFIX)
        try:
            with open(temporary, "wb", buffering=0) as file:
                _write_all(file, data)
                os.fsync(file.fileno())
            os.replace(temporary, self._folder / name)
        except OSError:
            # A partial file would take the space that the next writes need.
            temporary.unlink(missing_ok=True)
            raise
        os.fsync(self._folder_fd)
        self._new_names.discard(name)

    def _remove(self, name):
        os.unlink(self._folder / name)
        os.fsync(self._folder_fd)
        self._new_names.discard(name)


def _write_all(file, data):
    view = memoryview(data)
    while view:
        view = view[file.write(view) :]
