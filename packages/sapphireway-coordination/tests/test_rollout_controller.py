import asyncio
import random

import pytest

from sapphireway_coordination import (
    Member,
    RolloutController,
    RolloutDecided,
    RolloutHeld,
)
from sapphireway_coordination.rollouts import Action, Evidence, decide
from sapphireway_coordination.rollouts._ledger import (
    RECENT_S,
    REPORT_AGE_MAX_S,
    ReportLedger,
)
from sapphireway_coordination.rollouts._order_age import ORDER_DELAY_MAX_S, OrderAge
from sapphireway_protocol import KindCounts, Peers, VersionReport
from sapphireway_state import (
    Rollout,
    RolloutMachine,
    RolloutState,
    StartRollout,
    encode_rollout_command,
)
from sapphireway_transport.memory import MemoryNetwork, run_paused

WALL_S = 1_000_000.0
ROLLOUT = Rollout("s", "v2", 1, WALL_S, 12000.0)


def make_report(server="a", version="v2", answers=0, failures=0, slow=0, **changes):
    latencies = [0] * 8 + [answers - slow] + [0] * 8 + [slow]
    kinds = {"k": KindCounts(answers, failures, latencies)}
    fields = {"in_flight": 0, "cold": False} | changes
    return VersionReport("s", 1, version, server, kinds=kinds, **fields)


def get_new(ledger, now_s):
    _, new = ledger.make_samples(ROLLOUT, now_s)
    return new


def test_counts_of_an_earlier_start_of_a_node_are_kept():
    ledger = ReportLedger()
    ledger.record(make_report(answers=50, failures=20), "first", 1, 0.0)
    ledger.record(make_report(answers=2, failures=1), "second", 1, 1.0)
    total = get_new(ledger, 1.0).total["k"]
    assert (total.answers, total.failures) == (52, 21)


def test_lost_report_costs_nothing():
    ledger = ReportLedger()
    ledger.record(make_report(answers=10, failures=1), "i", 1, 0.0)
    ledger.record(make_report(answers=40, failures=3), "i", 1, 0.75)
    assert get_new(ledger, 0.75).total["k"].answers == 40


def test_recent_counts_leave_out_what_is_older():
    """A version that turns bad later must not hide behind its good start."""
    ledger = ReportLedger()
    for step in range(20):
        failures = max(0, step - 15)
        report = make_report(answers=10 * step, failures=failures)
        ledger.record(report, "i", 1, 0.25 * step)
    recent = get_new(ledger, 0.25 * 19).recent["k"]
    assert recent.answers == 10 * RECENT_S / 0.25
    assert recent.failures == 4


def test_slow_answers_are_counted_by_the_old_versions_latencies():
    ledger = ReportLedger()
    ledger.record(make_report("o", "v1", answers=100, slow=4), "i", 1, 0.0)
    ledger.record(make_report("n", "v2", answers=10, slow=9), "i", 1, 0.0)
    old, new = ledger.make_samples(ROLLOUT, 0.0)
    assert (old.total["k"].slow, new.total["k"].slow) == (4, 9)


@pytest.mark.parametrize(
    "counts",
    [KindCounts(2, 9, []), KindCounts(-2, -9, [-1] * 40), KindCounts(0, 0, [5] * 99)],
)
def test_malformed_report_does_not_break_the_decision(counts):
    """An exception in a background task ends the control host."""
    ledger = ReportLedger()
    ledger.record(make_report("o", "v1", answers=100), "i", 1, 0.0)
    report = VersionReport("s", 1, "v2", "n", 0, {"k": counts})
    ledger.record(report, "i", 1, 0.0)
    old, new = ledger.make_samples(ROLLOUT, 0.0)
    assert decide(Evidence(old, new, 0.05, 1.0, 3.0, 9.0, 4, 4))


@pytest.mark.parametrize(
    ("version", "changes", "settings_version", "age_s", "idle"),
    [
        ("v1", {}, 9, 0.5, True),
        ("v1", {"in_flight": 1}, 9, 0.5, False),
        ("v1", {}, 8, 0.5, False),
        ("v1", {}, 9, 1.5, False),
        ("v3", {}, 9, 0.5, False),
    ],
    ids=["idle", "busy", "older settings", "old report", "other version"],
)
def test_server_is_idle_only_by_a_fresh_report(
    version, changes, settings_version, age_s, idle
):
    """The old servers are stopped at the end without a drain."""
    ledger = ReportLedger()
    ledger.record(make_report("a", "v1", **changes), "i", settings_version, 0.0)
    assert ledger.is_idle("a", version, "i", 9, age_s) is idle
    assert not ledger.is_idle("a", version, "later", 9, age_s)


@pytest.mark.parametrize(
    ("wall_s", "was_up", "age_s"),
    [
        (WALL_S + 0.2, True, 0.2),
        (WALL_S + 3600.0, True, ORDER_DELAY_MAX_S),
        (WALL_S - 3600.0, True, 0.0),
        (WALL_S + 7.0, False, 7.0),
        (WALL_S + 3600.0, False, 12.0),
        (WALL_S - 3600.0, False, 0.0),
    ],
)
def test_age_of_an_order_is_bounded_against_jumps_of_the_wall_clock(
    wall_s, was_up, age_s
):
    age = OrderAge(ROLLOUT, 100.0, wall_s, was_up)
    assert age.get_age(100.0) == pytest.approx(age_s)
    assert age.get_age(102.5) == pytest.approx(age_s + 2.5)


def test_age_of_an_order_is_at_least_what_the_last_step_states():
    # A new leader that first saw the order late must not extend the rollout.
    age = OrderAge(ROLLOUT, 100.0, WALL_S, True)
    stepped = Rollout("s", "v2", 1, WALL_S, 12000.0, 0.2, changed=5, age_ms=6000.0)
    age.update(stepped, 101.0)
    assert age.get_age(102.0) == pytest.approx(7.0)
    assert age.get_step_time(102.0) == pytest.approx(1.0)
    started_later = OrderAge(stepped, 100.0, WALL_S, False)
    assert started_later.get_age(100.0) == pytest.approx(6.0)


class Bench:
    """A controller on the only control host, with members and reports of the test."""

    def __init__(self):
        network = MemoryNetwork(random.Random(1))
        self.machine = RolloutMachine()
        self.index = 0
        self.members = []
        self.settings_versions = {"n": 10**6}
        self.events = []
        self.leads = True
        self.answers = {}
        peers = Peers(network.open_endpoint("c"), "c")
        self.node = Peers(network.open_endpoint("n"), "i", lambda: 10**6)
        self.controller = RolloutController(
            peers,
            lambda: self.machine.rollouts.values(),
            lambda service: self.members,
            self.list_settings_versions,
            self.propose,
            lambda: self.leads,
            lambda: WALL_S + asyncio.get_running_loop().time(),
            self.events.append,
        )
        peers.start()
        for version, count in (("v1", 4), ("v2", 4)):
            self.members += [
                Member(
                    f"{version}-{i}",
                    "s",
                    "n",
                    "d",
                    "r",
                    "i",
                    "1",
                    6,
                    False,
                    False,
                    version,
                )
                for i in range(count)
            ]

    async def list_settings_versions(self):
        return self.settings_versions

    async def propose(self, command):
        self.index += 1
        return self.machine.apply(self.index, command, ("s",))

    async def start(self):
        wall_s = WALL_S + asyncio.get_running_loop().time()
        await self.propose(
            encode_rollout_command(StartRollout("s", "v2", 12000.0, wall_s))
        )
        self.task = asyncio.create_task(self.controller.run())
        self.reporting = asyncio.create_task(self.report())

    async def report(self):
        """Report 20 good answers of each server of a version with a share a second."""
        while True:
            for member in self.members:
                share = self.machine.rollouts["s"].share
                if member.version == "v1" or share:
                    self.answers[member.server] = self.answers.get(member.server, 0) + 5
                report = make_report(
                    member.server, member.version, self.answers.get(member.server, 0)
                )
                self.node.send("c", report)
            await asyncio.sleep(0.25)

    @property
    def rollout(self):
        return self.machine.rollouts["s"]

    def list_accepted(self):
        return [
            (e.action, e.share)
            for e in self.events
            if isinstance(e, RolloutDecided) and e.accepted
        ]

    def stop(self):
        self.task.cancel()
        self.reporting.cancel()


def with_bench(test):
    """Run a test with a new bench on the paused clock."""

    def run():
        async def main():
            bench = Bench()
            await bench.start()
            await test(bench)
            bench.stop()

        run_paused(main())

    run.__name__ = test.__name__
    return run


@with_bench
async def test_good_version_advances_to_its_end(bench):
    await asyncio.sleep(11.5)  # the order gives 12 s
    assert [share for _, share in bench.list_accepted()] == [0.05, 0.2, 0.5, 1.0, 1.0]
    assert bench.rollout.state is RolloutState.COMPLETED
    assert len(bench.rollout.steps) == 5
    assert "0 failed" in bench.rollout.detail


@with_bench
async def test_host_that_does_not_lead_proposes_nothing(bench):
    bench.leads = False
    await asyncio.sleep(10.0)
    assert bench.list_accepted() == [] and bench.rollout.running


@with_bench
async def test_next_leader_continues_with_the_share_of_the_journal(bench):
    await asyncio.sleep(3.0)
    before = bench.rollout.share
    bench.leads = False
    await asyncio.sleep(2.0)
    assert bench.rollout.share == before > 0.0
    bench.leads = True
    await asyncio.sleep(6.5)
    assert bench.rollout.state is RolloutState.COMPLETED


@with_bench
async def test_share_stays_while_the_reports_of_the_new_version_are_missing(bench):
    await asyncio.sleep(1.0)
    bench.reporting.cancel()
    await asyncio.sleep(REPORT_AGE_MAX_S + 0.25)
    before = bench.rollout.share
    await asyncio.sleep(7.0)
    assert bench.rollout.share == before < 1.0


@with_bench
async def test_end_waits_until_all_live_nodes_have_the_last_share(bench):
    bench.settings_versions = {"n": 10**6, "late": 1}
    await asyncio.sleep(14.0)
    assert bench.rollout.running and bench.rollout.share == 1.0
    held = [e.detail for e in bench.events if isinstance(e, RolloutHeld)]
    assert any("late" in detail for detail in held)
    bench.settings_versions = {"n": 10**6}
    await asyncio.sleep(1.0)
    assert bench.rollout.state is RolloutState.COMPLETED


@with_bench
async def test_end_waits_without_any_known_settings_version(bench):
    bench.settings_versions = {}
    await asyncio.sleep(14.0)
    assert bench.rollout.running


@with_bench
async def test_step_starts_anew_after_a_pause_of_the_controller(bench):
    """Reports that arrived during a freeze of the host have not been read yet."""
    while bench.rollout.share < 0.05:
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.5)
    bench.controller._checked_s -= 2.0
    paused_s = asyncio.get_running_loop().time()
    while bench.rollout.share < 0.2:
        await asyncio.sleep(0.05)
    assert asyncio.get_running_loop().time() - paused_s >= 1.5


@with_bench
async def test_hold_is_reported_once_for_each_reason(bench):
    bench.members = bench.members[:4]
    await asyncio.sleep(5.0)
    held = [e.detail for e in bench.events if isinstance(e, RolloutHeld)]
    assert held == ["waits for the new servers"]
    await asyncio.sleep(8.0)
    assert bench.list_accepted() == [(Action.ROLL_BACK, 0.0)]
    assert bench.rollout.state is RolloutState.ROLLED_BACK
