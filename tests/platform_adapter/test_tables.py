import json

import pytest

from sapphireway_platform._tables import (
    DecodeError,
    decode_patch,
    decode_table,
    encode_table,
)
from sapphireway_state import (
    RequestKind,
    RouteTarget,
    Workspace,
    apply_patch,
    check_table,
)

ROUTE = {
    "name": "r-1",
    "path_prefix": "/pufi791/",
    "kind": "non_idempotent",
    "timeout": "1200ms",
    "target_latency": "400ms",
    "priority": 1,
    "service": "huvo11a",
    "max_attempts": 2,
}
SPLIT = {
    "name": "r-2",
    "path_prefix": "/lohu930/",
    "kind": "idempotent",
    "timeout": "1s",
    "priority": 0,
    "traffic_split": [
        {"service": "huvo11a", "weight": 90},
        {"service": "wuno96b", "weight": 2.5},
    ],
    "max_attempts": 2,
}


def make_service(name):
    return {
        "name": name,
        "health_check_path": "/health",
        "max_connections": 220,
        "protocol": "h1",
        "tls": False,
        "cold_start": "3s",
        "cold_per_s": 17.0,
    }


def make_document(**changes):
    document = {
        "version": 7,
        "services": [make_service("huvo11a"), make_service("wuno96b")],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
        "virtual_hosts": [{"host": "a.example", "route_paths": [ROUTE, SPLIT]}],
    }
    return document | changes


def encode(document):
    return json.dumps(document).encode()


def test_configuration_is_decoded():
    table = decode_table(encode(make_document()))
    assert check_table(table) == []
    route, split = table.routes
    assert (route.kind, route.timeout_ms, route.target_latency_ms) == (
        RequestKind.ONCE,
        1200.0,
        400.0,
    )
    assert (route.attempts_max, route.priority) == (2, 1)
    assert split.targets == (RouteTarget("huvo11a", 90), RouteTarget("wuno96b", 2.5))
    assert split.timeout_ms == 1000.0
    assert table.services[0].cold_rate_per_s == 17.0
    assert table.limits.idle_timeout_ms == 15_000.0


def test_configuration_round_trip():
    document = json.loads(encode_table(decode_table(encode(make_document()))))
    sent = make_document()
    # Durations are equal, although their units may differ.
    sent["virtual_hosts"][0]["route_paths"][1] = SPLIT | {"timeout": "1000ms"}
    for service in sent["services"]:
        service["cold_start"] = "3000ms"
    (host,) = document["virtual_hosts"]
    for route in host["route_paths"]:
        route.setdefault("priority", 0)
    assert document == sent


def test_update_changes_named_items_only():
    table = decode_table(encode(make_document()))
    added = ROUTE | {"name": "r-3", "path_prefix": "/new/"}
    update = {
        "version": 9,
        "upsert": {
            "virtual_hosts": [{"host": "a.example", "route_paths": [added]}],
            "services": [make_service("third")],
        },
        "remove": {"routes": ["r-2"]},
    }
    result = apply_patch(table, decode_patch(encode(update)))
    assert result.number == 9
    assert [route.name for route in result.routes] == ["r-1", "r-3"]
    assert [service.name for service in result.services][-1] == "third"


@pytest.mark.parametrize("host", ["", "new.example"])
def test_update_keeps_added_hosts_without_routes(host):
    # Guards against an update with an invalid host that is accepted.
    table = decode_table(encode(make_document()))
    update = {"version": 9, "upsert": {"virtual_hosts": [{"host": host}]}}
    result = apply_patch(table, decode_patch(encode(update)))
    assert result.hosts == (*table.hosts, host)
    assert bool(check_table(result)) == (host == "")


@pytest.mark.parametrize(
    "change",
    [
        {"kind": "sometimes"},
        {"timeout": "1200"},
        {"timeout": 1200},
        {"service": None},
        {"traffic_split": [{"service": "huvo11a", "weight": 1}]},
        {"path_prefix": None},
    ],
    ids=str,
)
def test_invalid_route_rejects_whole_configuration(change):
    hosts = [{"host": "a.example", "route_paths": [ROUTE | change]}]
    with pytest.raises(DecodeError):
        decode_table(encode(make_document(virtual_hosts=hosts)))


@pytest.mark.parametrize(
    "body", [b"", b"{", b"[]", b"\xff", encode(make_document())[:-20]]
)
def test_malformed_body_is_rejected(body):
    with pytest.raises(DecodeError):
        decode_table(body)


def test_unknown_fields_are_ignored():
    assert decode_table(encode(make_document(later={"a": 1}))).number == 7


TENANTS = [
    {
        "name": "north",
        "api_keys": ["k-1", "k-2"],
        "priority": 0,
        "rate_per_s": 62,
        "burst_size": 6.5,
    },
    {"name": "south", "api_keys": []},
]


def make_keyed_document():
    routes = [ROUTE | {"anonymous_access": True}, SPLIT | {"anonymous_access": False}]
    hosts = [{"host": "a.example", "route_paths": routes}]
    return make_document(virtual_hosts=hosts, tenants=TENANTS)


def test_tenants_are_decoded_as_workspaces():
    table = decode_table(encode(make_keyed_document()))
    assert check_table(table) == []
    north = Workspace("north", ("k-1", "k-2"), 62.0, 6.5, 0)
    assert table.workspaces == (north, Workspace("south"))
    assert [route.open_access for route in table.routes] == [True, False]


def test_tenants_are_read_back_as_put():
    read = json.loads(encode_table(decode_table(encode(make_keyed_document()))))
    assert read["tenants"] == TENANTS
    (host,) = read["virtual_hosts"]
    assert [route["anonymous_access"] for route in host["route_paths"]] == [True, False]


@pytest.mark.parametrize("changes", [{}, {"tenants": []}, {"tenants": None}])
def test_configuration_without_tenants_has_no_new_field(changes):
    text = encode_table(decode_table(encode(make_document(**changes))))
    assert b"tenants" not in text and b"anonymous_access" not in text


def test_update_changes_tenants_by_name():
    table = decode_table(encode(make_keyed_document()))
    added = {"name": "east", "api_keys": ["k-3"], "rate_per_s": 5}
    update = {
        "version": 8,
        "upsert": {"tenants": [added]},
        "remove": {"tenants": ["north"]},
    }
    result = apply_patch(table, decode_patch(encode(update)))
    assert result.workspaces == (Workspace("south"), Workspace("east", ("k-3",), 5.0))


@pytest.mark.parametrize(
    "tenant", [{"api_keys": []}, {"name": "a", "api_keys": [{"secret": 1}]}], ids=str
)
def test_malformed_tenant_is_rejected_without_its_keys(tenant):
    with pytest.raises(DecodeError) as raised:
        decode_table(encode(make_document(tenants=[tenant])))
    assert "secret" not in str(raised.value)
