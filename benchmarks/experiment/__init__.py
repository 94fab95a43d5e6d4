"""Experiments on a modelled fleet: the real decision code against modelled servers.

Entry nodes, placement, hedges, admission and cold rates are the product's; servers,
links, hosts and clients are models on the paused clock, described in YAML.
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
