"""Command that runs scenarios, prints their tables and compares saved results."""

from pathlib import Path

import msgspec

from benchmarks.experiment._report import Summary, format_table, summarize
from benchmarks.experiment._run import VARIANTS, run_scenario
from benchmarks.experiment._scenario import list_scenarios, load_scenario


def main(
    *scenarios: str,
    variants: list[str] | None = None,
    seeds: int = 2,
    json: Path | None = None,
    before: Path | None = None,
):
    """Run scenarios and print the worth of the answers to callers.

    Parameters
    ----------
    scenarios
        Names, or paths of YAML files; all bundled scenarios by default.
    variants
        Names of the rules that choose a server; all by default.
    seeds
        Number of runs of each variant; all variants use the same seeds.
    json
        File to which all results are written.
    before
        File written by ``--json`` with another version, to print the ratio of worths.
    """
    earlier_results = {}
    if before is not None:
        earlier_results = msgspec.json.decode(
            before.read_bytes(), type=dict[str, dict[str, Summary]]
        )
    results = {}
    for name in scenarios or list_scenarios():
        scenario = load_scenario(name)
        summaries = {
            variant: summarize(
                scenario,
                [run_scenario(scenario, variant, seed) for seed in range(1, seeds + 1)],
            )
            for variant in variants or VARIANTS
        }
        results[scenario.name] = summaries
        print(
            f"\n{scenario.name}, {seeds} seeds\n{format_table(summaries)}", flush=True
        )
        for variant, earlier_summary in earlier_results.get(scenario.name, {}).items():
            if variant in summaries:
                ratio = summaries[variant].worth / earlier_summary.worth
                print(f"{variant}: {ratio:.3f} times the worth before")
    if json is not None:
        json.write_bytes(msgspec.json.format(msgspec.json.encode(results)))
