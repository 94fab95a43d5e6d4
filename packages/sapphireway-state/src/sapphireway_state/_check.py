"""Checks a settings file of either kind."""

from pathlib import Path

from sapphireway_state._problems import Invalid, Problem
from sapphireway_state._process import REQUIRED, parse_process_settings
from sapphireway_state._yaml import parse_tree, parse_yaml, read_text


def check_file(path: Path | str) -> list[Problem]:
    """Return everything that is wrong with a process's settings or a tree.

    A file with any key that every process's settings have is taken for such;
    any other file is taken for a tree.
    """
    text = read_text(path)
    if isinstance(text, Invalid):
        return list(text.problems)
    document = parse_yaml(text, str(path))
    if isinstance(document, Invalid):
        return list(document.problems)
    parse = parse_process_settings if _is_process(document.value) else parse_tree
    result = parse(text, str(path))
    return list(result.problems) if isinstance(result, Invalid) else []


def _is_process(value):
    return isinstance(value, dict) and not value.keys().isdisjoint(REQUIRED)
