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
derandomized = settings(
    derandomize=True, max_examples=150, deadline=None, database=None
)


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


@derandomized
@given(ANYTHING)
def test_tree_that_passes_check_can_be_resolved(tree):
    if not check_tree(tree):
        assert isinstance(SettingsView(tree, 1).resolve("a", "a", "x"), Policy)


@derandomized
@given(TREES)
def test_valid_tree_survives_yaml_round_trip(tree):
    assert check_tree(tree) == []
    document = parse_tree(dump_yaml(tree))
    assert document.value == tree
    views = SettingsView(tree, 1), SettingsView(document.value, 1)
    for kind in ("a", "other"):
        assert views[0].resolve("a", "b", kind) == views[1].resolve("a", "b", kind)


@derandomized
@given(TREES, TREES)
def test_list_operations_transforms_one_tree_into_other(before, after):
    assert apply_operations(before, list_operations(before, after)) == after


@derandomized
@given(TREES, TREES)
def test_incremental_check_equals_full_check(before, after):
    edited = apply_operations(before, list_operations(before, after))
    edited = apply_operations(edited, [SetValue("domains/a/weight", 1)])
    assert check_tree(edited, before) == check_tree(edited) != []


@derandomized
@given(st.text(alphabet="ab:-[]{}&*!'\"\n \t#?|>%@0.~", max_size=40))
def test_parse_yaml_never_raises(text):
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
def test_explain_path_accepts_nodes_and_settings(path, count):
    sources = explain_path(SettingsView({}, 0), path)
    assert (None if sources is None else len(sources)) == count
