"""The experiment runs scenarios and summarizes the outcomes of the calls."""

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
from benchmarks.experiment._run import Record, RunResult, find_retry_wait
from benchmarks.experiment._scenario import Event, list_scenarios

from sapphireway_protocol import Answered, NotRun, NotRunReason, Unknown


@pytest.fixture
def load_short():
    """Return a function that loads a scenario, cut to its first two seconds."""

    def load(name, **changes):
        scenario = load_scenario(name)
        return msgspec.structs.replace(scenario, **({"seconds": 2.0} | changes))

    return load


def make_run_result(*records):
    return RunResult(list(records), runs=len(records), falls=0, repeats=0, messages=0)


@pytest.mark.parametrize("name", list_scenarios())
def test_scenario_names_only_its_own_services_and_kinds(name):
    scenario = load_scenario(name)
    assert scenario.name == name
    for kind in scenario.kinds.values():
        assert kind.service in scenario.services
        assert not kind.calls or kind.calls in scenario.kinds


def test_unknown_field_of_a_scenario_is_rejected(tmp_path):
    path = tmp_path / "x.yaml"
    path.write_text(
        "{name: x, seconds: 1, domains: [a], services: {}, kinds: {}, y: 1}"
    )
    with pytest.raises(msgspec.ValidationError, match="unknown field `y`"):
        load_scenario(str(path))


@pytest.mark.parametrize("variant", list(VARIANTS))
def test_calm_scenario_answers_most_calls(load_short, variant):
    summary = summarize(
        load_short("calm"), [run_scenario(load_short("calm"), variant, 1)]
    )
    assert summary.outcomes["answered"] > 0.5
    assert summary.falls == 0


def test_same_seed_gives_same_records(load_short):
    first, again, other = (
        run_scenario(load_short("calm"), "placed", seed) for seed in (1, 1, 2)
    )
    assert first == again
    assert first.records != other.records


def test_restarted_servers_are_cold_and_do_not_crash(load_short):
    """The cold rate that the nodes enforce does not overload the servers."""
    events = [Event(0.5, "restart", for_s=0.3)]
    result = run_scenario(load_short("return", events=events), "placed", 1)
    summary = summarize(load_short("return"), [result])
    assert result.falls == 0
    assert 0.0 < summary.worth < 0.9


def test_request_fails_if_one_of_its_calls_is_rejected(load_short):
    """Each request makes two calls, so far fewer succeed than calls are served."""
    events = [Event(0.0, "shed", share=0.5, for_s=9.0, service="orders")]
    scenario = load_short("nested", events=events)
    kinds = {
        name: msgspec.structs.replace(kind, calls_share=1.0, retries=0)
        for name, kind in scenario.kinds.items()
        if name in ("read", "stock")
    }
    scenario = msgspec.structs.replace(scenario, kinds=kinds)
    summary = summarize(scenario, [run_scenario(scenario, "placed", 1)])
    assert summary.outcomes["failed"] > 0.25


@pytest.mark.parametrize(
    ("outcome", "idempotent", "wait_s"),
    [
        (NotRun(NotRunReason.OVERLOADED, 0.4), False, 0.4),
        (Unknown("cut"), True, 0.0),
        (Unknown("cut"), False, None),
        (Answered(500, (), b""), True, 0.0),
        (Answered(200, (), b""), True, None),
    ],
)
def test_clients_repeat_only_what_may_run_again(outcome, idempotent, wait_s):
    assert find_retry_wait(outcome, idempotent) == wait_s


def test_unknown_event_is_rejected_with_its_name(tmp_path):
    path = tmp_path / "x.yaml"
    events = "[{at_s: 1, kind: flood}]"
    path.write_text(
        f"{{name: x, seconds: 1, domains: [a], services: {{}}, kinds: {{}}, "
        f"events: {events}}}"
    )
    with pytest.raises(msgspec.ValidationError, match="flood"):
        load_scenario(str(path))


def test_summary_aggregates_outcomes(load_short):
    scenario = load_short("calm", seconds=4.0)
    summary = summarize(
        scenario,
        [
            make_run_result(
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


def test_command_writes_results_and_compares_with_them(
    load_short, tmp_path, capsys, monkeypatch
):
    monkeypatch.setattr(command, "load_scenario", load_short)
    results_file = tmp_path / "before.json"
    command.main("calm", variants=["random"], seeds=1, json=results_file)
    assert json.loads(results_file.read_text())["calm"]["random"]["worth"] > 0.0
    command.main("calm", variants=["random"], seeds=1, before=results_file)
    assert "random: 1.000 times the worth before" in capsys.readouterr().out
