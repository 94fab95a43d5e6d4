import asyncio

import pytest

from sapphireway._journal_folder import get_journal_folder, make_journal_disk
from sapphireway._recover import run_recovery
from sapphireway_protocol import EntryKind, JournalEntry, QuorumMember
from sapphireway_state import (
    Journal,
    JournalLimits,
    VoteRecord,
    encode_members,
    load_process_settings,
    load_vote,
    save_vote,
)

SETTINGS = """\
address: 127.0.0.1:7100
http_address: 127.0.0.1:8080
admin_address: 127.0.0.1:9090
domain: bxl-a
region: be
data_folder: data
control: true
control_hosts: [127.0.0.1:7100, 127.0.0.2:7100, 127.0.0.3:7100]
"""


@pytest.fixture
def file(tmp_path):
    path = tmp_path / "node.yaml"
    path.write_text(SETTINGS)
    return path


@pytest.fixture
def settings(file):
    return load_process_settings(file)


def run_on_disk(settings, work):
    async def run():
        disk = make_journal_disk(settings)
        try:
            return await work(disk)
        finally:
            disk.close()

    return asyncio.run(run())


@pytest.fixture
def survivor(settings):
    async def fill(disk):
        await disk.list()
        journal = Journal(disk, JournalLimits())
        assert await save_vote(disk, VoteRecord("d1", cluster_id="old")) is None
        assert await journal.open() is None
        members = [QuorumMember(a, "d1", True) for a in settings.control_hosts]
        entries = [
            JournalEntry(1, EntryKind.MEMBERS, encode_members(members)),
            JournalEntry(1, EntryKind.COMMAND, b"a"),
        ]
        assert await journal.append(1, entries) is None

    run_on_disk(settings, fill)


def read_cluster(settings):
    record = run_on_disk(settings, load_vote)
    return record.cluster_id


def test_survivor_is_recovered(file, settings, survivor, capsys):
    assert run_recovery(file, confirmed=True) == 0
    out = capsys.readouterr().out
    assert out == f"cluster id: {read_cluster(settings)}\nlast index: 2\n"
    assert read_cluster(settings) != "old"


def test_recovery_needs_confirmation(file, settings, survivor, capsys):
    assert run_recovery(file, confirmed=False) == 2
    err = capsys.readouterr().err
    assert "127.0.0.2:7100, 127.0.0.3:7100" in err and "--yes-lose-the-others" in err
    assert read_cluster(settings) == "old"


def test_recovery_is_refused_while_process_runs(file, settings, survivor, capsys):
    async def recover_concurrently(disk):
        await disk.list()
        return await asyncio.to_thread(run_recovery, file, True)

    assert run_on_disk(settings, recover_concurrently) == 1
    assert "is the process still running?" in capsys.readouterr().err
    assert read_cluster(settings) == "old"


def test_damaged_journal_is_not_recovered(file, settings, survivor, capsys):
    path = get_journal_folder(settings) / "vote"
    content = bytearray(path.read_bytes())
    content[-1] ^= 255
    path.write_bytes(content)
    assert run_recovery(file, confirmed=True) == 1
    assert "vote is damaged at byte 0" in capsys.readouterr().err
    assert path.read_bytes() == content


@pytest.mark.parametrize(
    ("before", "after", "exit_code", "message"),
    [
        ("control: true\n", "", 2, "no control host"),
        ("region: be\n", "", 2, "region: is missing"),
        ("data_folder: data", "data_folder: other", 1, "no such folder"),
    ],
)
def test_wrong_host_is_not_recovered(
    file, tmp_path, capsys, before, after, exit_code, message
):
    file.write_text(SETTINGS.replace(before, after))
    assert run_recovery(file, confirmed=True) == exit_code
    assert message in capsys.readouterr().err
    assert not (tmp_path / "other").exists()


def test_empty_folder_is_not_recovered(file, settings, capsys):
    get_journal_folder(settings).mkdir(parents=True)
    assert run_recovery(file, confirmed=True) == 1
    assert "belongs to no cluster" in capsys.readouterr().err
