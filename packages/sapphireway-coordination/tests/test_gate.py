import asyncio

import msgspec
import pytest
from tests.gate_bench import NODE, Bench, paused

from sapphireway_coordination import (
    AnnounceAccepted,
    AnnounceRefused,
    AttemptStarted,
    GateState,
    RelapseCause,
    RelapseSeen,
)
from sapphireway_coordination.gate._registration import LEASE_GRACE_S, LEASE_S
from sapphireway_protocol import (
    Cancel,
    NotRunReason,
    Probe,
    Revoke,
    ServerState,
)
from sapphireway_state import Policy
from sapphireway_transport.memory import run_paused


@paused
async def test_run_is_answered_with_load(bench):
    reply = await bench.call("a", method="POST", body=b"hours")
    assert (reply.outcome, reply.status) == ("answered", 200)
    assert reply.load.server == "s1" and reply.server_ms > 4
    assert bench.count_runs("a") == 1


@paused
async def test_duplicate_run_gets_first_reply(bench):
    bench.send("a")
    bench.send("a")
    await bench.call("a")
    bench.send("a")
    await asyncio.sleep(0.1)
    assert [reply.outcome for reply in bench.replies["a"]] == ["answered"] * 2
    assert bench.count_runs("a") == 1


@pytest.mark.parametrize("message", [Revoke, Cancel])
def test_run_after_revoke_or_cancel_never_starts(message):
    async def check(bench):
        bench.entry.send(NODE, message("a"))
        await asyncio.sleep(0.01)
        reply = await bench.call("a")
        assert (reply.outcome, bench.count_runs("a")) == ("not_run", 0)
        if message is Revoke:
            assert bench.revoked["a"][0].never_runs

    paused(check)()


@paused
async def test_revoked_attempt_stays_revoked_until_latest_start(bench):
    bench.entry.send(NODE, Revoke("a", latest_start_s=100.1))
    for other in range(4):
        await asyncio.sleep(25)
        bench.announce()
        await bench.call(f"other{other}")
    bench.send("a", latest_start_s=asyncio.get_running_loop().time() + 1)
    await asyncio.sleep(0.1)
    assert bench.count_runs("a") == 0


@paused
async def test_revoke_of_expired_attempt_is_refused(bench):
    await bench.call("a", latest_start_s=0.5)
    await asyncio.sleep(200)
    bench.announce()
    await bench.call("other")
    bench.entry.send(NODE, Revoke("a", latest_start_s=0.5))
    await asyncio.sleep(0.1)
    assert not bench.revoked["a"][0].never_runs


@pytest.mark.parametrize("opener", [Cancel, Revoke])
@pytest.mark.parametrize("again", ["run", "revoke"])
def test_cancel_of_expired_attempt_promises_nothing(opener, again):
    async def check(bench):
        await bench.call("a", latest_start_s=0.5)
        await asyncio.sleep(200)
        bench.announce()
        await bench.call("other")
        bench.entry.send(NODE, opener("a"))
        await asyncio.sleep(0.01)
        bench.revoked.clear()
        message = bench.sent["a"] if again == "run" else Revoke("a", 0.5)
        bench.entry.send(NODE, message)
        await asyncio.sleep(0.1)
        assert [reply.outcome for reply in bench.replies["a"]] == ["answered"]
        assert not any(answer.never_runs for answer in bench.revoked.get("a", ()))
        assert bench.count_runs("a") == 1

    paused(check)()


@paused
async def test_revoke_with_keep_waiting_leaves_waiting_attempt_queued(bench):
    await bench.warm()
    for number in range(bench.server.slots):
        bench.send(f"before{number}")
    bench.send("a")
    await asyncio.sleep(0.002)
    bench.entry.send(NODE, Revoke("a", keep_waiting=True))
    reply = await bench.call("a")
    assert (reply.outcome, bench.count_runs("a")) == ("answered", 1)
    assert not bench.revoked["a"][0].never_runs


@paused
async def test_revoke_with_keep_waiting_revokes_unseen_attempt(bench):
    bench.entry.send(NODE, Revoke("a", keep_waiting=True))
    await asyncio.sleep(0.01)
    reply = await bench.call("a")
    assert (reply.outcome, bench.count_runs("a")) == ("not_run", 0)


@paused
async def test_revoke_of_running_attempt_is_refused(bench):
    bench.send("a")
    await asyncio.sleep(0.002)
    bench.entry.send(NODE, Revoke("a"))
    await asyncio.sleep(0.05)
    assert not bench.revoked["a"][0].never_runs
    assert bench.replies["a"][0].outcome == "answered"
    bench.entry.send(NODE, Revoke("a"))
    await asyncio.sleep(0.05)
    assert bench.revoked["a"][1].finished
    assert len(bench.replies["a"]) == 2


@paused
async def test_revoke_of_waiting_attempt_is_granted(bench):
    bench.send("a")
    bench.send("b")
    await asyncio.sleep(0.002)
    bench.entry.send(NODE, Revoke("b"))
    await asyncio.sleep(0.05)
    assert bench.revoked["b"][0].never_runs
    assert bench.replies["b"][0].reason == NotRunReason.REVOKED
    assert (bench.count_runs("a"), bench.count_runs("b")) == (1, 0)


@paused
async def test_refused_attempt_does_not_start_when_repeated(bench):
    bench.gate.set_out(True)
    assert (await bench.call("a")).reason == NotRunReason.DOMAIN_OUT
    bench.gate.set_out(False)
    bench.send("a")
    await asyncio.sleep(0.1)
    assert bench.count_runs("a") == 0


@pytest.mark.parametrize(
    "fields",
    [
        {"latest_start_s": 0.0001},
        {"latest_start_s": 1000.0},
        {"latest_start_s": 0.0},
        {"incarnation": "earlier"},
        {"incarnation": ""},
    ],
)
def test_run_is_refused_when_stale(fields):
    async def check(bench):
        reply = await bench.call("a", **fields)
        assert (reply.outcome, reply.reason) == ("not_run", NotRunReason.STALE)
        bench.send("a")
        await asyncio.sleep(0.1)
        assert bench.count_runs("a") == (
            0 if fields == {"latest_start_s": 1000.0} else 1
        )

    paused(check)()


@paused
async def test_run_after_record_expiry_gets_no_reply(bench):
    await bench.call("a", latest_start_s=0.5)
    await asyncio.sleep(200)
    for other in range(3):
        bench.announce()
        await bench.call(f"other{other}")
    bench.send("a", latest_start_s=0.5)
    await asyncio.sleep(1)
    assert len(bench.replies["a"]) == 1 and bench.count_runs("a") == 1


@pytest.mark.parametrize(("latest_start_s", "runs"), [(100.0, 1), (130.0, 0)])
def test_late_duplicate_never_starts(latest_start_s, runs):
    async def check(bench):
        await bench.call("a", latest_start_s=latest_start_s)
        for other in range(4):
            await asyncio.sleep(20)
            bench.announce()
            await bench.call(f"other{other}")
        bench.entry.send(NODE, bench.sent["a"])
        await asyncio.sleep(0.1)
        assert bench.count_runs("a") == runs

    paused(check)()


@paused
async def test_cancel_aborts_running_attempt(bench):
    bench.server.freeze()
    bench.send("a")
    bench.send("b", idempotent=True)
    await asyncio.sleep(0.01)
    bench.entry.send(NODE, Cancel("a"))
    await asyncio.sleep(0.1)
    bench.entry.send(NODE, Cancel("b"))
    await asyncio.sleep(0.1)
    assert bench.replies["a"][0].outcome == "unknown"
    assert bench.replies["b"][0].outcome == "failed"
    assert bench.server.in_flight == 0


@paused
async def test_cancelled_requests_keep_their_slots_briefly(bench):
    await bench.warm()
    bench.server.slow_factor = 10.0
    for i in range(6):
        bench.send(f"a{i}")
    await asyncio.sleep(0.01)
    for i in range(6):
        bench.entry.send(NODE, Cancel(f"a{i}"))
        bench.send(f"b{i}")
    await asyncio.sleep(0.5)
    assert bench.server.in_flight_max == 6 and bench.server.overloads == 0


@paused
async def test_refused_connection_is_not_run(bench):
    bench.server.refuse = True
    reply = await bench.call("a")
    assert (reply.outcome, reply.reason) == ("not_run", NotRunReason.UNREACHABLE)
    assert reply.load.state is ServerState.DOWN and bench.count_runs("a") == 0


@paused
async def test_shed_by_server_is_not_run(bench):
    bench.server.shed = True
    assert (await bench.call("a")).outcome == "not_run"
    bench.server.shed, bench.server.shed_unmarked = False, True
    assert (await bench.call("b")).status == 503


@paused
async def test_drain_during_leave_and_out_aborts_nothing(bench):
    await bench.warm()
    for i in range(6):
        bench.send(f"a{i}")
    await asyncio.sleep(0.002)
    bench.send("late")
    bench.gate.leave("s1")
    bench.gate.set_out(True)
    now_s = asyncio.get_running_loop().time()
    drains = [bench.gate.drain(now_s + 1.0), bench.gate.drain(now_s + 0.001)]
    assert await asyncio.gather(*drains) == [True, False]
    await asyncio.sleep(0.01)
    assert all(bench.replies[f"a{i}"][0].outcome == "answered" for i in range(6))
    assert bench.replies["late"][0].outcome == "not_run"
    assert (await bench.call("b")).reason == NotRunReason.DRAINING
    assert bench.gate.state is GateState.DRAINING


@paused
async def test_left_server_returns_only_with_new_start_id(bench):
    assert bench.gate.leave("s1") and not bench.gate.leave("other")
    assert isinstance(bench.announce(), AnnounceRefused)
    assert isinstance(bench.announce(start_id="next"), AnnounceAccepted)
    assert (await bench.call("a")).outcome == "answered"


@paused
async def test_cold_limit_follows_settings_that_come_after_the_announcement(bench):
    """At the default limit a new server got no work beside others, and stayed cold."""
    default = bench.gate.get_load().limit
    bench.policy = msgspec.structs.replace(bench.policy, cold_limit=4)
    bench.announce()
    assert (default, bench.gate.get_load().limit) == (1, 4)


@paused
async def test_server_returns_cold_after_lease_expiry(bench):
    await bench.warm()
    await asyncio.sleep(20)
    assert (await bench.call("a")).reason == NotRunReason.NO_SERVER
    bench.announce()
    assert bench.gate.get_load().limit == 1
    assert (await bench.call("b")).outcome == "answered"


@paused
async def test_stall_of_the_node_does_not_end_its_servers_lease(bench):
    """Heartbeats that waited in the socket were read after the lease had been ended."""
    await bench.warm()
    limit = bench.gate.get_load().limit
    for frozen_s in (7.1, 20.0):
        asyncio.get_running_loop().advance(frozen_s)
        await asyncio.sleep(0.05)
        assert (await bench.call(f"a{frozen_s}")).outcome == "answered"
        bench.announce()
        assert bench.gate.get_load().limit >= limit > 1


@paused
async def test_announcement_of_other_server_is_refused(bench):
    assert isinstance(bench.announce(server="s2"), AnnounceRefused)
    assert isinstance(bench.announce(service="matching"), AnnounceRefused)


@paused
async def test_restarted_node_assumes_server_cold_and_busy(bench):
    await bench.warm()
    bench.server.freeze()
    for i in range(6):
        bench.send(f"a{i}")
    await asyncio.sleep(0.01)
    assert bench.server.in_flight == 6
    bench.open_gate("n2")
    bench.announce()
    bench.send("b")
    await asyncio.sleep(0.1)
    assert bench.gate.get_load().limit == 0 and bench.count_runs("b") == 0
    bench.server.thaw()
    await asyncio.sleep(0.05)
    bench.announce()
    await asyncio.sleep(0.05)
    assert bench.count_runs("b") == 1 and bench.server.overloads == 0


@paused
async def test_probe_of_unknown_server_gets_no_load(bench):
    for server, known in (("s1", True), ("s2", False)):
        reply = await bench.entry.request(NODE, Probe(server), 1.0)
        assert (reply.message.load is not None) == known


@paused
async def test_cold_server_is_not_overloaded(bench):
    bench.server.cold_requests, bench.server.cold_slots = 15, 1
    bench.server.crashes_on_overload = True
    await asyncio.gather(*(bench.call(f"a{i}") for i in range(60)))
    assert bench.server.crashes == 0 and bench.server.overloads == 0


def cool(bench):
    bench.server.become_cold()
    bench.server.slow_factor = 10.0


def shed(bench):
    bench.server.shed_unmarked = True


def refuse(bench):
    bench.server.refuse = True


@pytest.mark.parametrize(
    ("relapse", "cause"),
    [
        (cool, RelapseCause.LATENCY),
        (shed, RelapseCause.SHEDDING),
        (refuse, RelapseCause.REFUSED),
        (lambda bench: bench.server.freeze(), RelapseCause.STALLED),
        (lambda bench: bench.server.crash(), RelapseCause.CRASHED),
        (lambda bench: bench.announce(start_id="next"), RelapseCause.RESTARTED),
    ],
)
def test_relapse_is_detected_within_100_ms_or_20_answers(relapse, cause):
    async def check(bench):
        await bench.warm()
        for i in range(6):
            bench.send(f"a{i}")
        await asyncio.sleep(0.002)
        bench.events.clear()
        relapse(bench)
        start_s = asyncio.get_running_loop().time()
        for i in range(20):
            bench.send(f"b{i}")
            await asyncio.sleep(0.005)
            if bench.list_events(RelapseSeen):
                break
        assert bench.list_events(RelapseSeen)[0].cause in (cause, RelapseCause.STALLED)
        assert asyncio.get_running_loop().time() - start_s <= 0.1
        assert bench.gate.get_load().limit == 1

    paused(check)()


@pytest.mark.parametrize(("percent", "starts_max"), [(100, 20 + 3), (125, 25 + 4)])
def test_cold_server_gets_configured_share_of_its_rate(percent, starts_max):
    """After a power loss, all servers of a service are cold at the same time."""

    async def main():
        bench = Bench(policy=Policy(cold_rate_percent=percent), announced=False)
        bench.announce(cold_s=3.0, cold_rate_per_s=20.0)
        started = []
        for number in range(400):
            bench.send(f"a{number}", budget_ms=400.0)
            await asyncio.sleep(0.005)
            started.append(len(bench.list_events(AttemptStarted)))
        steps_per_s = 200
        windows = [b - a for a, b in zip(started, started[steps_per_s:], strict=False)]
        assert starts_max - 5 <= max(windows) <= starts_max

    run_paused(main())


def test_earlier_start_is_registered_once_a_later_one_is_silent():
    """An announcement of another writer took the server out of use for good."""

    async def main():
        bench = Bench(announced=False)
        bench.announce(started_s=1000.0)
        bench.announce(server="s2", started_s=2000.0, start_id="later")
        refused = bench.announce(started_s=1000.0)
        await asyncio.sleep(LEASE_S + LEASE_GRACE_S + 0.1)
        accepted = bench.announce(started_s=1000.0)
        return refused, accepted, bench.gate.announcement.server

    refused, accepted, server = run_paused(main())
    assert isinstance(refused, AnnounceRefused)
    assert isinstance(accepted, AnnounceAccepted) and server == "s1"


@pytest.mark.parametrize(
    "changes",
    [
        {"server": "s 1"},
        {"server": ""},
        {"server": "s" * 201},
        {"url": "http://s1:99999"},
        {"url": "http://s1:0"},
        {"url": "ftp://s1"},
        {"url": "http://s1/path"},
        {"slots": 0},
        {"slots": 2**53},
        {"cold_s": -1.0},
        {"cold_s": float("inf")},
        {"started_s": 1e15},
    ],
    ids=str,
)
def test_announcement_that_no_server_makes_changes_nothing(changes):
    async def main():
        bench = Bench()
        before = bench.gate.announcement, bench.gate.get_load()
        refused = bench.announce(**changes)
        assert isinstance(refused, AnnounceRefused)
        assert (bench.gate.announcement, bench.gate.get_load()) == before

    run_paused(main())


def test_reported_time_of_a_cold_server_is_bounded():
    """Reports that it is warm end no cold time, as they may be older."""

    async def main():
        bench = Bench(announced=False)
        bench.announce(cold_s=3000.0, cold_rate_per_s=20.0, cold_max_s=6.0)
        await asyncio.sleep(5.9)
        limited = bench.gate.get_load().starts_per_s
        await asyncio.sleep(0.2)
        return limited, bench.gate.get_load().starts_per_s

    assert run_paused(main()) == (20.0, 0.0)


@pytest.mark.parametrize(("rate_per_s", "limit_per_s"), [(20.0, 25.0), (0.0, 0.0)])
def test_cold_reserve_comes_on_top_of_a_known_rate(rate_per_s, limit_per_s):
    async def main():
        bench = Bench(announced=False)
        bench.gate._cold_reserve_per_s = 5.0
        bench.announce(cold_s=3.0, cold_rate_per_s=rate_per_s)
        return bench.gate.get_load().starts_per_s

    assert run_paused(main()) == limit_per_s


@paused
async def test_heavier_kinds_start_first_under_overload(bench):
    await bench.warm()
    for i in range(80):
        bench.send(f"light{i}", weight=1)
    for i in range(30):
        bench.send(f"heavy{i}", weight=50)
    await asyncio.sleep(1)
    assert all(bench.count_runs(f"heavy{i}") == 1 for i in range(30))
    refused = [r[0] for a, r in bench.replies.items() if r[0].outcome == "not_run"]
    assert refused and len({reply.retry_after_s for reply in refused}) > 5


@paused
async def test_unreachable_deadline_is_refused_on_arrival(bench):
    await bench.warm()
    for i in range(40):
        bench.send(f"a{i}", budget_ms=5000.0)
    await asyncio.sleep(0.001)
    start_s = asyncio.get_running_loop().time()
    reply = await bench.call("b", budget_ms=10.0, weight=1)
    assert reply.reason == NotRunReason.DEADLINE
    assert asyncio.get_running_loop().time() - start_s < 0.005


async def offer(bench, prefix, rate_per_s, duration_s):
    """Send an open-loop load; return how many were answered in time and sent."""
    loop = asyncio.get_running_loop()
    end_s, attempts = loop.time() + duration_s, []
    while loop.time() < end_s:
        attempts.append(f"{prefix}{len(attempts)}")
        bench.send(attempts[-1], budget_ms=200.0, weight=bench.rng.choice([1, 50]))
        await asyncio.sleep(bench.rng.expovariate(rate_per_s))
    await asyncio.sleep(0.3)
    replies = [bench.replies[attempt][0] for attempt in attempts]
    return sum(reply.outcome == "answered" for reply in replies), len(replies)


def slow_down(bench):
    bench.server.slow_factor = 10.0


@pytest.mark.parametrize("trigger", [slow_down, shed, refuse, lambda bench: None])
def test_goodput_holds_in_overload_and_recovers_after(trigger):
    async def check(bench):
        capacity_per_s = 6 / 0.005
        await bench.warm()
        answered, _ = await offer(bench, "over", 2 * capacity_per_s, 0.5)
        assert answered > 0.9 * 0.5 * capacity_per_s
        trigger(bench)
        await offer(bench, "trigger", 2 * capacity_per_s, 0.3)
        bench.server.slow_factor, bench.server.refuse = 1.0, False
        bench.server.shed_unmarked = False
        bench.announce()
        # Back at normal load, full goodput is required again within 2 s.
        await offer(bench, "recovering", 0.6 * capacity_per_s, 1.0)
        answered, sent = await offer(bench, "after", 0.6 * capacity_per_s, 0.3)
        assert answered == sent
        assert bench.server.overloads == 0

    paused(check)()


def run_randomly(seed, steps=400):
    """Drive a gate through random faults and return the bench for checks."""

    async def main():
        bench = Bench(seed)
        rng, server, network = bench.rng, bench.server, bench.network
        network.drop_rate, network.duplicate_rate = 0.05, 0.1
        network.jitter_s = 0.02
        server.cold_requests, server.cold_slots = 5, 1
        server.restart_s = 0.05
        out = False
        gates = [bench.gate]
        for step in range(steps):
            attempt = f"{seed}-{step}"
            bench.send(
                attempt,
                weight=rng.choice([1, 10, 50]),
                idempotent=rng.random() < 0.5,
                digest=f"d{rng.randrange(200)}",
                budget_ms=rng.choice([5.0, 50.0, 500.0]),
            )
            roll = rng.random()
            earlier = f"{seed}-{rng.randrange(step + 1)}"
            if roll < 0.05:
                bench.entry.send(NODE, Revoke(attempt))
            elif roll < 0.1:
                bench.entry.send(NODE, Cancel(earlier))
            elif roll < 0.15:
                bench.entry.send(NODE, bench.sent[earlier])
            elif roll < 0.16:
                server.crash()
            elif roll < 0.17:
                network.freeze(NODE)
                asyncio.get_running_loop().call_later(0.3, network.thaw, NODE)
            elif roll < 0.18:
                out = not out
                bench.gate.set_out(out)
            elif roll < 0.19:
                bench.gate.close()
                bench.peers.close()
                bench.open_gate(f"n{step}")
                bench.announce()
                gates.append(bench.gate)
            elif roll < 0.22:
                server.shed = not server.shed
            elif roll < 0.25:
                server.slow_factor = rng.choice([1.0, 1.0, 10.0])
            elif roll < 0.27:
                server.freeze()
                asyncio.get_running_loop().call_later(0.05, server.thaw)
            if rng.random() < 0.1:
                bench.announce()
            await asyncio.sleep(rng.expovariate(1.0) * 0.005)
        await asyncio.sleep(3)
        return bench

    return run_paused(main())


@pytest.mark.parametrize("seed", range(8))
def test_random_faults_keep_invariants(seed):
    bench = run_randomly(seed)
    started = len(bench.list_events(AttemptStarted))
    assert started > 50, f"seed {seed}: only {started} attempts started"
    for call, attempts in bench.server.runs.items():
        assert len(attempts) == 1, f"seed {seed}: {call} ran {len(attempts)} times"
    for attempt, replies in bench.replies.items():
        if any(reply.outcome == "not_run" for reply in replies):
            assert not bench.count_runs(attempt), f"seed {seed}: {attempt} did run"
    for attempt, revoked in bench.revoked.items():
        if any(answer.never_runs for answer in revoked):
            assert not bench.count_runs(attempt), f"seed {seed}: {attempt} did run"
    assert bench.server.in_flight_max <= bench.server.slots, f"seed {seed}"


@paused
async def test_announcement_sets_connections_max_of_client(bench):
    assert bench.server.connections_max == 200
    bench.announce(connections_max=3)
    assert bench.server.connections_max == 3
    bench.announce(connections_max=3, health_path="/health")
    assert bench.server.connections_max == 2
    bench.announce(connections_max=3)
    refused = bench.announce(server="s2", connections_max=9)
    assert isinstance(refused, AnnounceRefused)
    assert bench.server.connections_max == 3
