"""Timeline and outcome of one request, reconstructed from log files."""

import collections
import json
import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

from sapphireway_protocol import DECODE_ERRORS

STATE_WINDOW = timedelta(seconds=2)  # earlier state changes show in the decisions
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
SENT_PATTERN = re.compile(r"(\w+) attempt (\S+) sent to (\S+) in (\S+),")
SILENT_PATTERN = re.compile(r"attempt (\S+) at (\S+) silent")
DENIED_PATTERN = re.compile(r"no (retry|hedge): (.+)")
UNAUTHORIZED = 401  # no valid API key
HIDDEN_FIELDS = frozenset(
    ("time", "level", "event", "call", "decisions", "digest", "trace")
)


@dataclass(slots=True, frozen=True)
class LogLine:
    """One log line.

    Attributes
    ----------
    source : str
        Text before the JSON object, or else the name of the file.
    time : datetime
    event : str
    fields : dict
        All keys of the JSON object.
    """

    source: str
    time: datetime
    event: str
    fields: dict[str, Any] = field(repr=False)


@dataclass(slots=True, frozen=True)
class Logs:
    """Contents of log files.

    Attributes
    ----------
    lines : sequence of LogLine
        In chronological order.
    unreadable : int
        Number of lines that are not log lines.
    suppressed : int
        Number of lines that the processes report as dropped.
    """

    lines: Sequence[LogLine]
    unreadable: int
    suppressed: int


@dataclass(slots=True, frozen=True)
class Timeline:
    """Log lines about one request.

    Attributes
    ----------
    cause : str
        How the request ended, and why; one line.
    rows : sequence of str
        Decisions and state changes in chronological order.
    """

    cause: str
    rows: Sequence[str]


def read_logs(files: Iterable[Path]) -> Logs:
    """Read and sort the lines of log files.

    Raises
    ------
    OSError
        If a file can't be read.
    """
    lines, unreadable = [], 0
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as opened:
            for text in opened:
                line = _parse_line(text, file.name)
                if line is not None:
                    lines.append(line)
                elif text.strip():
                    unreadable += 1
    lines.sort(key=lambda line: line.time)
    suppressed = sum(line.fields.get("suppressed", 0) for line in lines)
    return Logs(lines, unreadable, suppressed)


def build_timeline(logs: Logs, request: str) -> Timeline | None:
    """Return the timeline of a request; None if no log line names it."""
    request_lines = [line for line in logs.lines if line.fields.get("call") == request]
    if not request_lines:
        return None
    decisions = [d for line in request_lines for d in line.fields.get("decisions", ())]
    sent = [match for match in map(SENT_PATTERN.match, decisions) if match]
    attempts = {match[2] for match in sent}
    attempts |= {
        line.fields["attempt"] for line in request_lines if "attempt" in line.fields
    }
    servers = {match[3] for match in sent}
    relevant_lines = [
        line
        for line in logs.lines
        if line.fields.get("call") == request
        or line.fields.get("attempt") in attempts
        or _is_nearby_state_change(line, request_lines, servers)
    ]
    rows = [row for line in relevant_lines for row in _format_line(line)]
    return Timeline(_find_cause(relevant_lines, decisions), rows)


def _parse_line(text, name):
    prefix, brace, body = text.partition("{")
    try:
        fields = json.loads(brace + body)
        # Only times without a zone can be compared with each other.
        time = datetime.fromisoformat(fields["time"]).replace(tzinfo=None)
        event = fields["event"]
    except (KeyError, *DECODE_ERRORS):
        return None
    if not isinstance(event, str):
        return None
    return LogLine(prefix.strip() or name, time, event, fields)


def _is_nearby_state_change(line, request_lines, servers):
    if line.event not in STATE_EVENTS:
        return False
    if not request_lines[0].time - STATE_WINDOW <= line.time <= request_lines[-1].time:
        return False
    server = line.fields.get("server")
    sources = {own.source for own in request_lines}
    return server in servers if server else line.source in sources


def _format_line(line):
    head = f"{line.time.isoformat(timespec='milliseconds')} {line.source} {line.event}"
    field_list = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in HIDDEN_FIELDS and value not in ("", None)
    )
    yield f"{head} {field_list}".rstrip()
    for decision in line.fields.get("decisions", ()):
        yield f"    {decision}"


def _find_cause(relevant_lines, decisions):
    by_event = collections.defaultdict(list)
    for line in relevant_lines:
        by_event[line.event].append(line.fields)
    if "bad_request" in by_event:
        return _explain_bad_request(by_event["bad_request"][0])
    if "call_unadmitted" in by_event and "call_ended" not in by_event:
        unadmitted = by_event["call_unadmitted"][-1]
        return f"not run ({unadmitted['reason']}): {unadmitted['detail']}"
    if "call_ended" not in by_event:
        return _find_cause_without_end(by_event)
    ended = by_event["call_ended"][-1]
    explain = _EXPLAINERS.get(ended["outcome"], _explain_failed)
    return f"{explain(by_event, decisions)}, after {ended['elapsed_ms']:.0f} ms"


def _explain_bad_request(fields):
    detail = fields.get("detail", "")
    if fields.get("status") != UNAUTHORIZED:
        return f"could not be read: {detail}"
    digest = fields.get("key_digest")
    return f"refused: {detail}" + (f", key sha256 {digest}..." if digest else "")


def _explain_not_run(by_event, decisions):
    reasons = collections.Counter(r["reason"] for r in by_event["attempt_refused"])
    final_reason = next((f["reason"] for f in by_event["call_not_answered"]), "")
    if not reasons:
        refusals = "no refusal was logged" if decisions else "no server was asked"
        return f"not run ({final_reason or 'reason not logged'}): {refusals}"
    counts = ", ".join(f"{count} x {reason}" for reason, count in reasons.most_common())
    return (
        f"not run ({final_reason or 'reason not logged'}): refused by nodes, {counts}"
    )


def _explain_unknown(by_event, decisions):
    silent = [match[2] for match in map(SILENT_PATTERN.match, decisions) if match]
    served_errors = [s["detail"] for s in by_event["attempt_served"] if s.get("detail")]
    restarts = len(by_event["started"])
    text = f"unknown: no answer from {', '.join(dict.fromkeys(silent)) or 'its server'}"
    if served_errors:
        text += f" ({served_errors[-1]})"
    return text + ("; a process started again meanwhile" if restarts else "")


def _explain_failed(by_event, decisions):
    details = [f.get("detail", "") for f in by_event["call_not_answered"]]
    details += [s.get("detail", "") for s in by_event["attempt_served"]]
    return f"failed: {next(filter(None, details), 'no detail was logged')}"


def _explain_answered(by_event, decisions):
    causes = [match[1] for match in map(SENT_PATTERN.match, decisions) if match]
    denied = [match[0] for match in map(DENIED_PATTERN.match, decisions) if match]
    text = f"answered; attempts: {', '.join(causes) or 'none logged'}"
    return text + (f"; {denied[0]}" if denied else "")


def _find_cause_without_end(by_event):
    for name in ("call_not_answered", "attempt_refused", "attempt_served"):
        for event_fields in by_event[name]:
            detail = (
                event_fields.get("reason")
                or event_fields.get("detail")
                or event_fields.get("outcome")
            )
            return f"{name}: {detail}; the entry node's decisions are not in these logs"
    return "the entry node's decisions are not in these logs"


_EXPLAINERS = {
    "NotRun": _explain_not_run,
    "Unknown": _explain_unknown,
    "Failed": _explain_failed,
    "Answered": _explain_answered,
}
