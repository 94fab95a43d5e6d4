"""What a run was worth to its callers, as figures, table and JSON."""

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
    """One variant's runs of a scenario.

    Attributes
    ----------
    worth : float
        Earned as a share of what answers in time would earn, mean of the seeds.
    worst : float
        The same of the two worst windows.
    kinds : dict of str to float
        The same of each kind.
    windows : list of float
        The same of each window.
    outcomes : dict of str to float
        Share of the requests by outcome.
    latency_ms : dict of str to list of float
        Median and 99th percentile of each kind's answers.
    repeats, runs, messages : float
        For each request.
    falls : float
        Servers that fell over, in each run.
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
    """Add up paired runs of one variant."""
    records = [record for run in runs for record in run.records]
    windows = [_split_windows(scenario, run.records) for run in runs]
    kinds = {record.kind for record in records}
    return Summary(
        worth=_find_worth(scenario, records),
        worst=statistics.mean(
            statistics.mean(sorted(each)[:WORST_WINDOWS]) for each in windows
        ),
        kinds={
            kind: _find_worth(scenario, [r for r in records if r.kind == kind])
            for kind in sorted(kinds)
        },
        windows=[statistics.mean(column) for column in zip(*windows, strict=False)],
        outcomes=_share_outcomes(records),
        latency_ms={kind: _find_latency(records, kind) for kind in sorted(kinds)},
        repeats=sum(run.repeats for run in runs) / len(records),
        runs=sum(run.runs for run in runs) / len(records),
        messages=sum(run.messages for run in runs) / len(records),
        falls=sum(run.falls for run in runs) / len(runs),
    )


def format_table(summaries: Mapping[str, Summary]) -> str:
    """Return one row for each variant."""
    kinds = sorted({kind for each in summaries.values() for kind in each.kinds})
    head = [f"{'variant':16}", "worth", "worst", *(f"{kind:>12}" for kind in kinds)]
    head += ["  late", "failed", "refused", "repeats", " falls"]
    lines = [" ".join(head)]
    for name, each in summaries.items():
        refused = each.outcomes.get("notrun", 0.0)
        late = each.outcomes.get("late", 0.0)
        failed = 1.0 - refused - late - each.outcomes.get("answered", 0.0)
        row = [f"{name:16}", f"{each.worth:5.3f}", f"{each.worst:5.3f}"]
        row += [f"{each.kinds.get(kind, 0.0):12.3f}" for kind in kinds]
        row += [f"{late:6.3f}", f"{failed:6.3f}", f"{refused:7.3f}"]
        row += [f"{each.repeats:7.3f}", f"{each.falls:6.1f}"]
        lines.append(" ".join(row))
    return "\n".join(lines)


def _find_worth(scenario, records):
    earned = sum(_earn(scenario, record) for record in records)
    owed = sum(scenario.kinds[record.kind].worth for record in records)
    return earned / owed if owed else 1.0


def _earn(scenario, record):
    kind = scenario.kinds[record.kind]
    return {"answered": kind.worth, "late": kind.late_worth}.get(record.outcome, 0.0)


def _split_windows(scenario, records):
    count = max(1, round(scenario.seconds / scenario.window_s))
    parts = [[] for _ in range(count)]
    for record in records:
        index = min(int(record.arrived_s / scenario.window_s), count - 1)
        parts[index].append(record)
    return [_find_worth(scenario, part) for part in parts]


def _share_outcomes(records):
    names = sorted({record.outcome for record in records})
    return {
        name: sum(record.outcome == name for record in records) / len(records)
        for name in names
    }


def _find_latency(records, kind):
    times = sorted(
        record.took_s
        for record in records
        if record.kind == kind and record.outcome in ("answered", "late")
    )
    if not times:
        return []
    return [round(find_percentile(times, p) * MS_PER_S, 1) for p in PERCENTILES]
