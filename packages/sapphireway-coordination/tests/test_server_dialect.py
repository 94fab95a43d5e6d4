import msgspec
import pytest
from tests.gate_bench import Bench

from sapphireway_coordination import DEFAULT_SERVER_DIALECT, SelfReport
from sapphireway_coordination.gate._exchange import make_request
from sapphireway_coordination.gate._server_dialect import read_own_report
from sapphireway_protocol import NotRunReason, Run
from sapphireway_transport import Responded
from sapphireway_transport.memory import run_paused

LIMIT, LEAVING = "Sapphireway-Limit-Per-S", "Sapphireway-Leaving"


@pytest.mark.parametrize(
    ("headers", "report"),
    [
        ((), SelfReport()),
        (((LIMIT, "2.5"),), SelfReport(requests_per_s=2.5)),
        (((LEAVING.lower(), "1"),), SelfReport(leaving=True)),
        (((LEAVING, "0"),), SelfReport()),
        (((LIMIT, "few"),), SelfReport(unreadable=(f"{LIMIT}: 'few'",))),
    ],
)
def test_own_report_is_read_from_headers(headers, report):
    assert read_own_report(Responded(200, headers, b"")) == report


def test_gate_follows_the_headers_of_the_default_dialect():
    async def check():
        bench = Bench()
        await bench.warm()
        bench.server.answer_headers = ((LIMIT, "20"),)
        await bench.call("a")
        assert bench.gate.get_load().starts_per_s == 20.0
        bench.server.answer_headers = ((LEAVING, "1"),)
        await bench.call("b")
        assert (await bench.call("c")).reason == NotRunReason.DRAINING

    run_paused(check())


def test_request_expects_the_echo_of_its_attempt():
    bench_announcement = run_paused(_announce())
    run = Run("a-1", "c", "s", "k", "GET", "/", [("X", "1")], True, 1, "", 500.0)
    request = make_request(
        run, b"", bench_announcement, 0.5, 1000, DEFAULT_SERVER_DIALECT
    )
    assert request.echo_header == ("Sapphireway-Attempt-Id", "a-1")


def test_refusal_of_the_default_dialect_must_name_its_attempt():
    run = Run("a-1", "c", "s", "k", "GET", "/", [], True, 1, "", 500.0)
    request = make_request(
        run, b"", run_paused(_announce()), 0.5, 1000, DEFAULT_SERVER_DIALECT
    )
    refusal = Responded(503, (("Sapphireway-Not-Run", "full"),), b"")
    assert request.needs_echo(refusal)
    assert not request.needs_echo(Responded(503, (), b""))


def test_request_without_an_id_expects_no_id_in_its_answer():
    dialect = msgspec.structs.replace(DEFAULT_SERVER_DIALECT, echo_header="Request-Id")
    run = Run("a-1", "c", "s", "k", "GET", "/", [], True, 1, "", 500.0)
    request = make_request(run, b"", run_paused(_announce()), 0.5, 1000, dialect)
    assert request.echo_header == ("Request-Id", "")


def test_id_that_an_answer_must_name_loses_only_blanks_and_tabs_at_its_ends():
    """The client reads the answer's fields so; an id of other bytes never matched."""
    dialect = msgspec.structs.replace(DEFAULT_SERVER_DIALECT, echo_header="Request-Id")
    headers = [("Request-Id", "\t \x85id\xa0 ")]
    run = Run("a-1", "c", "s", "k", "GET", "/", headers, True, 1, "", 500.0)
    request = make_request(run, b"", run_paused(_announce()), 0.5, 1000, dialect)
    assert request.echo_header == ("Request-Id", "\x85id\xa0")


async def _announce():
    return Bench().gate.announcement
