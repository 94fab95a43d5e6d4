import collections

import pytest

from sapphireway_state import (
    RequestKind,
    Route,
    RouteTable,
    RouteTarget,
    RouteView,
    ServiceSpec,
    Workspace,
)

ONLY_S = (RouteTarget("s"),)


def make_route(name, path_prefix, targets=ONLY_S, host="a.example"):
    return Route(name, host, path_prefix, RequestKind.IDEMPOTENT, 800.0, targets)


def make_view(*routes):
    return RouteView(RouteTable(1, (ServiceSpec("s"),), ("a.example",), routes), 1)


@pytest.mark.parametrize(
    ("host", "target", "name"),
    [
        ("a.example", "/x/1", "short"),
        ("a.example", "/x/y/1", "long"),
        ("a.example", "/x/y/", "long"),
        ("a.example", "/x/y", "short"),
        ("A.example:80", "/x/1?q=/x/y/", "short"),
        ("a.example", "/x", None),
        ("a.example", "/other/", None),
        ("b.example", "/x/1", None),
        ("a.example", "", None),
    ],
)
def test_longest_prefix_of_the_host_matches(host, target, name):
    view = make_view(make_route("short", "/x/"), make_route("long", "/x/y/"))
    route = view.match(host, target)
    assert (route.name if route else None) == name


def test_root_prefix_matches_every_path():
    assert make_view(make_route("root", "/")).match("a.example", "/any/1") is not None


def test_choose_service_splits_requests_by_weight():
    targets = (RouteTarget("s", 90), RouteTarget("t", 10), RouteTarget("u", 0))
    view = make_view(make_route("split", "/x/", targets))
    route = view.match("a.example", "/x/")
    chosen = collections.Counter(view.choose_service(route) for _ in range(50))
    assert chosen == {"s": 45, "t": 5}


def test_find_workspace_by_key():
    workspaces = (Workspace("a", ("k1", "k2")), Workspace("b", ("k3",)))
    view = RouteView(RouteTable(1, workspaces=workspaces), 1)
    found = [view.find_workspace(key) for key in ("k1", "k2", "k3", "k", "")]
    names = [workspace.name if workspace else None for workspace in found]
    assert names == ["a", "a", "b", None, None]


def test_split_holds_when_every_request_meets_a_new_table():
    # Guards against a storm of tables that sends nearly all requests to one target.
    targets = (RouteTarget("a", 60), RouteTarget("b", 40))
    view, chosen = None, []
    for number in range(1, 101):
        routes = (
            make_route("split", "/split/", targets),
            make_route(f"other-{number}", "/other/"),
        )
        view = RouteView(RouteTable(number, routes=routes), number, view)
        chosen.append(view.choose_service(routes[0]))
    assert chosen.count("a") == 60


def test_split_starts_anew_with_other_targets():
    first = make_route("r", "/r/", (RouteTarget("a", 1), RouteTarget("b", 1)))
    second = make_route("r", "/r/", (RouteTarget("a", 1), RouteTarget("c", 3)))
    view = RouteView(RouteTable(1, routes=(first,)), 1)
    view.choose_service(first)
    view = RouteView(RouteTable(2, routes=(second,)), 2, view)
    assert [view.choose_service(second) for _ in range(4)].count("c") == 3
