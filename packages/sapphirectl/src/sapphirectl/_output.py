"""Output of results as a table, JSON or YAML, and of messages."""

import json
import sys
import time
from collections.abc import Sequence
from typing import Any

import msgspec

from sapphirectl._exits import ExitCode, Failure
from sapphirectl._options import OutputFormat
from sapphireway_state import dump_yaml


def print_result(value: Any, output: OutputFormat) -> ExitCode:
    """Print a result; for ``table``, only lists of objects become a table."""
    plain = msgspec.to_builtins(value)
    if output == "json":
        text = json.dumps(plain, indent=2, ensure_ascii=False)
    elif output == "yaml" or isinstance(plain, dict):
        text = dump_yaml(plain)
    elif isinstance(plain, list) and all(isinstance(row, dict) for row in plain):
        text = format_table(plain)
    else:
        text = _format_cell(plain)
    print(text.rstrip("\n"))
    return ExitCode.OK


def report_failure(failure: Failure) -> ExitCode:
    """Print the reason of a failure to stderr and return its exit code."""
    print(failure.detail, file=sys.stderr)
    return failure.code


def print_message(text: str) -> None:
    """Print a message or progress to stderr, so that stdout has results only."""
    print(text, file=sys.stderr, flush=True)


def format_table(rows: Sequence[dict[str, Any]]) -> str:
    """Return rows as aligned columns, one for each key that occurs."""
    if not rows:
        return "(none)"
    names = list(dict.fromkeys(name for row in rows for name in row))
    cells = [[name.upper() for name in names]]
    cells += [[_format_cell(row.get(name)) for name in names] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def format_time(time_s: float) -> str:
    """Return seconds since the epoch as a UTC date and time."""
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(time_s))


def _format_cell(value):
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    if isinstance(value, (list, dict)):
        return json.dumps(value, ensure_ascii=False)
    return str(value)
