"""State machine of an entry node over a network that delays and repeats messages."""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from tests.gate_bench import NODE, Bench, make_attempt

from sapphireway_coordination.routing._attempts import excludes_run
from sapphireway_protocol import Cancel, Departed, Revoke
from sapphireway_transport.memory import PausedLoop

ATTEMPTS = st.integers(0, 3).map(str)
START_MARGINS_S = st.sampled_from([0.05, 100.0, 130.0])
DELAYS_S = st.sampled_from([0.0, 0.004, 0.05, 50.0, 190.0])


class AttemptMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.loop = PausedLoop()
        asyncio.set_event_loop(self.loop)
        self.starts = 1
        self.departures = []
        self.bench = self.step(self.open_bench())

    async def open_bench(self):
        bench = Bench()
        bench.network.jitter_s = 0.01
        bench.entry.handle(Departed, lambda sender, e: self.departures.append(e))
        return bench

    def step(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def teardown(self):
        self.step(self.pause(1.0))
        self.bench.gate.close()
        self.step(asyncio.sleep(0.01))
        self.loop.close()

    async def pause(self, delay_s):
        await asyncio.sleep(delay_s)
        self.bench.announce()
        await asyncio.sleep(0.05)

    async def call(self, function, *args, **kwargs):
        function(*args, **kwargs)

    @rule(attempt=ATTEMPTS, idempotent=st.booleans(), margin_s=START_MARGINS_S)
    def send(self, attempt, idempotent, margin_s):
        bench = self.bench
        if attempt in bench.sent:
            self.step(self.call(bench.entry.send, NODE, bench.sent[attempt]))
            return
        latest_start_s = self.loop.time() + margin_s
        self.step(
            self.call(
                bench.send,
                attempt,
                idempotent=idempotent,
                latest_start_s=latest_start_s,
            )
        )

    @rule(attempt=ATTEMPTS, message=st.sampled_from([Revoke, Cancel]))
    def revoke_or_cancel(self, attempt, message):
        # An entry node revokes or cancels only attempts that it has sent.
        if attempt in self.bench.sent:
            request = message(attempt)
            if message is Revoke:
                request = Revoke(attempt, self.bench.sent[attempt].latest_start_s)
            self.step(self.call(self.bench.entry.send, NODE, request))

    @rule(delay_s=DELAYS_S)
    def wait(self, delay_s):
        self.step(self.pause(delay_s))

    @rule(drain_s=st.sampled_from([0.0, 0.002, 1.0]))
    def stop(self, drain_s):
        """Stop the node gracefully, drained or not, and start it again."""
        self.step(self.stop_gate(self.loop.time() + drain_s))
        self.restart_node()

    async def stop_gate(self, deadline_s):
        await self.bench.gate.drain(deadline_s)
        await self.bench.gate.notify_peers(deadline_s)

    @rule(fault=st.sampled_from(["out", "crash", "freeze", "restart"]))
    def inject_fault(self, fault):
        bench = self.bench
        match fault:
            case "out":
                bench.gate.set_out(True)
                self.step(self.pause(0.05))
                bench.gate.set_out(False)
            case "crash":
                self.step(self.call(bench.server.crash))
            case "freeze":
                bench.server.freeze()
                self.step(self.pause(0.03))
                bench.server.thaw()
            case "restart":
                self.restart_node()

    def restart_node(self):
        self.starts += 1
        self.bench.gate.close()
        self.bench.peers.close()
        self.step(self.call(self.bench.open_gate, f"n{self.starts}"))

    @invariant()
    def attempts_run_at_most_once(self):
        for attempt, ran in self.bench.server.runs.items():
            assert len(ran) == 1, f"attempt {attempt} ran {len(ran)} times"

    @invariant()
    def refused_attempts_never_run(self):
        for attempt, replies in self.bench.replies.items():
            if any(reply.outcome == "not_run" for reply in replies):
                assert not self.bench.count_runs(attempt), f"{attempt} did run"
        for attempt, answers in self.bench.revoked.items():
            if any(answer.never_runs for answer in answers):
                assert not self.bench.count_runs(attempt), f"{attempt} did run"

    @invariant()
    def attempts_that_a_departed_node_excludes_never_run(self):
        for envelope in self.departures:
            for run in self.bench.sent.values():
                if excludes_run(envelope, make_attempt(run)):
                    assert not self.bench.count_runs(run.attempt), f"{run} did run"

    @invariant()
    def server_load_is_within_slots(self):
        assert self.bench.server.in_flight_max <= self.bench.server.slots


AttemptMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=30, derandomize=True, deadline=None
)
test_attempt_machine = AttemptMachine.TestCase
