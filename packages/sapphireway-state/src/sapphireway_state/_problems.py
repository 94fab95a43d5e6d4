"""Problems that validation finds in settings."""

from collections.abc import Mapping

import msgspec

TreePath = tuple[str, ...]
"""Names from the root to a value."""


class Problem(msgspec.Struct, frozen=True):
    """One validation error.

    Attributes
    ----------
    path : str
        Names from the root to the value, joined with ``/``; empty for the root.
    wrong : str
        What is wrong.
    allowed : str
        Which values are allowed.
    file : str
        File that contains the value, if any.
    line : int
        Line in `file`, from 1; 0 if unknown.
    """

    path: str
    wrong: str
    allowed: str
    file: str = ""
    line: int = 0


class Invalid(msgspec.Struct, frozen=True):
    """Settings that were rejected as a whole.

    Attributes
    ----------
    problems : tuple of Problem
        At least one.
    """

    problems: tuple[Problem, ...]


def join_path(path: TreePath) -> str:
    """Return the text form of a path."""
    return "/".join(path)


def locate_problem(problem: Problem, file: str, lines: Mapping[str, int]) -> Problem:
    """Return `problem` with its file and line.

    A missing value has no line and gets the line of its closest parent.
    """
    if problem.line:
        return msgspec.structs.replace(problem, file=file)
    path = problem.path
    while path and path not in lines:
        path = path.rpartition("/")[0]
    return msgspec.structs.replace(problem, file=file, line=lines.get(path, 1))


def format_problem(problem: Problem) -> str:
    """Return a one-line message: ``file:line: path: wrong; allowed: ...``."""
    place = f"{problem.file}:{problem.line}: " if problem.file else ""
    path = problem.path or "(root)"
    return f"{place}{path}: {problem.wrong}; allowed: {problem.allowed}"
