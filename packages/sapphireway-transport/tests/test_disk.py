import asyncio
import os
import random
import resource
import time

import pytest

from sapphireway_transport import DiskFailed, FileDisk
from sapphireway_transport.memory import MemoryDisk, PowerCutError, run_paused


async def run_all_operations(disk):
    """Run every operation and return the files."""
    assert await disk.list() == []
    assert await disk.append("a", b"one") is None
    assert await disk.sync("a") is None
    assert await disk.append("a", b"two") is None
    assert await disk.truncate("a", 4) is None
    assert await disk.replace("b", b"old") is None
    assert await disk.replace("b", b"new") is None
    assert await disk.replace("c", b"") is None
    assert await disk.remove("c") is None
    return {name: await disk.read(name) for name in await disk.list()}


@pytest.fixture(params=["file", "memory"])
def disk(request, tmp_path):
    disk = FileDisk(tmp_path / "data") if request.param == "file" else MemoryDisk()
    yield disk
    disk.close()


def test_disk_operations(disk):
    assert asyncio.run(run_all_operations(disk)) == {"a": b"onet", "b": b"new"}


def test_first_operation_creates_folder(disk):
    async def replace():
        assert await disk.replace("a", b"one") is None
        return await disk.read("a")

    assert asyncio.run(replace()) == b"one"


def test_read_of_missing_file_fails(disk):
    async def read():
        await disk.list()
        return await disk.read("none")

    failure = asyncio.run(read())
    assert isinstance(failure, DiskFailed)
    assert (failure.operation, failure.name) == ("read", "none")


def test_folder_is_locked_against_second_process(tmp_path):
    first, second = FileDisk(tmp_path), FileDisk(tmp_path)
    assert asyncio.run(first.list()) == []
    assert isinstance(asyncio.run(second.list()), DiskFailed)
    first.close()
    assert asyncio.run(second.list()) == []
    second.close()


@pytest.fixture
def file_size_max():
    """Limit the size of files, as a full disk does; 0 lifts the limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_FSIZE)

    def set_limit(size):
        resource.setrlimit(resource.RLIMIT_FSIZE, (size or soft, hard))

    yield set_limit
    set_limit(0)


def test_failed_replace_leaves_no_space_in_use(tmp_path, file_size_max):
    """A partial snapshot would keep a full disk full, and a host out of the quorum."""
    disk = FileDisk(tmp_path)

    async def fail():
        assert await disk.replace("snapshot", b"old") is None
        file_size_max(1_000)
        return await disk.replace("snapshot", bytes(5_000))

    failure = asyncio.run(fail())
    file_size_max(0)
    disk.close()
    assert isinstance(failure, DiskFailed)
    assert sorted(os.listdir(tmp_path)) == ["lock", "snapshot"]
    assert (tmp_path / "snapshot").read_bytes() == b"old"


def test_first_operation_removes_temporary_files(tmp_path):
    """They are left by a process that ended in the middle of a replacement."""
    (tmp_path / "snapshot.tmp").write_bytes(b"part")
    disk = FileDisk(tmp_path)
    assert asyncio.run(disk.list()) == []
    disk.close()
    assert os.listdir(tmp_path) == ["lock"]


def test_slow_fsync_does_not_block_event_loop(tmp_path, monkeypatch):
    monkeypatch.setattr(os, "fsync", lambda fd: time.sleep(0.1))

    async def count_turns():
        disk = FileDisk(tmp_path)
        await disk.list()
        replacing = asyncio.create_task(disk.replace("a", b"x"))
        turns = 0
        while not replacing.done():
            await asyncio.sleep(0.001)
            turns += 1
        disk.close()
        return turns

    assert asyncio.run(count_turns()) > 20


def test_power_cut_loses_only_unsynced_bytes():
    async def write(disk):
        await disk.append("a", b"kept")
        await disk.sync("a")
        await disk.append("a", b"tail")

    contents = set()
    for seed in range(50):
        disk = MemoryDisk()
        run_paused(write(disk))
        data = run_paused(disk.cut_power(random.Random(seed)).read("a"))
        assert data.startswith(b"kept")
        contents.add(data)
    assert {b"kept", b"kepttail"} < contents


@pytest.mark.parametrize("boundary", range(4))
def test_replace_is_atomic_at_every_boundary(boundary):
    disk = MemoryDisk()
    run_paused(disk.replace("a", b"old"))
    disk.cut_at = disk.boundaries + boundary
    with pytest.raises(PowerCutError):
        run_paused(disk.replace("a", b"new"))
    for seed in range(10):
        survivor = disk.cut_power(random.Random(seed))
        assert run_paused(survivor.read("a")) in (b"old", b"new")
