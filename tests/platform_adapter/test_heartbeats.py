import json

import pytest

from sapphireway._logs import EventLog
from sapphireway_coordination import AnnounceAccepted
from sapphireway_platform._heartbeats import ServerReports, decode_heartbeat
from sapphireway_state import (
    RouteTable,
    RouteView,
    ServiceSpec,
)

BEAT = {
    "service": "ledger",
    "address": "10.128.0.9:8080",
    "zone": "rincon",
    "version": "v1",
    "capacity_slots": 12,
    "state": "ready",
    "cold_remaining": "1500ms",
    "seq": 4,
    "born": 1000,
}


class RecordingGate:
    """Records what a gate is told."""

    def __init__(self):
        self.told = []

    def announce(self, announcement):
        self.told.append(announcement)
        return AnnounceAccepted(2.0, 1)

    def leave(self, server):
        self.told.append(f"{server} leaves")
        return True


@pytest.fixture
def gate():
    return RecordingGate()


TABLE = RouteTable(1, (ServiceSpec("ledger", "/h", 220, 3000.0, 17.0),))


@pytest.fixture
def reports(gate):
    return ServerReports(gate, lambda: RouteView(TABLE, 1), EventLog(lambda: 0.0))


def take(reports, server="i-1", **changes):
    reports.take(server, decode_heartbeat(server, json.dumps(BEAT | changes).encode()))


def test_heartbeat_becomes_an_announcement(reports, gate):
    take(reports)
    (announcement,) = gate.told
    assert announcement.server == "i-1"
    assert announcement.url == "http://10.128.0.9:8080"
    assert (announcement.slots, announcement.connections_max) == (12, 220)
    assert (announcement.started_s, announcement.start_id) == (1.0, "i-1@1000")
    assert (announcement.cold_s, announcement.cold_rate_per_s) == (1.5, 17.0)
    assert announcement.health_path == "/h"


def test_heartbeat_waits_until_its_service_is_known(gate):
    """What a cold server bears is in the table."""
    views = [RouteView(RouteTable(0, ()), 0)]
    reports = ServerReports(gate, lambda: views[-1], EventLog(lambda: 0.0))
    take(reports)
    reports.take_settings()
    assert gate.told == []
    views.append(RouteView(TABLE, 1))
    reports.take_settings()
    reports.take_settings()
    assert [told.cold_rate_per_s for told in gate.told] == [17.0]


def test_server_that_left_before_its_service_was_known_is_not_announced(gate):
    views = [RouteView(RouteTable(0, ()), 0)]
    reports = ServerReports(gate, lambda: views[-1], EventLog(lambda: 0.0))
    take(reports)
    take(reports, state="draining", seq=5)
    views.append(RouteView(TABLE, 1))
    reports.take_settings()
    assert gate.told == ["i-1 leaves"]


@pytest.mark.parametrize(
    "late",
    [{"seq": 4}, {"seq": 3}, {"born": 999, "seq": 9}],
    ids=["repeated", "earlier", "earlier-start"],
)
def test_late_heartbeat_changes_nothing(reports, gate, late):
    take(reports)
    take(reports, **late)
    assert len(gate.told) == 1


def test_counts_begin_anew_with_a_start(reports, gate):
    take(reports, seq=9)
    take(reports, born=1001, seq=1)
    assert [told.start_id for told in gate.told] == ["i-1@1000", "i-1@1001"]


def test_leaving_server_gets_no_new_work(reports, gate):
    take(reports)
    take(reports, state="draining", seq=5)
    take(reports, seq=4)
    assert gate.told[1:] == ["i-1 leaves"]


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"capacity_slots": 0},
        {"capacity_slots": "12"},
        {"service": ""},
        {"service": None},
        {"address": 5},
        {"cold_remaining": "soon"},
        {"seq": "x"},
    ],
    ids=str,
)
def test_heartbeat_of_another_writer_names_no_server(change):
    with pytest.raises(ValueError):
        decode_heartbeat("i-1", json.dumps(BEAT | change).encode())


@pytest.mark.parametrize("body", [b"", b"\xff\xfe", b"[]", b'{"service": "ledger"}'])
def test_unreadable_heartbeat_names_no_server(body):
    with pytest.raises(ValueError):
        decode_heartbeat("i-1", body)
