import json

import pytest

from sapphirectl._cli import main
from sapphirectl._stories import read_logs, tell_story

REFUSED = [
    {
        "event": "attempt_refused",
        "attempt": "a-1",
        "call": "r1",
        "reason": "deadline",
        "queued": 9,
        "time": "2026-06-20T19:00:20.069",
    },
    {
        "event": "call_ended",
        "call": "r1",
        "outcome": "NotRun",
        "elapsed_ms": 4.2,
        "decisions": [
            "first attempt a-1 sent to s1 in bxl-a, one of 1",
            "attempt a-1 at s1 ended NotRun after 4.0 ms deadline",
        ],
        "time": "2026-06-20T19:00:20.071",
    },
    {
        "event": "call_not_answered",
        "call": "r1",
        "outcome": "notrun",
        "reason": "deadline",
        "time": "2026-06-20T19:00:20.072",
    },
]
UNKNOWN = [
    {
        "event": "call_ended",
        "call": "r1",
        "outcome": "Unknown",
        "elapsed_ms": 1200.0,
        "decisions": [
            "first attempt a-1 sent to s1 in bxl-a, one of 2",
            "attempt a-1 at s1 silent for 1100.0 ms, asked never to start",
        ],
        "time": "2026-06-20T19:00:21.500",
    },
    {"event": "started", "address": "n1", "time": "2026-06-20T19:00:21.000"},
    {"event": "started", "address": "n1", "time": "2026-06-20T18:00:21.000"},
]
FAILED = [
    {
        "event": "attempt_served",
        "attempt": "a-1",
        "call": "r1",
        "outcome": "failed",
        "detail": "the answer lacks its signature",
        "time": "2026-06-20T19:00:20.000",
    },
    {
        "event": "call_ended",
        "call": "r1",
        "outcome": "Failed",
        "elapsed_ms": 30.0,
        "decisions": ["first attempt a-1 sent to s1 in bxl-a, one of 1"],
        "time": "2026-06-20T19:00:20.001",
    },
]
HEDGED = [
    {
        "event": "call_ended",
        "call": "r1",
        "outcome": "Answered",
        "elapsed_ms": 30.4,
        "decisions": [
            "first attempt a-1 sent to s1 in bxl-a, one of 2",
            "hedge attempt a-2 sent to s2 in lvn-a, one of 1",
            "no retry: budget",
        ],
        "time": "2026-06-20T19:00:20.000",
    }
]
OTHER = {"event": "call_ended", "call": "r2", "time": "2026-06-20T19:00:20.000"}


def write(folder, lines, before=""):
    file = folder / "n1.log"
    file.write_text("".join(f"{before}{json.dumps(line)}\n" for line in lines))
    return file


@pytest.mark.parametrize(
    ("lines", "cause"),
    [
        (REFUSED, "not run (deadline): refused by nodes, 1 x deadline, after 4 ms"),
        (REFUSED[1:2], "not run (reason not logged): no refusal was logged, after"),
        (UNKNOWN, "unknown: no answer from s1; a process started again meanwhile, "),
        (FAILED, "failed: the answer lacks its signature, after 30 ms"),
        (HEDGED, "answered; attempts: first, hedge; no retry: budget, after 30"),
        (REFUSED[:1], "attempt_refused: deadline; the entry node's decisions are"),
        (
            [{"event": "bad_request", "call": "r1", "detail": "no host"}],
            "could not be read: no host",
        ),
    ],
)
def test_cause_is_told_in_one_line(tmp_path, lines, cause):
    timed = [{"time": "2026-06-20T19:00:20.000"} | line for line in lines]
    story = tell_story(read_logs([write(tmp_path, [*timed, OTHER])]), "r1")
    assert story.cause.startswith(cause)


def test_story_is_in_order_of_time_and_names_its_source(tmp_path):
    logs = read_logs([write(tmp_path, reversed(REFUSED), "  1.25 node-7 ")])
    rows = tell_story(logs, "r1").rows
    assert [row.split()[3] for row in rows if not row.startswith(" ")] == [
        "attempt_refused",
        "call_ended",
        "call_not_answered",
    ]
    assert "1.25 node-7" in rows[0] and "queued=9" in rows[0]


def test_state_long_before_is_left_out(tmp_path):
    rows = tell_story(read_logs([write(tmp_path, UNKNOWN)]), "r1").rows
    assert sum(" started " in row for row in rows) == 1


def run_explain(*arguments):
    with pytest.raises(SystemExit) as ended:
        main(["explain", *map(str, arguments)])
    return ended.value.code


def test_command_explains_from_files_alone(tmp_path, capsys):
    lines = [REFUSED[0] | {"suppressed": 3}, *REFUSED[1:]]
    file = write(tmp_path, lines)
    file.write_text(file.read_text() + "Traceback\n")
    assert run_explain("r1", "--logs", file) == 0
    printed = capsys.readouterr()
    assert printed.out.startswith("r1: not run (deadline)")
    assert "1 lines are no log lines" in printed.err
    assert "dropped 3 lines" in printed.err


@pytest.mark.parametrize(
    ("arguments", "code", "told"),
    [
        (("r9", "--logs", "n1.log"), 4, "no line names request r9"),
        (("--logs", "n1.log"), 2, "needs the id"),
        (("r1", "--logs", "gone.log"), 4, "gone.log: No such file"),
    ],
)
def test_command_says_what_it_can_not_do(
    tmp_path, monkeypatch, capsys, arguments, code, told
):
    write(tmp_path, REFUSED)
    monkeypatch.chdir(tmp_path)
    assert run_explain(*arguments) == code
    assert told in capsys.readouterr().err
