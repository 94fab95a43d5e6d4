import pytest

from sapphireway_platform._dialects import (
    find_answer_error,
    make_caller_dialect,
    make_server_dialect,
    render_answer,
)
from sapphireway_protocol import Answered, Failed, NotRun, NotRunReason, Run, Unknown
from sapphireway_transport import Responded

SIGNED = (("Response-Signature", "s"),)


def get_header(answer, name):
    return dict(answer.headers).get(name)


def test_server_answer_is_passed_unchanged():
    answer = render_answer(Answered(201, (*SIGNED, ("X", "1")), b"body"), False)
    assert (answer.status, answer.headers, answer.body) == (
        201,
        (*SIGNED, ("X", "1")),
        b"body",
    )


@pytest.mark.parametrize(
    ("outcome", "status"),
    [
        (NotRun(NotRunReason.OVERLOADED, 0.25), 503),
        (NotRun(NotRunReason.QUOTA, 0.25), 429),
        (NotRun(NotRunReason.UNCONFIRMED, 0.25), 503),
        (Failed("cut"), 502),
        (Unknown("no answer by the deadline"), 504),
    ],
)
def test_status_and_retry_after_of_outcome(outcome, status):
    answer = render_answer(outcome, True)
    assert answer.status == status
    assert get_header(answer, "Connection") == "close"
    retry_after = "0.250" if isinstance(outcome, NotRun) else None
    assert get_header(answer, "Retry-After") == retry_after


def test_attempt_headers_hold_remaining_time_and_server_id():
    run = Run("a", "c", "s", "k", "GET", "/", [], False, 1, "", 500.0)
    headers = dict(make_server_dialect().make_headers(run, "i-1", 0.4321))
    assert headers == {"Deadline-Remaining-Ms": "432", "Expected-Instance": "i-1"}


def test_origin_service_header_is_always_set():
    dialect = make_caller_dialect("ledger")
    assert dialect.override_headers == (("Calling-Service", "ledger"),)
    assert dialect.key_header == ""
    assert dialect.access_header == "Api-Key"
    assert dialect.workspace_header == "Tenant-Name"


@pytest.mark.parametrize("status", [400, 421, 429, 503])
def test_not_run_header_is_recognized_with_any_status(status):
    dialect = make_server_dialect()
    not_run = Responded(status, (("request-not-executed", "1"),), b"")
    assert dialect.says_not_run(not_run)
    assert not dialect.says_not_run(Responded(status, (), b""))


@pytest.mark.parametrize(
    ("answer", "error"),
    [
        (Responded(200, SIGNED, b"x"), ""),
        (Responded(500, (), b"x"), ""),
        (Responded(200, (), b"x"), "lacks"),
        (Responded(204, (), b""), "lacks"),
        (Responded(200, (*SIGNED, ("Content-Encoding", "gzip")), b"x"), "encoded"),
    ],
)
def test_answer_error_of_foreign_answer(answer, error):
    actual = find_answer_error(answer)
    assert error in actual and bool(actual) == bool(error)


@pytest.mark.parametrize("status", [200, 400, 421, 503])
def test_answer_of_a_platform_server_must_name_its_request(status):
    assert make_server_dialect().needs_echo(Responded(status, SIGNED, b""))
