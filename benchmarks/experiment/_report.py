"""Summaries of runs: the worth to callers, latencies and costs."""

import statistics
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from benchmarks._server import find_percentile
from benchmarks.experiment._run import RunResult
from benchmarks.experiment._scenario import Scenario

WORST_WINDOWS = 2
PERCENTILES = (50, 99)
MS_PER_S = 1000.0


@dataclass(slots=True, frozen=True)
class Summary:
    """Results of one variant in one scenario, over all seeds.

    Attributes
    ----------
    worth : float
        Worth of all answers as a share of their worth if all were within target.
    worst : float
        Worth in the two worst windows of a run, averaged over the runs.
    kinds : dict of str to float
        Worth by kind.
    windows : list of float
        Worth by window, averaged over the runs.
    outcomes : dict of str to float
        Share of the requests by outcome.
    latency_ms : dict of str to list of float
        Median and 99th percentile of the answered requests, by kind.
    repeats, runs, messages : float
        Repeated attempts, requests run by servers and messages, per request.
    falls : float
        Crashes of cold servers per run.
    """

    worth: float
    worst: float
    kinds: dict[str, float]
    windows: list[float]
    outcomes: dict[str, float]
    latency_ms: dict[str, list[float]]
    repeats: float
    runs: float
    messages: float
    falls: float


def summarize(scenario: Scenario, runs: Sequence[RunResult]) -> Summary:
    """Return the summary of all runs of one variant."""
    records = [record for run in runs for record in run.records]
    windows = [_compute_window_worths(scenario, run.records) for run in runs]
    kinds = {record.kind for record in records}
    return Summary(
        worth=_compute_worth(scenario, records),
        worst=statistics.mean(
            statistics.mean(sorted(worths)[:WORST_WINDOWS]) for worths in windows
        ),
        kinds={
            kind: _compute_worth(scenario, [r for r in records if r.kind == kind])
            for kind in sorted(kinds)
        },
        windows=[statistics.mean(column) for column in zip(*windows, strict=False)],
        outcomes=_compute_outcome_shares(records),
        latency_ms={
            kind: _compute_latencies_ms(records, kind) for kind in sorted(kinds)
        },
        repeats=sum(run.repeats for run in runs) / len(records),
        runs=sum(run.runs for run in runs) / len(records),
        messages=sum(run.messages for run in runs) / len(records),
        falls=sum(run.falls for run in runs) / len(runs),
    )


def format_table(summaries: Mapping[str, Summary]) -> str:
    """Return a table with one row per variant."""
    kinds = sorted({kind for summary in summaries.values() for kind in summary.kinds})
    headings = [f"{'variant':16}", "worth", "worst", *(f"{kind:>12}" for kind in kinds)]
    headings += ["  late", "failed", "refused", "repeats", " falls"]
    lines = [" ".join(headings)]
    for name, summary in summaries.items():
        refused = summary.outcomes.get("notrun", 0.0)
        late = summary.outcomes.get("late", 0.0)
        failed = 1.0 - refused - late - summary.outcomes.get("answered", 0.0)
        row = [f"{name:16}", f"{summary.worth:5.3f}", f"{summary.worst:5.3f}"]
        row += [f"{summary.kinds.get(kind, 0.0):12.3f}" for kind in kinds]
        row += [f"{late:6.3f}", f"{failed:6.3f}", f"{refused:7.3f}"]
        row += [f"{summary.repeats:7.3f}", f"{summary.falls:6.1f}"]
        lines.append(" ".join(row))
    return "\n".join(lines)


def _compute_worth(scenario, records):
    earned = sum(_get_record_worth(scenario, record) for record in records)
    achievable = sum(scenario.kinds[record.kind].worth for record in records)
    return earned / achievable if achievable else 1.0


def _get_record_worth(scenario, record):
    kind = scenario.kinds[record.kind]
    return {"answered": kind.worth, "late": kind.late_worth}.get(record.outcome, 0.0)


def _compute_window_worths(scenario, records):
    count = max(1, round(scenario.seconds / scenario.window_s))
    window_records = [[] for _ in range(count)]
    for record in records:
        index = min(int(record.arrived_s / scenario.window_s), count - 1)
        window_records[index].append(record)
    return [_compute_worth(scenario, window) for window in window_records]


def _compute_outcome_shares(records):
    names = sorted({record.outcome for record in records})
    return {
        name: sum(record.outcome == name for record in records) / len(records)
        for name in names
    }


def _compute_latencies_ms(records, kind):
    times = sorted(
        record.took_s
        for record in records
        if record.kind == kind and record.outcome in ("answered", "late")
    )
    if not times:
        return []
    return [round(find_percentile(times, p) * MS_PER_S, 1) for p in PERCENTILES]
