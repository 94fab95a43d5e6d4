import msgspec
import pytest

from sapphireway_state import SETTINGS, Policy, SettingsView, parse_tree

TREE = """
weight: 11
deadline_ms: 100
deadline_max_ms: 50000
queue_limit: 10
domains:
  a:
    deadline_ms: 200
    queue_limit: 20
    services:
      s:
        deadline_ms: 400
        deadline_max_ms: 450
        kinds: {k: {deadline_ms: 600}}
  b: {out: true, deadline_ms: 250}
services:
  s:
    deadline_ms: 300
    kinds:
      k: {deadline_ms: 500}
      j: {idempotent: true}
servers:
  s1: {out: true}
  s2: {out: false}
"""


@pytest.fixture(scope="module")
def view():
    return SettingsView(parse_tree(TREE).value, 7)


@pytest.mark.parametrize(
    ("domain", "service", "kind", "deadline_ms", "node"),
    [
        ("x", "x", "other", 100, ""),
        ("a", "x", "other", 200, "domains/a"),
        ("x", "s", "other", 300, "services/s"),
        ("b", "s", "other", 300, "services/s"),
        ("a", "s", "j", 400, "domains/a/services/s"),
        ("x", "s", "k", 500, "services/s/kinds/k"),
        ("a", "s", "k", 450, "domains/a/services/s"),
    ],
)
def test_most_specific_node_wins(view, domain, service, kind, deadline_ms, node):
    assert view.resolve(domain, service, kind).deadline_ms == deadline_ms
    sources = {source.name: source for source in view.explain(domain, service, kind)}
    assert sources["deadline_ms"].value == deadline_ms
    assert sources["deadline_ms"].node == node
    assert sources["attempts_max"].node == "(default)"


def test_explain_agrees_with_resolve(view):
    for domain in ("a", "b", "x"):
        for kind in ("j", "k", "other"):
            policy = view.resolve(domain, "s", kind)
            for source in view.explain(domain, "s", kind):
                assert getattr(policy, source.name) == source.value


def test_resolve_caches_declared_names_only(view):
    assert view.resolve("a", "s", "k") is view.resolve("a", "s", "k")
    assert view.resolve("a", "made-up", "k") is not view.resolve("a", "made-up", "k")


@pytest.mark.parametrize(
    ("domain", "server", "out"),
    [("a", "s1", True), ("a", "s2", False), ("b", "s2", True), ("x", "y", False)],
)
def test_is_out_by_domain_or_server(view, domain, server, out):
    assert view.is_out(domain, server) is out


def test_every_policy_value_has_a_bounded_setting():
    assert {field.name for field in msgspec.structs.fields(Policy)} == set(SETTINGS)
    for setting in SETTINGS.values():
        assert setting.rule.has_type(setting.default)
        assert setting.rule.in_bounds(setting.default)
