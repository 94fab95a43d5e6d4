import asyncio
import itertools
import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from sapphireway_coordination import (
    Call,
    Dispatcher,
    Member,
    VersionChosen,
    VersionSplit,
)
from sapphireway_coordination.routing._loads import ServerLoad
from sapphireway_protocol import NotRun, NotRunReason, Peers, Reply, Run
from sapphireway_state import Policy, Rollout, RolloutState
from sapphireway_transport.memory import MemoryNetwork, run_paused

CALL = Call("c", "s", "k", "GET", "/", (), b"", 2.0, None, Policy(hedge_percentile=0.0))


def make_rollout(share=0.0, state=RolloutState.RUNNING, order=7, **changes):
    fields = {"share": share, "state": state} | changes
    return Rollout("s", "v2", order, 0.0, 12000.0, **fields)


def make_load(name, version, start_id="1"):
    return ServerLoad(
        Member(name, "s", name, "d", "r", "1", start_id, 6, version=version)
    )


LOADS = [make_load(f"n{i}", version) for i, version in enumerate(["v1", "v1", "v2"])]


def select(split, loads=LOADS, observe=lambda event: None):
    return [load.member.version for load in split.select(CALL, loads, observe)]


def count_new(split, attempts):
    """Send attempts and return to how many the new version was given."""
    new = 0
    for _ in range(attempts):
        new += "v2" in select(split)
        split.record_sent("s")
    return new


def test_service_without_rollout_keeps_the_list_as_it_is():
    split = VersionSplit(lambda service: None)
    assert split.select(CALL, LOADS, lambda event: 1 / 0) is LOADS
    assert split.list_serving("s", LOADS) is LOADS


@pytest.mark.parametrize(
    ("rollout", "versions"),
    [
        (make_rollout(0.0), ["v1", "v1"]),
        (make_rollout(1.0), ["v2"]),
        (make_rollout(1.0, RolloutState.COMPLETED), ["v2"]),
        (make_rollout(0.5, RolloutState.ROLLED_BACK), ["v1", "v1"]),
        (make_rollout(0.5, excluded=("v1",)), []),
    ],
)
def test_candidates_follow_the_state(rollout, versions):
    split = VersionSplit(lambda service: rollout)
    assert select(split) == versions


@pytest.mark.parametrize("share", [0.05, 0.2, 0.5])
def test_new_version_gets_its_share_and_no_more(share):
    split = VersionSplit(lambda service: make_rollout(share))
    for attempts in range(1, 200):
        split = VersionSplit(lambda service: make_rollout(share))
        assert count_new(split, attempts) == int(share * attempts + 1e-6)


@given(
    events=st.lists(
        st.sampled_from(["send", "drop", "no new", "step", "concurrent"]), max_size=300
    )
)
def test_share_is_never_exceeded_whatever_becomes_of_attempts(events):
    """Guards against refunds of attempts that were chosen and not sent, and more."""
    shares = itertools.chain([0.05, 0.2, 0.5], itertools.repeat(0.9))
    rollout = [make_rollout(next(shares))]
    split = VersionSplit(lambda service: rollout[0])
    allowed = new = 0.0
    for event in events:
        if event == "step":
            rollout[0] = make_rollout(next(shares))
            continue
        loads = LOADS[:2] if event == "no new" else LOADS
        # Calls that wait for probes have been chosen, and are not sent yet.
        chosen = [
            select(split, loads) for _ in range(3 if event == "concurrent" else 1)
        ]
        if event == "drop":
            continue
        for versions in chosen:
            split.record_sent("s")
            allowed += rollout[0].share
            new += "v2" in versions
        assert new <= allowed + 1e-6


def test_time_without_new_servers_is_not_made_up_for():
    split = VersionSplit(lambda service: make_rollout(0.5))
    for _ in range(100):
        select(split, LOADS[:2])
        split.record_sent("s")
    assert count_new(split, 4) <= 3


def test_no_attempt_falls_back_to_the_new_version():
    # All old servers are full or gone.
    split = VersionSplit(lambda service: make_rollout(0.2))
    assert select(split, LOADS[2:]) == []


def test_account_starts_at_zero_for_each_rollout():
    rollout = [make_rollout(0.5)]
    split = VersionSplit(lambda service: rollout[0])
    split.record_sent("s")
    rollout[0] = make_rollout(0.5, order=9)
    assert select(split) == ["v1", "v1"]


def test_discovered_server_of_unknown_version_gets_nothing_until_announced():
    # After a restart of its node it may be of the new version.
    split = VersionSplit(lambda service: make_rollout(0.2))
    loads = [make_load("a", "", start_id=""), make_load("b", "")]
    assert [x.member.server for x in split.select(CALL, loads, lambda e: None)] == ["b"]


def test_choice_is_reported_only_while_a_rollout_runs():
    events = []
    select(VersionSplit(lambda service: make_rollout(0.2)), observe=events.append)
    completed = make_rollout(1.0, RolloutState.COMPLETED)
    select(VersionSplit(lambda service: completed), observe=events.append)
    assert events == [VersionChosen("c", "s", "old", "v2", 0.2)]


class Fleet:
    """Nodes n0, n1 of v1 and n2 of v2, and an entry node that sends calls to them."""

    def __init__(self, rollout, on_run):
        network = MemoryNetwork(random.Random(1))
        self.rollout = rollout
        self.version = 7
        self.runs = []
        for name in ("n0", "n1", "n2"):
            self.open_node(network, name, on_run)
        peers = Peers(network.open_endpoint("entry"), "e")
        peers.start()
        self.versions = VersionSplit(lambda service: self.rollout, lambda: self.version)
        members = [load.member for load in LOADS]
        self.dispatcher = Dispatcher(
            peers, lambda service: members, random.Random(2), versions=self.versions
        )

    def open_node(self, network, name, on_run):
        peers = Peers(network.open_endpoint(name), "1")
        peers.start()

        def handle(sender, envelope):
            self.runs.append(name)
            peers.send(sender, on_run(self, name, envelope.message))

        peers.handle(Run, handle)

    def move_all(self):
        self.rollout, self.version = make_rollout(1.0), 8
        self.versions.notify()

    async def call(self):
        now_s = asyncio.get_running_loop().time()
        policy = Policy(hedge_percentile=0.0, idempotent=True)
        return await self.dispatcher.dispatch(
            Call("c", "s", "k", "GET", "/", (), b"", now_s + 1.0, None, policy)
        )


def answer(fleet, name, run):
    return Reply(run.attempt, "answered", 200)


def refuse(fleet, name, run):
    return Reply(run.attempt, "not_run", reason="overloaded")


def test_retries_count_toward_the_share_and_never_fall_back():
    """Full old servers must not push their requests to a version on trial."""

    async def run():
        fleet = Fleet(make_rollout(0.2), refuse)
        for _ in range(20):
            assert isinstance(await fleet.call(), NotRun)
        return fleet.runs

    runs = run_paused(run())
    assert 0 < runs.count("n2") <= 0.2 * len(runs)


def test_service_without_servers_of_allowed_versions_is_refused_as_without_server():
    async def run():
        rollout = make_rollout(1.0, RolloutState.COMPLETED)
        fleet = Fleet(msgspec.structs.replace(rollout, version="v3"), answer)
        return await fleet.call(), fleet.runs

    outcome, runs = run_paused(run())
    assert outcome.reason is NotRunReason.NO_SERVER and runs == []


def test_call_refused_for_its_version_waits_for_newer_settings():
    """Else each try goes to the old servers again, until none is left."""

    def refuse_old(fleet, name, run):
        if name == "n2":
            return answer(fleet, name, run)
        loop = asyncio.get_running_loop()
        loop.call_later(0.01, fleet.move_all)
        return Reply(run.attempt, "not_run", reason="version")

    async def run():
        fleet = Fleet(make_rollout(0.0), refuse_old)
        outcome = await fleet.call()
        return outcome.status, fleet.runs

    status, runs = run_paused(run())
    assert status == 200 and runs[-1] == "n2" and len(runs) == 2


def test_bad_new_servers_keep_their_share_while_they_are_ejected():
    """Without requests there would be no evidence against them."""

    def fail_new(fleet, name, run):
        if name == "n2":
            return Reply(run.attempt, "answered", 500)
        return answer(fleet, name, run)

    async def run():
        fleet = Fleet(make_rollout(0.5), fail_new)
        for _ in range(60):
            await fleet.call()
        return fleet.runs

    runs = run_paused(run())
    assert runs.count("n2") >= 0.4 * len(runs)
