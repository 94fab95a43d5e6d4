import pytest

from sapphireway_coordination import SelfReport
from sapphireway_platform._server_reports import read_report
from sapphireway_transport import Responded


@pytest.mark.parametrize(
    ("headers", "report"),
    [
        ((), SelfReport()),
        ((("Server-Load", "3,0,8"),), SelfReport(in_flight=3, slots=8)),
        ((("Server-Load", "3,2,8,700"),), SelfReport(7.0, in_flight=5, slots=8)),
        (
            (("Server-Load", "3,0,8,x"),),
            SelfReport(in_flight=3, slots=8, unreadable=("Server-Load: '3,0,8,x'",)),
        ),
        (
            (("Server-Load", "x,0,8,100"),),
            SelfReport(1.0, slots=8, unreadable=("Server-Load: 'x,0,8,100'",)),
        ),
        ((("Server-Load", "3"),), SelfReport()),
        (
            (("Cold-Remaining-Ms", "1500"), ("Instance-Id", "i-1")),
            SelfReport(None, 1.5, "i-1"),
        ),
        (
            (("Cold-Remaining-Ms", "soon"),),
            SelfReport(unreadable=("Cold-Remaining-Ms: 'soon'",)),
        ),
    ],
)
def test_self_report_is_read_from_headers(headers, report):
    assert read_report(Responded(200, headers, b"")) == report


@pytest.mark.parametrize(
    ("value", "per_s"),
    [("6.9", 6.9), ("7", 7.0), (" 0.5 ", 0.5), ("0", 0.0), ("12.", 12.0)],
)
def test_limit_is_a_decimal_number(value, per_s):
    report = read_report(Responded(200, (("server-limit", value),), b""))
    assert (report.requests_per_s, report.unreadable) == (per_s, ())


@pytest.mark.parametrize(
    "value",
    ["", "many", "nan", "inf", "-3", "1e400", "1_0", "0x10", "6,9", "٣", "9" * 5000],
)
@pytest.mark.parametrize(
    "header", ["Server-Load", "Cold-Remaining-Ms", "Server-Limit", "Server-Leaving"]
)
def test_malformed_value_is_left_out_and_listed(header, value):
    if header == "Server-Load" and value == "6,9":
        value = "6;9"
    report = read_report(Responded(200, ((header, value),), b""))
    (detail,) = report.unreadable
    assert detail.startswith(f"{header}: ") and len(detail) < 100
    assert report == SelfReport(unreadable=(detail,))


@pytest.mark.parametrize(("value", "leaving"), [("1", True), ("0", False)])
def test_leaving_is_read_from_header(value, leaving):
    report = read_report(Responded(503, (("Server-Leaving", value),), b""))
    assert (report.leaving, report.unreadable) == (leaving, ())


def test_repeated_limit_is_malformed():
    headers = (("Server-Limit", "5"), ("Server-Limit", "9"))
    assert read_report(Responded(200, headers, b"")).requests_per_s is None


def test_answer_of_another_server_reports_nothing_of_this_one():
    headers = (("Server-Limit", "5"), ("Server-Leaving", "1"))
    report = read_report(Responded(421, headers, b""))
    assert report == SelfReport(server="")
