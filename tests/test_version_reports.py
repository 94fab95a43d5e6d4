"""Counts of the gate's answers during a rollout."""

import asyncio

from sapphireway._rollout_reports import count_answer, make_version_reporter
from sapphireway_coordination import AttemptServed
from sapphireway_protocol import Cancel, ServerState
from sapphireway_state import Rollout, RolloutState
from sapphireway_transport.memory import run_paused
from tests.gate_bench import Bench, paused

ROLLOUT = Rollout("ledger", "v2", 7, 0.0, 12000.0, 0.5)


class ReportingBench(Bench):
    """A gate beside a server of the new version of a running rollout."""

    def __init__(self):
        super().__init__()
        self.entry_version = 7
        self.rollout = ROLLOUT
        self.reports = []
        self.reporter = make_version_reporter(
            self.gate, lambda service: self.rollout, self.reports.append
        )
        self.announce(version="v2")

    def get_counts(self):
        """Count what the gate observed, and return the counts that are reported."""
        for event in self.list_events(AttemptServed):
            count_answer(self.reporter, event)
        self.events.clear()
        self.reporter.close()
        self.reporter.update()
        kinds = self.reports[-1].kinds
        return {k: (c.answers, c.failures, sum(c.latencies)) for k, c in kinds.items()}


def with_reports(test):
    """Run a test with a new, warm bench on the paused clock."""

    def run():
        async def main():
            bench = ReportingBench()
            await bench.warm()
            bench.events.clear()
            await test(bench)
            bench.reporter.close()

        run_paused(main())

    run.__name__ = test.__name__
    return run


@with_reports
async def test_answers_are_counted_by_kind(bench):
    await bench.call("a", kind="balance")
    await bench.call("b", kind="entry")
    await bench.call("c", kind="entry")
    assert bench.get_counts() == {"balance": (1, 0, 1), "entry": (2, 0, 2)}
    report = bench.reports[-1]
    assert (report.service, report.order, report.version) == ("ledger", 7, "v2")
    assert (report.server, report.in_flight, report.cold) == ("s1", 0, False)


@with_reports
async def test_server_errors_and_broken_answers_are_failures(bench):
    bench.server.shed_unmarked = True
    await bench.call("a")
    bench.server.shed_unmarked = False
    bench.server.crash_on = lambda request: True
    await bench.call("b")
    answers, failures, _ = bench.get_counts()["balance"]
    assert (answers, failures) == (2, 2)


@with_reports
async def test_request_that_the_server_did_not_run_says_nothing_of_its_version(bench):
    """At an old address another service's server may answer: it refuses."""
    bench.server.shed = True
    await bench.call("a")
    bench.server.shed = False
    bench.server.refuse = True
    await bench.call("b")
    assert bench.get_counts() == {}


@with_reports
async def test_cancelled_request_counts_with_the_time_it_took(bench):
    """If hedges always won against a slow version, it would look unused."""
    bench.server.slow_factor = 100.0
    bench.send("a")
    await asyncio.sleep(0.2)
    bench.entry.send("node", Cancel("a"))
    await asyncio.sleep(0.1)
    assert bench.get_counts() == {"balance": (1, 0, 1)}
    (counts,) = bench.reports[-1].kinds.values()
    assert len(counts.latencies) > 14


@with_reports
async def test_reports_are_sent_only_while_a_rollout_runs(bench):
    bench.reporter.update()
    await asyncio.sleep(1.1)
    assert len(bench.reports) == 5
    bench.rollout = Rollout(
        "ledger", "v2", 7, 0.0, 12000.0, 0.5, RolloutState.ROLLED_BACK
    )
    await asyncio.sleep(1.0)
    assert len(bench.reports) == 5
    bench.rollout = None
    bench.reporter.update()
    assert len(bench.reports) == 5


@with_reports
async def test_counts_start_at_zero_for_the_next_rollout(bench):
    await bench.call("a")
    assert bench.get_counts()
    bench.rollout = Rollout("ledger", "v2", 9, 0.0, 12000.0, 0.5)
    assert bench.get_counts() == {}


@paused
async def test_answers_of_a_cold_server_have_no_latency(bench):
    """A cold server is slow whatever its version."""
    reports = []
    reporter = make_version_reporter(bench.gate, lambda s: ROLLOUT, reports.append)
    bench.entry_version, bench.rollout = 7, ROLLOUT
    bench.announce(version="v2", cold_s=5.0, cold_rate_per_s=50.0)
    await bench.call("a")
    for event in bench.list_events(AttemptServed):
        count_answer(reporter, event)
    reporter.update()
    (counts,) = reports[-1].kinds.values()
    assert (counts.answers, counts.latencies, reports[-1].cold) == (1, [], True)
    reporter.close()


@paused
async def test_server_that_warms_up_by_requests_alone_is_ready_while_cold(bench):
    """Else it would wait for its share, and its share for it.

    Its latencies count too: a slow version might stay cold until the end.
    """
    reports = []
    reporter = make_version_reporter(bench.gate, lambda s: ROLLOUT, reports.append)
    bench.announce(version="v2")
    reporter.update()
    assert bench.gate.get_load().state is ServerState.COLD
    assert not reports[-1].cold
    bench.entry_version, bench.rollout = 7, ROLLOUT
    await bench.call("a")
    for event in bench.list_events(AttemptServed):
        count_answer(reporter, event)
    reporter.close()
    reporter.update()
    (counts,) = reports[-1].kinds.values()
    assert sum(counts.latencies) == 1
    reporter.close()
