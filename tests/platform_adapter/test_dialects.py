import pytest

from sapphireway_coordination import SelfReport
from sapphireway_platform._forms import (
    find_fault,
    make_caller_form,
    make_server_form,
    read_report,
    render,
)
from sapphireway_protocol import Answered, Failed, NotRun, NotRunReason, Run, Unknown
from sapphireway_transport import Responded

SIGNED = (("Response-Signature", "s"),)


def get_header(answer, name):
    return dict(answer.headers).get(name)


def test_answer_of_the_server_is_passed_unchanged():
    answer = render(Answered(201, (*SIGNED, ("X", "1")), b"body"), False)
    assert (answer.status, answer.headers, answer.body) == (
        201,
        (*SIGNED, ("X", "1")),
        b"body",
    )


@pytest.mark.parametrize(
    ("outcome", "status"),
    [
        (NotRun(NotRunReason.OVERLOADED, 0.25), 503),
        (Failed("cut"), 502),
        (Unknown("no answer by the deadline"), 504),
    ],
)
def test_only_a_request_that_never_runs_is_said_not_to_have_run(outcome, status):
    answer = render(outcome, True)
    assert answer.status == status
    assert get_header(answer, "Connection") == "close"
    wait = "0.250" if isinstance(outcome, NotRun) else None
    assert get_header(answer, "Retry-After") == wait


def test_server_gets_the_time_left_and_its_own_id():
    run = Run("a", "c", "s", "k", "GET", "/", [], False, 1, "", 500.0)
    headers = dict(make_server_form().make_headers(run, "i-1", 0.4321))
    assert headers == {"Deadline-Remaining-Ms": "432", "Expected-Instance": "i-1"}


def test_origin_is_set_whatever_the_caller_sent():
    form = make_caller_form("ledger")
    assert form.own_headers == (("Calling-Service", "ledger"),)
    assert form.key_header == ""


@pytest.mark.parametrize("status", [400, 421, 429, 503])
def test_server_that_says_so_has_not_run_the_request(status):
    form = make_server_form()
    said = Responded(status, (("request-not-executed", "1"),), b"")
    assert form.says_not_run(said)
    assert not form.says_not_run(Responded(status, (), b""))


@pytest.mark.parametrize(
    ("answer", "fault"),
    [
        (Responded(200, SIGNED, b"x"), ""),
        (Responded(500, (), b"x"), ""),
        (Responded(200, (), b"x"), "lacks"),
        (Responded(204, (), b""), "lacks"),
        (Responded(200, (*SIGNED, ("Content-Encoding", "gzip")), b"x"), "encoded"),
    ],
)
def test_answer_that_is_not_the_servers_own_is_found(answer, fault):
    found = find_fault(answer)
    assert fault in found and bool(found) == bool(fault)


@pytest.mark.parametrize(
    ("headers", "report"),
    [
        ((), SelfReport()),
        ((("Server-Load", "3,0,8"),), SelfReport(in_flight=3, slots=8)),
        ((("Server-Load", "3,2,8,700"),), SelfReport(7.0, in_flight=5, slots=8)),
        ((("Server-Load", "3,0,8,x"),), SelfReport(in_flight=3, slots=8)),
        ((("Server-Load", "x,0,8,100"),), SelfReport(1.0, slots=8)),
        ((("Server-Load", "3"),), SelfReport()),
        (
            (("Cold-Remaining-Ms", "1500"), ("Instance-Id", "i-1")),
            SelfReport(None, 1.5, "i-1"),
        ),
        ((("Cold-Remaining-Ms", "soon"),), SelfReport()),
    ],
)
def test_what_a_server_tells_of_itself_is_read(headers, report):
    assert read_report(Responded(200, headers, b"")) == report
