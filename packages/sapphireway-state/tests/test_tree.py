import hypothesis.strategies as st
import pytest
from hypothesis import given, settings

from sapphireway_state import (
    SETTINGS,
    Document,
    Policy,
    SettingsView,
    SetValue,
    apply_operations,
    check_tree,
    dump_yaml,
    explain_path,
    list_operations,
    parse_tree,
    parse_yaml,
)

NAMES = ("a", "b")
seeded = settings(derandomize=True, max_examples=150, deadline=None, database=None)


def make_settings(*names):
    values = {name: st.just(SETTINGS[name].default) for name in names}
    values |= {name: st.integers(1, 90) for name in names if name != "out"}
    return st.fixed_dictionaries({}, optional=values)


def add_children(node, level, child):
    children = st.dictionaries(st.sampled_from(NAMES), child, max_size=2)
    return st.builds(
        lambda own, below: own | ({level: below} if below else {}), node, children
    )


KINDS = make_settings("weight", "deadline_ms", "trace_percent")
SERVICES = add_children(make_settings("queue_limit", "weight"), "kinds", KINDS)
DOMAINS = make_settings("out", "queue_limit", "deadline_max_ms")
TREES = add_children(
    add_children(
        add_children(make_settings("deadline_ms"), "services", SERVICES),
        "domains",
        DOMAINS,
    ),
    "servers",
    make_settings("out"),
)

KEYS = st.sampled_from(
    [*SETTINGS, "domains", "services", "kinds", "servers", "match", "paths", "x", ""]
) | st.integers(0, 1)
ANYTHING = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=3),
    lambda below: (
        st.lists(below, max_size=3) | st.dictionaries(KEYS, below, max_size=3)
    ),
    max_leaves=8,
)


@seeded
@given(ANYTHING)
def test_check_never_raises_and_what_it_passes_resolves(tree):
    if not check_tree(tree):
        assert isinstance(SettingsView(tree, 1).resolve("a", "a", "x"), Policy)


@seeded
@given(TREES)
def test_valid_tree_survives_yaml_and_resolves_the_same(tree):
    assert check_tree(tree) == []
    document = parse_tree(dump_yaml(tree))
    assert document.value == tree
    views = SettingsView(tree, 1), SettingsView(document.value, 1)
    for kind in ("a", "other"):
        assert views[0].resolve("a", "b", kind) == views[1].resolve("a", "b", kind)


@seeded
@given(TREES, TREES)
def test_listed_operations_lead_from_one_tree_to_the_other(before, after):
    assert apply_operations(before, list_operations(before, after)) == after


@seeded
@given(TREES, TREES)
def test_check_after_an_edit_finds_what_a_whole_check_finds(before, after):
    edited = apply_operations(before, list_operations(before, after))
    edited = apply_operations(edited, [SetValue("domains/a/weight", 1)])
    assert check_tree(edited, before) == check_tree(edited) != []


@seeded
@given(st.text(alphabet="ab:-[]{}&*!'\"\n \t#?|>%@0.~", max_size=40))
def test_reader_never_raises(text):
    result = parse_yaml(text, "t")
    if not isinstance(result, Document):
        assert all(problem.line and problem.wrong for problem in result.problems)


@pytest.mark.parametrize(
    ("path", "count"),
    [
        ("", len(SETTINGS)),
        ("weight", 1),
        ("domains/a", len(SETTINGS)),
        ("domains/a/services/s/kinds/k/weight", 1),
        ("services/s/kinds/k", len(SETTINGS)),
        ("domains", None),
        ("kinds/k", None),
        ("services/s/match", None),
        ("domains/a/domains/b", None),
        ("servers/s1", None),
    ],
)
def test_explain_path_knows_nodes_and_settings(path, count):
    sources = explain_path(SettingsView({}, 0), path)
    assert (None if sources is None else len(sources)) == count
