"""Any bytes from peers, operators and disks are rejected, or are a valid value."""

import json
import zlib

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from sapphirectl._client import _decode
from sapphirectl._http import Response
from sapphirectl._timelines import _parse_line
from sapphireway_coordination import (
    GROUP_PREFIX,
    ROLLOUT_PREFIX,
    ROUTE_PREFIX,
    TREE_PREFIX,
    AppliedState,
    ControlMachine,
    GroupChange,
)
from sapphireway_coordination.settings import _settings_channel
from sapphireway_platform._rollouts import decode_order
from sapphireway_platform._server_reports import read_report
from sapphireway_platform._settings import load_settings
from sapphireway_platform._tables import decode_patch, decode_table, encode_table
from sapphireway_protocol import (
    Codec,
    Envelope,
    GroupHolder,
    JournalEntry,
    Probe,
    QuorumMember,
    SettingsUpdate,
    decode_msgpack,
)
from sapphireway_protocol._codec import MESSAGES
from sapphireway_state import (
    Accepted,
    Edit,
    Invalid,
    Journal,
    JournalDamaged,
    JournalLimits,
    Publish,
    ReadHistory,
    ReadTree,
    RouteTable,
    ServiceSpec,
    SetValue,
    Snapshot,
    StartRollout,
    StatusReport,
    VoteRecord,
    decode_answer,
    decode_publish_result,
    decode_rollout_result,
    encode_edit,
    encode_publish,
    encode_rollout_command,
    encode_snapshot,
    load_tree,
    load_vote,
    parse_process_settings,
)
from sapphireway_state._frame import encode_frame
from sapphireway_transport import Responded
from sapphireway_transport.memory import MemoryDisk, run_paused
from tests.malformed import (
    NESTED_DEEPLY,
    make_odd_json,
    make_odd_msgpack,
    make_settings,
)
from tests.messages import make_values
from tests.platform_adapter.test_settings import NODE
from tests.platform_adapter.test_tables import make_document

NESTED = b"\x91" * NESTED_DEEPLY
NESTED_JSON = b"[" * NESTED_DEEPLY
SERVICE = ServiceSpec("ledger", "/health", 220, 3000.0, 17.0)
TABLE = RouteTable(1, (SERVICE,))
EDIT = Edit("e", 0, [SetValue("domains", {"a": {"out": True}})], "operator", live=[])
COMMANDS = {
    TREE_PREFIX: EDIT,
    GROUP_PREFIX: GroupChange("ledger", 0, (GroupHolder("n", "i", "a"),), False, 0.0),
    ROUTE_PREFIX: Publish(b"digest", 0, TABLE),
    ROLLOUT_PREFIX: StartRollout("ledger", "v2", 60_000.0, 1.0),
}
ANSWER_TYPES = {
    TREE_PREFIX: decode_answer,
    ROUTE_PREFIX: decode_publish_result,
    ROLLOUT_PREFIX: decode_rollout_result,
}
UPDATE = {"version": 9, "upsert": {"services": [{"name": "s"}]}, "remove": {}}
ORDER = {"service": "ledger", "target_version": "v2", "duration": "60s"}
run_quickly = make_settings(100)


def make_machine():
    machine = ControlMachine()
    for index, (prefix, command) in enumerate(COMMANDS.items(), 1):
        machine.apply(index, prefix + msgspec.msgpack.encode(command))
    return machine


@run_quickly
@given(st.lists(st.binary(max_size=40), max_size=3))
@example([NESTED])
@example([b"\x97" + NESTED])
def test_any_frames_are_a_message_or_none(frames):
    envelope = Codec().decode(frames)
    assert envelope is None or isinstance(envelope, Envelope)


@run_quickly
@given(st.data())
def test_any_message_near_a_valid_one_is_a_message_or_none(data):
    message = data.draw(make_values(data.draw(st.sampled_from(MESSAGES))))
    (frame,) = Codec().encode(Envelope(message, incarnation="i"))
    odd = data.draw(make_odd_msgpack(decode_msgpack(frame, list)))
    envelope = Codec().decode([odd])
    assert envelope is None or isinstance(envelope, Envelope)


def test_message_with_a_clock_that_is_no_number_is_malformed():
    """No later reading of the peer's clock would have replaced it."""
    for clock_s in (float("nan"), float("inf")):
        frames = Codec().encode(Envelope(Probe("s"), clock_s=0.0))
        header = msgspec.msgpack.decode(frames[0])
        header[3] = clock_s
        assert Codec().decode([msgspec.msgpack.encode(header)]) is None


@run_quickly
@given(st.data())
def test_control_hosts_answer_any_command_alike(data):
    """A command that raises would stop all control hosts, at each start again."""
    prefix = data.draw(st.sampled_from(sorted(COMMANDS)))
    command = prefix + data.draw(make_odd_msgpack(COMMANDS[prefix]))
    machine, other = make_machine(), make_machine()
    content = machine.apply(10, command)
    assert content == other.apply(10, command)
    assert machine.snapshot() == other.snapshot()
    if prefix in ANSWER_TYPES:
        assert ANSWER_TYPES[prefix](content) is not None
    assert machine.can_restore(machine.snapshot())
    edit = Edit("next", machine.settings.version, [SetValue("domains/b", {})], "o")
    answer = decode_answer(machine.apply(11, TREE_PREFIX + encode_edit(edit)))
    assert isinstance(answer, Accepted)


@pytest.mark.parametrize("prefix", sorted(COMMANDS))
@pytest.mark.parametrize("depth", [9, 100, 900, 990, NESTED_DEEPLY])
def test_deeply_nested_command_is_refused(prefix, depth):
    """All control hosts decode it alike, whatever their limits of recursion are."""
    machine = make_machine()
    before = machine.version
    value = b"\x91" * depth + b"\x90"
    edit = Edit("e2", machine.settings.version, [SetValue("domains/a", "?")], "o")
    command = msgspec.msgpack.encode(edit).replace(msgspec.msgpack.encode("?"), value)
    machine.apply(10, prefix + command)
    machine.apply(11, prefix + value)
    assert machine.version == before


@run_quickly
@given(st.data())
def test_any_query_is_answered(data):
    prefix = data.draw(st.sampled_from([*COMMANDS, b"", b"?"]))
    sample = data.draw(st.sampled_from([ReadTree(), ReadHistory(3)]))
    query = data.draw(make_odd_msgpack(sample))
    assert isinstance(make_machine().read(prefix + query), bytes)


@run_quickly
@given(st.data())
def test_any_snapshot_is_restored_or_changes_nothing(data):
    machine = make_machine()
    sample = msgspec.msgpack.decode(machine.snapshot())
    odd = data.draw(make_odd_msgpack(sample))
    before = machine.snapshot()
    can_restore = machine.can_restore(odd)
    assert machine.snapshot() == before
    if can_restore:
        machine.restore(odd)
        machine.snapshot()


def make_folder(**files):
    disk = MemoryDisk()
    for name, content in files.items():
        run_paused(disk.replace(name.replace("_", "-"), content))
    return disk


@run_quickly
@given(st.data())
def test_any_vote_record_is_read_or_damaged(data):
    record = VoteRecord("d", initial=[QuorumMember("a", "d", True)])
    payload = data.draw(make_odd_msgpack(record))
    content = data.draw(st.sampled_from([encode_frame(payload), payload]))
    loaded = run_paused(load_vote(make_folder(vote=content)))
    assert isinstance(loaded, VoteRecord | JournalDamaged)


@run_quickly
@given(st.data())
def test_any_journal_is_read_or_damaged(data):
    entries = [[1, 2, msgspec.msgpack.encode([["a", "d", True]])], [1, 1, b"command"]]
    payload = data.draw(make_odd_msgpack([1, entries]))
    content = data.draw(st.sampled_from([encode_frame(payload), payload]))
    name = data.draw(st.sampled_from([f"journal-{1:016x}", "journal-other"]))
    disk = make_folder(**{name.replace("-", "_"): content})
    journal = Journal(disk, JournalLimits())
    problem = run_paused(journal.open())
    assert problem is None or isinstance(problem, JournalDamaged)
    for index in range(1, journal.last_index + 1):
        assert isinstance(journal.get_entry(index), JournalEntry)


@run_quickly
@given(st.data())
def test_any_snapshot_file_is_read_or_damaged(data):
    sample = Snapshot(3, 1, [QuorumMember("a", "d", True)], b"data")
    payload = data.draw(make_odd_msgpack(sample))
    content = data.draw(st.sampled_from([encode_frame(payload), payload]))
    journal = Journal(make_folder(snapshot=content), JournalLimits())
    problem = run_paused(journal.open())
    assert problem is None or isinstance(problem, JournalDamaged)
    encode_snapshot(journal.snapshot)


@run_quickly
@given(st.data())
def test_any_update_is_applied_or_changes_nothing(data):
    machine = make_machine()
    update = machine.make_update(-1, 0, 0, 0)
    part = data.draw(st.sampled_from(["whole", "tree", "routes", "rollouts"]))
    if part == "whole":
        content = data.draw(make_odd_msgpack(update))
    else:
        sample = msgspec.msgpack.decode(getattr(update, part))
        odd = data.draw(make_odd_msgpack(sample))
        changed = msgspec.structs.replace(update, **{part: odd})
        content = msgspec.msgpack.encode(changed)
    compressed = data.draw(st.booleans())
    body = zlib.compress(content) if compressed else content
    decoded = _settings_channel._decode(body)
    assert decoded is None or isinstance(decoded, SettingsUpdate)
    if decoded is None:
        return
    state = AppliedState()
    state.apply(decoded)
    version = state.version
    later = msgspec.structs.replace(update, version=2**40)
    assert state.version == version
    later = msgspec.structs.replace(later, routes_version=2**40, rollouts_version=2**40)
    state.apply(later)


@run_quickly
@given(make_odd_json(make_document()))
@example(NESTED_JSON)
@example(json.dumps(make_document(version=10**30)).encode())
def test_any_configuration_is_published_or_refused(body):
    """Numbers that no journal entry can hold got 500 and a traceback."""
    try:
        table = decode_table(body)
    except ValueError:
        return
    command = encode_publish(Publish(b"odd", 0, table))
    result = decode_publish_result(ControlMachine().routes.apply(1, command))
    assert result is not None
    encode_table(table)


@run_quickly
@given(make_odd_json(UPDATE))
@example(json.dumps(UPDATE | {"version": 10**30}).encode())
def test_any_update_of_a_configuration_is_read_or_refused(body):
    try:
        patch = decode_patch(body)
    except ValueError:
        return
    msgspec.msgpack.encode(patch)


@run_quickly
@given(make_odd_json(ORDER))
@example(NESTED_JSON)
def test_any_rollout_order_is_read_or_refused(body):
    try:
        service, version, duration_ms = decode_order(body)
    except ValueError:
        return
    start = StartRollout(service, version, duration_ms, 1.0, 0)
    content = make_machine().apply(10, ROLLOUT_PREFIX + encode_rollout_command(start))
    assert decode_rollout_result(content) is not None


@run_quickly
@given(make_odd_json(NODE))
@example(NESTED_JSON)
def test_any_settings_file_of_the_platform_is_read_or_refused(tmp_path, body):
    file = tmp_path / "settings.json"
    file.write_bytes(body)
    try:
        load_settings(file, tmp_path)
    except (ValueError, msgspec.MsgspecError, RecursionError):
        return


@run_quickly
@given(
    st.one_of(
        st.binary(max_size=60),
        st.sampled_from([b"{" * 50_000, b"- " * 50_000, b"a: &a [*a]", b"? [1]\n: 2"]),
    )
)
def test_any_yaml_is_read_or_refused(tmp_path, content):
    file = tmp_path / "tree.yaml"
    file.write_bytes(content)
    assert load_tree(str(file)) is not None
    text = content.decode(errors="replace")
    assert isinstance(parse_process_settings(text), Invalid)


@run_quickly
@given(make_odd_json({"time": "2026-12-04T19:39:44", "event": "started"}))
@example(NESTED_JSON)
@example(b'{"time": ' + NESTED_JSON)
def test_any_log_line_is_read_or_skipped(body):
    line = _parse_line(body.decode(errors="replace"), "node")
    assert line is None or line.event is not None


@run_quickly
@given(st.one_of(st.binary(max_size=40), st.just(NESTED_JSON)))
def test_any_answer_to_the_command_line_is_read_or_reported(body):
    assert _decode("n", Response(200, body), StatusReport) is not None


REPORT_HEADERS = (
    "Server-Load",
    "Cold-Remaining-Ms",
    "Instance-Id",
    "Server-Limit",
    "Server-Leaving",
)


@run_quickly
@given(
    st.integers(100, 599),
    st.lists(
        st.tuples(
            st.sampled_from(REPORT_HEADERS),
            st.one_of(
                st.text(max_size=20),
                st.sampled_from(["9" * 400, "1e400", "nan", "-1", "1,2,3,4,5", ",,,"]),
                st.lists(st.integers(-1, 2**70), max_size=5).map(
                    lambda numbers: ",".join(map(str, numbers))
                ),
            ),
        ),
        max_size=6,
    ),
)
def test_any_headers_of_a_server_are_a_report(status, headers):
    report = read_report(Responded(status, tuple(headers), b""))
    assert report.cold_s is None or 0.0 <= report.cold_s < 10**9
    assert report.slowness is None or 0.0 <= report.slowness < 10**9
    assert report.slots is None or 0 <= report.slots < 10**9
    assert report.requests_per_s is None or 0.0 <= report.requests_per_s < 10**10
