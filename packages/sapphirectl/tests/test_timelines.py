import json

import pytest

from sapphirectl._cli import main
from sapphirectl._timelines import build_timeline, read_logs

NOT_RUN_LINES = [
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
UNKNOWN_LINES = [
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
FAILED_LINES = [
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
HEDGED_LINES = [
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
OTHER_LINE = {"event": "call_ended", "call": "r2", "time": "2026-06-20T19:00:20.000"}


def write_log(folder, lines, prefix=""):
    file = folder / "n1.log"
    file.write_text("".join(f"{prefix}{json.dumps(line)}\n" for line in lines))
    return file


@pytest.mark.parametrize(
    ("lines", "cause"),
    [
        (
            NOT_RUN_LINES,
            "not run (deadline): refused by nodes, 1 x deadline, after 4 ms",
        ),
        (
            NOT_RUN_LINES[1:2],
            "not run (reason not logged): no refusal was logged, after",
        ),
        (
            UNKNOWN_LINES,
            "unknown: no answer from s1; a process started again meanwhile, ",
        ),
        (FAILED_LINES, "failed: the answer lacks its signature, after 30 ms"),
        (HEDGED_LINES, "answered; attempts: first, hedge; no retry: budget, after 30"),
        (
            NOT_RUN_LINES[:1],
            "attempt_refused: deadline; the entry node's decisions are",
        ),
        (
            [{"event": "bad_request", "call": "r1", "detail": "no host"}],
            "could not be read: no host",
        ),
        (
            [
                {
                    "event": "bad_request",
                    "call": "r1",
                    "status": 401,
                    "detail": "no workspace has the API key in Api-Key",
                    "key_digest": "0123456789ab",
                }
            ],
            "refused: no workspace has the API key in Api-Key, key sha256 0123456789ab",
        ),
        (
            [
                {
                    "event": "call_unadmitted",
                    "call": "r1",
                    "reason": "unconfirmed",
                    "detail": "no control host answered",
                }
            ],
            "not run (unconfirmed): no control host answered",
        ),
    ],
)
def test_cause_of_outcome(tmp_path, lines, cause):
    timed_lines = [{"time": "2026-06-20T19:00:20.000"} | line for line in lines]
    timeline = build_timeline(
        read_logs([write_log(tmp_path, [*timed_lines, OTHER_LINE])]), "r1"
    )
    assert timeline.cause.startswith(cause)


def test_timeline_is_chronological_with_sources(tmp_path):
    logs = read_logs([write_log(tmp_path, reversed(NOT_RUN_LINES), "  1.25 node-7 ")])
    rows = build_timeline(logs, "r1").rows
    assert [row.split()[3] for row in rows if not row.startswith(" ")] == [
        "attempt_refused",
        "call_ended",
        "call_not_answered",
    ]
    assert "1.25 node-7" in rows[0] and "queued=9" in rows[0]


def test_timeline_omits_earlier_state_change(tmp_path):
    rows = build_timeline(read_logs([write_log(tmp_path, UNKNOWN_LINES)]), "r1").rows
    assert sum(" started " in row for row in rows) == 1


def run_explain(*arguments):
    with pytest.raises(SystemExit) as ended:
        main(["explain", *map(str, arguments)])
    return ended.value.code


def test_explain_from_log_files(tmp_path, capsys):
    lines = [NOT_RUN_LINES[0] | {"suppressed": 3}, *NOT_RUN_LINES[1:]]
    file = write_log(tmp_path, lines)
    file.write_text(file.read_text() + "Traceback\n")
    assert run_explain("r1", "--logs", file) == 0
    printed = capsys.readouterr()
    assert printed.out.startswith("r1: not run (deadline)")
    assert "skipped 1 lines that are not log lines" in printed.err
    assert "dropped 3 lines" in printed.err


@pytest.mark.parametrize(
    ("arguments", "code", "message"),
    [
        (("r9", "--logs", "n1.log"), 4, "no line names request r9"),
        (("--logs", "n1.log"), 2, "needs the id"),
        (("r1", "--logs", "gone.log"), 4, "gone.log: No such file"),
    ],
)
def test_explain_from_log_files_error(
    tmp_path, monkeypatch, capsys, arguments, code, message
):
    write_log(tmp_path, NOT_RUN_LINES)
    monkeypatch.chdir(tmp_path)
    assert run_explain(*arguments) == code
    assert message in capsys.readouterr().err
