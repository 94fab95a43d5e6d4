"""The experiment tool plays scenarios and adds up what callers got."""

import json

import msgspec
import pytest
from benchmarks.experiment import (
    VARIANTS,
    format_table,
    load_scenario,
    run_scenario,
    summarize,
)
from benchmarks.experiment import _command as command
from benchmarks.experiment._run import Record, RunResult
from benchmarks.experiment._scenario import Event, list_scenarios


@pytest.fixture
def short():
    """Return a scenario by name, cut to its first two seconds."""

    def short(name, **changes):
        scenario = load_scenario(name)
        return msgspec.structs.replace(scenario, **({"seconds": 2.0} | changes))

    return short


def make_played(*records):
    return RunResult(list(records), runs=len(records), falls=0, repeats=0, messages=0)


@pytest.mark.parametrize("name", list_scenarios())
def test_scenario_is_complete(name):
    scenario = load_scenario(name)
    assert scenario.name == name
    for kind in scenario.kinds.values():
        assert kind.service in scenario.services
        assert not kind.calls or kind.calls in scenario.kinds


def test_unknown_field_of_a_scenario_is_refused(tmp_path):
    path = tmp_path / "x.yaml"
    path.write_text(
        "{name: x, seconds: 1, domains: [a], services: {}, kinds: {}, y: 1}"
    )
    with pytest.raises(msgspec.ValidationError, match="unknown field `y`"):
        load_scenario(str(path))


@pytest.mark.parametrize("variant", list(VARIANTS))
def test_play_serves_most_of_a_calm_start(short, variant):
    summary = summarize(short("calm"), [run_scenario(short("calm"), variant, 1)])
    assert summary.outcomes["answered"] > 0.5
    assert summary.falls == 0


def test_play_repeats_with_its_seed(short):
    first, again, other = (
        run_scenario(short("calm"), "placed", seed) for seed in (1, 1, 2)
    )
    assert first == again
    assert first.records != other.records


def test_restarted_servers_are_cold_and_do_not_fall_over(short):
    """The cold rate that the nodes keep to is one that the servers bear."""
    events = [Event(0.5, "restart", for_s=0.3)]
    played = run_scenario(short("return", events=events), "placed", 1)
    summary = summarize(short("return"), [played])
    assert played.falls == 0
    assert 0.0 < summary.worth < 0.9


def test_unknown_event_is_refused_by_name(tmp_path):
    path = tmp_path / "x.yaml"
    events = "[{at_s: 1, kind: flood}]"
    path.write_text(
        f"{{name: x, seconds: 1, domains: [a], services: {{}}, kinds: {{}}, "
        f"events: {events}}}"
    )
    with pytest.raises(msgspec.ValidationError, match="flood"):
        load_scenario(str(path))


def test_summary_adds_up_what_callers_got(short):
    scenario = short("calm", seconds=4.0)
    summary = summarize(
        scenario,
        [
            make_played(
                Record("read", 0.1, 0.2, "answered"),
                Record("read", 0.2, 0.6, "late"),
                Record("booking", 2.5, 0.1, "notrun"),
                Record("booking", 3.0, 0.3, "answered"),
            )
        ],
    )
    assert summary.worth == pytest.approx((1.0 + 0.1 + 2.0) / 6.0)
    assert summary.windows == pytest.approx([0.55, 0.5])
    assert summary.kinds == pytest.approx({"booking": 0.5, "read": 0.55})
    assert summary.latency_ms["read"] == [600.0, 600.0]
    row = format_table({"placed": summary}).splitlines()[1].split()
    assert row[:3] == ["placed", "0.517", "0.525"]


def test_command_keeps_figures_and_compares_them(short, tmp_path, capsys, monkeypatch):
    monkeypatch.setattr(command, "load_scenario", short)
    kept = tmp_path / "before.json"
    command.main("calm", variants=["random"], seeds=1, json=kept)
    assert json.loads(kept.read_text())["calm"]["random"]["worth"] > 0.0
    command.main("calm", variants=["random"], seeds=1, before=kept)
    assert "random: 1.000 times the worth before" in capsys.readouterr().out
