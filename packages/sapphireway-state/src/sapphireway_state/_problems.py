"""What is wrong with settings, as values."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

Path = tuple[str, ...]
"""Names from the root to a value."""


@dataclass(slots=True, frozen=True)
class Problem:
    """One thing that is wrong with settings.

    Attributes
    ----------
    path : str
        Names from the root to the value, joined by ``/``; empty for the root.
    wrong : str
        What was wrong.
    allowed : str
        What is allowed there.
    file : str
        File that the value came from, if any.
    line : int
        Line in `file`, from 1; 0 if unknown.
    """

    path: str
    wrong: str
    allowed: str
    file: str = ""
    line: int = 0


@dataclass(slots=True, frozen=True)
class Invalid:
    """Settings that were refused as a whole.

    Attributes
    ----------
    problems : tuple of Problem
        At least one.
    """

    problems: tuple[Problem, ...]


def join_path(path: Path) -> str:
    """Return the text form of a path."""
    return "/".join(path)


def locate_problem(problem: Problem, file: str, lines: Mapping[str, int]) -> Problem:
    """Return `problem` with its file and line.

    A value that is missing has no line, so that of its closest parent is given.
    """
    if problem.line:
        return replace(problem, file=file)
    path = problem.path
    while path and path not in lines:
        path = path.rpartition("/")[0]
    return replace(problem, file=file, line=lines.get(path, 1))


def format_problem(problem: Problem) -> str:
    """Return one line for people: ``file:line: path: wrong; allowed: ...``."""
    place = f"{problem.file}:{problem.line}: " if problem.file else ""
    path = problem.path or "(root)"
    return f"{place}{path}: {problem.wrong}; allowed: {problem.allowed}"
