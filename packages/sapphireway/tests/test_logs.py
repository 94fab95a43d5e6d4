import json
import logging

import pytest

from sapphireway._logs import EVENT_BURST, EventLog, configure_logs


class Clock:
    now_s = 0.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def read_lines(capfd):
    configure_logs("json", "info")

    def read():
        return [json.loads(line) for line in capfd.readouterr().out.splitlines()]

    yield read
    logging.getLogger("absl").handlers.clear()


def test_event_is_one_json_line(clock, read_lines):
    EventLog(clock).warning("bad_request", status=404)
    (line,) = read_lines()
    assert (line["event"], line["level"], line["status"]) == (
        "bad_request",
        "warning",
        404,
    )


def test_repeated_event_is_suppressed_and_counted(clock, read_lines):
    log = EventLog(clock)
    for _ in range(EVENT_BURST + 100):
        log.info("fault")
    clock.now_s += 10.0
    log.info("fault")
    lines = read_lines()
    assert len(lines) == EVENT_BURST + 1
    assert lines[-1]["suppressed"] == 100


def test_request_events_share_byte_rate_limit(clock, read_lines):
    log = EventLog(clock)
    for number in range(5000):
        log.log_request("call_ended", call=f"c{number}", decisions=["x" * 200])
    clock.now_s += 10.0
    log.log_request("call_ended", call="last")
    lines = read_lines()
    assert sum(len(str(line)) for line in lines) < 3 * 131_072
    assert lines[-1]["call"] == "last"
    assert lines[-1]["suppressed"] == 5000 - (len(lines) - 1)


def test_rate_limit_applies_per_event_name(clock, read_lines):
    log = EventLog(clock)
    for _ in range(EVENT_BURST + 1):
        log.info("fault")
    log.info("other")
    assert read_lines()[-1]["event"] == "other"


def test_submissions_do_not_use_up_the_limit_of_failures(clock, read_lines):
    log = EventLog(clock)
    for number in range(5000):
        log.log_submission("key_read", call=f"c{number}", detail="x" * 200)
    assert sum(len(str(line)) for line in read_lines()) < 3 * 65_536
    log.log_request("call_ended", call="failed")
    assert [line["call"] for line in read_lines()] == ["failed"]
