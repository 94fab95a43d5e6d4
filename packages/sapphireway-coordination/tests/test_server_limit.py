import pytest

from sapphireway_coordination import SelfReport
from sapphireway_coordination.gate._server_limit import ReportSource, ServerLimit

ANSWER, HEALTH = ReportSource.ANSWER, ReportSource.HEALTH
NO_LIMIT = SelfReport()


@pytest.fixture
def limit():
    return ServerLimit()


def test_limit_is_set_changed_and_lifted(limit):
    assert limit.update(SelfReport(requests_per_s=5.0), ANSWER, 0.0, 0.1)
    assert not limit.update(SelfReport(requests_per_s=5.0), ANSWER, 0.1, 0.2)
    assert limit.update(SelfReport(requests_per_s=2.5), ANSWER, 0.2, 0.3)
    assert limit.per_s == 2.5
    assert limit.update(NO_LIMIT, ANSWER, 0.4, 0.5)
    assert limit.per_s is None


def test_answer_to_an_earlier_request_lifts_no_limit(limit):
    limit.update(SelfReport(requests_per_s=5.0), ANSWER, 0.0, 1.0)
    assert not limit.update(NO_LIMIT, ANSWER, 0.9, 1.1)
    assert limit.per_s == 5.0


def test_malformed_limit_lifts_no_limit(limit):
    limit.update(SelfReport(requests_per_s=5.0), ANSWER, 0.0, 1.0)
    assert not limit.update(SelfReport(unreadable=("x",)), ANSWER, 2.0, 2.1)
    assert limit.per_s == 5.0


@pytest.mark.parametrize(("setter", "other"), [(ANSWER, HEALTH), (HEALTH, ANSWER)])
def test_source_that_never_set_a_limit_lifts_none(limit, setter, other):
    limit.update(SelfReport(requests_per_s=5.0), setter, 0.0, 1.0)
    assert not limit.update(NO_LIMIT, other, 2.0, 2.1)
    assert limit.per_s == 5.0
    limit.update(SelfReport(requests_per_s=5.0), other, 3.0, 3.1)
    assert limit.update(NO_LIMIT, other, 4.0, 4.1)


def test_limit_is_known_after_an_answer_to_a_request(limit):
    limit.update(NO_LIMIT, HEALTH, 0.0, 0.1)
    assert not limit.known
    limit.update(NO_LIMIT, ANSWER, 0.0, 0.1)
    assert limit.known
