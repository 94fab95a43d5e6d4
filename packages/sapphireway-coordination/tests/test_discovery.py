import asyncio
import dataclasses

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
WELL = SelfReport(1.0, 0.0, "s1", 0, 6)
SPEC = ServiceSpec("ledger", "/well", 50, cold_rate_per_s=10.0)


def run_found(report=WELL, status=200, spec=SPEC, then=None):
    """Play the start of a node whose server answers its question so."""

    async def main():
        bench = Bench(announced=False)
        asked = []

        async def fetch(url):
            asked.append((url, asyncio.get_running_loop().time()))
            return None if status is None else Responded(status, (), b"")

        dialect = dataclasses.replace(
            DEFAULT_SERVER_DIALECT, read_report=lambda answer: report
        )
        found = await discover_local_server(
            bench.gate, URL, lambda: spec, fetch, dialect
        )
        if then is not None:
            await then(bench)
        return found, bench, asked

    return run_paused(main())


def test_server_is_known_after_one_question():
    found, bench, asked = run_found()
    assert found and asked == [(URL + "/well", 0.0)]
    known = bench.gate.announcement
    assert (known.server, known.service, known.slots) == ("s1", "ledger", 6)
    assert (known.connections_max, known.cold_rate_per_s) == (50, 10.0)


def test_server_that_was_found_is_given_work_at_once():
    async def call(bench):
        assert (await bench.call("a")).outcome == "answered"

    run_found(then=call)


@pytest.mark.parametrize(
    ("report", "status"),
    [
        (WELL, 503),
        (WELL, None),
        (dataclasses.replace(WELL, server=None), 200),
        (dataclasses.replace(WELL, slots=None), 200),
        (dataclasses.replace(WELL, cold_s=None), 200),
    ],
)
def test_server_that_does_not_say_enough_has_to_announce_itself(report, status):
    found, bench, asked = run_found(report, status)
    assert not found and bench.gate.announcement is None
    assert 10 < len(asked) < 100


def test_nobody_is_asked_before_the_service_is_known():
    found, _, asked = run_found(spec=None)
    assert not found and not asked


def test_announcement_of_a_found_server_is_no_restart():
    async def announce(bench):
        bench.announce()
        bench.server.freeze()
        for number in range(6):
            bench.send(f"a{number}")
        await asyncio.sleep(0.01)
        assert len(bench.list_events(AttemptStarted)) == 6
        bench.announce(start_id="start-1", in_flight=None)
        assert bench.gate.get_load().in_flight == 6

    run_found(then=announce)


def test_announcement_that_comes_first_holds():
    async def main():
        bench = Bench(announced=False)

        async def fetch(url):
            bench.announce(slots=3)
            return Responded(200, (), b"")

        dialect = dataclasses.replace(
            DEFAULT_SERVER_DIALECT, read_report=lambda answer: WELL
        )
        assert await discover_local_server(
            bench.gate, URL, lambda: SPEC, fetch, dialect
        )
        assert isinstance(bench.gate.announcement, Announcement)
        assert bench.gate.announcement.slots == 3

    run_paused(main())
