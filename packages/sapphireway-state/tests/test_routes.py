import pytest

from sapphireway_state import (
    CallerLimits,
    RequestKind,
    Route,
    RouteTable,
    RouteTarget,
    ServiceSpec,
    TablePatch,
    apply_patch,
    check_table,
)

SERVICES = (ServiceSpec("ledger"), ServiceSpec("matching"))


def make_route(name="r", **changes):
    fields = {
        "host": "a.example",
        "path_prefix": f"/{name}/",
        "kind": RequestKind.IDEMPOTENT,
        "timeout_ms": 800.0,
        "targets": (RouteTarget("ledger"),),
    }
    return Route(name, **(fields | changes))


def make_table(*routes, number=1, services=SERVICES):
    hosts = tuple(dict.fromkeys(route.host for route in routes))
    return RouteTable(number, services, hosts, routes)


def split(*weights):
    names = ("ledger", "matching")
    return tuple(map(RouteTarget, names, weights))


def test_valid_table_has_no_problem():
    assert check_table(make_table(make_route(), make_route("s", host="b"))) == []


@pytest.mark.parametrize(
    ("changes", "wrong"),
    [
        ({"host": ""}, "host is empty"),
        ({"path_prefix": "x/"}, "prefix 'x/'"),
        ({"timeout_ms": 0.0}, "timeout 0 ms"),
        ({"timeout_ms": 600_001.0}, "timeout 600001 ms"),
        ({"attempts_max": 0}, "0 attempts"),
        ({"targets": ()}, "0 services"),
        ({"targets": (RouteTarget("gone"),)}, "unknown service 'gone'"),
        ({"targets": split(90, -1)}, "weight -1"),
        ({"targets": split(0, 0)}, "all weights are 0"),
        ({"targets": split(1, None)}, "has no weight"),
    ],
)
def test_check_table_finds_invalid_route(changes, wrong):
    problems = check_table(make_table(make_route(**changes)))
    assert any(wrong in problem.wrong for problem in problems), problems


@pytest.mark.parametrize(
    "routes",
    [
        (make_route("r"), make_route("r", path_prefix="/other/")),
        (make_route("r"), make_route("s", path_prefix="/r/")),
    ],
    ids=["name", "path_prefix"],
)
def test_check_table_finds_duplicate_route(routes):
    problems = check_table(make_table(*routes))
    assert [problem.wrong.endswith("is listed twice") for problem in problems] == [True]


def test_patch_adds_replaces_and_removes_by_name():
    table = make_table(make_route("a"), make_route("b"), make_route("c"))
    limits = CallerLimits(header_max_bytes=5)
    patch = TablePatch(
        7,
        services=(ServiceSpec("new"),),
        routes=(make_route("b", timeout_ms=5.0), make_route("d", host="new.example")),
        limits=limits,
        removed_services=("matching",),
        removed_routes=("c",),
    )
    result = apply_patch(table, patch)
    assert result.number == 7
    assert [service.name for service in result.services] == ["ledger", "new"]
    assert {r.name: r.timeout_ms for r in result.routes} == {"a": 800, "b": 5, "d": 800}
    assert result.hosts == ("a.example", "new.example")
    assert result.limits is limits


def test_patch_removes_a_host_with_its_routes():
    table = make_table(make_route("a"), make_route("b", host="b.example"))
    result = apply_patch(table, TablePatch(2, removed_hosts=("b.example",)))
    assert (result.hosts, [route.name for route in result.routes]) == (
        ("a.example",),
        ["a"],
    )
