import json

import msgspec
import pytest

from sapphireway._logs import EventLog
from sapphireway_coordination import AnnounceAccepted, AnnounceRefused, Assignment
from sapphireway_coordination.gate._announcement import (
    find_announcement_error,
    find_start_error,
)
from sapphireway_platform._heartbeats import (
    BODY_MAX_BYTES,
    LATE_MAX_S,
    ServerRegistrar,
    decode_departure,
    decode_heartbeat,
)
from sapphireway_state import (
    RouteTable,
    RouteView,
    ServiceSpec,
)

HEARTBEAT = {
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


ASSIGNMENT = Assignment("ledger", "http://10.128.0.9:8080")
WALL_CLOCK_S = 2_000.0
HUGE = 2**53


class RecordingGate:
    """Records the calls of a gate."""

    def __init__(self):
        self.calls = []
        self.refuse = False

    def find_announcement_error(self, announcement):
        return find_announcement_error(announcement, ASSIGNMENT, WALL_CLOCK_S)

    def find_start_error(self, started_s):
        return find_start_error(started_s, WALL_CLOCK_S)

    def announce(self, announcement):
        if self.refuse:
            return AnnounceRefused("it is refused")
        self.calls.append(announcement)
        return AnnounceAccepted(2.0, 1)

    def leave(self, server, start_id=""):
        self.calls.append(f"{server} leaves")
        return True


@pytest.fixture
def gate():
    return RecordingGate()


TABLE = RouteTable(1, (ServiceSpec("ledger", "/h", 220, 3000.0, 17.0),))


class Clock:
    """A clock that tests advance."""

    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def clock():
    return Clock()


def make_registrar(gate, get_routes, clock):
    return ServerRegistrar(gate, get_routes, EventLog(lambda: 0.0), clock)


@pytest.fixture
def registrar(gate, clock):
    return make_registrar(gate, lambda: RouteView(TABLE, 1), clock)


def send_heartbeat(registrar, server="i-1", **changes):
    return registrar.handle_heartbeat(
        server, decode_heartbeat(server, json.dumps(HEARTBEAT | changes).encode())
    )


def test_heartbeat_becomes_an_announcement(registrar, gate):
    send_heartbeat(registrar)
    (announcement,) = gate.calls
    assert announcement.server == "i-1"
    assert announcement.url == "http://10.128.0.9:8080"
    assert (announcement.slots, announcement.connections_max) == (12, 220)
    assert (announcement.started_s, announcement.start_id) == (1.0, "i-1@1000")
    assert (announcement.cold_s, announcement.cold_rate_per_s) == (1.5, 17.0)
    assert announcement.health_path == "/h"


def test_version_of_the_server_is_announced(registrar, gate):
    send_heartbeat(registrar, version=" v7 ")
    assert gate.calls[0].version == "v7"


@pytest.mark.parametrize(
    "version",
    [None, 7, 10**400, ["v2"], {"v": 2}, True, "", " ", "v" * 201],
    ids=lambda v: str(v)[:20],
)
def test_malformed_version_does_not_cost_the_heartbeat(registrar, gate, version):
    send_heartbeat(registrar, version=version)
    assert [announced.version for announced in gate.calls] == [""]


def test_heartbeat_without_version_is_announced(registrar, gate):
    body = {name: value for name, value in HEARTBEAT.items() if name != "version"}
    heartbeat = decode_heartbeat("i-1", json.dumps(body).encode())
    registrar.handle_heartbeat("i-1", heartbeat)
    assert [announced.version for announced in gate.calls] == [""]


def test_version_is_kept_for_the_rest_of_the_same_start(registrar, gate):
    """A heartbeat without it would count a new server among the old ones."""
    send_heartbeat(registrar)
    send_heartbeat(registrar, version=None, seq=5)
    send_heartbeat(registrar, version="v2", seq=6)
    send_heartbeat(registrar, version=None, seq=1, born=1001)
    versions = [announced.version for announced in gate.calls]
    assert versions == ["v1", "v1", "v2", ""]


def test_heartbeat_waits_until_its_service_is_known(gate, clock):
    """The rate of a cold server is known from the table only."""
    views = [RouteView(RouteTable(0, ()), 0)]
    registrar = make_registrar(gate, lambda: views[-1], clock)
    send_heartbeat(registrar)
    registrar.announce_pending()
    assert gate.calls == []
    views.append(RouteView(TABLE, 1))
    registrar.announce_pending()
    registrar.announce_pending()
    assert [announced.cold_rate_per_s for announced in gate.calls] == [17.0]


def test_server_that_left_before_its_service_is_known_is_not_announced(gate, clock):
    views = [RouteView(RouteTable(0, ()), 0)]
    registrar = make_registrar(gate, lambda: views[-1], clock)
    send_heartbeat(registrar)
    send_heartbeat(registrar, state="draining", seq=5)
    views.append(RouteView(TABLE, 1))
    registrar.announce_pending()
    assert gate.calls == ["i-1 leaves"]


@pytest.mark.parametrize(
    "late",
    [{"seq": 4}, {"seq": 3}, {"born": 999, "seq": 9}],
    ids=["repeated", "earlier", "earlier-start"],
)
def test_late_heartbeat_is_ignored(registrar, gate, late):
    send_heartbeat(registrar)
    send_heartbeat(registrar, **late)
    assert len(gate.calls) == 1


def test_sequence_restarts_with_server_process(registrar, gate):
    send_heartbeat(registrar, seq=9)
    send_heartbeat(registrar, born=1001, seq=1)
    assert [announced.start_id for announced in gate.calls] == ["i-1@1000", "i-1@1001"]


def test_draining_server_leaves(registrar, gate):
    send_heartbeat(registrar)
    send_heartbeat(registrar, state="draining", seq=5)
    send_heartbeat(registrar, seq=4)
    assert gate.calls[1:] == ["i-1 leaves"]


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
def test_heartbeat_with_invalid_field_is_rejected(change):
    with pytest.raises(ValueError):
        decode_heartbeat("i-1", json.dumps(HEARTBEAT | change).encode())


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b'{"service": "ledger"}',
        json.dumps(HEARTBEAT).encode().ljust(BODY_MAX_BYTES + 1),
    ],
)
def test_malformed_heartbeat_is_rejected(body):
    with pytest.raises(ValueError):
        decode_heartbeat("i-1", body)


@pytest.mark.parametrize(
    ("body", "left"),
    [(b"", True), (b'{"born": 1000}', True), (b'{"born": 999}', False)],
)
def test_departure_of_an_earlier_start_does_not_end_the_next(
    registrar, gate, body, left
):
    send_heartbeat(registrar)
    registrar.handle_departure("i-1", decode_departure(body))
    assert ("i-1 leaves" in gate.calls) == left


def test_departure_of_a_start_in_the_future_changes_nothing(registrar, gate):
    send_heartbeat(registrar)
    body = json.dumps({"born": HUGE}).encode()
    assert registrar.handle_departure("i-1", decode_departure(body))
    assert "i-1 leaves" not in gate.calls


@pytest.mark.parametrize("body", [b"{", b"[]", b'{"born": "soon"}', b"\xff"])
def test_malformed_departure_is_an_error(body):
    with pytest.raises(msgspec.MsgspecError):
        decode_departure(body)


@pytest.mark.parametrize("field", ["born", "seq", "capacity_slots"])
@pytest.mark.parametrize(
    "number", [-1, 10**25, 10**400], ids=["negative", "25_digits", "400_digits"]
)
def test_heartbeat_with_an_impossible_number_is_malformed(field, number):
    """It would order after all later heartbeats of its server."""
    body = json.dumps(HEARTBEAT | {field: number}).encode()
    with pytest.raises(msgspec.MsgspecError):
        decode_heartbeat("i-1", body)


@pytest.mark.parametrize("cold_remaining", ["9" * 400 + "ms", "٣s", "1e3ms"])
def test_heartbeat_with_a_malformed_duration_is_malformed(cold_remaining):
    body = json.dumps(HEARTBEAT | {"cold_remaining": cold_remaining}).encode()
    with pytest.raises(ValueError, match="is not a duration"):
        decode_heartbeat("i-1", body)


@pytest.mark.parametrize(
    "body",
    [
        b'{"x":' + b"[" * 100_000,
        b'{"service":' + b"[" * 100_000,
        b'{"version":' + b'{"x":' * 100_000,
        b"[" * 100_000,
    ],
    ids=["unknown-field", "service", "version", "all"],
)
def test_deeply_nested_message_is_malformed(body):
    """The error of the decoder is no `ValueError`, and was answered with 500."""
    body = body[: BODY_MAX_BYTES - 1]
    with pytest.raises(ValueError):
        decode_heartbeat("i-1", body)
    with pytest.raises(ValueError):
        decode_departure(body)


ODD_FIELDS = [
    {"service": "quotes"},
    {"address": "10.128.0.9:99999"},
    {"address": "10.128.0.9:8081"},
    {"address": "10.128.0.8:8080"},
    {"address": ""},
    {"address": "10.128.0.9:8080/x"},
    {"capacity_slots": HUGE},
    {"born": HUGE},
    {"cold_remaining": "99999999s"},
]


@pytest.mark.parametrize("state", ["ready", "draining"])
@pytest.mark.parametrize("server", ["i-1", "i-2", "i-1\r\nX: 1", "i" * 201])
@pytest.mark.parametrize("odd", ODD_FIELDS, ids=str)
def test_heartbeat_of_another_writer_changes_nothing(
    registrar, gate, server, odd, state
):
    """It ended the registration of the server, or made its heartbeats late."""
    send_heartbeat(registrar)
    assert send_heartbeat(registrar, server, seq=HUGE, state=state, **odd)
    send_heartbeat(registrar, seq=5)
    assert [announced.server for announced in gate.calls] == ["i-1", "i-1"]


@pytest.mark.parametrize("server", ["i 1", "i-\u00e9", "i-1\r\nX: 1", "i" * 201])
def test_id_that_no_header_can_carry_is_rejected(registrar, gate, server):
    assert send_heartbeat(registrar, server)
    assert gate.calls == []


@pytest.mark.parametrize(
    "large", [{"seq": HUGE}, {"born": 1001, "seq": HUGE}], ids=["seq", "born"]
)
def test_server_is_announced_again_soon_after_a_larger_position(
    registrar, gate, clock, large
):
    """All its heartbeats counted as late for good."""
    send_heartbeat(registrar)
    send_heartbeat(registrar, **large)
    for seq in range(5, 15):
        clock.now_s += 1.5
        send_heartbeat(registrar, seq=seq)
    seen_s = [1.5 * (seq - 4) for seq in range(5, 15)]
    in_time = sum(at_s >= LATE_MAX_S for at_s in seen_s)
    assert len(gate.calls) == 2 + in_time
    assert gate.calls[-1].start_id == "i-1@1000"


def test_server_drains_also_behind_a_larger_position(registrar, gate):
    """Its acknowledgement promises that it gets no more work."""
    send_heartbeat(registrar)
    send_heartbeat(registrar, seq=HUGE)
    send_heartbeat(registrar, seq=5, state="draining")
    assert gate.calls[2:] == ["i-1 leaves"]


def test_refused_announcement_does_not_make_later_ones_late(registrar, gate):
    """The position of a server that the gate refuses replaced that of its own."""
    send_heartbeat(registrar, seq=9)
    gate.refuse = True
    send_heartbeat(registrar, "i-2", seq=HUGE)
    gate.refuse = False
    send_heartbeat(registrar, seq=8)
    assert [announced.server for announced in gate.calls] == ["i-1"]


def test_departure_of_another_server_keeps_the_one_that_waits(gate, clock):
    views = [RouteView(RouteTable(0, ()), 0)]
    registrar = make_registrar(gate, lambda: views[-1], clock)
    send_heartbeat(registrar)
    registrar.leave("i-2")
    views.append(RouteView(TABLE, 1))
    registrar.announce_pending()
    assert [getattr(call, "server", call) for call in gate.calls] == [
        "i-2 leaves",
        "i-1",
    ]


@pytest.mark.parametrize(("spec_ms", "cold_max_s"), [(3000.0, 6.0), (0.0, 3600.0)])
def test_time_of_a_cold_server_is_bounded_by_that_of_its_service(
    gate, clock, spec_ms, cold_max_s
):
    """A large number would have limited the rate of a warm server for that long."""
    table = RouteTable(1, (ServiceSpec("ledger", "/h", 220, spec_ms, 17.0),))
    registrar = make_registrar(gate, lambda: RouteView(table, 1), clock)
    send_heartbeat(registrar, cold_remaining="3000s")
    assert gate.calls[0].cold_max_s == cold_max_s


def test_heartbeat_that_waited_and_was_refused_is_not_announced_later(gate, clock):
    views = [RouteView(RouteTable(0, ()), 0)]
    registrar = make_registrar(gate, lambda: views[-1], clock)
    send_heartbeat(registrar)
    views.append(RouteView(TABLE, 1))
    gate.refuse = True
    registrar.announce_pending()
    gate.refuse = False
    registrar.announce_pending()
    assert gate.calls == []
