"""Checks that the examples in docs/OPERATIONS.md produce the output shown there."""

import re
import shlex
from pathlib import Path

import pytest

from sapphirectl._cli import main

FOLDER = Path(__file__).parent
PAGE = FOLDER.parents[1] / "docs/OPERATIONS.md"
LOGS_PLACEHOLDER = "LOGS"
EXAMPLE = re.compile(r"^    \$ (sapphirectl explain .*)\n((?:    .*\n)+)", re.MULTILINE)
EXAMPLES = EXAMPLE.findall(PAGE.read_text())


def test_page_has_example_of_each_failure_kind():
    causes = [expected.splitlines()[0].split(": ")[1] for _, expected in EXAMPLES]
    kinds = ("not run", "unknown", "answered")
    assert [
        kind for kind in kinds if any(cause.startswith(kind) for cause in causes)
    ] == list(kinds)


@pytest.mark.parametrize(("command", "expected"), EXAMPLES)
def test_example_output_matches_page(command, expected, capsys):
    """On the page, `…` stands for any text, and lines may be left out."""
    arguments = shlex.split(command.replace(LOGS_PLACEHOLDER, str(FOLDER / "day.log")))
    with pytest.raises(SystemExit) as ended:
        main(arguments[1:])
    assert ended.value.code == 0
    printed = iter(capsys.readouterr().out.splitlines())
    for line in expected.splitlines():
        pattern = ".*".join(map(re.escape, line.strip().split("…")))
        assert any(re.search(pattern, text) for text in printed), line
