"""The demonstration's result table and the check of the system's guarantees."""

import collections
import json
from collections.abc import Iterable
from pathlib import Path

from demo._kinds import KINDS
from demo._load import Tally

MS_PER_S = 1000
HEADINGS = (
    "kind",
    "sent",
    "answered",
    "not run",
    "failed",
    "unknown",
    "lost",
    "duplicates",
    "p50 ms",
    "p99 ms",
    "p99.9 ms",
    "direct p50",
    "added p50",
)


def read_runs(path: Path) -> dict[str, collections.Counter]:
    """Return how often the servers ran each idempotency key, by kind."""
    counts = {kind.name: collections.Counter() for kind in KINDS}
    kind_names = {kind.path: kind.name for kind in KINDS}
    with path.open() as lines:
        for line in lines:
            run = json.loads(line)
            counts[kind_names[run["path"]]][run["key"]] += 1
    return counts


def count_duplicates(runs: dict[str, collections.Counter]) -> dict[str, int]:
    """Return how many keys of non-idempotent requests ran repeatedly, by kind."""
    return {
        kind.name: 0
        if kind.idempotent
        else sum(count > 1 for count in runs[kind.name].values())
        for kind in KINDS
    }


def list_violations(
    tallies: dict[str, Tally], runs: dict[str, collections.Counter]
) -> list[str]:
    """Return a line for each violated guarantee."""
    violations = []
    for kind in KINDS:
        tally = tallies[kind.name]
        executed = [key for key in tally.not_run_keys if runs[kind.name][key]]
        if executed:
            violations.append(f"{kind.name}: {len(executed)} answered not-run, but ran")
        if tally.mismatched:
            violations.append(
                f"{kind.name}: {tally.mismatched} got another request's answer"
            )
        if tally.differing_resends:
            differing = tally.differing_resends
            violations.append(f"{kind.name}: {differing} resends got another answer")
        if not tally.outcomes.get("answered"):
            violations.append(f"{kind.name}: nothing was answered")
    for name, duplicates in count_duplicates(runs).items():
        if duplicates:
            violations.append(f"{name}: {duplicates} requests ran more than once")
    return violations


def render_table(tallies: dict[str, Tally], duplicates: dict[str, int]) -> str:
    """Return the result table with one row per kind."""
    rows = [HEADINGS]
    for kind in KINDS:
        rows.append(_make_row(kind.name, tallies[kind.name], duplicates[kind.name]))
    widths = [max(len(row[i]) for row in rows) for i in range(len(HEADINGS))]
    return "\n".join(
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    )


def list_refusals(tallies: dict[str, Tally]) -> list[str]:
    """Return a line with the reasons for each kind that had refused requests."""
    return [
        f"{name} not run: "
        + ", ".join(f"{count} {reason}" for reason, count in tally.reasons.items())
        for name, tally in tallies.items()
        if tally.reasons
    ]


def find_percentile(values: Iterable[float], percentile: float) -> float:
    """Return a percentile without interpolation, or 0 if there are no values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * percentile / 100))]


def _make_row(name, tally, duplicates):
    counts = [tally.outcomes.get(o, 0) for o in ("answered", "not-run", "failed")]
    unresolved = [tally.outcomes.get(o, 0) for o in ("unknown", "lost")]
    p50, p99, p999 = (
        find_percentile(tally.latencies_s, p) * MS_PER_S for p in (50, 99, 99.9)
    )
    direct = find_percentile(tally.direct_s, 50) * MS_PER_S
    times = [f"{value:.1f}" for value in (p50, p99, p999, direct, p50 - direct)]
    sent = sum(tally.outcomes.values())
    return (name, *map(str, (sent, *counts, *unresolved, duplicates)), *times)
