import math

import pytest

from sapphireway_coordination import Member
from sapphireway_coordination.routing._notices import NOTICES_MAX, NoticeTable
from sapphireway_protocol import LoadReport, ServerState


def report(start_id="1", limit_per_s=None, leaving=False, server="s1"):
    return LoadReport(
        server,
        0,
        0,
        6,
        1.0,
        ServerState.SERVING,
        start_id,
        server_limit_per_s=limit_per_s,
        server_leaving=leaving,
    )


def member(start_id="1", server="s1"):
    return Member(server, "ledger", "n1", "d", "r", "n1-1", start_id, 6)


@pytest.fixture
def notices():
    return NoticeTable()


def test_notice_outlives_reports_of_a_node_that_has_restarted(notices):
    notices.record(report(limit_per_s=5.0, leaving=True))
    for start_id in ("", "1"):
        notices.record(report(start_id))
        assert notices.is_leaving(member(start_id))
        assert notices.get_limit(member(start_id)) == 5.0


def test_server_lifts_its_limit_but_never_its_departure(notices):
    notices.record(report(limit_per_s=5.0, leaving=True))
    notices.record(report(limit_per_s=math.inf))
    assert notices.get_limit(member()) is None
    assert notices.is_leaving(member())


def test_another_start_has_no_notice(notices):
    notices.record(report(limit_per_s=5.0, leaving=True))
    assert not notices.is_leaving(member("2"))
    assert notices.get_limit(member("2")) is None
    notices.record(report("2"))
    assert not notices.is_leaving(member("2"))


def test_departure_of_an_unknown_start_ends_with_an_answer_of_the_server(notices):
    notices.record(report("", leaving=True))
    notices.record(report("2"))
    assert notices.is_leaving(member("2"))
    notices.record(report("2", limit_per_s=math.inf))
    assert not notices.is_leaving(member("2"))


def test_notices_are_bounded(notices):
    for number in range(NOTICES_MAX + 1):
        notices.record(report(server=f"s{number}", limit_per_s=1.0))
    assert notices.get_limit(member(server="s0")) is None
    assert notices.get_limit(member(server=f"s{NOTICES_MAX}")) == 1.0
