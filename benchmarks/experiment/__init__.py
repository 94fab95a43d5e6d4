"""Experiments on a simulated fleet: the real routing code with modelled servers.

Entry nodes, server choice, hedging, admission and cold rates are sapphireway's own
code; servers, links, hosts and clients are models on the paused clock, described by
YAML files.
"""

from benchmarks.experiment._command import main
from benchmarks.experiment._report import format_table, summarize
from benchmarks.experiment._run import VARIANTS, run_scenario
from benchmarks.experiment._scenario import Scenario, load_scenario

__all__ = [
    "VARIANTS",
    "Scenario",
    "format_table",
    "load_scenario",
    "main",
    "run_scenario",
    "summarize",
]
