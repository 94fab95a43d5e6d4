"""Plays scenarios, prints tables, keeps and compares figures."""

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
    """Play scenarios and print what they were worth to callers.

    Parameters
    ----------
    scenarios
        Names, or paths of YAML files; all that come with the tool by default.
    variants
        Names of choices of a server; all by default.
    seeds
        Paired runs of each.
    json
        File to write all figures to.
    before
        Such a file of another version, to print the ratio of the worth to it.
    """
    known = {}
    if before is not None:
        known = msgspec.json.decode(
            before.read_bytes(), type=dict[str, dict[str, Summary]]
        )
    found = {}
    for name in scenarios or list_scenarios():
        scenario = load_scenario(name)
        summaries = {
            variant: summarize(
                scenario,
                [run_scenario(scenario, variant, seed) for seed in range(1, seeds + 1)],
            )
            for variant in variants or VARIANTS
        }
        found[scenario.name] = summaries
        print(
            f"\n{scenario.name}, {seeds} seeds\n{format_table(summaries)}", flush=True
        )
        for variant, earlier in known.get(scenario.name, {}).items():
            if variant in summaries:
                ratio = summaries[variant].worth / earlier.worth
                print(f"{variant}: {ratio:.3f} times the worth before")
    if json is not None:
        json.write_bytes(msgspec.json.format(msgspec.json.encode(found)))
