import asyncio
import random

import msgspec
import pytest

from sapphireway_coordination import Call, Dispatcher, Member
from sapphireway_coordination.routing._events import DenyReason, RetryDenied
from sapphireway_protocol import (
    Answered,
    BodyReserved,
    Cancel,
    LoadReport,
    LoadUpdate,
    NotRun,
    Peers,
    Reply,
    ReserveBody,
    Revoke,
    Revoked,
    Run,
    ServerState,
    Unknown,
)
from sapphireway_state import Policy
from sapphireway_transport import LARGE_BODY_BYTES
from sapphireway_transport.memory import MemoryNetwork, run_paused

POLICY = Policy(hedge_percentile=0.0)


class ScriptedNode:
    """A server's node that replies to each message with functions of the test."""

    def __init__(self, network, address, on_run, on_revoke=None, incarnation="1"):
        self.peers = Peers(network.open_endpoint(address), incarnation)
        self.peers.start()
        self.runs, self.revokes, self.cancels = [], [], []
        self._on_run, self._on_revoke = on_run, on_revoke
        self.peers.handle(Run, self._handle_run)
        self.peers.handle(Revoke, self._handle_revoke)
        self.peers.handle(Cancel, lambda sender, e: self.cancels.append(e.message))

    def _handle_run(self, sender, envelope):
        self.runs.append(envelope.message)
        for reply, body in self._on_run(envelope.message):
            self.peers.send(sender, reply, body)

    def _handle_revoke(self, sender, envelope):
        self.revokes.append(envelope.message)
        if self._on_revoke is not None:
            self.peers.send(sender, self._on_revoke(envelope.message))


def answer(run):
    return [(Reply(run.attempt, "answered", 200), run.call.encode())]


def answer_twice_and_for_other_attempt(run):
    return [(Reply("other", "answered", 200), b"wrong"), *answer(run), *answer(run)]


def refuse(run):
    return [(Reply(run.attempt, "not_run", reason="overloaded"), b"")]


def fail(run):
    return [(Reply(run.attempt, "failed", detail="cut"), b"")]


def keep_silent(run):
    return []


def refuse_first_as_stale():
    """Return a handler that refuses the first run as stale and answers later ones."""
    runs = []

    def handle(run):
        runs.append(run)
        if len(runs) == 1:
            return [(Reply(run.attempt, "not_run", reason="stale"), b"")]
        return answer(run)

    return handle


def reply_never_runs(revoke):
    return Revoked(revoke.attempt, never_runs=True, finished=False)


def reply_started(revoke):
    return Revoked(revoke.attempt, never_runs=False, finished=False)


def make_member(address, **changes):
    return Member(address, "s", address, address, "r", "1", "1", 6, **changes)


def make_call(idempotent=False, deadline_s=2.0, call_id="call-1", hedge_percentile=0.0):
    policy = Policy(hedge_percentile=hedge_percentile, idempotent=idempotent)
    return Call(call_id, "s", "k", "GET", "/", (), b"", deadline_s, None, policy)


def choose_first(candidates, call, rng, now_s):
    return candidates[0]


@pytest.fixture
def network():
    return MemoryNetwork(random.Random(1))


def dispatch(network, on_runs, call=None, **node_options):
    """Run one call on nodes n0, n1, ... tried in order; return outcome and nodes."""

    async def main():
        nodes = [
            ScriptedNode(network, f"n{i}", on_run, **node_options)
            for i, on_run in enumerate(on_runs)
        ]
        peers = Peers(network.open_endpoint("entry"), "e")
        peers.start()
        members = [make_member(f"n{i}") for i in range(len(nodes))]
        dispatcher = Dispatcher(
            peers, lambda service: members, random.Random(2), choose=choose_first
        )
        outcome = await dispatcher.dispatch(call or make_call())
        await asyncio.sleep(1.0)
        assert len(dispatcher.attempts) == 0
        return outcome, nodes

    return run_paused(main())


@pytest.mark.parametrize("granted", [True, False, None])
def test_large_body_goes_to_a_node_that_has_memory_for_it(network, granted):
    async def main():
        nodes = [ScriptedNode(network, f"n{i}", answer) for i in range(2)]
        asked = []
        for node, grant in zip(nodes, (granted, True), strict=True):

            def handle(sender, envelope, node=node, grant=grant):
                asked.append(envelope.message.size_bytes)
                if grant is not None:
                    node.peers.reply(sender, envelope, BodyReserved(grant))

            node.peers.handle(ReserveBody, handle)
        peers = Peers(network.open_endpoint("entry"), "e")
        peers.start()
        members = [make_member("n0"), make_member("n1")]
        dispatcher = Dispatcher(
            peers, lambda service: members, random.Random(2), choose=choose_first
        )
        body = bytes(LARGE_BODY_BYTES + 1)
        outcome = await dispatcher.dispatch(
            msgspec.structs.replace(make_call(), body=body)
        )
        assert isinstance(outcome, Answered)
        # A node without an answer may run a version that has no such message.
        taken_by = 1 if granted is False else 0
        assert [len(node.runs) for node in nodes] == [1 - taken_by, taken_by]
        assert set(asked) == {len(body)}
        await dispatcher.dispatch(make_call(call_id="small"))
        assert len(asked) == 1 + taken_by

    run_paused(main())


@pytest.mark.parametrize(
    ("on_revoke", "outcome"), [(reply_started, Unknown), (reply_never_runs, NotRun)]
)
@pytest.mark.parametrize("idempotent", [False, True])
def test_call_in_progress_ends_with_its_outcome_when_the_node_stops(
    network, on_revoke, outcome, idempotent
):
    """It was cut without an answer; its attempt could still start afterwards."""

    async def main():
        node = ScriptedNode(network, "n0", keep_silent, on_revoke)
        peers = Peers(network.open_endpoint("entry"), "e")
        peers.start()
        dispatcher = Dispatcher(
            peers, lambda service: [make_member("n0")], random.Random(2)
        )
        loop = asyncio.get_running_loop()
        call = make_call(idempotent, deadline_s=loop.time() + 5.0)
        task = asyncio.create_task(dispatcher.dispatch(call))
        await asyncio.sleep(0.01)
        end_s = loop.time() + 0.05
        dispatcher.end_calls(end_s)
        result = await task
        return result, loop.time() - end_s, node

    result, late_s, node = run_paused(main())
    assert isinstance(result, outcome), result
    assert late_s <= 1e-6 and node.revokes
    assert len(node.runs) == 1


def test_attempt_that_is_sent_during_a_stop_gets_the_time_until_its_end(network):
    """Sent with the caller's time, it could start after its entry node had gone."""

    async def main():
        node = ScriptedNode(network, "n0", keep_silent)
        peers = Peers(network.open_endpoint("entry"), "e")
        peers.start()
        dispatcher = Dispatcher(
            peers, lambda service: [make_member("n0")], random.Random(2)
        )
        now_s = asyncio.get_running_loop().time()
        dispatcher.end_calls(now_s + 0.5)
        result = await dispatcher.dispatch(make_call(deadline_s=now_s + 5.0))
        return result, node.runs[0].budget_ms

    result, budget_ms = run_paused(main())
    assert isinstance(result, Unknown) and "stop" in result.detail
    assert budget_ms == pytest.approx(500.0)


def test_answer_reaches_its_call_once(network):
    outcome, _ = dispatch(network, [answer_twice_and_for_other_attempt])
    assert outcome == Answered(200, (), b"call-1")


def test_call_without_members_is_not_run(network):
    outcome, _ = dispatch(network, [])
    assert isinstance(outcome, NotRun)
    assert outcome.retry_after_s > 0


@pytest.mark.parametrize("idempotent", [False, True])
def test_refused_call_goes_to_another_server(network, idempotent):
    outcome, nodes = dispatch(network, [refuse, answer], make_call(idempotent))
    assert isinstance(outcome, Answered)
    assert [len(node.runs) for node in nodes] == [1, 1]


def shed(run):
    return [(Reply(run.attempt, "not_run", reason="shed"), b"")]


def test_refusals_by_nodes_cost_no_attempts(network):
    """Draining nodes must not end a call that another node would take."""
    outcome, nodes = dispatch(network, [refuse, refuse, refuse, refuse, answer])
    assert isinstance(outcome, Answered)
    assert [len(node.runs) for node in nodes] == [1] * 5


def test_refusals_by_servers_cost_attempts(network):
    outcome, nodes = dispatch(network, [shed, shed, shed, answer])
    assert isinstance(outcome, NotRun)
    assert [len(node.runs) for node in nodes] == [1, 1, 1, 0]


def test_redirects_of_call_are_limited(network):
    outcome, nodes = dispatch(network, [refuse] * 9)
    assert isinstance(outcome, NotRun)
    assert sum(len(node.runs) for node in nodes) == 6


def make_slowness_news(server, slowness):
    report = LoadReport(server, 0, 0, 6, 0.0, ServerState.SERVING, "1", slowness)
    return LoadUpdate(report)


@pytest.mark.parametrize(("idempotent", "hedges"), [(True, 1), (False, 0)])
def test_call_is_hedged_when_its_host_becomes_slow(network, idempotent, hedges):
    async def main():
        nodes = [ScriptedNode(network, f"n{i}", keep_silent) for i in range(2)]
        nodes[1]._on_run = answer
        peers = Peers(network.open_endpoint("entry"), "e")
        peers.start()
        members = [make_member("n0"), make_member("n1")]
        dispatcher = Dispatcher(
            peers, lambda service: members, random.Random(2), choose=choose_first
        )
        call = make_call(idempotent, hedge_percentile=99.0)
        task = asyncio.create_task(dispatcher.dispatch(call))
        await asyncio.sleep(0.05)
        nodes[1].peers.send("entry", make_slowness_news("n1", 1.0))
        nodes[0].peers.send("entry", make_slowness_news("n0", 1.0))
        await asyncio.sleep(0.05)
        runs_before = len(nodes[1].runs)
        nodes[0].peers.send("entry", make_slowness_news("n0", 7.0))
        await asyncio.sleep(0.05)
        runs_after = len(nodes[1].runs)
        task.cancel()
        return runs_before, runs_after

    assert run_paused(main()) == (0, hedges)


def test_stale_call_is_resent_with_clock_reading(network):
    outcome, (node, other) = dispatch(network, [refuse_first_as_stale(), answer])
    assert isinstance(outcome, Answered)
    assert [run.latest_start_s > 0 for run in node.runs] == [False, True]
    assert other.runs == []


def refuse_first_with_slowness(server, slowness):
    """Return a handler that refuses the first run as stale and reports slowness."""
    report = LoadReport(server, 0, 0, 6, 0.0, ServerState.SERVING, "1", slowness)
    runs = []

    def handle(run):
        runs.append(run)
        if len(runs) == 1:
            reply = Reply(run.attempt, "not_run", reason="stale", load=report)
            return [(reply, b"")]
        return answer(run)

    return handle


def choose_least_slow(candidates, call, rng, now_s):
    """Choose the least slow host; hosts without a report count as slowness 2."""
    return min(candidates, key=lambda load: load.report.slowness if load.report else 2)


@pytest.mark.parametrize("idempotent", [False, True])
@pytest.mark.parametrize(
    ("slowness", "runs"),
    [
        ((1.0, 1.0, 1.0), [2, 0, 0]),
        ((7.0, 1.0, 1.0), [1, 2, 0]),
        # The slowness in the stale refusal of another server still counts.
        ((3.0, 7.0, 7.0), [2, 1, 1]),
    ],
)
def test_stale_call_goes_to_fastest_reported_host(network, idempotent, slowness, runs):
    async def main():
        nodes = [
            ScriptedNode(network, f"n{i}", refuse_first_with_slowness(f"n{i}", each))
            for i, each in enumerate(slowness)
        ]
        peers = Peers(network.open_endpoint("entry"), "e")
        peers.start()
        members = [make_member(f"n{i}") for i in range(len(nodes))]
        dispatcher = Dispatcher(
            peers, lambda service: members, random.Random(2), choose=choose_least_slow
        )
        outcome = await dispatcher.dispatch(make_call(idempotent))
        return outcome, [len(node.runs) for node in nodes]

    outcome, runs_seen = run_paused(main())
    assert isinstance(outcome, Answered)
    assert runs_seen == runs


def test_idempotent_call_is_hedged_before_latencies_are_known(network):
    """A node that freezes right after the entry node's start must not delay calls."""
    call = make_call(idempotent=True, deadline_s=1.5, hedge_percentile=95.0)
    outcome, nodes = dispatch(network, [keep_silent, answer], call)
    assert isinstance(outcome, Answered)
    assert len(nodes[0].runs) == 1


@pytest.mark.parametrize(("in_flight", "runs"), [(1, 1), (4, 0)])
def test_call_is_hedged_only_to_a_server_with_room(network, in_flight, runs):
    """Hedges that queue at full servers delay the calls that run nowhere yet."""

    async def main():
        silent = ScriptedNode(network, "n0", keep_silent)
        other = ScriptedNode(network, "n1", answer)
        peers = Peers(network.open_endpoint("entry"), "e")
        peers.start()
        members = [make_member("n0"), make_member("n1")]
        events = []
        dispatcher = Dispatcher(
            peers,
            lambda service: members,
            random.Random(2),
            events.append,
            choose=lambda candidates, call, rng, now_s: candidates[0],
        )
        call = make_call(idempotent=True, deadline_s=1.5, hedge_percentile=95.0)
        task = asyncio.create_task(dispatcher.dispatch(call))
        await asyncio.sleep(0.05)
        load = LoadReport("n1", in_flight, 0, 4, 10.0, ServerState.SERVING, "1")
        other.peers.send("entry", LoadUpdate(load))
        await task
        denied = [e.reason for e in events if isinstance(e, RetryDenied)]
        return len(silent.runs), len(other.runs), denied

    silent_runs, other_runs, denied = run_paused(main())
    assert silent_runs == 1
    assert other_runs == runs
    assert (DenyReason.LOAD in denied) is not bool(runs)


def test_failed_idempotent_call_goes_to_another_server(network):
    outcome, _ = dispatch(network, [fail, answer], make_call(idempotent=True))
    assert isinstance(outcome, Answered)


@pytest.mark.parametrize("status", [0, 99, 101, 600, 999])
def test_reply_of_a_status_that_http_does_not_have_is_no_answer(network, status):
    def answer_oddly(run):
        return [(Reply(run.attempt, "answered", status), b"")]

    outcome, _ = dispatch(network, [answer_oddly])
    assert isinstance(outcome, Unknown)


MALFORMED_FIELDS = [
    ("X A", "1"),
    ("X-A ", "1"),
    (" X-A", "1"),
    ("", "1"),
    ("X\x01", "1"),
    ("X\xa0", "1"),
    ("X-A", "1\x01"),
    ("X-A", "1\r\nX-B: 2"),
    ("X-A", "\u2713"),
]
VALID_FIELDS = [("!#$%&'*+-.^_`|~0aZ", "1"), ("X-A", "\xe9\t"), ("X-A", "")]


@pytest.mark.parametrize("field", MALFORMED_FIELDS)
def test_reply_with_a_malformed_field_is_no_answer(network, field):
    """A node of an earlier version passed such fields on, and so did the entry node."""

    def answer_oddly(run):
        return [(Reply(run.attempt, "answered", 200, [("X", "1"), field]), b"")]

    outcome, nodes = dispatch(network, [answer_oddly, answer])
    assert isinstance(outcome, Unknown) and "the answer has " in outcome.detail
    assert nodes[1].runs == []


@pytest.mark.parametrize("field", VALID_FIELDS)
def test_reply_with_a_valid_odd_field_is_an_answer(network, field):
    def answer_oddly(run):
        return [(Reply(run.attempt, "answered", 200, [field]), b"")]

    outcome, _ = dispatch(network, [answer_oddly])
    assert outcome == Answered(200, (field,), b"")


def test_failed_call_is_unknown_and_not_retried(network):
    outcome, nodes = dispatch(network, [fail, answer])
    assert isinstance(outcome, Unknown)
    assert nodes[1].runs == []


def test_call_without_reply_is_unknown_at_deadline(network):
    outcome, nodes = dispatch(network, [keep_silent, answer])
    assert isinstance(outcome, Unknown)
    assert nodes[1].runs == []
    assert len(nodes[0].revokes) > 1
    assert len(nodes[0].cancels) == 1


def test_started_call_is_not_retried(network):
    outcome, nodes = dispatch(network, [keep_silent, answer], on_revoke=reply_started)
    assert isinstance(outcome, Unknown)
    assert nodes[1].runs == []


def test_revoked_call_goes_to_another_server(network):
    outcome, nodes = dispatch(
        network, [keep_silent, answer], on_revoke=reply_never_runs
    )
    assert isinstance(outcome, Answered)
    assert nodes[1].runs[0].attempt != nodes[0].runs[0].attempt


def test_unsent_call_goes_to_another_server(network):
    async def main():
        ScriptedNode(network, "n1", answer)
        peers = Peers(network.open_endpoint("entry"), "e")
        peers.start()
        members = [make_member("n0"), make_member("n1")]
        dispatcher = Dispatcher(
            peers, lambda service: members, random.Random(2), choose=choose_first
        )
        return await dispatcher.dispatch(make_call())

    assert isinstance(run_paused(main()), Answered)


def test_cancelled_call_cancels_its_attempt(network):
    async def main():
        node = ScriptedNode(network, "n0", keep_silent)
        peers = Peers(network.open_endpoint("entry"), "e")
        peers.start()
        members = [make_member("n0")]
        dispatcher = Dispatcher(peers, lambda service: members, random.Random(2))
        task = asyncio.create_task(dispatcher.dispatch(make_call()))
        await asyncio.sleep(0.05)
        task.cancel()
        await asyncio.sleep(0.05)
        return node

    node = run_paused(main())
    assert [m.attempt for m in node.cancels] == [m.attempt for m in node.runs]


@pytest.mark.parametrize("on_revoke", [reply_started, reply_never_runs])
def test_node_restart_ends_attempts_as_unknown(network, on_revoke):
    async def main():
        ScriptedNode(network, "n0", keep_silent)
        peers = Peers(network.open_endpoint("entry"), "e")
        peers.start()
        members = [make_member("n0")]
        dispatcher = Dispatcher(peers, lambda service: members, random.Random(2))
        task = asyncio.create_task(dispatcher.dispatch(make_call(deadline_s=60.0)))
        await asyncio.sleep(0.05)
        ScriptedNode(network, "n0", keep_silent, on_revoke, incarnation="2")
        outcome = await task
        return outcome, asyncio.get_running_loop().time()

    outcome, ended_s = run_paused(main())
    assert isinstance(outcome, Unknown)
    assert ended_s < 1.0


def test_reply_from_another_node_is_ignored(network):
    async def main():
        ScriptedNode(network, "n0", keep_silent)
        other = ScriptedNode(network, "n1", keep_silent)
        peers = Peers(network.open_endpoint("entry"), "e")
        peers.start()
        members = [make_member("n0")]
        dispatcher = Dispatcher(peers, lambda service: members, random.Random(2))
        task = asyncio.create_task(dispatcher.dispatch(make_call()))
        await asyncio.sleep(0.01)
        (attempt_id,) = dispatcher.attempts._open
        other.peers.send("entry", Reply(attempt_id, "answered", 200), b"wrong")
        return await task, dispatcher.attempts.ignored

    outcome, ignored = run_paused(main())
    assert isinstance(outcome, Unknown)
    assert ignored == 1


def make_report(server, **fields):
    return LoadReport(server, 0, 0, 6, 0.0, ServerState.SERVING, "1", **fields)


def dispatch_after_report(network, report, on_runs, **call_fields):
    """Run one call after a load report has arrived; return its outcome and nodes."""

    async def main():
        nodes = [
            ScriptedNode(network, f"n{i}", on_run) for i, on_run in enumerate(on_runs)
        ]
        peers = Peers(network.open_endpoint("entry"), "e")
        peers.start()
        members = [make_member("n0"), make_member("n1")]
        dispatcher = Dispatcher(
            peers, lambda service: members, random.Random(2), choose=choose_first
        )
        dispatcher.explain("s")
        nodes[0].peers.send("entry", LoadUpdate(report))
        await asyncio.sleep(0.05)
        # The node beside the server restarts and has forgotten what the server said.
        members[0] = msgspec.structs.replace(members[0], incarnation="2", start_id="")
        nodes[0].peers.send("entry", LoadUpdate(make_report("n0")))
        await asyncio.sleep(3.0)
        outcome = await dispatcher.dispatch(make_call(deadline_s=9.0, **call_fields))
        return outcome, nodes

    return run_paused(main())


@pytest.mark.parametrize("idempotent", [False, True])
def test_leaving_server_gets_no_call_after_its_node_restarts(network, idempotent):
    report = make_report("n0", server_leaving=True)
    outcome, nodes = dispatch_after_report(
        network, report, [answer, answer], idempotent=idempotent
    )
    assert isinstance(outcome, Answered)
    assert [len(node.runs) for node in nodes] == [0, 1]


def test_run_tells_the_limit_of_the_server_to_a_node_that_has_restarted(network):
    report = make_report("n0", server_limit_per_s=5.0)
    _, nodes = dispatch_after_report(network, report, [answer, answer])
    assert {run.server_limit_per_s for run in nodes[0].runs} == {5.0}


def refuse_as_stale_and_leaving(run):
    report = make_report("n0", server_leaving=True)
    return [(Reply(run.attempt, "not_run", reason="stale", load=report), b"")]


def test_stale_call_is_not_resent_to_a_leaving_server(network):
    outcome, nodes = dispatch(network, [refuse_as_stale_and_leaving, answer])
    assert isinstance(outcome, Answered)
    assert [len(node.runs) for node in nodes] == [1, 1]
