"""Test bench: a gate with an in-memory server, driven by an entry node's messages."""

import asyncio
import random

import msgspec

from sapphireway_coordination import (
    DEFAULT_SERVER_DIALECT,
    Announcement,
    Gate,
    SelfReport,
)
from sapphireway_coordination.routing._attempts import Attempt
from sapphireway_protocol import Peers, Reply, Revoked, Run, ServerState
from sapphireway_state import Policy
from sapphireway_transport.memory import MemoryNetwork, MemoryServer, run_paused

NODE = "node"
ENTRY = "entry"


class Bench:
    """A gate with an in-memory server, and an entry node that sends to it."""

    def __init__(
        self,
        seed=1,
        slots=6,
        policy=None,
        announced=True,
        dialect=DEFAULT_SERVER_DIALECT,
        health_client=None,
    ):
        self.rng = random.Random(seed)
        self.network = MemoryNetwork(self.rng)
        self.server = MemoryServer(self.rng, slots)
        self.policy = policy or Policy()
        self.dialect = dialect
        self.health_client = health_client
        self.events = []
        self.rollout = None
        self.entry_version = 0
        self.sent = {}
        self.replies = {}
        self.revoked = {}
        self.entry = Peers(
            self.network.open_endpoint(ENTRY), "e1", lambda: self.entry_version
        )
        self.entry.handle(Reply, self._collect(self.replies))
        self.entry.handle(Revoked, self._collect(self.revoked))
        self.entry.start()
        self.open_gate("first")
        if announced:
            self.announce()

    def _collect(self, store):
        def collect(sender, envelope):
            # Ignore messages from another start of the node than the run names.
            run = self.sent.get(envelope.message.attempt)
            if run is None or run.incarnation in (envelope.incarnation, "earlier", ""):
                attempt = envelope.message.attempt
                store.setdefault(attempt, []).append(envelope.message)

        return collect

    def open_gate(self, incarnation):
        self.incarnation = incarnation
        self.peers = Peers(self.network.open_endpoint(NODE), incarnation)
        self.gate = Gate(
            self.peers,
            self.server,
            self.rng,
            lambda service, kind: self.policy,
            self.events.append,
            dialect=self.dialect,
            get_rollout=lambda service: self.rollout,
            health_client=self.health_client,
        )
        self.peers.start()

    def announce(self, **changes):
        announcement = Announcement(
            "s1", "ledger", "http://s1", self.server.slots, 200, self.server.start_id
        )
        changes = {"in_flight": self.server.reported_in_flight} | changes
        return self.gate.announce(msgspec.structs.replace(announcement, **changes))

    def send(self, attempt, **changes):
        now_s = asyncio.get_running_loop().time()
        fields = {
            "call": attempt,
            "service": "ledger",
            "kind": "balance",
            "method": "GET",
            "target": "/",
            "headers": [],
            "idempotent": False,
            "weight": 10,
            "digest": "",
            "budget_ms": 1000.0,
            "latest_start_s": now_s + 0.5,
            "incarnation": self.incarnation,
        }
        body = changes.pop("body", b"")
        self.sent[attempt] = Run(attempt, **(fields | changes))
        self.entry.send(NODE, self.sent[attempt], body)

    async def call(self, attempt, **changes):
        self.send(attempt, **changes)
        while attempt not in self.replies:
            await asyncio.sleep(0.001)
        return self.replies[attempt][-1]

    async def warm(self):
        count = 0
        while self.gate.get_load().state is ServerState.COLD:
            batch = [self.call(f"warm{count}-{i}") for i in range(self.server.slots)]
            await asyncio.gather(*batch)
            count += 1

    def count_runs(self, call):
        return len(self.server.runs.get(call, ()))

    def list_events(self, event_type):
        return [event for event in self.events if isinstance(event, event_type)]


class ReportingBench(Bench):
    """A bench whose server reports in each answer what a test sets.

    Attributes
    ----------
    report : SelfReport
    """

    def __init__(self, **options):
        self.report = SelfReport()
        dialect = msgspec.structs.replace(
            DEFAULT_SERVER_DIALECT, read_report=lambda answer: self.report
        )
        super().__init__(dialect=dialect, **options)


def with_reports(test):
    """Run a test with a new, warm `ReportingBench` on the paused clock."""

    def run():
        async def main():
            bench = ReportingBench()
            await bench.warm()
            await test(bench)

        run_paused(main())

    run.__name__ = test.__name__
    return run


def make_attempt(run):
    """Return the entry node's view of an attempt that was sent as `run`."""
    attempt = Attempt(run.attempt, None, None, run.incarnation, 0.0, None)
    attempt.latest_start_s = run.latest_start_s
    return attempt


def paused(test):
    """Run a test with a new bench on the paused clock."""

    def run():
        async def main():
            await test(Bench())

        run_paused(main())

    run.__name__ = test.__name__
    return run
