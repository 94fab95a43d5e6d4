import asyncio

import pytest
from tests.gate_bench import Bench, paused

from sapphireway_coordination import AttemptRefused
from sapphireway_protocol import NotRunReason
from sapphireway_state import Rollout, RolloutState
from sapphireway_transport.memory import run_paused

ORDER = 7
RUNNING, COMPLETED, ROLLED_BACK = RolloutState


def make_rollout(share=0.2, state=RUNNING, **changes):
    fields = {"share": share, "state": state} | changes
    return Rollout("ledger", "v2", ORDER, 0.0, 12000.0, **fields)


def call(version, rollout, entry_version=ORDER, **announced):
    """Return outcome and reason of a call at a server of `version`."""

    async def run():
        bench = Bench()
        bench.announce(version=version, **announced)
        bench.rollout, bench.entry_version = rollout, entry_version
        reply = await bench.call("a")
        assert bench.count_runs("a") == (reply.outcome == "answered")
        return reply.outcome, reply.reason

    return run_paused(run())


SERVED = ("answered", "")
REFUSED = ("not_run", "version")


@pytest.mark.parametrize(
    ("version", "rollout", "expected"),
    [
        ("v1", None, SERVED),
        ("v1", make_rollout(0.0), SERVED),
        ("v1", make_rollout(0.5), SERVED),
        ("v1", make_rollout(1.0), REFUSED),
        ("v1", make_rollout(1.0, COMPLETED), REFUSED),
        ("v1", make_rollout(0.5, ROLLED_BACK), SERVED),
        ("v2", make_rollout(0.2), SERVED),
        ("v2", make_rollout(1.0, COMPLETED), SERVED),
        ("v2", make_rollout(0.5, ROLLED_BACK), REFUSED),
        ("v3", make_rollout(0.2, excluded=("v3",)), REFUSED),
    ],
)
def test_work_is_refused_by_state_and_version(version, rollout, expected):
    assert call(version, rollout) == expected


def test_new_version_gets_nothing_from_a_sender_that_missed_the_order():
    """An entry node that was cut off would send it any share."""
    assert call("v2", make_rollout(), ORDER - 1) == REFUSED
    assert call("v1", make_rollout(), ORDER - 1) == SERVED
    assert call("v2", make_rollout(1.0, COMPLETED), ORDER - 1) == SERVED


def test_discovered_server_of_unknown_version_gets_nothing():
    assert call("", make_rollout(), start_id="") == REFUSED


@paused
async def test_duplicate_of_refused_run_never_starts(bench):
    """Its sender was told "not run"; its settings may be newer at the second try."""
    bench.announce(version="v2")
    bench.rollout, bench.entry_version = make_rollout(), ORDER - 1
    await bench.call("a")
    bench.entry_version = ORDER
    bench.entry.send("node", bench.sent["a"])
    await asyncio.sleep(0.1)
    assert [reply.outcome for reply in bench.replies["a"]] == ["not_run"] * 2
    assert bench.count_runs("a") == 0


@paused
async def test_waiting_work_is_refused_once_the_version_is_rolled_back(bench):
    """Requests that wait at the gate were sent before, but must not run after."""
    bench.announce(version="v2")
    bench.rollout, bench.entry_version = make_rollout(), ORDER
    for number in range(40):
        bench.send(f"a{number}")
    await asyncio.sleep(0.003)
    running = sum(bench.count_runs(f"a{n}") for n in range(40))
    bench.rollout = make_rollout(0.2, ROLLED_BACK)
    bench.gate.apply_rollout()
    await asyncio.sleep(0.5)
    assert 0 < running < 40
    assert sum(bench.count_runs(f"a{n}") for n in range(40)) == running
    reasons = {event.reason for event in bench.list_events(AttemptRefused)}
    assert reasons == {NotRunReason.VERSION}


@paused
async def test_waiting_work_is_refused_once_the_server_names_an_excluded_version(bench):
    bench.announce(version="v1")
    bench.rollout, bench.entry_version = make_rollout(0.2, ROLLED_BACK), ORDER
    for number in range(40):
        bench.send(f"a{number}")
    await asyncio.sleep(0.003)
    bench.announce(version="v2")
    running = sum(bench.count_runs(f"a{n}") for n in range(40))
    await asyncio.sleep(0.5)
    assert sum(bench.count_runs(f"a{n}") for n in range(40)) == running < 40
