"""Reads YAML into plain data, with the line of every value."""

from pathlib import Path
from typing import Any

import msgspec
import yaml

from sapphireway_state._problems import Invalid, Problem, join_path, locate_problem
from sapphireway_state._tree import check_tree
from sapphireway_state._view import SettingsView

FILE_MAX_BYTES = 8 * 1024 * 1024
VALUES_MAX = 200_000
DEPTH_MAX = 32

ALLOWED_DOCUMENT = "one YAML document in UTF-8"
SCALAR_TAGS = frozenset(
    f"tag:yaml.org,2002:{name}" for name in ("bool", "float", "int", "null", "str")
)
COLLECTION_TAGS = frozenset(f"tag:yaml.org,2002:{name}" for name in ("map", "seq"))


class Document(msgspec.Struct, frozen=True):
    """Plain data read from YAML.

    Attributes
    ----------
    value : dict, list, str, int, float, bool or None
    lines : dict of str to int
        Line of each value by path.
    file : str
    """

    value: Any
    lines: dict[str, int]
    file: str

    def locate(self, problems: list[Problem]) -> Invalid:
        """Return the problems with their file and lines."""
        located = (
            locate_problem(problem, self.file, self.lines) for problem in problems
        )
        return Invalid(tuple(sorted(located, key=lambda problem: problem.line)))


def read_text(path: Path | str) -> str | Invalid:
    """Return the text of a settings file."""
    file = str(path)
    try:
        with open(path, "rb") as source:
            content = source.read(FILE_MAX_BYTES + 1)
    except OSError as error:
        wrong = f"cannot be read: {error.strerror}"
        return _make_invalid(file, 0, wrong, "a readable file")
    if len(content) > FILE_MAX_BYTES:
        allowed = f"at most {FILE_MAX_BYTES} bytes"
        return _make_invalid(file, 0, "is too large", allowed)
    try:
        return content.decode()
    except UnicodeDecodeError as error:
        line = content.count(b"\n", 0, error.start) + 1
        return _make_invalid(file, line, "is not UTF-8", ALLOWED_DOCUMENT)


def parse_yaml(text: str, file: str = "") -> Document | Invalid:
    """Parse a single YAML document.

    Besides invalid YAML, these are rejected: duplicate keys, aliases that contain
    themselves, tags, keys that are not strings, and documents that are nested too
    deeply or have too many values once aliases are expanded.
    """
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 1
        return _make_invalid(file, line, f"YAML: {error.problem}", ALLOWED_DOCUMENT)
    except yaml.YAMLError as error:
        wrong = "YAML: " + str(error).partition("\n")[0]
        return _make_invalid(file, 1, wrong, ALLOWED_DOCUMENT)
    except RecursionError:
        return _make_invalid(file, 1, "nests too deeply", f"at most {DEPTH_MAX} levels")
    reader = _Reader()
    value = {} if node is None else reader.read(node, ())
    document = Document(value, reader.lines, file)
    if reader.problems:
        return document.locate(reader.problems)
    return document


def parse_tree(text: str, file: str = "") -> Document | Invalid:
    """Parse and validate a settings tree."""
    document = parse_yaml(text, file)
    if isinstance(document, Invalid):
        return document
    problems = check_tree(document.value)
    if problems:
        return document.locate(problems)
    return document


def load_tree(path: Path | str, version: int = 0) -> SettingsView | Invalid:
    """Load and validate a settings tree from a YAML file."""
    text = read_text(path)
    if isinstance(text, Invalid):
        return text
    document = parse_tree(text, str(path))
    if isinstance(document, Invalid):
        return document
    return SettingsView(document.value, version)


def dump_yaml(value: Any) -> str:
    """Return plain data as YAML, with mappings in their own order."""
    return yaml.safe_dump(value, sort_keys=False, allow_unicode=True)


class _Reader:
    """Converts composed nodes to plain data; records lines and problems."""

    __slots__ = ("_ancestors", "_constructor", "_values", "lines", "problems")

    def __init__(self):
        self._constructor = yaml.constructor.SafeConstructor()
        self._ancestors = set()
        self._values = 0
        self.lines = {}
        self.problems = []

    def read(self, node, path):
        self.lines.setdefault(join_path(path), node.start_mark.line + 1)
        self._values += 1
        if self._values > VALUES_MAX:
            if self._values == VALUES_MAX + 1:
                self._add_problem(
                    path, "too many values", f"at most {VALUES_MAX} values"
                )
            return None
        if id(node) in self._ancestors:
            self._add_problem(
                path, "an alias contains itself", "aliases without a loop"
            )
            return None
        if len(path) > DEPTH_MAX:
            self._add_problem(path, "nests too deeply", f"at most {DEPTH_MAX} levels")
            return None
        if isinstance(node, yaml.ScalarNode):
            return self._read_scalar(node, path)
        if node.tag not in COLLECTION_TAGS:
            self._add_problem(path, f"unknown tag {node.tag!r}", "no tags")
            return None
        self._ancestors.add(id(node))
        try:
            if isinstance(node, yaml.MappingNode):
                return self._read_mapping(node, path)
            return self._read_list(node, path)
        finally:
            self._ancestors.discard(id(node))

    def _read_scalar(self, node, path):
        if node.tag not in SCALAR_TAGS:
            name = node.tag.rpartition(":")[2]
            self._add_problem(
                path,
                f"{node.value!r} is read as {name}",
                "string, number, true, false or null; quote what is a string",
            )
            return None
        try:
            return self._constructor.construct_object(node)
        except (ValueError, yaml.YAMLError):
            self._add_problem(path, f"{node.value!r} cannot be read", "a valid scalar")
            return None

    def _read_list(self, node, path):
        return [
            self.read(item, (*path, str(index)))
            for index, item in enumerate(node.value)
        ]

    def _read_mapping(self, node, path):
        mapping = {}
        for key_node, value_node in node.value:
            key = self._read_key(key_node, path)
            if key is None:
                continue
            child_path = (*path, key)
            if key in mapping:
                first = self.lines[join_path(child_path)]
                self._add_problem(
                    child_path,
                    f"duplicate key {key!r}, first on line {first}",
                    "each key once",
                    key_node.start_mark.line + 1,
                )
                continue
            self.lines[join_path(child_path)] = key_node.start_mark.line + 1
            mapping[key] = self.read(value_node, child_path)
        return mapping

    def _read_key(self, node, path):
        if isinstance(node, yaml.ScalarNode) and node.tag.endswith(":str"):
            return node.value
        shown = node.value if isinstance(node, yaml.ScalarNode) else "a collection"
        self._add_problem(
            path,
            f"the key {shown!r} is not a string",
            "keys that are strings; quote words such as 'no' and numbers",
            node.start_mark.line + 1,
        )
        return None

    def _add_problem(self, path, wrong, allowed, line=0):
        self.problems.append(Problem(join_path(path), wrong, allowed, line=line))


def _make_invalid(file, line, wrong, allowed):
    return Invalid((Problem("", wrong, allowed, file, line),))
