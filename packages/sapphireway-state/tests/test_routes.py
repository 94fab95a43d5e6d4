import msgspec
import pytest

from sapphireway_state import (
    CallerLimits,
    RequestKind,
    Route,
    RouteTable,
    RouteTarget,
    ServiceSpec,
    TablePatch,
    Workspace,
    apply_patch,
    check_table,
    digest_access_key,
    make_patch,
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


@pytest.mark.parametrize(
    ("workspaces", "wrong"),
    [
        ((Workspace("a", ("k1",)), Workspace("b", ("k2", "k1"))), "shares key"),
        ((Workspace("a", ("k1",)), Workspace("a", ("k2",))), "'a' is listed twice"),
        ((Workspace("", ("k1",)),), "has no name"),
        ((Workspace("a\r\nb", ("k1",)),), "control characters"),
        ((Workspace("a", rate_per_s=-1.0),), "rate -1"),
        ((Workspace("a", rate_per_s=float("nan")),), "rate nan"),
        ((Workspace("a", burst=-0.5),), "burst -0.5"),
    ],
)
def test_check_table_finds_invalid_workspace(workspaces, wrong):
    table = msgspec.structs.replace(make_table(make_route()), workspaces=workspaces)
    (problem,) = check_table(table)
    assert wrong in problem.wrong


def test_check_table_accepts_workspaces_without_keys_or_limits():
    workspaces = (Workspace("a", ("k", "k")), Workspace("b"))
    table = msgspec.structs.replace(make_table(make_route()), workspaces=workspaces)
    assert check_table(table) == []


def test_problem_of_a_shared_key_has_only_its_digest():
    # Problems are sent to operators and logged.
    workspaces = (Workspace("a", ("secret",)), Workspace("b", ("secret",)))
    table = msgspec.structs.replace(make_table(make_route()), workspaces=workspaces)
    (problem,) = check_table(table)
    assert "secret" not in str(problem) and digest_access_key("secret") in problem.wrong
    assert len(digest_access_key("secret")) == 12


def test_text_of_a_table_has_only_digests_of_keys():
    table = RouteTable(1, workspaces=(Workspace("a", ("secret",)),))
    assert "secret" not in f"{table!r} {table}"
    assert digest_access_key("secret") in repr(table)


def test_patch_adds_replaces_and_removes_workspaces():
    workspaces = tuple(Workspace(name, (f"k{name}",)) for name in "abc")
    table = msgspec.structs.replace(make_table(make_route()), workspaces=workspaces)
    changed, added = Workspace("b", ("new",)), Workspace("d")
    patch = TablePatch(2, workspaces=(changed, added), removed_workspaces=("c",))
    assert apply_patch(table, patch).workspaces == (workspaces[0], changed, added)
    assert apply_patch(table, TablePatch(2)).workspaces == workspaces


@pytest.mark.parametrize(
    "new",
    [
        make_table(make_route("a"), make_route("b", timeout_ms=5.0), number=2),
        make_table(make_route("b"), make_route("d", host="d.example"), number=2),
        make_table(make_route("a"), number=2, services=SERVICES[:1]),
        RouteTable(2, SERVICES, ("a.example", "empty.example"), (make_route("a"),)),
        RouteTable(2, SERVICES, limits=CallerLimits(5), workspaces=(Workspace("w"),)),
    ],
    ids=["changed", "other-route", "removed", "host", "limits"],
)
def test_patch_between_two_tables_gives_the_new_one(new):
    old = make_table(make_route("a"), make_route("b"))
    old = msgspec.structs.replace(old, workspaces=(Workspace("v"),))
    assert apply_patch(old, make_patch(old, new)) == new


def test_no_patch_for_reordered_routes():
    old = make_table(make_route("a"), make_route("b"))
    assert make_patch(old, make_table(make_route("b"), make_route("a"))) is None
