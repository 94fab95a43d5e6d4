"""Validates a file of process settings or of a settings tree."""

from pathlib import Path

from sapphireway_state._problems import Invalid, Problem
from sapphireway_state._process import REQUIRED_SETTINGS, parse_process_settings
from sapphireway_state._yaml import parse_tree, parse_yaml, read_text


def check_file(path: Path | str) -> list[Problem]:
    """Return all problems of a file of process settings or of a settings tree.

    A file with any of the required keys of process settings is checked as process
    settings; any other file is checked as a tree.
    """
    text = read_text(path)
    if isinstance(text, Invalid):
        return list(text.problems)
    document = parse_yaml(text, str(path))
    if isinstance(document, Invalid):
        return list(document.problems)
    parse = (
        parse_process_settings if _is_process_settings(document.value) else parse_tree
    )
    result = parse(text, str(path))
    return list(result.problems) if isinstance(result, Invalid) else []


def _is_process_settings(value):
    return isinstance(value, dict) and not value.keys().isdisjoint(REQUIRED_SETTINGS)
