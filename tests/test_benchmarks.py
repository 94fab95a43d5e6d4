"""The policy benchmark runs every variant and prints a row for each."""

import dataclasses

import pytest
from benchmarks import policy

VARIANTS = ["two_choices", "sapphireway", "oracle"]


@pytest.fixture
def short_scenarios(monkeypatch):
    for name, scenario in policy.SCENARIOS.items():
        shortened = dataclasses.replace(scenario, duration_s=1.2)
        monkeypatch.setitem(policy.SCENARIOS, name, shortened)


@pytest.mark.parametrize("scenario", ["calm", "overload", "lost"])
def test_policy_benchmark_prints_a_row_for_each_variant(
    short_scenarios, capsys, scenario
):
    policy.main(scenarios=[scenario], variants=VARIANTS, seeds=1)
    lines = capsys.readouterr().out.splitlines()
    rows = [line for line in lines if line.startswith(scenario)]
    assert [row.split()[1] for row in rows] == VARIANTS
