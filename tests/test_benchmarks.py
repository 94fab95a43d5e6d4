"""The policy benchmark runs, pairs its variants and prints their rows."""

import dataclasses

import pytest
from benchmarks import policy

VARIANTS = ["two_choices", "sapphireway", "oracle"]


@pytest.fixture
def short(monkeypatch):
    for name, scenario in policy.SCENARIOS.items():
        shortened = dataclasses.replace(scenario, duration_s=1.2)
        monkeypatch.setitem(policy.SCENARIOS, name, shortened)


@pytest.mark.parametrize("scenario", ["calm", "overload", "lost"])
def test_benchmark_prints_a_row_for_each_variant(short, capsys, scenario):
    policy.main(scenarios=[scenario], variants=VARIANTS, seeds=1)
    lines = capsys.readouterr().out.splitlines()
    rows = [line for line in lines if line.startswith(scenario)]
    assert [row.split()[1] for row in rows] == VARIANTS
