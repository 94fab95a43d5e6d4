"""What log files tell of one request, in order, and what it came to."""

import collections
import json
import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

NEARBY = timedelta(seconds=2)  # a state that changed earlier shows in the decisions
STATE_EVENTS = frozenset(
    (
        "started",
        "stopping",
        "stopped",
        "task_failed",
        "gate_changed",
        "relapse_seen",
        "member_ejected",
        "server_leaves",
    )
)
SENT = re.compile(r"(\w+) attempt (\S+) sent to (\S+) in (\S+),")
SILENT = re.compile(r"attempt (\S+) at (\S+) silent")
DENIED = re.compile(r"no (retry|hedge): (.+)")
HIDDEN = frozenset(("time", "level", "event", "call", "decisions", "digest", "trace"))


@dataclass(slots=True, frozen=True)
class Line:
    """One line of a log.

    Attributes
    ----------
    source : str
        What stands before the JSON object, or the file's name.
    time : datetime
    event : str
    fields : dict
        All of the object.
    """

    source: str
    time: datetime
    event: str
    fields: dict[str, Any] = field(repr=False)


@dataclass(slots=True, frozen=True)
class Logs:
    """What was read from log files.

    Attributes
    ----------
    lines : sequence of Line
        In order of time.
    unreadable : int
        Lines that are no log lines.
    suppressed : int
        Lines that the processes say they dropped.
    """

    lines: Sequence[Line]
    unreadable: int
    suppressed: int


@dataclass(slots=True, frozen=True)
class Story:
    """What is known of one request.

    Attributes
    ----------
    cause : str
        One line.
    rows : sequence of str
        Decisions and changes of state, in order.
    """

    cause: str
    rows: Sequence[str]


def read_logs(files: Iterable[Path]) -> Logs:
    """Read log files.

    Raises
    ------
    OSError
        If a file can't be read.
    """
    lines, unreadable = [], 0
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as opened:
            for text in opened:
                line = _parse(text, file.name)
                if line is not None:
                    lines.append(line)
                elif text.strip():
                    unreadable += 1
    lines.sort(key=lambda line: line.time)
    suppressed = sum(line.fields.get("suppressed", 0) for line in lines)
    return Logs(lines, unreadable, suppressed)


def tell_story(logs: Logs, request: str) -> Story | None:
    """Return what the logs know of a request; None if they don't name it."""
    own = [line for line in logs.lines if line.fields.get("call") == request]
    if not own:
        return None
    decisions = [d for line in own for d in line.fields.get("decisions", ())]
    sent = [match for match in map(SENT.match, decisions) if match]
    attempts = {match[2] for match in sent}
    attempts |= {line.fields["attempt"] for line in own if "attempt" in line.fields}
    servers = {match[3] for match in sent}
    about = [
        line
        for line in logs.lines
        if line.fields.get("call") == request
        or line.fields.get("attempt") in attempts
        or _is_nearby(line, own, servers)
    ]
    rows = [row for line in about for row in _describe(line)]
    return Story(_find_cause(about, decisions), rows)


def _parse(text, name):
    before, brace, rest = text.partition("{")
    try:
        fields = json.loads(brace + rest)
        time = datetime.fromisoformat(fields["time"])
        event = fields["event"]
    except (ValueError, KeyError, TypeError):
        return None
    return Line(before.strip() or name, time, event, fields)


def _is_nearby(line, own, servers):
    if line.event not in STATE_EVENTS:
        return False
    if not own[0].time - NEARBY <= line.time <= own[-1].time:
        return False
    server = line.fields.get("server")
    sources = {told.source for told in own}
    return server in servers if server else line.source in sources


def _describe(line):
    head = f"{line.time.isoformat(timespec='milliseconds')} {line.source} {line.event}"
    told = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in HIDDEN and value not in ("", None)
    )
    yield f"{head} {told}".rstrip()
    for decision in line.fields.get("decisions", ()):
        yield f"    {decision}"


def _find_cause(about, decisions):
    by_event = collections.defaultdict(list)
    for line in about:
        by_event[line.event].append(line.fields)
    if "bad_request" in by_event:
        return f"could not be read: {by_event['bad_request'][0].get('detail', '')}"
    if "call_ended" not in by_event:
        return _find_partial_cause(by_event)
    ended = by_event["call_ended"][-1]
    find = _CAUSES.get(ended["outcome"], _find_failure)
    return f"{find(by_event, decisions)}, after {ended['elapsed_ms']:.0f} ms"


def _find_refusal(by_event, decisions):
    reasons = collections.Counter(r["reason"] for r in by_event["attempt_refused"])
    final = next((f["reason"] for f in by_event["call_not_answered"]), "")
    if not reasons:
        asked = "no refusal was logged" if decisions else "no server was asked"
        return f"not run ({final or 'reason not logged'}): {asked}"
    counts = ", ".join(f"{count} x {reason}" for reason, count in reasons.most_common())
    return f"not run ({final or 'reason not logged'}): refused by nodes, {counts}"


def _find_silence(by_event, decisions):
    silent = [match[2] for match in map(SILENT.match, decisions) if match]
    broken = [s["detail"] for s in by_event["attempt_served"] if s.get("detail")]
    restarts = len(by_event["started"])
    text = f"unknown: no answer from {', '.join(dict.fromkeys(silent)) or 'its server'}"
    if broken:
        text += f" ({broken[-1]})"
    return text + ("; a process started again meanwhile" if restarts else "")


def _find_failure(by_event, decisions):
    details = [f.get("detail", "") for f in by_event["call_not_answered"]]
    details += [s.get("detail", "") for s in by_event["attempt_served"]]
    return f"failed: {next(filter(None, details), 'no detail was logged')}"


def _find_detour(by_event, decisions):
    causes = [match[1] for match in map(SENT.match, decisions) if match]
    denied = [match[0] for match in map(DENIED.match, decisions) if match]
    text = f"answered; attempts: {', '.join(causes) or 'none logged'}"
    return text + (f"; {denied[0]}" if denied else "")


def _find_partial_cause(by_event):
    for name in ("call_not_answered", "attempt_refused", "attempt_served"):
        for told in by_event[name]:
            detail = told.get("reason") or told.get("detail") or told.get("outcome")
            return f"{name}: {detail}; the entry node's decisions are not in these logs"
    return "the entry node's decisions are not in these logs"


_CAUSES = {
    "NotRun": _find_refusal,
    "Unknown": _find_silence,
    "Failed": _find_failure,
    "Answered": _find_detour,
}
