import asyncio

import msgspec
import pytest
from tests.gate_bench import Bench

from sapphireway_coordination import (
    DEFAULT_SERVER_DIALECT,
    Announcement,
    AttemptStarted,
    SelfReport,
    discover_local_server,
)
from sapphireway_state import ServiceSpec
from sapphireway_transport import Responded
from sapphireway_transport.memory import run_paused

URL = "http://s1"
HEALTHY_REPORT = SelfReport(1.0, 0.0, "s1", 0, 6)
SPEC = ServiceSpec("ledger", "/well", 50, cold_rate_per_s=10.0)


def run_discovery(report=HEALTHY_REPORT, status=200, spec=SPEC, then=None):
    """Start a node whose server answers its health poll with `report`."""

    async def main():
        bench = Bench(announced=False)
        fetched = []

        async def fetch(url):
            fetched.append((url, asyncio.get_running_loop().time()))
            return None if status is None else Responded(status, (), b"")

        dialect = msgspec.structs.replace(
            DEFAULT_SERVER_DIALECT, read_report=lambda answer: report
        )
        found = await discover_local_server(
            bench.gate, URL, lambda: spec, fetch, dialect
        )
        if then is not None:
            await then(bench)
        return found, bench, fetched

    return run_paused(main())


def test_server_is_registered_after_one_answer():
    found, bench, fetched = run_discovery()
    assert found and fetched == [(URL + "/well", 0.0)]
    known = bench.gate.announcement
    assert (known.server, known.service, known.slots) == ("s1", "ledger", 6)
    assert (known.connections_max, known.cold_rate_per_s) == (50, 10.0)


def test_discovered_server_gets_work_immediately():
    async def call(bench):
        assert (await bench.call("a")).outcome == "answered"

    run_discovery(then=call)


@pytest.mark.parametrize(
    ("report", "status"),
    [
        (HEALTHY_REPORT, 503),
        (HEALTHY_REPORT, None),
        (msgspec.structs.replace(HEALTHY_REPORT, server=None), 200),
        (msgspec.structs.replace(HEALTHY_REPORT, slots=None), 200),
        (msgspec.structs.replace(HEALTHY_REPORT, cold_s=None), 200),
    ],
)
def test_incomplete_answer_does_not_register_server(report, status):
    found, bench, fetched = run_discovery(report, status)
    assert not found and bench.gate.announcement is None
    assert 10 < len(fetched) < 100


def test_server_is_not_polled_without_service_spec():
    found, _, fetched = run_discovery(spec=None)
    assert not found and not fetched


def test_server_with_one_connection_is_not_polled():
    # The connection would stay open, and the server accept none for requests.
    spec = msgspec.structs.replace(SPEC, connections_max=1)
    found, _, fetched = run_discovery(spec=spec)
    assert not found and not fetched


def test_announcement_of_discovered_server_is_no_restart():
    async def announce(bench):
        bench.announce()
        bench.server.freeze()
        for number in range(6):
            bench.send(f"a{number}")
        await asyncio.sleep(0.01)
        assert len(bench.list_events(AttemptStarted)) == 6
        bench.announce(start_id="start-1", in_flight=None)
        assert bench.gate.get_load().in_flight == 6

    run_discovery(then=announce)


def test_announcement_during_discovery_takes_precedence():
    async def main():
        bench = Bench(announced=False)

        async def fetch(url):
            bench.announce(slots=3)
            return Responded(200, (), b"")

        dialect = msgspec.structs.replace(
            DEFAULT_SERVER_DIALECT, read_report=lambda answer: HEALTHY_REPORT
        )
        assert await discover_local_server(
            bench.gate, URL, lambda: SPEC, fetch, dialect
        )
        assert isinstance(bench.gate.announcement, Announcement)
        assert bench.gate.announcement.slots == 3

    run_paused(main())
