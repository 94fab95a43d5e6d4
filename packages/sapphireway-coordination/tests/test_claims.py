import asyncio
import random

import msgspec
import pytest
from tests.claims.faults import BROKEN_VARIANTS, ignore_rounds, leave_old_epoch_open
from tests.claims.fleet import (
    LEASE_S,
    SERVICE,
    UNSURE_S,
    Fleet,
    Server,
    run_contended,
    run_fleet,
)

from sapphireway_coordination import Call, ClaimEnd, ClaimEnded, HolderSettings
from sapphireway_coordination.claims._outcomes import digest_request
from sapphireway_protocol import Answered, NotRun, NotRunReason, Unknown
from sapphireway_state import Policy
from sapphireway_transport.memory import run_paused


class ReliableServer(Server):
    def __init__(self, refusal=None, duration_s=0.01, answer_bytes=0):
        super().__init__(random.Random(1))
        self.refusal = refusal
        self.answer_bytes = answer_bytes
        self.duration_s = duration_s

    async def _run(self, call):
        await asyncio.sleep(self.duration_s)
        if self.refusal is not None:
            return self.refusal
        self.runs[call.key].append(call.call_id)
        body = call.call_id.encode().ljust(self.answer_bytes)
        return Answered(200, (), body)


def run_script(script, **options):
    """Run `script` on a fleet without faults whose holders are n0, n1 and n2."""

    async def run():
        options.setdefault("server", ReliableServer())
        fleet = Fleet(random.Random(1), **options)
        fleet.start(runs_group_controller=False)
        fleet.form_group("n0", "n1", "n2")
        await asyncio.sleep(0.1)
        result = await script(fleet)
        await fleet.stop()
        assert not list(fleet.find_violations())
        return result

    return run_paused(run())


@pytest.mark.parametrize("seed", range(4))
def test_key_runs_at_most_once_under_faults(seed):
    run = run_fleet(seed, 25.0, 120, loses_majorities=seed % 3 == 0)
    fleet, violations = run_paused(run)
    assert not violations, f"seed {seed}"
    assert len(fleet.server.runs) > 40, f"seed {seed}: hardly anything ran"


@pytest.mark.parametrize("checks_rounds", [True, False])
def test_key_runs_at_most_once_under_contention(checks_rounds, monkeypatch):
    # Without rounds, a late release undoes the vote of the next round.
    if not checks_rounds:
        ignore_rounds(monkeypatch)
    violations = run_paused(run_contended(1))
    assert bool(violations) != checks_rounds


@pytest.mark.parametrize("break_claims", BROKEN_VARIANTS)
def test_checks_detect_broken_variants(break_claims, monkeypatch):
    break_claims(monkeypatch)
    violations = []
    for seed in range(4):
        violations += run_paused(run_fleet(seed, 20.0, 80))[1]
        if violations:
            return
    pytest.fail("no seed showed the fault")


def test_later_resend_gets_first_outcome():
    async def script(fleet):
        first = await fleet.ask("k", "n3")
        await asyncio.sleep(0.1)
        return first, await fleet.ask("k", "n4")

    first, second = run_script(script)
    assert isinstance(first, Answered)
    assert second == first


@pytest.mark.parametrize("entries", [("n3", "n4"), ("n0", "n1", "n2", "n3", "n4")])
def test_concurrent_resends_get_one_outcome(entries):
    async def script(fleet):
        return await asyncio.gather(*(fleet.ask("k", name) for name in entries))

    outcomes = run_script(script)
    assert isinstance(outcomes[0], Answered)
    assert set(outcomes) == {outcomes[0]}


def test_overdue_call_of_dead_entry_node_is_unknown_at_once():
    async def script(fleet):
        fleet.submit("k", "n3", deadline_s=0.3)
        await asyncio.sleep(0.005)
        fleet.kill_node("n3")
        under_way = await fleet.ask("k", "n4", deadline_s=0.1)
        await asyncio.sleep(0.3)
        started_s = asyncio.get_running_loop().time()
        overdue = await fleet.ask("k", "n4", deadline_s=1.0)
        return under_way, overdue, asyncio.get_running_loop().time() - started_s

    under_way, overdue, elapsed_s = run_script(
        script, server=ReliableServer(None, 0.05)
    )
    assert isinstance(under_way, Unknown)
    assert isinstance(overdue, Unknown)
    assert elapsed_s < 0.01


def test_resend_after_disconnect_gets_the_outcome():
    async def script(fleet):
        lost = fleet.submit("k", "n3")
        await asyncio.sleep(0.01)
        lost.cancel()
        return await fleet.ask("k", "n4")

    assert isinstance(run_script(script), Answered)


def test_not_run_releases_the_key():
    async def script(fleet):
        first = await fleet.ask("k", "n3")
        fleet.server.refusal = None
        await asyncio.sleep(0.01)
        return first, await fleet.ask("k", "n3")

    refusal = NotRun(NotRunReason.OVERLOADED)
    first, second = run_script(script, server=ReliableServer(refusal))
    assert first == refusal
    assert isinstance(second, Answered)


def test_call_open_at_a_not_run_outcome_never_runs():
    async def script(fleet):
        await fleet.ask("warm", "n4")
        for name in ("n0", "n1", "n2"):
            fleet.network.cut("n4", name)
        older = fleet.submit("k", "n4")
        await fleet.ask("k", "n3")
        await asyncio.sleep(0.01)
        fleet.server.refusal = None
        fleet.network.heal_all()
        return await older

    server = ReliableServer(NotRun(NotRunReason.OVERLOADED))
    outcome = run_script(script, server=server)
    assert outcome.reason is NotRunReason.CLAIM_CONFLICT


def test_different_request_with_the_key_is_a_mismatch():
    async def script(fleet):
        await fleet.ask("k", "n3")
        await asyncio.sleep(0.01)
        return await fleet.ask("k", "n4", body=b"other")

    assert run_script(script).reason is NotRunReason.CLAIM_MISMATCH


def test_digest_of_a_request_depends_on_its_workspace():
    # Another workspace with the same idempotency key must not get the answer.
    call = Call("c", SERVICE, "k", "POST", "/", (), b"x", 1.0, "key", Policy())
    digests = {
        digest_request(msgspec.structs.replace(call, workspace=workspace))
        for workspace in ("", "north", "south")
    }
    assert len(digests) == 3


def test_large_answer_is_not_stored():
    async def script(fleet):
        await fleet.ask("k", "n3")
        await asyncio.sleep(0.01)
        return await fleet.ask("k", "n4")

    server = ReliableServer(answer_bytes=100_000)
    assert isinstance(run_script(script, server=server), Unknown)


def test_full_holders_refuse_new_keys():
    async def script(fleet):
        return await fleet.ask("k", "n3")

    outcome = run_script(script, holder_settings=HolderSettings(limit_bytes=0))
    assert outcome.reason is NotRunReason.CLAIMS_UNAVAILABLE


def test_key_is_unknown_without_a_majority():
    async def script(fleet):
        fleet.kill_node("n0")
        fleet.kill_node("n1")
        return await fleet.ask("k", "n3", deadline_s=0.5)

    assert isinstance(run_script(script), Unknown)


def test_claim_takes_one_round_trip_to_the_second_nearest_holder():
    delays_s = {"n0": 0.0005, "n1": 0.0015, "n2": 0.02}

    def delay(sender, receiver):
        return max(delays_s.get(sender, 0.0), delays_s.get(receiver, 0.0))

    async def script(fleet):
        await fleet.ask("k", "n3")
        await asyncio.sleep(1.0)
        sent = fleet.network.messages_sent
        await fleet.ask("k2", "n3")
        await asyncio.sleep(0.4)
        ends = [e for e in fleet.events if isinstance(e, ClaimEnded)]
        return ends[-1], fleet.network.messages_sent - sent

    end, messages = run_script(script, delay=delay)
    assert end.end is ClaimEnd.DISPATCHED
    assert end.elapsed_s == pytest.approx(0.003)
    assert messages == 12  # a claim, a record and their replies at each holder


@pytest.mark.parametrize("reuses_incarnation", [False, True])
def test_restarted_holder_never_votes_as_its_old_incarnation(reuses_incarnation):
    # The second case is the broken variant: a restart with the same incarnation.
    async def script(fleet):
        await fleet.ask("k", "n3")
        await asyncio.sleep(0.1)
        for name in ("n1", "n2"):
            fleet.kill_node(name)
            fleet.start_node(name)
        fleet.network.cut("n0", "n4")
        await fleet.ask("k", "n4")
        return len(fleet.server.runs["k"])

    if reuses_incarnation:
        with pytest.raises(AssertionError):
            run_script(script, reuses_incarnation=True)
    else:
        assert run_script(script) == 1


@pytest.mark.parametrize("run_when_unsure", [False, True])
def test_lost_claims_leave_keys_unknown(run_when_unsure):
    # The second case shows the risk of the setting: the key runs twice.
    async def run():
        fleet = Fleet(
            random.Random(1), server=ReliableServer(), run_when_unsure=run_when_unsure
        )
        fleet.start()
        await asyncio.sleep(10.0)
        await fleet.ask("k", "n3")
        await asyncio.sleep(0.1)  # the entry node delivers outstanding records
        for holder in fleet.machine.get_group(SERVICE).holders:
            fleet.kill_node(holder.node)
            fleet.start_node(holder.node)
        await asyncio.sleep(6.0)
        outcomes = [await fleet.ask("k", name) for name in fleet.names]
        await asyncio.sleep(UNSURE_S)
        new = await fleet.ask("new", "n4")
        await fleet.stop()
        return outcomes, new, len(fleet.server.runs["k"])

    outcomes, new, runs = run_paused(run())
    assert runs == (2 if run_when_unsure else 1)
    assert run_when_unsure or {type(o) for o in outcomes} == {Unknown}
    assert isinstance(new, Answered)


@pytest.mark.parametrize("lease_s", [LEASE_S, 3_600.0])
def test_isolated_holders_stop_before_lost_keys_run_again(lease_s):
    # The second case is the broken variant: a lease longer than the unsure time.
    async def run():
        settings = HolderSettings(lease_s=lease_s)
        fleet = Fleet(
            random.Random(1), server=ReliableServer(), holder_settings=settings
        )
        fleet.start(runs_group_controller=False)
        fleet.form_group("n0", "n1", "n2")
        await asyncio.sleep(1.0)
        isolated = {"n0", "n1", "n4"}
        for name in isolated:
            fleet.nodes[name].no_updates_until_s = 100.0
            for other in set(fleet.names) - isolated:
                fleet.network.cut(name, other)
                fleet.network.cut(other, name)
        fleet.form_group("n2", "n3", lost=True)
        await asyncio.sleep(UNSURE_S - 1.0)
        first = await fleet.ask("k", "n4")
        await asyncio.sleep(1.5)
        second = await fleet.ask("k", "n3")
        runs = len(fleet.server.runs["k"])
        await fleet.stop()
        return first, second, runs

    first, second, runs = run_paused(run())
    assert isinstance(second, Answered)
    assert runs == (1 if lease_s == LEASE_S else 2)
    assert isinstance(first, Unknown) == (lease_s == LEASE_S)


@pytest.mark.parametrize("seals", [True, False])
def test_sealed_epoch_grants_nothing(seals, monkeypatch):
    # n1, n2 and n4 don't learn of the new epoch, and n4 gets nothing from n0.
    if not seals:
        leave_old_epoch_open(monkeypatch)

    async def script(fleet):
        for name in ("n1", "n2", "n4"):
            fleet.nodes[name].no_updates_until_s = 100.0
        fleet.network.cut("n0", "n4")
        fleet.form_group("n0", "n1", "n3")
        await asyncio.sleep(1.0)
        await fleet.ask("k", "n4", deadline_s=0.1)
        await fleet.ask("k", "n3")
        return len(fleet.server.runs["k"])

    if seals:
        assert run_script(script) == 1
    else:
        with pytest.raises(AssertionError):
            run_script(script)
