import pytest

from sapphireway_state import Invalid, format_problem, load_tree, parse_tree

INVALID_TREES = {
    "unknown key": (
        "weigth: 1",
        "t:1: weigth: unknown key 'weigth' (did you mean 'weight'?)",
        "any of weight",
    ),
    "wrong type": ("\nweight: '5'", "t:2: weight: '5' is not an integer", "1 to 100"),
    "boolean as integer": ("weight: true", "True is not an integer", "1 to 100"),
    "out of bounds": ("weight: 0", "weight: 0 is out of bounds", "integer 1 to 100"),
    "not a number": ("panic_percent: .nan", "nan is not a number", "0 to 100 percent"),
    "unit in value": ("deadline_ms: 2s", "'2s' is not an integer", "3600000 ms"),
    "duplicate key": (
        "weight: 1\nweight: 2",
        "t:2: weight: duplicate key 'weight', first on line 1",
        "each key once",
    ),
    "loop": ("domains: &d\n  a: *d", "t:2: domains/a: an alias", "without a loop"),
    "undefined alias": ("a: *b", "t:1: (root): YAML: found undefined alias", "YAML"),
    "tag": ("weight: !!python/name:os.x ''", "t:1: weight: '' is read", "string"),
    "tag of a mapping": ("domains: !!set {a}", "unknown tag", "no tags"),
    "key no": ("domains:\n  no: {}", "t:2: domains: the key 'no'", "quote words"),
    "date": ("weight: 2020-01-01", "is read as timestamp", "quote"),
    "not a mapping": ("domains: [a]", "domains: ['a'] is not a mapping", "mapping"),
    "list as root": ("- 1", "(root): [1] is not a mapping", "any of weight"),
    "bad indent": ("a: 1\n  b: 2", "t:2: (root): YAML: mapping values", "one YAML"),
    "two documents": ("a: 1\n---\nb: 1", "t:2: (root): YAML: but found", "one YAML"),
    "control character": ("a: \x00", "YAML: ", "one YAML"),
    "deep": ("[" * 40 + "]" * 40, "nests too deeply", "at most 32 levels"),
    "very deep": ("[" * 5_000, "nests too deeply", "at most 32 levels"),
    "bomb": (
        "a0: &a0 [1,1,1,1,1,1,1,1,1]\n"
        + "".join(f"a{i + 1}: &a{i + 1} [{f'*a{i},' * 9}]\n" for i in range(9)),
        "too many values",
        "at most 200000 values",
    ),
    "name": ("domains: {a/b: {}}", "'a/b' is not a name", "1 to 128 of A-Z"),
    "wrong level": (
        "services:\n  s:\n    out: true",
        "t:3: services/s/out: 'out' cannot be set here, only at: domain, server",
        "any of idempotent",
    ),
    "weight below domain": (
        "services: {s: {}}\ndomains: {d: {services: {s: {weight: 1}}}}",
        "t:2: domains/d/services/s/weight: 'weight' cannot be set here",
        "any of",
    ),
    "undeclared service": (
        "domains: {d: {services: {s: {}}}}",
        "domains/d/services/s: service 's' is not declared",
        "declared under services",
    ),
    "undeclared kind": (
        "services: {s: {}}\ndomains: {d: {services: {s: {kinds: {k: {}}}}}}",
        "kind 'k' is not declared",
        "services/s/kinds",
    ),
    "reserved kind": (
        "services: {s: {kinds: {other: {}}}}",
        "the kind name 'other' is taken",
        "another name",
    ),
    "same match": (
        "services:\n  s:\n    kinds:\n      a: {match: {methods: [GET], paths: [/x]}}\n"
        "      b: {match: {methods: [GET], paths: [/x]}}",
        "t:5: services/s/kinds/b/match: GET /x is matched by kind 'a' too",
        "no other kind",
    ),
    "same prefix": (
        "services: {s: {match: {path_prefixes: [/x]}},"
        " t: {match: {path_prefixes: [/x/]}}}",
        "services/t/match/path_prefixes: '/x/' is that of service 's' too",
        "no other service",
    ),
    "match key": ("services: {s: {match: {path: /x}}}", "unknown key 'path'", "hosts"),
    "path": (
        "services: {s: {match: {path_prefixes: [x]}}}",
        "['x'] is not valid",
        "from /",
    ),
}


@pytest.mark.parametrize(
    ("text", "wrong", "allowed"), INVALID_TREES.values(), ids=INVALID_TREES.keys()
)
def test_invalid_tree_is_reported_with_location_and_allowed_values(
    text, wrong, allowed
):
    result = parse_tree(text, "t")
    assert isinstance(result, Invalid)
    lines = [format_problem(problem) for problem in result.problems]
    found = [line for line in lines if wrong in line]
    assert found, lines
    assert allowed in found[0].partition("; allowed: ")[2]


def test_all_problems_of_a_file_are_reported():
    result = parse_tree("weight: 0\ndomains: {a: {out: 1}}\nx: 1", "t")
    assert [problem.line for problem in result.problems] == [1, 2, 3]


def test_alias_without_loop_is_read():
    tree = parse_tree("domains: {a: &a {queue_limit: 3}, b: *a}").value
    assert tree["domains"]["b"] == {"queue_limit": 3}


def test_empty_file_is_an_empty_tree(tmp_path):
    path = tmp_path / "tree.yaml"
    path.write_text("# nothing yet\n")
    assert load_tree(path, 3).version == 3


@pytest.mark.parametrize(
    ("content", "wrong"),
    [
        (None, "cannot be read"),
        (b"a: \xff", "is not UTF-8"),
        (b"#" * 9_000_000, "large"),
    ],
    ids=["missing", "encoding", "size"],
)
def test_unreadable_file_is_reported(tmp_path, content, wrong):
    path = tmp_path / "tree.yaml"
    if content is not None:
        path.write_bytes(content)
    result = load_tree(path)
    assert wrong in result.problems[0].wrong
    assert result.problems[0].file == str(path)
