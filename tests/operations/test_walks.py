"""The walks of docs/OPERATIONS.md still come out as the page says."""

import re
import shlex
from pathlib import Path

import pytest

from sapphirectl._cli import main

FOLDER = Path(__file__).parent
PAGE = FOLDER.parents[1] / "docs/OPERATIONS.md"
LOGS = "LOGS"
WALK = re.compile(r"^    \$ (sapphirectl explain .*)\n((?:    .*\n)+)", re.MULTILINE)
WALKS = WALK.findall(PAGE.read_text())


def test_page_walks_through_three_kinds_of_failure():
    causes = [shown.splitlines()[0].split(": ")[1] for _, shown in WALKS]
    kinds = ("not run", "unknown", "answered")
    assert [
        kind for kind in kinds if any(cause.startswith(kind) for cause in causes)
    ] == list(kinds)


@pytest.mark.parametrize(("command", "shown"), WALKS)
def test_walk_comes_out_as_shown(command, shown, capsys):
    """The page may shorten: `…` stands for anything, lines may be left out."""
    arguments = shlex.split(command.replace(LOGS, str(FOLDER / "day.log")))
    with pytest.raises(SystemExit) as ended:
        main(arguments[1:])
    assert ended.value.code == 0
    printed = iter(capsys.readouterr().out.splitlines())
    for line in shown.splitlines():
        pattern = ".*".join(map(re.escape, line.strip().split("…")))
        assert any(re.search(pattern, text) for text in printed), line
